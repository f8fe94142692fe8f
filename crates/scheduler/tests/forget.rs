//! Jobs that are over leave the intake for a record, which is kept for as long as it can be asked for.

mod common;

use common::{Fixture, job, step};
use jobs::{JobId, JobState, Progress};
use model::{Duration, Revision};
use scheduler::{CompletionKind, Timing};

/// Archives all that can be, and returns what it was.
fn archive(fixture: &mut Fixture) -> Vec<JobId> {
    let archivals = fixture.scheduler.archivable(8);
    let jobs = archivals.iter().map(|archival| archival.job).collect();
    for archival in archivals {
        fixture.scheduler.archived(archival, &[], fixture.now);
    }
    jobs
}

/// Two jobs, the first of which is done, and the store knows.
fn one_of_two_done() -> Fixture {
    let mut fixture = Fixture::new(1);
    fixture.submit(job(1, vec![step(1, 1)]));
    fixture.submit(job(2, vec![step(1, 1)]));
    let placed = fixture.start_all();
    let first = placed.iter().find(|started| started.task.occurrence.job == JobId(1)).expect("both start");
    fixture.complete(first, CompletionKind::Done);
    fixture
}

#[test]
fn a_job_leaves_the_intake_only_once_the_store_holds_how_it_ended() {
    let mut fixture = one_of_two_done();
    fixture.scheduler.plan(fixture.now, fixture.now.millis());
    assert_eq!(archive(&mut fixture), [], "its end is not stored yet");
    fixture.store_all();
    assert_eq!(archive(&mut fixture), [JobId(1)], "the other one still runs");
    assert_eq!(archive(&mut fixture), []);
    assert_eq!(fixture.state(1), Some(JobState::Succeeded));
    assert_eq!(fixture.state(2), Some(JobState::Running));
}

#[test]
fn a_job_that_has_left_the_intake_is_neither_made_nor_cancelled_again() {
    let mut fixture = one_of_two_done();
    fixture.start_all();
    archive(&mut fixture);
    fixture.submit(job(1, vec![step(1, 1)]));
    fixture.scheduler.cancel(JobId(1), fixture.now);
    assert!(fixture.start_all().is_empty());
    assert_eq!(fixture.state(1), Some(JobState::Succeeded));
}

#[test]
fn a_job_is_forgotten_only_after_its_end_can_no_longer_be_asked_for() {
    let mut fixture = one_of_two_done();
    fixture.start_all();
    archive(&mut fixture);
    assert_eq!(fixture.scheduler.expired_records(fixture.now, 8), []);
    let later = fixture.now + Timing::default().keep_ended + Duration::from_millis(1);
    let old = fixture.scheduler.expired_records(later, 8);
    assert_eq!(old, [JobId(1)], "the other one still runs");
    fixture.scheduler.remove_records(&old);
    assert_eq!(fixture.state(1), None);
    assert_eq!(fixture.state(2), Some(JobState::Running));
}

#[test]
fn a_mark_of_a_job_that_never_came_is_forgotten_too() {
    let mut fixture = Fixture::new(1);
    fixture.scheduler.cancel(JobId(7), fixture.now);
    let later = fixture.now + Timing::default().keep_ended + Duration::from_millis(1);
    assert_eq!(fixture.scheduler.expired_records(later, 8), [JobId(7)]);
}

#[test]
fn progress_whose_job_has_left_the_intake_is_found_by_the_next_scheduler_and_removed() {
    let mut fixture = Fixture::new(1);
    let gone = job(5, vec![step(1, 1)]);
    let id = jobs::OccurrenceId { job: gone.id, number: 0 };
    fixture.scheduler.restore(id, Progress::new(&gone), Revision(3));
    assert_eq!(fixture.scheduler.orphans(8), [id]);
    fixture.scheduler.orphans_removed(&[id]);
    assert_eq!(fixture.scheduler.orphans(8), []);
}
