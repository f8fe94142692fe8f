//! Starts that the host drops: it finds no link to their backend server, or too many orders wait there. Nobody answers them.
//!
//! Seen with real processes: three of four jobs had nothing running for 56 s in calm. A start is followed until it is
//! answered, and one that was dropped never was. Since then the host tells the scheduler that it was refused, and
//! these tests hold what the scheduler makes of that: nothing stands, and nothing runs twice.

mod common;

use common::{gang, job_in, step, world::World};
use jobs::JobState;

const SEEDS: u64 = 20;
const DROPPED_MS: u64 = 2000;
/// From the last dropped order until all must be done: the work, its lease if it is lost, and some starts.
const SETTLE_MS: u64 = 30_000;

/// Jobs come while orders are dropped, after a while in which some get no answer, for as long as `unanswered_ms` tells.
fn play(seed: u64, unanswered_ms: u64) {
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
fn what_was_dropped_starts_once_orders_go_out_again() {
    (1..=SEEDS).for_each(|seed| play(seed, 0));
}

#[test]
fn so_does_what_had_got_no_answer_before() {
    (1..=SEEDS).for_each(|seed| play(seed, 1000));
}
