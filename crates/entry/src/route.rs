//! Routing of polls, cancellations and acknowledgements, which a caller may send to any box, to the box that
//! holds the request.
//!
//! The lookup goes from this box's own jobs to the holder that the lease tables name, then to all peers of
//! the availability zone, then to the claim in the platform's store.

use std::collections::BTreeSet;

use backend::Holder;
use lifecycle::{JobView, Stage};
use model::{BoxId, CustomerId, Duration, JobId, Moment, RequestId};
use outside::{StoreReply, StoreRequest};

use crate::{
    CallerReply, Claim, EntryBox, JobAnswer, OpId, PeerReply, PeerRequest, Submission, claims::claim_key,
    entry_box::Op, waiters::Respondent,
};

/// Delay after which a caller whose request is not settled should retry.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// An operation on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Action {
    Poll { wait: Duration },
    Cancel,
    Acknowledge,
}

/// A request being routed.
#[derive(Debug)]
pub(crate) struct RouteOp {
    action: Action,
    name: (CustomerId, RequestId),
    to: Respondent,
    /// Peers that have not replied yet.
    unanswered: BTreeSet<BoxId>,
    /// Submission to admit as new if the request is unknown everywhere.
    submission: Option<Submission>,
    /// Outcome that the claim records; the reply if no box has the answer any more.
    ended: Option<String>,
    /// If set, the reply `NotKnown` goes to the caller; otherwise the request is resolved as unknown first.
    not_known_is_final: bool,
}

impl RouteOp {
    /// Creates the route of a submission that is forwarded to another box, whose reply is final.
    pub(crate) fn forward(submission: Submission, to: Respondent) -> RouteOp {
        let name = (submission.spec.customer.clone(), submission.spec.request.clone());
        let action = Action::Poll { wait: submission.wait };
        RouteOp {
            action,
            name,
            to,
            unanswered: BTreeSet::new(),
            submission: None,
            not_known_is_final: true,
            ended: None,
        }
    }

    /// Creates the route of a request that may be sent to all peers.
    pub(crate) fn search(
        action: Action,
        name: (CustomerId, RequestId),
        to: Respondent,
        submission: Option<Submission>,
    ) -> RouteOp {
        RouteOp { action, name, to, unanswered: BTreeSet::new(), submission, not_known_is_final: false, ended: None }
    }

    /// Creates the route of a request whose claim records its end.
    pub(crate) fn after_recorded_end(
        action: Action,
        name: (CustomerId, RequestId),
        to: Respondent,
        outcome: String,
    ) -> RouteOp {
        RouteOp { ended: Some(outcome), ..RouteOp::search(action, name, to, None) }
    }

    /// Returns the message for a peer. `pass_on` is set for a box of another availability zone, which then
    /// searches its own zone for the holder.
    fn request(&self, pass_on: bool) -> PeerRequest {
        let (customer, request) = self.name.clone();
        match self.action {
            Action::Poll { wait } => PeerRequest::Lookup { customer, request, wait, ticket: None, pass_on },
            Action::Cancel => PeerRequest::Cancel { customer, request, pass_on },
            Action::Acknowledge => PeerRequest::Acknowledge { customer, request, pass_on },
        }
    }
}

impl EntryBox {
    /// Replies to an operation on a request, wherever the request is held.
    pub(crate) fn route(
        &mut self,
        action: Action,
        customer: CustomerId,
        request: RequestId,
        to: Respondent,
        now: Moment,
    ) {
        self.route_or_submit(RouteOp::search(action, (customer, request), to, None), now);
    }

    /// As [`EntryBox::route`], but admits the submission in the route if the request is unknown.
    pub(crate) fn route_or_submit(&mut self, route: RouteOp, now: Moment) {
        let RouteOp { action, to, .. } = route;
        let name = route.name.clone();
        let local = self.jobs.find(&name.0, &name.1);
        let moved_to = match local.as_ref().map(|view| &view.stage) {
            Some(Stage::Moved(holder)) => Some(holder.clone()),
            Some(Stage::Void) => None,
            Some(_) => return self.answer_locally(action, name.0, name.1, to, now),
            None if self.is_claiming_name(&name) => return self.answer_locally(action, name.0, name.1, to, now),
            None => None,
        };
        // The lease tables are newer than the holder recorded when the job moved.
        let found = self.replicas.find(&name.0, &name.1);
        let live = |holder: &Holder| holder.box_id != self.id.box_id && self.is_live_holder(holder, now);
        let holder = found.as_ref().map(|found| found.holder.clone()).or(moved_to).filter(live);
        match holder {
            Some(holder) => {
                let req = route.request(false);
                self.call_peer(Op::Route(Box::new(route)), &holder.box_id, req);
            }
            // A whole gang without a live holder will be adopted.
            None if found.is_some_and(|found| found.is_whole) => self.reply(to, CallerReply::Job(unsettled_answer())),
            None => self.query_peers(route, now),
        }
    }

    pub(crate) fn is_live_holder(&self, holder: &Holder, now: Moment) -> bool {
        self.view.is_live_incarnation(&holder.box_id, holder.incarnation, self.id.incarnation, now)
    }

    /// Replies to another box: from this box's own jobs, or with `pass_on` after a search for the holder.
    pub(crate) fn answer_peer(
        &mut self,
        action: Action,
        customer: CustomerId,
        request: RequestId,
        pass_on: bool,
        to: Respondent,
        now: Moment,
    ) {
        if pass_on {
            self.route(action, customer, request, to, now);
        } else {
            self.answer_locally(action, customer, request, to, now);
        }
    }

    /// Replies from this box's own jobs alone.
    pub(crate) fn answer_locally(
        &mut self,
        action: Action,
        customer: CustomerId,
        request: RequestId,
        to: Respondent,
        now: Moment,
    ) {
        let Some(view) = self.jobs.find(&customer, &request) else {
            let claiming = self.is_claiming_name(&(customer, request));
            let answer = if claiming { claiming_answer() } else { JobAnswer::NotKnown };
            return self.reply(to, CallerReply::Job(answer));
        };
        match action {
            Action::Cancel => self.jobs.cancel(&view.job, now),
            Action::Acknowledge => self.jobs.acknowledge(&view.job),
            Action::Poll { .. } => {}
        }
        // The effects of a job's end come before the reply that reports it.
        self.apply_effects(now);
        let view = self.jobs.view(&view.job).unwrap_or(view);
        match (&view.stage, action) {
            (Stage::Ended(_), _) if self.unrecorded_outcomes.contains(&view.job) => {
                self.wait_for_end((customer, request), to, now + self.limits.call);
            }
            (Stage::Ended(_) | Stage::Moved(_) | Stage::Void, _) | (_, Action::Acknowledge) => {
                self.reply(to, CallerReply::Job(self.answer_of(&view, now)));
            }
            (_, Action::Poll { wait }) if wait == Duration::ZERO => {
                self.reply(to, CallerReply::Job(self.answer_of(&view, now)));
            }
            (_, Action::Poll { wait }) => self.wait_for_end((customer, request), to, now + wait),
            (_, Action::Cancel) => self.wait_for_end((customer, request), to, now + self.limits.call),
        }
    }

    /// Sends the request to every live peer of the availability zone.
    pub(crate) fn query_peers(&mut self, mut route: RouteOp, now: Moment) {
        let peers: Vec<BoxId> = self.view.live(now).into_iter().filter(|id| *id != self.id.box_id).collect();
        if peers.is_empty() {
            return self.resolve_unknown(route, now);
        }
        route.unanswered = peers.iter().cloned().collect();
        let req = route.request(false);
        // The query as a whole is one operation; the call to each peer is an operation of its own that names it.
        let round = self.new_op(Op::Route(Box::new(route)));
        for peer in peers {
            self.call_peer(Op::PeerQuery(round), &peer, req.clone());
        }
    }

    pub(crate) fn on_route_reply(&mut self, route: RouteOp, reply: Option<PeerReply>, now: Moment) {
        let answer = match reply {
            // The box that was taken for the holder no longer knows the job.
            Some(PeerReply::Job(JobAnswer::NotKnown)) if !route.not_known_is_final => {
                return self.resolve_unknown(route, now);
            }
            Some(PeerReply::Job(answer)) => answer,
            _ => unsettled_answer(),
        };
        self.reply(route.to, CallerReply::Job(answer));
    }

    pub(crate) fn on_peer_query_reply(&mut self, round: OpId, peer: &BoxId, reply: Option<PeerReply>, now: Moment) {
        let Some(Op::Route(route)) = self.ops.get_mut(&round) else { return };
        route.unanswered.remove(peer);
        let done = route.unanswered.is_empty();
        let known = match reply {
            Some(PeerReply::Job(JobAnswer::Orphaned | JobAnswer::NotKnown)) => None,
            Some(PeerReply::Job(answer)) => Some(answer),
            _ => None,
        };
        if known.is_none() && !done {
            return;
        }
        let Some(Op::Route(route)) = self.ops.remove(&round) else { return };
        match known {
            Some(answer) => self.reply(route.to, CallerReply::Job(answer)),
            None => self.resolve_unknown(*route, now),
        }
    }

    /// Handles a request that no box of the availability zone knows: replies with its recorded outcome, admits its
    /// submission as new, or else reads its claim.
    fn resolve_unknown(&mut self, route: RouteOp, now: Moment) {
        if let Some(outcome) = route.ended {
            return self.reply(route.to, CallerReply::Job(JobAnswer::Over { outcome }));
        }
        if let Some(submission) = route.submission {
            return self.submit_new(submission, route.to, now);
        }
        let key = claim_key(&route.name.0, &route.name.1);
        self.call_store(Op::Route(Box::new(route)), StoreRequest::Get { key });
    }

    pub(crate) fn on_route_claim(&mut self, route: RouteOp, reply: Option<StoreReply>, now: Moment) {
        let answer = match reply {
            Some(StoreReply::Found { value: None }) => JobAnswer::NotKnown,
            Some(StoreReply::Found { value: Some(found) }) => match Claim::parse(&found.value) {
                Some(claim) => return self.route_by_claim(route, claim, found.version, now),
                None => JobAnswer::NotKnown,
            },
            _ => JobAnswer::Unsettled {
                why: "the platform's store does not answer".to_owned(),
                retry_after: RETRY_DELAY,
            },
        };
        self.reply(route.to, CallerReply::Job(answer));
    }

    fn route_by_claim(&mut self, route: RouteOp, claim: Claim, version: u64, now: Moment) {
        if claim.availability_zone != self.id.availability_zone {
            let Some(peer) = self.any_box_of(&claim.availability_zone, now) else {
                return self.reply(route.to, CallerReply::Job(unsettled_answer()));
            };
            let req = route.request(true);
            let route = RouteOp { not_known_is_final: true, ..route };
            return self.call_peer(Op::Route(Box::new(route)), &peer, req);
        }
        if let Some(outcome) = claim.ended {
            return self.reply(route.to, CallerReply::Job(JobAnswer::Over { outcome }));
        }
        // No box of the availability zone holds the request. If the box that minted its ticket is live, it has
        // abandoned the ticket.
        if route.action == Action::Cancel && self.view.can_detect_failures(now) {
            return self.cancel_orphan(route.name, route.to, claim, version, now);
        }
        self.reply(route.to, CallerReply::Job(orphan_answer()));
    }

    /// Returns what callers are told about a job of this box. An end is reported only once its outcome is recorded in
    /// the claim.
    pub(crate) fn answer_of(&self, view: &JobView, now: Moment) -> JobAnswer {
        let stage = match &view.stage {
            Stage::Ended(_) if self.unrecorded_outcomes.contains(&view.job) => "recording",
            Stage::Ended(outcome) => return JobAnswer::Ended { job: view.job.clone(), outcome: outcome.clone() },
            Stage::Moved(holder) if self.is_orphaned(&view.job, holder, now) => return JobAnswer::Orphaned,
            Stage::Moved(_) => return unsettled_answer(),
            Stage::Void => return JobAnswer::NotKnown,
            Stage::Waiting => "waiting",
            Stage::Starting => "starting",
            Stage::Running => "running",
            Stage::Stopping => "stopping",
        };
        JobAnswer::Pending { job: Some(view.job.clone()), stage: stage.to_owned() }
    }

    /// Returns whether no box will continue a job that has moved: its holder has terminated, or the move was at least
    /// `fencing_timeout` ago; and its gang can't be adopted, since it is no longer whole.
    pub(crate) fn is_orphaned(&self, job: &JobId, holder: &Holder, now: Moment) -> bool {
        let gone = self.dead_since.contains_key(holder)
            || self.view.peers().get(&holder.box_id).is_some_and(|status| status.incarnation > holder.incarnation);
        let long_ago = self.jobs.moved_at(job).is_some_and(|at| now.since(at) >= self.limits.fencing_timeout);
        (gone || long_ago) && !self.replicas.is_whole(job)
    }

    pub(crate) fn is_live_ticket(&self, ticket: &JobId, now: Moment) -> bool {
        self.view.is_live_incarnation(&ticket.minted_by, ticket.incarnation, self.id.incarnation, now)
    }
}

/// Returns the answer about a job whose holder can't be asked, for example as another box is taking it over.
pub(crate) fn unsettled_answer() -> JobAnswer {
    JobAnswer::Unsettled { why: "another box is taking the job over".to_owned(), retry_after: RETRY_DELAY }
}

pub(crate) fn claiming_answer() -> JobAnswer {
    JobAnswer::Pending { job: None, stage: "claiming".to_owned() }
}

pub(crate) fn orphan_answer() -> JobAnswer {
    let why = "the box that took the request is gone; send the request again to have it settled".to_owned();
    JobAnswer::Unsettled { why, retry_after: RETRY_DELAY }
}
