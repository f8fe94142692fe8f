//! Fast and slow backend servers: their speeds are estimated from their runs and used to place urgent work.

mod common;

use common::{
    fleet::{Fleet, a_third_slow, train},
    gang, job_in, server_id, step,
};
use model::{BackendServerId, Duration};
use scheduler::CompletionKind;

#[test]
fn urgent_gangs_avoid_a_slow_third_of_the_fleet() {
    let mut fleet = Fleet::new(&a_third_slow(12));
    train(&mut fleet, 2);
    let summary = fleet.fixture.scheduler.speeds(fleet.fixture.now);
    assert!(summary.in_use && summary.known == 12 && summary.spread > 2.0, "{summary:?}");
    assert!(summary.slowest[0].factor > 1.3 && summary.slowest[0].age_ms.is_some(), "{summary:?}");
    for _ in 0..5 {
        let servers = fleet.run("urgent", gang(6, 8), 1.0);
        assert!(fleet.slowest(&servers) < 1.0, "{servers:?}");
    }
}

/// A gang ends as one: only the progress of its members tells them apart.
#[test]
fn members_of_gangs_are_measured_by_their_progress() {
    let mut fleet = Fleet::new(&a_third_slow(12));
    for _ in 0..4 {
        fleet.run("urgent", gang(12, 8), 1.3);
    }
    let factors: Vec<f64> = (0..12).map(|i| fleet.report(i).factor).collect();
    for (i, factor) in factors.iter().enumerate() {
        assert!(if i % 3 == 1 { *factor > 1.3 } else { *factor < 1.0 }, "{i}: {factors:?}");
    }
}

/// A gang wider than the fast part starts at once, with as few slow backend servers as possible.
#[test]
fn a_gang_that_just_fits_uses_slow_servers_too() {
    let mut fleet = Fleet::new(&a_third_slow(12));
    train(&mut fleet, 2);
    let servers = fleet.run("urgent", gang(12, 8), 1.0);
    assert_eq!(servers.len(), 12);
}

#[test]
fn equal_speeds_change_nothing_however_far_declared_times_are_off() {
    let mut fleet = Fleet::new(&[1.0; 12]);
    train(&mut fleet, 9);
    for i in 0..12 {
        let factor = fleet.report(i).factor;
        assert!((0.87..1.15).contains(&factor), "{i}: {factor}");
    }
}

#[test]
fn swapped_speeds_are_estimated_within_twenty_completions() {
    let mut fleet = Fleet::new(&a_third_slow(12));
    train(&mut fleet, 20);
    for factor in fleet.factors.values_mut() {
        *factor = if *factor > 1.0 { 0.7 } else { 1.7 };
    }
    train(&mut fleet, 20);
    for i in 0..12 {
        let factor = fleet.report(i).factor;
        assert!(if i % 3 == 1 { factor < 0.9 } else { factor > 1.0 }, "{i}: {factor}");
    }
}

/// A few runs take seven times as long, wherever they are.
#[test]
fn a_single_long_run_makes_no_backend_server_slow() {
    let mut fleet = Fleet::new(&[1.0; 12]);
    train(&mut fleet, 3);
    fleet.factors.insert(server_id(4), 7.0);
    train(&mut fleet, 1);
    fleet.factors.insert(server_id(4), 1.0);
    assert!(fleet.report(4).factor < 1.5, "{}", fleet.report(4).factor);
    train(&mut fleet, 4);
    assert!(fleet.report(4).factor < 1.2, "{}", fleet.report(4).factor);
}

#[test]
fn a_backend_server_that_fails_all_runs_at_once_does_not_look_fast() {
    let mut fleet = Fleet::new(&[1.0; 4]);
    train(&mut fleet, 3);
    for _ in 0..3 {
        fleet.fixture.submit(job_in("batch", fleet.next_job, vec![step(4, 8)]));
        fleet.next_job += 1;
        for start in fleet.fixture.start_all() {
            let kind = if start.server == server_id(0) { CompletionKind::Failed } else { CompletionKind::Done };
            fleet.fixture.now = fleet.fixture.now + Duration::from_millis(5);
            fleet.fixture.complete(&start, kind);
        }
    }
    assert!(fleet.report(0).factor > 0.85, "{}", fleet.report(0).factor);
}

/// The next incarnation may be on another machine with another speed.
#[test]
fn the_estimate_of_the_next_incarnation_starts_anew() {
    let mut fleet = Fleet::new(&a_third_slow(12));
    train(&mut fleet, 4);
    assert!(fleet.report(1).factor > 1.3);
    fleet.fixture.crash_and_restart(&server_id(1));
    assert_eq!(fleet.report(1).runs, 0);
}

/// A new scheduler restores running tasks without their start times. Were they counted from its election, those with
/// more progress would look fast.
#[test]
fn runs_of_an_earlier_scheduler_are_measured_from_their_first_listing() {
    let mut fleet = Fleet::new(&[1.0; 12]);
    fleet.fixture.submit(job_in("urgent", 1, vec![step(12, 8)]));
    let open_runs = fleet.fixture.start_all();
    fleet.fixture.percent = 0;
    fleet.fixture.elect_next();
    let is_even = |id: &BackendServerId| (0..12).step_by(2).any(|i| server_id(i) == *id);
    for base_percent in [0, 40] {
        fleet.fixture.now = fleet.fixture.now + Duration::from_millis(800);
        fleet.deliver_listings(&open_runs, |id| base_percent + if is_even(id) { 15 } else { 45 });
    }
    for i in 0..12 {
        let report = fleet.report(i);
        assert!((0.9..1.1).contains(&report.factor) && report.runs > 0, "{i}: {report:?}");
    }
}

/// Guards against a step that ends late because of one task: the task's run is lost or fails, and it starts again on
/// one of the slowest backend servers while fast ones are free. The job's next step waits for it.
#[test]
fn the_last_task_of_a_step_starts_again_on_a_fast_server() {
    let mut fleet = Fleet::new(&a_third_slow(12));
    train(&mut fleet, 2);
    for i in 0..3 {
        // The other tasks fill the backend servers before the slow one with index 3 i + 1.
        let open_runs = fleet.start("batch", step(3 * i + 1, 8));
        for start in &open_runs[1..] {
            fleet.fixture.complete(start, CompletionKind::Done);
        }
        // Other work takes what they have left, so that the next one in order is the slow one.
        let others = if i > 0 { fleet.start("batch", step(3 * i, 8)) } else { Vec::new() };
        fleet.fixture.complete(&open_runs[0], CompletionKind::Failed);
        let again = fleet.fixture.start_all();
        assert_eq!(again.len(), 1);
        assert!(fleet.factors[&again[0].server] < 1.0, "{}", again[0].server);
        for start in others.iter().chain(&again) {
            fleet.fixture.complete(start, CompletionKind::Done);
        }
        fleet.fixture.store_all();
    }
}
