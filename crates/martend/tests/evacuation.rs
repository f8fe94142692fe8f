//! Evacuations of availability zones, with real processes on a stand-in for the users' platform.

mod common;

use std::process::{Command, Output};

use common::{World, until};
use jobs::JobId;
use users_platform_standin::Work;

/// Each job takes all accelerators of a backend server, so that jobs go to both availability zones.
const WORK: Work = Work { tasks: 2, accelerators: 8, work_ms: 300, gang: false };

/// Backend servers of an availability zone on which something runs.
fn begun_in(world: &World, zone: &str) -> usize {
    world.platform.begun_in(zone)
}

fn marten(world: &World, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO"));
    command.args(["run", "--quiet", "--package", "marten", "--", "evacuate"]).args(args);
    for a_box in &world.boxes {
        command.args(["--box", &a_box.addrs[3].to_string()]);
    }
    command.output().expect("marten can be run")
}

#[test]
fn a_zone_that_the_platforms_operators_evacuate_takes_nothing_also_from_the_next_scheduler() {
    smol::block_on(async {
        let mut world = World::start(2, 4).await;
        world.submit(JobId(1), Work { work_ms: 100, tasks: 4, ..WORK }).await;
        world.until_succeeded(0, 1..=1, 4).await;
        assert!(begun_in(&world, "az-1") > 0 && begun_in(&world, "az-2") > 0);
        world.platform.evacuate("az-2");
        let before = begun_in(&world, "az-2");
        for id in 2..=6 {
            world.submit(JobId(id), WORK).await;
        }
        let scheduler = world.scheduler().await;
        world.boxes[scheduler].child.kill().expect("it runs");
        for id in 7..=10 {
            world.submit(JobId(id), WORK).await;
        }
        let other = 1 - scheduler;
        world.until_succeeded(other, 2..=10, 2).await;
        assert_eq!(begun_in(&world, "az-2"), before, "nothing was placed there after the evacuation");
        world.platform.take_back("az-2");
        world.submit(JobId(11), Work { tasks: 4, ..WORK }).await;
        world.until_succeeded(other, 11..=11, 4).await;
        assert!(begun_in(&world, "az-2") > before, "it takes work again");
        assert_eq!(world.platform.oracle.broken(), Vec::<String>::new());
    });
}

#[test]
fn an_evacuation_is_found_by_the_next_write_though_watches_hear_nothing() {
    smol::block_on(async {
        let world = World::start(1, 4).await;
        world.submit(JobId(1), Work { work_ms: 1500, tasks: 4, ..WORK }).await;
        until("all of it runs", || async { world.platform.oracle.begun() == 4 }).await;
        for id in 2..=4 {
            world.submit(JobId(id), WORK).await;
        }
        // They wait for room, and the scheduler knows of them.
        until("they are known", || async { world.open_jobs(0).await == Some(4) }).await;
        world.platform.set_watches_deaf(true);
        world.platform.evacuate("az-1");
        let before = begun_in(&world, "az-1");
        world.until_succeeded(0, 1..=1, 4).await;
        world.until_succeeded(0, 2..=4, 2).await;
        assert_eq!(begun_in(&world, "az-1"), before);
        assert_eq!(world.platform.oracle.broken(), Vec::<String>::new());
        world.platform.set_watches_deaf(false);
    });
}

#[test]
fn operators_evacuate_follow_and_take_back() {
    smol::block_on(async {
        let world = World::start(2, 4).await;
        let unknown = marten(&world, &["az-9"]);
        assert_eq!(unknown.status.code(), Some(3), "{unknown:?}");
        let why = String::from_utf8_lossy(&unknown.stderr).into_owned();
        assert!(why.contains("no backend server is in availability zone az-9; allowed are az-1, az-2"), "{why}");
        world.submit(JobId(1), Work { work_ms: 1500, tasks: 4, ..WORK }).await;
        until("all of it runs", || async { world.platform.oracle.begun() == 4 }).await;
        let evacuated = marten(&world, &["az-1", "--follow"]);
        assert_eq!(evacuated.status.code(), Some(0), "{evacuated:?}");
        let told = String::from_utf8_lossy(&evacuated.stdout).into_owned();
        assert!(told.contains("az-1 is evacuated (asked for by operators); 0 tasks run there"), "{told}");
        assert_eq!(world.platform.keys("marten/evacuation/"), ["marten/evacuation/az-1"]);
        let last = marten(&world, &["az-2"]);
        assert_eq!(last.status.code(), Some(3), "{last:?}");
        let before = begun_in(&world, "az-1");
        world.submit(JobId(2), Work { tasks: 4, ..WORK }).await;
        world.until_succeeded(0, 1..=2, 4).await;
        assert_eq!(begun_in(&world, "az-1"), before);
        let back = marten(&world, &["az-1", "--take-back"]);
        assert_eq!(String::from_utf8_lossy(&back.stdout), "az-1 takes work\n", "{back:?}");
        assert!(world.platform.keys("marten/evacuation/").is_empty());
        world.submit(JobId(3), Work { tasks: 4, ..WORK }).await;
        world.until_succeeded(0, 3..=3, 4).await;
        assert!(begun_in(&world, "az-1") > before);
    });
}
