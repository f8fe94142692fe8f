//! The choice of relay boxes, and the load of the store and of each relay as the number of boxes grows.

use std::{collections::BTreeMap, net::SocketAddr};

use model::{AvailabilityZoneId, BoxId};
use runtime::relay_boxes::{ListedBox, RelayBoxes};

fn id(i: usize) -> BoxId {
    format!("box-{i}").parse().expect("it is a valid id")
}

fn zone(i: usize) -> AvailabilityZoneId {
    format!("az-{}", i % 5).parse().expect("it is a valid id")
}

/// Boxes of which every tenth has a wide link.
fn boxes(count: usize) -> BTreeMap<BoxId, ListedBox> {
    let listed = |i: usize| ListedBox {
        addr: SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 80)),
        availability_zone: zone(i / 10),
        link_mbps: if i.is_multiple_of(10) { 1000.0 } else { 20.0 },
    };
    (0..count).map(|i| (id(i), listed(i))).collect()
}

/// Number of boxes that query each relay first.
fn queries_per_relay(relay_boxes: &RelayBoxes, count: usize) -> BTreeMap<SocketAddr, usize> {
    let mut queries_per_relay = BTreeMap::new();
    for i in 0..count {
        if relay_boxes.is_relayed(&id(i)) {
            *queries_per_relay.entry(relay_boxes.order_for(&id(i), &zone(i / 10))[0]).or_insert(0) += 1;
        }
    }
    queries_per_relay
}

/// Each case: boxes, documents that the store sends for a change, and most documents that one relay sends. If all 586
/// boxes watched the store, it would send 586; with relays both numbers are about the square root.
#[test]
fn load_of_the_store_and_of_each_relay_grows_with_the_square_root_of_the_boxes() {
    for (count, from_store, from_one) in [(586, 32, 80), (1172, 35, 120), (2344, 49, 180)] {
        let relay_boxes = RelayBoxes::choose(&boxes(count));
        assert_eq!((relay_boxes.box_count, relay_boxes.relays.len()), (count, from_store));
        let queries_per_relay = queries_per_relay(&relay_boxes, count);
        assert_eq!(queries_per_relay.values().sum::<usize>(), count - from_store);
        let max_queries = queries_per_relay.values().max().copied().unwrap_or_default();
        assert!(max_queries <= from_one, "one of {from_store} sends {max_queries} of {count} documents");
    }
}

#[test]
fn every_box_watches_the_store_where_boxes_are_few() {
    for count in [1, 8, 32] {
        let relay_boxes = RelayBoxes::choose(&boxes(count));
        assert!((0..count).all(|i| !relay_boxes.is_relayed(&id(i))));
    }
}

/// A box that did not respond when relays were chosen is no relay, but watches the store if boxes are few.
#[test]
fn unresponsive_box_among_few_watches_the_store() {
    let mut left = boxes(8);
    left.remove(&id(3));
    let relay_boxes = RelayBoxes { box_count: 8, ..RelayBoxes::choose(&left) };
    assert!(!relay_boxes.is_relayed(&id(3)));
}

#[test]
fn boxes_with_wide_links_are_chosen_first() {
    let relay_boxes = RelayBoxes::choose(&boxes(586));
    let wide = relay_boxes.relays.keys().filter(|id| id.as_str().ends_with('0')).count();
    assert!(wide * 10 >= relay_boxes.relays.len() * 7, "{wide} of {}", relay_boxes.relays.len());
}

#[test]
fn removing_a_box_moves_no_other() {
    let all = boxes(586);
    let before = RelayBoxes::choose(&all);
    let removed = before.relays.keys().next().expect("some are named").clone();
    let mut left = all;
    left.remove(&removed);
    let after = RelayBoxes::choose(&left);
    assert!(before.relays.keys().filter(|id| **id != removed).all(|id| after.relays.contains_key(id)));
}

#[test]
fn relays_of_the_own_availability_zone_come_first() {
    let relay_boxes = RelayBoxes::choose(&boxes(586));
    let relays_in_zone = relay_boxes.relays.values().filter(|relay| relay.availability_zone == zone(3)).count();
    let order = relay_boxes.order_for(&id(5), &zone(3));
    let of_zone =
        |addr: &SocketAddr| relay_boxes.relays.values().any(|r| r.addr == *addr && r.availability_zone == zone(3));
    assert!(relays_in_zone > 0 && order.iter().take(relays_in_zone).all(of_zone));
    assert!(order.iter().skip(relays_in_zone).all(|addr| !of_zone(addr)));
}
