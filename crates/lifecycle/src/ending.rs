//! Stops a gang, then queues its job for another attempt or ends it with an outcome.

use backend::{BackendRequest, TaskState};
use model::{Duration, JobId, Moment, Outcome};

use crate::{
    Coordinator, Effect, Limits,
    job::{Cause, Job, Phase},
};

impl Coordinator {
    /// Begins to stop the current attempt. If that has already begun, only a cancellation replaces the cause.
    pub(crate) fn stop(&mut self, id: &JobId, cause: Cause, now: Moment) {
        let limits = self.limits;
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        if matches!(job.phase, Phase::Stopping { .. }) && cause != Cause::Cancelled {
            return;
        }
        let wait = match &cause {
            Cause::StartFailed if !job.spec.repeatable => limits.doubt_limit,
            Cause::Preempted => limits.checkpoint_wait + limits.stop_wait,
            _ => limits.stop_wait,
        };
        // A member that is writing its checkpoint gets the time to finish it.
        let first = if cause == Cause::Preempted { now + limits.checkpoint_wait } else { now };
        job.phase = Phase::Stopping { cause, send_at: first, until: now + wait };
        self.tick_stopping(id, now);
    }

    /// Sends stops that are due. Completes the stop once all members have ended, it is certain that none ran, or
    /// `until` has passed.
    pub(crate) fn tick_stopping(&mut self, id: &JobId, now: Moment) {
        if self.try_complete_stop(id, now) {
            return;
        }
        let resend = now + self.limits.resend_every;
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        let Phase::Stopping { send_at, .. } = &mut job.phase else { return };
        if *send_at <= now {
            *send_at = resend;
            self.send_stops(id);
        }
    }

    pub(crate) fn send_stops(&mut self, id: &JobId) {
        let job = &self.jobs[id];
        let token = job.token();
        let open: Vec<_> = job
            .members
            .iter()
            .filter(|member| !member.has_ended())
            .map(|member| member.placement.server.clone())
            .collect();
        for server in open {
            self.call(&server, BackendRequest::Stop { job: id.clone(), token });
        }
    }

    /// Completes the stop if all members have ended, it is certain that none ran, or `until` has passed. Returns
    /// whether it did.
    pub(crate) fn try_complete_stop(&mut self, id: &JobId, now: Moment) -> bool {
        let job = &self.jobs[id];
        let Phase::Stopping { cause, until, .. } = &job.phase else { return false };
        let expired = *until <= now;
        let all_ended = job.members.iter().all(|member| member.has_ended());
        // A member that ended before it ran was not adopted by another coordinator, or it would have refused the calls
        // of this one as stale. `go` is sent only when all members are armed, so no other coordinator has sent `go`,
        // and none can any more.
        let never_ran =
            !job.go_sent && !job.adopted && job.members.iter().any(|member| member.has_ended() && !member.ran());
        if !(expired || all_ended || never_ran) {
            return false;
        }
        let cause = cause.clone();
        let outcome_known = all_ended || never_ran;
        self.after_stop(id, cause, outcome_known, never_ran, now);
        true
    }

    fn after_stop(&mut self, id: &JobId, cause: Cause, outcome_known: bool, never_ran: bool, now: Moment) {
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        let ran = !never_ran && (job.go_sent || job.members.iter().any(|member| member.ran()));
        job.ran |= ran;
        job.run_known &= outcome_known || job.go_sent;
        match cause {
            Cause::Cancelled => {
                let ran = job.ran || !job.run_known;
                self.end(id, Outcome::Cancelled { ran }, now);
            }
            Cause::StartFailed => self.after_failed_start(id, ran, now),
            Cause::TaskFailed { why } => self.after_failed_run(id, why, now),
            Cause::Preempted => self.after_preemption(id, now),
            Cause::MemberLost { server } => {
                let why = format!("backend server {server} was lost while the gang ran");
                if self.count_loss(id, now) {
                    return self.end(id, Outcome::Failed { why }, now);
                }
                self.after_lost_run(id, why, outcome_known, now);
            }
            Cause::AnswerLost { why } => self.after_lost_run(id, why, false, now),
        }
    }

    fn after_failed_start(&mut self, id: &JobId, ran: bool, now: Moment) {
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        job.failed_commits += 1;
        if job.spec.repeatable || (job.run_known && !ran) {
            return self.requeue(id, now);
        }
        let why = "a start may have reached some members, and they do not answer".to_owned();
        self.end(id, Outcome::Unknown { why }, now);
    }

    fn after_failed_run(&mut self, id: &JobId, why: String, now: Moment) {
        let max = self.limits.max_failures;
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        job.failures += 1;
        job.resume = false;
        if !job.spec.repeatable || job.failures >= max {
            return self.end(id, Outcome::Failed { why }, now);
        }
        self.requeue(id, now);
    }

    fn after_preemption(&mut self, id: &JobId, now: Moment) {
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        let ran_in_this_attempt = job.members.iter().any(|member| member.ran());
        let work_is_saved = |state: &TaskState| {
            !state.ran() || matches!(state, TaskState::Stopped { checkpointed: true, .. } | TaskState::Finished { .. })
        };
        let all_saved = job.all(work_is_saved);
        if ran_in_this_attempt {
            job.resume = all_saved && job.spec.checkpointable;
        }
        if !ran_in_this_attempt || job.resume || job.spec.repeatable {
            return self.requeue(id, now);
        }
        let why = "it was stopped to make room, and no checkpoint was written".to_owned();
        self.end(id, Outcome::Failed { why }, now);
    }

    /// Counts a run that lost a backend server within `early_loss` of the start of the attempt; a later loss resets the
    /// count. Returns whether a repeatable job has to end, after `max_failures` such runs in a row: it may itself be
    /// the cause, and further attempts could make one backend server after another fail.
    fn count_loss(&mut self, id: &JobId, now: Moment) -> bool {
        let Limits { early_loss, max_failures, .. } = self.limits;
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        let early = now.since(job.attempt_started) <= early_loss;
        job.early_losses = if early { job.early_losses + 1 } else { 0 };
        job.spec.repeatable && job.early_losses >= max_failures
    }

    fn after_lost_run(&mut self, id: &JobId, why: String, outcome_known: bool, now: Moment) {
        let job = &self.jobs[id];
        if job.spec.repeatable {
            return self.requeue(id, now);
        }
        let outcome = if outcome_known { Outcome::Failed { why } } else { Outcome::Unknown { why } };
        self.end(id, outcome, now);
    }

    /// Puts a job back into the queue, or abandons an adopted job that can't be started again here. An adopted job
    /// continues under a ticket of this box, since the box that minted the old one may recover and start the job under
    /// it.
    pub(crate) fn requeue(&mut self, id: &JobId, now: Moment) {
        let job = &self.jobs[id];
        // An adopted job that may run only once and has not run is given up here: only its claim in the store decides
        // whether it is started again.
        let decided_by_claim = job.adopted && !job.spec.repeatable && !job.ran;
        if !job.described || decided_by_claim {
            return self.abandon_adopted(id, now);
        }
        let backoff = self.backoff(&self.jobs[id]);
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        job.phase = Phase::Waiting { not_before: now + backoff };
        job.members.clear();
        if job.adopted {
            self.replace_ticket(id, now);
        }
        self.effects.push(Effect::QueueChanged);
    }

    /// Abandons an adopted job that can't be started again here. Its caller submits it again, unless the job may run
    /// only once and has run: then its outcome is unknown.
    fn abandon_adopted(&mut self, id: &JobId, now: Moment) {
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        if job.ran && !job.spec.repeatable {
            let why = "its box is gone, and what was asked for could not be read".to_owned();
            return self.end(id, Outcome::Unknown { why }, now);
        }
        job.phase = Phase::Void { at: now };
        self.effects.push(Effect::Moved { job: id.clone() });
    }

    /// Continues an adopted job under a new ticket of this box.
    fn replace_ticket(&mut self, old: &JobId, now: Moment) {
        let new = self.mint(now);
        let mut job = self.jobs.remove(old).expect("the caller has read the job");
        job.adopted = false;
        job.attempt = model::Attempt(0);
        job.epoch = model::Epoch(0);
        self.by_request.insert((job.spec.customer.clone(), job.spec.request.clone()), new.clone());
        for target in self.replaced_tickets.values_mut().filter(|target| *target == old) {
            *target = new.clone();
        }
        self.replaced_tickets.insert(old.clone(), new.clone());
        self.jobs.insert(new, job);
    }

    /// Returns the wait before the next attempt. It doubles with each failed attempt, up to `backoff_max`. An offset by
    /// attempt number and time of submission is added, so that many jobs don't retry at once.
    fn backoff(&self, job: &Job) -> Duration {
        let tries = job.failed_commits + job.failures + job.early_losses;
        if tries == 0 {
            return Duration::ZERO;
        }
        let doubled = self.limits.backoff.millis() << (tries - 1).min(16);
        let spread =
            (u64::from(job.attempt.0) * 7 + job.submitted.millis()) % (self.limits.backoff.millis().max(2) / 2);
        Duration::from_millis(doubled.min(self.limits.backoff_max.millis()) + spread)
    }
}

impl Coordinator {
    /// Reports a failed run, once per job and backend server, so that faulty backend servers can be told from faulty
    /// jobs.
    pub(crate) fn report_failed_run(&mut self, id: &JobId, server: &model::BackendServerId) {
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        if job.failed_on.insert(server.clone()) {
            self.effects.push(Effect::RunFailed { server: server.clone(), job: id.clone() });
        }
    }
}
