//! Entries of another writer in the platform's list of backend servers, with a real process on a stand-in for the users' platform.
//!
//! Found by reading: an entry that cannot be meant for us, at the address of a backend server, was taken for the next life there. What ran
//! was given up and started elsewhere, beside itself.

mod common;

use std::time::Duration;

use common::{World, until};
use jobs::JobId;
use serde_json::{Value, json};
use users_platform_standin::Work;

const LASTING: Work = Work { tasks: 1, accelerators: 8, work_ms: 60_000, gang: false };
const JOB: JobId = JobId(1);
/// An entry is seen within 0.1 s, and what is given up starts again within 0.2 s.
const SEEN_MS: u64 = 700;

/// A task runs on the first of two backend servers.
async fn running() -> World {
    let mut world = World::start(1, 2).await;
    world.platform.disconnect_server(1).await;
    world.submit(JOB, LASTING).await;
    until("the task runs", || async { world.platform.oracle.running_tasks(JOB) == 1 }).await;
    world.platform.restore_server(1).await.expect("its address is free");
    world
}

/// The task runs on where it began, also for a scheduler that reads the whole list anew.
async fn check_undisturbed(world: &World, what: &str) {
    for again in [false, true] {
        if again {
            world.platform.suppress_watch_events(true);
            world.platform.write("elsewhere", b"{}");
            world.platform.compact_history();
            world.platform.suppress_watch_events(false);
        }
        smol::Timer::after(Duration::from_millis(SEEN_MS)).await;
        assert_eq!(world.platform.oracle.violations(), Vec::<String>::new(), "{what}");
        assert_eq!(world.platform.oracle.start_count(), 1, "{what}");
        assert_eq!(world.platform.oracle.running_tasks(JOB), 1, "{what}");
    }
}

fn with(mut entry: Value, name: &str, value: Value) -> Vec<u8> {
    entry[name] = value;
    entry.to_string().into_bytes()
}

#[test]
fn an_entry_of_another_writer_at_the_address_of_a_backend_server_ends_nothing_there() {
    smol::block_on(async {
        let world = running().await;
        let entry = world.platform.entry(0);
        let odd = [
            with(entry.clone(), "state", json!("asleep")),
            with(entry.clone(), "service", json!("bakery")),
            with(entry.clone(), "slots", json!("many")),
            with(entry.clone(), "capacity", json!(null)),
        ];
        for value in odd {
            world.platform.write("servers/i-other", &value);
            check_undisturbed(&world, &String::from_utf8_lossy(&value)).await;
        }
        world.platform.write("servers/not an id", entry.to_string().as_bytes());
        world.platform.write("servers/i-bytes", b"\xff\xfe\x00");
        check_undisturbed(&world, "bytes that cannot be read").await;
    });
}

#[test]
fn an_entry_that_was_overwritten_by_another_writer_leaves_its_backend_server_as_it_was() {
    smol::block_on(async {
        let world = running().await;
        let (_, id) = world.platform.server(0);
        let (key, entry) = (format!("servers/{id}"), world.platform.entry(0));
        for value in [b"\xff".to_vec(), with(entry, "service", json!("bakery"))] {
            world.platform.write(&key, &value);
            check_undisturbed(&world, &String::from_utf8_lossy(&value)).await;
        }
    });
}
