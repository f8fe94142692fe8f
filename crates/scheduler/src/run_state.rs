//! State of jobs, occurrences, groups and runs in memory, in addition to what is stored.

use std::sync::Arc;

use jobs::{Checkpoint, Duration, Job, JobState, OccurrenceId, Placement, Progress, Step, StepId, TaskId};
use model::{BackendServerId, Incarnation, Moment, Revision};

use crate::{
    run_time::{RunProgress, Siblings},
    sharing::Account,
    speed::{Measured, StepTimes},
    throttle::Throttle,
};

/// Progress of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Not stored yet: no order has been sent.
    Planned,
    /// Ordered without a response so far.
    Sent {
        /// Number of orders sent, from 1.
        tries: u32,
    },
    /// Confirmed by the backend server.
    Running,
    /// Placed by an earlier scheduler; the backend server has not responded to this one yet.
    Restored,
}

/// Progress of an isolated retry of a suspected task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum IsolatedRetry {
    /// Just started: nothing else is placed on its backend server.
    Started,
    /// Has run for longer than a task that crashes its backend server at the start would: one task of a stalled job
    /// may be placed beside it.
    Stable,
}

/// One task of a run.
#[derive(Debug, Clone)]
pub(crate) struct Member {
    pub(crate) index: u32,
    pub(crate) server: BackendServerId,
    /// Incarnation of the backend server that the task was placed on.
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) phase: Phase,
    /// A listing requested after this time must show the run if it still runs; `None` while one may lack it.
    pub(crate) confirmed_at: Option<Moment>,
    /// When the latest stop was sent; `None` if none awaits a response.
    pub(crate) stop_sent: Option<Moment>,
    /// Latest checkpoint that the backend server has reported.
    pub(crate) checkpoint: Option<Checkpoint>,
    /// Share of its work that the backend server last reported as done, 0 to 100.
    pub(crate) percent: u32,
    /// When `percent` was reported.
    pub(crate) percent_at: Moment,
    /// Progress as reported so far.
    pub(crate) progress: RunProgress,
    /// Whether an earlier scheduler started it, at an unknown time.
    pub(crate) started_before: bool,
    /// See [`crate::RunningTask::latency_ms`].
    pub(crate) latency_ms: Option<f64>,
    pub(crate) throttle: Throttle,
    /// Whether its speed has been counted for its backend server.
    pub(crate) measured: Measured,
}

impl Member {
    /// Creates a member that is to start.
    pub(crate) fn planned(placement: &Placement) -> Member {
        Member {
            index: placement.index,
            server: placement.server.clone(),
            incarnation: placement.incarnation,
            phase: Phase::Planned,
            confirmed_at: None,
            stop_sent: None,
            checkpoint: None,
            percent: 0,
            percent_at: Moment::ZERO,
            progress: RunProgress::default(),
            started_before: false,
            latency_ms: None,
            throttle: Throttle::full(),
            measured: Measured::NotYet,
        }
    }

    /// Creates a member that an earlier scheduler placed, restored by one elected at `elected`.
    pub(crate) fn restored(placement: &Placement, elected: Moment) -> Member {
        Member {
            phase: Phase::Restored,
            confirmed_at: Some(elected),
            throttle: Throttle::unknown(),
            measured: Measured::StartedBefore,
            started_before: true,
            ..Member::planned(placement)
        }
    }
}

impl Member {
    /// Whether it runs, as far as is known.
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running | Phase::Restored)
    }

    /// Returns how long it is known to have run: from its confirmation to the latest response of its backend server,
    /// at `last_response`. `None` if this scheduler has no confirmation that it started.
    pub(crate) fn known_run_time(&self, last_response: Option<Moment>) -> Option<Duration> {
        let confirmed = self.confirmed_at.filter(|_| self.phase == Phase::Running)?;
        Some(last_response.map_or(Duration::ZERO, |last_response| last_response.since(confirmed)))
    }
}

/// Reason why a run is being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum StopReason {
    /// Another member ended or could not start.
    GangBroken,
    /// The caller cancelled the job.
    Cancelled,
    /// The occurrence cannot succeed any more: another of its tasks has failed for good.
    Hopeless,
    /// A job of higher precedence needs the capacity.
    Preempted,
    /// An earlier run had completed the work after all.
    AlreadyDone,
    /// The backend server is draining, or its machine is being drained for maintenance.
    ServerLeaving,
    /// The availability zone is being evacuated.
    ZoneEvacuated,
    /// The backend server does not respond, and the run had not been started there.
    ServerSilent,
    /// The capacity of the backend server has shrunk, and the run had not been started there.
    ServerShrunk,
    /// The run is listed where it is not placed.
    Orphaned,
}

/// Group of tasks that start and end together.
#[derive(Debug, Clone)]
pub(crate) struct Group {
    pub(crate) members: Vec<Member>,
    /// Version of the progress that holds the members' placements.
    pub(crate) placed_version: u64,
    /// Why the run is being stopped; `None` if it is not.
    pub(crate) stopping: Option<StopReason>,
    /// When the run was last stopped.
    pub(crate) stopped_at: Moment,
    /// Since when the group could have started; `None` while it cannot.
    pub(crate) ready_since: Option<Moment>,
    /// When the latest run was placed.
    pub(crate) placed_at: Moment,
    /// State of the isolated retry, while the run is one of a suspected task that has not outlived its start.
    pub(crate) isolated_retry: Option<IsolatedRetry>,
    /// Backend servers where the group failed.
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
    /// Progress as the store holds it.
    pub(crate) stored_progress: Progress,
    /// Version of `progress`, incremented by each change.
    pub(crate) version: u64,
    /// Version that the store holds.
    pub(crate) stored_version: u64,
    /// Revision of the progress in the store; 0 if the store holds none.
    pub(crate) store_revision: Revision,
    /// Backend servers with completions that can be acknowledged only after this occurrence is stored.
    pub(crate) completions_from: Vec<BackendServerId>,
    /// Since when nothing of it runs on a responsive backend server, as of the latest plan; `None` while something
    /// does.
    pub(crate) idle_since: Option<Moment>,
    /// Whether something of it is placed on a responsive backend server, as of the latest plan.
    pub(crate) is_placed: bool,
    /// Run times so far, by step.
    pub(crate) times: Vec<StepTimes>,
    /// What the tasks of each step tell about its run time.
    pub(crate) siblings: Vec<Siblings>,
    /// Estimated run time of the longest chain of its steps.
    pub(crate) chain: Duration,
    /// Groups by step, in the order of `progress.groups`.
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
            siblings: vec![Siblings::default(); job.steps.len()],
            chain: longest_chain(job, |step| job.steps[step].estimate),
            groups,
        }
    }

    /// Whether it has failed or is done.
    pub(crate) fn is_finished(&self) -> bool {
        self.progress.failed || self.progress.done()
    }
}

/// Job with its occurrences.
#[derive(Debug)]
pub(crate) struct JobEntry {
    /// Where its work is counted for fair shares.
    pub(crate) account: Account,
    pub(crate) job: Arc<Job>,
    /// Priority of its queue; the highest number while the policy of the queue is unknown.
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
            account: Account::default(),
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

    /// Returns the state as callers may see it, which is the one that the store holds.
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

/// Returns the run time of the longest chain of a job's steps, by the run times of the steps.
pub(crate) fn longest_chain(job: &Job, run_time: impl Fn(usize) -> Duration) -> Duration {
    let mut until: Vec<Duration> = Vec::with_capacity(job.steps.len());
    for (i, step) in job.steps.iter().enumerate() {
        let from = step.after.iter().map(|&earlier| until[earlier]).max().unwrap_or(Duration::ZERO);
        until.push(from + run_time(i));
    }
    until.into_iter().max().unwrap_or(Duration::ZERO)
}

/// Identifier of a group: a gang, or one task of a step without gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct GroupId {
    pub(crate) occurrence: OccurrenceId,
    pub(crate) step: usize,
    pub(crate) group: usize,
}

impl GroupId {
    /// Returns the group that a task belongs to.
    pub(crate) fn of(task: TaskId, step: &Step) -> GroupId {
        let group = if step.gang { 0 } else { task.index as usize };
        GroupId { occurrence: task.occurrence, step: task.step as usize, group }
    }

    pub(crate) fn step_id(&self) -> StepId {
        StepId { occurrence: self.occurrence, step: self.step as u32 }
    }

    /// Returns the task of a member.
    pub(crate) fn task(&self, index: u32) -> TaskId {
        TaskId { occurrence: self.occurrence, step: self.step as u32, index }
    }
}
