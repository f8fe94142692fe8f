//! What a plan of the elected scheduler costs, by the number of backend servers and of groups that wait.

use std::{fmt::Write, sync::Arc, time::Instant};

use jobs::{Fence, Job, JobId, Resources, Step};
use model::{AvailabilityZoneId, BackendServerId, Duration, Moment, Revision};
use scheduler::{
    EvacuatedBy, Listing, Order, Policy, QueuePolicy, RunningTask, Scheduler, ServerAddress, ServerInfo, ServiceId,
    StartReply, Timing, Tuning,
};

const SERVICE: &str = "service";
/// Backend servers of a rack, and accelerators of each, as on the users' largest site.
const IN_RACK: usize = 20;
const ACCELERATORS: u64 = 8;
/// Share of the accelerators that run something before anything is measured, in percent: above what stays free for
/// urgent work, so that what waits has to go on waiting.
const USED_PERCENT: u64 = 70;
/// Tasks of a job that waits.
const TASKS: u32 = 100;
/// Tasks of the urgent job that a plan places.
const PLACED: u32 = 64;
/// Each figure is the median of so many repetitions.
const REPETITIONS: usize = 41;

/// Measures and prints a table.
pub(crate) fn run() -> Result<String, String> {
    let mut table = format!(
        "{:>15} {:>15} {:>20} {:>20} {:>20} {:>20} {:>20}\n",
        "backend servers",
        "groups waiting",
        "nothing moved, us",
        "one end, us",
        "64 placed, us",
        "gang makes room, us",
        "zone evacuated, us"
    );
    for servers in [50, 350, 1100, 3000, 6000, 12_000] {
        for waiting in [100, 1000, 10_000] {
            let mut bed = Bed::new(servers, Tuning::default());
            bed.fill();
            bed.let_wait(waiting);
            let idle = median(|| bed.time_plan());
            let end = median(|| bed.time_end());
            let placed = median(|| bed.time_placing());
            let evacuated = median(|| bed.time_evacuating());
            let preempting = Bed::full(servers, waiting).time_preempting();
            let _ = writeln!(
                table,
                "{servers:>15} {waiting:>15} {idle:>20.1} {end:>20.1} {placed:>20.1} {preempting:>20.1} {evacuated:>20.1}"
            );
        }
    }
    Ok(table)
}

fn median(mut measure: impl FnMut() -> f64) -> f64 {
    let mut all: Vec<f64> = (0..REPETITIONS).map(|_| measure()).collect();
    all.sort_by(f64::total_cmp);
    all[REPETITIONS / 2]
}

/// A scheduler whose backend servers do what they are told at once.
struct Bed {
    scheduler: Scheduler,
    now: Moment,
    revision: u64,
    next_job: u64,
    servers: usize,
    serial: u64,
}

impl Bed {
    fn new(servers: usize, tuning: Tuning) -> Bed {
        let now = Moment::from_millis(1000);
        let mut scheduler = Scheduler::new(Fence(10), now, Timing { tuning, ..Timing::default() }, policy());
        for i in 0..servers {
            scheduler.server_listed(id(i), info(i), now);
            scheduler.lease_sent(&id(i), Timing::default().lease, now);
            scheduler.listing(&id(i), &Listing::default(), now, now);
        }
        Bed { scheduler, now, revision: 1, next_job: 1, servers, serial: 0 }
    }

    /// One whose accelerators are all taken by work that can wait; more of it waits.
    fn full(servers: usize, waiting: u32) -> Bed {
        let mut bed = Bed::new(servers, Tuning { headroom: Some(0.0), ..Tuning::default() });
        let tasks = servers as u64 * ACCELERATORS;
        for _ in 0..tasks / 50 {
            bed.submit("batch", 50);
        }
        bed.plan();
        bed.settle();
        bed.let_wait(waiting);
        bed
    }

    /// A plan that makes room for an urgent gang.
    fn time_preempting(&mut self) -> f64 {
        let id = self.submit_step("urgent", Step { gang: true, same_rack: true, ..step(8, 8) });
        let took = self.plan();
        self.scheduler.cancel(id, self.now);
        took
    }

    /// Takes most accelerators with tasks that go on.
    fn fill(&mut self) {
        let tasks = self.servers as u64 * ACCELERATORS * USED_PERCENT / 100;
        for _ in 0..tasks / 50 {
            self.submit("urgent", 50);
        }
        self.plan();
        self.settle();
    }

    /// Hands in work that has to wait.
    fn let_wait(&mut self, groups: u32) {
        for _ in 0..groups.div_ceil(TASKS) {
            self.submit("archive", TASKS.min(groups));
        }
        self.plan();
        self.settle();
    }

    fn submit(&mut self, queue: &str, count: u32) -> JobId {
        self.submit_step(queue, step(count, 1))
    }

    fn submit_step(&mut self, queue: &str, step: Step) -> JobId {
        // Spread over all ids, as callers' are.
        let id = JobId(self.next_job.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        self.next_job += 1;
        let (queue, text) = (queue.into(), Arc::from("text"));
        let accepted_ms = self.now.millis();
        self.scheduler.add_job(Job { id, queue, customer: None, text, steps: vec![step], schedule: None, accepted_ms });
        id
    }

    fn plan(&mut self) -> f64 {
        self.now = self.now + Duration::from_millis(4);
        let begun = Instant::now();
        self.scheduler.plan(self.now, self.now.millis());
        begun.elapsed().as_secs_f64() * 1e6
    }

    /// Stores everything and answers all orders.
    fn settle(&mut self) -> Vec<(BackendServerId, jobs::TaskId, jobs::RunNumber)> {
        while let Some(batch) = self.scheduler.next_write_batch(15) {
            self.revision += 1;
            self.scheduler.batch_stored(batch, Revision(self.revision));
        }
        let mut started = Vec::new();
        for order in self.scheduler.take_orders() {
            if let Order::Start { server, task, run, .. } = order {
                self.scheduler.start_replied(&server, task, run, StartReply::Started, self.now);
                started.push((server, task, run));
            }
        }
        started
    }

    /// A plan for which nothing has moved since the one before.
    fn time_plan(&mut self) -> f64 {
        self.plan();
        self.plan()
    }

    /// A plan after one backend server has listed an end.
    fn time_end(&mut self) -> f64 {
        self.submit("urgent", 1);
        self.plan();
        let (server, task, run) = self.settle().pop().expect("there is room for urgent work");
        self.serial += 1;
        let end = scheduler::Completion {
            serial: self.serial,
            task,
            run,
            kind: scheduler::CompletionKind::Done,
            checkpoint: None,
        };
        let listing = Listing {
            running: Vec::<RunningTask>::new(),
            completions: vec![end],
            more_completions: true,
            ..Listing::default()
        };
        self.scheduler.listing(&server, &listing, self.now, self.now);
        let took = self.plan();
        self.settle();
        took
    }

    /// A plan that places an urgent job, which is cancelled after.
    fn time_placing(&mut self) -> f64 {
        let id = self.submit("urgent", PLACED);
        let took = self.plan();
        self.scheduler.cancel(id, self.now);
        self.settle();
        took
    }

    /// An availability zone is evacuated while an urgent job stands placed and is not ordered: until all of it has a place elsewhere.
    fn time_evacuating(&mut self) -> f64 {
        let id = self.submit("urgent", PLACED);
        self.plan();
        let zone = zone(0);
        let begun = Instant::now();
        self.scheduler.evacuate(&zone, EvacuatedBy::Platform, self.now);
        let closing = begun.elapsed().as_secs_f64() * 1e6;
        let took = closing + self.plan();
        self.scheduler.end_evacuation(&zone, EvacuatedBy::Platform);
        self.scheduler.cancel(id, self.now);
        self.settle();
        took
    }
}

fn zone(i: usize) -> AvailabilityZoneId {
    format!("az-{}", i % 5).parse().expect("it is a valid id")
}

fn step(count: u32, accelerators: u64) -> Step {
    let need = Resources { cpu_milli: 1000 * accelerators, memory_mb: 100, accelerators };
    Step { count, need, estimate: Duration::from_secs(5), ..Step::default() }
}

fn id(i: usize) -> BackendServerId {
    format!("i-{:010x}", (i as u64).wrapping_mul(0x9e37_79b9) & 0xff_ffff_ffff).parse().expect("it is a valid id")
}

fn info(i: usize) -> ServerInfo {
    let rack: Arc<str> = Arc::from(format!("r{}-{}", i % 5, i / IN_RACK / 5));
    ServerInfo {
        service: ServiceId::from(SERVICE),
        availability_zone: zone(i),
        labels: vec![Arc::clone(&rack), Arc::from("a")],
        rack,
        address: ServerAddress::from(format!("10.1.{}.{}:8648", i / 250, i % 250).as_str()),
        capacity: Resources { cpu_milli: 32_000, memory_mb: 64_000, accelerators: ACCELERATORS },
        draining: false,
        remaining: None,
        incarnation: None,
    }
}

fn policy() -> Policy {
    let queue = |priority| QueuePolicy {
        priority,
        attempts: 4,
        stretch: 3.0,
        objective: Duration::from_secs(1000),
        service: ServiceId::from(SERVICE),
        permits: None,
    };
    let queues =
        [("urgent", 0), ("batch", 1), ("archive", 2)].map(|(name, priority)| (name.into(), queue(priority))).into();
    Policy { version: 1, queues, ..Policy::default() }
}
