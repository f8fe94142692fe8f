//! Which boxes the others go through, and what the store and each of them are asked as the fleet grows.

use std::{collections::BTreeMap, net::SocketAddr};

use model::{AvailabilityZoneId, BoxId};
use runtime::relay_boxes::{ListedBox, RelayBoxes};

fn id(i: usize) -> BoxId {
    format!("box-{i}").parse().expect("it is a valid id")
}

fn zone(i: usize) -> AvailabilityZoneId {
    format!("az-{}", i % 5).parse().expect("it is a valid id")
}

/// Every tenth has a wide link.
fn boxes(count: usize) -> BTreeMap<BoxId, ListedBox> {
    let listed = |i: usize| ListedBox {
        addr: SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 80)),
        availability_zone: zone(i / 10),
        link_mbps: if i.is_multiple_of(10) { 1000.0 } else { 20.0 },
    };
    (0..count).map(|i| (id(i), listed(i))).collect()
}

/// How many boxes ask each named one first.
fn asked(relay_boxes: &RelayBoxes, count: usize) -> BTreeMap<SocketAddr, usize> {
    let mut asked = BTreeMap::new();
    for i in 0..count {
        if relay_boxes.is_relayed(&id(i)) {
            *asked.entry(relay_boxes.order_for(&id(i), &zone(i / 10))[0]).or_insert(0) += 1;
        }
    }
    asked
}

/// Documents that the store sends for a change, and that one box sends: 586 and none if all watch the store, and both about the square root here.
#[test]
fn what_a_change_asks_of_the_store_and_of_one_box_grows_with_the_square_root_of_the_boxes() {
    for (count, from_store, from_one) in [(586, 32, 80), (1172, 35, 120), (2344, 49, 180)] {
        let relay_boxes = RelayBoxes::choose(&boxes(count));
        assert_eq!((relay_boxes.box_count, relay_boxes.relays.len()), (count, from_store));
        let asked = asked(&relay_boxes, count);
        assert_eq!(asked.values().sum::<usize>(), count - from_store);
        let most = asked.values().max().copied().unwrap_or_default();
        assert!(most <= from_one, "one of {from_store} sends {most} of {count} documents");
    }
}

#[test]
fn where_boxes_are_few_each_watches_the_store() {
    for count in [1, 8, 32] {
        let relay_boxes = RelayBoxes::choose(&boxes(count));
        assert!((0..count).all(|i| !relay_boxes.is_relayed(&id(i))));
    }
}

/// One of a few boxes that did not answer when they were named is not named, and watches the store all the same.
#[test]
fn a_box_that_was_silent_among_few_watches_the_store() {
    let mut left = boxes(8);
    left.remove(&id(3));
    let relay_boxes = RelayBoxes { box_count: 8, ..RelayBoxes::choose(&left) };
    assert!(!relay_boxes.is_relayed(&id(3)));
}

#[test]
fn wide_links_are_named_first() {
    let relay_boxes = RelayBoxes::choose(&boxes(586));
    let wide = relay_boxes.relays.keys().filter(|id| id.as_str().ends_with('0')).count();
    assert!(wide * 10 >= relay_boxes.relays.len() * 7, "{wide} of {}", relay_boxes.relays.len());
}

#[test]
fn one_box_that_goes_moves_no_other() {
    let all = boxes(586);
    let before = RelayBoxes::choose(&all);
    let gone = before.relays.keys().next().expect("some are named").clone();
    let mut left = all;
    left.remove(&gone);
    let after = RelayBoxes::choose(&left);
    assert!(before.relays.keys().filter(|id| **id != gone).all(|id| after.relays.contains_key(id)));
}

#[test]
fn a_box_asks_those_of_its_own_availability_zone_first() {
    let relay_boxes = RelayBoxes::choose(&boxes(586));
    let here = relay_boxes.relays.values().filter(|relay| relay.availability_zone == zone(3)).count();
    let order = relay_boxes.order_for(&id(5), &zone(3));
    let of_zone =
        |addr: &SocketAddr| relay_boxes.relays.values().any(|r| r.addr == *addr && r.availability_zone == zone(3));
    assert!(here > 0 && order.iter().take(here).all(of_zone));
    assert!(order.iter().skip(here).all(|addr| !of_zone(addr)));
}
