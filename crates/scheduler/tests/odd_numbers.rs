//! Numbers from outside at the ends of their ranges. Guards against sums that overflow: a debug build panicked while it
//! held the scheduler, which ended the box, and a release build went on with a wrapped sum.

mod common;

use common::{Fixture, gang, info, job, job_in, policy, server_id, step};
use jobs::{GroupProgress, Job, JobId, OccurrenceId, Progress, Resources, RunNumber, Schedule, Step};
use model::{BackendServerId, Duration, Revision};
use scheduler::{CustomerPolicy, LastWrite, Listing, ServerInfo};

const LARGEST: Resources = Resources { cpu_milli: u64::MAX, memory_mb: u64::MAX, accelerators: u64::MAX };

fn list(fixture: &mut Fixture, i: usize, info: ServerInfo) {
    fixture.scheduler.server_listed(server_id(i), info, fixture.now);
}

/// Checks that an ordinary job still starts.
fn check_starts(fixture: &mut Fixture, what: &str) {
    fixture.advance(100);
    fixture.submit(job_in("urgent", 1, vec![step(1, 1)]));
    let started = fixture.start_all();
    assert!(started.iter().any(|start| start.task.occurrence.job == JobId(1)), "{what}");
}

#[test]
fn backend_servers_with_the_largest_capacity_stop_no_plan() {
    let mut fixture = Fixture::new(4);
    for i in 0..3 {
        list(&mut fixture, i, ServerInfo { capacity: LARGEST, ..info(i) });
    }
    check_starts(&mut fixture, "capacities are summed by rack, service and availability zone");
    assert!(fixture.scheduler.check_evacuation(&common::zone(0)).is_err(), "it is the only zone");
    for i in 0..3 {
        list(&mut fixture, i, info(i));
    }
    fixture.submit(job_in("urgent", 2, vec![step(40, 1)]));
    assert_eq!(fixture.start_all().len(), 31, "the capacities count as they are listed now");
}

#[test]
fn jobs_with_the_largest_needs_stop_no_plan() {
    let mut fixture = Fixture::new(4);
    let need = |step: Step| Step { need: LARGEST, ..step };
    fixture.submit(job(2, vec![need(gang(3, 1)), need(step(3, 1))]));
    fixture.submit(job(3, vec![need(step(5, 1))]));
    check_starts(&mut fixture, "needs are multiplied by tasks and summed by customer");
}

#[test]
fn a_gang_that_needs_nothing_is_placed() {
    let mut fixture = Fixture::new(8);
    fixture.submit(job(2, vec![Step { need: Resources::default(), ..gang(3, 0) }]));
    assert_eq!(fixture.start_all().len(), 3, "any number fits on each backend server");
}

#[test]
fn a_job_with_the_largest_estimates_stops_no_plan() {
    let mut fixture = Fixture::new(4);
    let long =
        |after: &[usize]| Step { estimate: Duration::from_millis(u64::MAX), after: after.to_vec(), ..step(2, 1) };
    fixture.submit(job(2, vec![long(&[]), long(&[0]), long(&[1])]));
    check_starts(&mut fixture, "estimates are summed along the longest chain");
    for _ in 0..5 {
        fixture.advance(500);
        fixture.start_all();
    }
}

#[test]
fn a_timed_job_at_the_end_of_time_stops_no_plan() {
    let mut fixture = Fixture::new(4);
    for (id, first_ms, interval_ms) in [(2, u64::MAX, 1), (3, u64::MAX - 1, u64::MAX), (4, 0, u64::MAX)] {
        let schedule = Some(Schedule { times: 3, first_ms, interval_ms });
        fixture.submit(Job { schedule, ..job(id, vec![step(1, 1)]) });
    }
    check_starts(&mut fixture, "due times and deadlines are sums");
}

#[test]
fn the_largest_limits_of_a_configuration_stop_no_plan() {
    let mut fixture = Fixture::new(4);
    let mut changed = policy();
    for queue in changed.queues.values_mut() {
        queue.objective = Duration::from_millis(u64::MAX);
        queue.stretch = f64::MAX;
        queue.attempts = u32::MAX;
    }
    let greedy = CustomerPolicy { guaranteed_accelerators: u64::MAX, ..CustomerPolicy::default() };
    for name in ["court", "office"] {
        changed.customers.insert(name.parse().expect("it is a valid id"), greedy.clone());
    }
    fixture.configure(changed);
    fixture.submit(job(2, vec![gang(2, 8), gang(40, 8)]));
    check_starts(&mut fixture, "objectives and guarantees are sums");
    assert!(fixture.scheduler.check_evacuation(&common::zone(0)).is_err());
}

#[test]
fn a_backend_server_whose_clock_is_at_its_end_is_still_followed() {
    let mut fixture = Fixture::new(4);
    let id: BackendServerId = server_id(3);
    let listing = Listing { incarnation: fixture.incarnation(&id), clock_ms: Some(u64::MAX), ..Listing::default() };
    fixture.scheduler.listing(&id, &listing, fixture.now, fixture.now);
    fixture.now = fixture.now + Duration::from_millis(1000);
    let written = LastWrite { after: None, server_clock_ms: Some(u64::MAX) };
    fixture.scheduler.server_unlisted(&id, written, fixture.now);
    check_starts(&mut fixture, "the age of an entry is computed from the clock");
}

#[test]
fn a_backend_server_that_drains_for_the_longest_time_is_left() {
    let mut fixture = Fixture::new(4);
    fixture.submit(job(2, vec![step(30, 1)]));
    fixture.start_all();
    let remaining = Some(Duration::from_millis(u64::MAX));
    list(&mut fixture, 0, ServerInfo { draining: true, remaining, ..info(0) });
    check_starts(&mut fixture, "the time that is left is compared with what the runs need");
}

#[test]
fn a_stored_run_with_the_largest_number_stops_no_plan() {
    let mut fixture = Fixture::new(4);
    fixture.submit(job(2, vec![step(1, 1)]));
    let group = GroupProgress { started: true, run: RunNumber(u64::MAX), ..GroupProgress::default() };
    let progress = Progress { groups: vec![vec![group]], failed: false };
    fixture.scheduler.restore(OccurrenceId { job: JobId(2), number: 0 }, progress, Revision(5));
    check_starts(&mut fixture, "the next run has the next number");
}
