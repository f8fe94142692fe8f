//! Backend servers that the platform no longer lists when a scheduler is elected.
//!
//! Draining backend servers had dropped out of the list while the store was unreachable, and the completions that they
//! returned then could not be stored. They still responded when the next scheduler was elected, which knew their ids
//! from the stored placements, but not their addresses. Jobs whose first step had succeeded were stalled for 14 s after
//! the election, with most capacity free, and ran that step again.

mod common;

use std::time::{Duration, Instant};

use common::World;
use jobs::JobId;
use users_platform_standin::Work;

const WORK: Work = Work { tasks: 1, accelerators: 2, work_ms: 1500, gang: false };
/// Time after the last fault within which a job must proceed: the platform counts as calm after 4 s, and then no job
/// may be stalled for 3 s (platform rules).
const PROCEEDS_WITHIN: Duration = Duration::from_secs(7);

#[test]
fn the_next_scheduler_receives_completions_of_an_unlisted_backend_server() {
    smol::block_on(async {
        let mut world = World::start(3, 4).await;
        let job = JobId(1);
        world.submit(job, WORK).await;
        let oracle = world.platform.oracle.clone();
        common::until("the task runs", || async { oracle.running_tasks(job) == 1 }).await;
        world.platform.set_store_down(true);
        common::until("the task is done", || async { oracle.done_tasks(job) == 1 }).await;
        world.platform.unlist_all();
        let scheduler = world.scheduler().await;
        drop(world.boxes.remove(scheduler));
        world.platform.set_store_down(false);
        let since = Instant::now();
        world.until_succeeded(0, 1..=1, WORK.tasks as usize).await;
        assert!(since.elapsed() < PROCEEDS_WITHIN, "it took {:?}", since.elapsed());
        assert_eq!(oracle.start_count(), 1, "no task ran again");
        assert_eq!(oracle.violations(), Vec::<String>::new());
    });
}
