//! Retention: the submission of an ended job is replaced by a record, which is kept for as long as it can be queried.

mod common;

use common::{Fixture, job, step};
use jobs::{JobId, JobState, Progress};
use model::{Duration, Revision};
use scheduler::{CompletionKind, Timing};

/// Archives all that can be, and returns the jobs.
fn archive(fixture: &mut Fixture) -> Vec<JobId> {
    let archivals = fixture.scheduler.archivable(8);
    let jobs = archivals.iter().map(|archival| archival.job).collect();
    for archival in archivals {
        fixture.scheduler.archived(archival, &[], fixture.now);
    }
    jobs
}

/// Returns two jobs, the first of which has ended as done; its completion is not stored yet.
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
fn a_job_is_archived_only_once_the_store_holds_its_outcome() {
    let mut fixture = one_of_two_done();
    fixture.scheduler.plan(fixture.now, fixture.now.millis());
    assert_eq!(archive(&mut fixture), [], "its outcome is not stored yet");
    fixture.store_all();
    assert_eq!(archive(&mut fixture), [JobId(1)], "the other one still runs");
    assert_eq!(archive(&mut fixture), []);
    assert_eq!(fixture.state(1), Some(JobState::Succeeded));
    assert_eq!(fixture.state(2), Some(JobState::Running));
}

#[test]
fn an_archived_job_is_neither_created_nor_cancelled_again() {
    let mut fixture = one_of_two_done();
    fixture.start_all();
    archive(&mut fixture);
    fixture.submit(job(1, vec![step(1, 1)]));
    fixture.scheduler.cancel(JobId(1), fixture.now);
    assert!(fixture.start_all().is_empty());
    assert_eq!(fixture.state(1), Some(JobState::Succeeded));
}

#[test]
fn a_record_is_removed_only_after_its_retention() {
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
fn a_cancellation_of_an_unknown_job_is_removed_too() {
    let mut fixture = Fixture::new(1);
    fixture.scheduler.cancel(JobId(7), fixture.now);
    let later = fixture.now + Timing::default().keep_ended + Duration::from_millis(1);
    assert_eq!(fixture.scheduler.expired_records(later, 8), [JobId(7)]);
}

#[test]
fn orphaned_progress_of_an_archived_job_is_detected_and_removed() {
    let mut fixture = Fixture::new(1);
    let archived_job = job(5, vec![step(1, 1)]);
    let id = jobs::OccurrenceId { job: archived_job.id, number: 0 };
    fixture.scheduler.restore(id, Progress::new(&archived_job), Revision(3));
    assert_eq!(fixture.scheduler.orphans(8), [id]);
    fixture.scheduler.orphans_removed(&[id]);
    assert_eq!(fixture.scheduler.orphans(8), []);
}
