//! Callers that submit jobs, query their state and cancel some, on persistent connections.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use fastrand::Rng;
use hyper::StatusCode;
use jobs::JobId;
use users_platform_standin::{Answer, Caller, Work};

use crate::{
    ledger::{Cancellation, Submission},
    world::{KEY, NIGHT, World},
};

/// Interval between calls, in milliseconds: four callers keep two thirds of the accelerators busy.
const INTERVAL_MS: std::ops::Range<u64> = 200..1200;
/// Maximum number of attempts to submit a job, at one box after another. Some jobs get one attempt only, so that a
/// single refusal is final.
const MAX_ATTEMPTS: usize = 4;
/// Time after which each box must know an accepted job: 3 s (platform rules), and the delay of a slow proxy.
const VISIBLE_WITHIN: Duration = Duration::from_secs(5);

/// Calls boxes at random until dropped.
pub(crate) async fn run_caller(world: Arc<World>, caller: u64, seed: u64) {
    let mut rng = Rng::with_seed(seed.wrapping_mul(31).wrapping_add(caller));
    let client = Caller::new(KEY, Arc::clone(&world.oracle));
    for n in 0.. {
        smol::Timer::after(Duration::from_millis(rng.u64(INTERVAL_MS))).await;
        let id = JobId(caller << 32 | n);
        match rng.u8(..10) {
            0..6 => submit_job(&world, &client, id, &mut rng).await,
            6..9 => query_state(&world, &client, &mut rng).await,
            _ => cancel(&world, &client, &mut rng).await,
        }
    }
}

/// Duration of work that ends only when it is cancelled, in milliseconds: longer than any run of the soak.
pub(crate) const ENDLESS_MS: u64 = 600_000;

/// Duration that marks work which crashes each backend server that starts it, in milliseconds.
const CRASHING_MS: u64 = 600_001;

/// Returns whether the tasks of a job crash their backend servers.
pub(crate) fn crashes_servers(work: &Work) -> bool {
    work.work_ms == CRASHING_MS
}

/// Submits a job that crashes each backend server that starts it.
pub(crate) async fn submit_crashing_job(world: Arc<World>, id: JobId, seed: u64) {
    let mut rng = Rng::with_seed(seed.wrapping_mul(37));
    let client = Caller::new(KEY, Arc::clone(&world.oracle));
    smol::Timer::after(Duration::from_millis(rng.u64(500..6000))).await;
    submit_work(&world, &client, id, Work { tasks: 1, accelerators: 1, work_ms: CRASHING_MS, gang: false }, &mut rng)
        .await;
}

/// Draws the work of a job.
///
/// One job in four exceeds a lease (3 s), which detects a run that is started elsewhere too early. One in twelve is
/// endless, which detects a cancellation that stops nothing.
fn draw_work(rng: &mut Rng) -> Work {
    if rng.u8(..12) == 0 {
        return Work { tasks: rng.u32(1..=2), accelerators: 1, work_ms: ENDLESS_MS, gang: false };
    }
    let work_ms = if rng.u8(..4) == 0 { rng.u64(2500..6000) } else { rng.u64(50..1500) };
    Work { tasks: rng.u32(1..=4), accelerators: rng.u32(1..=4), work_ms, gang: rng.u8(..3) == 0 }
}

async fn submit_job(world: &World, client: &Caller, id: JobId, rng: &mut Rng) {
    let work = draw_work(rng);
    submit_work(world, client, id, work, rng).await;
}

async fn submit_work(world: &World, client: &Caller, id: JobId, work: Work, rng: &mut Rng) {
    world.ledger.record_job(id, work);
    let mut is_in_doubt = false;
    let queue = world.queue_of(id);
    let client = client.of_queue(queue);
    for _ in 0..rng.usize(1..=MAX_ATTEMPTS) {
        let addr = world.any_front(rng);
        match client.submit(addr, id, work).await.map(|answer| answer.status) {
            Ok(StatusCode::OK) => return world.ledger.record_submission(id, Submission::Accepted(Instant::now())),
            Ok(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => {}
            Ok(StatusCode::NOT_FOUND) if queue == NIGHT => {}
            Ok(StatusCode::GATEWAY_TIMEOUT) | Err(_) => is_in_doubt = true,
            Ok(status) => world.oracle.report_violation(format!("{id} was answered {status}")),
        }
        smol::Timer::after(Duration::from_millis(rng.u64(50..400))).await;
    }
    world.ledger.record_submission(id, if is_in_doubt { Submission::InDoubt } else { Submission::Refused });
}

/// Returns one of all jobs so far.
fn any_job(world: &World, rng: &mut Rng) -> Option<JobId> {
    let all = world.ledger.all();
    rng.choice(&all).map(|(id, _)| *id)
}

async fn query_state(world: &World, client: &Caller, rng: &mut Rng) {
    let Some(id) = any_job(world, rng) else { return };
    let Some(before) = world.ledger.get(id) else { return };
    let queried = Instant::now();
    let Ok(answer) = client.state(world.any_front(rng), id).await else { return };
    check_state(world, id, &answer);
    let known = matches!(before.submission, Submission::Accepted(at) if at + VISIBLE_WITHIN < queried);
    if known && answer.status == StatusCode::GONE {
        world.oracle.report_violation(format!("{id} was accepted and is unknown"));
    }
}

/// Returns whether a job may have failed: two backend servers have crashed under one of its tasks (platform protocol).
/// Nothing else fails here.
pub(crate) fn may_have_failed(world: &World, id: JobId) -> bool {
    world.oracle.max_crashes(id) >= 2
}

/// Checks that a reported state is true.
pub(crate) fn check_state(world: &World, id: JobId, answer: &Answer) {
    let Some(entry) = world.ledger.get(id) else { return };
    let done = world.oracle.done_tasks(id);
    match answer.state.as_str() {
        "succeeded" if done != entry.work.tasks as usize => {
            world.oracle.report_violation(format!(
                "{id} is reported as succeeded with {done} of {} tasks done",
                entry.work.tasks
            ));
        }
        "failed" if !may_have_failed(world, id) => {
            world.oracle.report_violation(format!("{id} is reported as failed, and nothing has failed"))
        }
        "cancelled" if entry.cancellation == Cancellation::None => {
            world.oracle.report_violation(format!("{id} is reported as cancelled, and no one has cancelled it"));
        }
        _ => {}
    }
}

async fn cancel(world: &World, client: &Caller, rng: &mut Rng) {
    let Some(id) = any_job(world, rng) else { return };
    if world.ledger.get(id).is_none_or(|entry| entry.cancellation != Cancellation::None) {
        return;
    }
    world.ledger.record_cancellation(id, Cancellation::Requested);
    if let Ok(answer) = client.cancel(world.any_front(rng), id).await
        && answer.status == StatusCode::OK
    {
        world.ledger.record_cancellation(id, Cancellation::Confirmed(Instant::now()));
    }
}
