//! Claims in the platform's store.
//!
//! A claim records the ticket under which a request runs, for requests that may run only once or must survive
//! their box. Boxes write it by compare-and-swap, so that only one ticket of a request is in force at a time.

use lifecycle::Stage;
use model::{AvailabilityZoneId, CustomerId, Duration, JobId, JobSpec, Moment, Outcome, RequestId};
use outside::{StoreReply, StoreRequest, Versioned};
use serde::{Deserialize, Serialize};

use crate::{
    CallerReply, EntryBox, JobAnswer, PeerReply, PeerRequest, Submission, entry_box::Op, route::unsettled_answer,
    ticket_fencing::AfterFencing, waiters::Respondent,
};

/// Prefix of the keys of all claims.
pub(crate) const CLAIM_PREFIX: &str = "claims/";
/// Lifetime of a claim: as long as a caller may send the same request again.
const CLAIM_TTL: Duration = Duration::from_secs(24 * 3600);
/// Most calls to the store before a claim is abandoned.
const MAX_STORE_CALLS: u32 = 6;
/// Delay before the end of a claim that could not be written is written again.
const END_RETRY: Duration = Duration::from_secs(2);

/// The stored claim of a request: the one ticket that may make its first start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Ticket under which the request runs.
    pub ticket: JobId,
    /// Availability zone of the box that minted the ticket.
    pub availability_zone: AvailabilityZoneId,
    /// The job's specification if the request must survive its box, so that another box can run it.
    pub durable: Option<JobSpec>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the request may have run under an earlier ticket.
    #[serde(default)]
    pub has_run: bool,
    /// Whether the request resumes from a checkpoint of an earlier ticket.
    #[serde(default)]
    pub resume: bool,
    /// Name of the outcome; `None` until the job has ended.
    pub ended: Option<String>,
}

impl Claim {
    /// Parses a stored claim; returns `None` if the text is not one.
    pub fn parse(text: &str) -> Option<Claim> {
        serde_json::from_str(text).ok()
    }

    fn to_text(&self) -> String {
        serde_json::to_string(self).expect("our own types always serialize")
    }
}

pub(crate) fn claim_key(customer: &CustomerId, request: &RequestId) -> String {
    format!("{CLAIM_PREFIX}{customer}/{request}")
}

/// A claim being made.
#[derive(Debug)]
pub(crate) struct ClaimOp {
    submission: Submission,
    to: Respondent,
    claim: Claim,
    /// Version of the stored claim that it replaces; `None` if there is none.
    replaces: Option<u64>,
    /// Ticket of the stored claim, and whether its request may run more than once.
    existing: Option<(JobId, bool)>,
    store_calls: u32,
}

/// The end of a claimed job, being written to the store.
#[derive(Debug, Clone)]
pub(crate) struct EndClaim {
    job: JobId,
    key: String,
    claim: Claim,
}

impl EntryBox {
    pub(crate) fn begin_claim(&mut self, submission: Submission, to: Respondent, now: Moment) {
        let op = self.new_claim(submission, to, None, now);
        self.write_claim(op, now);
    }

    fn new_claim(&mut self, submission: Submission, to: Respondent, replaces: Option<u64>, now: Moment) -> ClaimOp {
        let claim = Claim {
            ticket: self.jobs.mint(now),
            availability_zone: self.id.availability_zone.clone(),
            durable: submission.durable.then(|| submission.spec.clone()),
            repeatable: submission.spec.repeatable,
            has_run: submission.may_have_run,
            resume: submission.resume,
            ended: None,
        };
        ClaimOp { submission, to, claim, replaces, existing: None, store_calls: 0 }
    }

    /// Returns whether this box is making a claim for a request of that name.
    pub(crate) fn is_claiming_name(&self, name: &(CustomerId, RequestId)) -> bool {
        self.ops.values().any(|op| match op {
            Op::Claim(op) => {
                let spec = &op.submission.spec;
                (&spec.customer, &spec.request) == (&name.0, &name.1)
            }
            _ => false,
        })
    }

    /// Returns whether a claim under this ticket was sent and not answered yet: its write may have taken
    /// effect, and the job is started once that is known.
    fn is_claim_in_flight(&self, ticket: &JobId) -> bool {
        self.ops.values().any(|op| matches!(op, Op::Claim(op) if op.claim.ticket == *ticket))
    }

    pub(crate) fn is_claiming(&self, spec: &JobSpec) -> bool {
        self.is_claiming_name(&(spec.customer.clone(), spec.request.clone()))
    }

    fn write_claim(&mut self, mut op: ClaimOp, now: Moment) {
        op.store_calls += 1;
        if op.store_calls > MAX_STORE_CALLS {
            // The ticket is never started, even if the last write takes effect later.
            return self.refuse_for_store(&op.submission, op.to, now);
        }
        let key = op.key();
        let value = op.claim.to_text();
        let ttl = Some(CLAIM_TTL);
        let req = match op.replaces {
            None => StoreRequest::Create { key, value, ttl },
            Some(version) => StoreRequest::CompareAndSwap { key, version, value, ttl },
        };
        self.call_store(Op::Claim(Box::new(op)), req);
    }

    pub(crate) fn on_claim_reply(&mut self, mut op: ClaimOp, reply: Option<StoreReply>, now: Moment) {
        match reply {
            Some(StoreReply::Written { .. }) => self.claim_stored(op, now),
            Some(StoreReply::Conflict { value: Some(found) } | StoreReply::Found { value: Some(found) }) => {
                self.on_existing_claim(op, found, now);
            }
            Some(StoreReply::Found { value: None }) => {
                op.replaces = None;
                self.write_claim(op, now);
            }
            Some(StoreReply::Conflict { value: None }) if op.replaces.is_some() => {
                op.replaces = None;
                self.write_claim(op, now);
            }
            Some(_) => self.refuse_for_store(&op.submission, op.to, now),
            None => self.read_claim(op, now),
        }
    }

    /// Reads the claim after a lost reply: the stored claim shows whether the write took effect.
    fn read_claim(&mut self, mut op: ClaimOp, now: Moment) {
        op.store_calls += 1;
        if op.store_calls > MAX_STORE_CALLS {
            return self.refuse_for_store(&op.submission, op.to, now);
        }
        let key = op.key();
        self.call_store(Op::Claim(Box::new(op)), StoreRequest::Get { key });
    }

    fn claim_stored(&mut self, op: ClaimOp, now: Moment) {
        let ticket = op.claim.ticket.clone();
        self.claimed.insert(ticket.clone(), op.claim);
        self.accept(op.submission, ticket, op.to, now);
    }

    /// Handles a stored claim with another ticket, whose box may be live, in another availability zone, or
    /// terminated.
    fn on_existing_claim(&mut self, mut op: ClaimOp, found: Versioned, now: Moment) {
        let Some(existing) = Claim::parse(&found.value) else {
            return self.replace_claim(op, found.version, now);
        };
        if existing.ticket == op.claim.ticket {
            return self.claim_stored(op, now);
        }
        // The new ticket inherits what the claim records of earlier tickets.
        op.submission.may_have_run |= existing.has_run;
        op.submission.resume |= existing.resume;
        if existing.ended.as_deref() == Some("not_run") {
            return self.replace_claim(op, found.version, now);
        }
        if existing.availability_zone != self.id.availability_zone {
            return self.pass_on(op, &existing, now);
        }
        if let Some(outcome) = existing.ended {
            // A box may still have the answer if the caller has not acknowledged it.
            let spec = op.submission.spec;
            let action = crate::route::Action::Poll { wait: op.submission.wait };
            let route =
                crate::route::RouteOp::after_recorded_end(action, (spec.customer, spec.request), op.to, outcome);
            return self.query_peers(route, now);
        }
        if self.jobs.minted(&existing.ticket) {
            return self.on_own_claim(op, &existing, found.version, now);
        }
        if self.is_live_ticket(&existing.ticket, now) {
            let owner = existing.ticket.minted_by.clone();
            let ticket = (existing.ticket.clone(), existing.repeatable);
            let op = ClaimOp { replaces: Some(found.version), existing: Some(ticket), ..op };
            let (customer, request) = (op.submission.spec.customer.clone(), op.submission.spec.request.clone());
            let wait = op.submission.wait;
            return self.call_peer(
                Op::Claim(Box::new(op)),
                &owner,
                PeerRequest::Lookup { customer, request, wait, ticket: Some(existing.ticket), pass_on: false },
            );
        }
        if !self.view.can_detect_failures(now) {
            return self.reply(op.to, CallerReply::Job(unsettled_answer()));
        }
        let ticket = (existing.ticket, existing.repeatable);
        self.fence_existing(ClaimOp { existing: Some(ticket), ..op }, found.version, now);
    }

    /// Handles a stored claim that this very process made earlier.
    fn on_own_claim(&mut self, op: ClaimOp, existing: &Claim, version: u64, now: Moment) {
        if self.is_claim_in_flight(&existing.ticket) {
            return self.reply(op.to, CallerReply::Job(crate::route::claiming_answer()));
        }
        let view = self.jobs.view(&existing.ticket);
        match view.as_ref().map(|view| &view.stage) {
            // The ticket was abandoned before its job started, or the job was not run.
            None | Some(Stage::Void | Stage::Ended(Outcome::NotRun { .. })) => self.replace_claim(op, version, now),
            Some(Stage::Moved(holder)) if self.is_orphaned(&existing.ticket, holder, now) => {
                let ticket = (existing.ticket.clone(), existing.repeatable);
                self.fence_existing(ClaimOp { existing: Some(ticket), ..op }, version, now);
            }
            Some(Stage::Ended(_) | Stage::Moved(_)) => {
                let answer = view.as_ref().map_or(JobAnswer::NotKnown, |view| self.answer_of(view, now));
                self.reply(op.to, CallerReply::Job(answer));
            }
            Some(_) => {
                let spec = &op.submission.spec;
                let name = (spec.customer.clone(), spec.request.clone());
                self.wait_for_end(name, op.to, now + op.submission.wait);
            }
        }
    }

    pub(crate) fn replace_claim(&mut self, op: ClaimOp, version: u64, now: Moment) {
        let store_calls = op.store_calls;
        let mut op = self.new_claim(op.submission, op.to, Some(version), now);
        op.store_calls = store_calls;
        self.write_claim(op, now);
    }

    /// Replaces a claim whose ticket has been fenced.
    pub(crate) fn reclaim(&mut self, submission: Submission, to: Respondent, version: u64, now: Moment) {
        let op = self.new_claim(submission, to, Some(version), now);
        self.write_claim(op, now);
    }

    /// Handles the reply of the live box that minted the ticket of the stored claim.
    pub(crate) fn on_owner_reply(&mut self, op: ClaimOp, reply: Option<PeerReply>, now: Moment) {
        let Some(version) = op.replaces else { return };
        let answer = match reply {
            // That box minted the ticket, has not started it and never will.
            Some(PeerReply::Job(JobAnswer::NotKnown)) => return self.replace_claim(op, version, now),
            Some(PeerReply::Job(JobAnswer::Ended { outcome: Outcome::NotRun { .. }, .. })) => {
                return self.replace_claim(op, version, now);
            }
            Some(PeerReply::Job(JobAnswer::Orphaned)) => return self.fence_existing(op, version, now),
            Some(PeerReply::Job(answer)) => answer,
            _ => unsettled_answer(),
        };
        self.reply(op.to, CallerReply::Job(answer));
    }

    fn fence_existing(&mut self, op: ClaimOp, version: u64, now: Moment) {
        let Some((ticket, repeatable)) = op.existing else { return };
        let then = AfterFencing::Reclaim { submission: op.submission, to: op.to, version };
        self.begin_fencing(ticket, repeatable, then, now);
    }

    fn pass_on(&mut self, op: ClaimOp, existing: &Claim, now: Moment) {
        let Some(peer) = self.any_box_of(&existing.availability_zone, now) else {
            return self.reply(op.to, CallerReply::Job(unsettled_answer()));
        };
        let route = crate::route::RouteOp::forward(op.submission.clone(), op.to);
        self.call_peer(Op::Route(Box::new(route)), &peer, PeerRequest::Submit(op.submission));
    }

    /// Records the end of a claimed job in the store, so that the request is not run again after its box has
    /// terminated.
    pub(crate) fn end_claim(&mut self, job: &JobId, now: Moment) {
        if self.claimed.contains_key(job) {
            self.ends_to_write.insert(job.clone());
            self.write_end(job, now);
        }
    }

    fn write_end(&mut self, job: &JobId, _now: Moment) {
        let Some(claim) = self.claimed.get(job) else { return };
        let Some(view) = self.jobs.view(job) else { return };
        let Stage::Ended(outcome) = &view.stage else { return };
        let mut claim = claim.clone();
        claim.ended = Some(outcome.name().to_owned());
        claim.durable = None;
        let key = claim_key(&view.spec.customer, &view.spec.request);
        let end = EndClaim { job: job.clone(), key: key.clone(), claim };
        self.ends_to_write.remove(job);
        self.call_store(Op::EndClaim(end), StoreRequest::Get { key });
    }

    pub(crate) fn on_end_claim_reply(&mut self, end: EndClaim, reply: Option<StoreReply>, now: Moment) {
        match reply {
            Some(StoreReply::Found { value: Some(found) }) => {
                let stored = Claim::parse(&found.value);
                match stored {
                    Some(it) if it.ticket != end.claim.ticket => return self.end_superseded(&end.job),
                    Some(it) if it.ended.is_some() => return self.end_recorded(&end.job, now),
                    _ => {}
                }
                let req = StoreRequest::CompareAndSwap {
                    key: end.key.clone(),
                    version: found.version,
                    value: end.claim.to_text(),
                    ttl: Some(CLAIM_TTL),
                };
                self.call_store(Op::EndClaim(end), req);
            }
            Some(StoreReply::Written { .. } | StoreReply::Found { value: None }) => self.end_recorded(&end.job, now),
            _ => {
                self.ends_to_write.insert(end.job);
                self.config.claim_ends_retry_at.get_or_insert(now + END_RETRY);
            }
        }
    }

    /// Returns whether a job's claim records that it has run and resumes from a checkpoint; starts to write
    /// that if not. Without it, a box that takes the request over could start it from the beginning.
    pub(crate) fn ensure_claim_records_run(&mut self, job: &JobId) -> bool {
        let Some(claim) = self.claimed.get(job) else { return true };
        if claim.resume || !self.jobs.resumes(job) {
            return true;
        }
        let Some(view) = self.jobs.view(job) else { return true };
        if !self.ops.values().any(|op| matches!(op, Op::MarkClaim(it) if it == job)) {
            let key = claim_key(&view.spec.customer, &view.spec.request);
            self.call_store(Op::MarkClaim(job.clone()), StoreRequest::Get { key });
        }
        false
    }

    pub(crate) fn on_mark_claim_reply(&mut self, job: JobId, reply: Option<StoreReply>) {
        let Some(claim) = self.claimed.get_mut(&job) else { return };
        match reply {
            Some(StoreReply::Found { value: Some(found) }) => {
                if Claim::parse(&found.value).is_some_and(|it| it.ticket == claim.ticket && !it.resume) {
                    let marked = Claim { has_run: true, resume: true, ..claim.clone() };
                    let req = StoreRequest::CompareAndSwap {
                        key: found.key,
                        version: found.version,
                        value: marked.to_text(),
                        ttl: Some(CLAIM_TTL),
                    };
                    return self.call_store(Op::MarkClaim(job), req);
                }
                // Marked by an earlier write whose reply was lost, or replaced by another ticket.
                claim.has_run = true;
                claim.resume = true;
            }
            Some(StoreReply::Written { .. }) => {
                claim.has_run = true;
                claim.resume = true;
            }
            _ => {}
        }
    }

    /// Cancels a request whose box has terminated: fences its ticket, then records the end in its claim.
    pub(crate) fn cancel_orphan(
        &mut self,
        name: (CustomerId, RequestId),
        to: Respondent,
        claim: Claim,
        version: u64,
        now: Moment,
    ) {
        let key = claim_key(&name.0, &name.1);
        let (ticket, repeatable) = (claim.ticket.clone(), claim.repeatable);
        self.begin_fencing(ticket, repeatable, AfterFencing::Cancel { to, key, claim, version }, now);
    }

    pub(crate) fn record_cancelled(&mut self, to: Respondent, key: String, claim: Claim, version: u64, ran: bool) {
        let outcome = if ran { "unknown" } else { "cancelled" }.to_owned();
        let claim = Claim { ended: Some(outcome.clone()), durable: None, ..claim };
        let req = StoreRequest::CompareAndSwap { key, version, value: claim.to_text(), ttl: Some(CLAIM_TTL) };
        self.call_store(Op::CancelClaim { to, outcome }, req);
    }

    pub(crate) fn on_cancel_recorded(&mut self, to: Respondent, outcome: String, reply: Option<StoreReply>) {
        let answer = match reply {
            Some(StoreReply::Written { .. }) => JobAnswer::Over { outcome },
            // The next poll reads the stored claim.
            _ => unsettled_answer(),
        };
        self.reply(to, CallerReply::Job(answer));
    }

    /// The end of a job is stored: its callers get the outcome now.
    fn end_recorded(&mut self, job: &JobId, now: Moment) {
        if !self.unrecorded_outcomes.remove(job) {
            return;
        }
        if let Some(view) = self.jobs.view(job) {
            let answer = self.answer_of(&view, now);
            self.answer_waiters(&view.spec.customer, &view.spec.request, &answer);
        }
    }

    /// Another ticket has replaced this one: the outcome under this ticket is void.
    fn end_superseded(&mut self, job: &JobId) {
        if !self.unrecorded_outcomes.remove(job) {
            return;
        }
        if let Some(view) = self.jobs.view(job) {
            self.jobs.void(job);
            self.answer_waiters(&view.spec.customer, &view.spec.request, &unsettled_answer());
        }
    }

    /// Claims a waiting job under a new ticket, which is young enough for a recently restarted lease table.
    /// It takes the path of any submission, so a box that has fenced the old ticket meanwhile is detected.
    pub(crate) fn renew_ticket(&mut self, job: &JobId, now: Moment) {
        if !self.claimed.contains_key(job) {
            return;
        }
        let Some(submission) = self.release(job) else { return };
        self.submit_new(submission, Respondent::Nobody, now);
    }

    /// Retries ends and claims that could not be written.
    pub(crate) fn tick_claims(&mut self, now: Moment) {
        let (due, later) = std::mem::take(&mut self.claims_to_retry).into_iter().partition(|(at, _)| *at <= now);
        self.claims_to_retry = later;
        for (_, submission) in due {
            self.submit_new(submission, Respondent::Nobody, now);
        }
        if self.config.claim_ends_retry_at.is_some_and(|at| at <= now) {
            self.config.claim_ends_retry_at = None;
            for job in std::mem::take(&mut self.ends_to_write) {
                self.write_end(&job, now);
            }
        }
    }
}

impl ClaimOp {
    fn key(&self) -> String {
        claim_key(&self.submission.spec.customer, &self.submission.spec.request)
    }
}
