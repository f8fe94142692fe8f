//! Where and when jobs run: pure decisions over a snapshot of one availability zone.
//!
//! No I/O, no clock, no randomness: the same [`Snapshot`] always gives the same [`Decision`]s.
//! A planner's decisions are proposals; backend servers accept or refuse each reservation
//! themselves, so that two planners at once waste work and break nothing.

mod cell_planner;
mod cells;
mod easy;
mod estimate;
mod first_fit;
mod ledger;
mod order;
mod place;
mod reclaim;
mod room;
mod round;
mod shadow;
mod snapshot;

pub use crate::{
    cell_planner::CellPlanner,
    cells::{GuaranteeError, check_guarantees},
    easy::Easy,
    estimate::{Estimates, Finished},
    first_fit::FirstFit,
    room::{NeverFits, Room},
    snapshot::{Decision, Planner, Queued, Running, Server, Snapshot},
};
