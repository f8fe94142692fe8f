//! Observations of runs that ended without a listed completion.

mod common;

use common::{Fixture, info, job, server_id, step};
use scheduler::{Observation, ServerInfo};

/// Returns the observations of losses, in order.
fn losses(fixture: &mut Fixture) -> Vec<Observation> {
    let observations = fixture.scheduler.take_observations();
    let is_loss = |o: &Observation| matches!(o, Observation::ServerEnded { .. } | Observation::RunLost { .. });
    observations.into_iter().filter(is_loss).collect()
}

#[test]
fn a_crash_is_distinguished_from_an_announced_departure() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job(1, vec![step(1, 8)]));
    let placed = fixture.start_all();
    fixture.scheduler.server_ended(&placed[0].server, fixture.now);
    let lost = Observation::RunLost { why: "server_gone" };
    assert_eq!(losses(&mut fixture), [Observation::ServerEnded { announced: false }, lost]);

    let other = if placed[0].server == server_id(0) { 1 } else { 0 };
    fixture.scheduler.server_listed(server_id(other), ServerInfo { draining: true, ..info(other) }, fixture.now);
    fixture.scheduler.server_ended(&server_id(other), fixture.now);
    assert_eq!(losses(&mut fixture), [Observation::ServerEnded { announced: true }]);
}

#[test]
fn a_run_whose_lease_expired_is_observed_as_lost() {
    let mut fixture = Fixture::new(1);
    fixture.submit(job(1, vec![step(1, 8)]));
    let placed = fixture.start_all();
    fixture.cut_past_lease(&placed[0].server);
    assert_eq!(losses(&mut fixture), [Observation::RunLost { why: "lease_over" }]);
}
