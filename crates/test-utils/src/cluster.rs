//! A cluster of entry boxes, backend servers and the platform, simulated in one thread and virtual time.
//!
//! Messages have random delays and may be reordered or lost. Boxes may crash or be paused, and backend servers
//! and the store may become unreachable. All randomness comes from one seed, so that a run can be repeated.

use std::collections::{BTreeMap, BTreeSet};

use backend::ServerInfo;
use entry::{CallerRequest, EntryBox, Identity, Input, Limits, OpId, Output, PeerRequest};
use fastrand::Rng;
use model::{AvailabilityZoneId, BackendServerId, BoxId, Duration, Incarnation, Moment, OperatorFile, Revision};
use outside::{ListedBox, StoreRequest};
use policy::Planner;
use spread::{Applied, CONFIG_KEY, Document};
use standins::{Checkpoints, KvTable, LeaseTable, Oracle, Violation};

use crate::{
    events::{BoxIncarnation, Event, PendingReply, Queue, Requester, trace},
    external::{StoreWatch, Watch},
    faults::Faults,
    virtual_caller::VirtualCaller,
};

/// Interval between the ticks of a box.
const TICK: Duration = Duration::from_millis(100);
/// Time allowed beyond the leases for the remaining members of a gang to stop after a member was lost.
const REMAINDER_SLACK: Duration = Duration::from_secs(10);

/// Function that creates the planner of a box in the given availability zone.
pub type MakePlanner = fn(&AvailabilityZoneId) -> Box<dyn Planner>;

/// Size of a cluster.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Number of availability zones.
    pub zones: usize,
    /// Number of boxes in each availability zone.
    pub boxes: usize,
    /// Number of backend servers in each availability zone, all in one rack.
    pub servers: usize,
    /// Number of accelerators of each backend server.
    pub accelerators: u32,
}

pub(crate) struct VirtualBox {
    pub(crate) incarnation: BoxIncarnation,
    pub(crate) zone: AvailabilityZoneId,
    /// State of the box; `None` while the box is not running.
    pub(crate) entry: Option<EntryBox>,
    pub(crate) paused: bool,
    /// Inputs that arrived while the box was paused.
    pub(crate) inputs: Vec<Input>,
}

pub(crate) struct VirtualServer {
    pub(crate) table: LeaseTable,
    pub(crate) incarnation: u64,
    pub(crate) old_runs: Vec<standins::RunRecord>,
    pub(crate) watches: Vec<Watch>,
    /// Start of the draining; `None` unless the server is draining.
    pub(crate) drain_start: Option<Moment>,
}

/// A simulated cluster, with the callers that use it and an oracle that checks it.
pub struct Cluster {
    pub(crate) now: Moment,
    pub(crate) rng: Rng,
    pub(crate) queue: Queue,
    pub(crate) boxes: BTreeMap<BoxId, VirtualBox>,
    pub(crate) servers: BTreeMap<BackendServerId, VirtualServer>,
    pub(crate) store: KvTable,
    pub(crate) faults: Faults,
    pub(crate) callers: Vec<VirtualCaller>,
    pub(crate) limits: Limits,
    pub(crate) planner: MakePlanner,
    pub(crate) store_watches: Vec<StoreWatch>,
    pending_replies: BTreeMap<PendingReply, Requester>,
    answered: BTreeSet<u64>,
    next_call: u64,
    next_reply: u64,
    applied: Vec<Option<Applied>>,
    checkpoints: Checkpoints,
    listed: Vec<ListedBox>,
    pub(crate) oracle: Oracle,
}

impl Cluster {
    /// Creates a cluster whose configuration is in the store. The boxes read it as virtual time advances.
    pub fn new(shape: Shape, file: OperatorFile, limits: Limits, planner: MakePlanner, seed: u64) -> Cluster {
        let mut cluster = Cluster {
            now: Moment::from_millis(1_000_000),
            rng: Rng::with_seed(seed),
            queue: Queue::default(),
            boxes: BTreeMap::new(),
            servers: BTreeMap::new(),
            store: KvTable::default(),
            faults: Faults::default(),
            callers: Vec::new(),
            limits,
            planner,
            store_watches: Vec::new(),
            pending_replies: BTreeMap::new(),
            answered: BTreeSet::new(),
            next_call: 0,
            next_reply: 0,
            applied: Vec::new(),
            checkpoints: Checkpoints::default(),
            listed: Vec::new(),
            oracle: Oracle::default(),
        };
        cluster.make_servers(&file);
        let document = Document::following(None, "first".parse().expect("a valid id"), file).to_text();
        let req = StoreRequest::Create { key: CONFIG_KEY.to_owned(), value: document, ttl: None };
        cluster.store.call(&req, cluster.now);
        cluster.make_boxes(shape);
        cluster
    }

    fn make_servers(&mut self, file: &OperatorFile) {
        for entry in file.backend_servers.values() {
            let info = ServerInfo {
                id: entry.id.clone(),
                availability_zone: entry.availability_zone.clone(),
                resources: entry.resources,
                leaving: false,
                revision: Revision(0),
            };
            let table = LeaseTable::new(info, 1, Checkpoints::clone(&self.checkpoints), Moment::ZERO);
            let server =
                VirtualServer { table, incarnation: 1, old_runs: Vec::new(), watches: Vec::new(), drain_start: None };
            self.servers.insert(entry.id.clone(), server);
        }
    }

    fn make_boxes(&mut self, shape: Shape) {
        for zone in 1..=shape.zones {
            for n in 1..=shape.boxes {
                let zone: AvailabilityZoneId = format!("az-{zone}").parse().expect("a valid id");
                let id: BoxId = format!("{zone}-box-{n}").parse().expect("a valid id");
                let peer_address = "127.0.0.1:1".parse().expect("a valid address");
                self.listed.push(ListedBox { id: id.clone(), availability_zone: zone, peer_address, leaving: false });
            }
        }
        for info in self.listed.clone() {
            let incarnation = BoxIncarnation { id: info.id.clone(), number: Incarnation(0) };
            let it = VirtualBox {
                incarnation,
                zone: info.availability_zone,
                entry: None,
                paused: false,
                inputs: Vec::new(),
            };
            self.boxes.insert(info.id.clone(), it);
            self.start_box(&info.id);
        }
    }

    /// Starts a box under a new incarnation. Does nothing if the box is running.
    pub fn start_box(&mut self, id: &BoxId) {
        let number = Incarnation(self.now.millis());
        let (limits, planner, now, listed) = (self.limits, self.planner, self.now, self.listed.clone());
        let it = self.boxes.get_mut(id).expect("the box exists");
        if it.entry.is_some() {
            return;
        }
        it.incarnation.number = number;
        it.paused = false;
        it.inputs.clear();
        let identity = Identity { box_id: id.clone(), incarnation: number, availability_zone: it.zone.clone() };
        it.entry = Some(EntryBox::new(identity, limits, listed, planner(&it.zone), now));
        let incarnation = it.incarnation.clone();
        self.queue.push(now, Event::Tick(incarnation));
    }

    /// Advances virtual time by `span` and handles all events that are due.
    pub fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some((at, event)) = self.queue.pop(until) {
            self.now = at;
            self.handle_event(event);
        }
        self.now = until;
    }

    /// Applies an operator's file, edited from revision `base`. Returns the number for [`Cluster::applied`].
    pub fn apply(&mut self, id: &BoxId, apply: &str, base: Revision, file: OperatorFile) -> usize {
        let n = self.applied.len();
        self.applied.push(None);
        if let Some(incarnation) = self.running_incarnation(id) {
            let to = self.expect_reply(&incarnation, Requester::Operator(n));
            let apply = apply.parse().expect("a valid id");
            let req = CallerRequest::Apply { id: apply, base, file };
            self.deliver(&incarnation, Input::Caller { to, req });
        }
        n
    }

    /// Returns the reply to an operator's request; `None` until it arrives.
    pub fn applied(&self, n: usize) -> Option<&Applied> {
        self.applied[n].as_ref()
    }

    /// Returns the lowest revision in force on any running box or backend server.
    pub fn lowest_revision(&self) -> Revision {
        let boxes = self.boxes.values().filter_map(|it| it.entry.as_ref()).map(|it| it.status(self.now).revision);
        let servers = self.servers.values().map(|it| it.table.info().revision);
        boxes.chain(servers).min().unwrap_or_default()
    }

    /// Returns the start times of the tasks of a backend server since its last restart.
    pub fn starts_on(&self, id: &BackendServerId) -> Vec<Moment> {
        self.servers[id].table.runs.iter().map(|run| run.began).collect()
    }

    /// Returns the current virtual time.
    pub fn now(&self) -> Moment {
        self.now
    }

    /// Returns the ids of all boxes, running or not.
    pub fn box_ids(&self) -> Vec<BoxId> {
        self.boxes.keys().cloned().collect()
    }

    /// Returns the ids of all backend servers.
    pub fn server_ids(&self) -> Vec<BackendServerId> {
        self.servers.keys().cloned().collect()
    }

    /// Returns every violation of a guarantee so far.
    pub fn violations(&mut self) -> Vec<Violation> {
        let mut oracle = Oracle::default();
        for (id, server) in &mut self.servers {
            server.table.advance(self.now);
            oracle.record_runs(id, &server.old_runs);
            oracle.record_runs(id, &server.table.runs);
        }
        for caller in &self.callers {
            for job in &caller.not_run {
                oracle.record_not_run(job.clone());
            }
            if let Some(it) = caller.as_final() {
                oracle.record_final(it);
            }
        }
        self.record_revisions();
        let ttl = self.limits.lifecycle.lease_ttl;
        let remainder = ttl + ttl + REMAINDER_SLACK;
        let mut found = oracle.check(remainder, self.now);
        found.extend(self.oracle.check(remainder, self.now));
        found
    }

    fn record_revisions(&mut self) {
        for (id, it) in &self.boxes {
            if let Some(entry) = &it.entry {
                let revision = entry.status(self.now).revision;
                // A new incarnation starts without a revision, so revisions are compared within one incarnation.
                self.oracle.record_revision(&format!("{id}@{}", it.incarnation.number), revision);
            }
        }
        for (id, server) in &self.servers {
            let revision = server.table.document().map_or(Revision(0), |(revision, _)| revision);
            self.oracle.record_revision(&format!("{id}@{}", server.incarnation), revision);
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick(incarnation) => {
                if self.is_running(&incarnation) {
                    self.queue.push(self.now + TICK, Event::Tick(incarnation.clone()));
                    self.deliver(&incarnation, Input::Tick);
                }
            }
            Event::AtServer { from, op, server, req, call } => self.handle_server_request(from, op, server, req, call),
            Event::FromServer { to, op, server, req, reply, call } => {
                if self.answered.insert(call) {
                    self.deliver(&to, Input::BackendReply { op, server, req, reply });
                }
            }
            Event::AtStore { from, op, req, call } => self.handle_store_request(from, op, req, call),
            Event::FromStore { to, op, reply, call } => {
                if self.answered.insert(call) {
                    self.deliver(&to, Input::StoreReply { op, reply });
                }
            }
            Event::AtPeer { from, op, peer, req, call } => self.handle_peer_request(from, op, peer, req, call),
            Event::FromPeer { to, op, peer, reply, call } => {
                if self.answered.insert(call) {
                    self.deliver(&to, Input::PeerReply { op, peer, reply });
                }
            }
            Event::AtBox { caller, id, req, call } => self.handle_caller_request(caller, id, req, call),
            Event::AtCaller { caller, reply, call } => {
                if self.answered.insert(call) {
                    self.handle_caller_reply(caller, reply);
                }
            }
            Event::ServerWake(id) => {
                let now = self.now;
                if let Some(server) = self.servers.get_mut(&id) {
                    server.table.advance(now);
                }
                self.answer_server_watches(&id);
            }
            Event::StoreWake => self.answer_store_watches(),
        }
    }

    fn is_running(&self, incarnation: &BoxIncarnation) -> bool {
        self.boxes.get(&incarnation.id).is_some_and(|it| it.entry.is_some() && it.incarnation == *incarnation)
    }

    /// Delivers an input to a box, or queues it while the box is paused. Discards it if the incarnation has ended.
    pub(crate) fn deliver(&mut self, incarnation: &BoxIncarnation, input: Input) {
        if !self.is_running(incarnation) {
            return;
        }
        let now = self.now;
        let it = self.boxes.get_mut(&incarnation.id).expect("a running box exists");
        if it.paused {
            // Several queued ticks have the effect of one.
            if input != Input::Tick || !it.inputs.contains(&Input::Tick) {
                it.inputs.push(input);
            }
            return;
        }
        let entry = it.entry.as_mut().expect("a running box has its state");
        let outputs = entry.handle(input, now);
        let drained = entry.is_drained();
        for output in outputs {
            trace(now, incarnation, &output);
            self.carry_out(incarnation, output);
        }
        if drained {
            self.end_if_idle(incarnation);
        }
    }

    fn carry_out(&mut self, from: &BoxIncarnation, output: Output) {
        let from = from.clone();
        match output {
            Output::ToCaller { to, reply } => match (self.pending_replies.remove(&(from, to)), reply) {
                (Some(Requester::Caller { caller, call }), reply) => {
                    self.send(Event::AtCaller { caller, reply: Some(reply), call });
                }
                (Some(Requester::Operator(n)), entry::CallerReply::Applied(applied)) => {
                    self.applied[n] = Some(applied);
                }
                _ => {}
            },
            Output::ToPeer { to, reply } => {
                let id = from.id.clone();
                if let Some(Requester::Peer { incarnation, op, call }) = self.pending_replies.remove(&(from, to))
                    && !self.faults.is_cut(&id, &incarnation.id)
                {
                    self.send(Event::FromPeer { to: incarnation, op, peer: id, reply: Some(reply), call });
                }
            }
            Output::CallPeer { op, peer, req, limit } => {
                let call = self.new_call();
                let timeout = Event::FromPeer { to: from.clone(), op, peer: peer.clone(), reply: None, call };
                self.queue.push(self.now + limit, timeout);
                if !self.faults.is_cut(&from.id, &peer) {
                    self.send(Event::AtPeer { from, op, peer, req, call });
                }
            }
            Output::CallBackend { op, server, req, limit } => {
                let call = self.new_call();
                let timeout = Event::FromServer {
                    to: from.clone(),
                    op,
                    server: server.clone(),
                    req: req.clone(),
                    reply: None,
                    call,
                };
                self.queue.push(self.now + limit, timeout);
                if !self.faults.is_server_cut(&from.id, &server) {
                    self.send(Event::AtServer { from, op, server, req, call });
                }
            }
            Output::CallStore { op, req } => {
                let call = self.new_call();
                let wait = match &req {
                    StoreRequest::Watch { wait, .. } => *wait,
                    _ => Duration::ZERO,
                };
                let timeout = Event::FromStore { to: from.clone(), op, reply: None, call };
                self.queue.push(self.now + wait + self.limits.call, timeout);
                if !self.faults.store_down && !self.faults.is_cut_from_platform(&from.id) {
                    self.send(Event::AtStore { from, op, req, call });
                }
            }
            Output::Configured(_) | Output::Observe(_) => {}
        }
    }

    pub(crate) fn new_call(&mut self) -> u64 {
        self.next_call += 1;
        self.next_call
    }

    /// Sends a message with a random delay, or drops it by the configured loss rate.
    pub(crate) fn send(&mut self, event: Event) {
        if self.rng.u32(0..1000) < self.faults.loss_permille {
            return;
        }
        let delay = Duration::from_millis(1 + self.rng.u64(0..=self.faults.max_delay_ms));
        self.queue.push(self.now + delay, event);
    }

    fn handle_peer_request(&mut self, from: BoxIncarnation, op: OpId, peer: BoxId, req: PeerRequest, call: u64) {
        if self.faults.is_cut(&from.id, &peer) {
            return;
        }
        let Some(incarnation) = self.running_incarnation(&peer) else {
            // The box is not running, so the connection is refused.
            return self.send(Event::FromPeer { to: from, op, peer, reply: None, call });
        };
        let to = self.expect_reply(&incarnation, Requester::Peer { incarnation: from, op, call });
        self.deliver(&incarnation, Input::Peer { to, req });
    }

    fn handle_caller_request(&mut self, caller: crate::CallerId, id: BoxId, req: CallerRequest, call: u64) {
        let Some(incarnation) = self.running_incarnation(&id) else {
            return self.send(Event::AtCaller { caller, reply: None, call });
        };
        let to = self.expect_reply(&incarnation, Requester::Caller { caller, call });
        self.deliver(&incarnation, Input::Caller { to, req });
    }

    fn expect_reply(&mut self, incarnation: &BoxIncarnation, requester: Requester) -> entry::ReplyTo {
        self.next_reply += 1;
        let to = entry::ReplyTo(self.next_reply);
        self.pending_replies.insert((incarnation.clone(), to), requester);
        to
    }

    pub(crate) fn running_incarnation(&self, id: &BoxId) -> Option<BoxIncarnation> {
        let it = self.boxes.get(id)?;
        it.entry.as_ref().map(|_| it.incarnation.clone())
    }

    /// Ends the running incarnation of a box. Callers that wait for a reply see their connections break.
    pub(crate) fn end_incarnation(&mut self, id: &BoxId) {
        let Some(it) = self.boxes.get_mut(id) else { return };
        it.entry = None;
        it.paused = false;
        it.inputs.clear();
        let incarnation = it.incarnation.clone();
        let broken: Vec<PendingReply> =
            self.pending_replies.keys().filter(|(it, _)| *it == incarnation).cloned().collect();
        for pending in broken {
            if let Some(Requester::Caller { caller, call }) = self.pending_replies.remove(&pending) {
                let delay = Duration::from_millis(5);
                self.queue.push(self.now + delay, Event::AtCaller { caller, reply: None, call });
            }
        }
    }

    /// Ends a drained box if no caller waits for its reply and no input is queued.
    fn end_if_idle(&mut self, incarnation: &BoxIncarnation) {
        let awaits_reply = self
            .pending_replies
            .iter()
            .any(|((it, _), requester)| it == incarnation && matches!(requester, Requester::Caller { .. }));
        let busy = self.boxes.get(&incarnation.id).is_some_and(|it| !it.inputs.is_empty());
        if !awaits_reply && !busy {
            self.end_incarnation(&incarnation.id);
        }
    }

    /// Starts an empty lease table of a new incarnation, and keeps the earlier runs for the oracle.
    pub(crate) fn replace_table(&mut self, id: &BackendServerId) {
        let checkpoints = Checkpoints::clone(&self.checkpoints);
        let now = self.now;
        let Some(server) = self.servers.get_mut(id) else { return };
        server.table.advance(now);
        server.incarnation += 1;
        let mut runs = std::mem::take(&mut server.table.runs);
        for run in &mut runs {
            run.ended.get_or_insert((now, backend::TaskState::Lapsed { ran: true }));
        }
        server.old_runs.extend(runs);
        let mut info = server.table.info().clone();
        info.revision = Revision(0);
        server.table = LeaseTable::new(info, server.incarnation, checkpoints, now);
    }
}

impl Cluster {
    /// Returns the status of every running box as text, for the message of a failed test.
    pub fn statuses(&self) -> String {
        let live = self.boxes.values().filter_map(|it| it.entry.as_ref());
        let lines: Vec<String> = live.map(|entry| format!("{:?}", entry.status(self.now))).collect();
        lines.join("\n")
    }
}
