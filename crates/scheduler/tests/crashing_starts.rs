//! Starts of tasks under which backend servers have crashed, as they count for the next scheduler and against the limit
//! of two starts after three crashes.
//!
//! Guards against a third start after three crashes: a scheduler that detects the crash of a start which was confirmed
//! to the one before took the start for one that may never have arrived, so that three crashes at the start did not end
//! the task, and a start whose lease expired did not count although its backend server may have crashed undetected.

mod common;

use common::{Fixture, gang, job, step};
use jobs::{JobState, OccurrenceId, TaskId};
use scheduler::CompletionKind;

const TASK: TaskId = TaskId { occurrence: OccurrenceId { job: jobs::JobId(1), number: 0 }, step: 0, index: 0 };

#[test]
fn a_start_confirmed_to_an_earlier_scheduler_is_charged_as_one_that_took_effect() {
    let mut fixture = Fixture::new(8);
    fixture.submit(job(1, vec![step(1, 8)]));
    for crashes in 1..=3 {
        assert_eq!(fixture.start_all().len(), 1, "before crash {crashes}");
        fixture.store_all();
        let server = fixture.server_of(TASK).expect("it runs");
        fixture.stop_responding(&server);
        fixture.elect_next();
        fixture.crash(&server);
        fixture.store_all();
    }
    assert_eq!(fixture.start_all().len(), 0, "two of three crashes are known to have hit a run");
    assert_eq!(fixture.state(1), Some(JobState::Failed));
}

/// Lets a task run for a while and crashes its backend server three times; returns the fixture.
fn crashed_three_times(steps: Vec<jobs::Step>) -> Fixture {
    let mut fixture = Fixture::new(8);
    fixture.submit(job(1, steps));
    for _ in 0..3 {
        fixture.start_all();
        fixture.advance(5000);
        let server = fixture.server_of(TASK).expect("it runs");
        fixture.crash(&server);
        fixture.store_all();
    }
    fixture
}

#[test]
fn starts_whose_lease_expires_after_three_crashes_use_them_up() {
    let mut fixture = crashed_three_times(vec![step(1, 8)]);
    let mut starts = 0;
    while let [_] = &fixture.start_all()[..] {
        starts += 1;
        fixture.store_all();
        let server = fixture.server_of(TASK).expect("it runs");
        fixture.cut_past_lease(&server);
        fixture.store_all();
        if starts == 1 {
            fixture.elect_next();
        }
    }
    assert_eq!((starts, fixture.state(1)), (2, Some(JobState::Failed)));
    assert_eq!(fixture.state(1), Some(JobState::Failed));
}

#[test]
fn the_second_start_after_three_crashes_may_succeed() {
    let mut fixture = crashed_three_times(vec![gang(2, 8)]);
    let first = fixture.start_all();
    fixture.cut_past_lease(&first[0].server);
    fixture.complete(&first[1], CompletionKind::Broken);
    fixture.store_all();
    let placed = fixture.start_all();
    assert_eq!(placed.len(), 2);
    fixture.store_all();
    fixture.advance(1000);
    fixture.complete(&placed[0], CompletionKind::Done);
    fixture.complete(&placed[1], CompletionKind::Done);
    fixture.store_all();
    assert_eq!(fixture.state(1), Some(JobState::Succeeded));
}

/// Starts are stored only for tasks that need it: another write for each start would cost every job.
#[test]
fn a_start_without_a_crash_before_it_is_not_stored() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job(1, vec![step(1, 8)]));
    assert_eq!(fixture.start_all().len(), 1);
    assert!(fixture.scheduler.next_write_batch(4).is_none(), "a confirmed start leaves nothing to write");
}
