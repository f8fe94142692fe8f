//! Isolated retries: a task under which a backend server crashed at its start runs alone next time, so that another
//! crash strikes nothing else and identifies its cause.
//!
//! Guards against a crashing task that takes runs of others down with each backend server: whatever had run together on
//! one was packed together onto the next.

mod common;

use common::{Fixture, Started, gang, info, job, job_in, server_id, step};
use jobs::{JobId, OccurrenceId, Resources, Step, TaskId};
use model::{BackendServerId, Duration};
use scheduler::{CompletionKind, ServerInfo};

fn task(job: u64, index: u32) -> TaskId {
    TaskId { occurrence: OccurrenceId { job: JobId(job), number: 0 }, step: 0, index }
}

/// Returns four backend servers of eight accelerators, one of which crashed as its tasks had just started: one of job
/// 1, which is at fault, and three of job 2.
fn crashed_once() -> Fixture {
    let mut fixture = Fixture::new(4);
    fixture.submit(job(1, vec![step(1, 1)]));
    fixture.submit(job(2, vec![step(3, 1)]));
    let placed = fixture.start_all();
    assert!(placed.iter().all(|started| started.server == placed[0].server), "deferrable work fills one first");
    fixture.crash(&placed[0].server);
    fixture
}

/// Returns the number of other tasks on a task's backend server.
fn beside(fixture: &Fixture, task: TaskId) -> usize {
    let server = fixture.server_of(task).expect("it runs");
    fixture.running_on(&server).len() - 1
}

#[test]
fn tasks_under_a_crash_run_again_alone() {
    let mut fixture = crashed_once();
    assert_eq!(fixture.start_all().len(), 4);
    for suspected_task in [task(1, 0), task(2, 0), task(2, 1), task(2, 2)] {
        assert_eq!(beside(&fixture, suspected_task), 0, "{suspected_task}");
    }
}

#[test]
fn nothing_is_placed_beside_an_isolated_retry_until_it_has_outlived_its_start() {
    let mut fixture = crashed_once();
    fixture.start_all();
    fixture.submit(job(3, vec![step(1, 1)]));
    assert!(fixture.start_all().is_empty(), "each backend server runs one isolated retry");
    fixture.advance(2100);
    assert_eq!(fixture.start_all().len(), 1, "none has crashed again");
}

#[test]
fn the_next_scheduler_continues_isolated_retries() {
    let mut fixture = crashed_once();
    fixture.start_all();
    fixture.elect_next();
    fixture.submit(job(3, vec![step(1, 1)]));
    assert!(fixture.start_all().is_empty(), "each backend server runs one isolated retry");
    fixture.advance(2100);
    assert_eq!(fixture.start_all().len(), 1, "none has crashed again");
}

#[test]
fn the_second_crash_strikes_nothing_else() {
    let mut fixture = crashed_once();
    fixture.start_all();
    let bad = fixture.server_of(task(1, 0)).expect("it runs");
    fixture.crash(&bad);
    let again = fixture.start_all();
    assert_eq!(again.iter().map(|started| started.task).collect::<Vec<_>>(), [task(1, 0)]);
    assert_eq!(beside(&fixture, task(1, 0)), 0);
}

#[test]
fn without_an_empty_backend_server_it_goes_to_the_one_with_the_fewest_tasks() {
    let mut fixture = Fixture::new(3);
    // They run four, two and three tasks, with one accelerator free on each.
    for (job, tasks) in [(10, 4), (11, 2), (12, 3)] {
        fill(&mut fixture, job, tasks + 1);
    }
    for job in [10, 11, 12] {
        let ended = fixture.running_on(&fixture.server_of(task(job, 0)).expect("it runs"));
        fixture.complete(ended.last().expect("it runs tasks"), CompletionKind::Done);
    }
    fixture.advance(3000);
    fixture.submit(job_in("urgent", 1, vec![step(1, 1)]));
    let first = fixture.start_all()[0].server.clone();
    // Its backend server crashes for good.
    fixture.lose(&first);
    let fewest = ids(3).iter().filter(|id| **id != first).map(|id| fixture.running_on(id).len()).min();
    fixture.start_all();
    assert_eq!(Some(beside(&fixture, task(1, 0))), fewest);
}

#[test]
fn a_task_that_outlived_its_start_runs_again_beside_others() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job(1, vec![step(2, 1)]));
    let placed = fixture.start_all();
    fixture.advance(3000);
    fixture.crash(&placed[0].server);
    let again = fixture.start_all();
    assert_eq!(again.len(), 2);
    assert_eq!(again[0].server, again[1].server);
}

#[test]
fn a_gang_runs_again_apart_from_others() {
    let mut fixture = Fixture::new(4);
    fixture.submit(job(1, vec![gang(2, 2)]));
    fixture.submit(job(2, vec![step(3, 1)]));
    let placed = fixture.start_all();
    fixture.advance(2500);
    let crash = placed.iter().find(|started| started.task == task(1, 0)).expect("it runs").server.clone();
    fixture.complete(
        &placed.iter().find(|started| started.task == task(2, 0)).expect("it runs").clone(),
        CompletionKind::Done,
    );
    // It had run for long, so this crash makes it no suspected task; the next one, at its start, does.
    fixture.crash(&crash);
    fixture.start_all();
    let crash = fixture.server_of(task(1, 0)).expect("it runs");
    fixture.crash(&crash);
    fixture.start_all();
    let server = fixture.server_of(task(1, 0)).expect("it runs");
    assert!(fixture.running_on(&server).iter().all(|started| started.task.occurrence.job == JobId(1)));
}

#[test]
fn a_gang_under_a_crash_goes_where_the_fewest_tasks_run() {
    let mut fixture = Fixture::new(2);
    let small = ServerInfo { capacity: Resources { accelerators: 3, ..info(0).capacity }, ..info(0) };
    fixture.scheduler.server_listed(server_id(0), small, fixture.now);
    fixture.submit(job_in("urgent", 1, vec![step(1, 3)]));
    assert_eq!(fixture.start_all()[0].server, server_id(0));
    fixture.submit(job_in("urgent", 2, vec![gang(2, 2)]));
    assert_eq!(fixture.start_all()[0].server, server_id(1));
    fixture.crash(&server_id(1));
    // There is capacity beside the other task now, and on the empty replacement.
    fixture.scheduler.server_listed(server_id(0), info(0), fixture.now);
    assert_eq!(fixture.start_all().len(), 2);
    assert_eq!(fixture.running_on(&server_id(0)).len(), 1);
}

/// Fills a backend server with so many tasks, one of them large.
fn fill(fixture: &mut Fixture, id: u64, tasks: u64) {
    let large = step(1, 9 - tasks);
    let small = step(tasks as u32 - 1, 1);
    fixture.submit(job_in("urgent", id, vec![large, small]));
    fixture.start_all();
}

fn ids(count: usize) -> Vec<BackendServerId> {
    (0..count).map(server_id).collect()
}

#[test]
fn it_avoids_the_address_where_a_backend_server_has_crashed_under_it() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job(1, vec![step(1, 1)]));
    let first = fixture.start_all()[0].server.clone();
    // The machine may be at fault: its replacement is empty and would be chosen first.
    fixture.crash_at_same_address(&first);
    let second = fixture.start_all()[0].server.clone();
    assert_ne!(fixture.address_of(&second), fixture.address_of(&first));
    fixture.crash_at_same_address(&second);
    assert!(fixture.start_all().is_empty(), "it has crashed at both");
    fixture.advance(3100);
    assert_eq!(fixture.start_all().len(), 1, "there is no other address");
}

#[test]
fn a_machine_that_crashes_under_everything_fails_no_job() {
    let mut fixture = Fixture::new(4);
    let bad = fixture.address_of(&server_id(0));
    for id in 1..=6 {
        fixture.submit(job_in("urgent", id, vec![step(2, 2)]));
    }
    let tasks: usize = (0..20)
        .map(|_| {
            let starts = fixture.start_all();
            let on_bad = starts.iter().map(|started| started.server.clone()).find(|id| fixture.address_of(id) == bad);
            if let Some(id) = on_bad {
                fixture.crash_at_same_address(&id);
            }
            fixture.store_all();
            starts.len()
        })
        .sum();
    assert!(tasks > 12, "{tasks}: the machine crashed under some");
    for id in 1..=6 {
        assert_eq!(fixture.state(id), Some(jobs::JobState::Running), "{id}");
    }
}

#[test]
fn if_all_tasks_of_a_job_crash_backend_servers_one_at_a_time_has_its_last_retry() {
    let mut fixture = Fixture::new(8);
    fixture.submit(job(1, vec![step(4, 1)]));
    let mut crashed = Vec::new();
    for _ in 0..8 {
        let mut hit: Vec<BackendServerId> = fixture.start_all().into_iter().map(|started| started.server).collect();
        hit.sort();
        hit.dedup();
        crashed.push(hit.len());
        for id in hit {
            fixture.crash(&id);
        }
        fixture.store_all();
    }
    assert_eq!(crashed, [1, 4, 1, 0, 0, 0, 0, 0]);
}

/// Returns three backend servers of which two run a task each; the third, the second to crash under job 1, has not been
/// replaced.
fn crashed_twice() -> Fixture {
    let mut fixture = Fixture::new(3);
    fixture.submit(job_in("urgent", 1, vec![step(1, 1)]));
    let first = fixture.start_all()[0].server.clone();
    fixture.crash(&first);
    let second = fixture.start_all()[0].server.clone();
    fixture.submit(job(2, vec![Step { max_per_server: Some(1), ..step(2, 1) }]));
    assert_eq!(fixture.start_all().len(), 2, "nothing is placed beside an isolated retry");
    fixture.lose(&second);
    fixture
}

/// Guards against a third crash under a task that strikes runs of others. Its last retry went beside them just before
/// the replacement of its last backend server could be used; after two crashes the task is probably at fault, so it
/// waits a short time for an empty backend server.
#[test]
fn a_last_retry_waits_for_an_empty_backend_server() {
    let mut fixture = crashed_twice();
    assert!(fixture.start_all().is_empty(), "each backend server runs a task");
    fixture.advance(100);
    fixture.add_server(20);
    let last = fixture.start_all();
    assert_eq!(last.iter().map(|started| started.task).collect::<Vec<_>>(), [task(1, 0)]);
    assert_eq!(beside(&fixture, task(1, 0)), 0);
}

#[test]
fn a_last_retry_waits_no_longer_than_a_job_may_be_stalled() {
    let mut fixture = crashed_twice();
    for _ in 0..29 {
        fixture.start_all();
        fixture.advance(100);
    }
    assert!(fixture.server_of(task(1, 0)).is_some());
}

/// Returns the replacement of a backend server that crashed so many times under tasks of job 1 as they started. A task
/// of job 1 has its isolated retry there; job 3 has been stalled for long.
fn retries_beside_a_stalled_job(crashes: usize) -> Fixture {
    let mut fixture = Fixture::new(1);
    fixture.submit(job_in("urgent", 9, vec![step(8, 1)]));
    let filling = fixture.start_all();
    fixture.submit(job(3, vec![step(3, 1)]));
    for _ in 0..30 {
        assert!(fixture.start_all().is_empty(), "all is taken");
        fixture.advance(100);
    }
    fixture.submit(job_in("urgent", 1, vec![step(8, 1)]));
    for started in &filling {
        fixture.complete(started, CompletionKind::Done);
    }
    assert_eq!(fixture.start_all().len(), 8);
    for _ in 0..crashes {
        let server = fixture.server_of(task(1, 0)).expect("it runs");
        fixture.crash(&server);
        assert!(fixture.start_all().iter().any(|started| started.task == task(1, 0)), "it has its isolated retry");
    }
    fixture
}

/// Returns the tasks of job 3 that start within so many milliseconds.
fn started_of_job_3(fixture: &mut Fixture, ms: u64) -> Vec<TaskId> {
    let mut tasks = Vec::new();
    for _ in 0..ms / 100 {
        fixture.advance(100);
        tasks.extend(fixture.start_all().iter().map(|started| started.task));
    }
    tasks.retain(|task| task.occurrence.job == JobId(3));
    tasks
}

#[test]
fn a_stalled_job_starts_one_task_beside_a_retry_without_an_early_crash() {
    let mut fixture = retries_beside_a_stalled_job(1);
    assert_eq!(started_of_job_3(&mut fixture, 400), [], "a task at fault would crash it by then");
    assert_eq!(started_of_job_3(&mut fixture, 1000), [task(3, 0)], "the others wait");
}

#[test]
fn nothing_is_placed_beside_a_last_retry_however_long_a_job_is_stalled() {
    let mut fixture = retries_beside_a_stalled_job(2);
    assert_eq!(started_of_job_3(&mut fixture, 1900), []);
}

/// Job 1 is stalled before its last retry while the first retry of job 2 runs on the only backend server that is left.
#[test]
fn a_last_retry_is_placed_beside_no_other_retry() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job_in("urgent", 1, vec![step(1, 1), step(1, 7)]));
    fixture.start_all();
    fixture.submit(job_in("urgent", 2, vec![Step { estimate: Duration::from_secs(1), ..step(1, 1) }]));
    fixture.start_all();
    for _ in 0..2 {
        let server = fixture.server_of(task(1, 0)).expect("it runs");
        for beside in fixture.running_on(&server).iter().filter(|started| started.task != task(1, 0)) {
            fixture.complete(beside, CompletionKind::Done);
        }
        fixture.lose(&server);
        fixture.add_server(20);
        fixture.start_all();
    }
    assert_eq!(fixture.server_of(task(1, 0)), None, "it avoids the address of its last crash");
    fixture.advance(1000);
    fixture.lose(&server_id(20));
    let other = fixture.server_of(task(2, 0)).expect("it runs");
    fixture.crash(&other);
    let tasks = |started: Vec<Started>| started.iter().map(|started| started.task).collect::<Vec<_>>();
    assert_eq!(tasks(fixture.start_all()), [task(2, 0)]);
    for _ in 0..19 {
        fixture.advance(100);
        assert!(fixture.start_all().is_empty(), "the retry of job 2 has not ended");
    }
    fixture.advance(200);
    assert_eq!(tasks(fixture.start_all()), [task(1, 0)]);
}
