//! Jobs of several steps, as callers submit them, and their stored progress.
//!
//! A [`Job`] doesn't change after it is stored. Each of its occurrences (a timed job has several) has one [`Progress`],
//! which only the active scheduler writes. The crate does no I/O.

mod ended;
mod id;
mod job;
mod progress;
mod queue;
mod state;

pub use crate::{
    ended::{EndedJob, WorkDigest},
    id::{Fence, JobId, OccurrenceId, ParseNameError, QueueId, RunNumber, StepId, TaskId},
    job::{Duration, Job, JobError, MAX_STEPS, RawJob, RawStep, Resources, Schedule, Step},
    progress::{Checkpoint, Crash, GroupProgress, Placement, Progress, Start},
    queue::{ConfigurationVersion, PermitPolicy, QueuePolicy, ServiceId},
    state::JobState,
};
