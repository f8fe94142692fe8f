//! The store is silent for longer than a lease. What runs must live on as long as the backend servers that witness who
//! schedules go on answering.

mod common;

use std::time::Duration;

use common::{KEY, World, until};
use jobs::JobId;
use users_platform_standin::{Setup, Work};

const WORK: Work = Work { tasks: 2, accelerators: 2, work_ms: 600_000, gang: false };
/// The lease of an election and a lease of a backend server are over sooner.
const SILENT: Duration = Duration::from_millis(8300);

#[test]
fn what_runs_lives_on_while_the_store_is_silent() {
    smol::block_on(async {
        let setup = Setup { servers: 4, key: KEY.to_owned(), longest_lease_ms: 6000, ..Setup::default() };
        let world = World::start_on(2, &setup).await;
        let job = JobId(1);
        world.submit(job, WORK).await;
        let oracle = world.platform.oracle.clone();
        until("it runs", || async { oracle.running_tasks(job) == 2 }).await;
        until("there are witnesses", || async { world.platform.read("marten/witnesses").is_some() }).await;
        smol::Timer::after(Duration::from_millis(500)).await;
        world.platform.set_store_down(true);
        smol::Timer::after(SILENT).await;
        assert_eq!(oracle.running_tasks(job), 2, "leases were renewed");
        world.platform.set_store_down(false);
        smol::Timer::after(Duration::from_secs(3)).await;
        assert_eq!((oracle.running_tasks(job), oracle.start_count()), (2, 2), "nothing was begun anew");
        assert_eq!(oracle.violations(), Vec::<String>::new());
    });
}
