//! Real processes of `martend` that take over from others: what they must read, and over which links.

mod common;

use std::time::Duration;

use common::{KEY, World, start_box_with, until};
use hyper::StatusCode;
use jobs::JobId;
use users_platform_standin::{Padding, Setup, SlowLink, Work, free_addrs};

const SMALL: Work = Work { tasks: 1, accelerators: 1, work_ms: 20, gang: false };
/// Of a job's text: near the longest that the users hand in.
const TEXT: usize = 3900;
/// Open jobs: with their texts some 1.2 MB in the store's answer.
const OPEN: u64 = 220;
const INTAKE: &str = "marten/in/";

/// A world with open jobs that nothing can run yet, and no box.
async fn with_open_jobs(page: usize) -> World {
    let setup = Setup { servers: 2, key: KEY.to_owned(), page, ..Setup::default() };
    let mut world = World::start_on(1, &setup).await;
    world.platform.disconnect_server(0).await;
    world.platform.disconnect_server(1).await;
    for id in (1..=OPEN).map(JobId) {
        let padding = Padding { text: TEXT, body: 0 };
        let answer = world.caller.submit_padded(world.boxes[0].addrs[0], id, SMALL, padding).await;
        assert_eq!(answer.expect("it is answered").status, StatusCode::OK);
    }
    world.boxes.clear();
    world
}

/// Starts a box that reaches the store through a link, and lets it run everything.
async fn run_all_behind(world: &mut World, link: &SlowLink) {
    let addrs = free_addrs();
    let settings = world.platform.settings_via("box-slow", &addrs, &[], link.addr);
    world.boxes.push(start_box_with("box-slow", addrs, settings));
    world.until_ready(0).await;
    for i in 0..2 {
        world.platform.restore_server(i).await.expect("its address is free");
    }
    // Until then the box answers callers from the store, over the same link.
    world.scheduler().await;
    world.until_succeeded(0, 1..=OPEN, 1).await;
    assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
}

#[test]
fn a_page_that_takes_longer_than_a_call_may_is_read_while_it_keeps_coming() {
    smol::block_on(async {
        let mut world = with_open_jobs(500).await;
        // One page of 1.2 MB takes 1.2 s: longer than any call that does not wait may take for its answer to begin.
        let link = SlowLink::start(world.platform.store_addr, 1_000_000).await.expect("loopback can be used");
        run_all_behind(&mut world, &link).await;
    });
}

#[test]
fn a_page_that_is_lost_is_asked_for_again_by_itself() {
    smol::block_on(async {
        let mut world = with_open_jobs(16).await;
        let asked_before = world.platform.pages_requested(INTAKE);
        let link = SlowLink::start(world.platform.store_addr, 4_000_000).await.expect("loopback can be used");
        link.break_after(800_000);
        run_all_behind(&mut world, &link).await;
        assert!(link.has_broken());
        // Each page but the first begins with the last key of the one before.
        let pages = 1 + (OPEN as usize - 16).div_ceil(15);
        let asked = world.platform.pages_requested(INTAKE) - asked_before;
        assert_eq!(asked, pages + 1, "only the lost one was asked for twice");
    });
}

#[test]
fn a_box_that_cannot_read_what_it_must_in_time_leaves_the_election_to_another() {
    smol::block_on(async {
        let mut world = with_open_jobs(16).await;
        // The intake takes 20 s over this link, far longer than a box may take.
        let link = SlowLink::start(world.platform.store_addr, 60_000).await.expect("loopback can be used");
        let slow = free_addrs();
        let settings = world.platform.settings_via("box-slow", &slow, &[], link.addr);
        world.boxes.push(start_box_with("box-slow", slow, settings));
        world.until_ready(0).await;
        let platform = &world.platform;
        until("the slow box is elected", || async { platform.keys("marten/scheduler").len() == 1 }).await;
        let fast = free_addrs();
        world.boxes.push(start_box_with("box-fast", fast, world.platform.settings("box-fast", &fast, &[])));
        assert_eq!(world.scheduler().await, 1, "the box with the wide link schedules");
        for i in 0..2 {
            world.platform.restore_server(i).await.expect("its address is free");
        }
        world.until_succeeded(1, 1..=OPEN, 1).await;
        assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
    });
}

#[test]
fn what_has_ended_leaves_the_intake_and_is_answered_for_by_the_next_scheduler() {
    smol::block_on(async {
        let mut world = World::start(2, 2).await;
        for id in 1..=20 {
            world.submit(JobId(id), SMALL).await;
        }
        world.until_succeeded(0, 1..=20, 1).await;
        world.submit(JobId(30), Work { work_ms: 60_000, ..SMALL }).await;
        until("the intake holds only what is open", || async { world.platform.keys("marten/in/").len() == 1 }).await;
        assert_eq!(world.platform.keys("marten/progress/").len(), 1);
        assert_eq!(world.platform.keys("marten/ended/").len(), 20);

        let scheduler = world.scheduler().await;
        world.boxes[scheduler].child.kill().expect("it runs");
        let other = 1 - scheduler;
        world.until_succeeded(other, 1..=20, 1).await;
        // The same job again is the same job; another under its name is refused; a cancellation comes too late.
        let addr = world.boxes[other].addrs[0];
        let again = world.caller.submit(addr, JobId(1), SMALL).await.expect("it is answered");
        assert_eq!(again.status, StatusCode::OK);
        let another = world.caller.submit(addr, JobId(1), Work { tasks: 2, ..SMALL }).await.expect("it is answered");
        assert_eq!(another.status, StatusCode::CONFLICT);
        let cancelled = world.caller.cancel(addr, JobId(1)).await.expect("it is answered");
        assert_eq!(cancelled.status, StatusCode::OK);
        world.until_succeeded(other, 1..=20, 1).await;
        smol::Timer::after(Duration::from_millis(300)).await;
        assert_eq!(world.platform.oracle.start_count(), 21, "nothing ran again");
        assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
    });
}

#[test]
fn a_store_that_is_back_from_a_silence_is_used_again_at_once() {
    smol::block_on(async {
        let mut world = World::start(0, 2).await;
        let link = SlowLink::start(world.platform.store_addr, 10_000_000).await.expect("loopback can be used");
        let addrs = free_addrs();
        let settings = world.platform.settings_via("box-0", &addrs, &[], link.addr);
        world.boxes.push(start_box_with("box-0", addrs, settings));
        world.until_ready(0).await;
        world.submit(JobId(1), SMALL).await;
        world.until_succeeded(0, 1..=1, 1).await;
        link.set_silent(true);
        smol::Timer::after(Duration::from_millis(2500)).await;
        let refused = world.caller.submit(addrs[0], JobId(2), SMALL).await.expect("it is answered");
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        link.set_silent(false);
        let back = std::time::Instant::now();
        world.submit(JobId(3), SMALL).await;
        world.until_succeeded(0, 3..=3, 1).await;
        let took = back.elapsed();
        // What waits for the store waits 2.6 s more if it does not learn that calls from before are lost.
        assert!(took < Duration::from_millis(1500), "{took:?}");
        assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
    });
}

#[test]
fn progress_of_a_job_that_cannot_be_read_is_kept_for_a_version_that_can() {
    smol::block_on(async {
        let mut world = World::start(0, 1).await;
        world.platform.write("marten/in/0000000000000007/job", br#"{"steps":"of a later version"}"#);
        world.platform.write("marten/progress/0000000000000007.0", br#"{"g":[[{"d":true}]]}"#);
        world.platform.write("marten/progress/0000000000000008.0", br#"{"g":[[{"d":true}]]}"#);
        let addrs = free_addrs();
        world.boxes.push(start_box_with("box-0", addrs, world.platform.settings("box-0", &addrs, &[])));
        let platform = &world.platform;
        let left = || platform.keys("marten/progress/");
        until("what belongs to no job has gone", || async { left() == ["marten/progress/0000000000000007.0"] }).await;
    });
}
