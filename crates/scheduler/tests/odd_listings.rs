//! Listings of which rows could not be read. Guards against a run that goes on and is taken for ended because its row is
//! one of them, and against an end that is acknowledged unseen.

mod common;

use common::{Fixture, job, job_in, run_number, server_id, step};
use jobs::{JobId, OccurrenceId, RunNumber, TaskId};
use scheduler::{Completion, CompletionKind, Listing, Order, RunningTask, Unreadable};

const TASK: TaskId = TaskId { occurrence: OccurrenceId { job: JobId(1), number: 0 }, step: 0, index: 0 };

fn listing(fixture: &Fixture, unreadable: Option<Unreadable>) -> Listing {
    Listing { incarnation: fixture.incarnation(&server_id(0)), unreadable, ..Listing::default() }
}

fn list(fixture: &mut Fixture, listing: &Listing) {
    fixture.now = fixture.now + jobs::Duration::from_millis(100);
    fixture.scheduler.listing(&server_id(0), listing, fixture.now, fixture.now);
}

fn rows(acknowledge_up_to: Option<u64>) -> Option<Unreadable> {
    Some(Unreadable { rows: 1, acknowledge_up_to })
}

fn done(serial: u64, task: TaskId) -> Completion {
    Completion { serial, task, run: RunNumber(1), kind: CompletionKind::Done, checkpoint: None }
}

#[test]
fn a_run_whose_row_may_be_unreadable_is_not_started_again() {
    let mut fixture = Fixture::new(1);
    fixture.submit(job(1, vec![step(1, 1)]));
    assert_eq!(fixture.start_all().len(), 1);
    for _ in 0..3 {
        let partial = listing(&fixture, rows(None));
        list(&mut fixture, &partial);
        assert!(fixture.start_all().is_empty(), "it may be the row that cannot be read");
    }
    let whole = listing(&fixture, None);
    list(&mut fixture, &whole);
    assert_eq!(fixture.start_all().len(), 1, "it is not listed");
}

#[test]
fn no_completion_is_acknowledged_past_one_that_cannot_be_read() {
    let mut fixture = Fixture::new(1);
    fixture.submit(job_in("urgent", 1, vec![step(3, 1)]));
    assert_eq!(fixture.start_all().len(), 3);
    let task = |index| TaskId { index, ..TASK };
    let completions = vec![done(1, task(0)), done(3, task(1))];
    let partial = Listing { completions, ..listing(&fixture, rows(Some(1))) };
    list(&mut fixture, &partial);
    assert!(fixture.start_all().is_empty(), "the third task may be the row that cannot be read");
    assert_eq!(fixture.scheduler.acknowledged_serial(&server_id(0)), 1);
    assert_eq!(fixture.scheduler.check_kept(fixture.now), Ok(()));
    let completions = vec![done(2, task(2)), done(3, task(1))];
    let whole = Listing { completions, ..listing(&fixture, None) };
    list(&mut fixture, &whole);
    fixture.store_all();
    assert_eq!(fixture.scheduler.acknowledged_serial(&server_id(0)), 3, "it can be read now");
}

/// A backend server reports at most 500 completions at a time. If the one that cannot be read were held back for good,
/// it could report no other.
#[test]
fn a_full_listing_is_acknowledged() {
    let mut fixture = Fixture::new(1);
    fixture.submit(job(1, vec![step(1, 1)]));
    fixture.start_all();
    let completions = vec![done(2, TASK)];
    let full = Listing { completions, more_completions: true, ..listing(&fixture, rows(Some(0))) };
    list(&mut fixture, &full);
    fixture.store_all();
    assert_eq!(fixture.scheduler.acknowledged_serial(&server_id(0)), 2);
}

#[test]
fn a_run_that_ended_in_an_unknown_way_is_started_again_and_has_used_no_attempt() {
    let mut fixture = Fixture::new(1);
    fixture.set_attempts(1);
    fixture.submit(job(1, vec![step(1, 1)]));
    for run in 1..=3 {
        let started = fixture.start_all();
        assert_eq!(started.iter().map(run_number).collect::<Vec<_>>(), [run]);
        fixture.complete(&started[0], CompletionKind::Other);
    }
}

/// Its capacity counts as taken until it is known to have ended.
#[test]
fn an_orphaned_run_whose_row_may_be_unreadable_keeps_its_capacity() {
    let mut fixture = Fixture::new(1);
    let orphan = RunningTask { task: TASK, run: RunNumber(7), checkpoint: None, percent: 1, latency_ms: None };
    let with_orphan = Listing { running: vec![orphan], ..listing(&fixture, None) };
    list(&mut fixture, &with_orphan);
    let stops = fixture.scheduler.take_orders().into_iter().filter(|order| matches!(order, Order::Stop { .. }));
    assert_eq!(stops.count(), 1, "nobody placed it");
    fixture.submit(job(2, vec![step(1, 1)]));
    let partial = listing(&fixture, rows(None));
    list(&mut fixture, &partial);
    assert!(fixture.start_all().is_empty(), "it may still run");
    let whole = listing(&fixture, None);
    list(&mut fixture, &whole);
    assert_eq!(fixture.start_all().len(), 1);
}
