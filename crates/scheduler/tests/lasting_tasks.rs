//! Long-running tasks, which have to be started again soon after each end, however their neighbours fare.

mod common;

use common::{Fixture, Started, job_in, step};
use jobs::{Job, Step};
use model::{Duration, Moment};
use scheduler::CompletionKind;

/// Longest time from the end of a run of a long-running task until its next one begins in calm (platform rules: 6 s,
/// and 3 s more without a run).
const RESTART_LIMIT: Duration = Duration::from_secs(6);
/// Time after which the faulty tasks fail, in milliseconds.
const FAULTY_RUN_MS: u64 = 300;
/// Time between two plans, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 100;

fn long_running(id: u64, count: u32) -> Job {
    job_in("batch", id, vec![Step { long_running: true, ..step(count, 1) }])
}

fn of_job(started: &Started, id: u64) -> bool {
    started.task.occurrence.job.0 == id
}

/// Runs of the two jobs whose tasks always fail, with the time of their start.
#[derive(Default)]
struct FaultyRuns(Vec<(Started, Moment)>);

impl FaultyRuns {
    const JOBS: [u64; 2] = [101, 102];

    /// Plans, lets faulty runs fail whose time is over, and returns the starts.
    fn plan(&mut self, fixture: &mut Fixture) -> Vec<Started> {
        fixture.advance(PLAN_INTERVAL_MS);
        let is_over = |at: Moment| fixture.now.since(at) >= Duration::from_millis(FAULTY_RUN_MS);
        let (over, going): (Vec<_>, Vec<_>) = self.0.drain(..).partition(|(_, at)| is_over(*at));
        self.0 = going;
        for (run, _) in &over {
            fixture.complete(run, CompletionKind::Failed);
        }
        let started = fixture.start_all();
        let faulty = started.iter().filter(|run| Self::JOBS.iter().any(|&id| of_job(run, id)));
        self.0.extend(faulty.map(|run| (run.clone(), fixture.now)));
        started
    }
}

/// Guards against a long-running task that is not started again after it has failed once, while two jobs whose tasks
/// always fail keep every backend server in quarantine. Only a job of which nothing ran could use such a backend
/// server; the other task of this job ran on.
#[test]
fn a_long_running_task_is_restarted_beside_jobs_that_always_fail() {
    let mut fixture = Fixture::new(8);
    for id in 1..=18 {
        fixture.submit(long_running(id, 2));
    }
    let sound = fixture.start_all();
    assert_eq!(sound.len(), 36);
    for id in FaultyRuns::JOBS {
        fixture.submit(long_running(id, 12));
    }
    let mut faulty = FaultyRuns::default();
    for _ in 0..100 {
        faulty.plan(&mut fixture);
    }
    let failed = sound.iter().find(|run| of_job(run, 1)).expect("it was started");
    fixture.complete(failed, CompletionKind::Failed);
    let failed_at = fixture.now;
    loop {
        let started = faulty.plan(&mut fixture);
        let waited = fixture.now.since(failed_at);
        if started.iter().any(|run| of_job(run, 1)) {
            break;
        }
        assert!(waited <= RESTART_LIMIT, "it has not been started again for {waited}");
    }
}
