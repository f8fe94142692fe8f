//! Checks of the invariants, during the faults and after recovery from them.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{Method, StatusCode};
use jobs::JobId;
use net::http::Client;
use serde_json::Value;
use users_platform_standin::Caller;

use crate::{
    callers::{ENDLESS_MS, check_state, may_have_failed},
    ledger::{Cancellation, Entry, Submission},
    world::{BOXES, KEY, World},
};

/// Interval between checks.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Timeout of status and readiness requests.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after a confirmed cancellation within which starts of the job must cease: a proxy may hold an order for the
/// longest fault (5.5 s), and an election takes 3 s more.
const CANCELLED_WITHIN: Duration = Duration::from_secs(10);
/// Time after the last fault within which all boxes must be ready and all accepted jobs must have ended. It covers
/// leases of earlier schedulers (3 s, and 8 s of unconfirmed renewal), running all work twice, and a busy machine.
const RECOVERED_WITHIN: Duration = Duration::from_secs(60);

/// Time after the evacuation of an availability zone within which starts there must cease: a box may be paused between
/// the write that places a run and the order, and a proxy may hold the order, each for the longest fault (5.5 s).
const EVACUATED_WITHIN: Duration = Duration::from_secs(12);

/// Checks the invariants until dropped.
pub(crate) async fn monitor(world: Arc<World>) {
    let client = Client::default();
    let mut versions: BTreeMap<(usize, usize), u64> = BTreeMap::new();
    loop {
        smol::Timer::after(POLL_INTERVAL).await;
        for (id, entry) in world.ledger.all() {
            check_job(&world, id, &entry);
        }
        for i in 0..BOXES {
            check_version(&world, &client, i, &mut versions).await;
        }
    }
}

fn check_job(world: &World, id: JobId, entry: &Entry) {
    let Some(started) = world.oracle.last_start(id) else { return };
    if entry.submission == Submission::Refused {
        world.oracle.report_violation(format!("{id} was refused and has started"));
    }
    if let Cancellation::Confirmed(at) = entry.cancellation
        && started > at + CANCELLED_WITHIN
    {
        world.oracle.report_violation(format!("{id} started {:?} after it was cancelled", started - at));
    }
}

/// Checks that a process never reverts to an earlier configuration.
async fn check_version(world: &World, client: &Client, i: usize, versions: &mut BTreeMap<(usize, usize), u64>) {
    let (addr, incarnation) = {
        let a_box = world.boxes[i].lock().await;
        (a_box.addrs[3], a_box.incarnations)
    };
    let Ok(reply) = client.call(addr, Method::GET, "/v1/status", Default::default(), STATUS_TIMEOUT).await else {
        return;
    };
    let status: Value = reply.json().unwrap_or_default();
    let Some(version) = status["configuration_version"].as_u64() else { return };
    if world.boxes[i].lock().await.incarnations != incarnation {
        return;
    }
    let newest = versions.entry((i, incarnation)).or_insert(version);
    if version < *newest {
        world.oracle.report_violation(format!("box {i} reverted from configuration {newest} to {version}"));
    }
    *newest = version;
}

/// Checks the state some time after the last fault: all boxes are ready, and all jobs have ended as expected.
pub(crate) async fn check_recovery(world: &World) {
    let started = Instant::now();
    let client = Client::default();
    let caller = Caller::new(KEY, Arc::clone(&world.oracle));
    for i in 0..BOXES {
        while !is_ready(world, &client, i).await {
            if started.elapsed() > RECOVERED_WITHIN {
                return world.oracle.report_violation(format!("box {i} is not ready"));
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
    }
    let late = world.oracle.latest_in_evacuated();
    if late > EVACUATED_WITHIN {
        world.oracle.report_violation(format!("a run started {late:?} after its availability zone was evacuated"));
    }
    cancel_endless(world, &caller).await;
    for (n, (id, entry)) in world.ledger.all().into_iter().enumerate() {
        let addr = world.boxes[n % BOXES].lock().await.addrs[0];
        wait_ended(world, &caller, addr, id, &entry, started).await;
        if entry.cancellation != Cancellation::None {
            wait_idle(world, id, started + RECOVERED_WITHIN).await;
        }
        check_ended_job(world, id, &entry);
    }
}

/// Cancels endless jobs that are not cancelled yet.
async fn cancel_endless(world: &World, caller: &Caller) {
    let endless =
        |entry: &Entry| entry.work.work_ms == ENDLESS_MS && !matches!(entry.cancellation, Cancellation::Confirmed(_));
    let started = Instant::now();
    for (id, _) in world.ledger.all().into_iter().filter(|(_, entry)| endless(entry)) {
        let addr = world.boxes[0].lock().await.addrs[0];
        while started.elapsed() < RECOVERED_WITHIN {
            let status = caller.cancel(addr, id).await.map(|answer| answer.status);
            if matches!(status, Ok(StatusCode::OK | StatusCode::GONE)) {
                world.ledger.record_cancellation(id, Cancellation::Confirmed(Instant::now()));
                break;
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
    }
}

/// Waits until no task of a job runs, as stopping them takes a moment.
async fn wait_idle(world: &World, id: JobId, limit: Instant) {
    while world.oracle.running_tasks(id) > 0 && Instant::now() < limit {
        smol::Timer::after(POLL_INTERVAL).await;
    }
}

/// Polls a job until it has ended. The last fault was over at `started`.
async fn wait_ended(world: &World, caller: &Caller, addr: SocketAddr, id: JobId, entry: &Entry, started: Instant) {
    loop {
        let reported = caller.state(addr, id).await.ok();
        if let Some(answer) = &reported {
            check_state(world, id, answer);
        }
        let reported = reported.map(|answer| (answer.status, answer.state));
        let failed = reported.as_ref().is_some_and(|(_, state)| state == "failed") && may_have_failed(world, id);
        if failed || reported.as_ref().is_some_and(|(status, state)| has_expected_state(entry, *status, state)) {
            return;
        }
        if started.elapsed() > RECOVERED_WITHIN {
            return world.oracle.report_violation(format!("{id} is {reported:?} at the end, with {entry:?}"));
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
}

async fn is_ready(world: &World, client: &Client, i: usize) -> bool {
    let addr = world.boxes[i].lock().await.addrs[1];
    let reply = client.call(addr, Method::GET, "/v1/ready", Default::default(), STATUS_TIMEOUT).await;
    reply.is_ok_and(|reply| reply.status == StatusCode::OK)
}

/// Returns whether a job has ended in a state that its caller may expect.
fn has_expected_state(entry: &Entry, status: StatusCode, state: &str) -> bool {
    let is_gone = status == StatusCode::GONE;
    match (entry.submission, entry.cancellation) {
        (Submission::Accepted(_), Cancellation::None) => state == "succeeded",
        (Submission::Accepted(_), Cancellation::Confirmed(_)) => state == "cancelled" || state == "succeeded",
        (Submission::Accepted(_), Cancellation::Requested) => state == "cancelled" || state == "succeeded",
        (Submission::Refused, _) => is_gone || state == "cancelled",
        (Submission::InDoubt | Submission::Pending, _) => is_gone || state == "cancelled" || state == "succeeded",
    }
}

fn check_ended_job(world: &World, id: JobId, entry: &Entry) {
    let running = world.oracle.running_tasks(id);
    if running > 0 {
        world.oracle.report_violation(format!("{id} has ended and {running} of its tasks run"));
    }
    let mut runs = world.oracle.done_by(id);
    let whole = runs.len() == entry.work.tasks as usize;
    runs.dedup();
    if entry.work.gang && whole && runs.len() > 1 {
        world.oracle.report_violation(format!("{id} is a gang and was done in several runs: {runs:?}"));
    }
}
