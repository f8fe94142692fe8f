//! The delay until a real box stands for election once it may.

mod common;

use std::time::{Duration, Instant};

use common::{KEY, World, start_box, start_box_with, until};
use users_platform_standin::{Setup, free_addrs};

/// A box that may stand waits at most 32 ms, depending on its memory, and the store responds at once. A box that polled
/// whether it may stand would take up to 250 ms more.
const ELECTED_WITHIN: Duration = Duration::from_millis(200);
/// Delays of the configuration after the box has reached the store, spread over a polling interval.
const CONFIGURED_AFTER_MS: [u64; 5] = [300, 350, 400, 450, 500];
/// Attempts per delay, as a busy machine may delay one of them.
const ATTEMPTS: usize = 3;

/// Returns the time from the first configuration to the election of a box.
async fn time_to_election(after: Duration) -> Duration {
    let setup = Setup { servers: 1, key: KEY.to_owned(), unconfigured: true, ..Setup::default() };
    let mut world = World::start_on(0, &setup).await;
    world.boxes.push(start_box(&world.platform, "box-0", free_addrs(), &[]));
    let platform = &world.platform;
    until("the box has stored its address", || async { platform.keys("marten/box/").len() == 1 }).await;
    smol::Timer::after(after).await;
    platform.configure(1);
    let started = Instant::now();
    while platform.keys("marten/scheduler").is_empty() {
        assert!(started.elapsed() < 50 * ELECTED_WITHIN, "the box is never elected");
        smol::Timer::after(Duration::from_millis(2)).await;
    }
    started.elapsed()
}

#[test]
fn a_box_stands_for_election_as_soon_as_it_has_a_configuration() {
    smol::block_on(async {
        for after in CONFIGURED_AFTER_MS.map(Duration::from_millis) {
            let mut least = Duration::MAX;
            for _ in 0..ATTEMPTS {
                least = least.min(time_to_election(after).await);
                if least <= ELECTED_WITHIN {
                    break;
                }
            }
            assert!(least <= ELECTED_WITHIN, "{least:?} after a configuration that came after {after:?}");
        }
    });
}

/// Key of the scheduler's record, and a record as another box would write it.
const SCHEDULER_KEY: &str = "marten/scheduler";
const OTHER_SCHEDULER: &[u8] = br#"{"box":"box-9","addr":"127.0.0.1:1","nonce":1}"#;

/// Starts a box of 4 MB, which leaves each election to others for a second, while another box schedules.
async fn with_small_box_and_other_scheduler() -> World {
    let mut world = World::start(0, 1).await;
    world.platform.write(SCHEDULER_KEY, OTHER_SCHEDULER);
    add_box(&mut world, "box-0", 4);
    world.until_ready(0).await;
    world
}

fn add_box(world: &mut World, name: &str, memory_mb: u64) {
    let addrs = free_addrs();
    let settings = world.platform.settings(name, &addrs, &[]);
    let prefix = "\"deployment\":{";
    assert!(settings.contains(prefix), "{settings}");
    let settings = settings.replacen(prefix, &format!("{prefix}\"memory_mb\":{memory_mb},"), 1);
    world.boxes.push(start_box_with(name, addrs, settings));
}

#[test]
fn a_small_box_that_starts_first_leaves_the_first_election_to_a_large_one() {
    smol::block_on(async {
        let mut world = World::start(0, 1).await;
        // It leaves an election to others for 0.4 s once it has seen a scheduler, and for 1.6 s before.
        add_box(&mut world, "box-small", 10);
        smol::Timer::after(Duration::from_millis(600)).await;
        add_box(&mut world, "box-large", 1024);
        assert_eq!(world.scheduler().await, 1);
    });
}

#[test]
fn a_small_box_leaves_each_election_to_others_for_its_whole_wait() {
    smol::block_on(async {
        let world = with_small_box_and_other_scheduler().await;
        let pause = |ms| smol::Timer::after(Duration::from_millis(ms));
        pause(300).await;
        world.platform.erase(SCHEDULER_KEY);
        pause(500).await;
        world.platform.write(SCHEDULER_KEY, OTHER_SCHEDULER);
        pause(300).await;
        world.platform.erase(SCHEDULER_KEY);
        let started = Instant::now();
        let platform = &world.platform;
        until("the small box is elected", || async { !platform.keys(SCHEDULER_KEY).is_empty() }).await;
        let took = started.elapsed();
        assert!(took >= Duration::from_millis(900), "{took:?} after the last scheduler ended");
    });
}
