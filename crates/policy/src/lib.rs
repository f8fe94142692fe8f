//! Where and when jobs run: pure decisions over a snapshot of one availability zone.
//!
//! No I/O, no clock, no randomness: the same [`Snapshot`] always gives the same [`Decision`]s.
//! A planner's decisions are proposals; backend servers accept or refuse each reservation
//! themselves, so that two planners at once waste work and break nothing.

mod cells;
mod first_fit;
mod room;
mod snapshot;

pub use crate::{
    cells::{GuaranteeError, check_guarantees},
    first_fit::FirstFit,
    room::{NeverFits, Room},
    snapshot::{Decision, Planner, Queued, Running, Server, Snapshot},
};
