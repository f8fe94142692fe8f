//! One job as its coordinator tracks it.

use std::{collections::BTreeSet, sync::Arc};

use backend::{Holder, TaskState};
use model::{Attempt, BackendServerId, Epoch, JobId, JobSpec, LeaseToken, Member, Moment, Outcome};

use crate::JobView;

/// The stage of a job, for callers and operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Stage {
    /// The job is in the queue.
    Waiting,
    /// Its gang is being reserved or started.
    Starting,
    /// Its gang runs, is being adopted, or has finished and its answer is being read.
    Running,
    /// Its gang is being stopped.
    Stopping,
    /// Another box manages the job now.
    Moved(Holder),
    /// The job will not run under this ticket, which was fenced, replaced or abandoned. The request may continue under
    /// another one.
    Void,
    /// The job has ended.
    Ended(Outcome),
}

/// A job and its current attempt.
pub(crate) struct Job {
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) submitted: Moment,
    pub(crate) attempt: Attempt,
    pub(crate) epoch: Epoch,
    /// Whether another box made the first start, so that a further attempt needs a ticket of this box.
    pub(crate) adopted: bool,
    /// Whether `spec` is the whole request rather than the part that a lease line contains.
    pub(crate) described: bool,
    pub(crate) attempt_started: Moment,
    /// The members of the current attempt.
    pub(crate) members: Vec<GangMember>,
    pub(crate) phase: Phase,
    /// Whether this box has sent `go` for the current attempt.
    pub(crate) go_sent: bool,
    /// Whether any attempt is known to have run, wholly or in part.
    pub(crate) ran: bool,
    /// Whether it is known if the job has run: false once an attempt may have run without this box having recorded it.
    /// An attempt whose `go` was sent counts as having run.
    pub(crate) run_known: bool,
    /// Whether the next attempt resumes from a checkpoint.
    pub(crate) resume: bool,
    /// Attempts in which not every member was reserved and started, since one last ran; part of the backoff.
    pub(crate) failed_commits: u32,
    /// Attempts that ran and failed.
    pub(crate) failures: u32,
    /// Successive losses of a backend server within [`crate::Limits::early_loss`] of an attempt's start.
    pub(crate) early_losses: u32,
    /// Backend servers on which attempts failed.
    pub(crate) failed_on: BTreeSet<BackendServerId>,
    /// Members of the last attempt that did not respond to its reservations.
    pub(crate) unresponsive: BTreeSet<BackendServerId>,
    /// When the gang first started to run.
    pub(crate) started: Option<Moment>,
}

/// One member of the current attempt.
#[derive(Debug, Clone)]
pub(crate) struct GangMember {
    /// The backend server and the number of tasks on it.
    pub(crate) placement: Member,
    /// The last state received; `None` before the first reply.
    pub(crate) state: Option<TaskState>,
    /// Whether the backend server has accepted a stop.
    pub(crate) stopped: bool,
}

impl GangMember {
    pub(crate) fn new(placement: Member) -> GangMember {
        GangMember { placement, state: None, stopped: false }
    }

    /// Whether nothing of this member can run any more.
    pub(crate) fn has_ended(&self) -> bool {
        self.stopped || self.state.as_ref().is_some_and(|s| !s.holds())
    }

    pub(crate) fn ran(&self) -> bool {
        self.state.as_ref().is_some_and(TaskState::ran)
    }
}

/// Why a gang is being stopped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Cause {
    /// Not every member could be armed; this box has not sent `go`.
    StartFailed,
    /// The caller cancelled the job.
    Cancelled,
    /// A task reported a failure.
    TaskFailed { why: String },
    /// The gang was stopped to free resources for another job.
    Preempted,
    /// A member became unresponsive, or has lost its lease.
    MemberLost { server: BackendServerId },
    /// The finished gang's answer can't be read.
    AnswerLost { why: String },
}

pub(crate) enum Phase {
    Waiting { not_before: Moment },
    Reserving { until: Moment },
    Starting { until: Moment },
    Running { since: Moment, resend_at: Moment },
    Fetching { resend_at: Moment, until: Moment },
    Stopping { cause: Cause, send_at: Moment, until: Moment },
    Adopting { send_at: Moment, until: Moment },
    Moved { to: Holder, at: Moment },
    Void { at: Moment },
    Ended { outcome: Outcome, at: Moment },
}

impl Job {
    pub(crate) fn new(spec: Arc<JobSpec>, now: Moment) -> Job {
        Job {
            spec,
            submitted: now,
            attempt: Attempt(0),
            epoch: Epoch(0),
            adopted: false,
            described: true,
            attempt_started: now,
            members: Vec::new(),
            phase: Phase::Waiting { not_before: now },
            go_sent: false,
            ran: false,
            run_known: true,
            resume: false,
            failed_commits: 0,
            failures: 0,
            early_losses: 0,
            failed_on: BTreeSet::new(),
            unresponsive: BTreeSet::new(),
            started: None,
        }
    }

    pub(crate) fn token(&self) -> LeaseToken {
        LeaseToken { attempt: self.attempt, epoch: self.epoch }
    }

    pub(crate) fn placements(&self) -> Vec<Member> {
        self.members.iter().map(|p| p.placement.clone()).collect()
    }

    pub(crate) fn member_mut(&mut self, server: &BackendServerId) -> Option<&mut GangMember> {
        self.members.iter_mut().find(|p| p.placement.server == *server)
    }

    pub(crate) fn all(&self, f: impl Fn(&TaskState) -> bool) -> bool {
        self.members.iter().all(|p| p.state.as_ref().is_some_and(&f))
    }

    pub(crate) fn has_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended { .. } | Phase::Moved { .. } | Phase::Void { .. })
    }

    /// Whether its leases have to be renewed.
    pub(crate) fn needs_renewal(&self) -> bool {
        matches!(self.phase, Phase::Starting { .. } | Phase::Running { .. })
    }

    pub(crate) fn view(&self, id: &JobId) -> JobView {
        let servers = self.members.iter().map(|p| p.placement.server.clone()).collect();
        JobView {
            job: id.clone(),
            spec: Arc::clone(&self.spec),
            described: self.described,
            stage: self.stage(),
            servers,
        }
    }

    pub(crate) fn stage(&self) -> Stage {
        match &self.phase {
            Phase::Waiting { .. } => Stage::Waiting,
            Phase::Reserving { .. } | Phase::Starting { .. } => Stage::Starting,
            Phase::Running { .. } | Phase::Fetching { .. } | Phase::Adopting { .. } => Stage::Running,
            Phase::Stopping { .. } => Stage::Stopping,
            Phase::Moved { to, .. } => Stage::Moved(to.clone()),
            Phase::Void { .. } => Stage::Void,
            Phase::Ended { outcome, .. } => Stage::Ended(outcome.clone()),
        }
    }
}
