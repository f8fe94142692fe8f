//! Orders that a backend server leaves without a response (platform protocol) must not hold up others to it.
//!
//! Guards against runs of cancelled jobs that go on: orders to a backend server went one after the other, each for up to
//! 400 ms without a response, and a stop was queued again every 400 ms whether or not it had been sent. So a stop
//! waited behind starts and behind stops that were no longer needed.

mod common;

use std::time::{Duration, Instant};

use common::{KEY, World};
use jobs::JobId;
use users_platform_standin::{OrderKind, Setup, Work};

/// Maximum time from a cancellation until the runs of the job have ended (platform rules: 4 s and 0.4 s for the stop).
const ENDED_WITHIN: Duration = Duration::from_millis(4400);
const CANCELLED: JobId = JobId(1);
const LONG_WORK_MS: u64 = 60_000;

async fn world() -> World {
    let setup = Setup { servers: 1, key: KEY.to_owned(), longest_lease_ms: 6000, ..Setup::default() };
    World::start_on(1, &setup).await
}

fn work(tasks: u32) -> Work {
    Work { tasks, accelerators: 0, work_ms: LONG_WORK_MS, gang: false }
}

async fn cancel(world: &World) {
    let answer = world.caller.cancel(world.boxes[0].addrs[0], CANCELLED).await;
    assert!(answer.is_ok_and(|answer| answer.status.is_success()), "the cancellation is acknowledged");
}

#[test]
fn a_stop_does_not_wait_behind_starts_without_a_response() {
    smol::block_on(async {
        let world = world().await;
        let oracle = world.platform.oracle.clone();
        world.submit(CANCELLED, work(1)).await;
        common::until("the task runs", || async { oracle.running_tasks(CANCELLED) == 1 }).await;
        let unanswered = JobId(2);
        world.platform.leave_unanswered(0, OrderKind::Start, unanswered);
        world.submit(unanswered, work(24)).await;
        // By then the first of these starts waits for its response.
        smol::Timer::after(Duration::from_millis(200)).await;
        let since = Instant::now();
        cancel(&world).await;
        common::until("the run ends", || async { oracle.running_tasks(CANCELLED) == 0 }).await;
        assert!(since.elapsed() < ENDED_WITHIN, "it took {:?}", since.elapsed());
        assert_eq!(oracle.violations(), Vec::<String>::new());
    });
}

#[test]
fn a_stop_does_not_wait_behind_other_stops_without_a_response() {
    smol::block_on(async {
        let world = world().await;
        let oracle = world.platform.oracle.clone();
        // Its stops are decided first, so that they are queued before the others.
        let unanswered = JobId(2);
        world.submit(unanswered, work(16)).await;
        world.submit(CANCELLED, work(1)).await;
        common::until("all run", || async { oracle.running_tasks(CANCELLED) + oracle.running_tasks(unanswered) == 17 })
            .await;
        world.platform.leave_unanswered(0, OrderKind::Stop, unanswered);
        let answer = world.caller.cancel(world.boxes[0].addrs[0], unanswered).await;
        assert!(answer.is_ok_and(|answer| answer.status.is_success()));
        smol::Timer::after(Duration::from_millis(200)).await;
        let since = Instant::now();
        cancel(&world).await;
        common::until("the run ends", || async { oracle.running_tasks(CANCELLED) == 0 }).await;
        assert!(since.elapsed() < ENDED_WITHIN, "it took {:?}", since.elapsed());
    });
}

#[test]
fn a_stop_is_not_queued_again_while_it_waits() {
    const TASKS: u32 = 16;
    smol::block_on(async {
        let world = world().await;
        let oracle = world.platform.oracle.clone();
        world.submit(CANCELLED, work(TASKS)).await;
        common::until("the tasks run", || async { oracle.running_tasks(CANCELLED) == TASKS as usize }).await;
        world.platform.leave_unanswered(0, OrderKind::Stop, CANCELLED);
        cancel(&world).await;
        smol::Timer::after(Duration::from_secs(4)).await;
        world.platform.answer_all(0);
        common::until("the runs end", || async { oracle.running_tasks(CANCELLED) == 0 }).await;
        // Stops that are still queued would be sent by then.
        smol::Timer::after(Duration::from_secs(1)).await;
        let answered = world.platform.answered_stops(0);
        assert!(answered <= 2 * TASKS as usize, "{answered} stops of {TASKS} runs were sent");
    });
}
