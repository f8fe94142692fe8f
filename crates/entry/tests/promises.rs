//! Guarantees that fuzzing does not reach: configuration, draining backend servers and draining boxes.

mod common;

use common::{SHAPE, limits, operator_file, planner, spec};
use model::{BackendServerId, BoxId, Duration, OperatorFile, Outcome, Revision, ServerMode};
use spread::Applied;
use test_utils::Cluster;

/// Time within which a configuration is in force everywhere (letter 1).
const IN_FORCE_WITHIN: Duration = Duration::from_secs(13);
/// Time after which a draining backend server gets no new work.
const NO_NEW_WORK_AFTER: Duration = Duration::from_secs(3);

fn cluster() -> Cluster {
    let mut cluster = Cluster::new(SHAPE, operator_file(), limits(), planner, 7);
    cluster.advance(Duration::from_secs(5));
    cluster
}

fn a_box(name: &str) -> BoxId {
    name.parse().expect("a valid id")
}

fn a_server(name: &str) -> BackendServerId {
    name.parse().expect("a valid id")
}

fn with_share(share: u32) -> OperatorFile {
    let mut file = operator_file();
    for customer in file.customers.values_mut() {
        customer.share = share;
    }
    file
}

fn is_accepted(applied: Option<&Applied>, revision: u64) -> bool {
    matches!(applied, Some(Applied::Accepted { revision: it, .. }) if *it == Revision(revision))
}

#[test]
fn a_file_is_in_force_everywhere_in_time() {
    let mut cluster = cluster();
    let operator = cluster.apply(&a_box("az-1-box-1"), "a1", Revision(1), with_share(5));
    cluster.advance(IN_FORCE_WITHIN);
    assert!(is_accepted(cluster.applied(operator), 2));
    assert_eq!(cluster.lowest_revision(), Revision(2));
    assert_eq!(cluster.violations(), vec![]);
}

#[test]
fn of_two_concurrent_applies_one_gets_a_conflict() {
    let mut cluster = cluster();
    let first = cluster.apply(&a_box("az-1-box-1"), "a1", Revision(1), with_share(5));
    let second = cluster.apply(&a_box("az-2-box-1"), "a2", Revision(1), with_share(6));
    cluster.advance(IN_FORCE_WITHIN);
    let results: Vec<_> = [first, second].into_iter().filter_map(|n| cluster.applied(n)).collect();
    let accepted = results.iter().filter(|it| is_accepted(Some(it), 2)).count();
    let conflicts = results
        .iter()
        .filter(|it| matches!(it, Applied::Conflict { stored: Some(doc) } if doc.revision == Revision(2)));
    assert_eq!((accepted, conflicts.count()), (1, 1), "{results:?}");
}

#[test]
fn a_lost_reply_is_resolved_by_reading_back() {
    let mut cluster = cluster();
    // The reply to the read arrives; the reply to the write is lost.
    let operator = cluster.apply(&a_box("az-1-box-1"), "a1", Revision(1), with_share(5));
    cluster.advance(Duration::from_millis(11));
    cluster.lose_store_answers(1);
    cluster.advance(IN_FORCE_WITHIN);
    assert!(is_accepted(cluster.applied(operator), 2), "{:?}", cluster.applied(operator));
    // A repeated apply with the same id has the same result.
    let again = cluster.apply(&a_box("az-2-box-1"), "a1", Revision(1), with_share(5));
    cluster.advance(IN_FORCE_WITHIN);
    assert!(is_accepted(cluster.applied(again), 2), "{:?}", cluster.applied(again));
}

#[test]
fn a_restarted_box_of_a_cut_off_availability_zone_takes_its_peers_revision() {
    let mut cluster = cluster();
    cluster.apply(&a_box("az-1-box-1"), "a1", Revision(1), with_share(5));
    cluster.advance(IN_FORCE_WITHIN);
    cluster.set_store_down(true);
    cluster.kill_box(&a_box("az-1-box-1"));
    cluster.start_box(&a_box("az-1-box-1"));
    cluster.advance(IN_FORCE_WITHIN);
    assert_eq!(cluster.lowest_revision(), Revision(2));
    // The availability zone continues to serve without the platform.
    let caller = cluster.submit(spec(1, 0, 2, 100), false, &a_box("az-1-box-1"));
    cluster.advance(Duration::from_secs(5));
    assert!(matches!(cluster.outcome(caller), Some(Outcome::Done { .. })), "{}", cluster.transcript(caller));
}

#[test]
fn a_server_that_the_file_drains_finishes_its_work_and_gets_no_more() {
    let mut cluster = cluster();
    let server = a_server("s11");
    let running = cluster.submit(spec(1, 7, 0, 20_000), false, &a_box("az-1-box-1"));
    cluster.advance(Duration::from_secs(2));
    assert_eq!(cluster.starts_on(&server).len(), 1, "the gang takes the whole availability zone");
    let mut file = operator_file();
    file.backend_servers.get_mut(&server).expect("it stands in the file").mode = ServerMode::Draining;
    cluster.apply(&a_box("az-1-box-2"), "a1", Revision(1), file);
    cluster.advance(NO_NEW_WORK_AFTER);
    let since = cluster.now();
    for n in 2..20 {
        cluster.submit(spec(n, 0, 2, 3000), false, &a_box("az-1-box-1"));
        cluster.advance(Duration::from_secs(2));
    }
    assert!(matches!(cluster.outcome(running), Some(Outcome::Done { .. })), "the running gang was not cut off");
    assert!(cluster.starts_on(&server).iter().all(|began| *began < since), "it was given new work");
    assert_eq!(cluster.violations(), vec![]);
}

#[test]
fn a_draining_box_finishes_its_jobs_and_hands_its_queue_over() {
    let mut cluster = cluster();
    let first = a_box("az-1-box-1");
    let running = cluster.submit(spec(1, 7, 0, 20_000), false, &first);
    let waiting = cluster.submit(spec(2, 1, 0, 1000), false, &first);
    cluster.advance(Duration::from_secs(3));
    cluster.drain_box(&first);
    cluster.advance(Duration::from_secs(40));
    assert!(cluster.has_left(&first), "{}", cluster.statuses());
    for caller in [running, waiting] {
        assert!(matches!(cluster.outcome(caller), Some(Outcome::Done { .. })), "{}", cluster.transcript(caller));
    }
    // A job that may run only once ran once: nothing was stopped and restarted.
    assert_eq!(cluster.violations(), vec![]);
}
