//! Where and when jobs run: pure decisions over a snapshot of one availability zone.
//!
//! Planning does no I/O, reads no clock and draws no random numbers: equal [`Snapshot`]s give equal
//! [`Decision`]s. Decisions are proposals, since each backend server accepts or refuses a reservation
//! itself. Two planners that are active at once therefore waste work but break no invariant.
//!
//! ```
//! use std::sync::Arc;
//!
//! use model::{Duration, Gang, JobId, Resources, Within};
//! use policy::{CellPlanner, Decision, Planner, Queued, Server, Snapshot};
//!
//! let file: model::OperatorFile = model::from_json(
//!     br#"{"weights":{"completion_time":1,"fragmentation":1},"classes":[{"id":"c","queue_limit":9}],
//!         "customers":[{"id":"court","share":1}],"backend_servers":[]}"#,
//! )
//! .expect("the file is well formed");
//! let job: JobId = "box-1.1.1".parse().expect("a valid job id");
//! let snapshot = Snapshot {
//!     file: Arc::new(file),
//!     servers: vec![Server {
//!         id: "s1".parse().expect("a valid id"),
//!         rack: "r1".parse().expect("a valid id"),
//!         resources: Resources::new(8, 30, 130),
//!         open: true,
//!     }],
//!     running: Vec::new(),
//!     queue: vec![Queued {
//!         job: job.clone(),
//!         customer: "court".parse().expect("a valid id"),
//!         class: "c".parse().expect("a valid id"),
//!         gang: Gang { tasks: 2, per_task: Resources::new(1, 2, 8), within: Within::Rack },
//!         declared: Duration::from_secs(60),
//!         waited: Duration::ZERO,
//!         repeatable: true,
//!         checkpointable: false,
//!         avoid: Default::default(),
//!     }],
//! };
//! let mut planner = CellPlanner::new("az-1".parse().expect("a valid id"));
//! let decisions = planner.plan(&snapshot);
//! assert!(matches!(&decisions[..], [Decision::Start { job: started, .. }] if *started == job));
//! ```

mod cell_planner;
mod cells;
mod easy;
mod estimate;
mod first_fit;
mod free_capacity;
mod ledger;
mod order;
mod place;
mod reclaim;
mod round;
mod shadow;
mod snapshot;

pub use crate::{
    cell_planner::CellPlanner,
    cells::{GuaranteeError, check_guarantees},
    easy::Easy,
    estimate::{Estimates, Finished},
    first_fit::FirstFit,
    free_capacity::{FreeCapacity, NeverFits},
    snapshot::{Decision, Planner, Queued, Running, Server, Snapshot},
};
