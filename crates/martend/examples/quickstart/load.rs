//! Callers of all customers, with labelling requests, transcription gangs and archive batches.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use fastrand::Rng;
use model::{Gang, JobSpec, Outcome, Resources, Within};
use smol::Task;
use standins::{Final, Work};

use crate::world::World;

/// Seed of the load, fixed so that every run submits the same jobs.
const SEED: u64 = 20_261_202;
/// Number of submitted jobs.
const JOBS: usize = 420;
/// Timeout of a caller.
const CALLER_TIMEOUT: Duration = Duration::from_secs(35);

/// Result of one job.
pub(crate) struct Done {
    pub(crate) spec: JobSpec,
    /// Outcome of the job; `None` if the caller timed out.
    pub(crate) outcome: Option<Outcome>,
    pub(crate) took: Duration,
}

/// The callers and the results so far.
pub(crate) struct Load {
    started: Instant,
    done: Arc<Mutex<Vec<Done>>>,
    _callers: Vec<Task<()>>,
}

impl Load {
    /// Starts callers that submit all jobs within `time`, half of them in bursts.
    pub(crate) fn start(world: &World, time: Duration) -> Load {
        let mut rng = Rng::with_seed(SEED);
        let done = Arc::new(Mutex::new(Vec::new()));
        let started = Instant::now();
        let callers = (0..JOBS).map(|n| {
            let spec = job(&mut rng, n);
            // Half of the jobs arrive in four bursts, the other half evenly.
            let at = if n % 2 == 0 { time.mul_f64(rng.f64()) } else { time.mul_f64(rng.u8(0..4) as f64 / 4.0) };
            let mut boxes: Vec<SocketAddr> = world.caller_addresses();
            rng.shuffle(&mut boxes);
            let done = Arc::clone(&done);
            smol::spawn(async move {
                smol::Timer::at(started + at).await;
                let sent = Instant::now();
                let outcome = test_utils::run_job(&spec, &boxes, CALLER_TIMEOUT).await;
                done.lock().expect("no holder panics").push(Done { spec, outcome, took: sent.elapsed() });
            })
        });
        Load { started, done: Arc::clone(&done), _callers: callers.collect() }
    }

    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    pub(crate) fn is_over(&self, limit: Duration) -> bool {
        self.elapsed() >= limit || self.done.lock().expect("no holder panics").len() == JOBS
    }

    pub(crate) fn progress(&self) -> String {
        let done = self.done.lock().expect("no holder panics");
        format!("{:3} of {JOBS} jobs are over", done.len())
    }

    pub(crate) fn take(&self) -> Vec<Done> {
        std::mem::take(&mut self.done.lock().expect("no holder panics"))
    }
}

impl Done {
    pub(crate) fn as_final(&self) -> Option<Final> {
        Some(Final { spec: self.spec.clone(), outcome: self.outcome.clone()? })
    }
}

/// Draws a job of one of the three classes, with run times 1000 times shorter than in production.
fn job(rng: &mut Rng, n: usize) -> JobSpec {
    let (class, tasks, run_ms) = match rng.u8(0..10) {
        0..=5 => ("labelling", 1, rng.u64(100..400)),
        6..=8 => ("transcription", 8, rng.u64(500..2000)),
        _ => ("archive", 16, rng.u64(1500..3500)),
    };
    let customers = ["federal-court", "regional-council", "university-senate", "city-court"];
    let customer = customers[rng.usize(0..customers.len())];
    // Declared times differ from run times by a factor of up to ten in either direction.
    let declared = (run_ms as f64 * 10f64.powf(rng.f64() * 2.0 - 1.0)).max(1.0) as u64;
    let work = Work { run_ms, fail: None, answer_bytes: rng.usize(10..2000) };
    let within = if tasks == 1 { Within::Worker } else { Within::Rack };
    JobSpec {
        customer: customer.parse().expect("a valid id"),
        request: format!("r-{n}").parse().expect("a valid id"),
        class: class.parse().expect("a valid id"),
        gang: Gang { tasks, per_task: Resources::new(1, 2, 8), within },
        declared: model::Duration::from_millis(declared),
        deadline: None,
        repeatable: class != "archive",
        checkpointable: class != "labelling",
        payload: work.to_payload(),
    }
}
