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
