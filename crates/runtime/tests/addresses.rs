//! The index of backend servers by address, which a new scheduler queries once for each backend server.

use std::net::SocketAddr;

use model::BackendServerId;
use runtime::addresses::Addresses;

fn id(i: usize) -> BackendServerId {
    format!("s{i}").parse().expect("it is a valid id")
}

fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 80))
}

/// Guards against a scan of all links for each first response: with 6,000 links, a new scheduler made 36 million
/// comparisons, and four times as many at twice the size.
#[test]
fn lookup_cost_does_not_grow_with_the_number_of_backend_servers() {
    for servers in [100, 200, 2000] {
        let mut addresses = Addresses::default();
        for i in 0..servers {
            addresses.open(&id(i), addr(i));
        }
        let found: usize = (0..servers).map(|i| addresses.others_at(&id(servers), addr(i)).len()).sum();
        assert_eq!(found, servers);
    }
}

#[test]
fn another_incarnation_at_an_address_is_found_by_its_open_or_closed_link() {
    let mut addresses = Addresses::default();
    addresses.open(&id(1), addr(1));
    addresses.open(&id(2), addr(1));
    assert_eq!(addresses.others_at(&id(2), addr(1)), [id(1)]);
    addresses.close(&id(1), addr(1));
    assert_eq!(addresses.others_at(&id(2), addr(1)), [id(1)]);
    assert!(addresses.others_at(&id(1), addr(1)).contains(&id(2)));
}

#[test]
fn reopened_link_is_not_listed_at_its_previous_address() {
    let mut addresses = Addresses::default();
    addresses.open(&id(1), addr(1));
    addresses.close(&id(1), addr(1));
    addresses.open(&id(1), addr(2));
    assert!(addresses.others_at(&id(2), addr(1)).is_empty());
    assert_eq!(addresses.others_at(&id(2), addr(2)), [id(1)]);
}

#[test]
fn moved_backend_server_is_not_listed_at_its_previous_address() {
    let mut addresses = Addresses::default();
    addresses.open(&id(1), addr(1));
    addresses.move_away(&id(1), addr(1));
    addresses.open(&id(1), addr(2));
    assert!(addresses.others_at(&id(2), addr(1)).is_empty());
}

#[test]
fn latest_closed_link_is_listed() {
    let mut addresses = Addresses::default();
    for i in [1, 2] {
        addresses.open(&id(i), addr(1));
        addresses.close(&id(i), addr(1));
    }
    assert_eq!(addresses.others_at(&id(3), addr(1)), [id(2)]);
    // The earlier one is linked again elsewhere; the one that was closed after it stays listed.
    addresses.open(&id(1), addr(2));
    assert_eq!(addresses.others_at(&id(3), addr(1)), [id(2)]);
}
