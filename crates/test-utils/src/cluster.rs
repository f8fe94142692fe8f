//! Several entry boxes, backend servers and the platform, in one thread and virtual time.
//!
//! Messages take a random time, so that they pass one another; they may be lost, boxes may die or
//! be paused, and backend servers and the store may be cut off. All randomness comes from one seed.

use std::collections::{BTreeMap, BTreeSet};

use backend::ServerInfo;
use entry::{EntryBox, Identity, Input, Limits, Output};
use fastrand::Rng;
use model::{AvailabilityZoneId, BackendServerId, BoxId, Duration, Incarnation, Moment, OperatorFile, Revision};
use outside::{ListedBox, StoreRequest};
use policy::Planner;
use spread::{Applied, CONFIG_KEY, Document};
use standins::{Checkpoints, KvTable, LeaseTable, Oracle, Violation};

use crate::{
    events::{Asker, Event, Life, Owed, Queue, trace},
    faults::Faults,
    outside::{StoreWatcher, Watcher},
    virtual_caller::VirtualCaller,
};

/// A box is told the time this often.
const TICK: Duration = Duration::from_millis(100);
/// Allowed on top of leases for the rest of a gang whose member was lost.
const REMAINDER_SLACK: Duration = Duration::from_secs(10);

/// Makes the planner of a box in an availability zone.
pub type MakePlanner = fn(&AvailabilityZoneId) -> Box<dyn Planner>;

/// How large a cluster is.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Availability zones.
    pub zones: usize,
    /// Boxes in each.
    pub boxes: usize,
    /// Backend servers in each, all in one rack.
    pub servers: usize,
    /// Accelerators of each backend server.
    pub accelerators: u32,
}

pub(crate) struct VirtualBox {
    pub(crate) life: Life,
    pub(crate) zone: AvailabilityZoneId,
    /// `None` while it is dead.
    pub(crate) entry: Option<EntryBox>,
    pub(crate) paused: bool,
    /// Inputs that wait for a paused box.
    pub(crate) backlog: Vec<Input>,
}

pub(crate) struct VirtualServer {
    pub(crate) table: LeaseTable,
    pub(crate) lives: u64,
    pub(crate) old_runs: Vec<standins::RunRecord>,
    pub(crate) watchers: Vec<Watcher>,
    pub(crate) leaving_since: Option<Moment>,
}

/// A cluster.
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
    pub(crate) store_watchers: Vec<StoreWatcher>,
    owed: BTreeMap<Owed, Asker>,
    answered: BTreeSet<u64>,
    next_call: u64,
    next_reply: u64,
    applied: Vec<Option<Applied>>,
    checkpoints: Checkpoints,
    listed: Vec<ListedBox>,
    pub(crate) oracle: Oracle,
}

impl Cluster {
    /// A cluster whose configuration is in the store; it is in force after a few moments.
    pub fn new(shape: Shape, file: OperatorFile, limits: Limits, planner: MakePlanner, seed: u64) -> Cluster {
        let mut it = Cluster {
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
            store_watchers: Vec::new(),
            owed: BTreeMap::new(),
            answered: BTreeSet::new(),
            next_call: 0,
            next_reply: 0,
            applied: Vec::new(),
            checkpoints: Checkpoints::default(),
            listed: Vec::new(),
            oracle: Oracle::default(),
        };
        it.make_servers(&file);
        let document = Document::following(None, "first".parse().expect("a valid id"), file).to_text();
        let req = StoreRequest::Create { key: CONFIG_KEY.to_owned(), value: document, ttl: None };
        it.store.call(&req, it.now);
        it.make_boxes(shape);
        it
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
                VirtualServer { table, lives: 1, old_runs: Vec::new(), watchers: Vec::new(), leaving_since: None };
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
        for listed in self.listed.clone() {
            let life = Life { id: listed.id.clone(), incarnation: Incarnation(0) };
            let it =
                VirtualBox { life, zone: listed.availability_zone, entry: None, paused: false, backlog: Vec::new() };
            self.boxes.insert(listed.id.clone(), it);
            self.start_box(&listed.id);
        }
    }

    /// Starts a dead box with a new life.
    pub fn start_box(&mut self, id: &BoxId) {
        let incarnation = Incarnation(self.now.millis());
        let (limits, planner, now, listed) = (self.limits, self.planner, self.now, self.listed.clone());
        let it = self.boxes.get_mut(id).expect("the box exists");
        if it.entry.is_some() {
            return;
        }
        it.life.incarnation = incarnation;
        it.paused = false;
        it.backlog.clear();
        let identity = Identity { box_id: id.clone(), incarnation, availability_zone: it.zone.clone() };
        it.entry = Some(EntryBox::new(identity, limits, listed, planner(&it.zone), now));
        let life = it.life.clone();
        self.queue.push(now, Event::Tick(life));
    }

    /// Lets time pass.
    pub fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some((at, event)) = self.queue.pop(until) {
            self.now = at;
            self.happen(event);
        }
        self.now = until;
    }

    /// An operator applies a file, edited from a revision, through a box; gives the operator's number.
    pub fn apply(&mut self, id: &BoxId, apply: &str, base: Revision, file: OperatorFile) -> usize {
        let n = self.applied.len();
        self.applied.push(None);
        if let Some(life) = self.live_life(id) {
            let to = self.owe(&life, Asker::Operator(n));
            let apply = apply.parse().expect("a valid id");
            let req = entry::CallerRequest::Apply { id: apply, base, file };
            self.give(&life, Input::Caller { to, req });
        }
        n
    }

    /// What an operator was told.
    pub fn applied(&self, n: usize) -> Option<&Applied> {
        self.applied[n].as_ref()
    }

    /// The lowest revision in force on any live box or backend server.
    pub fn lowest_revision(&self) -> Revision {
        let boxes = self.boxes.values().filter_map(|it| it.entry.as_ref()).map(|it| it.status(self.now).revision);
        let servers = self.servers.values().map(|it| it.table.info().revision);
        boxes.chain(servers).min().unwrap_or_default()
    }

    /// When the tasks of a backend server began.
    pub fn starts_on(&self, id: &BackendServerId) -> Vec<Moment> {
        self.servers[id].table.runs.iter().map(|run| run.began).collect()
    }

    /// The time.
    pub fn now(&self) -> Moment {
        self.now
    }

    /// The ids of the boxes.
    pub fn box_ids(&self) -> Vec<BoxId> {
        self.boxes.keys().cloned().collect()
    }

    /// The ids of the backend servers.
    pub fn server_ids(&self) -> Vec<BackendServerId> {
        self.servers.keys().cloned().collect()
    }

    /// Every promise that is broken so far.
    pub fn violations(&mut self) -> Vec<Violation> {
        let mut oracle = Oracle::default();
        for (id, server) in &mut self.servers {
            server.table.advance(self.now);
            oracle.saw_runs(id, &server.old_runs);
            oracle.saw_runs(id, &server.table.runs);
        }
        for caller in &self.callers {
            for job in &caller.not_run {
                oracle.saw_not_run(job.clone());
            }
            if let Some(it) = caller.as_final() {
                oracle.saw_final(it);
            }
        }
        self.see_revisions();
        let ttl = self.limits.lifecycle.lease_ttl;
        let remainder = ttl + ttl + REMAINDER_SLACK;
        let mut found = oracle.check(remainder, self.now);
        found.extend(self.oracle.check(remainder, self.now));
        found
    }

    fn see_revisions(&mut self) {
        for (id, it) in &self.boxes {
            if let Some(entry) = &it.entry {
                let revision = entry.status(self.now).revision;
                // A new life starts anew; what it must not do is serve with an old revision once
                // it has heard of a newer one.
                self.oracle.saw_revision(&format!("{id}@{}", it.life.incarnation), revision);
            }
        }
        for (id, server) in &self.servers {
            let revision = server.table.document().map_or(Revision(0), |(revision, _)| revision);
            self.oracle.saw_revision(&format!("{id}@{}", server.lives), revision);
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Tick(life) => {
                if self.is_alive(&life) {
                    self.queue.push(self.now + TICK, Event::Tick(life.clone()));
                    self.give(&life, Input::Tick);
                }
            }
            Event::AtServer { from, op, server, req, call } => self.at_server(from, op, server, req, call),
            Event::FromServer { to, op, server, req, reply, call } => {
                if self.answered.insert(call) {
                    self.give(&to, Input::BackendReply { op, server, req, reply });
                }
            }
            Event::AtStore { from, op, req, call } => self.at_store(from, op, req, call),
            Event::FromStore { to, op, reply, call } => {
                if self.answered.insert(call) {
                    self.give(&to, Input::StoreReply { op, reply });
                }
            }
            Event::AtPeer { from, op, peer, req, call } => self.at_peer(from, op, peer, req, call),
            Event::FromPeer { to, op, peer, reply, call } => {
                if self.answered.insert(call) {
                    self.give(&to, Input::PeerReply { op, peer, reply });
                }
            }
            Event::AtBox { caller, id, req, call } => self.at_box(caller, id, req, call),
            Event::AtCaller { caller, reply, call } => {
                if self.answered.insert(call) {
                    self.at_caller(caller, reply);
                }
            }
            Event::ServerWake(id) => {
                let now = self.now;
                if let Some(server) = self.servers.get_mut(&id) {
                    server.table.advance(now);
                }
                self.after_server(&id);
            }
            Event::StoreWake => self.after_store(),
        }
    }

    fn is_alive(&self, life: &Life) -> bool {
        self.boxes.get(&life.id).is_some_and(|it| it.entry.is_some() && it.life == *life)
    }

    /// Gives an input to a box, now or once it is no longer paused.
    pub(crate) fn give(&mut self, life: &Life, input: Input) {
        if !self.is_alive(life) {
            return;
        }
        let now = self.now;
        let it = self.boxes.get_mut(&life.id).expect("a live box exists");
        if it.paused {
            // One tick is as good as many.
            if input != Input::Tick || !it.backlog.contains(&Input::Tick) {
                it.backlog.push(input);
            }
            return;
        }
        let entry = it.entry.as_mut().expect("a live box has its state");
        let outputs = entry.handle(input, now);
        let drained = entry.is_drained();
        for output in outputs {
            trace(now, life, &output);
            self.carry_out(life, output);
        }
        if drained {
            self.leave_if_free(life);
        }
    }

    fn carry_out(&mut self, from: &Life, output: Output) {
        let from = from.clone();
        match output {
            Output::ToCaller { to, reply } => match (self.owed.remove(&(from, to)), reply) {
                (Some(Asker::Caller { caller, call }), reply) => {
                    self.send(Event::AtCaller { caller, reply: Some(reply), call });
                }
                (Some(Asker::Operator(n)), entry::CallerReply::Applied(applied)) => {
                    self.applied[n] = Some(applied);
                }
                _ => {}
            },
            Output::ToPeer { to, reply } => {
                let id = from.id.clone();
                if let Some(Asker::Peer { life, op, call }) = self.owed.remove(&(from, to))
                    && !self.faults.is_cut(&id, &life.id)
                {
                    self.send(Event::FromPeer { to: life, op, peer: id, reply: Some(reply), call });
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

    /// Sends a message: it takes a random time, and may be lost.
    pub(crate) fn send(&mut self, event: Event) {
        if self.rng.u32(0..1000) < self.faults.loss_permille {
            return;
        }
        let delay = Duration::from_millis(1 + self.rng.u64(0..=self.faults.max_delay_ms));
        self.queue.push(self.now + delay, event);
    }

    fn at_peer(&mut self, from: Life, op: entry::OpId, peer: BoxId, req: entry::PeerRequest, call: u64) {
        if self.faults.is_cut(&from.id, &peer) {
            return;
        }
        let Some(life) = self.live_life(&peer) else {
            // Nothing listens there: the connection is refused.
            return self.send(Event::FromPeer { to: from, op, peer, reply: None, call });
        };
        let to = self.owe(&life, Asker::Peer { life: from, op, call });
        self.give(&life, Input::Peer { to, req });
    }

    fn at_box(&mut self, caller: crate::CallerId, id: BoxId, req: entry::CallerRequest, call: u64) {
        let Some(life) = self.live_life(&id) else {
            return self.send(Event::AtCaller { caller, reply: None, call });
        };
        let to = self.owe(&life, Asker::Caller { caller, call });
        self.give(&life, Input::Caller { to, req });
    }

    fn owe(&mut self, life: &Life, asker: Asker) -> entry::ReplyTo {
        self.next_reply += 1;
        let to = entry::ReplyTo(self.next_reply);
        self.owed.insert((life.clone(), to), asker);
        to
    }

    pub(crate) fn live_life(&self, id: &BoxId) -> Option<Life> {
        let it = self.boxes.get(id)?;
        it.entry.as_ref().map(|_| it.life.clone())
    }

    /// Ends a box's life: its callers see their connections break.
    pub(crate) fn end_life(&mut self, id: &BoxId) {
        let Some(it) = self.boxes.get_mut(id) else { return };
        it.entry = None;
        it.paused = false;
        it.backlog.clear();
        let life = it.life.clone();
        let broken: Vec<Owed> = self.owed.keys().filter(|(it, _)| *it == life).cloned().collect();
        for owed in broken {
            if let Some(Asker::Caller { caller, call }) = self.owed.remove(&owed) {
                let delay = Duration::from_millis(5);
                self.queue.push(self.now + delay, Event::AtCaller { caller, reply: None, call });
            }
        }
    }

    /// A drained box ends once it owes nobody a reply and nothing more has arrived.
    fn leave_if_free(&mut self, life: &Life) {
        let owes = self.owed.iter().any(|((it, _), asker)| it == life && matches!(asker, Asker::Caller { .. }));
        let busy = self.boxes.get(&life.id).is_some_and(|it| !it.backlog.is_empty());
        if !owes && !busy {
            self.end_life(&life.id);
        }
    }

    pub(crate) fn new_table(&mut self, id: &BackendServerId) {
        let checkpoints = Checkpoints::clone(&self.checkpoints);
        let now = self.now;
        let Some(server) = self.servers.get_mut(id) else { return };
        server.table.advance(now);
        server.lives += 1;
        let mut runs = std::mem::take(&mut server.table.runs);
        for run in &mut runs {
            run.ended.get_or_insert((now, backend::TaskState::Lapsed { ran: true }));
        }
        server.old_runs.extend(runs);
        let mut info = server.table.info().clone();
        info.revision = Revision(0);
        server.table = LeaseTable::new(info, server.lives, checkpoints, now);
    }
}

impl Cluster {
    /// What every live box says of itself, for a failed test's message.
    pub fn statuses(&self) -> String {
        let live = self.boxes.values().filter_map(|it| it.entry.as_ref());
        let lines: Vec<String> = live.map(|entry| format!("{:?}", entry.status(self.now))).collect();
        lines.join("\n")
    }
}
