//! Guards against stops without an effect that nothing reports: a run of a cancelled job went on until its lease ended,
//! and neither logs nor metrics told of it.

mod common;

use common::{Fixture, job, server_id, step};
use jobs::JobId;
use model::Duration;
use scheduler::{PendingStop, StopReason};

/// Advances the clock without any response of the backend servers.
fn pass_silently(fixture: &mut Fixture, ms: u64) {
    for _ in 0..ms / 100 {
        fixture.now = fixture.now + Duration::from_millis(100);
        fixture.scheduler.tick(fixture.now);
    }
}

#[test]
fn a_stop_without_an_effect_counts_as_overdue_until_the_run_has_ended() {
    let mut fixture = Fixture::new(1);
    fixture.submit(job(1, vec![step(1, 4)]));
    let run = fixture.start_all().remove(0);
    let cancelled = fixture.now;
    fixture.scheduler.cancel(JobId(1), cancelled);
    let pending = fixture.scheduler.pending_stop(&server_id(0), run.task, run.run);
    assert_eq!(pending, Some(PendingStop { reason: StopReason::Cancelled, since: cancelled, answered: false }));
    pass_silently(&mut fixture, 1500);
    assert_eq!(fixture.scheduler.counts().overdue_stops, 0);
    pass_silently(&mut fixture, 2000);
    assert_eq!(fixture.scheduler.counts().overdue_stops, 1);
    let now = fixture.now;
    fixture.scheduler.server_ended(&server_id(0), now);
    assert_eq!(fixture.scheduler.pending_stop(&server_id(0), run.task, run.run), None, "the run has ended");
    pass_silently(&mut fixture, 1100);
    assert_eq!(fixture.scheduler.counts().overdue_stops, 0);
}
