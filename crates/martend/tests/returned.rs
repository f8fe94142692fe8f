//! Backend servers that come back under their ids, with real processes on a stand-in for the users' platform.

mod common;

use common::World;
use jobs::JobId;
use users_platform_standin::Work;

const SHORT: Work = Work { tasks: 6, accelerators: 1, work_ms: 50, gang: false };
/// Longer than a listing waits for an end.
const LONGER: Work = Work { tasks: 4, accelerators: 1, work_ms: 1200, gang: false };

/// Seen and caused as `scheduler/tests/restarted_servers.rs` tells; here the ends are lost on the way: they are acknowledged by the call that waits for them.
#[test]
fn ends_of_the_next_life_are_not_acknowledged_unseen() {
    smol::block_on(async {
        let mut world = World::start(1, 1).await;
        world.submit(JobId(1), SHORT).await;
        world.until_succeeded(0, 1..2, 6).await;
        world.platform.restart_server(0).await.expect("its address is free");
        world.submit(JobId(2), LONGER).await;
        world.until_succeeded(0, 2..3, 4).await;
        assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
        assert_eq!(world.platform.oracle.start_count(), 10);
    });
}
