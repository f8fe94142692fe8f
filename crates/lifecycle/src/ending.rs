//! Stopping a gang, and the result of that: a further attempt or an outcome.

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
        job.phase = Phase::Stopping { cause, next: first, until: now + wait };
        self.tick_stopping(id, now);
    }

    /// Sends stops that are due, and completes the stop once its result is known or its time has passed.
    pub(crate) fn tick_stopping(&mut self, id: &JobId, now: Moment) {
        if self.try_complete_stop(id, now) {
            return;
        }
        let resend = now + self.limits.resend_every;
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        let Phase::Stopping { next, .. } = &mut job.phase else { return };
        if *next <= now {
            *next = resend;
            self.send_stops(id);
        }
    }

    pub(crate) fn send_stops(&mut self, id: &JobId) {
        let job = &self.jobs[id];
        let token = job.token();
        let open: Vec<_> = job.members.iter().filter(|p| !p.has_ended()).map(|p| p.placement.server.clone()).collect();
        for server in open {
            self.call(&server, BackendRequest::Stop { job: id.clone(), token });
        }
    }

    /// Completes the stop if its result is known or its time has passed, and returns whether it did.
    pub(crate) fn try_complete_stop(&mut self, id: &JobId, now: Moment) -> bool {
        let job = &self.jobs[id];
        let Phase::Stopping { cause, until, .. } = &job.phase else { return false };
        let expired = *until <= now;
        let all_ended = job.members.iter().all(|p| p.has_ended());
        // A member that accepted the stop before it ran was never adopted. Since `go` needs every member, no
        // coordinator has sent it and none can.
        let never_ran = !job.go_sent && !job.adopted && job.members.iter().any(|p| p.has_ended() && !p.ran());
        if !(expired || all_ended || never_ran) {
            return false;
        }
        let cause = cause.clone();
        let certain = all_ended || never_ran;
        self.after_stop(id, cause, certain, never_ran, now);
        true
    }

    fn after_stop(&mut self, id: &JobId, cause: Cause, certain: bool, never_ran: bool, now: Moment) {
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        let ran = !never_ran && (job.go_sent || job.members.iter().any(|p| p.ran()));
        job.ran |= ran;
        job.certain &= certain || job.go_sent;
        match cause {
            Cause::Cancelled => {
                let ran = job.ran || !job.certain;
                self.end(id, Outcome::Cancelled { ran }, now);
            }
            Cause::StartFailed => self.after_failed_start(id, ran, now),
            Cause::TaskFailed { why } => self.after_failed_run(id, why, now),
            Cause::Preempted => self.after_preemption(id, now),
            Cause::MemberLost { server } => {
                let why = format!("backend server {server} was lost while the gang ran");
                if self.lost_too_often(id, now) {
                    return self.end(id, Outcome::Failed { why }, now);
                }
                self.after_lost_run(id, why, certain, now);
            }
            Cause::AnswerLost { why } => self.after_lost_run(id, why, false, now),
        }
    }

    fn after_failed_start(&mut self, id: &JobId, ran: bool, now: Moment) {
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        job.failed_commits += 1;
        if job.spec.repeatable || (job.certain && !ran) {
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
        let ran_here = job.members.iter().any(|p| p.ran());
        let kept = |state: &TaskState| {
            !state.ran() || matches!(state, TaskState::Stopped { checkpointed: true, .. } | TaskState::Finished { .. })
        };
        let all_kept = job.all(kept);
        if ran_here {
            job.resume = all_kept && job.spec.checkpointable;
        }
        if !ran_here || job.resume || job.spec.repeatable {
            return self.requeue(id, now);
        }
        let why = "it was stopped to make room, and no checkpoint was written".to_owned();
        self.end(id, Outcome::Failed { why }, now);
    }

    /// Counts a run that lost a backend server, and returns whether the job has to end. A job that loses one at each
    /// start is itself treated as the cause, since further attempts would make one backend server after another fail.
    fn lost_too_often(&mut self, id: &JobId, now: Moment) -> bool {
        let Limits { early_loss, max_failures, .. } = self.limits;
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        let early = now.since(job.attempt_started) <= early_loss;
        job.early_losses = if early { job.early_losses + 1 } else { 0 };
        job.spec.repeatable && job.early_losses >= max_failures
    }

    fn after_lost_run(&mut self, id: &JobId, why: String, certain: bool, now: Moment) {
        let job = &self.jobs[id];
        if job.spec.repeatable {
            return self.requeue(id, now);
        }
        let outcome = if certain { Outcome::Failed { why } } else { Outcome::Unknown { why } };
        self.end(id, outcome, now);
    }

    /// Puts a job back into the queue. An adopted job continues under a ticket of this box, since the box that minted
    /// the old one may recover and start the job under it.
    pub(crate) fn requeue(&mut self, id: &JobId, now: Moment) {
        let job = &self.jobs[id];
        // Whether a job that may run only once and has not run is started again depends on its claim in the store, not
        // on the box that adopted it.
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

    /// Returns the wait before the next attempt. It doubles with each failed attempt, and an offset by attempt number
    /// and time of submission keeps many jobs from retrying at once.
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
    /// Reports a failed run once per backend server, so that faulty backend servers can be told from faulty jobs.
    pub(crate) fn record_failure(&mut self, id: &JobId, server: &model::BackendServerId) {
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        if job.failed_on.insert(server.clone()) {
            self.effects.push(Effect::RunFailed { server: server.clone(), job: id.clone() });
        }
    }
}
