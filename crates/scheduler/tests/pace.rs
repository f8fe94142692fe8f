//! Best-effort tasks beside tasks that serve, and how many of the latter may be away.

mod common;

use common::{Fixture, Started, gang, job, job_in, step};
use jobs::Step;
use model::Duration;

/// A long-running step with a latency target.
fn serving(count: u32) -> Step {
    Step { long_running: true, target: Some(Duration::from_millis(100)), ..step(count, 4) }
}

/// A step whose tasks live on what others leave.
fn best_effort(count: u32) -> Step {
    Step { best_effort: true, ..step(count, 1) }
}

/// One backend server with a serving task and a best-effort one.
fn both() -> (Fixture, Started, Started) {
    let mut fixture = Fixture::new(1);
    fixture.percent = 100;
    fixture.submit(job(1, vec![serving(1)]));
    let serving = fixture.start_all().remove(0);
    fixture.submit(job_in("archive", 2, vec![best_effort(1)]));
    let filler = fixture.start_all().remove(0);
    (fixture, serving, filler)
}

/// Listings come every half second and show this tail latency; returns how fast the best-effort task works after each.
fn throttle_percent(fixture: &mut Fixture, serving: &Started, filler: &Started, latencies_ms: &[f64]) -> Vec<u32> {
    let pace = |latency_ms: &f64| {
        fixture.latency_ms.insert(serving.task, *latency_ms);
        fixture.advance(700);
        fixture.start_all();
        fixture.throttle_percent.get(&filler.task).copied().unwrap_or(100)
    };
    latencies_ms.iter().map(pace).collect()
}

#[test]
fn a_target_that_is_missed_slows_best_effort_tasks_to_a_halt_within_four_listings() {
    let (mut fixture, serving, filler) = both();
    let slowed = throttle_percent(&mut fixture, &serving, &filler, &[150.0; 4]);
    assert_eq!(slowed, [40, 16, 0, 0]);
}

#[test]
fn best_effort_tasks_go_faster_in_small_steps_once_targets_are_met_with_ease() {
    let (mut fixture, serving, filler) = both();
    let after = throttle_percent(&mut fixture, &serving, &filler, &[150.0, 80.0, 50.0, 50.0, 95.0]);
    assert_eq!(after, [40, 40, 50, 60, 48]);
}

#[test]
fn best_effort_tasks_work_at_full_speed_once_nothing_serves_beside_them() {
    let (mut fixture, serving, filler) = both();
    throttle_percent(&mut fixture, &serving, &filler, &[150.0, 150.0]);
    let now = fixture.now;
    fixture.scheduler.cancel(serving.task.occurrence.job, now);
    fixture.complete(&serving, scheduler::CompletionKind::Stopped);
    fixture.advance(700);
    fixture.start_all();
    assert_eq!(fixture.throttle_percent[&filler.task], 100);
}

#[test]
fn best_effort_tasks_spread_over_backend_servers_that_serve_nothing() {
    let mut fixture = Fixture::new(4);
    fixture.submit(job(1, vec![serving(1)]));
    let serves = fixture.start_all().remove(0).server;
    fixture.submit(job_in("archive", 2, vec![best_effort(3)]));
    let mut places: Vec<_> = fixture.start_all().into_iter().map(|s| s.server).collect();
    places.sort();
    places.dedup();
    assert_eq!(places.len(), 3);
    assert!(!places.contains(&serves));
}

#[test]
fn a_task_that_is_not_at_work_yet_counts_as_away() {
    let mut fixture = Fixture::new(2);
    fixture.percent = 0;
    let serving = Step { max_absent: Some(1), long_running: true, ..step(2, 8) };
    fixture.submit(job_in("archive", 1, vec![serving]));
    assert_eq!(fixture.start_all().len(), 2);
    fixture.advance(500);
    fixture.submit(job_in("urgent", 2, vec![gang(1, 8)]));
    fixture.start_all();
    assert!(fixture.stops.is_empty(), "both are still coming up");
    fixture.percent = 100;
    fixture.advance(500);
    fixture.start_all();
    assert_eq!(fixture.stops.len(), 1, "one may be away");
}
