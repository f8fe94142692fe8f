//! Measures the marginal cost of a worker, task, box or byte, for `docs/CAPACITY.md`.
//!
//! Everything runs in this process on one thread: entry boxes are driven without I/O, and messages are measured in
//! their encoding on the wire. Times are medians of several runs.

use std::{
    fmt::Write as _,
    sync::Arc,
    time::{Duration as StdDuration, Instant},
};

use backend::{BackendReply, BackendRequest, Holder, Lease, Renewal, ServerInfo, TableUpdate, TaskState};
use entry::{BackendOp, EntryBox, Identity, Input, Limits, PeerRequest, ReplyTo};
use model::{
    AvailabilityZoneId, Duration, Gang, Incarnation, JobId, LeaseToken, Member, Moment, OperatorFile, Resources,
    Revision, Within,
};
use policy::{CellPlanner, Planner, Queued, Running, Server, Snapshot};
use spread::Document;

/// Number of runs whose median is taken.
const RUNS: usize = 9;

/// Runs all measurements and returns the table.
pub(crate) fn run() -> Result<String, String> {
    let mut text = String::new();
    planning(&mut text);
    ticks(&mut text);
    messages(&mut text)?;
    memory(&mut text);
    Ok(text)
}

fn median(mut times: Vec<StdDuration>) -> StdDuration {
    times.sort();
    times[times.len() / 2]
}

/// Fits a straight line to points by least squares. Returns its slope, its value at 0 and R squared.
fn fit(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let sxy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let sxx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let syy: f64 = points.iter().map(|p| (p.1 - mean_y).powi(2)).sum();
    let slope = sxy / sxx;
    let r2 = if syy > 0.0 { sxy * sxy / (sxx * syy) } else { 1.0 };
    (slope, mean_y - slope * mean_x, r2)
}

/// Appends a row of the table with the measured points and their fitted line.
fn line(text: &mut String, name: &str, unit: &str, points: &[(f64, f64)]) {
    let (slope, base, r2) = fit(points);
    let shown: Vec<String> = points.iter().map(|(x, y)| format!("{x:.0}: {y:.1}")).collect();
    writeln!(text, "| {name} | {} | {slope:.4} {unit} | {base:.1} | {r2:.3} |", shown.join(", "))
        .expect("writing to a string can't fail");
}

fn zone() -> AvailabilityZoneId {
    "az-1".parse().expect("a valid id")
}

fn file(workers: usize, teams: usize) -> OperatorFile {
    let servers: Vec<_> = (0..workers)
        .map(|n| {
            serde_json::json!({
                "id": format!("w{n:04}"), "availability_zone": "az-1", "rack": format!("r{}", n / 8),
                "address": "127.0.0.1:1",
                "resources": { "accelerators": 1, "cores": 30, "memory_gb": 130 },
            })
        })
        .collect();
    let customers: Vec<_> =
        (0..teams).map(|n| serde_json::json!({ "id": format!("team-{n}"), "share": 1 + n % 9 })).collect();
    let text = serde_json::json!({
        "weights": { "completion_time": 1.0, "fragmentation": 1.0 },
        "classes": [{ "id": "urgent", "urgent": true, "queue_limit": 1000 }, { "id": "batch", "queue_limit": 1000 }],
        "customers": customers,
        "backend_servers": servers,
    });
    model::from_json(text.to_string().as_bytes()).expect("a valid operators' file")
}

fn job(n: usize) -> JobId {
    JobId { minted_by: "az-1-box-1".parse().expect("a valid id"), incarnation: Incarnation(1), serial: n as u64 }
}

/// Returns an availability zone with 14 tasks on each worker, none of which needs an accelerator, and a queue.
fn snapshot(workers: usize, queue: usize) -> Snapshot {
    let file = Arc::new(file(workers, 110));
    let servers: Vec<Server> = file
        .backend_servers
        .values()
        .map(|s| Server { id: s.id.clone(), rack: s.rack.clone(), resources: s.resources, open: true })
        .collect();
    let team = |n: usize| format!("team-{}", n % 110).parse().expect("a valid id");
    let class = "batch".parse::<model::ClassId>().expect("a valid id");
    // Two gangs of seven tasks on each worker.
    let running = (0..workers * 2).map(|n| Running {
        job: job(n + 1),
        customer: team(n),
        class: class.clone(),
        per_task: Resources::new(0, 2, 8),
        members: vec![Member { server: servers[n / 2].id.clone(), tasks: 7 }],
        ran_for: Duration::from_secs(60 + n as u64),
        age: Duration::from_secs(90 + n as u64),
        declared: Duration::from_secs(7200),
        repeatable: true,
        checkpointable: true,
        stopping: false,
    });
    let queued = (0..queue).map(|n| Queued {
        job: job(1_000_000 + n),
        customer: team(n),
        class: class.clone(),
        gang: Gang { tasks: [1, 8, 64][n % 3], per_task: Resources::new(0, 2, 8), within: Within::AvailabilityZone },
        declared: Duration::from_secs(3600),
        waited: Duration::from_secs(n as u64),
        repeatable: true,
        checkpointable: true,
        avoid: Default::default(),
    });
    let running = running.collect();
    let queue = queued.collect();
    Snapshot { file, servers, running, queue }
}

/// Returns the median time of a plan in microseconds.
fn plan_time(workers: usize, queue: usize) -> f64 {
    let snapshot = snapshot(workers, queue);
    let mut planner = CellPlanner::new(zone());
    let times = (0..RUNS).map(|_| {
        let started = Instant::now();
        std::hint::black_box(planner.plan(&snapshot));
        started.elapsed()
    });
    median(times.collect()).as_secs_f64() * 1e6
}

/// Measures the time of a plan, by workers and by waiting jobs.
fn planning(text: &mut String) {
    text.push_str("| what | measured | slope | at 0 | R2 |\n| --- | --- | ---: | ---: | ---: |\n");
    let by_workers: Vec<_> = [143, 286, 500, 1000].iter().map(|n| (*n as f64, plan_time(*n, 32))).collect();
    line(text, "planning, us by workers (14 tasks each, 32 waiting)", "us", &by_workers);
    let by_queue: Vec<_> = [8, 32, 128, 512].iter().map(|n| (*n as f64, plan_time(143, *n))).collect();
    line(text, "planning, us by waiting jobs (143 workers)", "us", &by_queue);
}

/// Returns a box with its configuration and the lease tables of `workers` backend servers, with 14 leases each.
fn loaded_box(workers: usize) -> EntryBox {
    let identity = Identity {
        box_id: "az-1-box-1".parse().expect("a valid id"),
        incarnation: Incarnation(1),
        availability_zone: zone(),
    };
    let planner = Box::new(CellPlanner::new(zone()));
    let mut now = Moment::from_millis(1000);
    let mut entry = EntryBox::new(identity, Limits::default(), Vec::new(), planner, now);
    let file = file(workers, 110);
    let document = Document::following(None, "a".parse().expect("a valid id"), file.clone()).to_text();
    let found = outside::Versioned { key: "configuration".to_owned(), value: document, version: 1 };
    for output in entry.handle(Input::Tick, now) {
        if let entry::Output::CallStore { op, .. } = output {
            let reply = Some(outside::StoreReply::Found { value: Some(found.clone()) });
            entry.handle(Input::StoreReply { op, reply }, now);
        }
    }
    now = now + Duration::from_millis(100);
    for server in file.backend_servers.values() {
        let update = table(server.id.clone(), 14);
        let req = BackendRequest::Watch { table: 0, since: 0, wait: Duration::ZERO };
        let reply = Some(BackendReply::Table(update));
        entry.handle(Input::BackendReply { op: BackendOp::Watch, server: server.id.clone(), req, reply }, now);
    }
    entry.handle(Input::Peer { to: ReplyTo(1), req: heartbeat() }, now);
    entry
}

fn table(server: model::BackendServerId, leases: usize) -> TableUpdate {
    let lease = |n: usize| Lease {
        job: job(n + 1),
        token: LeaseToken::default(),
        holder: Holder { box_id: "az-1-box-2".parse().expect("a valid id"), incarnation: Incarnation(1) },
        customer: format!("team-{}", n % 110).parse().expect("a valid id"),
        request: format!("request-{n}").parse().expect("a valid id"),
        class: "batch".parse().expect("a valid id"),
        resources: Resources::new(0, 2, 8),
        members: vec![Member { server: server.clone(), tasks: 1 }],
        state: TaskState::Running,
        declared: Duration::from_secs(7200),
        ran_for: Duration::from_secs(60),
        waited: Duration::from_secs(1),
        repeatable: true,
        checkpointable: true,
        stopping: false,
        acknowledged: false,
    };
    // Numbers depend on the backend server, so that all jobs differ.
    let first = server.as_str().trim_start_matches('w').parse::<usize>().unwrap_or(0) * leases;
    TableUpdate {
        table: 1,
        version: 15,
        full: true,
        leases: (first..first + leases).map(lease).collect(),
        removed: Vec::new(),
        info: ServerInfo {
            id: server,
            availability_zone: zone(),
            resources: Resources::new(1, 30, 130),
            leaving: false,
            revision: Revision(1),
        },
    }
}

/// Returns a heartbeat of the box that holds all leases.
fn heartbeat() -> PeerRequest {
    PeerRequest::Heartbeat {
        from: "az-1-box-2".parse().expect("a valid id"),
        incarnation: Incarnation(1),
        revision: Revision(1),
        leaving: false,
    }
}

/// Measures the processor time of an idle box's tick and of one changed lease.
fn ticks(text: &mut String) {
    let mut tick_points = Vec::new();
    let mut change_points = Vec::new();
    for workers in [36, 72, 143] {
        let mut entry = loaded_box(workers);
        let mut now = Moment::from_millis(20_000);
        let times = (0..200).map(|_| {
            now = now + Duration::from_millis(100);
            entry.handle(Input::Peer { to: ReplyTo(1), req: heartbeat() }, now);
            let started = Instant::now();
            std::hint::black_box(entry.handle(Input::Tick, now));
            started.elapsed()
        });
        tick_points.push((workers as f64, median(times.collect()).as_secs_f64() * 1e6));
        let server: model::BackendServerId = "w0001".parse().expect("a valid id");
        let times = (0..200).map(|n| {
            let mut update = table(server.clone(), 14);
            update.leases.truncate(1);
            update.full = false;
            update.version = 16 + n;
            let req = BackendRequest::Watch { table: 1, since: 15 + n, wait: Duration::ZERO };
            let reply = Some(BackendReply::Table(update));
            let input = Input::BackendReply { op: BackendOp::Watch, server: server.clone(), req, reply };
            let started = Instant::now();
            std::hint::black_box(entry.handle(input, now));
            started.elapsed()
        });
        change_points.push((workers as f64, median(times.collect()).as_secs_f64() * 1e6));
    }
    line(text, "one tick of an idle box, us by workers", "us", &tick_points);
    line(text, "one changed lease taken in, us by workers", "us", &change_points);
}

/// Measures the sizes of messages, and the time to read a configuration.
fn messages(text: &mut String) -> Result<(), String> {
    let size = |value: &dyn wire_size::Size| value.size();
    let renewal = |n: usize| {
        let lease = Renewal { job: job(n), token: LeaseToken::default(), go: true };
        size(&BackendRequest::Renew { leases: vec![lease; n], ttl: Duration::from_secs(90) }) as f64
    };
    let points: Vec<_> = [1, 14, 56].iter().map(|n| (*n as f64, renewal(*n))).collect();
    line(text, "renewal request, bytes by tasks", "B", &points);
    let reply = |n: usize| {
        let results = vec![Ok(TaskState::Running); n];
        size(&BackendReply::Renewed { results }) as f64
    };
    let points: Vec<_> = [1, 14, 56].iter().map(|n| (*n as f64, reply(*n))).collect();
    line(text, "renewal reply, bytes by tasks", "B", &points);
    let server: model::BackendServerId = "w0001".parse().map_err(|e| format!("{e}"))?;
    let points: Vec<_> = [0, 1, 14, 56]
        .iter()
        .map(|n| (*n as f64, size(&BackendReply::Table(table(server.clone(), *n))) as f64))
        .collect();
    line(text, "table update, bytes by changed leases", "B", &points);
    let points: Vec<_> = [50, 143, 500, 1000]
        .iter()
        .map(|n| {
            let doc = Document::following(None, "a".parse().expect("a valid id"), file(*n, 110));
            (*n as f64, doc.to_text().len() as f64)
        })
        .collect();
    line(text, "configuration, bytes by workers (110 teams)", "B", &points);
    let points: Vec<_> = [50, 143, 500, 1000]
        .iter()
        .map(|n| {
            let text = Document::following(None, "a".parse().expect("a valid id"), file(*n, 110)).to_text();
            let times = (0..RUNS).map(|_| {
                let started = Instant::now();
                std::hint::black_box(spread::Current::default().take(&text)).ok();
                started.elapsed()
            });
            (*n as f64, median(times.collect()).as_secs_f64() * 1e6)
        })
        .collect();
    line(text, "configuration read and checked, us by workers", "us", &points);
    Ok(())
}

/// Sizes of values in their encoding on the wire.
mod wire_size {
    /// A value that is sent as JSON.
    pub(super) trait Size {
        /// Returns the length of the encoding in bytes.
        fn size(&self) -> usize;
    }

    impl<T: serde::Serialize> Size for T {
        fn size(&self) -> usize {
            serde_json::to_vec(self).map_or(0, |bytes| bytes.len())
        }
    }
}

/// Returns the resident memory of this process in kB (field VmRSS of `/proc/self/status`, see proc(5)); 0 if it
/// can't be read.
fn resident_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0.0)
}

/// Measures the resident memory of the replicated lease tables.
fn memory(text: &mut String) {
    // Earlier boxes are kept, so that their memory isn't reused for the next one.
    let mut kept = Vec::new();
    let points: Vec<_> = [36, 72, 143, 286]
        .iter()
        .map(|workers| {
            let before = resident_kb();
            kept.push(loaded_box(*workers));
            ((*workers * 14) as f64, resident_kb() - before)
        })
        .collect();
    line(text, "replicas of lease tables, kB resident by tasks", "kB", &points);
}
