//! Who plans, when boxes come, go and come back.

use membership::{Limits, View};
use model::{BoxId, Duration, Incarnation, Moment};

struct Clock(Moment);

fn id(name: &str) -> BoxId {
    name.parse().expect("a valid id")
}

/// Lets time pass in heartbeats, in which the named boxes are heard.
fn pass(view: &mut View, clock: &mut Clock, span: Duration, heard: &[(&str, u64)]) {
    let every = Limits::default().heartbeat_every;
    for _ in 0..span.millis() / every.millis() {
        clock.0 = clock.0 + every;
        view.tick(clock.0);
        for (name, incarnation) in heard {
            view.heard(&id(name), Incarnation(*incarnation), false, clock.0);
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
    pass(&mut view, &mut clock, Duration::from_secs(10), &[("box-1", 1), ("box-3", 1)]);
    assert_eq!(view.planner(clock.0), &id("box-1"));
}

#[test]
fn a_silent_planner_is_replaced() {
    let (mut view, mut clock) = view();
    pass(&mut view, &mut clock, Duration::from_secs(10), &[("box-1", 1)]);
    pass(&mut view, &mut clock, Duration::from_secs(4), &[]);
    assert_eq!(view.planner(clock.0), &id("box-2"));
    assert!(!view.is_live(&id("box-1"), clock.0));
}

#[test]
fn a_box_that_comes_and_goes_has_to_be_steady_for_longer_each_time() {
    let (mut view, mut clock) = view();
    pass(&mut view, &mut clock, Duration::from_secs(10), &[("box-1", 1)]);
    for _ in 0..3 {
        pass(&mut view, &mut clock, Duration::from_secs(4), &[]);
        pass(&mut view, &mut clock, Duration::from_secs(2), &[("box-1", 1)]);
    }
    pass(&mut view, &mut clock, Duration::from_secs(5), &[("box-1", 1)]);
    assert_eq!(view.planner(clock.0), &id("box-2"), "three returns ask for 24 s");
    pass(&mut view, &mut clock, Duration::from_secs(30), &[("box-1", 1)]);
    assert_eq!(view.planner(clock.0), &id("box-1"));
}

#[test]
fn a_leaving_box_does_not_plan() {
    let (mut view, mut clock) = view();
    pass(&mut view, &mut clock, Duration::from_secs(10), &[("box-1", 1)]);
    view.heard(&id("box-1"), Incarnation(1), true, clock.0);
    assert_eq!(view.planner(clock.0), &id("box-2"));
}

#[test]
fn an_earlier_life_is_not_heard() {
    let (mut view, mut clock) = view();
    pass(&mut view, &mut clock, Duration::from_secs(1), &[("box-1", 5)]);
    view.heard(&id("box-1"), Incarnation(4), true, clock.0);
    assert_eq!(view.peers()[&id("box-1")].incarnation, Incarnation(5));
    assert!(!view.peers()[&id("box-1")].leaving);
}

#[test]
fn a_box_that_was_paused_does_not_judge_others_at_once() {
    let (mut view, mut clock) = view();
    pass(&mut view, &mut clock, Duration::from_secs(10), &[("box-1", 1)]);
    clock.0 = clock.0 + Duration::from_secs(60);
    view.tick(clock.0);
    assert!(!view.may_judge(clock.0));
    assert!(view.is_live(&id("box-1"), clock.0), "it gets the time of a heartbeat");
}
