//! State of a job, as reported to its caller.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum JobState {
    /// The job is accepted, and none of its tasks has started.
    Queued,
    /// At least one task has started.
    Running,
    /// Every task has succeeded.
    Succeeded,
    /// A task or gang has failed as often as its queue allows.
    Failed,
    /// The caller has cancelled the job.
    Cancelled,
}

impl JobState {
    /// Returns whether the state is final: no task of the job will run again.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Succeeded | JobState::Failed | JobState::Cancelled)
    }
}
