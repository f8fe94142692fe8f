//! What counts as an attempt, and when a job has failed.

mod common;

use common::{Fixture, gang, job, run_number};
use jobs::JobState;
use scheduler::CompletionKind;

#[test]
fn a_failure_counts_when_another_member_was_listed_as_ended_first() {
    let mut fixture = Fixture::new(2);
    fixture.set_attempts(1);
    fixture.submit(job(1, vec![gang(2, 8)]));
    let placed = fixture.start_all();
    let (first, second) = (&placed[0], &placed[1]);
    // The other member's completion is listed before the failure that caused it.
    fixture.complete(second, CompletionKind::Broken);
    fixture.complete(first, CompletionKind::Failed);
    fixture.store_all();
    assert_eq!(fixture.state(1), Some(JobState::Failed));
    assert!(fixture.start_all().is_empty(), "no attempt is left");
}

#[test]
fn a_failure_of_an_abandoned_run_counts() {
    let mut fixture = Fixture::new(2);
    fixture.set_attempts(1);
    fixture.submit(job(1, vec![gang(1, 8)]));
    let placed = fixture.start_all();
    let abandoned = &placed[0];
    fixture.cut_past_lease(&abandoned.server);
    assert_eq!(fixture.start_all().len(), 1, "it is placed again once the lease has expired");
    // The first run failed before its lease expired; its backend server is reachable again and lists that.
    fixture.reconnect(&abandoned.server);
    fixture.complete(abandoned, CompletionKind::Failed);
    fixture.store_all();
    assert_eq!(fixture.state(1), Some(JobState::Failed));
}

#[test]
fn two_members_that_fail_in_one_run_are_one_attempt() {
    let mut fixture = Fixture::new(4);
    fixture.set_attempts(2);
    fixture.submit(job(1, vec![gang(2, 8)]));
    for placed in fixture.start_all() {
        fixture.complete(&placed, CompletionKind::Failed);
    }
    fixture.store_all();
    assert_eq!(fixture.state(1), Some(JobState::Running));
    let again = fixture.start_all();
    assert_eq!(again.len(), 2);
    assert_eq!(run_number(&again[0]), 2);
}

#[test]
fn a_run_that_was_done_before_its_lease_expired_is_not_repeated() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job(1, vec![gang(1, 8)]));
    let placed = fixture.start_all();
    fixture.cut_past_lease(&placed[0].server);
    let again = fixture.start_all();
    assert_eq!(again.len(), 1);
    fixture.reconnect(&placed[0].server);
    fixture.complete(&placed[0], CompletionKind::Done);
    fixture.store_all();
    assert_eq!(fixture.state(1), Some(JobState::Succeeded));
    fixture.start_all();
    assert!(!fixture.stops.is_empty(), "the second run is stopped");
}

#[test]
fn a_run_that_was_done_counts_also_if_it_was_not_placed_again() {
    let mut fixture = Fixture::new(1);
    fixture.submit(job(1, vec![gang(1, 8)]));
    let placed = fixture.start_all();
    fixture.cut_past_lease(&placed[0].server);
    assert!(fixture.start_all().is_empty(), "there is no other backend server");
    fixture.reconnect(&placed[0].server);
    fixture.complete(&placed[0], CompletionKind::Done);
    fixture.store_all();
    assert_eq!(fixture.state(1), Some(JobState::Succeeded));
}
