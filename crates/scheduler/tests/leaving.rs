//! Backend servers that leave, and what tells them from those that are out of reach.

mod common;

use common::{Fixture, gang, info, job, server_id, step};
use jobs::{OccurrenceId, Placement, Progress, RunNumber};
use model::{Duration, Revision};
use scheduler::{CallFailure, ServerInfo};

/// A task runs on the first of two backend servers, which then says that it leaves.
fn draining() -> Fixture {
    let mut fixture = Fixture::new(1);
    fixture.submit(job(1, vec![step(1, 4)]));
    assert_eq!(fixture.start_all().len(), 1);
    announce(&mut fixture);
    fixture.add_server(1);
    assert!(fixture.start_all().is_empty(), "it serves on until it leaves");
    fixture
}

fn announce(fixture: &mut Fixture) {
    let now = fixture.now;
    fixture.scheduler.server_listed(server_id(0), ServerInfo { draining: true, ..info(0) }, now);
}

fn unanswered(fixture: &mut Fixture, how: CallFailure) {
    let now = fixture.now;
    fixture.scheduler.call_failed(&server_id(0), how, now);
}

fn unlisted(fixture: &mut Fixture) {
    let now = fixture.now;
    fixture.scheduler.server_unlisted(&server_id(0), now);
}

fn pass(fixture: &mut Fixture, ms: u64) {
    fixture.now = fixture.now + Duration::from_millis(ms);
}

#[test]
fn what_ran_where_a_backend_server_has_left_starts_elsewhere_at_once() {
    let mut fixture = draining();
    unanswered(&mut fixture, CallFailure::NoResponse);
    pass(&mut fixture, 20);
    unlisted(&mut fixture);
    assert!(fixture.start_all().is_empty(), "its connection closed, which a cut can do too");
    pass(&mut fixture, 30);
    unanswered(&mut fixture, CallFailure::Refused);
    let again = fixture.start_all();
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].server, server_id(1));
}

#[test]
fn the_list_may_tell_first() {
    let mut fixture = draining();
    unlisted(&mut fixture);
    pass(&mut fixture, 100);
    unanswered(&mut fixture, CallFailure::Refused);
    assert_eq!(fixture.start_all().len(), 1);
}

#[test]
fn one_that_is_cut_off_with_refusals_falls_out_of_the_list_later_and_keeps_its_lease() {
    let mut fixture = draining();
    unanswered(&mut fixture, CallFailure::Refused);
    for _ in 0..30 {
        pass(&mut fixture, 100);
        unanswered(&mut fixture, CallFailure::Refused);
    }
    unlisted(&mut fixture);
    assert!(fixture.start_all().is_empty());
}

#[test]
fn one_that_the_store_alone_has_lost_and_that_is_cut_off_later_keeps_its_lease() {
    let mut fixture = draining();
    unlisted(&mut fixture);
    pass(&mut fixture, 500);
    unanswered(&mut fixture, CallFailure::Refused);
    assert!(fixture.start_all().is_empty());
}

#[test]
fn one_that_did_not_say_that_it_leaves_keeps_its_lease() {
    let mut fixture = Fixture::new(1);
    fixture.submit(job(1, vec![step(1, 4)]));
    fixture.start_all();
    fixture.add_server(1);
    unanswered(&mut fixture, CallFailure::Refused);
    unlisted(&mut fixture);
    assert!(fixture.start_all().is_empty());
}

#[test]
fn a_new_scheduler_takes_none_for_left_that_it_has_never_heard() {
    let mut fixture = Fixture::new(0);
    let job = job(1, vec![step(1, 4)]);
    let mut progress = Progress::new(&job);
    progress.groups[0][0].run = RunNumber(1);
    progress.groups[0][0].placed =
        vec![Placement { index: 0, server: server_id(0), incarnation: None, address: "".into() }];
    fixture.submit(job.clone());
    fixture.scheduler.restore(OccurrenceId { job: job.id, number: 0 }, progress, Revision(5));
    announce(&mut fixture);
    fixture.add_server(1);
    // It was cut off with refusals before the election, and falls out of the list just after it.
    unanswered(&mut fixture, CallFailure::Refused);
    pass(&mut fixture, 50);
    unlisted(&mut fixture);
    assert!(fixture.start_all().is_empty(), "it may run on until its lease is over");
}

#[test]
fn one_that_was_cut_off_while_this_box_stood_still_keeps_its_lease() {
    let mut fixture = draining();
    // Both the refusal and the news from the list have waited for the box.
    pass(&mut fixture, 3500);
    unanswered(&mut fixture, CallFailure::Refused);
    unlisted(&mut fixture);
    assert!(fixture.start_all().is_empty());
}

/// A gang of two that takes 2 s has run for 1 s; its backend servers last told of it after 0.5 s, at a quarter. One of them
/// is about to leave.
fn leaves_in(remaining_ms: u64) -> Fixture {
    let mut fixture = Fixture::new(2);
    fixture.submit(job(1, vec![gang(2, 8)]));
    assert_eq!(fixture.start_all().len(), 2);
    fixture.percent = 25;
    fixture.advance(500);
    pass(&mut fixture, 500);
    let (now, remaining) = (fixture.now, Some(Duration::from_millis(remaining_ms)));
    fixture.scheduler.server_listed(server_id(0), ServerInfo { draining: true, remaining, ..info(0) }, now);
    fixture.start_all();
    fixture
}

#[test]
fn what_ends_in_time_by_what_was_told_of_it_ends_where_it_runs() {
    assert!(leaves_in(1200).stops.is_empty());
}

#[test]
fn what_does_not_end_in_time_by_what_was_told_of_it_goes_elsewhere() {
    assert_eq!(leaves_in(800).stops.len(), 2);
}
