//! Draining of a box: waiting jobs are handed to another box of the availability zone, and their waiting
//! callers are forwarded to it.
//!
//! Running gangs are not handed over: a draining box stays until they have ended.

use lifecycle::Origin;
use model::{BoxId, Duration, JobId, Moment};

use crate::{
    CallerReply, EntryBox, JobAnswer, PeerReply, PeerRequest, Submission, entry_box::Op, route::Action,
    waiters::Respondent,
};

/// Delay before jobs that no box accepted are offered to the other boxes again.
const HANDOVER_RETRY: Duration = Duration::from_secs(1);

/// A waiting job being handed to another box.
#[derive(Debug)]
pub(crate) struct HandOver {
    submission: Submission,
    /// Boxes that did not accept it.
    refused: Vec<BoxId>,
}

impl EntryBox {
    /// Starts draining.
    pub(crate) fn drain(&mut self) {
        self.draining = true;
        self.view.set_draining(true);
        // An immediate heartbeat informs the peers.
        self.last_heartbeat = None;
    }

    /// Returns whether a draining box has no work left that only it can finish.
    pub fn is_drained(&self) -> bool {
        let is_unfinished = |op: &Op| {
            matches!(
                op,
                Op::Claim(_)
                    | Op::FenceTicket(_)
                    | Op::Route(_)
                    | Op::Apply(..)
                    | Op::HandOver(_)
                    | Op::EndClaim(_)
                    | Op::CancelClaim { .. }
            )
        };
        self.draining
            && self.jobs.open_jobs() == 0
            && self.waiters.is_empty()
            && self.ends_to_write.is_empty()
            && self.unrecorded_outcomes.is_empty()
            && self.claims_to_retry.is_empty()
            && !self.ops.values().any(is_unfinished)
    }

    /// Hands waiting jobs to other boxes while this box is draining.
    pub(crate) fn hand_over_queue(&mut self, now: Moment) {
        if !self.draining || self.hand_over_at > now || self.successor(&[], now).is_none() {
            return;
        }
        for waiting in self.jobs.waiting(now) {
            if !self.ensure_claim_records_run(&waiting.job) {
                continue;
            }
            let Some(submission) = self.release(&waiting.job) else { continue };
            self.hand_over(HandOver { submission, refused: Vec::new() }, now);
        }
    }

    /// Removes a waiting job and returns it as a submission, to be submitted again here or elsewhere; returns
    /// `None` if the job has to stay.
    pub(crate) fn release(&mut self, job: &JobId) -> Option<Submission> {
        let (spec, Origin { resume, certain }) = self.jobs.release(job)?;
        let durable = self.claimed.remove(job).is_some_and(|claim| claim.durable.is_some());
        Some(Submission {
            spec: (*spec).clone(),
            wait: Duration::ZERO,
            durable,
            retry: false,
            ticket: None,
            resume,
            may_have_run: !certain,
        })
    }

    fn hand_over(&mut self, it: HandOver, now: Moment) {
        match self.successor(&it.refused, now) {
            Some(peer) => {
                let req = PeerRequest::Submit(it.submission.clone());
                self.call_peer(Op::HandOver(Box::new(it)), &peer, req);
            }
            // No other box accepts it: this box keeps it.
            None => {
                self.hand_over_at = now + HANDOVER_RETRY;
                self.submit_new(it.submission, Respondent::Nobody, now);
            }
        }
    }

    pub(crate) fn on_handed_over(&mut self, mut it: HandOver, peer: BoxId, reply: Option<PeerReply>, now: Moment) {
        let taken = matches!(
            reply,
            Some(PeerReply::Job(JobAnswer::Pending { .. } | JobAnswer::Over { .. } | JobAnswer::Ended { .. }))
        );
        if !taken {
            it.refused.push(peer);
            return self.hand_over(it, now);
        }
        let spec = &it.submission.spec;
        for (to, until) in self.waiters.take(&(spec.customer.clone(), spec.request.clone())) {
            let req = PeerRequest::Lookup {
                customer: spec.customer.clone(),
                request: spec.request.clone(),
                wait: until.since(now),
                ticket: None,
                pass_on: false,
            };
            let route = crate::route::RouteOp::forward(it.submission.clone(), to);
            self.call_peer(Op::Route(Box::new(route)), &peer, req);
        }
    }

    /// Forwards the callers that wait for a job to its new holder.
    pub(crate) fn follow_moved(&mut self, view: &lifecycle::JobView, now: Moment) {
        let name = (view.spec.customer.clone(), view.spec.request.clone());
        let has_holder = matches!(view.stage, lifecycle::Stage::Moved(_));
        for (to, until) in self.waiters.take(&name) {
            if has_holder {
                let action = Action::Poll { wait: until.since(now) };
                self.route(action, name.0.clone(), name.1.clone(), to, now);
            } else {
                self.reply(to, CallerReply::Job(crate::route::unsettled_answer()));
            }
        }
    }

    /// Returns a live box of the availability zone that is not draining.
    fn successor(&self, except: &[BoxId], now: Moment) -> Option<BoxId> {
        let staying = |id: &BoxId| self.view.peers().get(id).is_some_and(|status| !status.draining);
        self.view.live(now).into_iter().find(|id| staying(id) && !except.contains(id))
    }
}
