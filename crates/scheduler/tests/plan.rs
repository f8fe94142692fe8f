//! Where and when work starts, and what is stopped for it.

mod common;

use std::sync::Arc;

use common::{Fixture, Started, gang, info, job, job_in, server_id, step};
use jobs::{JobId, Schedule, Step};
use scheduler::{CompletionKind, Order};

fn ids(started: &[Started]) -> Vec<u64> {
    let mut ids: Vec<u64> = started.iter().map(|started| started.task.occurrence.job.0).collect();
    ids.dedup();
    ids
}

fn stopped(fixture: &Fixture) -> Vec<u64> {
    let id = |order: &Order| order.subject().1.occurrence.job.0;
    fixture.stops.iter().map(id).collect()
}

#[test]
fn a_step_waits_for_the_steps_before_it() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job(1, vec![step(2, 1), Step { after: vec![0], ..step(1, 1) }]));
    let first = fixture.start_all();
    assert_eq!(first.len(), 2);
    fixture.complete(&first[0], CompletionKind::Done);
    assert!(fixture.start_all().is_empty(), "one task of the first step still runs");
    fixture.complete(&first[1], CompletionKind::Done);
    assert_eq!(fixture.start_all().len(), 1);
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job(1, vec![gang(3, 8)]));
    assert!(fixture.start_all().is_empty());
    fixture.add_server(2);
    assert_eq!(fixture.start_all().len(), 3);
}

#[test]
fn a_same_rack_gang_waits_for_a_rack_that_could_hold_it() {
    let mut fixture = Fixture::new(8);
    fixture.submit(job(1, vec![step(4, 8)]));
    let in_the_way = fixture.start_all();
    fixture.submit(job_in("urgent", 2, vec![gang(1, 1)]));
    fixture.start_all();
    fixture.submit(job(3, vec![Step { same_rack: true, ..gang(4, 8) }]));
    assert!(fixture.start_all().is_empty(), "neither rack is whole");
    for started in &in_the_way {
        fixture.complete(started, CompletionKind::Done);
    }
    let placed = fixture.start_all();
    assert_eq!(ids(&placed), [3]);
    let racks: std::collections::BTreeSet<usize> = placed
        .iter()
        .map(|s| (0..8).position(|i| server_id(i) == s.server).expect("its number is below 8") / 4)
        .collect();
    assert_eq!(racks.len(), 1);
}

#[test]
fn a_timed_job_never_starts_early() {
    let mut fixture = Fixture::new(1);
    let due = fixture.now.millis() + 1000;
    let schedule = Some(Schedule { times: 2, first_ms: due, interval_ms: 500 });
    fixture.submit(jobs::Job { schedule, ..job(1, vec![step(1, 1)]) });
    fixture.advance(990);
    assert!(fixture.start_all().is_empty());
    fixture.advance(100);
    assert_eq!(fixture.start_all().len(), 1, "the second time is not due yet");
    fixture.advance(500);
    assert_eq!(fixture.start_all().len(), 1);
}

#[test]
fn labels_and_spread_limits_hold() {
    let mut fixture = Fixture::new(4);
    fixture.submit(job(1, vec![Step { max_per_server: Some(1), ..step(6, 1) }]));
    assert_eq!(fixture.start_all().len(), 4);
    fixture.submit(job(2, vec![Step { label: Some(Arc::from("none-has-this")), ..step(1, 1) }]));
    assert!(fixture.start_all().is_empty());
}

#[test]
fn an_urgent_job_preempts_the_cheapest_run() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job_in("archive", 1, vec![step(1, 8)]));
    fixture.start_all();
    fixture.submit(job_in("archive", 2, vec![Step { checkpoints: true, ..step(1, 8) }]));
    let checkpoint = fixture.start_all();
    assert_eq!(ids(&checkpoint), [2]);
    fixture.advance(3000);
    fixture.submit(job_in("urgent", 3, vec![gang(1, 8)]));
    assert!(fixture.start_all().is_empty(), "the capacity is not free yet");
    assert_eq!(stopped(&fixture), [2], "it resumes from its checkpoint; the other would lose 3 s of work");
    fixture.complete_with(&checkpoint[0], CompletionKind::Stopped, Some("half"));
    assert_eq!(ids(&fixture.start_all()), [3]);
}

#[test]
fn a_stopped_run_resumes_from_its_checkpoint() {
    let mut fixture = Fixture::new(1);
    fixture.submit(job(1, vec![Step { checkpoints: true, ..step(1, 8) }]));
    let first = fixture.start_all();
    fixture.complete_with(&first[0], CompletionKind::Lapsed, Some("half"));
    let again = fixture.start_all();
    assert_eq!(again[0].checkpoint.as_deref(), Some("half"));
}

#[test]
fn a_draining_server_gets_nothing_and_is_emptied_in_time() {
    let mut fixture = Fixture::new(1);
    fixture.submit(job(1, vec![step(1, 1)]));
    fixture.start_all();
    let mut draining_info = info(0);
    draining_info.draining = true;
    draining_info.remaining = Some(model::Duration::from_millis(500));
    fixture.scheduler.server_listed(server_id(0), draining_info, fixture.now);
    fixture.submit(job(2, vec![step(1, 1)]));
    assert!(fixture.start_all().is_empty());
    assert_eq!(stopped(&fixture), [1], "its 2 s of work cannot end in 0.5 s");
}

#[test]
fn a_cancelled_job_is_stopped_and_never_starts_again() {
    let mut fixture = Fixture::new(1);
    fixture.submit(job(1, vec![step(1, 1), Step { after: vec![0], ..step(1, 1) }]));
    let first = fixture.start_all();
    fixture.scheduler.cancel(JobId(1), fixture.now);
    fixture.start_all();
    assert_eq!(stopped(&fixture), [1]);
    fixture.complete(&first[0], CompletionKind::Done);
    assert!(fixture.start_all().is_empty());
}

#[test]
fn deferrable_work_leaves_capacity_for_urgent_jobs() {
    let mut fixture = Fixture::new(4);
    fixture.submit(job_in("archive", 1, vec![step(32, 1)]));
    let placed = fixture.start_all().len();
    assert!((18..32).contains(&placed), "{placed} of 32 accelerators were taken");
    fixture.submit(job_in("urgent", 2, vec![gang(1, 8)]));
    assert_eq!(ids(&fixture.start_all()), [2], "there is capacity at once");
    assert!(fixture.stops.is_empty());
}

#[test]
fn a_long_running_task_is_started_again_however_it_ended() {
    let mut fixture = Fixture::new(1);
    fixture.set_attempts(1);
    fixture.submit(job(1, vec![Step { long_running: true, ..step(1, 1) }]));
    for kind in [CompletionKind::Failed, CompletionKind::Done, CompletionKind::Lapsed] {
        let started = fixture.start_all();
        assert_eq!(started.len(), 1, "before it ends {kind}");
        fixture.complete(&started[0], kind);
        fixture.advance(10_000);
    }
}

#[test]
fn allowed_absences_are_not_exceeded() {
    let mut fixture = Fixture::new(1);
    fixture.submit(job_in("archive", 1, vec![Step { long_running: true, max_absent: Some(0), ..step(1, 8) }]));
    assert_eq!(fixture.start_all().len(), 1);
    fixture.submit(job_in("urgent", 2, vec![gang(1, 8)]));
    assert!(fixture.start_all().is_empty());
    assert!(fixture.stops.is_empty());
}

#[test]
fn a_step_that_failed_avoids_suspect_servers() {
    let mut fixture = Fixture::new(3);
    fixture.submit(job(1, vec![gang(1, 8)]));
    fixture.submit(job(2, vec![gang(1, 8)]));
    let first = fixture.start_all();
    for started in &first {
        fixture.complete(started, CompletionKind::Failed);
    }
    let again = fixture.start_all();
    assert_eq!(again.len(), 1, "both earlier backend servers are suspect now");
    assert!(first.iter().all(|started| started.server != again[0].server));
    fixture.advance(6500);
    assert_eq!(fixture.start_all().len(), 1, "suspicion expires");
}

#[test]
fn a_plan_refreshes_only_what_has_changed() {
    let mut fixture = Fixture::new(4);
    for id in 1..=1000 {
        fixture.submit(job(id, vec![gang(1, 8)]));
    }
    let started = fixture.start_all();
    fixture.start_all();
    let before = fixture.scheduler.counts().refreshed;
    fixture.complete(&started[0], CompletionKind::Done);
    fixture.start_all();
    fixture.start_all();
    let refreshed = fixture.scheduler.counts().refreshed - before;
    assert!(refreshed <= 2, "one job ended and one started, and {refreshed} of 1000 were refreshed");
}

/// Returns a backend server that is full of work of 2 s each, which has run for some time, and an urgent job that needs
/// half of it.
fn urgent_beside_work_that_ran(ms: u64, customer_holds_guarantee: bool) -> Fixture {
    let mut fixture = Fixture::new(1);
    fixture.submit(job_in("archive", 1, vec![step(8, 1)]));
    fixture.start_all();
    fixture.advance(ms);
    let mut urgent = job_in("urgent", 2, vec![gang(1, 4)]);
    if !customer_holds_guarantee {
        urgent.customer = Some("stranger".parse().expect("it is a valid id"));
    }
    fixture.submit(urgent);
    fixture.start_all();
    fixture
}

#[test]
fn no_more_work_is_discarded_for_an_urgent_job_than_its_own_unless_it_is_guaranteed() {
    assert!(!stopped(&urgent_beside_work_that_ran(500, false)).is_empty(), "half a second's work of four tasks");
    assert!(stopped(&urgent_beside_work_that_ran(10_000, false)).is_empty(), "ten seconds' work of four tasks");
    assert!(!stopped(&urgent_beside_work_that_ran(10_000, true)).is_empty(), "a guarantee is always reclaimed");
}
