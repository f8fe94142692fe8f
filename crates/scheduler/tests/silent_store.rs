//! The store responds to no one. Runs that survive this with schedulers that renew without witnesses have to survive it
//! with witnesses too.

mod common;

use common::{job_in, step, world::World};

/// Returns how many runs start again after the store has not responded for so long and then recovered.
fn runs_lost_with_the_store(uses_witnesses: bool, silent_ms: u64) -> usize {
    let mut world = World::new(4, 1);
    world.uses_witnesses = uses_witnesses;
    world.work_ms = Some(60_000);
    world.advance(1500);
    for id in 1..=4 {
        world.submit(job_in("urgent", id, vec![step(1, 8)]));
    }
    world.advance(4000);
    let starts_before = world.start_count;
    world.store_down_until = world.now + silent_ms;
    world.advance(silent_ms + 300);
    world.kill_leaders();
    world.elect();
    world.advance(8000);
    world.start_count - starts_before
}

#[test]
fn what_outlived_a_silent_store_before_outlives_it_with_witnesses() {
    let lost: Vec<(u64, usize, usize)> = [8300, 9300, 10_300, 11_300, 12_300, 13_300]
        .into_iter()
        .map(|ms| (ms, runs_lost_with_the_store(false, ms), runs_lost_with_the_store(true, ms)))
        .collect();
    println!("silent for, restarted without and with witnesses: {lost:?}");
    assert!(lost.iter().all(|(_, before, now)| now <= before), "{lost:?}");
}

/// Returns how many runs on other backend servers start again if the store does not respond for 8 s, which runs
/// survive, and an idle backend server crashes 2 s into that time.
fn runs_lost_beside_a_crash(servers: usize, uses_witnesses: bool) -> usize {
    let mut world = World::new(servers, 1);
    world.uses_witnesses = uses_witnesses;
    world.work_ms = Some(60_000);
    world.advance(1500);
    for id in 1..servers as u64 {
        world.submit(job_in("urgent", id, vec![step(1, 8)]));
    }
    world.advance(4000);
    let starts_before = world.start_count;
    let idle = world.servers.values().position(|server| server.running.is_empty()).expect("one is");
    world.store_down_until = world.now + 8000;
    world.advance(2000);
    world.crash(idle);
    world.advance(6300);
    world.kill_leaders();
    world.elect();
    world.advance(8000);
    world.start_count - starts_before
}

#[test]
fn a_crash_while_the_store_is_silent_costs_nothing_elsewhere() {
    let lost: Vec<(usize, usize, usize)> =
        (2..=6).map(|n| (n, runs_lost_beside_a_crash(n, false), runs_lost_beside_a_crash(n, true))).collect();
    println!("backend servers, restarted without and with witnesses: {lost:?}");
    assert!(lost.iter().all(|(_, before, now)| now <= before), "{lost:?}");
}
