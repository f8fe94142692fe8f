//! A job as its caller handed it in.

use std::sync::Arc;

use derive_more::{Display, Error};
use model::CustomerId;
use serde::{Deserialize, Serialize};

use crate::{JobId, QueueId};

pub use model::Duration;

/// Longest text that a job passes to its tasks, in bytes (users' protocol page).
const MAX_TEXT: usize = 4000;
/// Most steps of one job: far above what the users hand in, low enough to bound a record.
const MAX_STEPS: usize = 64;
/// Most tasks of one occurrence: a record of its progress must fit a value of the store.
const MAX_TASKS: u64 = 10_000;
/// Most occurrences of a timed job.
const MAX_TIMES: u32 = 10_000;

/// Why a job cannot be taken.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{field}: {why}")]
pub struct JobError {
    /// The field at fault, as a path such as `steps[1].count`.
    pub field: String,
    /// What is allowed there.
    pub why: String,
}

impl JobError {
    fn new(field: impl Into<String>, why: impl Into<String>) -> JobError {
        JobError { field: field.into(), why: why.into() }
    }
}

/// What one task needs of a backend server while it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cpu_milli: u64,
    /// Megabytes of memory.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub memory_mb: u64,
    /// Whole accelerators.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub accelerators: u64,
}

impl Resources {
    /// Whether this holds `other` in every part.
    pub fn contains(&self, other: &Resources) -> bool {
        self.cpu_milli >= other.cpu_milli
            && self.memory_mb >= other.memory_mb
            && self.accelerators >= other.accelerators
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Resources) {
        self.cpu_milli += other.cpu_milli;
        self.memory_mb += other.memory_mb;
        self.accelerators += other.accelerators;
    }

    /// Takes `other` away; nothing falls below zero.
    pub fn remove(&mut self, other: &Resources) {
        self.cpu_milli = self.cpu_milli.saturating_sub(other.cpu_milli);
        self.memory_mb = self.memory_mb.saturating_sub(other.memory_mb);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }

    /// The larger of both in each part.
    pub fn max(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// How many tasks of `each` fit in.
    pub fn count_of(&self, each: &Resources) -> u64 {
        let part = |have: u64, want: u64| have.checked_div(want).unwrap_or(u64::MAX);
        part(self.cpu_milli, each.cpu_milli)
            .min(part(self.memory_mb, each.memory_mb))
            .min(part(self.accelerators, each.accelerators))
    }

    /// The need of `n` such tasks.
    pub fn times(&self, n: u64) -> Resources {
        Resources { cpu_milli: self.cpu_milli * n, memory_mb: self.memory_mb * n, accelerators: self.accelerators * n }
    }
}

/// Tasks that are alike.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Step {
    /// How many tasks.
    pub count: u32,
    /// What each needs.
    pub need: Resources,
    /// The caller's guess of a task's run time; it may be far off.
    pub estimate: Duration,
    /// Steps, by index, of which every task must be done before this one starts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<usize>,
    /// Its tasks save checkpoints, from which a later run goes on.
    #[serde(default, skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Its tasks run together or not at all.
    #[serde(default, skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Its tasks are much slower when spread over several racks.
    #[serde(default, skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// A label that the backend server must have.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub label: Option<Arc<str>>,
    /// The rack that holds its data; elsewhere its tasks are much slower.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<Arc<str>>,
    /// Most of its tasks on one backend server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_per_server: Option<u32>,
    /// Copies of a task may run side by side.
    #[serde(default, skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// Its tasks run until the job is cancelled and are started again however they end.
    #[serde(default, skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// Most of a long-running step's tasks that the system may take away at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_absent: Option<u32>,
    /// What its tasks run; tasks of one image behave alike.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub image: Option<Arc<str>>,
    /// Objective for the tail latency of what its tasks serve themselves.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<Duration>,
    /// Its processor need is not counted: its tasks live on what others leave.
    #[serde(default, skip_serializing_if = "is_false")]
    pub best_effort: bool,
}

impl Step {
    /// What a task takes of a backend server's room.
    pub fn counted_resources(&self) -> Resources {
        if self.best_effort { Resources { cpu_milli: 0, ..self.need } } else { self.need }
    }
}

/// When the occurrences of a timed job are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// How many occurrences, at least one.
    pub times: u32,
    /// When the first is due, in wall-clock milliseconds since 1970.
    pub first_ms: u64,
    /// From one to the next, in milliseconds.
    pub interval_ms: u64,
}

/// A job, checked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawJob", into = "RawJob")]
pub struct Job {
    /// Its name.
    pub id: JobId,
    /// Where it was handed in.
    pub queue: QueueId,
    /// Whose it is; `None` on a queue that is open to all.
    pub customer: Option<CustomerId>,
    /// Given to each of its tasks as it is.
    pub text: Arc<str>,
    /// At least one.
    pub steps: Vec<Step>,
    /// When its occurrences are due; `None` for one occurrence that is due at once.
    pub schedule: Option<Schedule>,
    /// When it was accepted, in wall-clock milliseconds since 1970.
    pub accepted_ms: u64,
}

impl Job {
    /// How many occurrences it has.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// When an occurrence is due, in wall-clock milliseconds since 1970; 0 for at once.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        self.schedule.map_or(0, |schedule| schedule.first_ms + schedule.interval_ms * u64::from(occurrence))
    }

    /// Whether it runs until it is cancelled.
    pub fn long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Whether `other` asks for the same work, so that a second submission is a repetition of the first.
    pub fn same_work(&self, other: &Job) -> bool {
        self.text == other.text && self.steps == other.steps && self.schedule == other.schedule
    }
}

/// A job as it stands in the store and between boxes.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the fields are those of `Job`")]
pub struct RawJob {
    pub id: JobId,
    pub queue: QueueId,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerId>,
    pub text: Arc<str>,
    pub steps: Vec<RawStep>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
    pub accepted_ms: u64,
}

/// A step before it is checked.
pub type RawStep = Step;

impl TryFrom<RawJob> for Job {
    type Error = JobError;
    fn try_from(raw: RawJob) -> Result<Job, JobError> {
        if raw.text.len() > MAX_TEXT {
            return Err(JobError::new("text", format!("allowed are {MAX_TEXT} bytes")));
        }
        check_steps(&raw.steps)?;
        if raw.schedule.is_some_and(|schedule| schedule.times == 0 || schedule.times > MAX_TIMES) {
            return Err(JobError::new("schedule.times", format!("allowed is 1 to {MAX_TIMES}")));
        }
        Ok(Job {
            id: raw.id,
            queue: raw.queue,
            customer: raw.customer,
            text: raw.text,
            steps: raw.steps,
            schedule: raw.schedule,
            accepted_ms: raw.accepted_ms,
        })
    }
}

impl From<Job> for RawJob {
    fn from(job: Job) -> RawJob {
        RawJob {
            id: job.id,
            queue: job.queue,
            customer: job.customer,
            text: job.text,
            steps: job.steps,
            schedule: job.schedule,
            accepted_ms: job.accepted_ms,
        }
    }
}

fn check_steps(steps: &[Step]) -> Result<(), JobError> {
    if steps.is_empty() || steps.len() > MAX_STEPS {
        return Err(JobError::new("steps", format!("allowed are 1 to {MAX_STEPS}")));
    }
    let tasks: u64 = steps.iter().map(|step| u64::from(step.count)).sum();
    if tasks > MAX_TASKS {
        return Err(JobError::new("steps", format!("allowed are {MAX_TASKS} tasks in all")));
    }
    for (i, step) in steps.iter().enumerate() {
        if step.count == 0 {
            return Err(JobError::new(format!("steps[{i}].count"), "allowed is 1 or more"));
        }
        if step.after.iter().any(|&earlier| earlier >= i) {
            return Err(JobError::new(format!("steps[{i}].after"), "allowed are indices of earlier steps"));
        }
        if step.max_per_server == Some(0) {
            return Err(JobError::new(format!("steps[{i}].max_per_server"), "allowed is 1 or more"));
        }
    }
    Ok(())
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

fn is_false(b: &bool) -> bool {
    !*b
}
