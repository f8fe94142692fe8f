//! Steps that start only where the permit service allows it.

mod common;

use std::{collections::BTreeMap, sync::Arc};

use common::{Fixture, Started, gang, job, server_id, step};
use jobs::{JobId, OccurrenceId, PermitPolicy, StepId};
use model::{BackendServerId, Duration};
use scheduler::{CompletionKind, Permit, PermitRequest, StartReply};

const PERMITS: PermitPolicy = PermitPolicy {
    base: Duration::from_millis(100),
    each: Duration::from_millis(2),
    valid: Duration::from_millis(2000),
};

fn fixture(servers: usize) -> Fixture {
    let mut fixture = Fixture::new(servers);
    fixture.require_permits(PERMITS);
    fixture
}

fn permit(i: usize) -> Permit {
    Arc::from(format!("permit-{i}"))
}

/// Plans, asserts that nothing starts without a permit, and returns the request for one.
fn permit_request(fixture: &mut Fixture) -> PermitRequest {
    assert!(fixture.start_all().is_empty(), "nothing starts without a permit");
    fixture.scheduler.take_permit_request().expect("a permit is requested")
}

/// Answers a request: the `allowed` backend servers get a permit, the others are refused.
fn answer(fixture: &mut Fixture, request: &PermitRequest, allowed: &[usize]) {
    let permits: BTreeMap<BackendServerId, Permit> = allowed.iter().map(|&i| (server_id(i), permit(i))).collect();
    let now = fixture.now;
    fixture.scheduler.permits_received(request, &permits, now);
}

/// Returns a task that has started with its permit on the only backend server.
fn started() -> (Fixture, Started) {
    let mut fixture = fixture(1);
    fixture.submit(job(1, vec![step(1, 8)]));
    let request = permit_request(&mut fixture);
    answer(&mut fixture, &request, &[0]);
    let started = fixture.start_all().remove(0);
    (fixture, started)
}

fn servers(started: &[Started]) -> Vec<BackendServerId> {
    let mut servers: Vec<BackendServerId> = started.iter().map(|s| s.server.clone()).collect();
    servers.sort();
    servers.dedup();
    servers
}

#[test]
fn a_step_starts_only_where_it_is_allowed_and_carries_the_permit() {
    let mut fixture = fixture(4);
    fixture.submit(job(1, vec![step(2, 4)]));
    let request = permit_request(&mut fixture);
    assert_eq!(request.step, StepId { occurrence: OccurrenceId { job: JobId(1), number: 0 }, step: 0 });
    assert_eq!(request.servers.len(), 4);
    // 100 ms + 4 x 2 ms.
    assert_eq!(request.takes, Duration::from_millis(108));
    answer(&mut fixture, &request, &[2]);
    let started = fixture.start_all();
    assert_eq!(servers(&started), [server_id(2)]);
    assert!(started.iter().all(|s| s.permit == Some(permit(2))));
    assert!(!fixture.scheduler.has_permit_requests(), "everything is placed");
}

#[test]
fn permits_for_a_gang_are_requested_until_it_fits_and_never_twice_for_a_refused_backend_server() {
    let mut fixture = fixture(40);
    fixture.submit(job(1, vec![gang(2, 8)]));
    let first = permit_request(&mut fixture);
    assert_eq!(first.servers.len(), 30, "the most that one request may name");
    answer(&mut fixture, &first, &[0]);
    let second = permit_request(&mut fixture);
    assert_eq!(second.servers.len(), 10, "only backend servers that the first request did not name");
    assert!(second.servers.iter().all(|id| !first.servers.contains(id)));
    let added = (0..40).map(server_id).position(|id| id == second.servers[0]).expect("its number is below 40");
    answer(&mut fixture, &second, &[added]);
    assert_eq!(servers(&fixture.start_all()), [server_id(0), server_id(added)]);
}

#[test]
fn an_expired_permit_is_requested_again() {
    let (mut fixture, started) = started();
    fixture.advance(2000);
    fixture.complete(&started, CompletionKind::Stopped);
    let again = permit_request(&mut fixture);
    assert_eq!(again.servers, [server_id(0)]);
    answer(&mut fixture, &again, &[0]);
    assert_eq!(fixture.start_all().len(), 1);
}

#[test]
fn a_refused_permit_is_requested_again_and_the_backend_server_stays_in_use() {
    let mut fixture = fixture(1);
    fixture.submit(job(1, vec![step(1, 8)]));
    let request = permit_request(&mut fixture);
    answer(&mut fixture, &request, &[0]);
    let ordered = fixture.ordered_starts().remove(0);
    fixture.reply(&ordered, StartReply::NoTicket);
    let again = permit_request(&mut fixture);
    answer(&mut fixture, &again, &[0]);
    assert_eq!(fixture.start_all().len(), 1, "a refused permit does not pause the backend server");
}

#[test]
fn one_request_is_in_flight_at_a_time_and_a_failed_one_is_repeated() {
    let mut fixture = fixture(2);
    fixture.submit(job(1, vec![step(1, 1)]));
    fixture.submit(job(2, vec![step(1, 1)]));
    let first = permit_request(&mut fixture);
    fixture.start_all();
    assert!(fixture.scheduler.take_permit_request().is_none(), "the first is not answered yet");
    fixture.scheduler.permit_request_failed(&first);
    let again = permit_request(&mut fixture);
    assert_eq!(again, first);
    answer(&mut fixture, &again, &[0, 1]);
    assert_eq!(fixture.start_all().len(), 1);
    let second = fixture.scheduler.take_permit_request().expect("the second job needs a permit of its own");
    assert_eq!(second.step.occurrence.job, JobId(2));
}
