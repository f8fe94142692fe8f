//! Names of jobs, their occurrences and their tasks, and the numbers that order what is done to them.

use std::{fmt, str::FromStr, sync::Arc};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Why a text names nothing.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{text:?} is no {kind}: allowed is {allowed}")]
pub struct ParseNameError {
    /// What the text was meant to name.
    pub kind: &'static str,
    /// The text as given.
    pub text: String,
    /// The accepted form.
    pub allowed: &'static str,
}

impl ParseNameError {
    fn new(kind: &'static str, text: &str, allowed: &'static str) -> ParseNameError {
        ParseNameError { kind, text: text.chars().take(80).collect(), allowed }
    }
}

/// A job's name, chosen by its caller: 16 hexadecimal digits.
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

/// The queue that a job was handed in to: jobs of one class, with one priority and one objective.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(transparent)]
pub struct QueueId(Arc<str>);

impl From<&str> for QueueId {
    fn from(name: &str) -> QueueId {
        QueueId(Arc::from(name))
    }
}

/// One occurrence of a job: the only one of most jobs, one per due time of a timed job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{job}.{number}")]
pub struct OccurrenceId {
    /// The job.
    pub job: JobId,
    /// From 0.
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

/// One step of an occurrence. Written as `JOB.OCCURRENCE.STEP`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{occurrence}.{step}")]
pub struct StepId {
    /// The occurrence.
    pub occurrence: OccurrenceId,
    /// Index of the step in the job, from 0.
    pub step: u32,
}

/// One task: a member of a step of an occurrence. Written as `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{occurrence}.{step}.{index}")]
pub struct TaskId {
    /// The occurrence.
    pub occurrence: OccurrenceId,
    /// Index of the step in the job, from 0.
    pub step: u32,
    /// Index in the step, from 0.
    pub index: u32,
}

impl TaskId {
    /// The step that it is a member of.
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
        let mut number = || -> Option<u32> { parts.next()?.parse().ok() };
        let task = TaskId {
            occurrence: OccurrenceId { job, number: number().ok_or_else(error)? },
            step: number().ok_or_else(error)?,
            index: number().ok_or_else(error)?,
        };
        if parts.next().is_some() {
            return Err(error());
        }
        Ok(task)
    }
}

/// Counts the starts of a task, from 1; all members of a gang share it.
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
    /// The number of the next start.
    pub fn next(self) -> RunNumber {
        RunNumber(self.0 + 1)
    }
}

/// The fencing token of a scheduler: a backend server obeys none that is lower than one it has seen.
///
/// It is the revision of the store at which the scheduler was elected, so that it rises with each election.
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
