//! Admission of jobs: refusals, requests that are already known, and requests that need a claim first.

use lifecycle::{Origin, Stage};
use model::{Duration, JobId, JobSpec, Moment, NotRunReason, OperatorFile, Outcome};
use policy::FreeCapacity;

use crate::{
    CallerReply, EntryBox, JobAnswer, PeerRequest, Submission,
    entry_box::Op,
    route::{Action, RouteOp},
    ticket_fencing::AfterFencing,
    waiters::Respondent,
};

/// Retry delay for a box that is draining or has no configuration.
const RETRY_NOT_READY: Duration = Duration::from_secs(1);
/// Retry delay when the store is unavailable.
const RETRY_STORE: Duration = Duration::from_secs(5);
/// Shortest retry delay for a full queue.
const RETRY_QUEUE_MIN: Duration = Duration::from_secs(1);
/// Longest retry delay for a full queue.
const RETRY_QUEUE_MAX: Duration = Duration::from_secs(600);

impl EntryBox {
    /// Admits a job, or replies at once with the reason for the refusal.
    pub(crate) fn submit(&mut self, mut submission: Submission, to: Respondent, now: Moment) {
        submission.wait = self.bounded(submission.wait);
        submission.may_have_run |= submission.retry && !self.needs_claim(&submission);
        if self.join_existing(&submission, to, now) {
            return;
        }
        if let Some((reason, retry_after)) = self.refusal(&submission.spec) {
            return match submission.retry || submission.may_have_run {
                true => self.refuse_with_unknown_outcome(to, &reason, retry_after, now),
                false => self.refuse_submission(to, reason, retry_after, now),
            };
        }
        if let Some(ticket) = submission.ticket.clone() {
            return self.submit_with_ticket(submission, ticket, to, now);
        }
        if submission.retry && !self.needs_claim(&submission) {
            return self.query_peers_first(submission, to, now);
        }
        self.submit_new(submission, to, now);
    }

    /// Admits a job that is not known elsewhere, as far as this box can tell.
    pub(crate) fn submit_new(&mut self, submission: Submission, to: Respondent, now: Moment) {
        if self.needs_claim(&submission) {
            return self.begin_claim(submission, to, now);
        }
        let job = self.jobs.mint(now);
        self.accept(submission, job, to, now);
    }

    /// Queues a job. Delays the reply until the job ends if the caller waits, otherwise replies with the
    /// ticket.
    pub(crate) fn accept(&mut self, submission: Submission, job: JobId, to: Respondent, now: Moment) {
        let Submission { spec, wait, resume, may_have_run, .. } = submission;
        let origin = Origin { resume, certain: !may_have_run };
        let name = (spec.customer.clone(), spec.request.clone());
        self.jobs.submit_as(job.clone(), spec, origin, now);
        if wait == Duration::ZERO {
            let answer = JobAnswer::Pending { job: Some(job), stage: "waiting".to_owned() };
            return self.reply(to, CallerReply::Job(answer));
        }
        self.wait_for_end(name, to, now + wait);
    }

    pub(crate) fn refuse_submission(
        &mut self,
        to: Respondent,
        reason: NotRunReason,
        retry_after: Option<Duration>,
        now: Moment,
    ) {
        // A new ticket names the refused request; it is never started.
        let job = self.jobs.mint(now);
        let answer = JobAnswer::Ended { job, outcome: Outcome::NotRun { reason, retry_after } };
        self.reply(to, CallerReply::Job(answer));
    }

    /// Refuses a request with unknown outcome: it was sent before, and an earlier try through another box may
    /// have run.
    fn refuse_with_unknown_outcome(
        &mut self,
        to: Respondent,
        reason: &NotRunReason,
        retry_after: Option<Duration>,
        now: Moment,
    ) {
        let why = format!("not taken now: {reason}; whether an earlier try ran is not known here");
        let answer = match retry_after {
            Some(retry_after) => JobAnswer::Unsettled { why, retry_after },
            None => JobAnswer::Ended { job: self.jobs.mint(now), outcome: Outcome::Unknown { why } },
        };
        self.reply(to, CallerReply::Job(answer));
    }

    pub(crate) fn refuse_for_store(&mut self, submission: &Submission, to: Respondent, now: Moment) {
        if to == Respondent::Nobody {
            // There is no caller to send it again, so this box retries.
            self.claims_to_retry.push((now + RETRY_STORE, submission.clone()));
            return;
        }
        let reason = NotRunReason::StoreUnavailable;
        match submission.retry || submission.may_have_run {
            true => self.refuse_with_unknown_outcome(to, &reason, Some(RETRY_STORE), now),
            false => self.refuse_submission(to, reason, Some(RETRY_STORE), now),
        }
    }

    /// Returns whether a request must be claimed in the platform's store: it may run only once or must
    /// survive this box, and has no ticket.
    fn needs_claim(&self, submission: &Submission) -> bool {
        submission.ticket.is_none() && (!submission.spec.repeatable || submission.durable)
    }

    /// Attaches the submission to a job of the same name that is known here; returns whether there is one.
    fn join_existing(&mut self, submission: &Submission, to: Respondent, now: Moment) -> bool {
        let spec = &submission.spec;
        if let Some(view) = self.jobs.find(&spec.customer, &spec.request) {
            if view.described && *view.spec != *spec {
                self.reply(to, CallerReply::Job(JobAnswer::NameInUse));
                return true;
            }
            // The new holder may no longer have a job that moved.
            let moved = matches!(view.stage, Stage::Moved(_));
            if can_resubmit(&view.stage) || (moved && !self.is_held(spec, now)) {
                return false;
            }
        } else if !self.is_held(spec, now) && !self.is_claiming(spec) {
            return false;
        }
        let action = Action::Poll { wait: submission.wait };
        let name = (spec.customer.clone(), spec.request.clone());
        self.route_or_submit(RouteOp::search(action, name, to, Some(submission.clone())), now);
        true
    }

    /// Returns whether the lease tables show the request with a live holder, or as a whole gang that awaits
    /// adoption.
    fn is_held(&self, spec: &JobSpec, now: Moment) -> bool {
        let found = self.replicas.find(&spec.customer, &spec.request);
        found.is_some_and(|found| found.is_whole || self.is_live_holder(&found.holder, now))
    }

    /// Returns why a job is refused now, and after how long a retry may succeed (`None`: never).
    fn refusal(&self, spec: &JobSpec) -> Option<(NotRunReason, Option<Duration>)> {
        if self.draining {
            return Some((NotRunReason::Leaving, Some(RETRY_NOT_READY)));
        }
        let Some(file) = self.current.file() else {
            return Some((NotRunReason::NoConfiguration, Some(RETRY_NOT_READY)));
        };
        if !file.customers.contains_key(&spec.customer) {
            return Some((unknown(format!("customer {}", spec.customer)), None));
        }
        let Some(class) = file.classes.get(&spec.class) else {
            return Some((unknown(format!("class {}", spec.class)), None));
        };
        if let Some(why) = self.never_fits(file, spec) {
            return Some((NotRunReason::CanNeverRun { why }, None));
        }
        let queued = self.jobs.queue_len(spec);
        if queued >= class.queue_limit as usize {
            let reason = NotRunReason::QueueFull { class: class.id.to_string(), limit: class.queue_limit };
            return Some((reason, Some(self.estimate_queue_time(queued))));
        }
        None
    }

    fn never_fits(&self, file: &OperatorFile, spec: &JobSpec) -> Option<String> {
        let quota = file.customers.get(&spec.customer).and_then(|c| c.quota);
        if let Some(quota) = quota
            && !quota.contains(&spec.gang.total())
        {
            return Some(format!("{} is asked for; the customer's quota is {quota}", spec.gang.total()));
        }
        let servers = self.servers_of(file);
        FreeCapacity::empty(&servers).check_ever_fits(&spec.gang).err().map(|e| e.to_string())
    }

    /// Estimates how long a queue of that length takes at the recent rate of starts.
    fn estimate_queue_time(&self, queued: usize) -> Duration {
        let per_job = self.planning.time_per_start();
        let all = Duration::from_millis(per_job.millis().saturating_mul(queued as u64));
        all.clamp(RETRY_QUEUE_MIN, RETRY_QUEUE_MAX)
    }

    fn submit_with_ticket(&mut self, submission: Submission, ticket: JobId, to: Respondent, now: Moment) {
        if self.jobs.minted(&ticket) {
            return match self.jobs.view(&ticket) {
                None => self.accept(submission, ticket, to, now),
                Some(view) if *view.spec == submission.spec => {
                    let action = Action::Poll { wait: submission.wait };
                    let JobSpec { customer, request, .. } = submission.spec;
                    self.route(action, customer, request, to, now);
                }
                Some(_) => self.reply(to, CallerReply::Job(JobAnswer::NameInUse)),
            };
        }
        let minter = &ticket.minted_by;
        let live = self.view.is_live_incarnation(minter, ticket.incarnation, self.id.incarnation, now);
        let elsewhere = self.directory.get(minter).is_some_and(|b| b.availability_zone != self.id.availability_zone);
        if live || elsewhere {
            let minter = minter.clone();
            let route = RouteOp::forward(submission.clone(), to);
            return self.call_peer(Op::Route(Box::new(route)), &minter, PeerRequest::Submit(submission));
        }
        self.begin_fencing(ticket, submission.spec.repeatable, AfterFencing::TicketVoid { to }, now);
    }

    /// Asks the peers whether they have a repeated request before it is admitted as new.
    fn query_peers_first(&mut self, submission: Submission, to: Respondent, now: Moment) {
        let action = Action::Poll { wait: Duration::ZERO };
        let name = (submission.spec.customer.clone(), submission.spec.request.clone());
        let route = RouteOp::search(action, name, to, Some(submission));
        self.query_peers(route, now);
    }
}

/// Returns whether a job in this stage was not run, so that its request may be submitted again under the same
/// name.
fn can_resubmit(stage: &Stage) -> bool {
    matches!(stage, Stage::Void | Stage::Ended(Outcome::NotRun { .. }))
}

fn unknown(what: String) -> NotRunReason {
    NotRunReason::Unknown { what }
}
