//! Jobs that are over are kept for as long as they can be asked for, then forgotten.

mod common;

use common::{Fixture, job, step};
use jobs::{JobId, JobState};
use scheduler::{EndKind, Timing};

#[test]
fn a_job_is_forgotten_only_after_its_end_can_no_longer_be_asked_for() {
    let mut fixture = Fixture::new(1);
    fixture.submit(job(1, vec![step(1, 1)]));
    fixture.submit(job(2, vec![step(1, 1)]));
    let placed = fixture.start_all();
    let first = placed.iter().find(|started| started.task.occurrence.job == JobId(1)).expect("both start");
    fixture.end(first, EndKind::Done);
    fixture.start_all();
    assert_eq!(fixture.scheduler.forgettable(fixture.now, 8), []);
    let later = fixture.now + Timing::default().keep_ended + model::Duration::from_millis(1);
    let old = fixture.scheduler.forgettable(later, 8);
    assert_eq!(old.iter().map(|old| old.job).collect::<Vec<_>>(), [JobId(1)], "the other one still runs");
    fixture.scheduler.forget(&old);
    assert_eq!(fixture.state(1), None);
    assert_eq!(fixture.state(2), Some(JobState::Running));
}

#[test]
fn a_mark_of_a_job_that_never_came_is_forgotten_too() {
    let mut fixture = Fixture::new(1);
    fixture.scheduler.cancel(JobId(7), fixture.now);
    let later = fixture.now + Timing::default().keep_ended + model::Duration::from_millis(1);
    assert_eq!(fixture.scheduler.forgettable(later, 8).len(), 1);
}
