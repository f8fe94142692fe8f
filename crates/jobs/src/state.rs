//! What a caller is told of its job.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Where a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum JobState {
    /// Accepted, and none of its tasks has begun.
    Queued,
    /// A task has begun.
    Running,
    /// Every task has ended well.
    Succeeded,
    /// A task, or a gang, has failed as often as its queue allows.
    Failed,
    /// Its caller does not want it any more.
    Cancelled,
}

impl JobState {
    /// Whether nothing of the job will run any more.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Succeeded | JobState::Failed | JobState::Cancelled)
    }
}
