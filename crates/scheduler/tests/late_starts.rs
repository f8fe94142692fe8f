//! Tasks that a backend server starts late, after their job was cancelled: an order without a reply may take effect
//! seconds after it was sent (platform protocol: 2 to 12 s). The scheduler of that time must stop them.

mod common;

use common::{events::Event, gang, job_in, server_id, step, world::World};
use jobs::{JobId, OccurrenceId, RunNumber, Step, TaskId};
use model::BackendServerId;

/// Maximum time from a late start until it is stopped (platform rules: 4 s of contact and 0.9 s for the stop).
const STOPPED_WITHIN_MS: u64 = 4900;
/// Time at which the late order takes effect.
const LATE_MS: u64 = 9000;
const LEASE_MS: u64 = 20_000;
const JOB: JobId = JobId(1);

/// Returns a world with a cancelled job whose orders get no reply and take effect later.
fn cancelled_before_its_start(step: Step) -> World {
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

/// Checks that the late order takes effect and that its runs are stopped in time.
fn check_stopped(world: &mut World) {
    let starts_before = world.start_count;
    world.advance(LATE_MS + 20);
    assert!(world.start_count > starts_before, "the late order took effect");
    world.advance(STOPPED_WITHIN_MS);
    assert_eq!(running(world), Vec::<BackendServerId>::new());
}

#[test]
fn a_late_start_is_stopped_by_the_scheduler_that_ordered_it() {
    check_stopped(&mut cancelled_before_its_start(step(1, 4)));
}

#[test]
fn a_gang_whose_members_all_start_late_is_stopped() {
    check_stopped(&mut cancelled_before_its_start(gang(3, 4)));
}

#[test]
fn a_backend_server_that_accepted_a_later_fencing_token_executes_no_earlier_order() {
    let mut world = cancelled_before_its_start(step(1, 4));
    world.kill_leaders();
    world.advance(1500);
    world.elect();
    let starts_before = world.start_count;
    world.advance(LATE_MS + 20);
    assert_eq!(world.start_count, starts_before);
}

/// Returns a world whose box was removed for good, and in which the late order takes effect before another is elected.
fn started_without_a_scheduler() -> World {
    let mut world = cancelled_before_its_start(step(1, 4));
    world.advance(LATE_MS - 500);
    world.kill_leaders();
    world.advance(1000);
    assert_eq!(running(&world).len(), 1, "no scheduler is elected");
    world
}

#[test]
fn the_next_scheduler_stops_a_late_start_that_it_did_not_order() {
    let mut world = started_without_a_scheduler();
    world.elect();
    world.advance(STOPPED_WITHIN_MS - 500);
    assert_eq!(running(&world), Vec::<BackendServerId>::new());
}

#[test]
fn a_scheduler_without_a_record_of_the_job_stops_its_late_start() {
    let mut world = started_without_a_scheduler();
    // The job was archived and its record removed: the state that a new scheduler restores does not name it.
    let removed_job = world.jobs.remove(&JOB).expect("it was submitted");
    world.stored.clear();
    world.cancelled.clear();
    world.elect();
    world.jobs.insert(JOB, removed_job);
    world.advance(STOPPED_WITHIN_MS - 500);
    assert_eq!(running(&world), Vec::<BackendServerId>::new());
}

#[test]
fn a_late_start_is_stopped_though_the_first_stop_is_lost() {
    let mut world = cancelled_before_its_start(step(1, 4));
    world.advance(LATE_MS - 100);
    world.lose_orders_until = world.now + 1000;
    world.advance(100 + STOPPED_WITHIN_MS);
    assert_eq!(running(&world), Vec::<BackendServerId>::new());
}
