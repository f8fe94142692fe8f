//! Backend servers with speeds of their own, and work that shows them.

use std::collections::BTreeMap;

use jobs::Step;
use model::{BackendServerId, Duration};
use scheduler::{CompletionKind, Listing, RunningTask, SpeedReport};

use super::{Fixture, Started, job_in, server_id, step};

/// Duration declared by every step of these tests, in seconds.
const DECLARED_S: f64 = 2.0;
/// Interval of listings, in milliseconds.
const LISTING_INTERVAL_MS: u64 = 200;

/// Backend servers with speed factors; a factor multiplies the duration of a run.
pub(crate) struct Fleet {
    pub(crate) fixture: Fixture,
    pub(crate) factors: BTreeMap<BackendServerId, f64>,
    pub(crate) next_job: u64,
}

impl Fleet {
    pub(crate) fn new(factors: &[f64]) -> Fleet {
        let factors = factors.iter().enumerate().map(|(i, factor)| (server_id(i), *factor)).collect();
        let fixture = Fixture::new(BTreeMap::len(&factors));
        Fleet { fixture, factors, next_job: 1 }
    }

    /// Submits a job of one step and starts its tasks.
    pub(crate) fn start(&mut self, queue: &str, step: Step) -> Vec<Started> {
        self.fixture.submit(job_in(queue, self.next_job, vec![step]));
        self.next_job += 1;
        self.fixture.start_all()
    }

    /// Runs a step to its end; the declared duration is off by the factor `off`. Returns the backend servers of its
    /// tasks.
    pub(crate) fn run(&mut self, queue: &str, step: Step, off: f64) -> Vec<BackendServerId> {
        let is_gang = step.gang;
        let mut open_runs = self.start(queue, step);
        let servers = open_runs.iter().map(|start| start.server.clone()).collect();
        let started_at = self.fixture.now;
        while !open_runs.is_empty() {
            self.fixture.now = self.fixture.now + Duration::from_millis(LISTING_INTERVAL_MS);
            let at_s = self.fixture.now.since(started_at).secs_f64();
            let factors = self.factors.clone();
            let percent = |id: &BackendServerId| (at_s / (DECLARED_S * off * factors[id]) * 100.0).min(100.0) as u32;
            self.deliver_listings(&open_runs, percent);
            let done = |start: &Started| percent(&start.server) == 100;
            let all_done = open_runs.iter().all(done);
            let (ended, rest) = open_runs.into_iter().partition(|start| if is_gang { all_done } else { done(start) });
            open_runs = rest;
            for start in ended {
                self.fixture.complete(&start, CompletionKind::Done);
            }
        }
        self.fixture.store_all();
        servers
    }

    /// Delivers the listings of all backend servers with their runs and progress.
    pub(crate) fn deliver_listings(&mut self, open_runs: &[Started], percent: impl Fn(&BackendServerId) -> u32) {
        let now = self.fixture.now;
        for id in self.factors.keys() {
            let row = |start: &Started| RunningTask {
                task: start.task,
                run: start.run,
                checkpoint: None,
                percent: percent(id),
                latency_ms: None,
            };
            let running = open_runs.iter().filter(|start| start.server == *id).map(row).collect();
            let listing = Listing { running, ..Listing::default() };
            self.fixture.scheduler.listing(id, &listing, now, now);
        }
    }

    pub(crate) fn report(&self, i: usize) -> SpeedReport {
        self.fixture.scheduler.speed(&server_id(i), self.fixture.now).expect("it is tracked")
    }

    /// Returns the factor of the slowest of these backend servers.
    pub(crate) fn slowest(&self, servers: &[BackendServerId]) -> f64 {
        servers.iter().map(|id| self.factors[id]).fold(0.0, f64::max)
    }
}

/// Returns the factors of a fleet of which a third takes 2.4 times as long as the rest.
pub(crate) fn a_third_slow(servers: usize) -> Vec<f64> {
    (0..servers).map(|i| if i % 3 == 1 { 1.7 } else { 0.7 }).collect()
}

/// Runs some work on all at once, with declared durations that are too high and too low.
pub(crate) fn train(fleet: &mut Fleet, rounds: usize) {
    let width = fleet.factors.len() as u32;
    for round in 0..rounds {
        let servers = fleet.run("urgent", step(width, 8), [0.6, 1.0, 1.6][round % 3]);
        assert_eq!(servers.len(), fleet.factors.len());
    }
}
