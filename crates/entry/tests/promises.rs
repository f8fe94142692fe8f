//! Promises that fuzzing does not reach: configuration, leaving backend servers, planned stops.

mod common;

use common::{SHAPE, limits, operator_file, planner, spec};
use model::{BackendServerId, BoxId, Duration, OperatorFile, Outcome, Revision, ServerMode};
use spread::Applied;
use test_utils::Cluster;

/// In force everywhere within this (letter 1).
const IN_FORCE: Duration = Duration::from_secs(13);
/// A leaving backend server gets no new work after this.
const LEAVING: Duration = Duration::from_secs(3);

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
    cluster.advance(IN_FORCE);
    assert!(is_accepted(cluster.applied(operator), 2));
    assert_eq!(cluster.lowest_revision(), Revision(2));
    assert_eq!(cluster.violations(), vec![]);
}

#[test]
fn of_two_racing_operators_one_is_told_of_the_other() {
    let mut cluster = cluster();
    let first = cluster.apply(&a_box("az-1-box-1"), "a1", Revision(1), with_share(5));
    let second = cluster.apply(&a_box("az-2-box-1"), "a2", Revision(1), with_share(6));
    cluster.advance(IN_FORCE);
    let told: Vec<_> = [first, second].into_iter().filter_map(|n| cluster.applied(n)).collect();
    let accepted = told.iter().filter(|it| is_accepted(Some(it), 2)).count();
    let conflicts =
        told.iter().filter(|it| matches!(it, Applied::Conflict { standing: Some(doc) } if doc.revision == Revision(2)));
    assert_eq!((accepted, conflicts.count()), (1, 1), "{told:?}");
}

#[test]
fn a_lost_answer_is_settled_by_reading_back() {
    let mut cluster = cluster();
    // The answer to the read comes; the one to the write is lost.
    let operator = cluster.apply(&a_box("az-1-box-1"), "a1", Revision(1), with_share(5));
    cluster.advance(Duration::from_millis(11));
    cluster.lose_store_answers(1);
    cluster.advance(IN_FORCE);
    assert!(is_accepted(cluster.applied(operator), 2), "{:?}", cluster.applied(operator));
    // Sent again with the same id, it is the same apply.
    let again = cluster.apply(&a_box("az-2-box-1"), "a1", Revision(1), with_share(5));
    cluster.advance(IN_FORCE);
    assert!(is_accepted(cluster.applied(again), 2), "{:?}", cluster.applied(again));
}

#[test]
fn a_restarted_box_of_a_cut_off_availability_zone_takes_its_peers_revision() {
    let mut cluster = cluster();
    cluster.apply(&a_box("az-1-box-1"), "a1", Revision(1), with_share(5));
    cluster.advance(IN_FORCE);
    cluster.set_store_down(true);
    cluster.kill_box(&a_box("az-1-box-1"));
    cluster.start_box(&a_box("az-1-box-1"));
    cluster.advance(IN_FORCE);
    assert_eq!(cluster.lowest_revision(), Revision(2));
    // And the availability zone goes on serving without the platform.
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
    cluster.advance(LEAVING);
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
fn a_box_that_leaves_cuts_off_nothing_and_hands_its_queue_over() {
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
    // What may run only once ran once: nothing was cut off and begun again.
    assert_eq!(cluster.violations(), vec![]);
}
