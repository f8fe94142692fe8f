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
    entry_box::Op, route::moved_answer, waiters::Respondent,
};

/// Delay before an unanswered fence is sent again.
const RESEND: Duration = Duration::from_secs(1);
/// Largest assumed difference between the wall clocks of two boxes.
const SKEW: Duration = Duration::from_secs(2);
/// Retry delay for a caller whose ticket could not be fenced.
const RETRY: Duration = Duration::from_secs(2);
/// Delay before the recovery of durable jobs is tried again.
const RECOVER_RETRY: Duration = Duration::from_secs(5);

/// The step to take once the ticket is fenced.
#[derive(Debug)]
pub(crate) enum Afterwards {
    /// Claims the request under a new ticket.
    Reclaim { submission: Submission, to: Respondent, version: u64 },
    /// Replies to the caller that its ticket is void.
    TicketVoid { to: Respondent },
    /// Records that the request was cancelled.
    Cancel { to: Respondent, key: String, claim: Claim, version: u64 },
}

/// A ticket being fenced.
#[derive(Debug)]
pub(crate) struct SettleOp {
    ticket: JobId,
    repeatable: bool,
    open: BTreeSet<BackendServerId>,
    ran: bool,
    next: Moment,
    until: Moment,
    afterwards: Afterwards,
}

impl EntryBox {
    pub(crate) fn begin_settle(&mut self, ticket: JobId, repeatable: bool, afterwards: Afterwards, now: Moment) {
        if self.replicas.is_whole(&ticket) {
            // The gang runs or has run whole: it is adopted instead.
            return self.reply(afterwards.to(), CallerReply::Job(moved_answer()));
        }
        let open = self.replicas.ids();
        let until = now + self.limits.settle;
        let op = SettleOp { ticket, repeatable, open, ran: false, next: now, until, afterwards };
        let id = self.new_op(Op::Settle(Box::new(op)));
        self.send_fences(id, now);
    }

    fn send_fences(&mut self, id: OpId, now: Moment) {
        let Some(Op::Settle(op)) = self.ops.get_mut(&id) else { return };
        op.next = now + RESEND;
        let ticket = op.ticket.clone();
        for server in op.open.clone() {
            let req = BackendRequest::Stop { job: ticket.clone(), token: LeaseToken::FENCE };
            self.call_backend(BackendOp::Fence(id), server, req);
        }
    }

    pub(crate) fn on_fenced(&mut self, id: OpId, server: &BackendServerId, reply: Option<BackendReply>, now: Moment) {
        let wall_ms = self.wall_ms(now);
        let Some(Op::Settle(op)) = self.ops.get_mut(&id) else { return };
        let age = op.ticket.age_at(wall_ms) + SKEW;
        if let Some(BackendReply::Stopped { ran, remembers }) = reply {
            op.open.remove(server);
            // A table younger than the ticket has no record of the ticket's earliest time.
            op.ran |= ran || remembers < age;
        }
        if op.open.is_empty()
            && let Some(Op::Settle(op)) = self.ops.remove(&id)
        {
            self.settled(*op, now);
        }
    }

    pub(crate) fn tick_ops(&mut self, now: Moment) {
        let settling: Vec<OpId> =
            self.ops.iter().filter(|(_, op)| matches!(op, Op::Settle(_))).map(|(id, _)| *id).collect();
        for id in settling {
            let Some(Op::Settle(op)) = self.ops.get(&id) else { continue };
            let (next, until) = (op.next, op.until);
            if until <= now {
                self.give_up_settling(id);
            } else if next <= now {
                self.send_fences(id, now);
            }
        }
        self.recover_if_due(now);
    }

    fn give_up_settling(&mut self, id: OpId) {
        let Some(Op::Settle(op)) = self.ops.remove(&id) else { return };
        let why = format!("{} backend servers do not say whether the ticket ran", op.open.len());
        self.reply(op.afterwards.to(), CallerReply::Job(JobAnswer::Unsettled { why, retry_after: RETRY }));
    }

    fn settled(&mut self, op: SettleOp, now: Moment) {
        self.observe(Observation::Count { name: "ticket_settled" });
        if let Afterwards::Cancel { to, key, claim, version } = op.afterwards {
            return self.record_cancelled(to, key, claim, version, op.ran);
        }
        if op.ran && !op.repeatable {
            let why = "it may have run under a box that is gone, and its answer was not kept".to_owned();
            let answer = JobAnswer::Ended { job: op.ticket, outcome: Outcome::Unknown { why } };
            return self.reply(op.afterwards.to(), CallerReply::Job(answer));
        }
        match op.afterwards {
            Afterwards::Reclaim { mut submission, to, version } => {
                submission.may_have_run |= op.ran;
                self.reclaim(submission, to, version, now);
            }
            Afterwards::Cancel { .. } => {}
            Afterwards::TicketVoid { to } => {
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
            let afterwards = Afterwards::Reclaim { submission, to: Respondent::Nobody, version: found.version };
            self.begin_settle(claim.ticket, claim.repeatable, afterwards, now);
        }
        if later {
            self.recover_at = Some(now + RECOVER_RETRY);
        }
    }
}

impl Afterwards {
    fn to(&self) -> Respondent {
        match self {
            Afterwards::Reclaim { to, .. } | Afterwards::TicketVoid { to } | Afterwards::Cancel { to, .. } => *to,
        }
    }
}
