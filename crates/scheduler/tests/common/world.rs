//! Schedulers, one after another and side by side, with backend servers and a store that fail in the ways of
//! the users' pages: orders and writes without an answer that are carried out seconds later, cuts, crashes,
//! slow clocks, a store that is down. An oracle sees what ran.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use jobs::{Fence, Job, JobId, JobState, Need, OccurrenceId, Progress, RunNumber, TaskId};
use model::{BackendServerId, Duration, Moment, Revision};
use scheduler::{Batch, EndKind, Listing, Scheduler, StartReply, Timing, Unanswered};

use super::{
    info, policy,
    server::{FakeServer, Run},
    server_id,
};

pub(crate) const STEP_MS: u64 = 10;
const GANG_WAIT_MS: u64 = 3000;
pub(crate) const LEASE_MS: u64 = 6000;
pub(crate) const ATTEMPTS: usize = 4;

#[derive(Debug)]
pub(crate) enum Event {
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
    /// A scheduler hears that the platform no longer lists a backend server.
    Unlisted {
        leader: usize,
        server: BackendServerId,
    },
    /// A scheduler's call finds that a backend server has gone.
    CallFailed {
        leader: usize,
        server: BackendServerId,
        how: Unanswered,
    },
}

/// One elected box.
pub(crate) struct Leader {
    pub(crate) scheduler: Scheduler,
    pub(crate) fence: Fence,
    pub(crate) alive: bool,
    pub(crate) writing: bool,
    /// Renews no more from here on: its election cannot be confirmed.
    pub(crate) renews_until: u64,
    /// What a backend server's clock showed, and when.
    pub(crate) clocks: BTreeMap<BackendServerId, (u64, u64)>,
    pub(crate) holding: BTreeMap<BackendServerId, u64>,
    pub(crate) reached: BTreeSet<BackendServerId>,
}

/// What the oracle remembers of a task.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub(crate) done_at: Option<u64>,
    pub(crate) done_noted: bool,
    pub(crate) failures_noted: usize,
}

pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) servers: BTreeMap<BackendServerId, FakeServer>,
    pub(crate) next_server: usize,
    pub(crate) leaders: Vec<Leader>,
    pub(crate) events: Vec<(u64, Event)>,
    pub(crate) stored: BTreeMap<OccurrenceId, (Progress, Revision)>,
    pub(crate) revision: u64,
    pub(crate) holder: Fence,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) cancelled: BTreeMap<JobId, u64>,
    pub(crate) store_down_until: u64,
    pub(crate) lose_writes_until: u64,
    pub(crate) lose_orders_until: u64,
    pub(crate) fail_tasks_until: u64,
    pub(crate) seen: BTreeMap<TaskId, Seen>,
    pub(crate) rng: fastrand::Rng,
    pub(crate) begun: usize,
}

impl World {
    pub(crate) fn new(servers: usize, seed: u64) -> World {
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

    pub(crate) fn server_mut(&mut self, id: &BackendServerId) -> &mut FakeServer {
        self.servers.get_mut(id).expect("only backend servers that live are named")
    }

    pub(crate) fn moment(&self) -> Moment {
        Moment::from_millis(self.now)
    }

    fn timing() -> Timing {
        Timing { lease: Duration::from_millis(LEASE_MS), ..Timing::default() }
    }

    pub(crate) fn add_server(&mut self) {
        let i = self.next_server;
        self.next_server += 1;
        let rate = if i.is_multiple_of(3) { 0.98 } else { 1.0 };
        let mut server = FakeServer::new(server_id(i), info(i % 8), rate);
        for leader in &mut self.leaders {
            leader.scheduler.server_listed(server.id.clone(), server.info.clone(), Moment::from_millis(self.now));
        }
        server.last_heartbeat = self.now;
        self.servers.insert(server.id.clone(), server);
    }

    pub(crate) fn submit(&mut self, job: Job) {
        for leader in self.leaders.iter_mut().filter(|leader| leader.alive) {
            leader.scheduler.add_job(job.clone());
        }
        self.jobs.insert(job.id, job);
    }

    pub(crate) fn cancel(&mut self, id: JobId) {
        let now = self.moment();
        self.cancelled.entry(id).or_insert(self.now);
        for leader in self.leaders.iter_mut().filter(|leader| leader.alive) {
            leader.scheduler.cancel(id, now);
        }
    }

    /// Another box is elected. Those before it do not know, unless they are killed; one that lives renews on
    /// for as long as an unconfirmed scheduler may.
    pub(crate) fn elect(&mut self) {
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
        for server in self.servers.values().filter(|server| server.listed) {
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

    pub(crate) fn kill_leaders(&mut self) {
        for leader in &mut self.leaders {
            leader.alive = false;
        }
    }

    /// A backend server's life ends; another begins in its place.
    pub(crate) fn crash(&mut self, i: usize) {
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

    pub(crate) fn cut(&mut self, i: usize, ms: u64, refuses: bool) {
        let id = self.servers.keys().nth(i % self.servers.len()).cloned();
        if let Some(server) = id.and_then(|id| self.servers.get_mut(&id)) {
            server.cut_until = server.cut_until.max(self.now + ms);
            server.cut_refuses = refuses;
        }
    }

    pub(crate) fn reachable(&self, id: &BackendServerId) -> bool {
        self.servers.get(id).is_some_and(|server| server.cut_until <= self.now)
    }

    pub(crate) fn after(&mut self, ms: u64, event: Event) {
        self.events.push((self.now + ms, event));
    }

    pub(crate) fn advance(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            self.run_servers();
            self.run_platform();
            self.run_events();
            for leader in 0..self.leaders.len() {
                if self.leaders[leader].alive {
                    self.run_leader(leader);
                }
            }
        }
    }

    pub(crate) fn write(&mut self, leader: usize, batch: &Batch) -> Result<Revision, BTreeMap<OccurrenceId, Revision>> {
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

    pub(crate) fn start(
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
        let server = self.server_mut(id);
        let known = server.running.contains_key(&task);
        let reply = server.start(task, new, until, fence, &step.need, used);
        if reply == StartReply::Started && !known {
            self.check_begin(id, task);
        }
        reply
    }

    /// One run in four outlasts a lease.
    pub(crate) fn long_work(&mut self) -> u64 {
        if self.rng.u8(..) < 64 { 8000 } else { 0 }
    }

    pub(crate) fn run_servers(&mut self) {
        self.begin_gangs();
        let ids: Vec<BackendServerId> = self.servers.keys().cloned().collect();
        for id in ids {
            let server = self.server_mut(&id);
            server.clock += STEP_MS as f64 * server.rate;
            let lapsed = server.lease_until <= server.clock_ms();
            if lapsed {
                server.lapsed_after = server.serial;
            }
            let tasks: Vec<TaskId> = server.running.keys().copied().collect();
            for task in tasks {
                let server = self.server_mut(&id);
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
                    self.server_mut(&server).running.get_mut(&task).expect("it was just seen").left = Some(work);
                }
            }
        }
    }

    pub(crate) fn end(&mut self, id: &BackendServerId, task: TaskId, kind: EndKind) {
        let Some(run) = self.server_mut(id).end(task, kind) else { return };
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
            self.server_mut(&server).end(member, other);
            if other == EndKind::Done {
                self.seen.entry(member).or_default().done_at = Some(self.now);
            }
        }
    }

    pub(crate) fn heal(&mut self) {
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
    pub(crate) fn state(&self, id: JobId) -> Option<JobState> {
        let leader = self.leaders.iter().rfind(|leader| leader.alive && leader.fence == self.holder)?;
        leader.scheduler.job(id).map(|(state, _, _)| state)
    }

    pub(crate) fn unacknowledged(&self) -> usize {
        self.servers.values().map(|server| server.ended.len()).sum()
    }

    pub(crate) fn text() -> Arc<str> {
        Arc::from("text")
    }
}
