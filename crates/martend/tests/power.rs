//! All boxes lose power at the same moment, while callers submit jobs to each of them.
//!
//! Boxes keep no state, so the platform's store must have a job before its caller receives the response.

mod common;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use common::{World, start_box};
use hyper::StatusCode;
use jobs::JobId;
use users_platform_standin::{Work, free_addrs};

const WORK: Work = Work { tasks: 2, accelerators: 1, work_ms: 100, gang: false };
const BOXES: usize = 3;
/// Accepted jobs without which a run shows little. On a busy machine they take longer than the time until the loss.
const MIN_ACCEPTED: usize = 11;
/// Responses that callers have received, by job.
type Responses = Arc<Mutex<BTreeMap<u64, StatusCode>>>;

/// Starts a caller for each box, which submits one job after another until the box has ended.
fn submit_jobs(world: &World, responses: &Responses) -> Vec<smol::Task<()>> {
    let caller_of = |i: usize| {
        let (caller, addr, responses) = (world.caller.clone(), world.boxes[i].addrs[0], Arc::clone(responses));
        smol::spawn(async move {
            for id in (1..).map(|n| n * BOXES as u64 + i as u64) {
                let Ok(answer) = caller.submit(addr, JobId(id), WORK).await else { return };
                responses.lock().expect("no holder panics").insert(id, answer.status);
            }
        })
    };
    (0..BOXES).map(caller_of).collect()
}

fn accepted_count(responses: &Responses) -> usize {
    let responses = responses.lock().expect("no holder panics");
    responses.values().filter(|status| **status == StatusCode::OK).count()
}

/// Kills all boxes `lost_after` the callers have started, to reach different points of acceptance and scheduling, or
/// once enough jobs are accepted if that is later.
async fn check_lost_after(lost_after: Duration) {
    let mut world = World::start(BOXES, 4).await;
    let responses = Responses::default();
    let callers = submit_jobs(&world, &responses);
    smol::Timer::after(lost_after).await;
    common::until("enough jobs are accepted", || async { accepted_count(&responses) >= MIN_ACCEPTED }).await;
    for a_box in &mut world.boxes {
        a_box.child.kill().expect("the process can be killed");
    }
    for caller in callers {
        caller.await;
    }
    world.boxes.push(start_box(&world.platform, "box-new", free_addrs(), &[]));
    world.until_ready(BOXES).await;
    let responses = responses.lock().expect("no holder panics").clone();
    let (accepted, refused): (Vec<_>, Vec<_>) =
        responses.into_iter().partition(|(_, status)| *status == StatusCode::OK);
    assert!(accepted.len() >= MIN_ACCEPTED, "only {accepted:?} were accepted");
    world.until_succeeded(BOXES, accepted.into_iter().map(|(id, _)| id), WORK.tasks as usize).await;
    for (id, _) in refused {
        assert_eq!(world.platform.oracle.done_tasks(JobId(id)), 0, "{id} was refused");
    }
    assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
}

#[test]
fn accepted_jobs_run_once_although_all_boxes_lose_power_soon() {
    smol::block_on(check_lost_after(Duration::from_millis(400)));
}

#[test]
fn accepted_jobs_run_once_although_all_boxes_lose_power_in_a_burst() {
    smol::block_on(check_lost_after(Duration::from_millis(650)));
}

#[test]
fn accepted_jobs_run_once_although_all_boxes_lose_power_under_steady_load() {
    smol::block_on(check_lost_after(Duration::from_millis(1500)));
}
