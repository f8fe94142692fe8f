//! Memory of a scheduling box's process, by number of backend servers.

mod common;

use common::{KEY, World, start_box_with, until};
use users_platform_standin::{Setup, free_addrs};

/// Number of backend servers, large enough that their memory is measurable beside that of the process.
const SERVERS: usize = 300;
/// Maximum memory per backend server, in KB: 1,100 of them and the jobs must fit into 128 MB, on boxes of 160 MB.
const MAX_KB_PER_SERVER: u64 = 60;

/// Returns the resident memory of a process, in KB.
fn resident_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("the system reports it");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("the value is a number")
}

/// Returns the memory of a scheduling box, in KB, once this number of backend servers have responded.
fn scheduler_kb(servers: usize) -> u64 {
    smol::block_on(async {
        let setup = Setup { servers, key: KEY.to_owned(), ..Setup::default() };
        let world = World::start_on(1, &setup).await;
        until("every backend server has responded", || async {
            world.responded_servers(0).await == Some(servers as u64)
        })
        .await;
        resident_kb(world.boxes[0].child.id())
    })
}

#[test]
fn a_backend_server_costs_little_memory() {
    let (few, many) = (scheduler_kb(1), scheduler_kb(SERVERS));
    let each = many.saturating_sub(few) / (SERVERS as u64 - 1);
    assert!(
        each <= MAX_KB_PER_SERVER,
        "{each} KB for each backend server: {few} KB with one, {many} KB with {SERVERS}"
    );
}

#[test]
fn a_box_with_much_memory_is_elected_before_one_with_little() {
    smol::block_on(async {
        let mut world = World::start(0, 1).await;
        for (name, memory_mb) in [("box-small", 4), ("box-large", 512)] {
            let addrs = free_addrs();
            let settings = world.platform.settings(name, &addrs, &[]);
            let prefix = "\"deployment\":{";
            assert!(settings.contains(prefix), "{settings}");
            let settings = settings.replacen(prefix, &format!("{prefix}\"memory_mb\":{memory_mb},"), 1);
            world.boxes.push(start_box_with(name, addrs, settings));
        }
        assert_eq!(world.scheduler().await, 1);
    });
}
