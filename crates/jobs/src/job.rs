//! Jobs as their callers submitted them.
//!
//! A [`Job`] is checked when it is built from a [`RawJob`], so that the rest of the system doesn't repeat the checks.

use std::sync::Arc;

use derive_more::{Display, Error};
use model::CustomerId;
use serde::{Deserialize, Serialize};

use crate::{JobId, QueueId, QueuePolicy};

pub use model::Duration;

/// Longest text that a job passes to its tasks, in bytes (platform protocol).
const MAX_TEXT_BYTES: usize = 4000;
/// Most steps of one job: far above what callers submit, low enough to bound the size of a stored record.
pub const MAX_STEPS: usize = 64;
/// Most tasks of one occurrence: the record of its progress must fit into one value of the store.
const MAX_TASKS: u64 = 10_000;
/// Most occurrences of a timed job.
const MAX_TIMES: u32 = 10_000;
/// Most tasks of all occurrences of a job together: a scheduler keeps about 0.4 KB for each in memory.
const MAX_TASKS_OF_ALL_TIMES: u64 = 50_000;

/// Error of checking a submitted job.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{field}: {why}")]
pub struct JobError {
    /// Path of the invalid field, such as `steps[1].count`.
    pub field: String,
    /// Description of the values that the field accepts.
    pub why: String,
}

impl JobError {
    fn new(field: impl Into<String>, why: impl Into<String>) -> JobError {
        JobError { field: field.into(), why: why.into() }
    }
}

/// Amounts of processor, memory and accelerators: those that one task takes while it runs, or those of a backend
/// server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Processor share, in thousandths of a core.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cpu_milli: u64,
    /// Memory, in megabytes.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub memory_mb: u64,
    /// Number of whole accelerators.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub accelerators: u64,
}

impl Resources {
    /// Returns whether every amount is at least that of `other`.
    pub fn contains(&self, other: &Resources) -> bool {
        self.cpu_milli >= other.cpu_milli
            && self.memory_mb >= other.memory_mb
            && self.accelerators >= other.accelerators
    }

    /// Adds the amounts of `other`; each stops at the largest number.
    pub fn add(&mut self, other: &Resources) {
        self.cpu_milli = self.cpu_milli.saturating_add(other.cpu_milli);
        self.memory_mb = self.memory_mb.saturating_add(other.memory_mb);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }

    /// Subtracts the amounts of `other`; each stops at zero.
    pub fn remove(&mut self, other: &Resources) {
        self.cpu_milli = self.cpu_milli.saturating_sub(other.cpu_milli);
        self.memory_mb = self.memory_mb.saturating_sub(other.memory_mb);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }

    /// Returns the larger of both amounts, for each kind of resource.
    pub fn max(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns how many tasks that take `each` fit; `u64::MAX` if `each` is zero.
    pub fn count_of(&self, each: &Resources) -> u64 {
        let count = |have: u64, want: u64| have.checked_div(want).unwrap_or(u64::MAX);
        count(self.cpu_milli, each.cpu_milli)
            .min(count(self.memory_mb, each.memory_mb))
            .min(count(self.accelerators, each.accelerators))
    }

    /// Returns the amounts that `n` such tasks take together; each stops at the largest number.
    pub fn times(&self, n: u64) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_mul(n),
            memory_mb: self.memory_mb.saturating_mul(n),
            accelerators: self.accelerators.saturating_mul(n),
        }
    }
}

/// Step of a job: tasks that are alike.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks, at least 1.
    pub count: u32,
    /// Resources that each task takes while it runs.
    pub need: Resources,
    /// Caller's estimate of a task's run time, which may be far off.
    pub estimate: Duration,
    /// Indices of the earlier steps whose tasks must all be done before this step starts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<usize>,
    /// Whether its tasks write checkpoints, from which a later run resumes.
    #[serde(default, skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Whether its tasks form a gang: they run together or not at all.
    #[serde(default, skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether its tasks are much slower when they are spread over several racks.
    #[serde(default, skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// Label that the backend server must have; `None` for any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub label: Option<Arc<str>>,
    /// Rack that holds its data; its tasks are much slower on other racks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<Arc<str>>,
    /// Most of its tasks on one backend server, at least 1; `None` for no bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_per_server: Option<u32>,
    /// Whether copies of a task may run at the same time.
    #[serde(default, skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// Whether its tasks run until the job is cancelled, and are restarted after any completion.
    #[serde(default, skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// Most tasks of a long-running step that the system may keep stopped at the same time; `None` for no bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_absent: Option<u32>,
    /// Image that its tasks run; tasks of one image behave alike.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub image: Option<Arc<str>>,
    /// Tail latency objective of the requests that its tasks serve; `None` if they have none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<Duration>,
    /// Whether its processor share is not counted: its tasks use only what the other tasks leave idle.
    #[serde(default, skip_serializing_if = "is_false")]
    pub best_effort: bool,
}

impl Step {
    /// Returns the resources that a task takes from a backend server's capacity.
    pub fn counted_resources(&self) -> Resources {
        if self.best_effort { Resources { cpu_milli: 0, ..self.need } } else { self.need }
    }
}

/// Due times of the occurrences of a timed job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of occurrences, at least 1.
    pub times: u32,
    /// Due time of the first occurrence, in wall-clock milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// Time between the due times of successive occurrences, in milliseconds.
    pub interval_ms: u64,
}

/// Checked job. It doesn't change after it is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "RawJob", into = "RawJob")]
pub struct Job {
    /// Identifier, chosen by the caller.
    pub id: JobId,
    /// Queue that the job was submitted to.
    pub queue: QueueId,
    /// Policy of the queue when the job was submitted; `None` in records of earlier builds.
    pub policy: Option<QueuePolicy>,
    /// Customer that owns the job; `None` on a queue that is open to all.
    pub customer: Option<CustomerId>,
    /// Text that is passed unchanged to each task, at most `MAX_TEXT_BYTES`.
    pub text: Arc<str>,
    /// Steps of the job, 1 to `MAX_STEPS`.
    pub steps: Vec<Step>,
    /// Due times of its occurrences; `None` for one occurrence that is due at once.
    pub schedule: Option<Schedule>,
    /// Time at which the job was accepted, in wall-clock milliseconds since the Unix epoch.
    pub accepted_ms: u64,
}

impl Job {
    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// Returns the due time of an occurrence, in wall-clock milliseconds since the Unix epoch; 0 if it is due at once.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        self.schedule.map_or(0, |schedule| {
            let after_first = schedule.interval_ms.saturating_mul(u64::from(occurrence));
            schedule.first_ms.saturating_add(after_first)
        })
    }

    /// Returns whether the job runs until it is cancelled.
    pub fn long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns whether `other` requests the same work. A second submission under the same id is then a repetition of
    /// the first.
    pub fn same_work(&self, other: &Job) -> bool {
        self.text == other.text && self.steps == other.steps && self.schedule == other.schedule
    }
}

/// Job as it is stored and sent between boxes, not yet checked.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the fields are those of `Job`")]
pub struct RawJob {
    pub id: JobId,
    pub queue: QueueId,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<QueuePolicy>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerId>,
    pub text: Arc<str>,
    pub steps: Vec<RawStep>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
    pub accepted_ms: u64,
}

/// Step of a [`RawJob`], not yet checked.
pub type RawStep = Step;

impl TryFrom<RawJob> for Job {
    type Error = JobError;
    fn try_from(raw: RawJob) -> Result<Job, JobError> {
        if raw.text.len() > MAX_TEXT_BYTES {
            return Err(JobError::new("text", format!("allowed are {MAX_TEXT_BYTES} bytes")));
        }
        check_steps(&raw.steps)?;
        if raw.schedule.is_some_and(|schedule| schedule.times == 0 || schedule.times > MAX_TIMES) {
            return Err(JobError::new("schedule.times", format!("allowed is 1 to {MAX_TIMES}")));
        }
        let times = raw.schedule.map_or(1, |schedule| schedule.times);
        let tasks = u64::from(times).saturating_mul(task_count(&raw.steps));
        if tasks > MAX_TASKS_OF_ALL_TIMES {
            return Err(JobError::new("schedule.times", format!("allowed are {MAX_TASKS_OF_ALL_TIMES} tasks in all")));
        }
        Ok(Job {
            id: raw.id,
            queue: raw.queue,
            policy: raw.policy,
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
            policy: job.policy,
            customer: job.customer,
            text: job.text,
            steps: job.steps,
            schedule: job.schedule,
            accepted_ms: job.accepted_ms,
        }
    }
}

fn task_count(steps: &[Step]) -> u64 {
    steps.iter().map(|step| u64::from(step.count)).sum()
}

fn check_steps(steps: &[Step]) -> Result<(), JobError> {
    if steps.is_empty() || steps.len() > MAX_STEPS {
        return Err(JobError::new("steps", format!("allowed are 1 to {MAX_STEPS}")));
    }
    if task_count(steps) > MAX_TASKS {
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
