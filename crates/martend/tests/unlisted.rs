//! Backend servers that the platform no longer lists when a scheduler is elected.
//!
//! Seen on a day of our own, on the code of the users' record and later: jobs whose first step was done did not go on to the next for 14 s after an election, with most of the
//! room free, and did the first again. Backend servers that were leaving had fallen out of the list while the store was away, and ends that they listed then could not be
//! stored. They still answered when the next scheduler was elected, which knew their names from what was placed there, but not their addresses.

mod common;

use std::time::{Duration, Instant};

use common::World;
use jobs::JobId;
use users_platform_standin::Work;

const WORK: Work = Work { tasks: 1, accelerators: 2, work_ms: 1500, gang: false };
/// Within this after the last fault a job has to go on: the users take it for calm after 4 s, and then nothing of a job may stand for 3 s.
const GOES_ON_WITHIN: Duration = Duration::from_secs(7);

#[test]
fn what_an_unlisted_backend_server_has_done_is_learned_by_the_next_scheduler() {
    smol::block_on(async {
        let mut world = World::start(3, 4).await;
        let job = JobId(1);
        world.submit(job, WORK).await;
        let oracle = world.platform.oracle.clone();
        common::until("it runs", || async { oracle.running_tasks(job) == 1 }).await;
        world.platform.set_store_down(true);
        common::until("it is done", || async { oracle.done_tasks(job) == 1 }).await;
        world.platform.unlist_all();
        let scheduler = world.scheduler().await;
        drop(world.boxes.remove(scheduler));
        world.platform.set_store_down(false);
        let since = Instant::now();
        world.until_succeeded(0, 1..=1, WORK.tasks as usize).await;
        assert!(since.elapsed() < GOES_ON_WITHIN, "it took {:?}", since.elapsed());
        assert_eq!(oracle.start_count(), 1, "it was done again");
        assert_eq!(oracle.violations(), Vec::<String>::new());
    });
}
