//! Tasks that a backend server starts late, after their job was cancelled: an order without an answer may be carried out
//! seconds after it was sent (users' protocol page: 2 to 12 s). Whoever schedules by then stops them.

mod common;

use common::{events::Event, gang, job_in, server_id, step, world::World};
use jobs::{JobId, OccurrenceId, RunNumber, Step, TaskId};
use model::BackendServerId;

/// From such a start until nothing of it runs (users: 4 s of contact and 0.9 s for the stop).
const STOPPED_WITHIN_MS: u64 = 4900;
/// When the late order is carried out, and how long it may run.
const LATE_MS: u64 = 9000;
const LEASE_MS: u64 = 20_000;
const JOB: JobId = JobId(1);

/// A job is handed in whose only order a backend server leaves unanswered, and is cancelled before it is carried out.
fn cancelled_before_its_order(step: Step) -> World {
    let mut world = World::new(4, 3);
    world.work_ms = Some(2 * LEASE_MS);
    world.advance(500);
    let tasks: Vec<TaskId> = (0..step.count).map(task).collect();
    world.submit(job_in("urgent", JOB.0, vec![step]));
    world.cancel(JOB);
    for (i, task) in tasks.into_iter().enumerate() {
        let until = LATE_MS + LEASE_MS;
        let (server, run, incarnation) = (server_id(i), RunNumber(1), None);
        world.after(
            LATE_MS,
            Event::Start { leader: 0, server, incarnation, task, run, until, answered: false, checkpoint: false },
        );
    }
    world
}

fn task(index: u32) -> TaskId {
    TaskId { occurrence: OccurrenceId { job: JOB, number: 0 }, step: 0, index }
}

fn running(world: &World) -> Vec<BackendServerId> {
    let runs = |(id, server): (&BackendServerId, &common::server::FakeServer)| {
        server.running.keys().any(|task| task.occurrence.job == JOB).then(|| id.clone())
    };
    world.servers.iter().filter_map(runs).collect()
}

/// The late order is carried out, and what it has started is stopped in time.
fn check_stopped(world: &mut World) {
    let begun = world.start_count;
    world.advance(LATE_MS + 20);
    assert!(world.start_count > begun, "the late order was carried out");
    world.advance(STOPPED_WITHIN_MS);
    assert_eq!(running(world), Vec::<BackendServerId>::new());
}

#[test]
fn what_starts_late_is_stopped_by_the_scheduler_that_had_ordered_it() {
    check_stopped(&mut cancelled_before_its_order(step(1, 4)));
}

#[test]
fn so_is_a_gang_of_which_all_members_start_late() {
    check_stopped(&mut cancelled_before_its_order(gang(3, 4)));
}

#[test]
fn once_a_backend_server_has_heard_the_next_scheduler_it_carries_out_no_order_of_the_one_before() {
    let mut world = cancelled_before_its_order(step(1, 4));
    world.kill_leaders();
    world.advance(1500);
    world.elect();
    let begun = world.start_count;
    world.advance(LATE_MS + 20);
    assert_eq!(world.start_count, begun);
}

/// The box that had ordered it is removed for good, and the late order is carried out before there is another.
fn begun_without_a_scheduler() -> World {
    let mut world = cancelled_before_its_order(step(1, 4));
    world.advance(LATE_MS - 500);
    world.kill_leaders();
    world.advance(1000);
    assert_eq!(running(&world).len(), 1, "no one schedules");
    world
}

#[test]
fn the_next_scheduler_stops_it_though_it_has_ordered_nothing() {
    let mut world = begun_without_a_scheduler();
    world.elect();
    world.advance(STOPPED_WITHIN_MS - 500);
    assert_eq!(running(&world), Vec::<BackendServerId>::new());
}

#[test]
fn a_scheduler_that_knows_nothing_of_the_job_stops_it() {
    let mut world = begun_without_a_scheduler();
    // The job has left the intake, and its record is gone: what a new scheduler reads does not name it.
    let forgotten = world.jobs.remove(&JOB).expect("it was handed in");
    world.stored.clear();
    world.cancelled.clear();
    world.elect();
    world.jobs.insert(JOB, forgotten);
    world.advance(STOPPED_WITHIN_MS - 500);
    assert_eq!(running(&world), Vec::<BackendServerId>::new());
}

#[test]
fn it_is_stopped_though_the_first_order_to_stop_it_is_lost() {
    let mut world = cancelled_before_its_order(step(1, 4));
    world.advance(LATE_MS - 100);
    world.lose_orders_until = world.now + 1000;
    world.advance(100 + STOPPED_WITHIN_MS);
    assert_eq!(running(&world), Vec::<BackendServerId>::new());
}
