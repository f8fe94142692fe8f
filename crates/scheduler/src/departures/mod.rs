//! Departures of backend servers: proof by their entries or by the platform's list of machines that one has ended, when
//! to request that list, and what becomes of runs on those that announce their departure.
//!
//! Without proof, what ran on a backend server that no longer responds has ended only when its leases have expired.
//! `docs/design/0019-departures.md` argues why the evidence cannot make anything run twice.

mod apply;
mod decision;
mod entry_removal;
mod evidence;
mod moves;
mod requests;

use model::{BackendServerId, Moment};

use crate::run_state::GroupId;

pub use decision::{DepartingRun, Urgency, groups_to_move};
pub use entry_removal::LastWrite;
pub(crate) use entry_removal::{RemovedBy, ServerClock};
pub use evidence::{Evidence, MachineList, Observed, Proof, Verdict};
pub(crate) use requests::ListRequests;

/// State that a scheduler keeps of departures.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    pub(crate) evidence: Evidence,
    pub(crate) requests: ListRequests,
    /// Backend servers that have announced their departure since the latest plan, and when.
    pub(crate) announced: Vec<(BackendServerId, Moment)>,
    /// Groups that are being stopped since their backend server departs.
    pub(crate) moving: Vec<GroupId>,
}
