//! Callers: labelling requests, transcription gangs and archive batches, from all customers at once.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use entry::JobAnswer;
use fastrand::Rng;
use hyper::Method;
use model::{Gang, JobSpec, Outcome, Resources, Within};
use net::http::Client;
use smol::Task;
use standins::{Final, Work};

use crate::world::World;

/// Fixed, so that every run asks for the same jobs.
const SEED: u64 = 20_261_202;
/// Jobs handed in.
const JOBS: usize = 420;
/// How long one call waits for the end of a job.
const WAIT_MS: u64 = 4000;
/// A caller gives up after this.
const PATIENCE: Duration = Duration::from_secs(35);

/// What became of one job.
pub(crate) struct Done {
    pub(crate) spec: JobSpec,
    /// `None` if the caller gave up.
    pub(crate) outcome: Option<Outcome>,
    pub(crate) took: Duration,
}

/// The load and what has come of it.
pub(crate) struct Load {
    began: Instant,
    done: Arc<Mutex<Vec<Done>>>,
    _callers: Vec<Task<()>>,
}

impl Load {
    /// Hands jobs in over `time`, in bursts.
    pub(crate) fn begin(world: &World, time: Duration) -> Load {
        let mut rng = Rng::with_seed(SEED);
        let done = Arc::new(Mutex::new(Vec::new()));
        let began = Instant::now();
        let callers = (0..JOBS).map(|n| {
            let spec = job(&mut rng, n);
            // Half of the jobs come in four bursts, the other half evenly.
            let at = if n % 2 == 0 { time.mul_f64(rng.f64()) } else { time.mul_f64(rng.u8(0..4) as f64 / 4.0) };
            let mut boxes: Vec<SocketAddr> = world.caller_addresses();
            rng.shuffle(&mut boxes);
            let done = Arc::clone(&done);
            smol::spawn(async move {
                smol::Timer::at(began + at).await;
                let sent = Instant::now();
                let outcome = call(&spec, &boxes).await;
                done.lock().expect("no holder panics").push(Done { spec, outcome, took: sent.elapsed() });
            })
        });
        Load { began, done: Arc::clone(&done), _callers: callers.collect() }
    }

    pub(crate) fn elapsed(&self) -> Duration {
        self.began.elapsed()
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

/// A job of one of the three classes; run times are 1000 times shorter than in earnest.
fn job(rng: &mut Rng, n: usize) -> JobSpec {
    let (class, tasks, run_ms) = match rng.u8(0..10) {
        0..=5 => ("labelling", 1, rng.u64(100..400)),
        6..=8 => ("transcription", 8, rng.u64(500..2000)),
        _ => ("archive", 16, rng.u64(1500..3500)),
    };
    let customers = ["federal-court", "regional-council", "university-senate", "city-court"];
    let customer = customers[rng.usize(0..customers.len())];
    // Declared times are off by up to ten times either way.
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

/// Sends a job through one box after another until its end is known.
async fn call(spec: &JobSpec, boxes: &[SocketAddr]) -> Option<Outcome> {
    let client = Client::default();
    let body = serde_json::to_vec(spec).expect("our own types always serialize");
    let began = Instant::now();
    let mut sent = 0;
    while began.elapsed() < PATIENCE {
        let addr = boxes[sent % boxes.len()];
        let path = format!("/v1/jobs?wait_ms={WAIT_MS}&retry={}", sent > 0);
        let limit = Duration::from_millis(WAIT_MS) + Duration::from_secs(2);
        let reply = client.call(addr, Method::POST, &path, body.clone().into(), limit).await;
        match reply.and_then(|reply| reply.json::<JobAnswer>()) {
            Ok(JobAnswer::Ended { outcome: Outcome::NotRun { retry_after: Some(after), .. }, .. }) => {
                smol::Timer::after(after.into()).await;
            }
            Ok(JobAnswer::Ended { outcome, .. }) => {
                acknowledge(&client, addr, spec).await;
                return Some(outcome);
            }
            Ok(JobAnswer::Unsettled { retry_after, .. }) => {
                smol::Timer::after(retry_after.into()).await;
            }
            Ok(JobAnswer::Pending { .. }) => continue,
            Ok(_) | Err(_) => {
                smol::Timer::after(Duration::from_millis(100)).await;
            }
        }
        sent += 1;
    }
    None
}

async fn acknowledge(client: &Client, addr: SocketAddr, spec: &JobSpec) {
    let path = format!("/v1/jobs/{}/{}/acknowledge", spec.customer, spec.request);
    // An answer that is not acknowledged is kept for an hour; that is no loss.
    let _ = client.call(addr, Method::POST, &path, Default::default(), Duration::from_secs(5)).await;
}
