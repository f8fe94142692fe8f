//! Bytes and writes of what a scheduler keeps of its learned speeds, at the sizes of deployments.
//!
//! Guards against pages that grow beyond 8 KB for 350 backend servers or 100 KB for 6,000, and against a scheduler that
//! occupies the store with them while speeds are learned, change, or merely vary by chance.

mod common;

use std::collections::{BTreeMap, VecDeque};

use common::{
    info, job_in,
    learned::{LearnedStore, wall_ms},
    policy, step,
};
use jobs::{Fence, RunNumber, TaskId};
use model::{BackendServerId, Duration, Incarnation, Moment, Revision};
use scheduler::{Completion, CompletionKind, Listing, Order, Scheduler, ServerInfo, StartReply, Timing};

/// Duration declared by every step, in seconds.
const DECLARED_S: f64 = 2.0;
/// Relative error of a single run, as a share of its duration.
const RUN_ERROR: f64 = 0.15;
/// Largest difference between what two successive schedulers know of a backend server, in the logarithm: a change of
/// 0.15 that was not worth a write, one of 0.1 in the mean of the fleet, and what less confidence takes away.
const MAX_LOG_LOSS: f64 = 0.3;

/// Backend servers with ids and incarnations like those of platforms, of which each runs one task after the other.
struct Load {
    scheduler: Scheduler,
    now: Moment,
    factors: BTreeMap<BackendServerId, f64>,
    incarnations: BTreeMap<BackendServerId, Incarnation>,
    serials: BTreeMap<BackendServerId, u64>,
    /// Runs by the time of their end.
    open_runs: VecDeque<(Moment, BackendServerId, TaskId, RunNumber)>,
    store: LearnedStore,
    revision: u64,
    next_job: u64,
    rng: fastrand::Rng,
}

impl Load {
    /// Creates a load on `servers` backend servers, of which a third takes 2.4 times as long as the rest.
    fn new(servers: usize) -> Load {
        let mut rng = fastrand::Rng::with_seed(1);
        // Ten hexadecimal digits, and starts within 40 days.
        let mut id = || format!("i-{:010x}", rng.u64(..1 << 40)).parse().expect("it is a valid id");
        let ids: Vec<BackendServerId> = (0..servers).map(|_| id()).collect();
        let factor = |(i, id): (usize, &BackendServerId)| (id.clone(), if i % 3 == 1 { 1.7 } else { 0.7 });
        let factors = ids.iter().enumerate().map(factor).collect();
        let incarnation =
            |id: &BackendServerId| (id.clone(), Incarnation(1_700_000_000_000 + rng.u64(..3_456_000_000)));
        let incarnations = ids.iter().map(incarnation).collect();
        let now = Moment::from_millis(1000);
        let mut load = Load {
            scheduler: Scheduler::new(Fence(1), now, Timing::default(), policy()),
            now,
            factors,
            incarnations,
            serials: BTreeMap::new(),
            open_runs: VecDeque::new(),
            store: LearnedStore::new(Fence(1)),
            revision: 1,
            next_job: 1,
            rng,
        };
        load.list_all();
        load
    }

    fn list_all(&mut self) {
        for (i, (id, incarnation)) in self.incarnations.iter().enumerate() {
            let info = ServerInfo { incarnation: Some(*incarnation), ..info(i) };
            self.scheduler.server_listed(id.clone(), info, self.now);
            let listing = Listing { incarnation: Some(*incarnation), ..Listing::default() };
            self.scheduler.listing(id, &listing, self.now, self.now);
        }
    }

    /// Runs one task on each backend server, and stores learned pages meanwhile as the runtime does.
    fn run_round(&mut self) {
        for _ in 0..self.factors.len().div_ceil(500) {
            self.scheduler.add_job(job_in("urgent", self.next_job, vec![step(500, 8)]));
            self.next_job += 1;
        }
        self.start();
        while let Some((at, id, task, run)) = self.open_runs.pop_front() {
            self.advance_to(at);
            self.complete(&id, task, run);
        }
        self.start();
    }

    fn start(&mut self) {
        self.scheduler.plan(self.now, wall_ms(self.now));
        while let Some(batch) = self.scheduler.next_write_batch(64) {
            self.revision += 1;
            self.scheduler.batch_stored(batch, Revision(self.revision));
        }
        for order in self.scheduler.take_orders() {
            let Order::Start { server, task, run, .. } = order else { continue };
            self.scheduler.start_replied(&server, task, run, StartReply::Started, self.now);
            let error = 1.0 + RUN_ERROR * (2.0 * self.rng.f64() - 1.0);
            let took = Duration::from_millis((DECLARED_S * 1000.0 * self.factors[&server] * error) as u64);
            self.open_runs.push_back((self.now + took, server, task, run));
        }
        self.open_runs.make_contiguous().sort();
    }

    fn advance_to(&mut self, at: Moment) {
        while self.now + Duration::from_millis(250) < at {
            self.now = self.now + Duration::from_millis(250);
            self.store.store_next(&mut self.scheduler, self.now);
        }
        self.now = at;
    }

    fn complete(&mut self, id: &BackendServerId, task: TaskId, run: RunNumber) {
        let serial = self.serials.entry(id.clone()).or_insert(0);
        *serial += 1;
        let completion = Completion { serial: *serial, task, run, kind: CompletionKind::Done, checkpoint: None };
        let incarnation = Some(self.incarnations[id]);
        let listing = Listing { incarnation, completions: vec![completion], ..Listing::default() };
        self.scheduler.listing(id, &listing, self.now, self.now);
    }

    fn factor(&self, id: &BackendServerId) -> f64 {
        self.scheduler.speed(id, self.now).expect("it is tracked").factor
    }

    /// Returns the number and the bytes of writes since `from`, for each minute.
    fn writes_a_minute(&self, from: Moment) -> (f64, f64) {
        let minutes = self.now.since(from).secs_f64() / 60.0;
        let sizes: Vec<f64> =
            self.store.writes.iter().filter(|(at, _)| *at > from).map(|(_, bytes)| *bytes as f64).collect();
        (sizes.len() as f64 / minutes, sizes.iter().sum::<f64>() / minutes)
    }
}

/// What is kept: bytes in the store, and writes a minute once the speeds are known.
struct Kept {
    bytes: usize,
    steady_writes: f64,
}

/// Learns the speeds, changes those of a fifth, lets them settle, and elects another scheduler.
fn learn_and_take_over(servers: usize, rounds: usize, settling_rounds: usize) -> Kept {
    let mut load = Load::new(servers);
    let elected = load.now;
    (0..rounds).for_each(|_| load.run_round());
    let end_of_first = elected + Duration::from_secs(10);
    let is_first = |at: &Moment| *at < end_of_first;
    let first = load.store.writes.iter().filter(|(at, _)| is_first(at)).count();
    assert!(first <= 10, "{first} writes in the first ten seconds");
    for pair in load.store.writes.windows(2) {
        let limit_ms = if is_first(&pair[1].0) { 1000 } else { 5000 };
        assert!(pair[1].0.since(pair[0].0).millis() >= limit_ms, "{pair:?}");
    }
    let learning = load.writes_a_minute(elected);
    load.factors.values_mut().step_by(5).for_each(|factor| *factor = 2.4 - *factor);
    let changed = load.now;
    (0..rounds).for_each(|_| load.run_round());
    let changing = load.writes_a_minute(changed);
    (0..settling_rounds).for_each(|_| load.run_round());
    let steady_from = load.now;
    (0..rounds).for_each(|_| load.run_round());
    let steady = load.writes_a_minute(steady_from);
    let bytes = load.store.bytes();
    println!(
        "{servers} backend servers: {bytes} bytes; writes and bytes a minute while learning {learning:.0?}, \
         changing {changing:.0?}, steady {steady:.0?}"
    );
    let known: BTreeMap<BackendServerId, f64> = load.factors.keys().map(|id| (id.clone(), load.factor(id))).collect();
    load.scheduler = Scheduler::new(Fence(2), load.now, Timing::default(), policy());
    load.scheduler.restore_learned(load.store.pages(), load.now, wall_ms(load.now));
    load.list_all();
    let restored = load.scheduler.speeds(load.now);
    assert!(restored.in_use && restored.restored == servers, "{restored:?}");
    let is_close = |(id, factor): &(&BackendServerId, &f64)| (load.factor(id) / **factor).ln().abs() < MAX_LOG_LOSS;
    let close = known.iter().filter(is_close).count();
    assert!(close * 100 >= servers * 95, "{close} of {servers} are as they were known");
    Kept { bytes, steady_writes: steady.0 }
}

#[test]
fn speeds_of_350_backend_servers_take_8_kb() {
    let kept = learn_and_take_over(350, 10, 30);
    assert!(kept.bytes <= 8 * 1024, "{}", kept.bytes);
    assert!(kept.steady_writes <= 1.0, "{}", kept.steady_writes);
}

#[test]
fn speeds_of_6000_backend_servers_take_100_kb() {
    let kept = learn_and_take_over(6000, 4, 4);
    assert!(kept.bytes <= 100 * 1024, "{}", kept.bytes);
}
