//! All boxes lose power at the same moment, while callers hand in work at each of them: a box keeps nothing, so what it has answered must
//! stand in the platform's store by then.

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
/// What callers were told, by job.
type Told = Arc<Mutex<BTreeMap<u64, StatusCode>>>;

/// A caller of each box hands in one job after another until the box is gone.
fn hand_in(world: &World, told: &Told) -> Vec<smol::Task<()>> {
    let caller_of = |i: usize| {
        let (caller, addr, told) = (world.caller.clone(), world.boxes[i].addrs[0], Arc::clone(told));
        smol::spawn(async move {
            for id in (1..).map(|n| n * BOXES as u64 + i as u64) {
                let Ok(answer) = caller.submit(addr, JobId(id), WORK).await else { return };
                told.lock().expect("no holder panics").insert(id, answer.status);
            }
        })
    };
    (0..BOXES).map(caller_of).collect()
}

/// All boxes lose power so long after callers have begun: at different points of acceptances and of their scheduling.
async fn check_lost_after(lost_after: Duration) {
    let mut world = World::start(BOXES, 4).await;
    let told = Told::default();
    let callers = hand_in(&world, &told);
    smol::Timer::after(lost_after).await;
    for a_box in &mut world.boxes {
        a_box.child.kill().expect("it runs");
    }
    for caller in callers {
        caller.await;
    }
    world.boxes.push(start_box(&world.platform, "box-new", free_addrs(), &[]));
    world.until_ready(BOXES).await;
    let told = told.lock().expect("no holder panics").clone();
    let (accepted, refused): (Vec<_>, Vec<_>) = told.into_iter().partition(|(_, status)| *status == StatusCode::OK);
    assert!(accepted.len() > 10, "only {accepted:?} were accepted");
    world.until_succeeded(BOXES, accepted.into_iter().map(|(id, _)| id), WORK.tasks as usize).await;
    for (id, _) in refused {
        assert_eq!(world.platform.oracle.done_tasks(JobId(id)), 0, "{id} was refused");
    }
    assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
}

#[test]
fn what_was_accepted_is_done_once_though_all_boxes_lose_power_soon() {
    smol::block_on(check_lost_after(Duration::from_millis(400)));
}

#[test]
fn or_in_the_middle_of_a_burst() {
    smol::block_on(check_lost_after(Duration::from_millis(650)));
}

#[test]
fn or_once_work_runs_and_ends_all_the_time() {
    smol::block_on(check_lost_after(Duration::from_millis(1500)));
}
