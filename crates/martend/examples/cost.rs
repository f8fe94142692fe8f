//! Measures CPU time and memory of a daemon while jobs run, by number of workers.
//!
//! For each size, starts stand-ins in this process and one `martend` process, runs 14 tasks per worker, and reads the
//! statistics of the process (proc(5): `stat`, `status`).
//! Build first: `cargo build --release`, then `cargo run --release --example cost`.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::Arc,
    time::Duration,
};

use backend::ServerInfo;
use hyper::Method;
use model::{Gang, JobSpec, OperatorFile, Resources, Revision, Within};
use net::http::Client;
use outside::SystemClock;
use standins::{BackendHandle, Checkpoints, LeaseTable, PlatformHandle, Work, serve_backend, serve_platform};

/// Numbers of workers in one availability zone; 143 is the design target.
const SIZES: [usize; 3] = [18, 72, 143];
/// Number of gangs of seven tasks per worker.
const GANGS_PER_WORKER: usize = 2;
/// Time between the last start and the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Duration of the measurement, longer than the interval between lease renewals.
const MEASURE_TIME: Duration = Duration::from_secs(32);

type Error = Box<dyn std::error::Error>;

struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn main() -> Result<(), Error> {
    println!("| workers | tasks | core, % | resident, kB |");
    println!("| ---: | ---: | ---: | ---: |");
    SIZES.iter().try_for_each(|workers| smol::block_on(measure(*workers)))
}

async fn measure(workers: usize) -> Result<(), Error> {
    let platform = serve_platform().await?;
    let (file, servers) = start_servers(workers).await?;
    let (child, callers) = start_daemon(&platform)?;
    let pid = child.id();
    let _kill = KillOnDrop(child);
    let client = Client::default();
    let body = serde_json::json!({ "apply": "cost-1", "base": 0, "file": file }).to_string();
    client.call(callers, Method::PUT, "/v1/configuration", body.into(), Duration::from_secs(20)).await?;
    smol::Timer::after(Duration::from_secs(2)).await;
    for n in 0..workers * GANGS_PER_WORKER {
        let body = serde_json::to_vec(&job(n))?;
        client.call(callers, Method::POST, "/v1/jobs", body.into(), Duration::from_secs(20)).await?;
    }
    while running(&servers) < workers * GANGS_PER_WORKER {
        smol::Timer::after(Duration::from_millis(200)).await;
    }
    smol::Timer::after(SETTLE_TIME).await;
    let cpu = cpu_seconds(pid)?;
    smol::Timer::after(MEASURE_TIME).await;
    let cpu = (cpu_seconds(pid)? - cpu) / MEASURE_TIME.as_secs_f64() * 100.0;
    println!("| {workers} | {} | {cpu:.2} | {} |", workers * GANGS_PER_WORKER * 7, resident_kb(pid)?);
    Ok(())
}

fn running(servers: &[BackendHandle]) -> usize {
    servers.iter().map(|handle| handle.table().runs.len()).sum()
}

async fn start_servers(workers: usize) -> Result<(OperatorFile, Vec<BackendHandle>), Error> {
    let clock = Arc::new(SystemClock::default());
    let mut entries = Vec::new();
    let mut servers = Vec::new();
    for n in 0..workers {
        let info = ServerInfo {
            id: format!("w{n}").parse()?,
            availability_zone: "az-1".parse()?,
            resources: Resources::new(1, 30, 130),
            leaving: false,
            revision: Revision(0),
        };
        let table = LeaseTable::new(info, 1, Checkpoints::default(), model::Moment::ZERO);
        let handle = serve_backend(table, Arc::clone(&clock)).await?;
        entries.push(serde_json::json!({
            "id": format!("w{n}"), "availability_zone": "az-1", "rack": format!("r{}", n / 8),
            "address": handle.addr, "resources": { "accelerators": 1, "cores": 30, "memory_gb": 130 },
        }));
        servers.push(handle);
    }
    let customers: Vec<_> = (0..110).map(|n| serde_json::json!({ "id": format!("team-{n}"), "share": 1 })).collect();
    let file = serde_json::json!({
        "weights": { "completion_time": 1.0, "fragmentation": 1.0 },
        "classes": [{ "id": "batch", "queue_limit": 10_000 }],
        "customers": customers,
        "backend_servers": entries,
    });
    Ok((model::from_json(file.to_string().as_bytes())?, servers))
}

fn start_daemon(platform: &PlatformHandle) -> Result<(Child, SocketAddr), Error> {
    let settings = serde_json::json!({
        "box": "az-1-box-1", "availability_zone": "az-1", "platform_address": platform.addr,
        "callers_address": "127.0.0.1:0", "peers_address": "127.0.0.1:0",
    });
    let path = std::env::temp_dir().join(format!("martend-cost-{}.json", std::process::id()));
    std::fs::write(&path, settings.to_string())?;
    let daemon = std::env::current_exe()?.with_file_name("../martend");
    let mut child = Command::new(daemon).arg("--settings").arg(&path).stderr(Stdio::piped()).spawn()?;
    let mut lines = BufReader::new(child.stderr.take().ok_or("standard error is piped")?).lines();
    let started = lines.by_ref().map_while(Result::ok).find(|line| line.contains("event=started"));
    let started = started.ok_or("the daemon did not start")?;
    let callers = started.split_whitespace().find_map(|word| word.strip_prefix("callers=")).ok_or("no address")?;
    let callers = callers.parse()?;
    std::thread::spawn(move || lines.for_each(drop));
    Ok((child, callers))
}

fn job(n: usize) -> JobSpec {
    let work = Work { run_ms: 3_600_000, fail: None, answer_bytes: 0 };
    JobSpec {
        customer: format!("team-{}", n % 110).parse().expect("a valid id"),
        request: format!("r-{n}").parse().expect("a valid id"),
        class: "batch".parse().expect("a valid id"),
        gang: Gang { tasks: 7, per_task: Resources::new(0, 2, 8), within: Within::Worker },
        declared: model::Duration::from_millis(work.run_ms),
        deadline: None,
        repeatable: true,
        checkpointable: true,
        payload: work.to_payload(),
    }
}

/// Returns user and system time of a process, in seconds. Linux reports both in hundredths of a second.
fn cpu_seconds(pid: u32) -> Result<f64, Error> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / 100.0)
}

fn field(text: &str, name: &str) -> Result<f64, Error> {
    let line = text.lines().find(|line| line.starts_with(name)).ok_or("no such field")?;
    Ok(line.split_whitespace().nth(1).ok_or("no value")?.parse()?)
}

fn resident_kb(pid: u32) -> Result<f64, Error> {
    field(&std::fs::read_to_string(format!("/proc/{pid}/status"))?, "VmRSS:")
}
