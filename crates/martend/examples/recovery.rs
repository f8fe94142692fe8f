//! Measures what a new scheduler reads before it schedules, by number of open and ended jobs:
//!
//!     cargo build --release && cargo run --release --example recovery
//!
//! A box accepts jobs on a platform stand-in and is killed; another box, behind a link of 10 Mbit/s, takes over.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command},
    time::Duration,
};

use hyper::StatusCode;
use jobs::JobId;
use users_platform_standin::{Caller, Padding, Platform, Setup, SlowLink, Work, free_addrs};

const KEY: &str = "key-1";
/// Bandwidth of the link: 10 Mbit/s, as small boxes of the platform have.
const BYTES_PER_SECOND: usize = 1_250_000;
/// Size of a job's text, in bytes: the average of the platform's urgent jobs.
const TEXT_BYTES: usize = 2400;
const WORK: Work = Work { tasks: 2, accelerators: 1, work_ms: 5, gang: false };
/// Items in a page of the platform's store.
const PAGE_ITEMS: usize = 500;

struct BoxProcess {
    child: Child,
    log: PathBuf,
    callers: SocketAddr,
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start(platform: &Platform, name: &str, store: SocketAddr) -> BoxProcess {
    let addrs = free_addrs();
    let path = std::env::temp_dir().join(format!("recovery-{}-{name}.json", std::process::id()));
    std::fs::write(&path, platform.settings_via(name, &addrs, &[], store)).expect("settings can be written");
    let log = path.with_extension("log");
    let out = std::fs::File::create(&log).expect("a log can be written");
    let program = std::env::current_exe().expect("it runs").with_file_name("../martend");
    let child = Command::new(program).env("MARTENSCALE_CONFIG", &path).stdout(out).spawn();
    BoxProcess { child: child.expect("martend is built: cargo build --release"), log, callers: addrs[0] }
}

/// Waits for the first line of a box's log that contains `event`.
async fn wait_for_line(a_box: &BoxProcess, event: &str) -> String {
    loop {
        let log = std::fs::read_to_string(&a_box.log).unwrap_or_default();
        if let Some(line) = log.lines().find(|line| line.contains(event)) {
            return line.to_owned();
        }
        smol::Timer::after(Duration::from_millis(10)).await;
    }
}

fn field(line: &str, name: &str) -> String {
    let value = line.split_whitespace().find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    value.unwrap_or("?").to_owned()
}

async fn submit(caller: &Caller, a_box: &BoxProcess, id: u64) {
    let padding = Padding { text: TEXT_BYTES, body: 0 };
    loop {
        let answer = caller.submit_padded(a_box.callers, JobId(id), WORK, padding).await;
        if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
            return;
        }
        smol::Timer::after(Duration::from_millis(20)).await;
    }
}

async fn measure(open: u64, ended: u64) {
    let setup = Setup { servers: 8, key: KEY.to_owned(), page: PAGE_ITEMS, ..Setup::default() };
    let mut platform = Platform::start(&setup).await.expect("loopback is available");
    let caller = Caller::new(KEY, platform.oracle.clone());
    let first = start(&platform, &format!("first-{open}-{ended}"), platform.store_addr);
    for id in 0..ended {
        submit(&caller, &first, id).await;
    }
    while platform.keys("marten/ended/").len() < ended as usize {
        smol::Timer::after(Duration::from_millis(50)).await;
    }
    for i in 0..setup.servers {
        platform.disconnect_server(i).await;
    }
    for id in 0..open {
        submit(&caller, &first, 1_000_000 + id).await;
    }
    drop(first);
    let link = SlowLink::start(platform.store_addr, BYTES_PER_SECOND).await.expect("loopback is available");
    let next = start(&platform, &format!("next-{open}-{ended}"), link.addr);
    let restored = wait_for_line(&next, "event=restored").await;
    let records = wait_for_line(&next, "event=records_read").await;
    println!(
        "| {open} | {ended} | {} | {} | {} | {} |",
        field(&restored, "pages"),
        field(&restored, "bytes"),
        field(&restored, "took_ms"),
        field(&records, "pages")
    );
}

fn main() {
    println!("| open jobs | ended jobs | pages | bytes of values | until it schedules, ms | pages of records, after |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: |");
    smol::block_on(async {
        for (open, ended) in [(0, 0), (100, 0), (200, 0), (400, 0), (800, 0), (100, 500), (100, 2000)] {
            measure(open, ended).await;
        }
    });
}
