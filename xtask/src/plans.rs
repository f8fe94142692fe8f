//! Measures the time of a plan of the elected scheduler, by the numbers of backend servers and of waiting groups.

use std::{fmt::Write, sync::Arc, time::Instant};

use jobs::{ConfigurationVersion, Fence, Job, JobId, QueuePolicy, Resources, ServiceId, Step};
use model::{AvailabilityZoneId, BackendServerId, CustomerId, Duration, Moment, Revision};
use scheduler::{
    CustomerPolicy, EvacuatedBy, Listing, Order, Policy, RunningTask, Scheduler, ServerAddress, ServerInfo, StartReply,
    Timing, Tuning,
};

const SERVICE: &str = "service";
/// Backend servers of a rack, as on the platform's largest site.
const SERVERS_PER_RACK: usize = 20;
/// Accelerators of a backend server, as on the platform's largest site.
const ACCELERATORS: u64 = 8;
/// Share of the accelerators in use before the measurements, in percent. The rest is within the capacity that is
/// reserved for urgent work, so that other work has to wait.
const USED_PERCENT: u64 = 70;
/// Largest number of tasks of a waiting job.
const WAITING_JOB_TASKS: u32 = 100;
/// Number of customers, as on the platform's largest site. Jobs are submitted by one after the other.
const CUSTOMERS: u64 = 110;
/// Tasks of the urgent job that a plan places.
const PLACED_TASKS: u32 = 64;
/// Repetitions of a measurement, whose median is printed.
const REPETITIONS: usize = 41;

/// Measures all sizes and returns the table.
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
            let mut fixture = Fixture::new(servers, Tuning::default());
            fixture.fill();
            fixture.add_waiting(waiting);
            let idle = median(|| fixture.time_plan());
            let completed = median(|| fixture.time_completion());
            let placed = median(|| fixture.time_placing());
            let evacuated = median(|| fixture.time_evacuating());
            let preempting = Fixture::full(servers, waiting).time_preempting();
            let _ = writeln!(
                table,
                "{servers:>15} {waiting:>15} {idle:>20.1} {completed:>20.1} {placed:>20.1} {preempting:>20.1} \
                 {evacuated:>20.1}"
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

/// A scheduler whose backend servers accept every start at once.
struct Fixture {
    scheduler: Scheduler,
    now: Moment,
    revision: u64,
    next_job: u64,
    servers: usize,
    serial: u64,
}

impl Fixture {
    fn new(servers: usize, tuning: Tuning) -> Fixture {
        let now = Moment::from_millis(1000);
        let mut scheduler = Scheduler::new(Fence(10), now, Timing { tuning, ..Timing::default() }, policy());
        for i in 0..servers {
            scheduler.server_listed(id(i), info(i), now);
            scheduler.lease_sent(&id(i), Timing::default().lease, now);
            scheduler.listing(&id(i), &Listing::default(), now, now);
        }
        Fixture { scheduler, now, revision: 1, next_job: 1, servers, serial: 0 }
    }

    /// Creates a fixture whose accelerators are all used by work of low priority, with more such work waiting.
    fn full(servers: usize, waiting: u32) -> Fixture {
        let mut fixture = Fixture::new(servers, Tuning { headroom: Some(0.0), ..Tuning::default() });
        let tasks = servers as u64 * ACCELERATORS;
        for _ in 0..tasks / 50 {
            fixture.submit("batch", 50);
        }
        fixture.plan();
        fixture.store_and_reply();
        fixture.add_waiting(waiting);
        fixture
    }

    /// Measures a plan that preempts work for an urgent gang.
    fn time_preempting(&mut self) -> f64 {
        let id = self.submit_step("urgent", Step { gang: true, same_rack: true, ..step(8, 8) });
        let took = self.plan();
        self.scheduler.cancel(id, self.now);
        took
    }

    /// Fills most accelerators with tasks that keep running.
    fn fill(&mut self) {
        let tasks = self.servers as u64 * ACCELERATORS * USED_PERCENT / 100;
        for _ in 0..tasks / 50 {
            self.submit("urgent", 50);
        }
        self.plan();
        self.store_and_reply();
    }

    /// Submits work that has to wait.
    fn add_waiting(&mut self, groups: u32) {
        for _ in 0..groups.div_ceil(WAITING_JOB_TASKS) {
            self.submit("archive", WAITING_JOB_TASKS.min(groups));
        }
        self.plan();
        self.store_and_reply();
    }

    fn submit(&mut self, queue: &str, count: u32) -> JobId {
        self.submit_step(queue, step(count, 1))
    }

    fn submit_step(&mut self, queue: &str, step: Step) -> JobId {
        // Ids are spread over their whole range, as those of callers are.
        let id = JobId(self.next_job.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let customer = Some(customer(self.next_job % CUSTOMERS));
        self.next_job += 1;
        let (queue, text) = (queue.into(), Arc::from("text"));
        let accepted_ms = self.now.millis();
        self.scheduler.add_job(Job {
            id,
            queue,
            policy: None,
            customer,
            text,
            steps: vec![step],
            schedule: None,
            accepted_ms,
        });
        id
    }

    /// Makes a plan and returns its duration in microseconds.
    fn plan(&mut self) -> f64 {
        self.now = self.now + Duration::from_millis(4);
        let started_at = Instant::now();
        self.scheduler.plan(self.now, self.now.millis());
        started_at.elapsed().as_secs_f64() * 1e6
    }

    /// Completes all pending writes and replies to all orders to start. Returns the started runs.
    fn store_and_reply(&mut self) -> Vec<(BackendServerId, jobs::TaskId, jobs::RunNumber)> {
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

    /// Measures a plan without any change since the previous one.
    fn time_plan(&mut self) -> f64 {
        self.plan();
        self.plan()
    }

    /// Measures a plan after a backend server has listed a completion.
    fn time_completion(&mut self) -> f64 {
        self.submit("urgent", 1);
        self.plan();
        let (server, task, run) = self.store_and_reply().pop().expect("there is free capacity for urgent work");
        self.serial += 1;
        let completion = scheduler::Completion {
            serial: self.serial,
            task,
            run,
            kind: scheduler::CompletionKind::Done,
            checkpoint: None,
        };
        let listing = Listing {
            running: Vec::<RunningTask>::new(),
            completions: vec![completion],
            more_completions: true,
            ..Listing::default()
        };
        self.scheduler.listing(&server, &listing, self.now, self.now);
        let took = self.plan();
        self.store_and_reply();
        took
    }

    /// Measures a plan that places an urgent job, and cancels the job.
    fn time_placing(&mut self) -> f64 {
        let id = self.submit("urgent", PLACED_TASKS);
        let took = self.plan();
        self.scheduler.cancel(id, self.now);
        self.store_and_reply();
        took
    }

    /// Measures the evacuation of an availability zone until an urgent job is placed elsewhere. The job had been
    /// placed before, but its starts were not ordered.
    fn time_evacuating(&mut self) -> f64 {
        let id = self.submit("urgent", PLACED_TASKS);
        self.plan();
        let zone = zone(0);
        let started_at = Instant::now();
        self.scheduler.evacuate(&zone, EvacuatedBy::Platform, self.now);
        let evacuating = started_at.elapsed().as_secs_f64() * 1e6;
        let took = evacuating + self.plan();
        self.scheduler.end_evacuation(&zone, EvacuatedBy::Platform);
        self.scheduler.cancel(id, self.now);
        self.store_and_reply();
        took
    }
}

fn zone(i: usize) -> AvailabilityZoneId {
    format!("az-{}", i % 5).parse().expect("a valid id")
}

fn customer(i: u64) -> CustomerId {
    format!("c-{i:03}").parse().expect("a valid id")
}

fn step(count: u32, accelerators: u64) -> Step {
    let need = Resources { cpu_milli: 1000 * accelerators, memory_mb: 100, accelerators };
    Step { count, need, estimate: Duration::from_secs(5), ..Step::default() }
}

fn id(i: usize) -> BackendServerId {
    format!("i-{:010x}", (i as u64).wrapping_mul(0x9e37_79b9) & 0xff_ffff_ffff).parse().expect("a valid id")
}

fn info(i: usize) -> ServerInfo {
    let rack: Arc<str> = Arc::from(format!("r{}-{}", i % 5, i / SERVERS_PER_RACK / 5));
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
        version: ConfigurationVersion(1),
        priority,
        attempts: 4,
        stretch: 3.0,
        objective: Duration::from_secs(1000),
        service: ServiceId::from(SERVICE),
        permits: None,
    };
    let queues =
        [("urgent", 0), ("batch", 1), ("archive", 2)].map(|(name, priority)| (name.into(), queue(priority))).into();
    let customers = (0..CUSTOMERS).map(|i| (customer(i), CustomerPolicy::default())).collect();
    Policy { version: ConfigurationVersion(1), queues, customers }
}
