//! Starts that are sent again, since the first had no answer, though it had gone through.
//!
//! Seen once, on a hunted day of cuts in one direction: the first start went through, its run was done within the cut, and the repeated start was refused as
//! old. That was taken for "does not run and never will", and the task was started again beside its own end. Any refusal of a repeated start tells of the
//! repetition only.

mod common;

use common::{Fixture, Started, gang, job_in, step};
use jobs::JobState;
use scheduler::{CompletionKind, Order, StartReply};

/// A start without an answer, which has begun on its backend server all the same, has been sent again.
fn repeated() -> (Fixture, Started) {
    let mut fixture = Fixture::new(4);
    fixture.submit(job_in("urgent", 1, vec![step(1, 8)]));
    let first = fixture.ordered_starts().remove(0);
    fixture.reply(&first, StartReply::Unknown);
    let again = fixture.repeated_starts().remove(0);
    assert_eq!((&first.server, first.run), (&again.server, again.run));
    (fixture, again)
}

/// The backend server lists the run's end, and nothing is started again.
fn check_done(mut fixture: Fixture, start: &Started) {
    assert!(fixture.ordered_starts().is_empty(), "it is started again before it is known what became of it");
    fixture.complete(start, CompletionKind::Done);
    assert!(fixture.ordered_starts().is_empty());
    assert_eq!(fixture.state(1), Some(JobState::Succeeded));
}

#[test]
fn one_that_finds_its_run_over_leaves_the_verdict_to_the_listing() {
    let (mut fixture, again) = repeated();
    fixture.reply(&again, StartReply::Over);
    check_done(fixture, &again);
}

#[test]
fn one_that_is_refused_for_another_reason_does_so_too_and_the_run_is_stopped() {
    for reply in [StartReply::NoRoom, StartReply::Refused, StartReply::Late] {
        let (mut fixture, again) = repeated();
        fixture.reply(&again, reply);
        fixture.repeated_starts();
        let stops = fixture.stops.iter().filter(|order| matches!(order, Order::Stop { .. })).count();
        assert_eq!(stops, 1, "{reply:?}: the first may go through yet");
        check_done(fixture, &again);
    }
}

#[test]
fn a_run_that_is_over_without_an_end_is_lost_and_starts_again() {
    let (mut fixture, again) = repeated();
    fixture.reply(&again, StartReply::Over);
    fixture.advance(10);
    let next = fixture.ordered_starts();
    assert_eq!(next.iter().map(|start| start.run.0).collect::<Vec<_>>(), [2]);
}

#[test]
fn one_that_was_sent_once_and_is_refused_starts_elsewhere_at_once() {
    let mut fixture = Fixture::new(4);
    fixture.submit(job_in("urgent", 1, vec![step(1, 8)]));
    let first = fixture.ordered_starts().remove(0);
    fixture.reply(&first, StartReply::NoRoom);
    let next = fixture.ordered_starts();
    assert_eq!(next.iter().map(|start| start.run.0).collect::<Vec<_>>(), [2]);
    assert_ne!(next[0].server, first.server);
}

#[test]
fn a_refusal_that_comes_after_the_run_was_listed_stops_nothing() {
    let mut fixture = Fixture::new(4);
    fixture.submit(job_in("urgent", 1, vec![gang(2, 8)]));
    let starts = fixture.start_all();
    fixture.advance(10);
    fixture.reply(&starts[0], StartReply::NoRoom);
    assert!(fixture.ordered_starts().is_empty() && fixture.stops.is_empty());
}
