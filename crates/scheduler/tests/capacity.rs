//! Backend servers whose capacity shrinks and grows while they run. One that does not enforce its capacity accepts
//! every start, so the scheduler must start nothing beyond the remaining capacity, counting runs that are being
//! stopped.

mod common;

use common::{Fixture, info, job, job_in, server_id, step};
use jobs::{JobId, JobState, OccurrenceId, Resources, RunNumber, TaskId};
use model::Revision;
use scheduler::{CompletionKind, Listing, Order, RunningTask, ServerInfo};

fn with_accelerators(accelerators: u64) -> ServerInfo {
    ServerInfo { capacity: Resources { accelerators, ..info(0).capacity }, ..info(0) }
}

fn resize(fixture: &mut Fixture, i: usize, accelerators: u64) {
    fixture.scheduler.server_listed(server_id(i), with_accelerators(accelerators), fixture.now);
}

#[test]
fn nothing_starts_on_a_backend_server_that_runs_more_than_its_capacity() {
    let mut fixture = Fixture::new(1);
    fixture.submit(job_in("urgent", 1, vec![step(3, 2)]));
    let placed = fixture.start_all();
    assert_eq!(placed.len(), 3);
    resize(&mut fixture, 0, 4);
    fixture.submit(job_in("urgent", 2, vec![step(1, 2)]));
    assert!(fixture.start_all().is_empty(), "6 of 4 accelerators are taken");
    fixture.complete(&placed[0], CompletionKind::Done);
    assert!(fixture.start_all().is_empty(), "4 of 4 are taken");
    fixture.complete(&placed[1], CompletionKind::Done);
    assert_eq!(fixture.start_all().len(), 1);
}

#[test]
fn a_backend_server_gets_work_again_once_it_has_grown() {
    let mut fixture = Fixture::new(1);
    resize(&mut fixture, 0, 0);
    fixture.submit(job_in("urgent", 1, vec![step(3, 2)]));
    assert!(fixture.start_all().is_empty());
    resize(&mut fixture, 0, 4);
    assert_eq!(fixture.start_all().len(), 2);
    resize(&mut fixture, 0, 8);
    assert_eq!(fixture.start_all().len(), 1);
}

#[test]
fn a_run_whose_placement_is_not_stored_yet_is_placed_again() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job_in("urgent", 1, vec![step(1, 6)]));
    fixture.scheduler.plan(fixture.now, fixture.now.millis());
    // The store is unavailable for a while, and the placement no longer fits.
    resize(&mut fixture, 0, 4);
    resize(&mut fixture, 1, 4);
    assert!(fixture.start_all().is_empty());
    resize(&mut fixture, 1, 8);
    assert_eq!(fixture.start_all().len(), 1);
    assert_eq!(fixture.server_of(task(1)), Some(server_id(1)));
}

#[test]
fn an_order_that_was_not_sent_is_withdrawn() {
    let mut fixture = Fixture::new(1);
    fixture.submit(job_in("urgent", 1, vec![step(1, 6)]));
    fixture.scheduler.plan(fixture.now, fixture.now.millis());
    let batch = fixture.scheduler.next_write_batch(8).expect("its placement is to be stored");
    fixture.scheduler.batch_stored(batch, Revision(200));
    let orders = fixture.scheduler.take_orders();
    let [Order::Start { server, task, run, .. }] = &orders[..] else { panic!("{orders:?}") };
    assert!(fixture.scheduler.may_start(server, *task, *run));
    resize(&mut fixture, 0, 4);
    assert!(!fixture.scheduler.may_start(server, *task, *run));
    fixture.scheduler.start_withdrawn(server, *task, *run, fixture.now);
    resize(&mut fixture, 0, 8);
    assert_eq!(fixture.start_all().len(), 1, "it is placed again where there is capacity");
}

#[test]
fn runs_are_stopped_for_what_a_shrunken_backend_server_can_hold() {
    let mut fixture = Fixture::new(1);
    fixture.submit(job(7, vec![step(2, 4)]));
    assert_eq!(fixture.start_all().len(), 2);
    resize(&mut fixture, 0, 4);
    fixture.submit(job_in("urgent", 1, vec![step(1, 4)]));
    assert!(fixture.start_all().is_empty());
    assert_eq!(fixture.stops.len(), 2, "both must end before it fits");
}

#[test]
fn an_orphaned_run_of_unknown_size_leaves_no_capacity_until_it_has_ended() {
    let mut fixture = Fixture::new(1);
    // Its job was archived, so the resources of the run are unknown.
    let orphaned = RunningTask { task: task(99), run: RunNumber(1), checkpoint: None, percent: 1, latency_ms: None };
    let listing = Listing { running: vec![orphaned], ..Listing::default() };
    fixture.scheduler.listing(&server_id(0), &listing, fixture.now, fixture.now);
    fixture.submit(job_in("urgent", 1, vec![step(1, 1)]));
    assert!(fixture.start_all().is_empty());
    assert_eq!(fixture.stops.len(), 1);
    fixture.advance(100);
    assert_eq!(fixture.start_all().len(), 1);
    assert_eq!(fixture.state(1), Some(JobState::Running));
}

fn task(job: u64) -> TaskId {
    TaskId { occurrence: OccurrenceId { job: JobId(job), number: 0 }, step: 0, index: 0 }
}
