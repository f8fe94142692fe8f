//! Records of this program that cannot be read, as a later or a broken version may write them, with real processes on a
//! stand-in for the platform. Guards against work that is done twice because the record that says so is unreadable.

mod common;

use std::time::Duration;

use common::{World, until};
use hyper::StatusCode;
use jobs::JobId;
use serde_json::json;
use users_platform_standin::Work;

const JOB: JobId = JobId(1);
const OTHER: JobId = JobId(2);
const LASTING: Work = Work { tasks: 1, accelerators: 1, work_ms: 60_000, gang: false };
const SHORT: Work = Work { tasks: 2, accelerators: 1, work_ms: 50, gang: false };
/// Time in which a wrong start would show: a new scheduler plans within 0.2 s of its election.
const OBSERVED: Duration = Duration::from_millis(2500);

fn progress_key() -> String {
    format!("marten/progress/{JOB}.0")
}

/// Values that cannot be used as the progress of [`JOB`].
fn odd_progress() -> Vec<Vec<u8>> {
    let deep = "[".repeat(100_000) + &"]".repeat(100_000);
    let placed = |index: u64| json!({"g": [[{"b": true, "r": 1, "p": [{"i": index, "on": "i-0000"}]}]]}).to_string();
    vec![
        b"\xff\xfe".to_vec(),
        deep.clone().into_bytes(),
        format!(r#"{{"g":{deep}}}"#).into_bytes(),
        json!({"g": [[{"r": -1}]]}).to_string().into_bytes(),
        json!({"g": [[{"r": 1}, {"r": 1}]]}).to_string().into_bytes(),
        placed(7).into_bytes(),
        placed(u64::from(u32::MAX)).into_bytes(),
    ]
}

/// Ends the scheduling box, and waits until the other one schedules.
async fn take_over(world: &World) -> usize {
    let before = world.scheduler().await;
    world.boxes[before].terminate();
    until("the other box schedules", || async { world.responded_servers(1 - before).await == Some(2) }).await;
    1 - before
}

/// Submits a job to a box until it is accepted.
async fn submit_at(world: &World, i: usize, id: JobId) {
    until("the job is accepted", || async {
        let answer = world.caller.submit(world.boxes[i].addrs[0], id, SHORT).await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
}

/// The run was stopped and its task started anew.
#[test]
fn a_job_whose_progress_cannot_be_read_is_left_as_it_is() {
    for value in odd_progress() {
        smol::block_on(async {
            let world = World::start(2, 2).await;
            world.submit(JOB, LASTING).await;
            world.until_runs(JOB).await;
            world.platform.write(&progress_key(), &value);
            let next = take_over(&world).await;
            smol::Timer::after(OBSERVED).await;
            let what = String::from_utf8_lossy(&value[..value.len().min(60)]).into_owned();
            assert_eq!(world.platform.oracle.start_count(), 1, "{what}");
            assert_eq!(world.platform.oracle.running_tasks(JOB), 1, "{what}");
            assert_eq!(world.platform.read(&progress_key()), Some(value.clone()), "{what}");
            let state = world.state(next, JOB).await.map(|answer| answer.state);
            assert!(state.as_deref().is_none_or(str::is_empty), "its state is unknown, not {state:?}: {what}");
            submit_at(&world, next, OTHER).await;
            world.until_succeeded(next, [OTHER.0].into_iter(), SHORT.tasks as usize).await;
            assert_eq!(world.platform.oracle.violations(), Vec::<String>::new(), "{what}");
        });
    }
}

/// Its run was stopped as that of a job that nobody knows.
#[test]
fn a_job_that_cannot_be_read_is_left_as_it_is() {
    smol::block_on(async {
        let world = World::start(2, 2).await;
        world.submit(JOB, LASTING).await;
        world.until_runs(JOB).await;
        world.platform.write(&format!("marten/in/{JOB}/job"), br#"{"id":"a later version"}"#);
        let next = take_over(&world).await;
        smol::Timer::after(OBSERVED).await;
        assert_eq!(world.platform.oracle.start_count(), 1);
        assert_eq!(world.platform.oracle.running_tasks(JOB), 1);
        submit_at(&world, next, OTHER).await;
        world.until_succeeded(next, [OTHER.0].into_iter(), SHORT.tasks as usize).await;
        assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
    });
}
