//! Two builds of `martend`: each reads what the other has stored, and boxes of both work in one deployment.
//!
//! `MARTEND_OTHER_BUILD` names the `martend` of the other build. Without it both sides are the build under test, which
//! checks the scenario itself. The tests guard against renames that change stored records, settings or messages between
//! boxes.

mod common;

use std::time::Duration;

use common::{KEY, World, start_build, until};
use hyper::{Method, StatusCode};
use jobs::JobId;
use net::http::Client;
use serde_json::Value;
use users_platform_standin::{BoxAddrs, Caller, Platform, Setup, Work, free_addrs};

const SHORT: Work = Work { tasks: 2, accelerators: 1, work_ms: 100, gang: false };
/// Runs across the change of builds.
const LONG: Work = Work { tasks: 1, accelerators: 4, work_ms: 12_000, gang: false };
/// Waits for capacity across the change of builds.
const GANG: Work = Work { tasks: 4, accelerators: 4, work_ms: 100, gang: true };
const SERVERS: usize = 6;
const EVACUATED: &str = "az-2";
const MAINTENANCE: u64 = 7;
/// Prefixes of the records that the next scheduler must read.
const RECORDS: [&str; 10] = [
    "marten/scheduler",
    "marten/scheduler/relays",
    "marten/in/",
    "marten/progress/",
    "marten/ended/",
    "marten/terms",
    "marten/box/",
    "marten/witnesses",
    "marten/unreached",
    "marten/wave/",
];
/// Timeout of calls and waits, far above what is needed, so that only a hang exceeds it.
const TIMEOUT: Duration = Duration::from_secs(60);

fn own_build() -> String {
    env!("CARGO_BIN_EXE_martend").to_owned()
}

fn other_build() -> String {
    std::env::var("MARTEND_OTHER_BUILD").unwrap_or_else(|_| own_build())
}

async fn start_world() -> World {
    let setup = Setup { servers: SERVERS, key: KEY.to_owned(), ..Setup::default() };
    World::start_on(0, &setup).await
}

async fn add_box(world: &mut World, program: &str, name: &str, addrs: BoxAddrs, settings: String) -> usize {
    world.boxes.push(start_build(program, name, addrs, settings));
    let i = world.boxes.len() - 1;
    world.until_ready(i).await;
    i
}

/// Returns the response of a box's operators' API.
async fn operators(world: &World, i: usize, method: Method, path: &str) -> (StatusCode, Value) {
    let client = Client::default();
    let reply = client.call(world.boxes[i].addrs[3], method, path, Default::default(), TIMEOUT).await;
    let reply = reply.expect("the box responds");
    (reply.status, reply.json().expect("the body is JSON"))
}

fn has_all_records(platform: &Platform) -> bool {
    RECORDS.iter().all(|prefix| !platform.keys(prefix).is_empty())
}

fn log_of(world: &World, i: usize) -> String {
    std::fs::read_to_string(&world.boxes[i].log).expect("it has logged")
}

/// Lets one build store every kind of record, kills it, and checks that the other takes over with the same settings.
async fn check_takes_over(first: &str, second: &str) {
    let mut world = start_world().await;
    let addrs = free_addrs();
    let settings = world.platform.settings("box-0", &addrs, &[]);
    add_box(&mut world, first, "box-0", addrs, settings.clone()).await;
    until("all backend servers have responded", || async { world.responded_servers(0).await == Some(SERVERS as u64) })
        .await;
    for id in 1..=3 {
        world.submit(JobId(id), SHORT).await;
    }
    world.until_succeeded(0, 1..=3, 2).await;
    until("ended jobs are archived", || async { world.platform.keys("marten/ended/").len() == 3 }).await;
    let (status, _) = operators(&world, 0, Method::PUT, &format!("/v1/evacuations/{EVACUATED}")).await;
    assert_eq!(status, StatusCode::OK);
    world.submit(JobId(4), LONG).await;
    until("the long job runs", || async { world.platform.oracle.running_tasks(JobId(4)) == 1 }).await;
    // Emptying waits for the long task, so the maintenance is still open when the builds change.
    world.platform.request_maintenance(MAINTENANCE, 1);
    until("a machine is in maintenance", || async { !world.platform.keys("marten/wave/").is_empty() }).await;
    let host = world.platform.oracle.running_on(JobId(4)).expect("the task runs");
    let server = (0..SERVERS).find(|&i| world.platform.server(i).1 == host).expect("the platform has it");
    world.submit(JobId(5), GANG).await;
    world.platform.disconnect_server(server).await;
    until("every kind of record is stored", || async { has_all_records(&world.platform) }).await;
    assert!(!world.platform.keys("marten/evacuation/").is_empty());

    world.boxes[0].child.kill().expect("the process can be killed");
    world.boxes[0].child.wait().expect("it has ended");
    let i = add_box(&mut world, second, "box-0", addrs, settings).await;
    until("the other build schedules", || async { world.responded_servers(i).await.is_some() }).await;
    let (_, evacuations) = operators(&world, i, Method::GET, "/v1/evacuations").await;
    assert_eq!(evacuations["evacuations"][0]["availability_zone"], EVACUATED, "{evacuations}");
    for id in 1..=3 {
        until("an archived job is known", || async {
            world.state(i, JobId(id)).await.is_some_and(|answer| answer.state == "succeeded")
        })
        .await;
    }
    world.platform.restore_server(server).await.expect("the address is free");
    world.until_succeeded(i, 4..=4, 1).await;
    let (status, _) = operators(&world, i, Method::DELETE, &format!("/v1/evacuations/{EVACUATED}")).await;
    assert_eq!(status, StatusCode::OK);
    world.until_succeeded(i, 5..=5, 4).await;
    let succeeded = || world.platform.read(&format!("status/wave/{MAINTENANCE}"));
    until("the maintenance has succeeded", || async {
        succeeded().is_some_and(|value| value == br#"{"state":"succeeded"}"#)
    })
    .await;
    assert_eq!(world.platform.machines.maintenance_counts(), [1; SERVERS], "each machine was maintained once");
    world.submit(JobId(6), SHORT).await;
    world.until_succeeded(i, 6..=6, 2).await;
    assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
    let log = log_of(&world, i);
    assert!(!log.contains("unreadable") && !log.contains(" ERROR "), "{log}");
}

#[test]
fn this_build_reads_what_the_other_has_stored() {
    smol::block_on(check_takes_over(&other_build(), &own_build()));
}

#[test]
fn the_other_build_reads_what_this_has_stored() {
    smol::block_on(check_takes_over(&own_build(), &other_build()));
}

/// Submits jobs to a box, and checks that each is accepted and succeeds.
async fn check_serves(world: &World, i: usize, ids: std::ops::RangeInclusive<u64>) {
    let caller: &Caller = &world.caller;
    for id in ids.clone() {
        until("the job is accepted", || async {
            let answer = caller.submit(world.boxes[i].addrs[0], JobId(id), SHORT).await;
            answer.is_ok_and(|answer| answer.status == StatusCode::OK)
        })
        .await;
    }
    world.until_succeeded(i, ids, 2).await;
}

/// Each build schedules once while a box of the other accepts jobs and reports their state; a job runs across each
/// change.
#[test]
fn boxes_of_both_builds_work_in_one_deployment() {
    smol::block_on(async {
        let mut world = start_world().await;
        let all = [free_addrs(), free_addrs()];
        let seeds = [all[0][2], all[1][2]];
        let programs = [other_build(), own_build()];
        let settings = [0, 1].map(|i| world.platform.settings(&format!("box-{i}"), &all[i], &seeds));
        for i in [0, 1] {
            add_box(&mut world, &programs[i], &format!("box-{i}"), all[i], settings[i].clone()).await;
        }
        let mut next_id = 1;
        let mut has_scheduled = [false, false];
        for long_id in [101, 102, 103] {
            let scheduler = world.scheduler().await;
            has_scheduled[scheduler] = true;
            for i in [0, 1] {
                check_serves(&world, i, next_id..=next_id + 2).await;
                next_id += 3;
            }
            // Each box reads the state of jobs that the other has accepted.
            for i in [0, 1] {
                world.until_succeeded(i, 1..=next_id - 1, 2).await;
            }
            world.submit(JobId(long_id), Work { work_ms: 3000, ..LONG }).await;
            until("the long job runs", || async { world.platform.oracle.running_tasks(JobId(long_id)) == 1 }).await;
            world.boxes[scheduler].child.kill().expect("the process can be killed");
            world.boxes[scheduler].child.wait().expect("it has ended");
            world.until_succeeded(1 - scheduler, long_id..=long_id, 1).await;
            let name = format!("box-{scheduler}");
            let settings = settings[scheduler].clone();
            world.boxes[scheduler] = start_build(&programs[scheduler], &name, all[scheduler], settings);
            world.until_ready(scheduler).await;
        }
        assert_eq!(has_scheduled, [true, true], "each build has scheduled");
        assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
    });
}
