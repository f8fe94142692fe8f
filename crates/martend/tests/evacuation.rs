//! Evacuations of availability zones, with real processes on a stand-in for the platform.

mod common;

use std::time::Duration;

use common::{World, until};
use hyper::{Method, StatusCode};
use jobs::JobId;
use net::http::Client;
use serde_json::{Value, json};
use users_platform_standin::Work;

/// Each job takes all accelerators of a backend server, so that jobs go to both availability zones.
const WORK: Work = Work { tasks: 2, accelerators: 8, work_ms: 300, gang: false };

/// Tasks of [`WORK`] that run at once on four backend servers; the rest is reserved capacity for urgent jobs.
const MAX_RUNNING: u32 = 3;
/// Timeout of calls and waits, far above what is needed, so that only a hang exceeds it.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Returns how many runs have started in an availability zone.
fn starts_in(world: &World, zone: &str) -> usize {
    world.platform.starts_in(zone)
}

/// Returns the response of a box's operators' API.
async fn operators(world: &World, i: usize, method: Method, path: &str) -> (StatusCode, Value) {
    let client = Client::default();
    let reply = client.call(world.boxes[i].addrs[3], method, path, Default::default(), TIMEOUT).await;
    let reply = reply.expect("the box responds");
    (reply.status, reply.json().expect("the body is JSON"))
}

#[test]
fn no_scheduler_places_anything_in_a_zone_that_the_platform_evacuates() {
    smol::block_on(async {
        let mut world = World::start(2, 4).await;
        world.submit(JobId(1), Work { work_ms: 100, tasks: 4, ..WORK }).await;
        world.until_succeeded(0, 1..=1, 4).await;
        assert!(starts_in(&world, "az-1") > 0 && starts_in(&world, "az-2") > 0);
        world.platform.evacuate("az-2");
        let before = starts_in(&world, "az-2");
        for id in 2..=6 {
            world.submit(JobId(id), WORK).await;
        }
        let scheduler = world.scheduler().await;
        world.boxes[scheduler].child.kill().expect("the process can be killed");
        for id in 7..=10 {
            world.submit(JobId(id), WORK).await;
        }
        let other = 1 - scheduler;
        world.until_succeeded(other, 2..=10, 2).await;
        assert_eq!(starts_in(&world, "az-2"), before, "nothing was placed there after the evacuation");
        world.platform.end_evacuation("az-2");
        world.submit(JobId(11), Work { tasks: 4, ..WORK }).await;
        world.until_succeeded(other, 11..=11, 4).await;
        assert!(starts_in(&world, "az-2") > before, "the zone accepts work again");
        assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
    });
}

#[test]
fn the_next_write_detects_an_evacuation_although_watches_deliver_nothing() {
    smol::block_on(async {
        let world = World::start(1, 4).await;
        until("all backend servers have responded", || async { world.responded_servers(0).await == Some(4) }).await;
        world.submit(JobId(1), Work { work_ms: 3000, tasks: MAX_RUNNING, ..WORK }).await;
        until("all its tasks run", || async { world.platform.oracle.running_tasks(JobId(1)) == MAX_RUNNING as usize })
            .await;
        for id in 2..=4 {
            world.submit(JobId(id), WORK).await;
        }
        // They wait for capacity, and the scheduler tracks them: no start is in flight.
        until("the scheduler tracks all jobs", || async { world.open_jobs(0).await == Some(4) }).await;
        world.platform.suppress_watch_events(true);
        world.platform.evacuate("az-1");
        let before = starts_in(&world, "az-1");
        world.until_succeeded(0, 1..=1, MAX_RUNNING as usize).await;
        world.until_succeeded(0, 2..=4, 2).await;
        assert_eq!(starts_in(&world, "az-1"), before);
        assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
        world.platform.suppress_watch_events(false);
    });
}

#[test]
fn operators_start_follow_and_end_an_evacuation() {
    smol::block_on(async {
        let world = World::start(2, 4).await;
        let scheduler = world.scheduler().await;
        // The other box learns of the scheduler by its own watch, which may be later.
        until("the other box knows who schedules", || async {
            world.known_scheduler(1 - scheduler).await == Some(format!("box-{scheduler}"))
        })
        .await;
        let (status, why) = operators(&world, 1 - scheduler, Method::PUT, "/v1/evacuations/az-1").await;
        assert_eq!(status, StatusCode::MISDIRECTED_REQUEST, "{why}");
        assert_eq!(why["scheduler"], format!("box-{scheduler}"));
        let (status, why) = operators(&world, scheduler, Method::PUT, "/v1/evacuations/az-9").await;
        assert_eq!(status, StatusCode::CONFLICT);
        assert_eq!(why["error"], "no backend server is in availability zone az-9; allowed are az-1, az-2");
        until("all backend servers have responded", || async { world.responded_servers(scheduler).await == Some(4) })
            .await;
        world.submit(JobId(1), Work { work_ms: 3000, tasks: MAX_RUNNING, ..WORK }).await;
        until("all its tasks run", || async { world.platform.oracle.running_tasks(JobId(1)) == MAX_RUNNING as usize })
            .await;
        let (status, report) = operators(&world, scheduler, Method::PUT, "/v1/evacuations/az-1").await;
        assert_eq!(status, StatusCode::OK);
        assert_eq!(report["evacuations"][0]["by"], json!(["operators"]));
        assert_eq!(report["evacuations"][0]["running_tasks"], starts_in(&world, "az-1"));
        assert_eq!(world.platform.keys("marten/evacuation/"), ["marten/evacuation/az-1"]);
        let (status, why) = operators(&world, scheduler, Method::PUT, "/v1/evacuations/az-2").await;
        assert_eq!(status, StatusCode::CONFLICT, "{why}");
        let before = starts_in(&world, "az-1");
        world.submit(JobId(2), Work { tasks: 4, ..WORK }).await;
        world.until_succeeded(0, 1..=1, MAX_RUNNING as usize).await;
        world.until_succeeded(0, 2..=2, 4).await;
        assert_eq!(starts_in(&world, "az-1"), before);
        until("nothing runs there", || async {
            let (_, report) = operators(&world, scheduler, Method::GET, "/v1/evacuations").await;
            report["evacuations"][0]["running_tasks"] == 0
        })
        .await;
        let (status, report) = operators(&world, scheduler, Method::DELETE, "/v1/evacuations/az-1").await;
        assert_eq!((status, &report["evacuations"]), (StatusCode::OK, &json!([])));
        assert!(world.platform.keys("marten/evacuation/").is_empty());
        world.submit(JobId(3), Work { tasks: 4, ..WORK }).await;
        world.until_succeeded(0, 3..=3, 4).await;
        assert!(starts_in(&world, "az-1") > before);
    });
}
