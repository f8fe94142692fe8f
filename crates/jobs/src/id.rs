//! Identifiers of jobs, occurrences, steps and tasks, and the numbers that order operations on them: run numbers and
//! fencing tokens.

use std::{fmt, str::FromStr, sync::Arc};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Error of parsing an identifier from text.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{text:?} is no {kind}: allowed is {allowed}")]
pub struct ParseNameError {
    /// Kind of identifier that was expected, such as `job id`.
    pub kind: &'static str,
    /// Rejected text, truncated to 80 characters.
    pub text: String,
    /// Description of the accepted form.
    pub allowed: &'static str,
}

impl ParseNameError {
    fn new(kind: &'static str, text: &str, allowed: &'static str) -> ParseNameError {
        ParseNameError { kind, text: text.chars().take(80).collect(), allowed }
    }
}

/// Identifier of a job, chosen by its caller. Its text form is 16 lowercase hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = ParseNameError;
    fn from_str(text: &str) -> Result<JobId, ParseNameError> {
        let error = || ParseNameError::new("job id", text, "16 digits of 0-9 and a-f");
        let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
        if !digits {
            return Err(error());
        }
        u64::from_str_radix(text, 16).map(JobId).map_err(|_| error())
    }
}

impl TryFrom<String> for JobId {
    type Error = ParseNameError;
    fn try_from(text: String) -> Result<JobId, ParseNameError> {
        text.parse()
    }
}

impl From<JobId> for String {
    fn from(id: JobId) -> String {
        id.to_string()
    }
}

/// Identifier of the queue that a job was submitted to. Jobs of a queue share one class, one priority and one
/// objective.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(transparent)]
pub struct QueueId(Arc<str>);

impl From<&str> for QueueId {
    fn from(name: &str) -> QueueId {
        QueueId(Arc::from(name))
    }
}

/// Identifier of an occurrence of a job, written as `JOB.NUMBER`. A timed job has one occurrence for each due time, any
/// other job exactly one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{job}.{number}")]
pub struct OccurrenceId {
    /// Job that the occurrence belongs to.
    pub job: JobId,
    /// Number of the occurrence within its job, from 0.
    pub number: u32,
}

impl FromStr for OccurrenceId {
    type Err = ParseNameError;
    fn from_str(text: &str) -> Result<OccurrenceId, ParseNameError> {
        let error = || ParseNameError::new("occurrence", text, "JOB.NUMBER");
        let (job, number) = text.split_once('.').ok_or_else(error)?;
        Ok(OccurrenceId { job: job.parse()?, number: number.parse().map_err(|_| error())? })
    }
}

/// Identifier of a step of an occurrence, written as `JOB.OCCURRENCE.STEP`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{occurrence}.{step}")]
pub struct StepId {
    /// Occurrence that the step belongs to.
    pub occurrence: OccurrenceId,
    /// Index of the step in the job, from 0.
    pub step: u32,
}

/// Identifier of a task, a member of a step of an occurrence, written as `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{occurrence}.{step}.{index}")]
pub struct TaskId {
    /// Occurrence that the task belongs to.
    pub occurrence: OccurrenceId,
    /// Index of the step in the job, from 0.
    pub step: u32,
    /// Index of the task in its step, from 0.
    pub index: u32,
}

impl TaskId {
    /// Returns the step that the task is a member of.
    pub fn step_id(self) -> StepId {
        StepId { occurrence: self.occurrence, step: self.step }
    }
}

impl FromStr for TaskId {
    type Err = ParseNameError;
    fn from_str(text: &str) -> Result<TaskId, ParseNameError> {
        let error = || ParseNameError::new("task", text, "JOB.OCCURRENCE.STEP.INDEX");
        let mut parts = text.split('.');
        let job = parts.next().ok_or_else(error)?.parse()?;
        let mut next_number = || -> Option<u32> { parts.next()?.parse().ok() };
        let task = TaskId {
            occurrence: OccurrenceId { job, number: next_number().ok_or_else(error)? },
            step: next_number().ok_or_else(error)?,
            index: next_number().ok_or_else(error)?,
        };
        if parts.next().is_some() {
            return Err(error());
        }
        Ok(task)
    }
}

/// Number of a run of a task: the count of its starts, from 1, or 0 before the first. All members of a gang share it.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Default,
    Serialize,
    Deserialize,
    Display,
    derive_more::FromStr,
)]
#[serde(transparent)]
pub struct RunNumber(pub u64);

impl RunNumber {
    /// Returns the number of the following run.
    pub fn next(self) -> RunNumber {
        RunNumber(self.0.saturating_add(1))
    }
}

/// Fencing token of a scheduler. A backend server rejects orders whose token is lower than the highest it has seen.
///
/// The token is the store revision at which the scheduler was elected, so it rises with each election.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Default,
    Serialize,
    Deserialize,
    Display,
    derive_more::FromStr,
)]
#[serde(transparent)]
pub struct Fence(pub u64);
