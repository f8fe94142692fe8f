//! What a scheduling box's process holds in memory, by the number of backend servers.

mod common;

use common::{KEY, World, start_box_with, until};
use users_platform_standin::{Setup, free_addrs};

/// Backend servers: enough that what each costs shows beside what the process itself takes.
const SERVERS: usize = 300;
/// Most for each backend server, in KB: 1,100 of them must fit into 128 MB beside the jobs, on boxes that have 160 MB.
const MOST_EACH_KB: u64 = 60;

/// Resident memory of a process, in KB, as the system tells it.
fn resident_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("the system tells it");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("it is a number")
}

/// Memory of a box that schedules, once it holds so many backend servers.
fn scheduling(servers: usize) -> u64 {
    smol::block_on(async {
        let setup = Setup { servers, key: KEY.to_owned(), ..Setup::default() };
        let world = World::start_on(1, &setup).await;
        until("every backend server is heard", || async { world.heard_servers(0).await == Some(servers as u64) }).await;
        resident_kb(world.boxes[0].child.id())
    })
}

#[test]
fn a_backend_server_costs_little_memory() {
    let (few, many) = (scheduling(1), scheduling(SERVERS));
    let each = many.saturating_sub(few) / (SERVERS as u64 - 1);
    assert!(each <= MOST_EACH_KB, "{each} KB for each backend server: {few} KB with one, {many} KB with {SERVERS}");
}

#[test]
fn a_box_with_much_memory_is_elected_before_one_with_little() {
    smol::block_on(async {
        let mut world = World::start(0, 1).await;
        for (name, memory_mb) in [("box-small", 4), ("box-large", 512)] {
            let addrs = free_addrs();
            let settings = world.platform.settings(name, &addrs, &[]);
            let known = "\"deployment\":{";
            assert!(settings.contains(known), "{settings}");
            let settings = settings.replacen(known, &format!("{known}\"memory_mb\":{memory_mb},"), 1);
            world.boxes.push(start_box_with(name, addrs, settings));
        }
        assert_eq!(world.scheduler().await, 1);
    });
}
