//! The state machine of one entry box, without I/O.
//!
//! An [`EntryBox`] combines `lifecycle` for its own jobs, `membership` for its peers, `spread` for the
//! configuration and `policy` for planning. It takes an [`Input`] and the current time and returns the
//! [`Output`]s that its host carries out. Without I/O of its own, several boxes run against each other in
//! one thread and in virtual time, with stand-ins for the external systems.
//!
//! Terms of this crate:
//!
//! - A *ticket* is the right to make the first start of a request. The box that *minted* it alone may use it.
//! - An *attempt* is one try to run a whole gang. Its token orders it after earlier attempts.
//! - The *holder* of a job is the incarnation of a box that renews the leases of its gang.
//! - The *planner* is the box that decides for its availability zone which job starts where. Other boxes send
//!   it *offers* of their waiting jobs, and it sends them *grants* to start jobs.
//! - A *claim* is the record in the platform's store of the ticket under which a request runs.
//! - *Fencing* a ticket makes the backend servers refuse it from then on.
//! - *Adoption* is the takeover of a gang whose holder has terminated.
//!
//! ```
//! use entry::{EntryBox, Identity, Input, Limits, Output};
//! use model::{Incarnation, Moment};
//!
//! let zone: model::AvailabilityZoneId = "az-1".parse().expect("a valid id");
//! let identity = Identity {
//!     box_id: "box-1".parse().expect("a valid id"),
//!     incarnation: Incarnation(1),
//!     availability_zone: zone.clone(),
//! };
//! let planner = Box::new(policy::CellPlanner::new(zone));
//! let mut entry = EntryBox::new(identity, Limits::default(), Vec::new(), planner, Moment::ZERO);
//! // A new box first reads the configuration.
//! let outputs = entry.handle(Input::Tick, Moment::ZERO);
//! assert!(outputs.iter().any(|output| matches!(output, Output::CallStore { .. })));
//! ```

mod adoption;
mod claims;
mod config;
mod entry_box;
mod handover;
mod message;
mod offers;
mod peers;
mod planning;
mod quarantine;
mod replicas;
mod route;
mod status;
mod submissions;
mod ticket_fencing;
mod waiters;

pub use crate::{
    claims::Claim,
    entry_box::{EntryBox, Identity, Limits},
    message::{
        BackendOp, CallerReply, CallerRequest, Input, JobAnswer, Observation, OpId, Output, PeerReply, PeerRequest,
        ReplyTo, Submission,
    },
    status::{BoxStatus, JobCounts, ServerStatus, StatusReport},
};
