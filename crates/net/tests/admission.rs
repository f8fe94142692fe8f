//! Admission of connections to memory: the sums stay within the limits, and one client does not shut out others.

use std::{
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

use net::admission::{Admission, ConnectionId, ConnectionLimit, Decision, MemoryLimit, Phase};

const MEMORY: usize = 1_000_000;
const CONNECTIONS: usize = 100;
/// Memory of a connection without a request.
const BASE: usize = 1_000;

fn client(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn admission() -> Admission {
    Admission::new(MemoryLimit(MEMORY), ConnectionLimit(CONNECTIONS))
}

/// Opens a connection whose request begins at once, and returns what is closed for it.
fn begin(admission: &mut Admission, id: u64, from: IpAddr, now: u64) -> Option<Vec<ConnectionId>> {
    let Decision::Granted(closed) = admission.open(ConnectionId(id), from, BASE, at(now)) else { return None };
    admission.set_phase(ConnectionId(id), Phase::Receiving { since: at(now) });
    Some(closed)
}

fn is_granted(decision: &Decision) -> bool {
    matches!(decision, Decision::Granted(_))
}

/// Fills the memory with requests of one client that stop short of their end, and returns their number.
fn crowd(admission: &mut Admission, from: IpAddr) -> u64 {
    let count = 50;
    for id in 0..count {
        assert!(begin(admission, id, from, id).is_some());
        let part = MEMORY / count as usize - BASE;
        assert!(is_granted(&admission.reserve(ConnectionId(id), part)));
    }
    assert_eq!(admission.held().bytes, MEMORY);
    count
}

/// Guards against a crowd that holds all memory without ever ending its requests.
#[test]
fn a_newcomer_is_served_beside_a_crowd_that_stops_short() {
    for newcomer in [client(1), client(2)] {
        let mut admission = admission();
        let mut closed = BTreeSet::new();
        crowd(&mut admission, client(1));
        for id in 100..300 {
            closed.extend(begin(&mut admission, id, newcomer, id).expect("it is admitted"));
            let Decision::Granted(more) = admission.reserve(ConnectionId(id), 20_000) else {
                panic!("{id} is refused")
            };
            closed.extend(more);
            let Decision::Granted(more) = admission.process(ConnectionId(id), 100_000) else {
                panic!("{id} is refused")
            };
            closed.extend(more);
            assert!(admission.held().bytes <= MEMORY);
            admission.close(ConnectionId(id));
        }
        assert!(closed.iter().all(|id| id.0 < 50), "only the crowd's are closed: {closed:?}");
    }
}

/// Guards against new connections that are turned away because idle ones take all places.
#[test]
fn the_longest_idle_connection_makes_room_for_a_new_one() {
    let mut admission = admission();
    for id in 0..CONNECTIONS as u64 {
        assert!(is_granted(&admission.open(ConnectionId(id), client(1), BASE, at(id))));
    }
    let decision = admission.open(ConnectionId(1000), client(1), BASE, at(1000));
    assert_eq!(decision, Decision::Granted(vec![ConnectionId(0)]));
    assert_eq!(admission.held().connections, CONNECTIONS);
}

/// Guards against closing a request that may already have had effects.
#[test]
fn a_request_that_is_processed_is_not_closed() {
    let mut admission = admission();
    for id in 0..3 {
        assert!(begin(&mut admission, id, client(id as u8), id).is_some());
        assert!(is_granted(&admission.process(ConnectionId(id), 300_000)));
    }
    assert!(begin(&mut admission, 3, client(3), 3).is_some());
    assert_eq!(admission.reserve(ConnectionId(3), 200_000), Decision::Refused);
    admission.close(ConnectionId(1));
    assert_eq!(admission.reserve(ConnectionId(3), 200_000), Decision::Granted(vec![]));
}

/// Guards against one client whose requests are processed for long and take all memory or all connections.
#[test]
fn one_client_leaves_room_for_the_requests_of_others() {
    let mut admission = admission();
    let taken = (0..20).filter(|id| {
        assert!(begin(&mut admission, *id, client(1), *id).is_some());
        is_granted(&admission.process(ConnectionId(*id), 99_000))
    });
    assert_eq!(taken.count(), 7, "three quarters of the memory");
    assert!(begin(&mut admission, 100, client(2), 100).is_some());
    assert!(is_granted(&admission.process(ConnectionId(100), 200_000)));

    let mut admission = self::admission();
    let taken = (0..CONNECTIONS as u64).filter(|id| {
        assert!(begin(&mut admission, *id, client(1), *id).is_some());
        is_granted(&admission.process(ConnectionId(*id), 0))
    });
    assert_eq!(taken.count(), CONNECTIONS * 3 / 4);
    assert!(begin(&mut admission, 1000, client(2), 1000).is_some());
    assert!(is_granted(&admission.process(ConnectionId(1000), 0)));
}

/// Guards against a connection with one request that is processed for long, beside which more and more requests begin
/// without an end: it is not closed, so that it could hold all memory.
#[test]
fn a_connection_with_a_request_that_is_processed_leaves_room_for_others() {
    let mut admission = admission();
    assert!(begin(&mut admission, 0, client(1), 0).is_some());
    assert!(is_granted(&admission.process(ConnectionId(0), 1_000)));
    while is_granted(&admission.reserve(ConnectionId(0), 10_000)) {}
    assert!(begin(&mut admission, 1, client(2), 1).is_some());
    assert!(is_granted(&admission.reserve(ConnectionId(1), 100_000)));
    assert!(is_granted(&admission.process(ConnectionId(1), 100_000)));
}

/// Guards against a crowd whose pressure closes the connections of clients that hold little.
#[test]
fn a_client_that_holds_little_keeps_its_connections_beside_a_crowd() {
    let mut admission = admission();
    assert!(begin(&mut admission, 1000, client(2), 0).is_some());
    assert!(is_granted(&admission.reserve(ConnectionId(1000), 10_000)));
    for id in 0..500 {
        // What the crowd closes or is refused is its own.
        let _ = begin(&mut admission, id, client(1), id + 1);
        let _ = admission.reserve(ConnectionId(id), 40_000);
        assert_eq!(admission.client(ConnectionId(1000)), Some(client(2)));
    }
}

/// Guards against an old request that grows at the expense of younger ones of its client.
#[test]
fn the_oldest_request_is_refused_rather_than_a_younger_one_closed() {
    let mut admission = admission();
    let count = crowd(&mut admission, client(1));
    assert_eq!(admission.reserve(ConnectionId(0), 1), Decision::Refused);
    assert_eq!(admission.held().connections, count as usize);
    assert_eq!(admission.reserve(ConnectionId(count - 1), 1), Decision::Granted(vec![ConnectionId(0)]));
}

/// Guards against sums that drift, and against a limit that some order of events exceeds.
#[test]
fn sums_stay_within_the_limits_in_any_order_of_events() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut admission = admission();
        let mut processing = BTreeSet::new();
        for now in 0..500 {
            let id = rng.u64(0..150);
            let bytes = rng.usize(0..200_000);
            let decision = match rng.u8(0..7) {
                0 | 1 if admission.client(ConnectionId(id)).is_none() => {
                    admission.open(ConnectionId(id), client(rng.u8(0..4)), BASE, at(now))
                }
                2 => admission.reserve(ConnectionId(id), bytes),
                3 => {
                    let decision = admission.process(ConnectionId(id), bytes / 4);
                    if is_granted(&decision) {
                        processing.insert(ConnectionId(id));
                    }
                    decision
                }
                4 => {
                    admission.release(ConnectionId(id), bytes);
                    continue;
                }
                5 => {
                    admission.set_phase(ConnectionId(id), Phase::Sending { since: at(now) });
                    processing.remove(&ConnectionId(id));
                    continue;
                }
                6 => {
                    admission.close(ConnectionId(id));
                    processing.remove(&ConnectionId(id));
                    continue;
                }
                _ => continue,
            };
            if let Decision::Granted(closed) = decision {
                assert!(closed.iter().all(|id| !processing.contains(id)), "seed {seed}: {closed:?}");
                assert!(closed.iter().all(|id| admission.client(*id).is_none()), "seed {seed}: {closed:?}");
            }
            let held = admission.held();
            assert!(held.bytes <= MEMORY && held.connections <= CONNECTIONS, "seed {seed}: {held:?}");
        }
        for id in 0..150 {
            admission.close(ConnectionId(id));
        }
        assert_eq!(admission.held(), net::admission::Held::default(), "seed {seed}");
    }
}
