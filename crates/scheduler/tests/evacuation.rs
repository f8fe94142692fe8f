//! Evacuated availability zones, and the end of evacuations.
//!
//! Backend servers 0 to 3 are in `az-1`, 4 to 7 in `az-2`, and so on, alternating by four.

mod common;

use std::collections::BTreeSet;

use common::{Fixture, gang, job, job_in, run_number, server_id, step, zone};
use jobs::{JobState, OccurrenceId, Placement, Progress, RunNumber, Step};
use model::{AvailabilityZoneId, Duration, Revision};
use scheduler::{CompletionKind, EvacuatedBy, EvacuationError, Order, StartReply};

fn evacuate(fixture: &mut Fixture, rack: usize) {
    let now = fixture.now;
    fixture.scheduler.evacuate(&zone(rack), EvacuatedBy::Platform, now);
}

fn end_evacuation(fixture: &mut Fixture, rack: usize) {
    fixture.scheduler.end_evacuation(&zone(rack), EvacuatedBy::Platform);
}

fn long_running() -> Step {
    Step { long_running: true, ..step(2, 8) }
}

#[test]
fn nothing_starts_in_an_evacuated_zone() {
    let mut fixture = Fixture::new(4);
    evacuate(&mut fixture, 0);
    fixture.submit(job_in("urgent", 1, vec![step(2, 4)]));
    assert!(fixture.start_all().is_empty());
    end_evacuation(&mut fixture, 0);
    assert_eq!(fixture.start_all().len(), 2);
}

#[test]
fn work_is_placed_in_other_zones() {
    let mut fixture = Fixture::new(8);
    evacuate(&mut fixture, 0);
    fixture.submit(job_in("urgent", 1, vec![gang(4, 8)]));
    let started = fixture.start_all();
    assert_eq!(started.len(), 4);
    assert!(started.iter().all(|started| started.server >= server_id(4)), "{started:?}");
}

#[test]
fn running_tasks_finish_in_an_evacuated_zone() {
    let mut fixture = Fixture::new(8);
    fixture.submit(job(1, vec![Step { checkpoints: true, ..step(1, 8) }]));
    let started = fixture.start_all();
    evacuate(&mut fixture, 0);
    fixture.advance(1000);
    assert!(fixture.start_all().is_empty());
    assert!(fixture.stops.is_empty(), "it would lose what it has done since its checkpoint");
    fixture.complete(&started[0], CompletionKind::Done);
    fixture.store_all();
    assert_eq!(fixture.state(1), Some(JobState::Succeeded));
}

#[test]
fn runs_that_were_placed_and_not_ordered_are_placed_again() {
    let mut fixture = Fixture::new(8);
    fixture.submit(job_in("urgent", 1, vec![gang(4, 8)]));
    let now = fixture.now;
    fixture.scheduler.plan(now, now.millis());
    let batch = fixture.scheduler.next_write_batch(8).expect("a run was placed");
    assert_eq!(batch.placement_zones, BTreeSet::from([zone(0)]));
    evacuate(&mut fixture, 0);
    // The write was in flight and took effect before the evacuation.
    fixture.scheduler.batch_stored(batch, Revision(50));
    assert!(fixture.scheduler.take_orders().is_empty());
    let started = fixture.start_all();
    assert_eq!(started.len(), 4);
    assert!(started.iter().all(|started| started.server >= server_id(4) && run_number(started) == 2), "{started:?}");
}

#[test]
fn a_queued_order_is_not_sent_after_an_evacuation() {
    let mut fixture = Fixture::new(8);
    fixture.submit(job_in("urgent", 1, vec![step(1, 8)]));
    let now = fixture.now;
    fixture.scheduler.plan(now, now.millis());
    fixture.store_all();
    let orders = fixture.scheduler.take_orders();
    let [Order::Start { server, task, run, .. }] = &orders[..] else { panic!("{orders:?}") };
    assert!(fixture.scheduler.may_start(server, *task, *run));
    evacuate(&mut fixture, 0);
    assert!(!fixture.scheduler.may_start(server, *task, *run));
    fixture.scheduler.start_withdrawn(server, *task, *run, now);
    let started = fixture.start_all();
    assert_eq!(started.len(), 1, "it was never sent, so nothing of it can run");
    assert!(started[0].server >= server_id(4));
}

#[test]
fn an_order_without_a_reply_is_not_repeated_in_an_evacuated_zone() {
    let mut fixture = Fixture::new(8);
    fixture.submit(job_in("urgent", 1, vec![step(1, 8)]));
    let now = fixture.now;
    fixture.scheduler.plan(now, now.millis());
    fixture.store_all();
    let orders = fixture.scheduler.take_orders();
    let [Order::Start { server, task, run, .. }] = &orders[..] else { panic!("{orders:?}") };
    evacuate(&mut fixture, 0);
    fixture.scheduler.start_replied(server, *task, *run, StartReply::Unknown, now);
    let orders = fixture.scheduler.take_orders();
    assert!(matches!(&orders[..], [Order::Stop { .. }]), "it may run now or later: {orders:?}");
    assert!(fixture.start_all().is_empty(), "it is placed again only once it certainly does not run");
}

#[test]
fn long_running_tasks_move_as_their_step_allows() {
    let mut fixture = Fixture::new(8);
    fixture.percent = 100;
    fixture.submit(job(1, vec![Step { max_absent: Some(1), ..long_running() }]));
    let started = fixture.start_all();
    assert!(started.iter().all(|started| started.server < server_id(4)));
    fixture.advance(100);
    evacuate(&mut fixture, 0);
    fixture.start_all();
    assert_eq!(fixture.stops.len(), 1, "one may be absent at a time");
    let stopped = fixture.stops[0].subject().1;
    let first = started.iter().find(|started| started.task == stopped).expect("it was started");
    fixture.complete(first, CompletionKind::Stopped);
    assert_eq!(fixture.start_all().len(), 1);
    fixture.advance(100);
    fixture.start_all();
    assert_eq!(fixture.stops.len(), 2, "the first is running again elsewhere");
}

#[test]
fn an_evacuation_requested_by_two_ends_when_both_have_ended_it() {
    let mut fixture = Fixture::new(4);
    let now = fixture.now;
    evacuate(&mut fixture, 0);
    evacuate(&mut fixture, 0);
    fixture.scheduler.evacuate(&zone(0), EvacuatedBy::Operators, now);
    fixture.submit(job_in("urgent", 1, vec![step(1, 4)]));
    end_evacuation(&mut fixture, 0);
    assert!(fixture.start_all().is_empty());
    fixture.scheduler.end_evacuation(&zone(0), EvacuatedBy::Operators);
    assert_eq!(fixture.start_all().len(), 1);
}

#[test]
fn two_evacuations_overlap() {
    let mut fixture = Fixture::new(8);
    evacuate(&mut fixture, 0);
    evacuate(&mut fixture, 1);
    fixture.submit(job_in("urgent", 1, vec![gang(4, 8)]));
    assert!(fixture.start_all().is_empty(), "the platform's evacuations hold even if nothing is left");
    end_evacuation(&mut fixture, 0);
    evacuate(&mut fixture, 1);
    assert!(fixture.start_all().iter().all(|started| started.server < server_id(4)));
    assert_eq!(fixture.scheduler.evacuations(fixture.now).len(), 1);
}

#[test]
fn an_evacuation_that_is_ended_within_a_second_and_requested_again_holds() {
    let mut fixture = Fixture::new(4);
    evacuate(&mut fixture, 0);
    fixture.advance(900);
    end_evacuation(&mut fixture, 0);
    evacuate(&mut fixture, 0);
    fixture.submit(job_in("urgent", 1, vec![step(1, 4)]));
    assert!(fixture.start_all().is_empty());
}

#[test]
fn a_full_list_ends_evacuations_that_it_does_not_hold() {
    let mut fixture = Fixture::new(8);
    let now = fixture.now;
    evacuate(&mut fixture, 0);
    // The watch lost its history, and the list was read again.
    fixture.scheduler.set_evacuated(EvacuatedBy::Platform, &BTreeSet::from([zone(1)]), now);
    fixture.submit(job_in("urgent", 1, vec![gang(4, 8)]));
    let started = fixture.start_all();
    assert!(started.len() == 4 && started.iter().all(|started| started.server < server_id(4)), "{started:?}");
}

#[test]
fn a_backend_server_that_joins_during_an_evacuation_gets_no_work() {
    let mut fixture = Fixture::new(0);
    evacuate(&mut fixture, 0);
    fixture.add_server(0);
    fixture.submit(job_in("urgent", 1, vec![step(1, 4)]));
    assert!(fixture.start_all().is_empty());
    end_evacuation(&mut fixture, 0);
    assert_eq!(fixture.start_all().len(), 1);
}

#[test]
fn a_new_scheduler_keeps_restored_runs_in_an_evacuated_zone_and_starts_nothing_there() {
    let mut fixture = Fixture::new(0);
    let now = fixture.now;
    fixture.scheduler.set_evacuated(EvacuatedBy::Platform, &BTreeSet::from([zone(0)]), now);
    let job = job_in("urgent", 1, vec![step(2, 4)]);
    let mut progress = Progress::new(&job);
    progress.groups[0][0].run = RunNumber(1);
    progress.groups[0][0].placed =
        vec![Placement { index: 0, server: server_id(0), incarnation: None, address: "".into() }];
    fixture.submit(job.clone());
    fixture.scheduler.restore(OccurrenceId { job: job.id, number: 0 }, progress, Revision(5));
    fixture.add_server(0);
    assert!(fixture.start_all().is_empty());
    assert!(fixture.stops.is_empty());
    fixture.add_server(4);
    assert_eq!(fixture.start_all()[0].server, server_id(4));
}

#[test]
fn status_reports_what_still_runs_there_and_for_how_long() {
    let mut fixture = Fixture::new(8);
    fixture.submit(job(1, vec![step(3, 4)]));
    fixture.start_all();
    fixture.now = fixture.now + Duration::from_millis(500);
    evacuate(&mut fixture, 0);
    fixture.now = fixture.now + Duration::from_millis(500);
    let status = fixture.scheduler.evacuations(fixture.now);
    assert_eq!(status.len(), 1);
    assert_eq!(status[0].availability_zone, zone(0));
    assert_eq!((status[0].running_tasks, status[0].known_ms, status[0].longest_left_ms), (3, 500, 1000));
    assert_eq!((status[0].guaranteed, status[0].accelerators_elsewhere), (16, 32));
}

#[test]
fn operators_cannot_evacuate_a_zone_that_guarantees_need() {
    // One backend server in az-1, four in az-2; 16 accelerators are guaranteed.
    let mut fixture = Fixture::new(0);
    for i in [0, 4, 5, 6, 7] {
        fixture.add_server(i);
    }
    let refused = |fixture: &Fixture, zone: AvailabilityZoneId| fixture.scheduler.check_evacuation(&zone).unwrap_err();
    assert_eq!(fixture.scheduler.check_evacuation(&zone(0)), Ok(()));
    let why = refused(&fixture, zone(1));
    assert_eq!(why, EvacuationError::Guarantees { zone: zone(1), left: 8, guaranteed: 16 });
    assert_eq!(why.to_string(), "without az-2 8 accelerators are left, and customers are guaranteed 16: 8 too few");
    let unknown = refused(&fixture, "az-9".parse().expect("it is a valid id"));
    assert_eq!(unknown.to_string(), "no backend server is in availability zone az-9; allowed are az-1, az-2");
    evacuate(&mut fixture, 0);
    assert_eq!(refused(&fixture, zone(1)), EvacuationError::LastZone { zone: zone(1) });
    // An evacuation by the platform holds all the same, and status reports what is missing.
    evacuate(&mut fixture, 1);
    let status = fixture.scheduler.evacuations(fixture.now);
    assert_eq!((status[0].guaranteed, status[0].accelerators_elsewhere), (16, 0));
}
