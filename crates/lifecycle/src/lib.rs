//! The state machine of jobs from acceptance to answer, without I/O.
//!
//! A [`Coordinator`] manages the jobs of one box. Its inputs are submissions, grants, replies of backend servers,
//! lease tables and the time; its outputs are [`Effect`]s, which the caller of this crate executes. It reads no clock
//! and draws no random numbers, so that tests can run several coordinators against each other in virtual time.
//!
//! # Terms
//! - A *ticket* is a job's id ([`model::JobId`]). Only the process that minted it may make the first start under it,
//!   so that no two boxes start it at once. A backend server that *fences* a ticket refuses every later start under it.
//! - An *attempt* is one try to run a whole gang.
//! - An *epoch* numbers the coordinators that have held an attempt, one after another. Attempt and epoch form the
//!   lease token, by which backend servers refuse messages of an earlier coordinator or attempt.
//! - A *grant* is a planner's decision to start a waiting job on given backend servers.
//! - *Adoption* is the takeover of a running gang from a box that has failed.
//!
//! # Gang commit
//! A gang starts in three steps: `Reserve` on every member, `Start` on every member, and `go` (in a renewal) on every
//! member. Each step begins only when all members have confirmed the one before, and a task runs only after `go`.
//! `docs/design/0002-gang-commit.md` argues why no gang runs in part.
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
