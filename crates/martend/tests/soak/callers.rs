//! Callers that hand jobs in, ask for them and cancel some, on connections that they keep.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use fastrand::Rng;
use hyper::StatusCode;
use jobs::JobId;
use users_platform_standin::{Answer, Caller, Work};

use crate::{
    ledger::{Cancelled, Handed},
    world::{KEY, World},
};

/// From one call to the next, in milliseconds: four callers keep two thirds of the accelerators busy.
const GAP_MS: std::ops::Range<u64> = 200..1200;
/// A caller hands a job in so often at most, at one box after another; some give up after the first try, so that a
/// refusal stands alone.
const MOST_TRIES: usize = 4;
/// An accepted job is known everywhere after this (users: 3 s), and a slow proxy.
const VISIBLE_WITHIN: Duration = Duration::from_secs(5);

/// Goes on until it is dropped.
pub(crate) async fn call(world: Arc<World>, caller: u64, seed: u64) {
    let mut rng = Rng::with_seed(seed.wrapping_mul(31).wrapping_add(caller));
    let client = Caller::new(KEY, Arc::clone(&world.oracle));
    for n in 0.. {
        smol::Timer::after(Duration::from_millis(rng.u64(GAP_MS))).await;
        let id = JobId(caller << 32 | n);
        match rng.u8(..10) {
            0..6 => hand_in(&world, &client, id, &mut rng).await,
            6..9 => ask(&world, &client, &mut rng).await,
            _ => cancel(&world, &client, &mut rng).await,
        }
    }
}

/// Work that ends only when it is cancelled, in milliseconds: longer than any run.
pub(crate) const ENDLESS_MS: u64 = 600_000;

/// Work under which each backend server crashes that starts it, in milliseconds.
const CRASHING_MS: u64 = 600_001;

/// Whether a task of such a job crashes its backend server.
pub(crate) fn crashes_servers(work: &Work) -> bool {
    work.work_ms == CRASHING_MS
}

/// Hands in a job that crashes whatever starts it, until it is accepted or refused.
pub(crate) async fn hand_in_crashing(world: Arc<World>, id: JobId, seed: u64) {
    let mut rng = Rng::with_seed(seed.wrapping_mul(37));
    let client = Caller::new(KEY, Arc::clone(&world.oracle));
    smol::Timer::after(Duration::from_millis(rng.u64(500..6000))).await;
    hand_in_work(&world, &client, id, Work { tasks: 1, accelerators: 1, work_ms: CRASHING_MS, gang: false }, &mut rng)
        .await;
}

/// One job in four outlasts a lease (3 s), so that one that is started elsewhere too early is seen. One in twelve is
/// endless, so that a cancellation that stops nothing is seen.
fn work(rng: &mut Rng) -> Work {
    if rng.u8(..12) == 0 {
        return Work { tasks: rng.u32(1..=2), accelerators: 1, work_ms: ENDLESS_MS, gang: false };
    }
    let work_ms = if rng.u8(..4) == 0 { rng.u64(2500..6000) } else { rng.u64(50..1500) };
    Work { tasks: rng.u32(1..=4), accelerators: rng.u32(1..=4), work_ms, gang: rng.u8(..3) == 0 }
}

async fn hand_in(world: &World, client: &Caller, id: JobId, rng: &mut Rng) {
    let work = work(rng);
    hand_in_work(world, client, id, work, rng).await;
}

async fn hand_in_work(world: &World, client: &Caller, id: JobId, work: Work, rng: &mut Rng) {
    world.ledger.begin(id, work);
    let mut doubtful = false;
    for _ in 0..rng.usize(1..=MOST_TRIES) {
        let addr = world.any_front(rng);
        match client.submit(addr, id, work).await.map(|answer| answer.status) {
            Ok(StatusCode::OK) => return world.ledger.handed(id, Handed::Accepted(Instant::now())),
            Ok(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => {}
            Ok(StatusCode::GATEWAY_TIMEOUT) | Err(_) => doubtful = true,
            Ok(status) => world.oracle.report_violation(format!("{id} was answered {status}")),
        }
        smol::Timer::after(Duration::from_millis(rng.u64(50..400))).await;
    }
    world.ledger.handed(id, if doubtful { Handed::Doubtful } else { Handed::Refused });
}

/// One of the caller's jobs, old or new.
fn any_job(world: &World, rng: &mut Rng) -> Option<JobId> {
    let all = world.ledger.all();
    rng.choice(&all).map(|(id, _)| *id)
}

async fn ask(world: &World, client: &Caller, rng: &mut Rng) {
    let Some(id) = any_job(world, rng) else { return };
    let Some(before) = world.ledger.get(id) else { return };
    let asked = Instant::now();
    let Ok(answer) = client.state(world.any_front(rng), id).await else { return };
    check_state(world, id, &answer);
    let known = matches!(before.handed, Handed::Accepted(at) if at + VISIBLE_WITHIN < asked);
    if known && answer.status == StatusCode::GONE {
        world.oracle.report_violation(format!("{id} was accepted and is not known"));
    }
}

/// Whether a job may have failed: two backend servers have crashed under one of its tasks (users' protocol page). Nothing else fails here.
pub(crate) fn may_have_failed(world: &World, id: JobId) -> bool {
    world.oracle.max_crashes(id) >= 2
}

/// A state that is told is true.
pub(crate) fn check_state(world: &World, id: JobId, answer: &Answer) {
    let Some(entry) = world.ledger.get(id) else { return };
    let done = world.oracle.done_tasks(id);
    match answer.state.as_str() {
        "succeeded" if done != entry.work.tasks as usize => {
            world
                .oracle
                .report_violation(format!("{id} is told as succeeded with {done} of {} tasks done", entry.work.tasks));
        }
        "failed" if !may_have_failed(world, id) => {
            world.oracle.report_violation(format!("{id} is told as failed, and nothing has failed"))
        }
        "cancelled" if entry.cancelled == Cancelled::No => {
            world.oracle.report_violation(format!("{id} is told as cancelled, and no one has cancelled it"));
        }
        _ => {}
    }
}

async fn cancel(world: &World, client: &Caller, rng: &mut Rng) {
    let Some(id) = any_job(world, rng) else { return };
    if world.ledger.get(id).is_none_or(|entry| entry.cancelled != Cancelled::No) {
        return;
    }
    world.ledger.cancelled(id, Cancelled::Asked);
    if let Ok(answer) = client.cancel(world.any_front(rng), id).await
        && answer.status == StatusCode::OK
    {
        world.ledger.cancelled(id, Cancelled::Told(Instant::now()));
    }
}
