//! Backend servers that restart under their ids after a crash.
//!
//! Guards against done runs that are started again, and following steps that never start. A new incarnation numbers its
//! completions from 1 again while the highest serial number received was kept by id: lower completions were
//! acknowledged without being processed, and their runs counted as lost.

mod common;

use common::{Fixture, info, job_in, run_number, server_id, step};
use jobs::{JobState, Step};
use model::BackendServerId;
use scheduler::{CompletionKind, ServerInfo};

/// Returns a backend server that listed six completions, all acknowledged, and restarted after a crash.
fn restarted() -> (Fixture, BackendServerId) {
    let mut fixture = Fixture::new(1);
    let server = fixture.newest();
    fixture.submit(job_in("urgent", 1, vec![step(6, 1)]));
    for started in fixture.start_all() {
        fixture.complete(&started, CompletionKind::Done);
    }
    fixture.store_all();
    assert_eq!((fixture.state(1), fixture.scheduler.acknowledged_serial(&server)), (Some(JobState::Succeeded), 6));
    fixture.crash_and_restart(&server);
    (fixture, server)
}

#[test]
fn a_run_done_in_the_next_incarnation_is_not_repeated() {
    let (mut fixture, server) = restarted();
    assert_eq!(fixture.scheduler.acknowledged_serial(&server), 0, "it has listed no completion");
    fixture.submit(job_in("urgent", 2, vec![step(1, 1)]));
    let started = fixture.start_all();
    fixture.advance(1000);
    fixture.complete(&started[0], CompletionKind::Done);
    fixture.advance(1000);
    assert!(fixture.start_all().is_empty(), "it is started again");
    assert_eq!(fixture.state(2), Some(JobState::Succeeded));
    assert_eq!(fixture.scheduler.acknowledged_serial(&server), 1);
}

#[test]
fn the_next_step_starts_once_the_first_is_done_in_the_next_incarnation() {
    let (mut fixture, _) = restarted();
    let second = Step { after: vec![0], ..step(2, 1) };
    fixture.submit(job_in("urgent", 2, vec![step(2, 1), second]));
    let first = fixture.start_all();
    fixture.advance(1000);
    for started in &first {
        fixture.complete(started, CompletionKind::Done);
    }
    let next = fixture.start_all();
    assert_eq!(next.iter().map(|started| started.task.step).collect::<Vec<_>>(), [1, 1]);
}

const JOB: u64 = 7;

/// Returns a task that takes a whole backend server, on one that restarts under its id after each crash.
fn with_one_task() -> (Fixture, BackendServerId) {
    let mut fixture = Fixture::new(1);
    fixture.submit(job_in("urgent", JOB, vec![step(1, 8)]));
    (fixture, server_id(0))
}

#[test]
fn crashes_are_charged_though_the_id_stays() {
    let (mut fixture, server) = with_one_task();
    let crashes = (0..10).take_while(|_| {
        // The task avoids the backend server for a while.
        fixture.advance(3500);
        let started = fixture.start_all();
        fixture.crash_and_restart(&server);
        !started.is_empty()
    });
    assert_eq!(crashes.count(), 3);
    assert_eq!(fixture.state(JOB), Some(JobState::Failed));
}

#[test]
fn a_crash_detected_after_the_lease_expired_is_charged_though_the_id_stays() {
    let (mut fixture, server) = with_one_task();
    for _ in 0..3 {
        fixture.advance(3500);
        assert_eq!(fixture.start_all().len(), 1);
        fixture.cut_past_lease(&server);
        fixture.reconnect(&server);
        fixture.crash_and_restart(&server);
    }
    fixture.store_all();
    assert_eq!(fixture.state(JOB), Some(JobState::Failed));
}

#[test]
fn an_expired_lease_is_no_crash_if_the_same_incarnation_responds_again() {
    let (mut fixture, server) = with_one_task();
    for _ in 0..6 {
        assert_eq!(fixture.start_all().len(), 1);
        fixture.cut_past_lease(&server);
        fixture.reconnect(&server);
        fixture.advance(100);
    }
    assert_eq!(fixture.state(JOB), Some(JobState::Running));
}

/// The stored placement names its incarnation, so the run is there or has ended.
#[test]
fn a_run_placed_in_an_earlier_incarnation_by_an_earlier_scheduler_starts_again_at_once() {
    let (mut fixture, server) = with_one_task();
    assert_eq!(fixture.start_all().len(), 1);
    fixture.restart_unnoticed(&server);
    fixture.elect_next();
    fixture.advance(3100);
    let again = fixture.start_all();
    assert_eq!(again.iter().map(run_number).collect::<Vec<_>>(), [2]);
    for _ in 0..4 {
        fixture.restart_unnoticed(&server);
        fixture.elect_next();
        fixture.advance(3100);
        fixture.start_all();
    }
    assert_eq!(fixture.state(JOB), Some(JobState::Failed), "five crashes, each detected by the stored placement alone");
}

#[test]
fn nothing_is_placed_where_the_listed_incarnation_is_not_the_responding_one() {
    let (mut fixture, server) = with_one_task();
    let earlier_info = ServerInfo { incarnation: fixture.incarnation(&server), ..info(0) };
    fixture.scheduler.server_listed(server.clone(), earlier_info.clone(), fixture.now);
    fixture.crash_and_restart(&server);
    assert!(fixture.start_all().is_empty(), "the listed one may have another capacity");
    let next = ServerInfo { incarnation: fixture.incarnation(&server), ..earlier_info };
    fixture.scheduler.server_listed(server, next, fixture.now);
    assert_eq!(fixture.start_all().len(), 1);
}

#[test]
fn a_draining_incarnation_has_not_crashed_when_the_next_one_responds() {
    let (mut fixture, server) = with_one_task();
    for _ in 0..6 {
        let here = ServerInfo { incarnation: fixture.incarnation(&server), ..info(0) };
        fixture.scheduler.server_listed(server.clone(), here.clone(), fixture.now);
        assert_eq!(fixture.start_all().len(), 1);
        let draining = ServerInfo { draining: true, ..here };
        fixture.scheduler.server_listed(server.clone(), draining, fixture.now);
        fixture.crash_and_restart(&server);
    }
    assert_eq!(fixture.state(JOB), Some(JobState::Running));
}
