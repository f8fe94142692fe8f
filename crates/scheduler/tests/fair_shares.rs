//! Fair shares between customers under load: a service that is short of capacity serves each customer by its share,
//! however much another one submits.

mod common;

use std::collections::BTreeMap;

use common::{Fixture, Started, gang, job_in, policy, step};
use jobs::{Job, JobId, Step};
use model::CustomerId;
use scheduler::{CompletionKind, CustomerPolicy, Timing, Tuning, Weight};

/// Interval of plans, in milliseconds.
const TICK_MS: u64 = 50;
/// Interval of checks that what is kept between plans is right, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 1000;
/// Accelerators of a backend server.
const PER_SERVER: u64 = 8;
/// Duration of every run, which is the declared one.
const RUN_MS: u64 = 2000;
/// Objective of the jobs of all queues: three times the declared duration and one second.
const OBJECTIVE_MS: u64 = 3 * RUN_MS + 1000;

fn customer(i: usize) -> CustomerId {
    format!("c{i}").parse().expect("it is a valid id")
}

/// A service on which jobs run for their declared duration.
struct Service {
    fixture: Fixture,
    open_runs: Vec<(u64, Started)>,
    /// Acceptance of the jobs with runs that have not ended, and the number of these runs.
    open_jobs: BTreeMap<JobId, (u64, u32)>,
    /// Whether each job that has ended was late, by customer.
    late: BTreeMap<Option<CustomerId>, Vec<bool>>,
    customers: BTreeMap<JobId, Option<CustomerId>>,
    next_job: u64,
}

impl Service {
    /// Creates a service with configured customers `c0`, `c1`, ... of these weights.
    fn new(servers: usize, fair_shares: bool, weights: &[f64]) -> Service {
        let tuning = Tuning { fair_shares, headroom: Some(0.0), ..Tuning::default() };
        let mut fixture = Fixture::with_timing(servers, Timing { tuning, ..Timing::default() });
        let customers = weights.iter().enumerate().map(|(i, &weight)| {
            let weight = Weight::new(weight).expect("it is positive and finite");
            (customer(i), CustomerPolicy { weight, ..CustomerPolicy::default() })
        });
        fixture.scheduler.set_policy(scheduler::Policy { customers: customers.collect(), ..policy() });
        let (open_runs, open_jobs) = (Vec::new(), BTreeMap::new());
        Service { fixture, open_runs, open_jobs, late: BTreeMap::new(), customers: BTreeMap::new(), next_job: 1 }
    }

    fn submit(&mut self, queue: &str, customer: Option<CustomerId>, step: Step) -> JobId {
        let id = JobId(self.next_job);
        self.next_job += 1;
        let accepted_ms = self.fixture.now.millis();
        self.open_jobs.insert(id, (accepted_ms, step.count));
        self.customers.insert(id, customer.clone());
        self.fixture.submit(Job { customer, accepted_ms, ..job_in(queue, id.0, vec![step]) });
        id
    }

    /// Lets a tick pass: ends the runs that are due and plans.
    fn tick(&mut self) {
        self.fixture.advance(TICK_MS);
        let now = self.fixture.now.millis();
        let (due, open_runs) = std::mem::take(&mut self.open_runs).into_iter().partition(|(end, _)| *end <= now);
        self.open_runs = open_runs;
        for (_, start) in due {
            self.end(&start, now);
        }
        let starts = self.fixture.start_all();
        self.open_runs.extend(starts.into_iter().map(|start| (now + RUN_MS, start)));
        if now.is_multiple_of(CHECK_INTERVAL_MS) {
            self.fixture.scheduler.check_kept(self.fixture.now).expect("what is kept equals what is recomputed");
        }
    }

    fn end(&mut self, start: &Started, now: u64) {
        self.fixture.complete(start, CompletionKind::Done);
        let id = start.task.occurrence.job;
        let (accepted_ms, runs) = self.open_jobs.get_mut(&id).expect("its runs have not all ended");
        *runs -= 1;
        if *runs == 0 {
            let late = now > *accepted_ms + OBJECTIVE_MS;
            self.late.entry(self.customers[&id].clone()).or_default().push(late);
            self.open_jobs.remove(&id);
        }
    }

    fn held_by(&self, is_counted: impl Fn(&Option<CustomerId>) -> bool) -> u64 {
        let counted = |(_, start): &&(u64, Started)| is_counted(&self.customers[&start.task.occurrence.job]);
        self.open_runs.iter().filter(counted).count() as u64
    }

    fn held(&self, i: usize) -> u64 {
        self.held_by(|id| *id == Some(customer(i)))
    }

    fn has_started(&self, id: JobId) -> bool {
        self.open_runs.iter().any(|(_, start)| start.task.occurrence.job == id)
    }
}

/// Plays a minute of urgent gangs of ten customers on 16 backend servers, of which the first one submits `surge` times
/// as much as the others. Without a surge, the gangs take seven tenths of the service. Returns the share of late jobs of
/// the other nine; jobs that have not ended within their objective count as late.
fn late_share_of_nine(surge: f64, fair_shares: bool) -> f64 {
    const SERVERS: usize = 16;
    const SIZES: [u32; 4] = [2, 4, 8, 16];
    let mut rng = fastrand::Rng::with_seed(7);
    let mut service = Service::new(SERVERS, fair_shares, &[1.0; 10]);
    let mean_size = SIZES.iter().sum::<u32>() as f64 / SIZES.len() as f64;
    let accelerator_ms = (SERVERS as u64 * PER_SERVER) as f64 * TICK_MS as f64;
    let jobs_per_tick = 0.7 * accelerator_ms / (mean_size * RUN_MS as f64) / 10.0;
    for _ in 0..60_000 / TICK_MS {
        for i in 0..10 {
            // Drawn for the nine first, so that they submit the same with and without the surge.
            let i = 9 - i;
            let rate = if i == 0 { jobs_per_tick * surge } else { jobs_per_tick };
            if rng.f64() < rate {
                let size = SIZES[rng.usize(..SIZES.len())];
                service.submit("urgent", Some(customer(i)), gang(size, 1));
            }
        }
        service.tick();
    }
    let now = service.fixture.now.millis();
    let overdue = service.open_jobs.iter().filter(|(_, (accepted_ms, _))| now > accepted_ms + OBJECTIVE_MS);
    let mut late: Vec<bool> =
        overdue.filter(|(id, _)| service.customers[*id] != Some(customer(0))).map(|_| true).collect();
    late.extend(service.late.iter().filter(|(id, _)| **id != Some(customer(0))).flat_map(|(_, late)| late));
    late.iter().filter(|late| **late).count() as f64 / late.len() as f64
}

/// Guards against a surge of one customer that delays all others: by deadline alone, its older jobs go before theirs.
#[test]
fn a_surge_of_one_customer_does_not_make_the_other_nine_late() {
    let calm = late_share_of_nine(1.0, true);
    let surge = late_share_of_nine(10.0, true);
    let by_deadline = late_share_of_nine(10.0, false);
    println!("late of nine: calm {calm:.3}, surge {surge:.3}, surge by deadline alone {by_deadline:.3}");
    assert!(surge <= calm + 0.02, "{surge} with a surge, {calm} without");
    assert!(by_deadline > 0.2, "{by_deadline}: the surge is too small to show anything");
}

/// Guards against a cost where shares have nothing to offer: while all that is ready fits, the same starts are made.
#[test]
fn nothing_changes_while_everything_fits() {
    let starts = |fair_shares| {
        let mut service = Service::new(8, fair_shares, &[1.0, 5.0, 1.0]);
        for tick in 0..100 {
            service.submit("urgent", Some(customer(tick % 3)), gang(1 + tick as u32 % 2, 1));
            service.tick();
            assert!(service.fixture.scheduler.shares().is_empty());
        }
        service.open_runs.iter().map(|(end, start)| (*end, start.server.clone(), start.task)).collect::<Vec<_>>()
    };
    assert_eq!(starts(true), starts(false));
}

/// Submits more work than fits of each customer, and returns the service when its first runs have been replaced twice.
fn saturated(weights: &[f64], customers: &[Option<CustomerId>]) -> Service {
    let mut service = Service::new(8, true, weights);
    for customer in customers {
        for _ in 0..100 {
            service.submit("batch", customer.clone(), step(4, 1));
        }
    }
    for _ in 0..2 * RUN_MS / TICK_MS + 5 {
        service.tick();
    }
    service
}

#[test]
fn capacity_is_divided_by_weight() {
    let service = saturated(&[1.0, 3.0, 4.0], &[Some(customer(0)), Some(customer(1)), Some(customer(2))]);
    assert_eq!([0, 1, 2].map(|i| service.held(i)), [8, 24, 32]);
    let reports = service.fixture.scheduler.shares();
    assert_eq!(reports.iter().map(|report| report.fair_share).collect::<Vec<_>>(), [0.125, 0.375, 0.5]);
    assert_eq!(reports.iter().map(|report| report.share_used).collect::<Vec<_>>(), [0.125, 0.375, 0.5]);
}

/// Guards against customers that gain by submitting under names that are not configured.
#[test]
fn all_work_without_a_configured_customer_counts_as_one_customer() {
    let unknown = |i: usize| Some(format!("unknown{i}").parse().expect("it is a valid id"));
    let service = saturated(&[1.0], &[None, unknown(1), unknown(2), Some(customer(0))]);
    assert_eq!(service.held(0), 32);
    assert_eq!(service.held_by(|id| *id != Some(customer(0))), 32);
}

/// Guards against capacity that stays idle for customers without work, and against one that keeps what was lent to it.
#[test]
fn an_unused_share_is_lent_and_comes_back_as_runs_end() {
    let mut service = Service::new(8, true, &[1.0, 1.0]);
    for _ in 0..100 {
        service.submit("urgent", Some(customer(0)), step(4, 1));
    }
    service.tick();
    assert_eq!(service.held(0), 64, "the whole service is lent");
    for _ in 0..100 {
        service.submit("urgent", Some(customer(1)), step(4, 1));
    }
    service.tick();
    assert_eq!(service.held(1), 0, "nothing is stopped within a priority");
    assert!(service.fixture.stops.is_empty());
    for _ in 0..RUN_MS / TICK_MS + 1 {
        service.tick();
    }
    assert_eq!((service.held(0), service.held(1)), (32, 32));
    assert!(service.fixture.stops.is_empty());
}

/// Returns how long a gang of half of the service waits, in milliseconds, while its own customer or another one keeps
/// submitting small jobs that are more than fit.
fn wait_of_a_large_gang(customer_of_small_jobs: usize, fair_shares: bool) -> u64 {
    let mut service = Service::new(8, fair_shares, &[1.0, 1.0, 1.0]);
    let mut gang_job = None;
    for tick in 0..400u64 {
        // Small jobs of two customers, so that their runs end at different times.
        for small in 0..3 {
            service.submit("batch", Some(customer(if small == 2 { 2 } else { customer_of_small_jobs })), step(1, 1));
        }
        if tick == 60 {
            // Members that each need half of a backend server do not fit between single tasks.
            gang_job = Some((tick, service.submit("batch", Some(customer(0)), gang(8, 4))));
        }
        service.tick();
        if let Some((since, _)) = gang_job.filter(|(_, id)| service.has_started(*id)) {
            return (tick - since) * TICK_MS;
        }
    }
    u64::MAX
}

/// Guards against a gang that never starts since small jobs take each accelerator that becomes free. It may be overtaken
/// for half of its slack; then the runs in its way need at most their duration.
#[test]
fn a_large_gang_is_overtaken_by_small_jobs_for_a_bounded_time() {
    let bound_ms = (OBJECTIVE_MS - RUN_MS) / 2 + 2 * RUN_MS;
    for customer_of_small_jobs in [0, 1] {
        let waited = wait_of_a_large_gang(customer_of_small_jobs, true);
        let by_deadline = wait_of_a_large_gang(customer_of_small_jobs, false);
        println!(
            "small jobs of c{customer_of_small_jobs}: the gang waited {waited} ms, by deadline alone {by_deadline} ms"
        );
        assert!(waited <= bound_ms, "small jobs of c{customer_of_small_jobs}: it waited {waited} ms");
    }
}

/// Guards against shares of an earlier scheduler's runs that are not counted after an election.
#[test]
fn a_new_scheduler_counts_the_runs_that_it_restores() {
    let mut service = saturated(&[1.0, 1.0], &[Some(customer(0)), Some(customer(1))]);
    let policy =
        scheduler::Policy { customers: [0, 1].map(|i| (customer(i), CustomerPolicy::default())).into(), ..policy() };
    service.fixture.elect_next();
    service.fixture.scheduler.set_policy(policy);
    service.fixture.start_all();
    let used: Vec<f64> = service.fixture.scheduler.shares().iter().map(|report| report.share_used).collect();
    assert_eq!(used, [0.5, 0.5]);
    service.fixture.scheduler.check_kept(service.fixture.now).expect("what is kept equals what is recomputed");
}
