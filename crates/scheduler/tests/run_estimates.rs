//! Decisions that rest on estimated run times. Each test states the load that it guards against.

mod common;

use std::sync::Arc;

use common::{Fixture, Started, gang, info, job, job_in, server_id, step};
use jobs::{Job, Step};
use model::Duration;
use scheduler::{CompletionKind, Observation, ServerInfo, Timing, Tuning};

fn timing(run_times: bool) -> Timing {
    Timing { tuning: Tuning { run_times, ..Tuning::default() }, ..Timing::default() }
}

fn advance_clock(fixture: &mut Fixture, ms: u64) {
    fixture.now = fixture.now + Duration::from_millis(ms);
}

/// Runs a job whose tasks take `factor` times as long as declared, as often as given, to teach its queue's ratio.
fn teach(fixture: &mut Fixture, queue: &str, first_id: u64, times: u64, factor: f64) {
    for id in first_id..first_id + times {
        fixture.submit(job_in(queue, id, vec![step(1, 1)]));
        let started = fixture.start_all();
        advance_clock(fixture, (2000.0 * factor) as u64);
        started.iter().for_each(|run| fixture.complete(run, CompletionKind::Done));
        fixture.store_all();
    }
}

/// Returns how many runs are stopped when a backend server departs in `remaining_ms`, 3 s into a task that was declared
/// to take 2 s and reports `percent`.
fn stops_before_departure(run_times: bool, percent: u32, remaining_ms: u64) -> usize {
    let mut fixture = Fixture::with_timing(1, timing(run_times));
    fixture.submit(job(1, vec![step(1, 4)]));
    fixture.start_all();
    fixture.percent = percent;
    fixture.advance(3000);
    let (now, remaining) = (fixture.now, Some(Duration::from_millis(remaining_ms)));
    fixture.scheduler.server_listed(server_id(0), ServerInfo { draining: true, remaining, ..info(0) }, now);
    fixture.start_all();
    fixture.stops.len()
}

/// Backend servers depart with notices of 2 s. A run that has outlasted its declaration counted as about to end, and
/// then waited for a lease.
#[test]
fn a_run_without_progress_that_is_overdue_is_moved_before_a_departure() {
    assert_eq!(stops_before_departure(false, 0, 1000), 0);
    assert_eq!(stops_before_departure(true, 0, 1000), 1);
}

#[test]
fn a_run_whose_progress_fits_into_the_notice_is_not_moved() {
    assert_eq!(stops_before_departure(true, 75, 1200), 0);
    assert_eq!(stops_before_departure(true, 75, 800), 1);
}

/// Nothing is known about a run of an earlier scheduler but its siblings: it must not end by its declared duration.
#[test]
fn a_run_that_an_earlier_scheduler_started_is_judged_by_its_siblings() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job(1, vec![step(2, 8)]));
    let runs = fixture.start_all();
    fixture.elect_next();
    // Both make 10 % in a second: ten times 1 s, although 2 s are declared.
    for percent in [10, 20] {
        fixture.percent = percent;
        fixture.advance(1000);
    }
    let (now, remaining) = (fixture.now, Some(Duration::from_millis(4000)));
    let id = runs[0].server.clone();
    let info = ServerInfo { draining: true, remaining, ..info((0..2).find(|i| server_id(*i) == id).expect("it runs")) };
    fixture.scheduler.server_listed(id, info, now);
    fixture.start_all();
    assert_eq!(fixture.stops.len(), 1);
}

/// Returns whether an urgent gang stops work whose progress says that it ends at once.
fn preempts_ending_work(run_times: bool) -> bool {
    let mut fixture = Fixture::with_timing(2, timing(run_times));
    // They run three times as long as declared, and report progress only near their end.
    fixture.percent = 0;
    fixture.submit(job_in("archive", 1, vec![step(2, 8)]));
    let runs = fixture.start_all();
    for _ in 0..57 {
        fixture.advance(100);
    }
    fixture.percent = 97;
    fixture.advance(100);
    fixture.submit(job_in("urgent", 2, vec![gang(2, 8)]));
    fixture.start_all();
    assert_eq!(runs.len(), 2);
    !fixture.stops.is_empty()
}

#[test]
fn a_run_that_ends_sooner_than_a_stop_takes_is_spared() {
    assert!(!preempts_ending_work(true));
}

/// Two equal jobs compete for one backend server under a backlog. The first one's declared duration is three times too
/// low, as its first step has shown: by the declaration it is too late and goes behind, though it is in time.
fn first_started(run_times: bool) -> u64 {
    let mut fixture = Fixture::with_timing(1, timing(run_times));
    fixture.submit(job_in("batch", 1, vec![step(4, 1), Step { after: vec![0], ..step(1, 8) }]));
    let runs = fixture.start_all();
    assert_eq!(runs.len(), 4);
    advance_clock(&mut fixture, 6000);
    for run in &runs {
        fixture.complete(run, CompletionKind::Done);
    }
    // The job's objective is 3 * 4 s + 1 s by its declaration; from 39 s on it is too late. By its first step, it is
    // 3 * 8 s + 1 s, and it is in time until 75 s.
    advance_clock(&mut fixture, 45_000);
    let accepted_ms = fixture.now.millis();
    fixture.submit(Job { accepted_ms, ..job_in("batch", 2, vec![step(1, 8)]) });
    started_job(&fixture.start_all())
}

fn started_job(started: &[Started]) -> u64 {
    started[0].task.occurrence.job.0
}

#[test]
fn a_job_whose_declared_time_is_too_low_is_not_too_late_while_it_is_in_time() {
    assert_eq!(first_started(false), 2);
    assert_eq!(first_started(true), 1);
}

/// With honest declarations, siblings and queues, the order under a backlog is the one of declared durations.
#[test]
fn honest_declarations_change_no_order() {
    let order = |run_times: bool| {
        let mut fixture = Fixture::with_timing(1, timing(run_times));
        teach(&mut fixture, "batch", 100, 30, 1.06);
        let mut random = fastrand::Rng::with_seed(5);
        let declared: Vec<u64> = (0..20).map(|_| random.u64(500..4000)).collect();
        for (id, ms) in declared.iter().enumerate() {
            let estimate = Duration::from_millis(*ms);
            let accepted_ms = fixture.now.millis() + id as u64 * 10;
            let steps = vec![Step { estimate, ..step(2, 8) }];
            fixture.submit(Job { accepted_ms, ..job_in("batch", id as u64, steps) });
        }
        let mut order = Vec::new();
        for _ in 0..40 {
            let started = fixture.start_all();
            let id = started_job(&started);
            order.push(id);
            advance_clock(&mut fixture, declared[id as usize] * (95 + order.len() as u64 % 11) / 100);
            fixture.complete(&started[0], CompletionKind::Done);
        }
        order
    };
    assert_eq!(order(true), order(false));
}

/// A job whose tasks take three times as long gains more near its data, so they wait longer for capacity there.
#[test]
fn longer_tasks_wait_longer_for_capacity_near_their_data() {
    let started = |run_times: bool| {
        let mut fixture = Fixture::with_timing(5, timing(run_times));
        teach(&mut fixture, "urgent", 100, 60, 3.0);
        fixture.submit(job_in("urgent", 1, vec![step(4, 8)]));
        fixture.start_all();
        let data_rack = Some(Arc::clone(&info(0).rack));
        fixture.submit(job_in("urgent", 2, vec![Step { data_rack, ..step(2, 1) }]));
        fixture.start_all();
        advance_clock(&mut fixture, 4500);
        fixture.start_all().len()
    };
    assert!(started(false) > started(true), "{} {}", started(false), started(true));
}

#[test]
fn errors_are_observed_by_source() {
    let mut fixture = Fixture::new(1);
    fixture.submit(job(1, vec![step(1, 4)]));
    let runs = fixture.start_all();
    fixture.percent = 25;
    fixture.advance(1000);
    fixture.now = fixture.now + Duration::from_millis(3000);
    fixture.complete(&runs[0], CompletionKind::Done);
    let error = |observation: Observation| match observation {
        Observation::RunTimeError { source, thousandths } => Some((source, thousandths)),
        _ => None,
    };
    let errors: Vec<_> = fixture.scheduler.take_observations().into_iter().filter_map(error).collect();
    assert!(matches!(errors[..], [("declared", 680..=700), ("progress", 0..=30)]), "{errors:?}");
}
