//! What callers hand in, and what they are told.

use jobs::{Job, JobId, JobState};

/// What became of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored, now or by an earlier submission.
    Accepted,
    /// It is not stored and never will be by this submission.
    Refused,
    /// Another job has the same id.
    OtherJob,
    /// It may be stored, or be stored later.
    Unknown,
}

/// What became of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The store holds that the job is not wanted.
    Cancelled,
    /// There is no such job, and a submission that is under way will not make one.
    NoSuchJob,
    /// Another customer's job.
    NotYours,
    /// Nothing was done.
    Refused,
    /// It may have been done.
    Unknown,
}

/// How a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateOutcome {
    /// It is known.
    Found(JobState),
    /// There is none.
    NoSuchJob,
    /// Another customer's job.
    NotYours,
    /// No one who knows could be asked.
    Unavailable,
}

/// Something that callers have handed in and the store holds.
#[derive(Debug, Clone)]
pub(crate) enum StoredRequest {
    /// A job.
    Job(Job),
    /// A job is not wanted any more.
    Cancelled(JobId),
}
