//! The coordinator: its jobs, what its host may ask of it, and the passing of time.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    sync::Arc,
};

use backend::{BackendRequest, Holder};
use derive_more::Display;
use model::{BackendServerId, CustomerId, Duration, JobId, JobSpec, Member, Moment, NotRunReason, Outcome, RequestId};

use crate::{
    Limits, Stage,
    job::{Cause, Job, Phase},
};

/// How far the tickets of a burst may run ahead of the clock.
const MINT_AHEAD: Duration = Duration::from_millis(10);

/// What the host is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Ask a backend server, and pass the reply to [`Coordinator::on_reply`] with the request.
    Call {
        /// Whom.
        server: BackendServerId,
        /// What.
        req: BackendRequest,
    },
    /// The queue of waiting jobs is not what it was.
    QueueChanged,
    /// The gang of a job began to run, `delay` after its acceptance.
    Started {
        /// The job.
        job: JobId,
        /// Time from acceptance.
        delay: Duration,
    },
    /// A job ended.
    Ended {
        /// The job.
        job: JobId,
        /// Time from acceptance.
        after: Duration,
    },
    /// Another box holds a job now, or its ticket is void.
    Moved {
        /// The job.
        job: JobId,
    },
    /// A backend server refuses a job's ticket for being older than its lease table: the job needs a
    /// new one.
    TicketTooOld {
        /// The job.
        job: JobId,
    },
    /// A run of a job failed on a backend server.
    RunFailed {
        /// Where.
        server: BackendServerId,
        /// The job.
        job: JobId,
    },
    /// Something to be counted.
    Count(Anomaly),
}

/// Events that are dropped and counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Anomaly {
    /// A reply to an attempt that is over.
    #[display("stale_reply")]
    StaleReply,
    /// An answer of another job or attempt.
    #[display("foreign_answer")]
    ForeignAnswer,
    /// An answer whose length or digest is wrong.
    #[display("damaged_answer")]
    DamagedAnswer,
    /// A grant for a job that was not waiting.
    #[display("late_grant")]
    LateGrant,
    /// A gang went on in part for a while because a member was lost.
    #[display("partial_gang")]
    PartialGang,
}

/// A waiting job, as planners see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
    /// The job.
    pub job: JobId,
    /// What is asked for.
    pub spec: Arc<JobSpec>,
    /// Since its acceptance.
    pub waited: Duration,
    /// Backend servers on which it has failed.
    pub avoid: BTreeSet<BackendServerId>,
}

/// What a job brings along from before its ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin {
    /// Whether its first attempt goes on from a checkpoint.
    pub resume: bool,
    /// Whether it is certain that the request has not run under another ticket.
    pub certain: bool,
}

impl Default for Origin {
    fn default() -> Origin {
        Origin { resume: false, certain: true }
    }
}

/// A job, as callers and operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobView {
    /// The job.
    pub job: JobId,
    /// What is asked for.
    pub spec: Arc<JobSpec>,
    /// Whether `spec` is the whole request; not so for an adopted job that could not be read yet.
    pub described: bool,
    /// Where it stands.
    pub stage: Stage,
    /// The backend servers of its present or last attempt.
    pub servers: Vec<BackendServerId>,
}

/// The jobs of one box.
pub struct Coordinator {
    pub(crate) me: Holder,
    pub(crate) limits: Limits,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) by_request: BTreeMap<(CustomerId, RequestId), JobId>,
    /// Tickets that went on under another one.
    pub(crate) renamed: BTreeMap<JobId, JobId>,
    /// When each backend server last answered.
    pub(crate) contacts: BTreeMap<BackendServerId, Moment>,
    pub(crate) next_renewal: Moment,
    pub(crate) effects: Vec<Effect>,
    last_tick: Moment,
    born: Moment,
    last_serial: u64,
}

impl Coordinator {
    /// A coordinator without jobs.
    pub fn new(me: Holder, limits: Limits, born: Moment) -> Coordinator {
        Coordinator {
            me,
            limits,
            jobs: BTreeMap::new(),
            by_request: BTreeMap::new(),
            renamed: BTreeMap::new(),
            contacts: BTreeMap::new(),
            next_renewal: Moment::ZERO,
            effects: Vec::new(),
            last_tick: Moment::ZERO,
            born,
            last_serial: 0,
        }
    }

    /// The process that this coordinator acts for.
    pub fn holder(&self) -> &Holder {
        &self.me
    }

    /// Makes a ticket that only this coordinator may start.
    pub fn mint(&mut self, now: Moment) -> JobId {
        // Many tickets in a burst run ahead of the clock: a ticket then seems younger than it is by
        // a millisecond each, which the allowance for skew covers.
        self.last_serial = (self.last_serial + 1).max(now.since(self.born).millis());
        JobId { minted_by: self.me.box_id.clone(), incarnation: self.me.incarnation, serial: self.last_serial }
    }

    /// How long ago this coordinator made a ticket, never too low.
    pub(crate) fn ticket_age(&self, job: &JobId, now: Moment) -> Duration {
        Duration::from_millis(now.since(self.born).millis().saturating_sub(job.serial)) + MINT_AHEAD
    }

    /// Whether this coordinator made the ticket.
    pub fn minted(&self, job: &JobId) -> bool {
        job.minted_by == self.me.box_id && job.incarnation == self.me.incarnation && job.serial <= self.last_serial
    }

    /// Takes a job into the queue under a new ticket. The host has seen to it that the request is
    /// not known elsewhere.
    pub fn submit(&mut self, spec: JobSpec, now: Moment) -> JobId {
        let job = self.mint(now);
        self.submit_as(job.clone(), spec, Origin::default(), now);
        job
    }

    /// Takes a job into the queue under a ticket that this coordinator minted before.
    pub fn submit_as(&mut self, job: JobId, spec: JobSpec, origin: Origin, now: Moment) {
        assert!(self.minted(&job), "only the minting process may start a ticket");
        self.by_request.insert((spec.customer.clone(), spec.request.clone()), job.clone());
        let Origin { resume, certain } = origin;
        self.jobs.insert(job, Job { resume, ran: resume, certain, ..Job::new(Arc::new(spec), now) });
        self.effects.push(Effect::QueueChanged);
    }

    /// The job of a request, by the caller's name for it.
    pub fn find(&self, customer: &CustomerId, request: &RequestId) -> Option<JobView> {
        let job = self.by_request.get(&(customer.clone(), request.clone()))?;
        self.view(job)
    }

    /// A job by its ticket, also one that went on under another.
    pub fn view(&self, job: &JobId) -> Option<JobView> {
        let id = self.renamed.get(job).unwrap_or(job);
        let job = self.jobs.get(id)?;
        Some(job.view(id))
    }

    /// Every job, for status pages.
    pub fn views(&self) -> impl Iterator<Item = JobView> {
        self.jobs.iter().map(|(id, job)| job.view(id))
    }

    /// Jobs that have neither ended nor moved.
    pub fn open_jobs(&self) -> usize {
        self.jobs.values().filter(|job| !job.is_over()).count()
    }

    /// How many jobs of a customer and class are waiting.
    pub fn queue_len(&self, spec: &JobSpec) -> usize {
        let same = |job: &Job| job.spec.customer == spec.customer && job.spec.class == spec.class;
        self.jobs.values().filter(|job| matches!(job.phase, Phase::Waiting { .. }) && same(job)).count()
    }

    /// The jobs that a planner may place now.
    pub fn waiting(&self, now: Moment) -> Vec<Waiting> {
        let ready = |job: &Job| matches!(job.phase, Phase::Waiting { not_before } if not_before <= now);
        let waiting = self.jobs.iter().filter(|(_, job)| ready(job));
        waiting
            .map(|(id, job)| Waiting {
                job: id.clone(),
                spec: Arc::clone(&job.spec),
                waited: now.since(job.submitted),
                avoid: job.failed_on.union(&job.silent).cloned().collect(),
            })
            .collect()
    }

    /// Begins an attempt on the given members. A grant for a job that is not waiting is dropped.
    pub fn grant(&mut self, job: &JobId, members: Vec<Member>, now: Moment) {
        let tasks: u32 = members.iter().map(|m| m.tasks).sum();
        match self.jobs.get_mut(job) {
            Some(it) if matches!(it.phase, Phase::Waiting { .. }) && it.spec.gang.tasks == tasks => {
                self.reserve(job, members, now);
            }
            _ => self.effects.push(Effect::Count(Anomaly::LateGrant)),
        }
    }

    /// Gives a waiting job up to another box: it is forgotten here and its ticket is never started.
    /// `None` if the job has to stay.
    pub fn release(&mut self, job: &JobId) -> Option<(Arc<JobSpec>, Origin)> {
        let it = self.jobs.get(job)?;
        // What has run can go on elsewhere only from a checkpoint, or if it may run again.
        let fresh = it.resume || it.spec.repeatable || (!it.ran && it.certain);
        if !matches!(it.phase, Phase::Waiting { .. }) || !fresh {
            return None;
        }
        let origin = Origin { resume: it.resume, certain: it.certain && !it.ran };
        let found = (Arc::clone(&it.spec), origin);
        self.forget(job);
        self.effects.push(Effect::QueueChanged);
        Some(found)
    }

    /// Ends a waiting job that has never run, for instance because it can never be placed.
    pub fn refuse(&mut self, job: &JobId, reason: NotRunReason, retry_after: Option<Duration>, now: Moment) {
        let Some(it) = self.jobs.get(job) else { return };
        if !matches!(it.phase, Phase::Waiting { .. }) {
            return;
        }
        let outcome = never_ran(it, reason, retry_after);
        self.end(job, outcome, now);
    }

    /// Whether a waiting job goes on from a checkpoint.
    pub fn resumes(&self, job: &JobId) -> bool {
        self.jobs.get(job).is_some_and(|it| it.resume)
    }

    /// Since when another box holds a job.
    pub fn moved_at(&self, job: &JobId) -> Option<Moment> {
        match self.jobs.get(job)?.phase {
            Phase::Moved { at, .. } => Some(at),
            _ => None,
        }
    }

    /// Forgets how a job ended: its request has gone on under another ticket.
    pub fn void(&mut self, job: &JobId) {
        if let Some(it) = self.jobs.get_mut(job)
            && let Phase::Ended { at, .. } = it.phase
        {
            it.phase = Phase::Void { at };
        }
    }

    /// Takes a job back for its caller.
    pub fn cancel(&mut self, job: &JobId, now: Moment) {
        let id = self.renamed.get(job).unwrap_or(job).clone();
        let Some(it) = self.jobs.get_mut(&id) else { return };
        match &it.phase {
            Phase::Ended { .. } | Phase::Moved { .. } | Phase::Void { .. } | Phase::Fetching { .. } => {}
            Phase::Waiting { .. } => {
                let outcome = Outcome::Cancelled { ran: it.ran || !it.certain };
                self.end(&id, outcome, now);
            }
            _ => self.stop(&id, Cause::Cancelled, now),
        }
    }

    /// The caller has the whole answer: backend servers need not keep it.
    pub fn acknowledge(&mut self, job: &JobId) {
        let id = self.renamed.get(job).unwrap_or(job).clone();
        let Some(it) = self.jobs.get(&id) else { return };
        if !matches!(it.phase, Phase::Ended { .. }) {
            return;
        }
        let calls = it.parts.iter().map(|part| Effect::Call {
            server: part.member.server.clone(),
            req: BackendRequest::Acknowledge { job: id.clone() },
        });
        self.effects.extend(calls);
    }

    /// Lets time pass: deadlines, repeated calls, renewals.
    pub fn tick(&mut self, now: Moment) {
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in &ids {
            self.tick_job(id, now);
        }
        self.renew_due(now);
        self.last_tick = now;
    }

    /// What there is to do since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        mem::take(&mut self.effects)
    }

    fn tick_job(&mut self, id: &JobId, now: Moment) {
        let job = &self.jobs[id];
        match &job.phase {
            Phase::Waiting { not_before } => {
                let ready = *not_before > self.last_tick && *not_before <= now;
                self.tick_waiting(id, ready, now);
            }
            Phase::Reserving { until } if *until <= now => self.abandon_reservations(id, now),
            Phase::Starting { until } if *until <= now => self.stop(id, Cause::StartFailed, now),
            Phase::Running { since, .. } => {
                let since = *since;
                self.go_again(id, now);
                self.check_contacts(id, since, now);
            }
            Phase::Fetching { next, until } if *next <= now => {
                let until = *until;
                self.fetch_again(id, until, now);
            }
            Phase::Stopping { .. } => self.tick_stopping(id, now),
            Phase::Adopting { .. } => self.tick_adopting(id, now),
            Phase::Ended { at, .. } | Phase::Moved { at, .. } | Phase::Void { at }
                if now.since(*at) > self.limits.retention =>
            {
                self.forget(id);
            }
            _ => {}
        }
    }

    /// `ready` says that the wait before another try has just ended.
    fn tick_waiting(&mut self, id: &JobId, ready: bool, now: Moment) {
        if ready {
            self.effects.push(Effect::QueueChanged);
        }
        let job = &self.jobs[id];
        let waited = now.since(job.submitted);
        let limit = job.spec.deadline.unwrap_or(self.limits.max_wait).min(self.limits.max_wait);
        if waited > limit {
            let outcome = never_ran(job, NotRunReason::DeadlinePassed, None);
            self.end(id, outcome, now);
        }
    }

    fn forget(&mut self, id: &JobId) {
        let Some(job) = self.jobs.remove(id) else { return };
        let name = (job.spec.customer.clone(), job.spec.request.clone());
        if self.by_request.get(&name) == Some(id) {
            self.by_request.remove(&name);
        }
        self.renamed.retain(|_, new| new != id);
    }

    pub(crate) fn end(&mut self, id: &JobId, outcome: Outcome, now: Moment) {
        let job = self.jobs.get_mut(id).expect("only known jobs end");
        job.phase = Phase::Ended { outcome, at: now };
        let after = now.since(job.submitted);
        self.effects.push(Effect::Ended { job: id.clone(), after });
        self.effects.push(Effect::QueueChanged);
    }

    pub(crate) fn moved(&mut self, id: &JobId, to: Holder, now: Moment) {
        let job = self.jobs.get_mut(id).expect("only known jobs move");
        job.phase = Phase::Moved { to, at: now };
        self.effects.push(Effect::Moved { job: id.clone() });
    }

    pub(crate) fn call(&mut self, server: &BackendServerId, req: BackendRequest) {
        self.effects.push(Effect::Call { server: server.clone(), req });
    }
}

/// The outcome of a job that ends while it waits: "not run" only if that is certain.
pub(crate) fn never_ran(job: &Job, reason: NotRunReason, retry_after: Option<Duration>) -> Outcome {
    if job.ran {
        return Outcome::Failed { why: format!("it ran, was stopped, and then: {reason}") };
    }
    if !job.certain {
        return Outcome::Unknown { why: format!("a start could not be taken back for certain, and then: {reason}") };
    }
    Outcome::NotRun { reason, retry_after }
}
