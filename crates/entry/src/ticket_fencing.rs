//! Fencing of the ticket of a box that has terminated, so that its request can be reported as not run or be
//! run under another ticket.
//!
//! Every backend server of the availability zone is ordered to refuse the ticket from then on, and reports
//! whether it ever ran there. Once all have replied and none has run it, the ticket never ran and never will,
//! even if its box was only paused and resumes.

use std::collections::BTreeSet;

use backend::{BackendReply, BackendRequest};
use model::{BackendServerId, Duration, JobId, LeaseToken, Moment, NotRunReason, Outcome};
use outside::{StoreReply, StoreRequest};

use crate::{
    BackendOp, CallerReply, Claim, EntryBox, JobAnswer, Observation, OpId, Submission, claims::CLAIM_PREFIX,
    entry_box::Op, route::unsettled_answer, waiters::Respondent,
};

/// Delay before an unanswered fence is sent again.
const FENCE_RESEND: Duration = Duration::from_secs(1);
/// Largest assumed difference between the wall clocks of two boxes.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(2);
/// Retry delay for a caller whose ticket could not be fenced.
const UNFENCED_RETRY: Duration = Duration::from_secs(2);
/// Delay before the recovery of durable jobs is tried again.
const RECOVER_RETRY: Duration = Duration::from_secs(5);

/// The step to take once the ticket is fenced.
#[derive(Debug)]
pub(crate) enum AfterFencing {
    /// Claims the request under a new ticket.
    Reclaim { submission: Submission, to: Respondent, version: u64 },
    /// Replies to the caller that its ticket is void.
    TicketVoid { to: Respondent },
    /// Records that the request was cancelled.
    Cancel { to: Respondent, key: String, claim: Claim, version: u64 },
}

/// A ticket being fenced.
#[derive(Debug)]
pub(crate) struct FencingOp {
    ticket: JobId,
    repeatable: bool,
    /// Backend servers that have not replied yet.
    unanswered: BTreeSet<BackendServerId>,
    /// Whether the ticket ran, or may have: a backend server whose table is too young can't tell.
    ran: bool,
    resend_at: Moment,
    deadline: Moment,
    then: AfterFencing,
}

impl EntryBox {
    pub(crate) fn begin_fencing(&mut self, ticket: JobId, repeatable: bool, then: AfterFencing, now: Moment) {
        if self.replicas.is_whole(&ticket) {
            // The gang runs or has run whole: it is adopted instead.
            return self.reply(then.to(), CallerReply::Job(unsettled_answer()));
        }
        let unanswered = self.replicas.ids();
        let deadline = now + self.limits.fencing_timeout;
        let op = FencingOp { ticket, repeatable, unanswered, ran: false, resend_at: now, deadline, then };
        let id = self.new_op(Op::FenceTicket(Box::new(op)));
        self.send_fences(id, now);
    }

    fn send_fences(&mut self, id: OpId, now: Moment) {
        let Some(Op::FenceTicket(op)) = self.ops.get_mut(&id) else { return };
        op.resend_at = now + FENCE_RESEND;
        let ticket = op.ticket.clone();
        for server in op.unanswered.clone() {
            let req = BackendRequest::Stop { job: ticket.clone(), token: LeaseToken::FENCE };
            self.call_backend(BackendOp::Fence(id), server, req);
        }
    }

    pub(crate) fn on_fenced(&mut self, id: OpId, server: &BackendServerId, reply: Option<BackendReply>, now: Moment) {
        let wall_ms = self.wall_ms(now);
        let Some(Op::FenceTicket(op)) = self.ops.get_mut(&id) else { return };
        let age = op.ticket.age_at(wall_ms) + MAX_CLOCK_DIFFERENCE;
        if let Some(BackendReply::Stopped { ran, remembers }) = reply {
            op.unanswered.remove(server);
            // A table younger than the ticket has no record of the ticket's earliest time.
            op.ran |= ran || remembers < age;
        }
        if op.unanswered.is_empty()
            && let Some(Op::FenceTicket(op)) = self.ops.remove(&id)
        {
            self.fencing_done(*op, now);
        }
    }

    pub(crate) fn tick_ops(&mut self, now: Moment) {
        let fencing: Vec<OpId> =
            self.ops.iter().filter(|(_, op)| matches!(op, Op::FenceTicket(_))).map(|(id, _)| *id).collect();
        for id in fencing {
            let Some(Op::FenceTicket(op)) = self.ops.get(&id) else { continue };
            let (resend_at, deadline) = (op.resend_at, op.deadline);
            if deadline <= now {
                self.abandon_fencing(id);
            } else if resend_at <= now {
                self.send_fences(id, now);
            }
        }
        self.recover_if_due(now);
    }

    fn abandon_fencing(&mut self, id: OpId) {
        let Some(Op::FenceTicket(op)) = self.ops.remove(&id) else { return };
        let why = format!("{} backend servers do not say whether the ticket ran", op.unanswered.len());
        self.reply(op.then.to(), CallerReply::Job(JobAnswer::Unsettled { why, retry_after: UNFENCED_RETRY }));
    }

    fn fencing_done(&mut self, op: FencingOp, now: Moment) {
        self.observe(Observation::Count { name: "ticket_settled" });
        if let AfterFencing::Cancel { to, key, claim, version } = op.then {
            return self.record_cancelled(to, key, claim, version, op.ran);
        }
        if op.ran && !op.repeatable {
            let why = "it may have run under a box that is gone, and its answer was not kept".to_owned();
            let answer = JobAnswer::Ended { job: op.ticket, outcome: Outcome::Unknown { why } };
            return self.reply(op.then.to(), CallerReply::Job(answer));
        }
        match op.then {
            AfterFencing::Reclaim { mut submission, to, version } => {
                submission.may_have_run |= op.ran;
                self.reclaim(submission, to, version, now);
            }
            AfterFencing::Cancel { .. } => {}
            AfterFencing::TicketVoid { to } => {
                let reason = NotRunReason::Unknown { what: "ticket: the box that minted it is gone".to_owned() };
                let outcome = Outcome::NotRun { reason, retry_after: Some(Duration::ZERO) };
                self.reply(to, CallerReply::Job(JobAnswer::Ended { job: op.ticket, outcome }));
            }
        }
    }

    /// Lists the claims if this box is the planner, to recover durable jobs whose box has terminated.
    fn recover_if_due(&mut self, now: Moment) {
        if self.recover_at.is_none_or(|at| at > now) || self.draining || !self.view.can_detect_failures(now) {
            return;
        }
        self.recover_at = None;
        if *self.view.planner(now) == self.id.box_id && self.current.file().is_some() {
            self.call_store(Op::Recover, StoreRequest::List { prefix: CLAIM_PREFIX.to_owned() });
        }
    }

    pub(crate) fn on_recover_reply(&mut self, reply: Option<StoreReply>, now: Moment) {
        let Some(StoreReply::Listed { values }) = reply else {
            self.recover_at = Some(now + RECOVER_RETRY);
            return;
        };
        let mut later = false;
        for found in values {
            let Some(claim) = Claim::parse(&found.value) else { continue };
            let Some(spec) = &claim.durable else { continue };
            if claim.ended.is_some() || claim.availability_zone != self.id.availability_zone {
                continue;
            }
            if self.jobs.view(&claim.ticket).is_some() || self.is_live_ticket(&claim.ticket, now) {
                continue;
            }
            if self.replicas.is_whole(&claim.ticket) || self.jobs.find(&spec.customer, &spec.request).is_some() {
                later = true;
                continue;
            }
            let submission = Submission {
                spec: spec.clone(),
                wait: Duration::ZERO,
                durable: true,
                retry: false,
                ticket: None,
                resume: claim.resume,
                may_have_run: claim.has_run,
            };
            let then = AfterFencing::Reclaim { submission, to: Respondent::Nobody, version: found.version };
            self.begin_fencing(claim.ticket, claim.repeatable, then, now);
        }
        if later {
            self.recover_at = Some(now + RECOVER_RETRY);
        }
    }
}

impl AfterFencing {
    fn to(&self) -> Respondent {
        match self {
            AfterFencing::Reclaim { to, .. } | AfterFencing::TicketVoid { to } | AfterFencing::Cancel { to, .. } => *to,
        }
    }
}
