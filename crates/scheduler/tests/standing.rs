//! Jobs of which nothing runs are counted, so that operators see that something is held up.

mod common;

use common::{Fixture, job_in, step};

/// So long nothing has to run before it is told, and then until the next look.
const TOLD_AFTER_MS: u64 = 3100;

fn lost_job() -> Fixture {
    let mut fixture = Fixture::new(2);
    fixture.submit(job_in("urgent", 1, vec![step(1, 8)]));
    let started = fixture.start_all().remove(0);
    fixture.advance(100);
    fixture.stop_responding(&started.server);
    fixture
}

fn pass(fixture: &mut Fixture, ms: u64) {
    for _ in 0..ms / 100 {
        fixture.advance(100);
        fixture.start_all();
    }
}

#[test]
fn a_job_whose_backend_server_is_lost_stands_until_its_lease_is_over() {
    let mut fixture = lost_job();
    assert_eq!(fixture.scheduler.counts().standing, 0);
    pass(&mut fixture, TOLD_AFTER_MS);
    assert_eq!(fixture.scheduler.counts().standing, 1);
    pass(&mut fixture, 5000);
    assert_eq!(fixture.scheduler.counts().standing, 0, "it runs elsewhere");
}

#[test]
fn a_job_that_runs_does_not_stand() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job_in("urgent", 1, vec![step(1, 8)]));
    pass(&mut fixture, 2 * TOLD_AFTER_MS);
    assert_eq!(fixture.scheduler.counts().standing, 0);
}

/// It has no place: each backend server is smaller than what it asks for.
#[test]
fn a_job_without_a_place_stands() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job_in("urgent", 1, vec![step(1, 9)]));
    pass(&mut fixture, TOLD_AFTER_MS);
    assert_eq!(fixture.scheduler.counts().standing, 1);
}
