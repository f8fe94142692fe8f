//! One entry box, without I/O: what it does with each message, reply and tick.
//!
//! An [`EntryBox`] joins the parts: `lifecycle` for its own jobs, `membership` for its peers,
//! `spread` for the configuration, `policy` while it plans. It takes an [`Input`] and the time and
//! gives [`Output`]s for its host to carry out. Several of them, with stand-ins for the outside,
//! run against each other in one thread and virtual time.
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
//! // The first thing that it wants is the configuration.
//! let outputs = entry.handle(Input::Tick, Moment::ZERO);
//! assert!(outputs.iter().any(|output| matches!(output, Output::CallStore { .. })));
//! ```

mod adopt;
mod claims;
mod config;
mod entry_box;
mod handover;
mod intake;
mod message;
mod offers;
mod peers;
mod planning;
mod quarantine;
mod replicas;
mod route;
mod settle;
mod status;
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
