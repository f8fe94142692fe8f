//! The life of a job from its acceptance to its answer, as a state machine without I/O.
//!
//! A [`Coordinator`] holds the jobs of one box. It is told of submissions, grants, replies of
//! backend servers, lease tables and the time; it returns [`Effect`]s for its host to carry out.
//! It reads no clock and draws no random numbers, so that several of them can be run against
//! each other in virtual time.
//!
//! # Gang commit
//! `Reserve` on every member, then `Start` on every member, then `go` (in a renewal) on every
//! member, each step only when all members have confirmed the one before. A task runs only after
//! `go`. See `docs/design/0002-gang-commit.md` for the argument that no gang runs in part.
//!
//! ```
//! use backend::Holder;
//! use lifecycle::{Coordinator, Limits};
//! use model::{Incarnation, Moment};
//!
//! let me = Holder { box_id: "box-1".parse().expect("a valid id"), incarnation: Incarnation(1) };
//! let mut coordinator = Coordinator::new(me, Limits::default(), Moment::ZERO);
//! let spec = model::from_json(
//!     br#"{"customer":"city-court","request":"r-1","class":"labelling",
//!         "gang":{"tasks":1,"per_task":{"accelerators":1}},
//!         "declared_ms":1000,"repeatable":true,"checkpointable":false}"#,
//! )
//! .expect("the request is well formed");
//! let job = coordinator.submit(spec, Moment::ZERO);
//! assert_eq!(coordinator.waiting(Moment::ZERO)[0].job, job);
//! ```

mod adoption;
mod commit;
mod coordinator;
mod ending;
mod job;
mod limits;
mod renewal;
mod replies;
mod tables;

pub use crate::{
    coordinator::{Anomaly, Coordinator, Effect, JobView, Origin, Waiting},
    job::Stage,
    limits::Limits,
};
