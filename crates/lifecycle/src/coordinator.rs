//! The coordinator: the jobs of one box, the operations on them, and their time limits.

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

/// Allowance for the serial numbers of a burst of tickets, which may run ahead of the clock.
const MINT_SKEW: Duration = Duration::from_millis(10);

/// An action that the caller of this crate has to take.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Sends a request to a backend server; the request and its reply are to be passed to [`Coordinator::on_reply`].
    Call {
        /// The backend server to call.
        server: BackendServerId,
        /// The request to send.
        req: BackendRequest,
    },
    /// The queue of waiting jobs has changed.
    QueueChanged,
    /// The gang of a job started to run for the first time.
    Started {
        /// The job.
        job: JobId,
        /// Time from acceptance to start.
        delay: Duration,
    },
    /// A job ended.
    Ended {
        /// The job.
        job: JobId,
        /// Time from acceptance to end.
        after: Duration,
    },
    /// Another box manages a job now, or its ticket is void.
    Moved {
        /// The job.
        job: JobId,
    },
    /// A backend server refused a job's ticket because it is older than its lease table. The job needs a new one.
    TicketTooOld {
        /// The job.
        job: JobId,
    },
    /// A run of a job failed on a backend server.
    RunFailed {
        /// The backend server that reported the failure.
        server: BackendServerId,
        /// The job.
        job: JobId,
    },
    /// An anomaly to count.
    Count(Anomaly),
}

/// Unexpected events, which are counted. They have no other effect, except for a partial gang, which is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Anomaly {
    /// A reply to an attempt that has ended.
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
    /// A gang ran in part for a while because a member was lost.
    #[display("partial_gang")]
    PartialGang,
}

/// A waiting job, as planners see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
    /// The job.
    pub job: JobId,
    /// The request.
    pub spec: Arc<JobSpec>,
    /// Time since the job was accepted.
    pub waited: Duration,
    /// Backend servers on which it failed, or that did not respond to the last reservation.
    pub avoid: BTreeSet<BackendServerId>,
}

/// State of a request from before its current ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin {
    /// Whether the first attempt resumes from a checkpoint.
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
    /// The request.
    pub spec: Arc<JobSpec>,
    /// Whether `spec` is the whole request. False for an adopted job whose request has not been read yet.
    pub described: bool,
    /// Stage that the job is in.
    pub stage: Stage,
    /// Backend servers of its current or last attempt; empty while it waits.
    pub servers: Vec<BackendServerId>,
}

/// The jobs of one box.
pub struct Coordinator {
    pub(crate) me: Holder,
    pub(crate) limits: Limits,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) by_request: BTreeMap<(CustomerId, RequestId), JobId>,
    /// Tickets that were replaced, with the ticket under which each job continues.
    pub(crate) replaced_tickets: BTreeMap<JobId, JobId>,
    /// When each backend server last responded.
    pub(crate) last_responses: BTreeMap<BackendServerId, Moment>,
    pub(crate) next_renewal: Moment,
    pub(crate) effects: Vec<Effect>,
    last_tick: Moment,
    born: Moment,
    last_serial: u64,
}

impl Coordinator {
    /// Returns a coordinator without jobs that mints tickets for `me` from `born` on.
    pub fn new(me: Holder, limits: Limits, born: Moment) -> Coordinator {
        Coordinator {
            me,
            limits,
            jobs: BTreeMap::new(),
            by_request: BTreeMap::new(),
            replaced_tickets: BTreeMap::new(),
            last_responses: BTreeMap::new(),
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

    /// Mints a ticket under which only this coordinator may start a job.
    pub fn mint(&mut self, now: Moment) -> JobId {
        // The serial numbers of a burst run ahead of the clock, so that a ticket seems younger than it is by a
        // millisecond for each earlier one. `MINT_SKEW` covers that.
        self.last_serial = (self.last_serial + 1).max(now.since(self.born).millis());
        JobId { minted_by: self.me.box_id.clone(), incarnation: self.me.incarnation, serial: self.last_serial }
    }

    /// Returns an upper bound of the time since this coordinator minted a ticket.
    pub(crate) fn ticket_age(&self, job: &JobId, now: Moment) -> Duration {
        Duration::from_millis(now.since(self.born).millis().saturating_sub(job.serial)) + MINT_SKEW
    }

    /// Whether this coordinator minted the ticket.
    pub fn minted(&self, job: &JobId) -> bool {
        job.minted_by == self.me.box_id && job.incarnation == self.me.incarnation && job.serial <= self.last_serial
    }

    /// Adds a job to the queue under a new ticket, which it returns. The caller of this crate ensures that no other box
    /// manages the request.
    pub fn submit(&mut self, spec: JobSpec, now: Moment) -> JobId {
        let job = self.mint(now);
        self.submit_as(job.clone(), spec, Origin::default(), now);
        job
    }

    /// Adds a job to the queue under a ticket that this coordinator minted before. Panics if another one minted it.
    pub fn submit_as(&mut self, job: JobId, spec: JobSpec, origin: Origin, now: Moment) {
        assert!(self.minted(&job), "only the minting process may start a ticket");
        self.by_request.insert((spec.customer.clone(), spec.request.clone()), job.clone());
        let Origin { resume, certain } = origin;
        self.jobs.insert(job, Job { resume, ran: resume, run_known: certain, ..Job::new(Arc::new(spec), now) });
        self.effects.push(Effect::QueueChanged);
    }

    /// Returns the job of a request, by the caller's name for it, or `None` if there is none here.
    pub fn find(&self, customer: &CustomerId, request: &RequestId) -> Option<JobView> {
        let job = self.by_request.get(&(customer.clone(), request.clone()))?;
        self.view(job)
    }

    /// Returns a job by its ticket, also if it continues under another one, or `None` if it is not here.
    pub fn view(&self, job: &JobId) -> Option<JobView> {
        let id = self.replaced_tickets.get(job).unwrap_or(job);
        let job = self.jobs.get(id)?;
        Some(job.view(id))
    }

    /// Returns every job, for status pages. Ended jobs are included until their retention time is over.
    pub fn views(&self) -> impl Iterator<Item = JobView> {
        self.jobs.iter().map(|(id, job)| job.view(id))
    }

    /// Returns the number of jobs that have neither ended nor moved nor become void.
    pub fn open_jobs(&self) -> usize {
        self.jobs.values().filter(|job| !job.has_ended()).count()
    }

    /// Returns the number of waiting jobs with the same customer and class as `spec`.
    pub fn queue_len(&self, spec: &JobSpec) -> usize {
        let same = |job: &Job| job.spec.customer == spec.customer && job.spec.class == spec.class;
        self.jobs.values().filter(|job| matches!(job.phase, Phase::Waiting { .. }) && same(job)).count()
    }

    /// Returns the jobs that a planner may place now; those in a backoff are left out.
    pub fn waiting(&self, now: Moment) -> Vec<Waiting> {
        let ready = |job: &Job| matches!(job.phase, Phase::Waiting { not_before } if not_before <= now);
        let waiting = self.jobs.iter().filter(|(_, job)| ready(job));
        waiting
            .map(|(id, job)| Waiting {
                job: id.clone(),
                spec: Arc::clone(&job.spec),
                waited: now.since(job.submitted),
                avoid: job.failed_on.union(&job.unresponsive).cloned().collect(),
            })
            .collect()
    }

    /// Begins an attempt on the given members. A grant is dropped and counted if the job is not waiting or if the
    /// number of tasks differs.
    pub fn grant(&mut self, job: &JobId, members: Vec<Member>, now: Moment) {
        let tasks: u32 = members.iter().map(|m| m.tasks).sum();
        match self.jobs.get_mut(job) {
            Some(it) if matches!(it.phase, Phase::Waiting { .. }) && it.spec.gang.tasks == tasks => {
                self.reserve(job, members, now);
            }
            _ => self.effects.push(Effect::Count(Anomaly::LateGrant)),
        }
    }

    /// Removes a waiting job so that another box can take it; it is never started under its ticket here. Returns `None`
    /// if the job has to stay, because it does not wait or may not run again.
    pub fn release(&mut self, job: &JobId) -> Option<(Arc<JobSpec>, Origin)> {
        let it = self.jobs.get(job)?;
        // A job that has run can continue elsewhere only from a checkpoint, or if it may run again.
        let releasable = it.resume || it.spec.repeatable || (!it.ran && it.run_known);
        if !matches!(it.phase, Phase::Waiting { .. }) || !releasable {
            return None;
        }
        let origin = Origin { resume: it.resume, certain: it.run_known && !it.ran };
        let found = (Arc::clone(&it.spec), origin);
        self.remove(job);
        self.effects.push(Effect::QueueChanged);
        Some(found)
    }

    /// Ends a waiting job, for instance because it can never be placed. Does nothing if the job does not wait.
    pub fn refuse(&mut self, job: &JobId, reason: NotRunReason, retry_after: Option<Duration>, now: Moment) {
        let Some(it) = self.jobs.get(job) else { return };
        if !matches!(it.phase, Phase::Waiting { .. }) {
            return;
        }
        let outcome = waiting_outcome(it, reason, retry_after);
        self.end(job, outcome, now);
    }

    /// Whether the next attempt of a job resumes from a checkpoint.
    pub fn resumes(&self, job: &JobId) -> bool {
        self.jobs.get(job).is_some_and(|it| it.resume)
    }

    /// Returns since when another box manages a job, or `None` if none does.
    pub fn moved_at(&self, job: &JobId) -> Option<Moment> {
        match self.jobs.get(job)?.phase {
            Phase::Moved { at, .. } => Some(at),
            _ => None,
        }
    }

    /// Discards the outcome of an ended job because its request continues under another ticket.
    pub fn void(&mut self, job: &JobId) {
        if let Some(it) = self.jobs.get_mut(job)
            && let Phase::Ended { at, .. } = it.phase
        {
            it.phase = Phase::Void { at };
        }
    }

    /// Cancels a job for its caller. A running gang is stopped first; a job that has ended or moved, or whose
    /// answer is being read, is not affected.
    pub fn cancel(&mut self, job: &JobId, now: Moment) {
        let id = self.replaced_tickets.get(job).unwrap_or(job).clone();
        let Some(it) = self.jobs.get_mut(&id) else { return };
        match &it.phase {
            Phase::Ended { .. } | Phase::Moved { .. } | Phase::Void { .. } | Phase::Fetching { .. } => {}
            Phase::Waiting { .. } => {
                let outcome = Outcome::Cancelled { ran: it.ran || !it.run_known };
                self.end(&id, outcome, now);
            }
            _ => self.stop(&id, Cause::Cancelled, now),
        }
    }

    /// Records that the caller has the whole answer, so that backend servers need not keep it.
    pub fn acknowledge(&mut self, job: &JobId) {
        let id = self.replaced_tickets.get(job).unwrap_or(job).clone();
        let Some(it) = self.jobs.get(&id) else { return };
        if !matches!(it.phase, Phase::Ended { .. }) {
            return;
        }
        let calls = it.members.iter().map(|member| Effect::Call {
            server: member.placement.server.clone(),
            req: BackendRequest::Acknowledge { job: id.clone() },
        });
        self.effects.extend(calls);
    }

    /// Advances time to `now`: handles deadlines, repeated calls and renewals.
    pub fn tick(&mut self, now: Moment) {
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in &ids {
            self.tick_job(id, now);
        }
        self.renew_due(now);
        self.last_tick = now;
    }

    /// Returns and clears the effects since the last call.
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
                self.resend_go(id, now);
                self.stop_if_member_lost(id, since, now);
            }
            Phase::Fetching { resend_at, until } if *resend_at <= now => {
                let until = *until;
                self.refetch_answer(id, until, now);
            }
            Phase::Stopping { .. } => self.tick_stopping(id, now),
            Phase::Adopting { .. } => self.tick_adopting(id, now),
            Phase::Ended { at, .. } | Phase::Moved { at, .. } | Phase::Void { at }
                if now.since(*at) > self.limits.retention =>
            {
                self.remove(id);
            }
            _ => {}
        }
    }

    /// Ends a waiting job whose deadline has passed. `ready` is true if its backoff has ended since the last tick.
    fn tick_waiting(&mut self, id: &JobId, ready: bool, now: Moment) {
        if ready {
            self.effects.push(Effect::QueueChanged);
        }
        let job = &self.jobs[id];
        let waited = now.since(job.submitted);
        let limit = job.spec.deadline.unwrap_or(self.limits.max_wait).min(self.limits.max_wait);
        if waited > limit {
            let outcome = waiting_outcome(job, NotRunReason::DeadlinePassed, None);
            self.end(id, outcome, now);
        }
    }

    /// Removes all records of a job.
    fn remove(&mut self, id: &JobId) {
        let Some(job) = self.jobs.remove(id) else { return };
        let name = (job.spec.customer.clone(), job.spec.request.clone());
        if self.by_request.get(&name) == Some(id) {
            self.by_request.remove(&name);
        }
        self.replaced_tickets.retain(|_, new| new != id);
    }

    pub(crate) fn end(&mut self, id: &JobId, outcome: Outcome, now: Moment) {
        let job = self.jobs.get_mut(id).expect("only tracked jobs end");
        job.phase = Phase::Ended { outcome, at: now };
        let after = now.since(job.submitted);
        self.effects.push(Effect::Ended { job: id.clone(), after });
        self.effects.push(Effect::QueueChanged);
    }

    pub(crate) fn moved(&mut self, id: &JobId, to: Holder, now: Moment) {
        let job = self.jobs.get_mut(id).expect("only tracked jobs move");
        job.phase = Phase::Moved { to, at: now };
        self.effects.push(Effect::Moved { job: id.clone() });
    }

    pub(crate) fn call(&mut self, server: &BackendServerId, req: BackendRequest) {
        self.effects.push(Effect::Call { server: server.clone(), req });
    }
}

/// Returns the outcome of a job that ends while it waits: "not run" only if that is certain.
pub(crate) fn waiting_outcome(job: &Job, reason: NotRunReason, retry_after: Option<Duration>) -> Outcome {
    if job.ran {
        return Outcome::Failed { why: format!("it ran, was stopped, and then: {reason}") };
    }
    if !job.run_known {
        return Outcome::Unknown { why: format!("a start could not be taken back for certain, and then: {reason}") };
    }
    Outcome::NotRun { reason, retry_after }
}
