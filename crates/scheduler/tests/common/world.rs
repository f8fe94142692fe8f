//! Schedulers, one after another and side by side, with backend servers and a store that fail in the ways of
//! the users' pages: orders and writes without an answer that are carried out seconds later, cuts, crashes,
//! slow clocks, a store that is down. An oracle sees what ran.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use jobs::{Fence, Job, JobId, JobState, Need, OccurrenceId, Progress, RunNumber, TaskId};
use model::{BackendServerId, Duration, Moment, Revision};
use scheduler::{Batch, EndKind, Listing, Order, Scheduler, StartReply, Timing};

use super::{
    info, policy,
    server::{FakeServer, Run},
    server_id,
};

pub const STEP_MS: u64 = 10;
const GANG_WAIT_MS: u64 = 3000;
const LEASE_MS: u64 = 6000;
pub const ATTEMPTS: usize = 4;

#[derive(Debug)]
enum Event {
    Hold {
        leader: usize,
        server: BackendServerId,
        acknowledged: u64,
        until: Option<u64>,
        sent: Moment,
    },
    Held {
        leader: usize,
        server: BackendServerId,
        reply: Option<Listing>,
        clock: u64,
        sent: Moment,
    },
    Start {
        leader: usize,
        server: BackendServerId,
        task: TaskId,
        run: RunNumber,
        until: u64,
        answered: bool,
        saved: bool,
    },
    Started {
        leader: usize,
        server: BackendServerId,
        task: TaskId,
        run: RunNumber,
        reply: StartReply,
    },
    Stop {
        leader: usize,
        server: BackendServerId,
        task: TaskId,
        run: RunNumber,
        answered: bool,
    },
    Stopped {
        leader: usize,
        server: BackendServerId,
        task: TaskId,
        run: RunNumber,
    },
    Write {
        leader: usize,
        batch: Batch,
        answered: bool,
    },
    Written {
        leader: usize,
        batch: Batch,
        result: Result<Revision, BTreeMap<OccurrenceId, Revision>>,
    },
    WriteLost {
        leader: usize,
    },
}

/// One elected box.
struct Leader {
    scheduler: Scheduler,
    fence: Fence,
    alive: bool,
    writing: bool,
    /// Renews no more from here on: its election cannot be confirmed.
    renews_until: u64,
    /// What a backend server's clock showed, and when.
    clocks: BTreeMap<BackendServerId, (u64, u64)>,
    holding: BTreeMap<BackendServerId, u64>,
    reached: BTreeSet<BackendServerId>,
}

/// What the oracle remembers of a task.
#[derive(Debug, Default)]
struct Seen {
    done_at: Option<u64>,
    done_noted: bool,
    failures_noted: usize,
}

pub struct World {
    pub now: u64,
    pub servers: BTreeMap<BackendServerId, FakeServer>,
    next_server: usize,
    leaders: Vec<Leader>,
    events: Vec<(u64, Event)>,
    stored: BTreeMap<OccurrenceId, (Progress, Revision)>,
    revision: u64,
    holder: Fence,
    pub jobs: BTreeMap<JobId, Job>,
    pub cancelled: BTreeMap<JobId, u64>,
    pub store_down_until: u64,
    pub lose_writes_until: u64,
    pub lose_orders_until: u64,
    pub fail_tasks_until: u64,
    seen: BTreeMap<TaskId, Seen>,
    rng: fastrand::Rng,
    pub begun: usize,
}

impl World {
    pub fn new(servers: usize, seed: u64) -> World {
        let mut world = World {
            now: 1000,
            servers: BTreeMap::new(),
            next_server: 0,
            leaders: Vec::new(),
            events: Vec::new(),
            stored: BTreeMap::new(),
            revision: 1,
            holder: Fence(0),
            jobs: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            store_down_until: 0,
            lose_writes_until: 0,
            lose_orders_until: 0,
            fail_tasks_until: 0,
            seen: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
            begun: 0,
        };
        for _ in 0..servers {
            world.add_server();
        }
        world.elect();
        world
    }

    fn moment(&self) -> Moment {
        Moment::from_millis(self.now)
    }

    fn timing() -> Timing {
        Timing { lease: Duration::from_millis(LEASE_MS), ..Timing::default() }
    }

    pub fn add_server(&mut self) {
        let i = self.next_server;
        self.next_server += 1;
        let rate = if i % 3 == 0 { 0.98 } else { 1.0 };
        let server = FakeServer::new(server_id(i), info(i % 8), rate);
        for leader in &mut self.leaders {
            leader.scheduler.server_listed(server.id.clone(), server.info.clone(), Moment::from_millis(self.now));
        }
        self.servers.insert(server.id.clone(), server);
    }

    pub fn submit(&mut self, job: Job) {
        for leader in self.leaders.iter_mut().filter(|leader| leader.alive) {
            leader.scheduler.add_job(job.clone());
        }
        self.jobs.insert(job.id, job);
    }

    pub fn cancel(&mut self, id: JobId) {
        let now = self.moment();
        self.cancelled.entry(id).or_insert(self.now);
        for leader in self.leaders.iter_mut().filter(|leader| leader.alive) {
            leader.scheduler.cancel(id, now);
        }
    }

    /// Another box is elected. Those before it do not know, unless they are killed; one that lives renews on
    /// for as long as an unconfirmed scheduler may.
    pub fn elect(&mut self) {
        if self.now < self.store_down_until {
            return;
        }
        self.revision += 1;
        self.holder = Fence(self.revision);
        let unconfirmed = World::timing().unconfirmed_renewal.millis();
        for leader in &mut self.leaders {
            leader.renews_until = leader.renews_until.min(self.now + unconfirmed);
        }
        let now = self.moment();
        let mut scheduler = Scheduler::new(self.holder, now, World::timing(), policy());
        for job in self.jobs.values() {
            scheduler.add_job(job.clone());
        }
        for (id, (progress, revision)) in &self.stored {
            scheduler.restore(*id, progress.clone(), *revision);
        }
        for id in self.cancelled.keys() {
            scheduler.cancel(*id, now);
        }
        for server in self.servers.values() {
            scheduler.server_listed(server.id.clone(), server.info.clone(), now);
        }
        self.leaders.push(Leader {
            scheduler,
            fence: self.holder,
            alive: true,
            writing: false,
            renews_until: u64::MAX,
            clocks: BTreeMap::new(),
            holding: BTreeMap::new(),
            reached: BTreeSet::new(),
        });
    }

    pub fn kill_leaders(&mut self) {
        for leader in &mut self.leaders {
            leader.alive = false;
        }
    }

    /// A backend server's life ends; another begins in its place.
    pub fn crash(&mut self, i: usize) {
        let Some(id) = self.servers.keys().nth(i % self.servers.len()).cloned() else { return };
        // What runs there dies, and gangs break with it.
        let tasks: Vec<TaskId> = self.servers[&id].running.keys().copied().collect();
        for task in tasks {
            self.end(&id, task, EndKind::Broken);
        }
        self.servers.remove(&id);
        let now = self.moment();
        for leader in self.leaders.iter_mut().filter(|leader| leader.alive) {
            leader.scheduler.server_gone(&id, now);
        }
        self.add_server();
    }

    pub fn cut(&mut self, i: usize, ms: u64) {
        let id = self.servers.keys().nth(i % self.servers.len()).cloned();
        if let Some(server) = id.and_then(|id| self.servers.get_mut(&id)) {
            server.cut_until = server.cut_until.max(self.now + ms);
        }
    }

    fn reachable(&self, id: &BackendServerId) -> bool {
        self.servers.get(id).is_some_and(|server| server.cut_until <= self.now)
    }

    fn after(&mut self, ms: u64, event: Event) {
        self.events.push((self.now + ms, event));
    }

    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            self.run_servers();
            self.run_events();
            for leader in 0..self.leaders.len() {
                if self.leaders[leader].alive {
                    self.run_leader(leader);
                }
            }
        }
    }

    fn run_events(&mut self) {
        self.events.sort_by_key(|(at, _)| *at);
        let due = self.events.iter().take_while(|(at, _)| *at <= self.now).count();
        let events: Vec<(u64, Event)> = self.events.drain(..due).collect();
        for (_, event) in events {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.moment();
        match event {
            Event::Hold { leader, server, acknowledged, until, sent } => {
                if !self.reachable(&server) {
                    return;
                }
                let fence = self.leaders[leader].fence;
                self.note(&server, fence, acknowledged);
                let server = self.servers.get_mut(&server).unwrap();
                let reply = server.hold(fence, acknowledged, until);
                let (id, clock) = (server.id.clone(), server.clock_ms());
                // An answer may be overtaken by later ones on other connections.
                let delay = STEP_MS * (1 + self.rng.u64(..6));
                self.after(delay, Event::Held { leader, server: id, reply, clock, sent });
            }
            Event::Held { leader, server, reply, clock, sent } => {
                let reachable = self.reachable(&server);
                let at = self.now;
                let leader = &mut self.leaders[leader];
                if !leader.alive || !reachable || leader.holding.remove(&server).is_none() {
                    return;
                }
                let Some(listing) = reply else {
                    leader.alive = false;
                    return;
                };
                leader.clocks.insert(server.clone(), (clock, at));
                leader.reached.insert(server.clone());
                leader.scheduler.listing(&server, &listing, sent, now);
            }
            Event::Start { leader, server, task, run, until, answered, saved } => {
                if !self.reachable(&server) {
                    if answered {
                        let reply = StartReply::Unknown;
                        self.after(400, Event::Started { leader, server, task, run, reply });
                    }
                    return;
                }
                let reply = self.start(leader, &server, task, run, until, saved);
                if answered {
                    self.after(STEP_MS, Event::Started { leader, server, task, run, reply });
                }
            }
            Event::Started { leader, server, task, run, reply } => {
                let leader = &mut self.leaders[leader];
                if leader.alive {
                    leader.scheduler.start_replied(&server, task, run, reply, now);
                    leader.alive &= !leader.scheduler.deposed();
                }
            }
            Event::Stop { leader, server, task, run, answered } => {
                if !self.reachable(&server) {
                    return;
                }
                let fence = self.leaders[leader].fence;
                if !self.servers.get_mut(&server).unwrap().stop(task, run, fence) {
                    return;
                }
                if self.servers[&server].running.get(&task).is_some_and(|known| known.run == run) {
                    self.end(&server, task, EndKind::Stopped);
                }
                if answered {
                    self.after(STEP_MS, Event::Stopped { leader, server, task, run });
                }
            }
            Event::Stopped { leader, server, task, run } => {
                if self.leaders[leader].alive {
                    self.leaders[leader].scheduler.stop_replied(&server, task, run, now);
                }
            }
            Event::Write { leader, batch, answered } => {
                let result = self.write(leader, &batch);
                if answered {
                    self.after(STEP_MS, Event::Written { leader, batch, result });
                }
            }
            Event::Written { leader, batch, result } => {
                let leader = &mut self.leaders[leader];
                leader.writing = false;
                match result {
                    Ok(revision) => leader.scheduler.stored(batch, revision),
                    Err(found) if leader.fence == self.holder => leader.scheduler.found_in_store(&found),
                    Err(_) => leader.alive = false,
                }
            }
            Event::WriteLost { leader } => self.leaders[leader].writing = false,
        }
    }

    fn write(&mut self, leader: usize, batch: &Batch) -> Result<Revision, BTreeMap<OccurrenceId, Revision>> {
        let found = |id: OccurrenceId| self.stored.get(&id).map_or(Revision(0), |(_, revision)| *revision);
        let fits = batch.entries.iter().all(|entry| found(entry.occurrence) == entry.replaces);
        if self.leaders[leader].fence != self.holder || !fits {
            return Err(batch.entries.iter().map(|entry| (entry.occurrence, found(entry.occurrence))).collect());
        }
        self.revision += 1;
        for entry in &batch.entries {
            self.stored.insert(entry.occurrence, (entry.progress.clone(), Revision(self.revision)));
        }
        Ok(Revision(self.revision))
    }

    fn start(
        &mut self,
        leader: usize,
        id: &BackendServerId,
        task: TaskId,
        run: RunNumber,
        until: u64,
        saved: bool,
    ) -> StartReply {
        let fence = self.leaders[leader].fence;
        let job = self.jobs[&task.occurrence.job].clone();
        let step = &job.steps[task.step as usize];
        let fails = self.now < self.fail_tasks_until && self.rng.u8(..) < 100;
        let work = if saved { 300 } else { 600 } + self.rng.u64(..800) + self.long_work();
        let new = Run { run, left: (!step.gang).then_some(work), waited: 0, fails, saved: None };
        let mut used = Need::default();
        for other in self.servers[id].running.keys() {
            used.add(&self.jobs[&other.occurrence.job].steps[other.step as usize].need);
        }
        let server = self.servers.get_mut(id).unwrap();
        let known = server.running.contains_key(&task);
        let reply = server.start(task, new, until, fence, &step.need, used);
        if reply == StartReply::Started && !known {
            self.check_begin(id, task);
        }
        reply
    }

    /// One run in four outlasts a lease.
    fn long_work(&mut self) -> u64 {
        if self.rng.u8(..) < 64 { 8000 } else { 0 }
    }

    fn run_servers(&mut self) {
        self.begin_gangs();
        let ids: Vec<BackendServerId> = self.servers.keys().cloned().collect();
        for id in ids {
            let server = self.servers.get_mut(&id).unwrap();
            server.clock += STEP_MS as f64 * server.rate;
            let lapsed = server.lease_until <= server.clock_ms();
            if lapsed {
                server.lapsed_after = server.serial;
            }
            let tasks: Vec<TaskId> = server.running.keys().copied().collect();
            for task in tasks {
                let server = self.servers.get_mut(&id).unwrap();
                let Some(run) = server.running.get_mut(&task) else { continue };
                let kind = match &mut run.left {
                    _ if lapsed => Some(EndKind::Lapsed),
                    None => {
                        run.waited += STEP_MS;
                        (run.waited >= GANG_WAIT_MS).then_some(EndKind::Alone)
                    }
                    Some(left) => {
                        *left = left.saturating_sub(STEP_MS);
                        (*left == 0).then_some(if run.fails { EndKind::Failed } else { EndKind::Done })
                    }
                };
                if let Some(kind) = kind {
                    self.end(&id, task, kind);
                }
            }
        }
    }

    fn begin_gangs(&mut self) {
        let mut present: BTreeMap<(OccurrenceId, u32, RunNumber), Vec<(BackendServerId, TaskId)>> = BTreeMap::new();
        for server in self.servers.values() {
            for (task, run) in server.running.iter().filter(|(_, run)| run.left.is_none()) {
                let gang = (task.occurrence, task.step, run.run);
                present.entry(gang).or_default().push((server.id.clone(), *task));
            }
        }
        for ((occurrence, step, _), members) in present {
            if members.len() == self.jobs[&occurrence.job].steps[step as usize].count as usize {
                let work = 600 + self.rng.u64(..800) + self.long_work();
                for (server, task) in members {
                    self.servers.get_mut(&server).unwrap().running.get_mut(&task).unwrap().left = Some(work);
                }
            }
        }
    }

    fn end(&mut self, id: &BackendServerId, task: TaskId, kind: EndKind) {
        let Some(run) = self.servers.get_mut(id).unwrap().end(task, kind) else { return };
        if kind == EndKind::Done {
            self.seen.entry(task).or_default().done_at = Some(self.now);
        }
        if !self.jobs[&task.occurrence.job].steps[task.step as usize].gang {
            return;
        }
        // The others of its gang end with it: well, if it ended well.
        let other = if kind == EndKind::Done { EndKind::Done } else { EndKind::Broken };
        let members: Vec<(BackendServerId, TaskId)> = self
            .servers
            .values()
            .flat_map(|server| server.running.iter().map(|(task, run)| (server.id.clone(), *task, run.run)))
            .filter(|(_, t, r)| t.occurrence == task.occurrence && t.step == task.step && *r == run.run)
            .map(|(server, task, _)| (server, task))
            .collect();
        for (server, member) in members {
            self.servers.get_mut(&server).unwrap().end(member, other);
            if other == EndKind::Done {
                self.seen.entry(member).or_default().done_at = Some(self.now);
            }
        }
    }

    /// A backend server that obeys the fence forgets these ends: they are taken note of.
    fn note(&mut self, id: &BackendServerId, fence: Fence, acknowledged: u64) {
        let server = &self.servers[id];
        if fence < server.fence {
            return;
        }
        let counts = |serial: u64| serial <= acknowledged && serial > server.lapsed_after;
        for end in server.ended.iter().filter(|end| counts(end.serial)) {
            let seen = self.seen.entry(end.task).or_default();
            let stored = &self.stored;
            match end.kind {
                EndKind::Done => seen.done_noted = true,
                EndKind::Failed => seen.failures_noted += 1,
                _ => {}
            }
            assert!(
                !matches!(end.kind, EndKind::Done | EndKind::Failed) || stored.contains_key(&end.task.occurrence),
                "an end of {} was acknowledged and nothing is stored",
                end.task
            );
        }
    }

    fn check_begin(&mut self, id: &BackendServerId, task: TaskId) {
        self.begun += 1;
        for other in self.servers.values().filter(|other| other.id != *id) {
            assert!(!other.running.contains_key(&task), "{task} runs on {id} and on {} at {}", other.id, self.now);
        }
        let seen = self.seen.entry(task).or_default();
        assert!(!seen.done_noted, "{task} began again after it was noted as done");
        assert!(seen.failures_noted < ATTEMPTS, "{task} began after {ATTEMPTS} failures");
        if let Some(at) = self.cancelled.get(&task.occurrence.job) {
            assert!(self.now < at + 13_000, "{task} began long after its job was cancelled");
        }
        let job = &self.jobs[&task.occurrence.job];
        for &earlier in &job.steps[task.step as usize].after {
            for index in 0..job.steps[earlier].count {
                let needed = TaskId { step: earlier as u32, index, ..task };
                let done = self.seen.get(&needed).is_some_and(|seen| seen.done_at.is_some());
                assert!(done, "{task} began before {needed} was done");
            }
        }
    }

    fn run_leader(&mut self, i: usize) {
        let now = self.moment();
        let wall = self.now;
        let leader = &mut self.leaders[i];
        leader.scheduler.tick(now);
        leader.scheduler.plan(now, wall);
        self.write_next(i);
        self.renew(i);
        for order in self.leaders[i].scheduler.take_orders() {
            self.send(i, order);
        }
    }

    fn write_next(&mut self, i: usize) {
        if self.leaders[i].writing || self.now < self.store_down_until {
            return;
        }
        let Some(batch) = self.leaders[i].scheduler.next_batch(4) else { return };
        self.leaders[i].writing = true;
        if self.now < self.lose_writes_until && self.rng.bool() {
            let late = if self.rng.bool() { STEP_MS } else { 1000 + self.rng.u64(..5000) };
            self.after(late, Event::Write { leader: i, batch, answered: false });
            self.after(300, Event::WriteLost { leader: i });
        } else {
            self.after(STEP_MS, Event::Write { leader: i, batch, answered: true });
        }
    }

    fn renew(&mut self, i: usize) {
        let ids: Vec<BackendServerId> = self.servers.keys().cloned().collect();
        for id in ids {
            let (now, moment) = (self.now, self.moment());
            let leader = &mut self.leaders[i];
            match leader.holding.get(&id) {
                Some(&since) if now < since + 200 => continue,
                Some(_) => {
                    leader.holding.remove(&id);
                    leader.reached.remove(&id);
                    leader.scheduler.unanswered(&id);
                }
                None => {}
            }
            if now >= leader.renews_until {
                leader.alive = false;
                return;
            }
            let until = leader.reached.contains(&id).then(|| lease_until(&leader.clocks, &id, now)).flatten();
            if until.is_some() {
                leader.scheduler.lease_sent(&id, moment);
            }
            leader.holding.insert(id.clone(), now);
            let acknowledged = leader.scheduler.acknowledged(&id);
            self.after(STEP_MS, Event::Hold { leader: i, server: id, acknowledged, until, sent: moment });
        }
    }

    fn send(&mut self, i: usize, order: Order) {
        let lost = self.now < self.lose_orders_until && self.rng.u8(..) < 80;
        let late = if lost { 2000 + self.rng.u64(..10_000) } else { STEP_MS };
        let now = self.moment();
        match order {
            Order::Start { server, task, run, saved, .. } => {
                let Some(until) = lease_until(&self.leaders[i].clocks, &server, self.now) else { return };
                self.leaders[i].scheduler.lease_sent(&server, now);
                let answered = !lost && self.reachable(&server);
                let saved = saved.is_some();
                self.after(late, Event::Start { leader: i, server: server.clone(), task, run, until, answered, saved });
                if !answered {
                    let reply = StartReply::Unknown;
                    self.after(400, Event::Started { leader: i, server, task, run, reply });
                }
            }
            Order::Stop { server, task, run, .. } => {
                self.after(late, Event::Stop { leader: i, server, task, run, answered: !lost });
            }
        }
    }

    pub fn heal(&mut self) {
        self.store_down_until = 0;
        self.lose_writes_until = 0;
        self.lose_orders_until = 0;
        self.fail_tasks_until = 0;
        for server in self.servers.values_mut() {
            server.cut_until = 0;
        }
        if !self.leaders.iter().any(|leader| leader.alive && leader.fence == self.holder) {
            self.elect();
        }
    }

    /// What the scheduler in office tells of a job.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        let leader = self.leaders.iter().rfind(|leader| leader.alive && leader.fence == self.holder)?;
        leader.scheduler.job(id).map(|(state, _, _)| state)
    }

    pub fn check_succeeded(&self, id: JobId) {
        let job = &self.jobs[&id];
        for (s, step) in job.steps.iter().enumerate() {
            for index in 0..step.count {
                let occurrence = OccurrenceId { job: id, number: 0 };
                let task = TaskId { occurrence, step: s as u32, index };
                let done = self.seen.get(&task).is_some_and(|seen| seen.done_at.is_some());
                assert!(done, "{id} is shown as succeeded and {task} was never done");
            }
        }
    }

    pub fn unacknowledged(&self) -> usize {
        self.servers.values().map(|server| server.ended.len()).sum()
    }

    pub fn text() -> Arc<str> {
        Arc::from("text")
    }
}

fn lease_until(clocks: &BTreeMap<BackendServerId, (u64, u64)>, id: &BackendServerId, now: u64) -> Option<u64> {
    clocks.get(id).map(|(clock, at)| clock + (now - at) + LEASE_MS)
}
