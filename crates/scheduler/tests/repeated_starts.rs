//! Starts that are sent again because the first got no reply although it took effect.
//!
//! Guards against a task that runs twice after a partition in one direction: its first start took effect and its run
//! ended as done during the partition, and the repeated start was refused as old, which the scheduler took for a run
//! that never starts. A refusal of a repeated start says nothing about the first one.

mod common;

use common::{Fixture, Started, gang, info, job_in, server_id, step};
use jobs::JobState;
use scheduler::{CompletionKind, Order, ServerInfo, StartReply};

/// Returns a start that got no reply, took effect all the same, and was sent again.
fn repeated() -> (Fixture, Started) {
    let mut fixture = Fixture::new(4);
    fixture.submit(job_in("urgent", 1, vec![step(1, 8)]));
    let first = fixture.ordered_starts().remove(0);
    fixture.reply(&first, StartReply::Unknown);
    let again = fixture.repeated_starts().remove(0);
    assert_eq!((&first.server, first.run), (&again.server, again.run));
    (fixture, again)
}

/// Checks that nothing is started again once the backend server lists the completion.
fn check_done(mut fixture: Fixture, start: &Started) {
    assert!(fixture.ordered_starts().is_empty(), "it is started again before its outcome is known");
    fixture.complete(start, CompletionKind::Done);
    assert!(fixture.ordered_starts().is_empty());
    assert_eq!(fixture.state(1), Some(JobState::Succeeded));
}

#[test]
fn a_repeated_start_of_an_ended_run_leaves_the_outcome_to_the_listing() {
    let (mut fixture, again) = repeated();
    fixture.reply(&again, StartReply::Over);
    check_done(fixture, &again);
}

#[test]
fn a_repeated_start_refused_for_another_reason_does_so_too_and_stops_the_run() {
    for reply in [StartReply::NoRoom, StartReply::Refused, StartReply::Late] {
        let (mut fixture, again) = repeated();
        fixture.reply(&again, reply);
        fixture.repeated_starts();
        let stops = fixture.stops.iter().filter(|order| matches!(order, Order::Stop { .. })).count();
        assert_eq!(stops, 1, "{reply:?}: the first may still take effect");
        check_done(fixture, &again);
    }
}

#[test]
fn an_ended_run_without_a_completion_is_lost_and_starts_again() {
    let (mut fixture, again) = repeated();
    fixture.reply(&again, StartReply::Over);
    fixture.advance(10);
    let next = fixture.ordered_starts();
    assert_eq!(next.iter().map(|start| start.run.0).collect::<Vec<_>>(), [2]);
}

#[test]
fn a_start_that_was_sent_once_and_refused_is_placed_elsewhere_at_once() {
    let mut fixture = Fixture::new(4);
    fixture.submit(job_in("urgent", 1, vec![step(1, 8)]));
    let first = fixture.ordered_starts().remove(0);
    fixture.reply(&first, StartReply::NoRoom);
    let next = fixture.ordered_starts();
    assert_eq!(next.iter().map(|start| start.run.0).collect::<Vec<_>>(), [2]);
    assert_ne!(next[0].server, first.server);
}

/// Guards against a start on a backend server that has announced its departure: the order waited, or its first attempt
/// got no reply, and it was sent 4.5 s after the announcement.
#[test]
fn a_start_is_not_sent_after_its_backend_server_has_announced_its_departure() {
    let mut fixture = Fixture::new(4);
    fixture.submit(job_in("urgent", 1, vec![step(1, 8)]));
    let first = fixture.ordered_starts().remove(0);
    assert!(fixture.scheduler.may_start(&first.server, first.task, first.run));
    let (now, i) = (fixture.now, (0..4).find(|i| server_id(*i) == first.server).expect("it was placed"));
    fixture.scheduler.server_listed(first.server.clone(), ServerInfo { draining: true, ..info(i) }, now);
    assert!(!fixture.scheduler.may_start(&first.server, first.task, first.run));
    fixture.scheduler.start_withdrawn(&first.server, first.task, first.run, now);
    let next = fixture.ordered_starts();
    assert_eq!(next.iter().map(|start| start.run.0).collect::<Vec<_>>(), [2]);
    assert_ne!(next[0].server, first.server);
}

/// Guards against the same for a repeated start, whose first order may have taken effect.
#[test]
fn a_start_without_a_reply_is_given_up_once_its_backend_server_has_announced_its_departure() {
    let mut fixture = Fixture::new(4);
    fixture.submit(job_in("urgent", 1, vec![step(1, 8)]));
    let first = fixture.ordered_starts().remove(0);
    let (now, i) = (fixture.now, (0..4).find(|i| server_id(*i) == first.server).expect("it was placed"));
    fixture.scheduler.server_listed(first.server.clone(), ServerInfo { draining: true, ..info(i) }, now);
    fixture.reply(&first, StartReply::Unknown);
    assert!(fixture.repeated_starts().is_empty(), "it is not sent again");
    let stops = fixture.stops.iter().filter(|order| matches!(order, Order::Stop { .. })).count();
    assert_eq!(stops, 1, "the first order may still take effect");
}

#[test]
fn a_refusal_after_the_run_was_listed_stops_nothing() {
    let mut fixture = Fixture::new(4);
    fixture.submit(job_in("urgent", 1, vec![gang(2, 8)]));
    let starts = fixture.start_all();
    fixture.advance(10);
    fixture.reply(&starts[0], StartReply::NoRoom);
    assert!(fixture.ordered_starts().is_empty() && fixture.stops.is_empty());
}
