//! Who is, or was, at the address of a backend server that answers: asked once for each by a new scheduler.

use std::net::SocketAddr;

use model::BackendServerId;
use runtime::addresses::Addresses;

fn id(i: usize) -> BackendServerId {
    format!("s{i}").parse().expect("it is a valid id")
}

fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 80))
}

/// One look at each address, however many there are: with 6,000 links looked through for each of 6,000 first answers, a new
/// scheduler made 36 million comparisons, and four times as many at twice the size.
#[test]
fn what_is_looked_at_for_one_backend_server_does_not_grow_with_their_number() {
    for servers in [100, 200, 2000] {
        let mut addresses = Addresses::default();
        for i in 0..servers {
            addresses.open(&id(i), addr(i));
        }
        let looked_at: usize = (0..servers).map(|i| addresses.others_at(&id(servers), addr(i)).len()).sum();
        assert_eq!(looked_at, servers);
    }
}

#[test]
fn another_life_at_an_address_is_told_whether_its_link_is_open_or_closed() {
    let mut addresses = Addresses::default();
    addresses.open(&id(1), addr(1));
    addresses.open(&id(2), addr(1));
    assert_eq!(addresses.others_at(&id(2), addr(1)), [id(1)]);
    addresses.close(&id(1), addr(1));
    assert_eq!(addresses.others_at(&id(2), addr(1)), [id(1)]);
    assert!(addresses.others_at(&id(1), addr(1)).contains(&id(2)));
}

#[test]
fn one_that_is_open_again_was_not_replaced_where_it_was_before() {
    let mut addresses = Addresses::default();
    addresses.open(&id(1), addr(1));
    addresses.close(&id(1), addr(1));
    addresses.open(&id(1), addr(2));
    assert!(addresses.others_at(&id(2), addr(1)).is_empty());
    assert_eq!(addresses.others_at(&id(2), addr(2)), [id(1)]);
}

#[test]
fn one_that_has_moved_is_not_told_of_at_its_former_address() {
    let mut addresses = Addresses::default();
    addresses.open(&id(1), addr(1));
    addresses.move_away(&id(1), addr(1));
    addresses.open(&id(1), addr(2));
    assert!(addresses.others_at(&id(2), addr(1)).is_empty());
}

#[test]
fn the_latest_that_was_closed_counts() {
    let mut addresses = Addresses::default();
    for i in [1, 2] {
        addresses.open(&id(i), addr(1));
        addresses.close(&id(i), addr(1));
    }
    assert_eq!(addresses.others_at(&id(3), addr(1)), [id(2)]);
    // The earlier one comes back: what was closed after it stays known.
    addresses.open(&id(1), addr(2));
    assert_eq!(addresses.others_at(&id(3), addr(1)), [id(2)]);
}
