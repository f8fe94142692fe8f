//! Final outcomes of a job.
//!
//! The set is closed, so that every caller handles each outcome.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Digest, Duration};

/// Reason why a job was not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(tag = "code", rename_all = "snake_case")]
pub enum NotRunReason {
    /// The queue of the customer for the class is full.
    #[display("the queue of {class} is full at {limit} jobs")]
    QueueFull {
        /// Class whose queue is full.
        class: String,
        /// Queue limit that was reached, in jobs.
        limit: u32,
    },
    /// The backend servers of the availability zone can never run the job, whatever else they run.
    #[display("it can never run: {why}")]
    CanNeverRun {
        /// Explanation with the amounts that are requested and available.
        why: String,
    },
    /// The request names something that the configuration doesn't contain.
    #[display("unknown {what}")]
    Unknown {
        /// Kind and name of the unknown item.
        what: String,
    },
    /// The platform's store is unreachable, and the request may run only once.
    #[display("the platform's store does not answer, so that a request which may run only once cannot be claimed")]
    StoreUnavailable,
    /// The box is draining and accepts no new work.
    #[display("the box is leaving")]
    Leaving,
    /// The deadline passed while the job was waiting.
    #[display("its deadline passed while it waited")]
    DeadlinePassed,
    /// The box has no configuration yet.
    #[display("no configuration is known yet")]
    NoConfiguration,
}

/// Final outcome of a job. `NotRun` is reported only if no task has run and none can run later; any uncertainty is
/// reported as `Unknown`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The job ran, and its whole answer is available.
    #[display("done")]
    Done {
        /// Whole answer of the job.
        answer: String,
        /// Digest of the bytes of `answer`.
        digest: Digest,
    },
    /// The job has not run and will not run under this ticket.
    #[display("not run: {reason}")]
    NotRun {
        /// Reason why it was not run.
        reason: NotRunReason,
        /// Time after which a retry may succeed; `None` if no retry will.
        retry_after: Option<Duration>,
    },
    /// The job ran and failed by its own fault, or used up its attempts.
    #[display("failed: {why}")]
    Failed {
        /// Error that the last attempt reported.
        why: String,
    },
    /// The caller cancelled the job, which may have run in part.
    #[display("cancelled")]
    Cancelled {
        /// Whether any task had started under this ticket. A repeatable request that was sent more than once may have
        /// other tickets.
        ran: bool,
    },
    /// It cannot be determined whether the job ran.
    #[display("unknown: {why}")]
    Unknown {
        /// Description of what could not be determined.
        why: String,
    },
}

impl Outcome {
    /// Returns a short fixed name, for metrics and tables.
    pub fn name(&self) -> &'static str {
        match self {
            Outcome::Done { .. } => "done",
            Outcome::NotRun { .. } => "not_run",
            Outcome::Failed { .. } => "failed",
            Outcome::Cancelled { .. } => "cancelled",
            Outcome::Unknown { .. } => "unknown",
        }
    }
}
