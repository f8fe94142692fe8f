//! What is told of runs that are over without a word of how they ended.

mod common;

use common::{Fixture, info, job, server_id, step};
use scheduler::{Observation, ServerInfo};

/// What metrics hear of the losses, in their order.
fn losses(fixture: &mut Fixture) -> Vec<Observation> {
    let told = fixture.scheduler.take_observations();
    let loss = |o: &Observation| matches!(o, Observation::ServerEnded { .. } | Observation::RunLost { .. });
    told.into_iter().filter(loss).collect()
}

#[test]
fn a_crash_is_told_apart_from_a_departure_that_was_announced() {
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
fn a_run_whose_lease_is_over_is_told_as_lost() {
    let mut fixture = Fixture::new(1);
    fixture.submit(job(1, vec![step(1, 8)]));
    let placed = fixture.start_all();
    fixture.cut_past_lease(&placed[0].server);
    assert_eq!(losses(&mut fixture), [Observation::RunLost { why: "lease_over" }]);
}
