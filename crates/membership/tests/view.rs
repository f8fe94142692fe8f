//! Choice of the planner while boxes join, fail, drain and return.

use membership::{Limits, View};
use model::{BoxId, Duration, Incarnation, Moment};

struct Clock(Moment);

fn id(name: &str) -> BoxId {
    name.parse().expect("a valid id")
}

/// Advances the clock by `span` in steps of one heartbeat interval, with heartbeats of the given boxes and
/// incarnations.
fn advance(view: &mut View, clock: &mut Clock, span: Duration, live: &[(&str, u64)]) {
    let every = Limits::default().heartbeat_every;
    for _ in 0..span.millis() / every.millis() {
        clock.0 = clock.0 + every;
        view.tick(clock.0);
        for (name, incarnation) in live {
            view.record_heartbeat(&id(name), Incarnation(*incarnation), false, clock.0);
        }
    }
}

fn view() -> (View, Clock) {
    let clock = Clock(Moment::from_millis(10_000));
    (View::new(id("box-2"), Limits::default(), clock.0), clock)
}

#[test]
fn the_lowest_steady_box_plans() {
    let (mut view, mut clock) = view();
    advance(&mut view, &mut clock, Duration::from_secs(10), &[("box-1", 1), ("box-3", 1)]);
    assert_eq!(view.planner(clock.0), &id("box-1"));
}

#[test]
fn an_unresponsive_planner_is_replaced() {
    let (mut view, mut clock) = view();
    advance(&mut view, &mut clock, Duration::from_secs(10), &[("box-1", 1)]);
    advance(&mut view, &mut clock, Duration::from_secs(4), &[]);
    assert_eq!(view.planner(clock.0), &id("box-2"));
    assert!(!view.is_live(&id("box-1"), clock.0));
}

#[test]
fn an_unstable_box_must_be_steady_for_longer_after_each_return() {
    let (mut view, mut clock) = view();
    advance(&mut view, &mut clock, Duration::from_secs(10), &[("box-1", 1)]);
    for _ in 0..3 {
        advance(&mut view, &mut clock, Duration::from_secs(4), &[]);
        advance(&mut view, &mut clock, Duration::from_secs(2), &[("box-1", 1)]);
    }
    advance(&mut view, &mut clock, Duration::from_secs(5), &[("box-1", 1)]);
    assert_eq!(view.planner(clock.0), &id("box-2"), "three returns require 24 s without a gap");
    advance(&mut view, &mut clock, Duration::from_secs(30), &[("box-1", 1)]);
    assert_eq!(view.planner(clock.0), &id("box-1"));
}

#[test]
fn a_draining_box_does_not_plan() {
    let (mut view, mut clock) = view();
    advance(&mut view, &mut clock, Duration::from_secs(10), &[("box-1", 1)]);
    view.record_heartbeat(&id("box-1"), Incarnation(1), true, clock.0);
    assert_eq!(view.planner(clock.0), &id("box-2"));
}

#[test]
fn heartbeats_of_an_earlier_incarnation_are_ignored() {
    let (mut view, mut clock) = view();
    advance(&mut view, &mut clock, Duration::from_secs(1), &[("box-1", 5)]);
    view.record_heartbeat(&id("box-1"), Incarnation(4), true, clock.0);
    assert_eq!(view.peers()[&id("box-1")].incarnation, Incarnation(5));
    assert!(!view.peers()[&id("box-1")].draining);
}

#[test]
fn a_paused_box_does_not_consider_others_dead_immediately() {
    let (mut view, mut clock) = view();
    advance(&mut view, &mut clock, Duration::from_secs(10), &[("box-1", 1)]);
    clock.0 = clock.0 + Duration::from_secs(60);
    view.tick(clock.0);
    assert!(!view.can_detect_failures(clock.0));
    assert!(view.is_live(&id("box-1"), clock.0), "it has time to send another heartbeat");
}
