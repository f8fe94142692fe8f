//! Backend servers that restart under their earlier ids, with real processes on a stand-in for the platform.

mod common;

use common::World;
use jobs::JobId;
use users_platform_standin::Work;

const SHORT: Work = Work { tasks: 6, accelerators: 1, work_ms: 50, gang: false };
/// Runs longer than a heartbeat waits for a completion.
const LONGER: Work = Work { tasks: 4, accelerators: 1, work_ms: 1200, gang: false };

/// The failure and its cause are those of `scheduler/tests/returned.rs`. Here completions are lost in
/// transit: the heartbeat that waits for them acknowledges them already.
#[test]
fn completions_of_the_next_incarnation_are_not_acknowledged_before_they_are_received() {
    smol::block_on(async {
        let mut world = World::start(1, 1).await;
        world.submit(JobId(1), SHORT).await;
        world.until_succeeded(0, 1..2, 6).await;
        world.platform.restart_server(0).await.expect("the address is free");
        world.submit(JobId(2), LONGER).await;
        world.until_succeeded(0, 2..3, 4).await;
        assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
        assert_eq!(world.platform.oracle.start_count(), 10);
    });
}
