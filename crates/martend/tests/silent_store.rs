//! The box that schedules is lost in the moment in which all connections to the store go silent: no reset comes, and new connections work.
//!
//! Seen in tests of ours: boxes with work learned of the loss 16 to 30 s late. Their watch of the scheduler's key
//! waits for up to 30 s, and nothing else told them: the store was asked who schedules only by boxes that had heard
//! nothing of it for a while, and these heard of it with each job that they took.

mod common;

use std::time::{Duration, Instant};

use common::{KEY, World, start_box_with, until};
use jobs::JobId;
use users_platform_standin::{Caller, Setup, SlowLink, Work, free_addrs};

const WORK: Work = Work { tasks: 1, accelerators: 1, work_ms: 100, gang: false };
const BOXES: usize = 3;
/// A link that carries all that a box sends and reads.
const FAST: usize = 100_000_000;
/// Callers of each box, so that one that waits for an answer leaves the box with work.
const CALLERS: u64 = 3;
/// Items in a page of the store, as the users have it: what boxes have taken is read soon.
const PAGE: usize = 500;
/// From one job of a caller to its next.
const EVERY: Duration = Duration::from_millis(250);
/// How long boxes are at work before the loss.
const AT_WORK: Duration = Duration::from_secs(2);
/// Within this after the loss another box has to schedule: the users take it for calm after 4 s, and then nothing of a
/// job may stand for 3 s.
const SCHEDULED_WITHIN: Duration = Duration::from_secs(7);

/// Boxes that each reach the store through a link of their own.
async fn start_behind_links() -> (World, Vec<SlowLink>) {
    let setup = Setup { servers: 8, key: KEY.to_owned(), page: PAGE, ..Setup::default() };
    let mut world = World::start_on(0, &setup).await;
    let all: Vec<_> = (0..BOXES).map(|_| free_addrs()).collect();
    let seeds: Vec<_> = all.iter().map(|addrs| addrs[2]).collect();
    let mut links = Vec::new();
    for (i, addrs) in all.into_iter().enumerate() {
        let link = SlowLink::start(world.platform.store_addr, FAST).await.expect("loopback can be used");
        let name = format!("box-{i}");
        let settings = world.platform.settings_via(&name, &addrs, &seeds, link.addr);
        world.boxes.push(start_box_with(&name, addrs, settings));
        links.push(link);
    }
    for i in 0..BOXES {
        world.until_ready(i).await;
    }
    (world, links)
}

/// Hands jobs in at a box until it is dropped.
fn keep_at_work(caller: Caller, addr: std::net::SocketAddr, first: u64) -> smol::Task<()> {
    smol::spawn(async move {
        for id in first.. {
            // While no box schedules, some are refused.
            let _ = caller.submit(addr, JobId(id), WORK).await;
            smol::Timer::after(EVERY).await;
        }
    })
}

#[test]
fn the_scheduling_box_is_lost_as_connections_to_the_store_go_silent() {
    smol::block_on(async {
        let (mut world, links) = start_behind_links().await;
        let scheduler = world.scheduler().await;
        let callers: Vec<_> = (0..BOXES as u64 * CALLERS)
            .filter(|n| *n as usize % BOXES != scheduler)
            .map(|n| keep_at_work(world.caller.clone(), world.boxes[n as usize % BOXES].addrs[0], 1 + n * 100_000))
            .collect();
        smol::Timer::after(AT_WORK).await;
        drop(world.boxes.remove(scheduler));
        for link in &links {
            link.set_silent(true);
            link.set_silent(false);
        }
        let since = Instant::now();
        world.scheduler().await;
        let took = since.elapsed();
        assert!(took < SCHEDULED_WITHIN, "another box schedules after {took:?}");
        drop(callers);
        let job = JobId(1_000_000);
        world.submit(job, WORK).await;
        let oracle = world.platform.oracle.clone();
        until("it has run", || async { oracle.done_tasks(job) == 1 }).await;
        assert_eq!(oracle.violations(), Vec::<String>::new());
    });
}
