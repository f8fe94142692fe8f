//! Departures of backend servers: proof by the platform's list of machines that one has ended, and when to request
//! that list.
//!
//! Without proof, what ran on a backend server that no longer responds has ended only when its leases have expired.
//! `docs/design/0019-departures.md` argues why the evidence cannot make anything run twice.

mod apply;
mod evidence;
mod requests;

pub use evidence::{Evidence, MachineList, Observed, Proof, Verdict};
pub(crate) use requests::ListRequests;

/// State that a scheduler keeps of the lists of machines.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    pub(crate) evidence: Evidence,
    pub(crate) requests: ListRequests,
}
