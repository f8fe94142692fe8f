//! Three daemon processes of one availability zone on stand-ins, of which one is killed or terminated under load.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use backend::ServerInfo;
use hyper::Method;
use model::{BackendServerId, Gang, JobSpec, OperatorFile, Outcome, Resources, Revision, Within};
use net::http::Client;
use outside::{Clock, ListedBox, SystemClock};
use standins::{
    BackendHandle, Checkpoints, Final, LeaseTable, Oracle, PlatformHandle, Work, serve_backend, serve_platform,
};

/// Number of submitted jobs.
const JOBS: usize = 60;
/// Number of ended jobs at which the first daemon is killed.
const BEFORE_KILL: usize = 10;
/// Timeout of a caller, far above what is needed, so that only a hang exceeds it.
const TIMEOUT: Duration = Duration::from_secs(120);
/// Duration of a lease, in milliseconds.
const LEASE_MS: u64 = 3000;

/// Task of a caller, which returns its job and the outcome, if any.
type Caller = smol::Task<(JobSpec, Option<Outcome>)>;

/// Process of a daemon, killed on drop.
struct Daemon {
    child: Child,
    callers: SocketAddr,
    peers: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start_daemon(name: &str, platform: SocketAddr) -> Daemon {
    let settings = serde_json::json!({
        "box": name, "availability_zone": "az-1",
        "callers_address": "127.0.0.1:0", "peers_address": "127.0.0.1:0", "platform_address": platform,
        "limits": {
            "lease_ttl_ms": LEASE_MS, "renew_every_ms": LEASE_MS / 3, "heartbeat_every_ms": 200,
            "dead_after_ms": 2500, "steady_after_ms": 500, "adopt_after_ms": 300, "watch_ms": 1000, "tick_ms": 20,
            "checkpoint_ms": 300, "drain_ms": 20_000,
        },
    });
    let unique = format!("martend-test-{}-{}-{name}.json", std::process::id(), platform.port());
    let path = std::env::temp_dir().join(unique);
    std::fs::write(&path, settings.to_string()).expect("the temporary directory is writable");
    let mut child = Command::new(env!("CARGO_BIN_EXE_martend"))
        .args(["--settings", path.to_str().expect("a UTF-8 path")])
        .stderr(Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    let stderr = BufReader::new(child.stderr.take().expect("standard error is piped"));
    let mut lines = stderr.lines();
    let started = lines.by_ref().map_while(Result::ok).find(|line| line.contains("event=started"));
    let started = started.expect("the daemon logs its addresses");
    let addr = |field: &str| -> SocketAddr {
        let value = started.split_whitespace().find_map(|word| word.strip_prefix(field));
        value.expect("the line names it").parse().expect("an address")
    };
    let daemon = Daemon { callers: addr("callers="), peers: addr("peers="), child };
    // Reads on, so that the daemon never blocks on a full pipe.
    std::thread::spawn(move || lines.for_each(drop));
    daemon
}

struct Outside {
    clock: Arc<SystemClock>,
    platform: PlatformHandle,
    servers: Vec<(BackendServerId, BackendHandle)>,
    file: OperatorFile,
}

async fn start_outside() -> Outside {
    let clock = Arc::new(SystemClock::default());
    let platform = serve_platform().await.expect("a free port");
    let checkpoints = Checkpoints::default();
    let mut servers = Vec::new();
    let mut entries = Vec::new();
    for n in 1..=3 {
        let id: BackendServerId = format!("s{n}").parse().expect("a valid id");
        let info = ServerInfo {
            id: id.clone(),
            availability_zone: "az-1".parse().expect("a valid id"),
            resources: Resources::new(4, 16, 64),
            leaving: false,
            revision: Revision(0),
        };
        let table = LeaseTable::new(info, 1, Checkpoints::clone(&checkpoints), clock.now());
        let handle = serve_backend(table, Arc::clone(&clock)).await.expect("a free port");
        entries.push(serde_json::json!({
            "id": id, "availability_zone": "az-1", "rack": "r1", "address": handle.addr,
            "resources": { "accelerators": 4, "cores": 16, "memory_gb": 64 },
        }));
        servers.push((id, handle));
    }
    let file = serde_json::json!({
        "weights": { "completion_time": 1.0, "fragmentation": 1.0 },
        "classes": [{ "id": "work", "queue_limit": 1000 }],
        "customers": [{ "id": "court", "share": 1 }],
        "backend_servers": entries,
    });
    let file = model::from_json(file.to_string().as_bytes()).expect("the file is well formed");
    Outside { clock, platform, servers, file }
}

fn job(n: usize) -> JobSpec {
    let work = Work { run_ms: 50 + 20 * (n as u64 % 10), fail: None, answer_bytes: 40 * n };
    JobSpec {
        customer: "court".parse().expect("a valid id"),
        request: format!("r-{n}").parse().expect("a valid id"),
        class: "work".parse().expect("a valid id"),
        gang: Gang { tasks: [1, 2, 6][n % 3], per_task: Resources::new(1, 1, 1), within: Within::Rack },
        declared: model::Duration::from_millis(work.run_ms),
        deadline: None,
        repeatable: !n.is_multiple_of(4),
        checkpointable: false,
        payload: work.to_payload(),
    }
}

async fn apply(addr: SocketAddr, file: &OperatorFile) {
    let body = serde_json::json!({ "apply": "test-1", "base": 0, "file": file }).to_string();
    let limit = Duration::from_secs(20);
    let reply = Client::default().call(addr, Method::PUT, "/v1/configuration", body.into(), limit).await;
    let reply = reply.expect("the box answers");
    assert!(reply.status.is_success(), "{:?}", reply.body);
}

async fn until_ready(addr: SocketAddr) {
    let client = Client::default();
    loop {
        let reply = client.call(addr, Method::GET, "/readyz", Default::default(), Duration::from_secs(5)).await;
        if reply.is_ok_and(|reply| reply.status.is_success()) {
            return;
        }
        smol::Timer::after(Duration::from_millis(20)).await;
    }
}

/// Starts three daemons that discover each other by the platform's list.
async fn start_daemons(outside: &Outside) -> Vec<Daemon> {
    let names = ["box-1", "box-2", "box-3"];
    let daemons: Vec<Daemon> = names.iter().map(|name| start_daemon(name, outside.platform.addr)).collect();
    let listed = names.iter().zip(&daemons).map(|(name, daemon)| ListedBox {
        id: name.parse().expect("a valid id"),
        availability_zone: "az-1".parse().expect("a valid id"),
        peer_address: daemon.peers,
        leaving: false,
    });
    outside.platform.set_boxes(listed.collect());
    apply(daemons[0].callers, &outside.file).await;
    for daemon in &daemons {
        until_ready(daemon.callers).await;
    }
    daemons
}

fn submit_jobs(boxes: &[SocketAddr], ended_jobs: &Arc<AtomicUsize>) -> Vec<Caller> {
    let hand_in = |n: usize| {
        let spec = job(n);
        let mut boxes = boxes.to_vec();
        boxes.rotate_left(n % 3);
        let ended_jobs = Arc::clone(ended_jobs);
        smol::spawn(async move {
            let outcome = test_utils::run_job(&spec, &boxes, TIMEOUT).await;
            ended_jobs.fetch_add(1, Ordering::Relaxed);
            (spec, outcome)
        })
    };
    (0..JOBS).map(hand_in).collect()
}

async fn until_ended(ended_jobs: &AtomicUsize, n: usize) {
    while ended_jobs.load(Ordering::Relaxed) < n {
        smol::Timer::after(Duration::from_millis(5)).await;
    }
}

/// Starts the stand-ins, daemons and callers, and waits until some jobs have ended.
async fn start_under_load() -> (Outside, Vec<Daemon>, Vec<Caller>) {
    let outside = start_outside().await;
    let daemons = start_daemons(&outside).await;
    let boxes: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.callers).collect();
    let ended_jobs = Arc::new(AtomicUsize::new(0));
    let callers = submit_jobs(&boxes, &ended_jobs);
    until_ended(&ended_jobs, BEFORE_KILL).await;
    (outside, daemons, callers)
}

/// Checks that every caller got a true outcome and that no invariant was violated. Returns the number of jobs that were
/// done.
async fn check(outside: &Outside, callers: Vec<Caller>) -> usize {
    let mut oracle = Oracle::default();
    let mut done = 0;
    for caller in callers {
        let (spec, outcome) = caller.await;
        let outcome = outcome.unwrap_or_else(|| panic!("{} has no outcome", spec.request));
        done += usize::from(matches!(outcome, Outcome::Done { .. }));
        oracle.record_final(Final { spec, outcome });
    }
    for (id, handle) in &outside.servers {
        oracle.record_runs(id, &handle.table().runs);
    }
    let remainder = model::Duration::from_millis(2 * LEASE_MS + 10_000);
    assert_eq!(oracle.check(remainder, outside.clock.now()), vec![]);
    done
}

#[test]
fn callers_get_their_answers_although_a_box_is_killed() {
    smol::block_on(async {
        let (outside, mut daemons, callers) = start_under_load().await;
        daemons[0].child.kill().expect("the daemon can be killed");
        // Only jobs that the killed box had started and that must not repeat may end as unknown.
        let done = check(&outside, callers).await;
        assert!(done >= JOBS - JOBS / 4, "only {done} of {JOBS} jobs were done");
    });
}

#[test]
fn a_terminated_box_answers_all_its_callers() {
    smol::block_on(async {
        let (outside, mut daemons, callers) = start_under_load().await;
        let pid = daemons[0].child.id().to_string();
        let signalled = Command::new("kill").args(["-TERM", &pid]).status().expect("kill can be run");
        assert!(signalled.success());
        let done = check(&outside, callers).await;
        assert_eq!(done, JOBS, "a planned stop must not cost a single answer");
        let status = smol::unblock(move || daemons[0].child.wait()).await.expect("the daemon ends");
        assert!(status.success(), "the daemon ended with {status}");
    });
}
