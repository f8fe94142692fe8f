//! Outcomes of callers' requests, and the requests that the store has taken.

use jobs::{Job, JobId, JobState};

/// Outcome of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored, by this submission or an earlier one.
    Accepted,
    /// The job is not stored, and this submission will not store it later.
    Refused,
    /// Another job has the same id.
    OtherJob,
    /// The outcome is unknown: the job may be stored, now or later.
    Unknown,
}

/// Outcome of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The store holds the cancellation, or the job has already ended.
    Cancelled,
    /// There is no such job, and a submission in flight cannot create it.
    NoSuchJob,
    /// The job belongs to another customer.
    NotYours,
    /// The cancellation was not stored.
    Refused,
    /// The outcome is unknown: the cancellation may be stored.
    Unknown,
}

/// Outcome of a query for the state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateOutcome {
    /// The job has this state.
    Found(JobState),
    /// There is no such job.
    NoSuchJob,
    /// The job belongs to another customer.
    NotYours,
    /// Neither the scheduler nor the store could be reached.
    Unavailable,
}

/// A request of a caller that the store has taken.
#[derive(Debug, Clone)]
pub(crate) enum StoredRequest {
    /// A submitted job.
    Job(Job),
    /// The cancellation of a job.
    Cancelled(JobId),
}

impl StoredRequest {
    /// Returns the job that the request concerns.
    pub(crate) fn job(&self) -> JobId {
        match self {
            StoredRequest::Job(job) => job.id,
            StoredRequest::Cancelled(id) => *id,
        }
    }

    /// Returns the kind of the request, for logs.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            StoredRequest::Job(_) => "submission",
            StoredRequest::Cancelled(_) => "cancellation",
        }
    }
}
