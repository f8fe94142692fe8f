//! Throttling of best-effort tasks beside tasks that serve, and the number of serving tasks that may be absent.

mod common;

use common::{Fixture, Started, gang, job, job_in, step};
use jobs::Step;
use model::Duration;

/// A long-running step with a latency target.
fn serving(count: u32) -> Step {
    Step { long_running: true, target: Some(Duration::from_millis(100)), ..step(count, 4) }
}

/// A step whose tasks use capacity that others leave.
fn best_effort(count: u32) -> Step {
    Step { best_effort: true, ..step(count, 1) }
}

/// Returns one backend server with a serving task and a best-effort one.
fn both() -> (Fixture, Started, Started) {
    let mut fixture = Fixture::new(1);
    fixture.percent = 100;
    fixture.submit(job(1, vec![serving(1)]));
    let serving = fixture.start_all().remove(0);
    fixture.submit(job_in("archive", 2, vec![best_effort(1)]));
    let best_effort_task = fixture.start_all().remove(0);
    (fixture, serving, best_effort_task)
}

/// Delivers listings every 0.7 s that show these tail latencies; returns the best-effort task's throttle in percent
/// after each.
fn throttle_after_listings(
    fixture: &mut Fixture,
    serving: &Started,
    best_effort_task: &Started,
    latencies_ms: &[f64],
) -> Vec<u32> {
    let percent_after = |latency_ms: &f64| {
        fixture.latency_ms.insert(serving.task, *latency_ms);
        fixture.advance(700);
        fixture.start_all();
        fixture.throttle_percent.get(&best_effort_task.task).copied().unwrap_or(100)
    };
    latencies_ms.iter().map(percent_after).collect()
}

#[test]
fn a_missed_target_throttles_best_effort_tasks_to_zero_within_four_listings() {
    let (mut fixture, serving, best_effort_task) = both();
    let percents = throttle_after_listings(&mut fixture, &serving, &best_effort_task, &[150.0; 4]);
    assert_eq!(percents, [40, 16, 0, 0]);
}

#[test]
fn best_effort_tasks_speed_up_in_small_steps_once_targets_are_met_easily() {
    let (mut fixture, serving, best_effort_task) = both();
    let percents = throttle_after_listings(&mut fixture, &serving, &best_effort_task, &[150.0, 80.0, 50.0, 50.0, 95.0]);
    assert_eq!(percents, [40, 40, 50, 60, 48]);
}

#[test]
fn best_effort_tasks_work_at_full_speed_once_nothing_serves_beside_them() {
    let (mut fixture, serving, best_effort_task) = both();
    throttle_after_listings(&mut fixture, &serving, &best_effort_task, &[150.0, 150.0]);
    let now = fixture.now;
    fixture.scheduler.cancel(serving.task.occurrence.job, now);
    fixture.complete(&serving, scheduler::CompletionKind::Stopped);
    fixture.advance(700);
    fixture.start_all();
    assert_eq!(fixture.throttle_percent[&best_effort_task.task], 100);
}

#[test]
fn best_effort_tasks_spread_over_backend_servers_that_serve_nothing() {
    let mut fixture = Fixture::new(4);
    fixture.submit(job(1, vec![serving(1)]));
    let serving_server = fixture.start_all().remove(0).server;
    fixture.submit(job_in("archive", 2, vec![best_effort(3)]));
    let mut servers: Vec<_> = fixture.start_all().into_iter().map(|s| s.server).collect();
    servers.sort();
    servers.dedup();
    assert_eq!(servers.len(), 3);
    assert!(!servers.contains(&serving_server));
}

#[test]
fn a_task_that_is_not_ready_yet_counts_as_absent() {
    let mut fixture = Fixture::new(2);
    fixture.percent = 0;
    let serving = Step { max_absent: Some(1), long_running: true, ..step(2, 8) };
    fixture.submit(job_in("archive", 1, vec![serving]));
    assert_eq!(fixture.start_all().len(), 2);
    fixture.advance(500);
    fixture.submit(job_in("urgent", 2, vec![gang(1, 8)]));
    fixture.start_all();
    assert!(fixture.stops.is_empty(), "both are still starting");
    fixture.percent = 100;
    fixture.advance(500);
    fixture.start_all();
    assert_eq!(fixture.stops.len(), 1, "one may be absent");
}
