//! What must be remembered of an occurrence, so that another scheduler can go on from it.

use std::sync::Arc;

use model::{BackendServerId, Incarnation};
use serde::{Deserialize, Serialize};

use crate::{Job, JobState, RunNumber};

/// A checkpoint, opaque to the scheduler.
pub type Checkpoint = Arc<str>;

/// Where one task was told to run, or is about to be told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The task's index in its step.
    #[serde(rename = "i")]
    pub index: u32,
    /// The backend server.
    #[serde(rename = "on")]
    pub server: BackendServerId,
    /// In which of its lives; `None` on a platform where each life has an id of its own.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
    /// Where it is reached: the platform may list it no more when another scheduler has to call it. Empty if that is not known.
    #[serde(rename = "at", default, skip_serializing_if = "str::is_empty")]
    pub address: Arc<str>,
}

/// A backend server crashed while a task ran there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The task's index in its step.
    #[serde(rename = "i")]
    pub index: u32,
    /// Which run of it.
    #[serde(rename = "r")]
    pub run: RunNumber,
    /// The run is known to have begun: its start was answered, or it was listed.
    #[serde(rename = "b", default, skip_serializing_if = "is_false")]
    pub started: bool,
    /// The run is not known to have outlived its start.
    #[serde(rename = "e", default, skip_serializing_if = "is_false")]
    pub early: bool,
    /// Where: the backend server's place, which its next life has again. Empty if it is not known.
    #[serde(rename = "at", default, skip_serializing_if = "str::is_empty")]
    pub address: Arc<str>,
}

/// The progress of a group: tasks that start and end together. A gang is one group; any other task is
/// a group of its own.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct GroupProgress {
    /// All its tasks have ended well.
    #[serde(rename = "d", default, skip_serializing_if = "is_false")]
    pub done: bool,
    /// A member has begun at some time.
    #[serde(rename = "b", default, skip_serializing_if = "is_false")]
    pub started: bool,
    /// Runs that have failed: each counts against the budget, whichever of its members failed first.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub failed_runs: Vec<RunNumber>,
    /// Crashes under its tasks. A crash is no end that a backend server could list, so it is kept here to count.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
    /// The number of the latest run; 0 if there was none.
    #[serde(rename = "r", default, skip_serializing_if = "no_run")]
    pub run: RunNumber,
    /// The latest checkpoint of an earlier run.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Checkpoint>,
    /// Where the latest run was placed; empty once it is known to be over.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub placed: Vec<Placement>,
}

/// The progress of one occurrence: its groups, by step.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Progress {
    /// By step, then by group.
    #[serde(rename = "g")]
    pub groups: Vec<Vec<GroupProgress>>,
    /// The occurrence can never succeed.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub failed: bool,
}

impl Progress {
    /// Nothing has happened yet.
    pub fn new(job: &Job) -> Progress {
        let groups_of = |step: &crate::Step| if step.gang { 1 } else { step.count as usize };
        let groups = job.steps.iter().map(|step| vec![GroupProgress::default(); groups_of(step)]).collect();
        Progress { groups, failed: false }
    }

    /// Whether every task has ended well.
    pub fn done(&self) -> bool {
        self.groups.iter().flatten().all(|group| group.done)
    }

    /// Whether a task has begun.
    pub fn started(&self) -> bool {
        self.groups.iter().flatten().any(|group| group.started || group.done)
    }

    /// Whether every task of a step has ended well.
    pub fn step_done(&self, step: usize) -> bool {
        self.groups[step].iter().all(|group| group.done)
    }

    /// The state of a job whose occurrences have come this far.
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

fn is_false(b: &bool) -> bool {
    !*b
}

fn no_run(run: &RunNumber) -> bool {
    run.0 == 0
}
