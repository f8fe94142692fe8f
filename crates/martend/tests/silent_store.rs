//! The scheduling box is lost at the moment at which all connections to the store hang without a reset, while new
//! connections work.
//!
//! Busy boxes detected the loss 16 to 30 s late. Their watch of the scheduler's key waits for up to 30 s, and only
//! boxes that had received nothing about the scheduler for a while read its key, while busy ones received it with each
//! job that they accepted.

mod common;

use std::time::{Duration, Instant};

use common::{KEY, World, start_box_with, until};
use jobs::JobId;
use users_platform_standin::{Caller, Setup, SlowLink, Work, free_addrs};

const WORK: Work = Work { tasks: 1, accelerators: 1, work_ms: 100, gang: false };
const BOXES: usize = 3;
/// Bandwidth of a link that does not limit a box, in bytes per second.
const FAST_LINK: usize = 100_000_000;
/// Callers of each box, so that the box stays busy while one waits for a response.
const CALLERS: u64 = 3;
/// Items in a page of the store, as on the platform, so that submission records are read soon.
const PAGE_ITEMS: usize = 500;
/// Interval between the jobs of a caller.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which boxes are busy before the loss.
const BUSY_BEFORE: Duration = Duration::from_secs(2);
/// Time after the loss within which another box must schedule: the platform counts as calm after 4 s, and then no job
/// may be stalled for 3 s (platform rules).
const SCHEDULED_WITHIN: Duration = Duration::from_secs(7);

/// Starts boxes that each reach the store through their own link.
async fn start_behind_links() -> (World, Vec<SlowLink>) {
    let setup = Setup { servers: 8, key: KEY.to_owned(), page: PAGE_ITEMS, ..Setup::default() };
    let mut world = World::start_on(0, &setup).await;
    let all: Vec<_> = (0..BOXES).map(|_| free_addrs()).collect();
    let seeds: Vec<_> = all.iter().map(|addrs| addrs[2]).collect();
    let mut links = Vec::new();
    for (i, addrs) in all.into_iter().enumerate() {
        let link = SlowLink::start(world.platform.store_addr, FAST_LINK).await.expect("loopback is available");
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

/// Submits jobs to a box until the returned task is dropped.
fn keep_busy(caller: Caller, addr: std::net::SocketAddr, first: u64) -> smol::Task<()> {
    smol::spawn(async move {
        for id in first.. {
            // Some jobs are refused while no box schedules.
            let _ = caller.submit(addr, JobId(id), WORK).await;
            smol::Timer::after(SUBMIT_INTERVAL).await;
        }
    })
}

#[test]
fn another_box_schedules_soon_after_a_loss_while_connections_to_the_store_hang() {
    smol::block_on(async {
        let (mut world, links) = start_behind_links().await;
        let scheduler = world.scheduler().await;
        let callers: Vec<_> = (0..BOXES as u64 * CALLERS)
            .filter(|n| *n as usize % BOXES != scheduler)
            .map(|n| keep_busy(world.caller.clone(), world.boxes[n as usize % BOXES].addrs[0], 1 + n * 100_000))
            .collect();
        smol::Timer::after(BUSY_BEFORE).await;
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
        until("the job has run", || async { oracle.done_tasks(job) == 1 }).await;
        assert_eq!(oracle.violations(), Vec::<String>::new());
    });
}
