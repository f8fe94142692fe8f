//! The entry box: its state, and the dispatch of each input to the part that handles it.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    sync::Arc,
};

use backend::Holder;
use lifecycle::{Coordinator, Effect};
use membership::View;
use model::{AvailabilityZoneId, BoxId, Duration, Incarnation, Moment, OperatorFile};
use outside::ListedBox;
use policy::Planner;
use spread::{Apply, Current};

use crate::{
    BackendOp, CallerReply, CallerRequest, Input, JobAnswer, Observation, OpId, Output, PeerReply, PeerRequest,
    ReplyTo, Submission,
    claims::ClaimOp,
    offers::{OwnOffers, ReceivedOffers},
    planning::Planning,
    quarantine::Quarantine,
    replicas::Replicas,
    route::{Action, RouteOp},
    ticket_fencing::FencingOp,
    waiters::{Respondent, Waiters},
};

/// Identity of an entry box.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Name of the box.
    pub box_id: BoxId,
    /// Incarnation of this process: its start in Unix milliseconds by the wall clock.
    pub incarnation: Incarnation,
    /// Availability zone that the box serves.
    pub availability_zone: AvailabilityZoneId,
}

/// Time limits of an entry box and of the crates that it combines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Limits of the job lifecycle.
    pub lifecycle: lifecycle::Limits,
    /// Limits of the peer membership.
    pub membership: membership::Limits,
    /// Timeout of a call to a backend server or peer, in addition to the time that the call asks to wait.
    pub call: Duration,
    /// How long a watch on a lease table or on the store waits for a change.
    pub watch: Duration,
    /// Shortest time between two planning rounds.
    pub plan_gap: Duration,
    /// How long a grant counts as running before its reservations appear in the lease tables.
    pub grant_ttl: Duration,
    /// Longest time between two offers of a queue that is not empty.
    pub offer_every: Duration,
    /// How long a preempted gang may take for its checkpoint before it is stopped regardless.
    pub checkpoint: Duration,
    /// How long after a watch was due a backend server may stay unresponsive before it gets no new work.
    pub unresponsive_after: Duration,
    /// Timeout of fencing the ticket of a box that has terminated.
    pub fencing_timeout: Duration,
    /// How long a holder must be dead, beyond the membership limit, before its gangs are adopted.
    pub adopt_after: Duration,
    /// Longest time that the reply to a waiting caller is delayed.
    pub max_wait: Duration,
    /// First duration of a quarantine; doubles each time.
    pub probe_after: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            lifecycle: lifecycle::Limits::default(),
            membership: membership::Limits::default(),
            call: Duration::from_secs(2),
            watch: Duration::from_secs(20),
            plan_gap: Duration::from_millis(10),
            grant_ttl: Duration::from_secs(3),
            offer_every: Duration::from_secs(1),
            checkpoint: Duration::from_secs(20),
            unresponsive_after: Duration::from_secs(5),
            fencing_timeout: Duration::from_secs(10),
            adopt_after: Duration::from_secs(3),
            max_wait: Duration::from_secs(60),
            probe_after: Duration::from_secs(30),
        }
    }
}

/// An operation in flight, with the state needed to continue it when the reply arrives.
pub(crate) enum Op {
    /// Makes a claim.
    Claim(Box<ClaimOp>),
    /// Fences a ticket.
    FenceTicket(Box<FencingOp>),
    /// Routes a request: a call to its holder, a round of calls to all peers, or a read of its claim.
    Route(Box<RouteOp>),
    /// Queries one peer as part of the given `Route` operation.
    PeerQuery(OpId),
    /// Hands a waiting job to another box.
    HandOver(Box<crate::handover::HandOver>),
    /// Puts an operators' file into force.
    Apply(Apply, Respondent),
    /// Records the end of a job in its claim.
    EndClaim(crate::claims::EndClaim),
    /// Records in a claim that its request was cancelled.
    CancelClaim {
        to: Respondent,
        outcome: String,
    },
    /// Records in a claim that its job has run and resumes from a checkpoint.
    MarkClaim(model::JobId),
    /// Lists the claims to recover durable jobs of terminated boxes.
    Recover,
    WatchConfiguration,
    FetchConfiguration,
    Heartbeat,
    Offer,
    Grant,
}

/// State machine of one entry box.
pub struct EntryBox {
    pub(crate) id: Identity,
    /// When this process started, by the monotonic clock.
    pub(crate) started_at: Moment,
    pub(crate) limits: Limits,
    pub(crate) jobs: Coordinator,
    /// Liveness of the peers in the availability zone.
    pub(crate) view: View,
    /// The configuration in force.
    pub(crate) current: Current,
    pub(crate) replicas: Replicas,
    pub(crate) planning: Planning,
    pub(crate) received_offers: BTreeMap<BoxId, ReceivedOffers>,
    pub(crate) own_offers: OwnOffers,
    pub(crate) quarantine: Quarantine,
    pub(crate) waiters: Waiters,
    /// Peers of all availability zones, as listed by the platform.
    pub(crate) directory: BTreeMap<BoxId, ListedBox>,
    /// Operations in flight.
    pub(crate) ops: BTreeMap<OpId, Op>,
    /// Claims of this box's own jobs.
    pub(crate) claimed: BTreeMap<model::JobId, crate::Claim>,
    /// Ended jobs whose claims do not record the end yet, and for which no write is in flight.
    pub(crate) ends_to_write: BTreeSet<model::JobId>,
    /// Claimed jobs that were not run or were cancelled; their callers get the outcome once it is stored.
    pub(crate) unrecorded_outcomes: BTreeSet<model::JobId>,
    pub(crate) config: crate::config::ConfigState,
    /// Incarnations of peers that stopped sending heartbeats, and when that was detected.
    pub(crate) dead_since: BTreeMap<Holder, Moment>,
    /// When durable jobs of terminated boxes are recovered; `None` if no recovery is due.
    pub(crate) recover_at: Option<Moment>,
    /// When gangs to adopt were last searched.
    pub(crate) orphans_checked_at: Option<Moment>,
    pub(crate) draining: bool,
    /// Boxes that did not respond to the last call, and when that call failed.
    pub(crate) unresponsive_peers: BTreeMap<BoxId, Moment>,
    /// Jobs without a caller whose claim could not be made, and when the claim is retried.
    pub(crate) claims_to_retry: Vec<(Moment, Submission)>,
    /// Earliest time of the next handover while draining.
    pub(crate) hand_over_at: Moment,
    pub(crate) last_heartbeat: Option<Moment>,
    /// Outputs of the input being handled.
    pub(crate) out: Vec<Output>,
    next_op: u64,
}

impl EntryBox {
    /// Creates a box that knows its peers from a list and has no configuration yet.
    pub fn new(
        id: Identity,
        limits: Limits,
        peers: Vec<ListedBox>,
        planner: Box<dyn Planner>,
        now: Moment,
    ) -> EntryBox {
        let holder = Holder { box_id: id.box_id.clone(), incarnation: id.incarnation };
        let mut it = EntryBox {
            jobs: Coordinator::new(holder, limits.lifecycle, now),
            view: View::new(id.box_id.clone(), limits.membership, now),
            current: Current::default(),
            replicas: Replicas::default(),
            planning: Planning::new(planner),
            received_offers: BTreeMap::new(),
            own_offers: OwnOffers::default(),
            quarantine: Quarantine::default(),
            waiters: Waiters::default(),
            directory: BTreeMap::new(),
            ops: BTreeMap::new(),
            claimed: BTreeMap::new(),
            ends_to_write: BTreeSet::new(),
            unrecorded_outcomes: BTreeSet::new(),
            config: Default::default(),
            dead_since: BTreeMap::new(),
            recover_at: Some(now + limits.fencing_timeout),
            draining: false,
            unresponsive_peers: BTreeMap::new(),
            orphans_checked_at: None,
            claims_to_retry: Vec::new(),
            hand_over_at: now,
            started_at: now,
            last_heartbeat: None,
            out: Vec::new(),
            next_op: 0,
            id,
            limits,
        };
        it.on_listed(peers);
        it
    }

    /// Handles one input and returns the actions for the host to carry out.
    pub fn handle(&mut self, input: Input, now: Moment) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::Caller { to, req } => self.on_caller(to, req, now),
            Input::Peer { to, req } => self.on_peer(to, req, now),
            Input::PeerReply { op, peer, reply } => self.on_peer_reply(op, peer, reply, now),
            Input::BackendReply { op, server, req, reply } => match op {
                BackendOp::Job => self.jobs.on_reply(&server, &req, reply, now),
                BackendOp::Watch => self.on_watch_reply(&server, reply, now),
                BackendOp::Configure => self.on_configure_reply(&server, reply, now),
                BackendOp::Preempt => self.planning.mark_changed(),
                BackendOp::Fence(op) => self.on_fenced(op, &server, reply, now),
            },
            Input::StoreReply { op, reply } => self.on_store_reply(op, reply, now),
            Input::Listed(boxes) => self.on_listed(boxes),
            Input::Drain => self.drain(),
        }
        self.apply_effects(now);
        self.offer_queue(now);
        self.plan_if_due(now);
        self.apply_effects(now);
        mem::take(&mut self.out)
    }

    /// Returns whether the box can serve: it has a configuration and is not draining.
    pub fn is_ready(&self) -> bool {
        !self.draining && self.current.file().is_some()
    }

    /// Returns the number of its jobs that have neither ended nor moved to another box.
    pub fn open_jobs(&self) -> usize {
        self.jobs.open_jobs()
    }

    fn tick(&mut self, now: Moment) {
        self.view.tick(now);
        self.jobs.tick(now);
        self.send_heartbeats(now);
        self.detect_dead_peers(now);
        self.tick_config(now);
        self.send_watches(now);
        self.adopt_orphans(now);
        self.tick_ops(now);
        self.tick_claims(now);
        self.expire_waiters(now);
        self.tick_quarantine(now);
        self.hand_over_queue(now);
    }

    fn on_caller(&mut self, to: ReplyTo, req: CallerRequest, now: Moment) {
        let to = Respondent::Caller(to);
        match req {
            CallerRequest::Submit(submission) => self.submit(submission, to, now),
            CallerRequest::Poll { customer, request, wait } => {
                self.route(Action::Poll { wait: self.bounded(wait) }, customer, request, to, now);
            }
            CallerRequest::Cancel { customer, request } => {
                self.route(Action::Cancel, customer, request, to, now);
            }
            CallerRequest::Acknowledge { customer, request } => {
                self.route(Action::Acknowledge, customer, request, to, now);
            }
            CallerRequest::Mint => {
                let ticket = self.jobs.mint(now);
                self.reply(to, CallerReply::Ticket(ticket));
            }
            CallerRequest::Apply { id, base, file } => self.apply(id, base, file, to),
            CallerRequest::Configuration => {
                let document = self.current.document().cloned();
                self.reply(to, CallerReply::Configuration(document));
            }
            CallerRequest::Status => {
                let report = self.status(now);
                self.reply(to, CallerReply::Status(Box::new(report)));
            }
        }
    }

    fn on_peer(&mut self, to: ReplyTo, req: PeerRequest, now: Moment) {
        let respondent = Respondent::Peer(to);
        match req {
            PeerRequest::Heartbeat { from, incarnation, revision, leaving } => {
                self.on_heartbeat(&from, incarnation, revision, leaving, now);
                let reply = self.own_heartbeat();
                self.out.push(Output::ToPeer { to, reply });
            }
            PeerRequest::Offer { from, incarnation, seq, full, added, removed } => {
                let need_full = self.on_offer(from, incarnation, seq, full, added, removed, now);
                self.out.push(Output::ToPeer { to, reply: PeerReply::Offered { need_full } });
            }
            PeerRequest::Grant { starts, refusals } => {
                self.on_grant(starts, refusals, now);
                self.out.push(Output::ToPeer { to, reply: PeerReply::Granted });
            }
            PeerRequest::Lookup { ticket: Some(ticket), .. } if !self.jobs.minted(&ticket) => {
                // The lookup is meant for an earlier incarnation of this box.
                let answer = crate::route::unsettled_answer();
                self.out.push(Output::ToPeer { to, reply: PeerReply::Job(answer) });
            }
            PeerRequest::Lookup { customer, request, wait, ticket: _, pass_on } => {
                let action = Action::Poll { wait: self.bounded(wait) };
                self.answer_peer(action, customer, request, pass_on, respondent, now);
            }
            PeerRequest::Cancel { customer, request, pass_on } => {
                self.answer_peer(Action::Cancel, customer, request, pass_on, respondent, now);
            }
            PeerRequest::Acknowledge { customer, request, pass_on } => {
                self.answer_peer(Action::Acknowledge, customer, request, pass_on, respondent, now);
            }
            PeerRequest::Submit(submission) => self.submit(submission, respondent, now),
            PeerRequest::FetchConfiguration => {
                let document = self.current.document().cloned();
                self.out.push(Output::ToPeer { to, reply: PeerReply::Configuration(document) });
            }
        }
    }

    fn on_peer_reply(&mut self, op: OpId, peer: BoxId, reply: Option<PeerReply>, now: Moment) {
        self.record_peer_response(&peer, reply.is_some(), now);
        match (self.ops.remove(&op), reply) {
            (Some(Op::Heartbeat), Some(PeerReply::Heartbeat { incarnation, revision, leaving })) => {
                self.on_heartbeat(&peer, incarnation, revision, leaving, now);
            }
            (Some(Op::Offer), reply) => self.on_offer_reply(&peer, reply, now),
            (Some(Op::FetchConfiguration), reply) => self.on_peer_configuration(reply, now),
            (Some(Op::Route(route)), reply) => self.on_route_reply(*route, reply, now),
            (Some(Op::HandOver(it)), reply) => self.on_handed_over(*it, peer, reply, now),
            (Some(Op::PeerQuery(round)), reply) => self.on_peer_query_reply(round, &peer, reply, now),
            (Some(Op::Claim(claim)), reply) => self.on_owner_reply(*claim, reply, now),
            _ => {}
        }
    }

    fn on_store_reply(&mut self, op: OpId, reply: Option<outside::StoreReply>, now: Moment) {
        match self.ops.remove(&op) {
            Some(Op::Claim(claim)) => self.on_claim_reply(*claim, reply, now),
            Some(Op::Route(route)) => self.on_route_claim(*route, reply, now),
            Some(Op::Apply(apply, to)) => self.on_apply_reply(apply, to, reply, now),
            Some(Op::MarkClaim(job)) => self.on_mark_claim_reply(job, reply),
            Some(Op::CancelClaim { to, outcome }) => self.on_cancel_recorded(to, outcome, reply),
            Some(Op::EndClaim(end)) => self.on_end_claim_reply(end, reply, now),
            Some(Op::Recover) => self.on_recover_reply(reply, now),
            Some(Op::WatchConfiguration) => self.on_store_watch_reply(reply, now),
            _ => {}
        }
    }

    /// Carries out the effects that the job coordinator has queued.
    pub(crate) fn apply_effects(&mut self, now: Moment) {
        for effect in self.jobs.take_effects() {
            match effect {
                Effect::Call { server, req } => self.call_backend(BackendOp::Job, server, req),
                Effect::QueueChanged => self.queue_changed(),
                Effect::Started { job, delay } => self.on_started(&job, delay),
                Effect::Ended { job, after } => self.on_ended(&job, after, now),
                Effect::Moved { job } => self.on_moved(&job, now),
                Effect::TicketTooOld { job } => self.renew_ticket(&job, now),
                Effect::RunFailed { server, job } => self.on_run_failed(&server, &job, now),
                Effect::Count(anomaly) => {
                    if anomaly == lifecycle::Anomaly::LateGrant {
                        self.request_full_offer();
                    }
                    self.observe(Observation::Count { name: crate::status::anomaly_name(anomaly) });
                }
            }
        }
    }

    fn on_started(&mut self, job: &model::JobId, delay: Duration) {
        let Some(view) = self.jobs.view(job) else { return };
        let spec = &view.spec;
        self.observe(Observation::Started { customer: spec.customer.clone(), class: spec.class.clone(), delay });
    }

    fn on_ended(&mut self, job: &model::JobId, after: Duration, now: Moment) {
        let Some(view) = self.jobs.view(job) else { return };
        let lifecycle::Stage::Ended(outcome) = view.stage else { return };
        let (customer, class) = (view.spec.customer.clone(), view.spec.class.clone());
        self.observe(Observation::Ended { customer, class, outcome: outcome.name(), after });
        if matches!(outcome, model::Outcome::Done { .. }) {
            self.quarantine.record_success(&view.servers);
        }
        let must_record = matches!(outcome, model::Outcome::NotRun { .. } | model::Outcome::Cancelled { .. });
        if must_record && self.claimed.contains_key(job) {
            // Another box may have declared this one dead and run the request, or may do so later: the
            // stored claim decides which outcome callers get.
            self.unrecorded_outcomes.insert(job.clone());
        } else {
            let answer = JobAnswer::Ended { job: view.job.clone(), outcome };
            self.answer_waiters(&view.spec.customer, &view.spec.request, &answer);
        }
        self.end_claim(&view.job, now);
    }

    fn on_moved(&mut self, job: &model::JobId, now: Moment) {
        let Some(view) = self.jobs.view(job) else { return };
        self.follow_moved(&view, now);
        self.claimed.remove(job);
    }

    /// Returns the wall-clock time in Unix milliseconds: the process start, advanced by the monotonic clock.
    pub(crate) fn wall_ms(&self, now: Moment) -> u64 {
        self.id.incarnation.0 + now.since(self.started_at).millis()
    }

    pub(crate) fn file(&self) -> Option<Arc<OperatorFile>> {
        self.current.file().cloned()
    }

    /// Returns the number of operations started so far; rises with every tracked call.
    pub(crate) fn op_count(&self) -> u64 {
        self.next_op
    }

    pub(crate) fn new_op(&mut self, op: Op) -> OpId {
        self.next_op += 1;
        let id = OpId(self.next_op);
        self.ops.insert(id, op);
        id
    }

    pub(crate) fn call_backend(&mut self, op: BackendOp, server: model::BackendServerId, req: backend::BackendRequest) {
        let limit = match &req {
            backend::BackendRequest::Watch { wait, .. } => self.limits.call + *wait,
            _ => self.limits.call,
        };
        self.out.push(Output::CallBackend { op, server, req, limit });
    }

    pub(crate) fn call_store(&mut self, op: Op, req: outside::StoreRequest) {
        let op = self.new_op(op);
        self.out.push(Output::CallStore { op, req });
    }

    pub(crate) fn call_peer(&mut self, op: Op, peer: &BoxId, req: PeerRequest) {
        let wait = match &req {
            PeerRequest::Lookup { wait, .. } => *wait,
            PeerRequest::Submit(submission) => submission.wait,
            _ => Duration::ZERO,
        };
        let op = self.new_op(op);
        self.out.push(Output::CallPeer { op, peer: peer.clone(), req, limit: self.limits.call + wait });
    }

    pub(crate) fn observe(&mut self, observation: Observation) {
        self.out.push(Output::Observe(observation));
    }

    pub(crate) fn reply(&mut self, to: Respondent, reply: CallerReply) {
        match (to, reply) {
            (Respondent::Caller(to), CallerReply::Job(JobAnswer::Orphaned)) => {
                let reply = CallerReply::Job(crate::route::orphan_answer());
                self.out.push(Output::ToCaller { to, reply });
            }
            (Respondent::Caller(to), reply) => self.out.push(Output::ToCaller { to, reply }),
            (Respondent::Peer(to), CallerReply::Job(answer)) => {
                self.out.push(Output::ToPeer { to, reply: PeerReply::Job(answer) });
            }
            (Respondent::Peer(_) | Respondent::Nobody, _) => {}
        }
    }

    pub(crate) fn bounded(&self, wait: Duration) -> Duration {
        wait.min(self.limits.max_wait)
    }
}
