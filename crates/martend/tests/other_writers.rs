//! Entries of other writers in the platform's list of backend servers, with a real process on a stand-in for the
//! platform.
//!
//! An invalid entry at the address of a backend server was taken for the next incarnation there. Its runs were
//! abandoned and started a second time elsewhere.

mod common;

use std::time::Duration;

use common::{World, until};
use jobs::JobId;
use serde_json::{Value, json};
use users_platform_standin::Work;

const LASTING: Work = Work { tasks: 1, accelerators: 8, work_ms: 60_000, gang: false };
const JOB: JobId = JobId(1);
/// Time in which a disturbance would show, in milliseconds: the scheduler reads an entry within 0.1 s, and abandoned
/// runs restart within 0.2 s.
const OBSERVED_MS: u64 = 700;

/// Starts a task on the first of two backend servers.
async fn with_running_task() -> World {
    let mut world = World::start(1, 2).await;
    world.platform.disconnect_server(1).await;
    world.submit(JOB, LASTING).await;
    until("the task runs", || async { world.platform.oracle.running_tasks(JOB) == 1 }).await;
    world.platform.restore_server(1).await.expect("the address is free");
    world
}

/// Checks that the task continues on its backend server, also after the scheduler has read the whole list again.
async fn check_undisturbed(world: &World, what: &str) {
    for reread in [false, true] {
        if reread {
            world.platform.suppress_watch_events(true);
            world.platform.write("elsewhere", b"{}");
            world.platform.compact_history();
            world.platform.suppress_watch_events(false);
        }
        smol::Timer::after(Duration::from_millis(OBSERVED_MS)).await;
        assert_eq!(world.platform.oracle.violations(), Vec::<String>::new(), "{what}");
        assert_eq!(world.platform.oracle.start_count(), 1, "{what}");
        assert_eq!(world.platform.oracle.running_tasks(JOB), 1, "{what}");
    }
}

fn with_field(mut entry: Value, name: &str, value: Value) -> Vec<u8> {
    entry[name] = value;
    entry.to_string().into_bytes()
}

#[test]
fn an_invalid_entry_at_the_address_of_a_backend_server_disturbs_nothing() {
    smol::block_on(async {
        let world = with_running_task().await;
        let entry = world.platform.entry(0);
        let invalid = [
            with_field(entry.clone(), "state", json!("asleep")),
            with_field(entry.clone(), "service", json!("bakery")),
            with_field(entry.clone(), "slots", json!("many")),
            with_field(entry.clone(), "capacity", json!(null)),
        ];
        for value in invalid {
            world.platform.write("servers/i-other", &value);
            check_undisturbed(&world, &String::from_utf8_lossy(&value)).await;
        }
        world.platform.write("servers/not an id", entry.to_string().as_bytes());
        world.platform.write("servers/i-bytes", b"\xff\xfe\x00");
        check_undisturbed(&world, "bytes that cannot be read").await;
    });
}

#[test]
fn an_entry_overwritten_with_an_invalid_one_disturbs_nothing() {
    smol::block_on(async {
        let world = with_running_task().await;
        let (_, id) = world.platform.server(0);
        let (key, entry) = (format!("servers/{id}"), world.platform.entry(0));
        for value in [b"\xff".to_vec(), with_field(entry, "service", json!("bakery"))] {
            world.platform.write(&key, &value);
            check_undisturbed(&world, &String::from_utf8_lossy(&value)).await;
        }
    });
}
