//! Odd entries of other writers in the platform's store, with real processes on a stand-in for the platform. Guards
//! against a box that ends, or that no longer follows a list, because one entry among many cannot be used.

mod common;

use std::time::Duration;

use common::World;
use jobs::JobId;
use serde_json::{Value, json};
use users_platform_standin::Work;

const JOB: JobId = JobId(1);
const SHORT: Work = Work { tasks: 2, accelerators: 1, work_ms: 50, gang: false };
/// Address at which nothing listens, since entries that are valid but for one field must not stand for a backend
/// server.
const NOBODY: &str = "127.0.0.1:1";
/// Time in which each box reads an entry, in milliseconds.
const READ_MS: u64 = 700;

fn entry(world: &World, name: &str, value: Value) -> Vec<u8> {
    let mut entry = world.platform.entry(0);
    entry["addr"] = json!(NOBODY);
    entry[name] = value;
    entry.to_string().into_bytes()
}

/// Checks that all boxes live and still follow the list of backend servers: a job runs on backend servers that are
/// listed only now, also after the whole list has been read again.
async fn check_followed(world: &mut World) {
    smol::Timer::after(Duration::from_millis(READ_MS)).await;
    for (round, reread) in [false, true].into_iter().enumerate() {
        if reread {
            world.platform.suppress_watch_events(true);
            world.platform.write("elsewhere", b"{}");
            world.platform.compact_history();
            world.platform.suppress_watch_events(false);
        }
        for i in 0..2 {
            world.platform.crash_server(i).await.expect("the address is free");
        }
        let job = JobId(JOB.0 + round as u64);
        world.submit(job, SHORT).await;
        world.until_succeeded(0, [job.0].into_iter(), SHORT.tasks as usize).await;
    }
    for a_box in &mut world.boxes {
        let ended = a_box.child.try_wait().expect("the process can be waited for");
        assert!(ended.is_none(), "a box has ended: {ended:?}");
    }
    assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
}

/// The sum of two such capacities overflowed under the lock of the scheduler.
#[test]
fn backend_servers_with_huge_numbers_end_no_box() {
    smol::block_on(async {
        let mut world = World::start(2, 2).await;
        for (i, name) in ["cpu", "memMb", "gpu"].into_iter().cycle().take(6).enumerate() {
            let mut capacity = world.platform.entry(0)["capacity"].clone();
            capacity[name] = json!(u64::MAX);
            world.platform.write(&format!("servers/i-huge{i}"), &entry(&world, "capacity", capacity));
        }
        for (i, name) in ["remainingMs", "born", "timestampMs", "seq", "coldLeftMs"].into_iter().enumerate() {
            let value = entry(&world, name, json!(u64::MAX));
            world.platform.write(&format!("servers/i-late{i}"), &value);
        }
        check_followed(&mut world).await;
    });
}

/// Values that cannot be used, whoever reads them.
fn odd_values() -> Vec<Vec<u8>> {
    let deep = "[".repeat(100_000) + &"]".repeat(100_000);
    let long = "x".repeat(500_000);
    vec![
        Vec::new(),
        b"\xff\xfe\x00".to_vec(),
        b"null".to_vec(),
        b"-1".to_vec(),
        b"1e400".to_vec(),
        deep.clone().into_bytes(),
        format!(r#"{{"service":{deep}}}"#).into_bytes(),
        format!(r#"{{"service":"{long}"}}"#).into_bytes(),
        format!(r#""{long}""#).into_bytes(),
    ]
}

#[test]
fn odd_entries_under_every_prefix_end_no_box_and_stop_no_watch() {
    smol::block_on(async {
        let mut world = World::start(2, 2).await;
        let fields = [
            ("addr", json!("127.0.0.1:70000")),
            ("addr", json!("127.0.0.1:-1")),
            ("addr", json!("127.0.0.1:0")),
            ("zone", json!("z".repeat(100_000))),
            ("labels", json!(vec!["r1-1"; 10_000])),
            ("capacity", json!({"cpu": -1, "memMb": 1, "gpu": 1})),
            ("seq", json!(-1)),
            ("remainingMs", json!(-5)),
            ("born", json!(1.5)),
        ];
        for (i, (name, value)) in fields.into_iter().enumerate() {
            world.platform.write(&format!("servers/i-field{i}"), &entry(&world, name, value));
        }
        let prefixes = ["servers/i-odd", "op/wave/", "op/evacuate/odd", "op/odd", "marten/in/", "marten/progress/"];
        let own = ["marten/ended/", "marten/learned/", "marten/box/", "marten/evacuation/", "marten/wave/", "marten/"];
        for (i, value) in odd_values().into_iter().enumerate() {
            for prefix in prefixes.into_iter().chain(own) {
                world.platform.write(&format!("{prefix}{i}"), &value);
            }
            for key in ["unreached", "witnesses", "queues", "terms", "scheduler/relays"] {
                world.platform.write(&format!("marten/{key}"), &value);
            }
            world.platform.write("op/config", &value);
        }
        for key in ["servers/", "servers/ ", "servers/#", "servers/\u{1}", "servers/%", "op/evacuate/", "op/wave/x"] {
            world.platform.write(key, b"{}");
        }
        for i in 0..2000 {
            world.platform.write(&format!("servers/many {i}"), b"{}");
        }
        check_followed(&mut world).await;
    });
}
