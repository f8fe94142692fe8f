//! Guards against jobs that stall because the runtime dropped their start: it had no connection to the backend server,
//! or its queue of orders was full. Nothing replies to a dropped start, so the scheduler followed it forever and three
//! of four jobs had nothing running for 56 s in calm. The runtime now reports it as refused; the scheduler must then
//! start the task again, once.

mod common;

use common::{gang, job_in, step, world::World};
use jobs::JobState;

const SEEDS: u64 = 20;
const DROPPED_MS: u64 = 2000;
/// Time from the last dropped order until all jobs must be done: their work, a lease if it is lost, and some starts.
const SETTLE_MS: u64 = 30_000;

/// Submits jobs while orders are dropped, after `unanswered_ms` during which some get no reply.
fn run_jobs_with_dropped_orders(seed: u64, unanswered_ms: u64) {
    let mut world = World::new(8, seed);
    world.stall_check.enabled = true;
    world.advance(500);
    world.lose_orders_until = world.now + unanswered_ms;
    for (id, steps) in [vec![step(5, 2)], vec![gang(3, 8)], vec![step(4, 4)], vec![step(1, 1)]].into_iter().enumerate()
    {
        world.submit(job_in(["urgent", "batch"][id % 2], id as u64 + 1, steps));
    }
    world.advance(unanswered_ms);
    world.drop_orders_until = world.now + DROPPED_MS;
    world.submit(job_in("urgent", 5, vec![gang(2, 4)]));
    world.submit(job_in("archive", 6, vec![step(2, 1)]));
    world.advance(DROPPED_MS + SETTLE_MS);
    for id in world.jobs.keys() {
        assert_eq!(world.state(*id), Some(JobState::Succeeded), "{id}, seed {seed}");
        world.check_succeeded(*id);
    }
}

#[test]
fn dropped_starts_are_repeated_once_orders_are_sent_again() {
    (1..=SEEDS).for_each(|seed| run_jobs_with_dropped_orders(seed, 0));
}

#[test]
fn starts_without_a_reply_that_are_then_dropped_are_repeated_too() {
    (1..=SEEDS).for_each(|seed| run_jobs_with_dropped_orders(seed, 1000));
}
