//! Runs under way, as the scheduler knows them beside what is stored.

use std::sync::Arc;

use jobs::{Checkpoint, Duration, Job, JobState, OccurrenceId, Placement, Progress, Step, StepId, TaskId};
use model::{BackendServerId, Incarnation, Moment, Revision};

use crate::{
    speed::{Measured, StepTimes},
    throttle::Throttle,
};

/// How far a start has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The store does not hold it yet: no order has left.
    Planned,
    /// Ordered this often, without an answer.
    Sent {
        /// From 1.
        tries: u32,
    },
    /// The backend server has it.
    Running,
    /// An earlier scheduler placed it; its backend server has not been heard yet.
    Restored,
}

/// How far the trial of a suspect's run has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum IsolatedRetry {
    /// Nothing is placed beside it.
    Started,
    /// A task that crashes whatever starts it would have done so: one task of a job that stands may be placed beside it.
    Stable,
}

/// One task of a run.
#[derive(Debug, Clone)]
pub(crate) struct Member {
    pub(crate) index: u32,
    pub(crate) server: BackendServerId,
    /// In which of its lives.
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) phase: Phase,
    /// A listing that was asked for after this must show the run, if it goes on.
    pub(crate) confirmed_at: Option<Moment>,
    /// When it was last told to stop.
    pub(crate) stop_sent: Option<Moment>,
    /// The latest checkpoint that it has told of.
    pub(crate) checkpoint: Option<Checkpoint>,
    /// How far it says that it has come, from 0 to 100.
    pub(crate) percent: u32,
    /// When it said so.
    pub(crate) percent_at: Moment,
    /// See [`crate::RunningTask::latency_ms`].
    pub(crate) latency_ms: Option<f64>,
    pub(crate) throttle: Throttle,
    /// Whether its speed has told of its backend server's.
    pub(crate) measured: Measured,
}

impl Member {
    /// A task that is to start.
    pub(crate) fn planned(placed: &Placement) -> Member {
        Member {
            index: placed.index,
            server: placed.server.clone(),
            incarnation: placed.incarnation,
            phase: Phase::Planned,
            confirmed_at: None,
            stop_sent: None,
            checkpoint: None,
            percent: 0,
            percent_at: Moment::ZERO,
            latency_ms: None,
            throttle: Throttle::full(),
            measured: Measured::NotYet,
        }
    }

    /// A task that an earlier scheduler placed, found by one elected at `elected`.
    pub(crate) fn restored(placed: &Placement, elected: Moment) -> Member {
        Member {
            phase: Phase::Restored,
            confirmed_at: Some(elected),
            throttle: Throttle::unknown(),
            measured: Measured::StartedBefore,
            ..Member::planned(placed)
        }
    }
}

impl Member {
    /// Whether it runs as far as is known.
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running | Phase::Restored)
    }

    /// How long it is known to have run: from when that was first known until its backend server was last heard, at `heard`.
    /// `None` if this scheduler does not know that it has begun.
    pub(crate) fn known_run_time(&self, heard: Option<Moment>) -> Option<Duration> {
        let started = self.confirmed_at.filter(|_| self.phase == Phase::Running)?;
        Some(heard.map_or(Duration::ZERO, |heard| heard.since(started)))
    }
}

/// Why a run is being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub(crate) enum StopReason {
    /// Another member has ended or could not start.
    GangBroken,
    /// Its caller cancelled the job.
    Cancelled,
    /// Another task of the occurrence has failed for good.
    Hopeless,
    /// A job that goes before it needs the room.
    Preempted,
    /// An earlier run of it was done after all.
    AlreadyDone,
    /// Its backend server leaves, or its machine is being emptied for upkeep.
    ServerLeaving,
    /// Its availability zone is evacuated.
    ZoneEvacuated,
    /// Its backend server does not answer, and it had not been started there.
    ServerSilent,
    /// Its backend server has shrunk, and it had not been started there.
    ServerShrunk,
}

/// Tasks that start and end together.
#[derive(Debug, Clone)]
pub(crate) struct Group {
    pub(crate) members: Vec<Member>,
    /// The version of the progress that holds where the members are placed.
    pub(crate) placed_version: u64,
    /// Why its run is being stopped; `None` if it is not.
    pub(crate) stopping: Option<StopReason>,
    /// When its run was last told to stop.
    pub(crate) stopped_at: Moment,
    /// Since when it could have started; `None` while it cannot.
    pub(crate) ready_since: Option<Moment>,
    /// When its latest run was placed.
    pub(crate) placed_at: Moment,
    /// Its run is a suspect's and has not outlived its start; `None` of any other.
    pub(crate) isolated_retry: Option<IsolatedRetry>,
    /// Backend servers where it failed.
    pub(crate) avoid: Vec<BackendServerId>,
}

impl Default for Group {
    fn default() -> Group {
        Group {
            members: Vec::new(),
            placed_version: 0,
            stopping: None,
            stopped_at: Moment::ZERO,
            ready_since: None,
            placed_at: Moment::ZERO,
            isolated_retry: None,
            avoid: Vec::new(),
        }
    }
}

/// One occurrence of a job.
#[derive(Debug)]
pub(crate) struct Occurrence {
    pub(crate) progress: Progress,
    /// As the store holds it.
    pub(crate) stored_progress: Progress,
    /// Rises with each change of `progress`.
    pub(crate) version: u64,
    /// The version that the store holds.
    pub(crate) stored_version: u64,
    /// The store's revision of it; 0 if it holds none.
    pub(crate) store_revision: Revision,
    /// Backend servers with ends that wait for this to be stored.
    pub(crate) completions_from: Vec<BackendServerId>,
    /// Since when nothing of it runs on a backend server that answers, as of the latest plan; `None` while something does.
    pub(crate) idle_since: Option<Moment>,
    /// Something of it is placed on a backend server that answers, as of the latest plan.
    pub(crate) is_placed: bool,
    /// What its runs have taken, by step.
    pub(crate) times: Vec<StepTimes>,
    /// As `progress.groups`.
    pub(crate) groups: Vec<Vec<Group>>,
}

impl Occurrence {
    pub(crate) fn new(job: &Job) -> Occurrence {
        let progress = Progress::new(job);
        let groups = progress.groups.iter().map(|step| vec![Group::default(); step.len()]).collect();
        Occurrence {
            stored_progress: progress.clone(),
            progress,
            version: 0,
            stored_version: 0,
            store_revision: Revision(0),
            completions_from: Vec::new(),
            idle_since: None,
            is_placed: false,
            times: vec![StepTimes::default(); job.steps.len()],
            groups,
        }
    }

    /// Whether it has failed or is done.
    pub(crate) fn is_finished(&self) -> bool {
        self.progress.failed || self.progress.done()
    }
}

/// A job with its occurrences.
#[derive(Debug)]
pub(crate) struct JobEntry {
    pub(crate) job: Arc<Job>,
    /// Run time of the longest chain of its steps, as declared.
    pub(crate) chain: Duration,
    /// Of its queue; the highest number while no configuration names the queue.
    pub(crate) priority: u32,
    pub(crate) cancelled: bool,
    pub(crate) occurrences: Vec<Occurrence>,
    /// When its last task ended or it was cancelled, as far as known.
    pub(crate) ended_at: Option<Moment>,
}

impl JobEntry {
    pub(crate) fn new(job: Job, priority: u32) -> JobEntry {
        let occurrences = (0..job.occurrences()).map(|_| Occurrence::new(&job)).collect();
        JobEntry {
            chain: longest_chain(&job),
            job: Arc::new(job),
            priority,
            cancelled: false,
            occurrences,
            ended_at: None,
        }
    }

    pub(crate) fn occurrence_ids(&self) -> impl Iterator<Item = OccurrenceId> + use<> {
        let job = self.job.id;
        (0..self.occurrences.len() as u32).map(move |number| OccurrenceId { job, number })
    }

    /// What callers may be told: only what the store holds.
    pub(crate) fn state(&self) -> JobState {
        Progress::job_state(self.occurrences.iter().map(|o| &o.stored_progress), self.cancelled)
    }

    /// Whether nothing of it runs or will run.
    pub(crate) fn is_finished(&self) -> bool {
        let idle = |o: &Occurrence| o.groups.iter().flatten().all(|group| group.members.is_empty());
        let ended = |o: &Occurrence| self.cancelled || o.is_finished();
        self.occurrences.iter().all(|occurrence| ended(occurrence) && idle(occurrence))
    }
}

/// Run time of the longest chain of a job's steps, as declared.
fn longest_chain(job: &Job) -> Duration {
    let mut until: Vec<Duration> = Vec::with_capacity(job.steps.len());
    for step in &job.steps {
        let from = step.after.iter().map(|&i| until[i]).max().unwrap_or(Duration::ZERO);
        until.push(from + step.estimate);
    }
    until.into_iter().max().unwrap_or(Duration::ZERO)
}

/// Names a group: a gang, or one task of another step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct GroupId {
    pub(crate) occurrence: OccurrenceId,
    pub(crate) step: usize,
    pub(crate) group: usize,
}

impl GroupId {
    /// The group that a task belongs to.
    pub(crate) fn of(task: TaskId, step: &Step) -> GroupId {
        let group = if step.gang { 0 } else { task.index as usize };
        GroupId { occurrence: task.occurrence, step: task.step as usize, group }
    }

    pub(crate) fn step_id(&self) -> StepId {
        StepId { occurrence: self.occurrence, step: self.step as u32 }
    }

    /// A member's task.
    pub(crate) fn task(&self, index: u32) -> TaskId {
        TaskId { occurrence: self.occurrence, step: self.step as u32, index }
    }
}
