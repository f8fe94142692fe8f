//! The metric of stalled jobs, which shows operators that something is delayed.

mod common;

use common::{Fixture, job_in, step};

/// Time for which nothing runs until a job is counted as stalled, and until the next check.
const COUNTED_AFTER_MS: u64 = 3100;

fn lost_job() -> Fixture {
    let mut fixture = Fixture::new(2);
    fixture.submit(job_in("urgent", 1, vec![step(1, 8)]));
    let started = fixture.start_all().remove(0);
    fixture.advance(100);
    fixture.stop_responding(&started.server);
    fixture
}

fn advance_with_plans(fixture: &mut Fixture, ms: u64) {
    for _ in 0..ms / 100 {
        fixture.advance(100);
        fixture.start_all();
    }
}

#[test]
fn a_job_whose_backend_server_is_lost_is_stalled_until_its_lease_expires() {
    let mut fixture = lost_job();
    assert_eq!(fixture.scheduler.counts().standing, 0);
    advance_with_plans(&mut fixture, COUNTED_AFTER_MS);
    assert_eq!(fixture.scheduler.counts().standing, 1);
    advance_with_plans(&mut fixture, 5000);
    assert_eq!(fixture.scheduler.counts().standing, 0, "it runs elsewhere");
}

#[test]
fn a_running_job_is_not_stalled() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job_in("urgent", 1, vec![step(1, 8)]));
    advance_with_plans(&mut fixture, 2 * COUNTED_AFTER_MS);
    assert_eq!(fixture.scheduler.counts().standing, 0);
}

/// Each backend server is smaller than what the job asks for.
#[test]
fn a_job_that_fits_nowhere_is_stalled() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job_in("urgent", 1, vec![step(1, 9)]));
    advance_with_plans(&mut fixture, COUNTED_AFTER_MS);
    assert_eq!(fixture.scheduler.counts().standing, 1);
}

/// Returns the causes for which jobs are stalled, with their numbers.
fn waits(fixture: &Fixture) -> Vec<(&'static str, usize)> {
    fixture.scheduler.counts().stalled.by_wait().into_iter().filter(|(_, number)| *number > 0).collect()
}

/// Guards against causes that cannot be told apart where many jobs are stalled at once: only some are logged one by
/// one.
#[test]
fn stalled_jobs_are_counted_by_what_they_wait_for() {
    let mut lost = lost_job();
    advance_with_plans(&mut lost, COUNTED_AFTER_MS);
    assert_eq!(waits(&lost), [("lease", 1)]);

    let mut without_room = Fixture::new(2);
    for id in 1..=20 {
        without_room.submit(job_in("urgent", id, vec![step(1, 9)]));
    }
    advance_with_plans(&mut without_room, COUNTED_AFTER_MS);
    assert_eq!(waits(&without_room), [("place", 20)]);

    let mut without_store = Fixture::new(2);
    without_store.submit(job_in("urgent", 1, vec![step(1, 8)]));
    for _ in 0..COUNTED_AFTER_MS / 100 {
        without_store.advance(100);
        without_store.scheduler.plan(without_store.now, without_store.now.millis());
    }
    assert_eq!(waits(&without_store), [("store", 1)]);
}
