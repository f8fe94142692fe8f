//! The closed set of ends that a job can come to.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Digest, Duration};

/// Why a job was not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(tag = "code", rename_all = "snake_case")]
pub enum NotRunReason {
    /// The customer's queue for the class is full.
    #[display("the queue of {class} is full at {limit} jobs")]
    QueueFull {
        /// The class.
        class: String,
        /// The bound that was reached.
        limit: u32,
    },
    /// No backend server of the availability zone could ever hold it.
    #[display("it can never run: {why}")]
    CanNeverRun {
        /// The arithmetic.
        why: String,
    },
    /// The request names something that the configuration does not know.
    #[display("unknown {what}")]
    Unknown {
        /// What is not known.
        what: String,
    },
    /// The platform's store cannot be reached, and the request may run only once.
    #[display("the platform's store does not answer, so that a request which may run only once cannot be claimed")]
    StoreUnavailable,
    /// The box is leaving and takes no new work.
    #[display("the box is leaving")]
    Leaving,
    /// Its deadline passed while it waited.
    #[display("its deadline passed while it waited")]
    DeadlinePassed,
    /// The box has no configuration yet.
    #[display("no configuration is known yet")]
    NoConfiguration,
}

/// The end of a job. `NotRun` is said only when no task ever ran and none can later;
/// every doubt is `Unknown`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// It ran, and the whole answer is here.
    #[display("done")]
    Done {
        /// The whole answer.
        answer: String,
        /// Of the answer's bytes.
        digest: Digest,
    },
    /// It never ran and never will under this ticket.
    #[display("not run: {reason}")]
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When asking again may help; `None` if it never will.
        retry_after: Option<Duration>,
    },
    /// It ran and failed by its own fault, or used up its tries.
    #[display("failed: {why}")]
    Failed {
        /// What the last try reported.
        why: String,
    },
    /// The caller took it back; it may have run in part.
    #[display("cancelled")]
    Cancelled {
        /// Whether any task had begun under this ticket. A repeatable request that was sent more
        /// than once may have had other tickets.
        ran: bool,
    },
    /// Whether it ran cannot be told.
    #[display("unknown: {why}")]
    Unknown {
        /// What could not be settled.
        why: String,
    },
}

impl Outcome {
    /// A short fixed name, for metrics and tables.
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
