//! Stored progress of an occurrence, from which another scheduler can continue it.
//!
//! The serialized field names are short: the progress of up to 10,000 tasks has to fit into one value of the store.

use std::{collections::BTreeSet, sync::Arc};

use model::{BackendServerId, Incarnation};
use serde::{Deserialize, Serialize};

use crate::{Job, JobState, RunNumber, Step};

/// Checkpoint that a task wrote, opaque to the scheduler.
pub type Checkpoint = Arc<str>;

/// Backend server that a task was ordered to run on, or is about to be ordered to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Index of the task in its step.
    #[serde(rename = "i")]
    pub index: u32,
    /// Backend server that runs the task.
    #[serde(rename = "on")]
    pub server: BackendServerId,
    /// Incarnation of the backend server; `None` on a platform that gives each incarnation an id of its own.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
    /// Address that the backend server is called at; empty if unknown. It is stored because the platform may no longer
    /// list the backend server when another scheduler has to call it.
    #[serde(rename = "at", default, skip_serializing_if = "str::is_empty")]
    pub address: Arc<str>,
}

/// Crash of a backend server while a task ran on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Index of the task in its step.
    #[serde(rename = "i")]
    pub index: u32,
    /// Run of the task that the crash ended.
    #[serde(rename = "r")]
    pub run: RunNumber,
    /// Whether the run is known to have started: its start was confirmed, or the backend server listed it.
    #[serde(rename = "b", default, skip_serializing_if = "is_false")]
    pub started: bool,
    /// Whether the run is not known to have continued after its start.
    #[serde(rename = "e", default, skip_serializing_if = "is_false")]
    pub early: bool,
    /// Address of the backend server, which its next incarnation has too; empty if unknown.
    #[serde(rename = "at", default, skip_serializing_if = "str::is_empty")]
    pub address: Arc<str>,
}

/// Start of a task after a backend server had crashed under it: confirmed, or ordered and expired with its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Index of the task in its step.
    #[serde(rename = "i")]
    pub index: u32,
    /// Run of the task that was started.
    #[serde(rename = "r")]
    pub run: RunNumber,
}

/// Progress of a group of tasks that start and end together. A gang is one group; any other task is a group of its own.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct GroupProgress {
    /// Whether all its tasks have succeeded.
    #[serde(rename = "d", default, skip_serializing_if = "is_false")]
    pub done: bool,
    /// Whether any of its tasks has ever started.
    #[serde(rename = "b", default, skip_serializing_if = "is_false")]
    pub started: bool,
    /// Runs that have failed. Each counts once against the retry budget, whichever of its members failed first.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub failed_runs: Vec<RunNumber>,
    /// Crashes of backend servers under its tasks. They are counted here because a backend server cannot list a crash
    /// as a completion.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
    /// Latest starts of tasks with crashes. They are stored because the scheduler that detects a crash may not be the
    /// one that received the reply to the start.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub starts: Vec<Start>,
    /// Number of the latest run; 0 if there was none.
    #[serde(rename = "r", default, skip_serializing_if = "is_run_zero")]
    pub run: RunNumber,
    /// Latest checkpoint of an earlier run; `None` if there is none.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Checkpoint>,
    /// Backend servers of the latest run, one entry for each task; empty after the run is known to have ended.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub placed: Vec<Placement>,
}

/// Progress of one occurrence.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Progress {
    /// Progress of each group, by index of the step, then by index of the group in the step.
    #[serde(rename = "g")]
    pub groups: Vec<Vec<GroupProgress>>,
    /// Whether the occurrence can no longer succeed.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub failed: bool,
}

impl Progress {
    /// Returns the progress of an occurrence of `job` before anything has started.
    pub fn new(job: &Job) -> Progress {
        let group_count = |step: &crate::Step| if step.gang { 1 } else { step.count as usize };
        let groups = job.steps.iter().map(|step| vec![GroupProgress::default(); group_count(step)]).collect();
        Progress { groups, failed: false }
    }

    /// Whether this can be the progress of an occurrence of `job`: it has the same steps and groups, and names no other
    /// tasks than theirs, none of them twice.
    pub fn fits(&self, job: &Job) -> bool {
        let steps = self.groups.iter().zip(&job.steps);
        self.groups.len() == job.steps.len() && steps.into_iter().all(|(groups, step)| groups_fit(groups, step))
    }

    /// Returns whether every task has succeeded.
    pub fn done(&self) -> bool {
        self.groups.iter().flatten().all(|group| group.done)
    }

    /// Returns whether any task has started.
    pub fn started(&self) -> bool {
        self.groups.iter().flatten().any(|group| group.started || group.done)
    }

    /// Returns whether every task of a step has succeeded. Panics if there is no such step.
    pub fn step_done(&self, step: usize) -> bool {
        self.groups[step].iter().all(|group| group.done)
    }

    /// Returns the state of a job from the progress of all its occurrences, and from whether its caller has cancelled
    /// it.
    pub fn job_state<'a>(all: impl Iterator<Item = &'a Progress> + Clone, cancelled: bool) -> JobState {
        if all.clone().any(|progress| progress.failed) {
            return JobState::Failed;
        }
        if all.clone().all(Progress::done) {
            return JobState::Succeeded;
        }
        if cancelled {
            return JobState::Cancelled;
        }
        if all.into_iter().any(Progress::started) { JobState::Running } else { JobState::Queued }
    }
}

fn groups_fit(groups: &[GroupProgress], step: &Step) -> bool {
    let count = if step.gang { 1 } else { step.count as usize };
    let fits = |(index, group): (usize, &GroupProgress)| {
        let is_member = |task: u32| if step.gang { task < step.count } else { task as usize == index };
        let placed: BTreeSet<u32> = group.placed.iter().map(|placement| placement.index).collect();
        let others = group.crashes.iter().map(|crash| crash.index).chain(group.starts.iter().map(|start| start.index));
        placed.len() == group.placed.len() && placed.into_iter().chain(others).all(is_member)
    };
    groups.len() == count && groups.iter().enumerate().all(fits)
}

fn is_false(b: &bool) -> bool {
    !*b
}

fn is_run_zero(run: &RunNumber) -> bool {
    run.0 == 0
}
