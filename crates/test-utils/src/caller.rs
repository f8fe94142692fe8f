//! A caller over HTTP that submits its job through one box after another until it receives the outcome.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use entry::JobAnswer;
use hyper::Method;
use model::{JobSpec, Outcome};
use net::http::Client;

/// Time that one call waits for the outcome of a job, in milliseconds.
const WAIT_MS: u64 = 4000;
/// Pause before the next attempt after a failed call or an unexpected answer.
const PAUSE: Duration = Duration::from_millis(100);

/// Submits a job through one box after another until its outcome is known, and acknowledges the outcome.
///
/// Returns `None` when `patience` has passed without an outcome.
pub async fn run_job(spec: &JobSpec, boxes: &[SocketAddr], patience: Duration) -> Option<Outcome> {
    let client = Client::default();
    let body = serde_json::to_vec(spec).expect("a job specification serializes");
    let started = Instant::now();
    let mut sent = 0;
    while started.elapsed() < patience {
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
                smol::Timer::after(PAUSE).await;
            }
        }
        sent += 1;
    }
    None
}

/// Acknowledges through a box that the whole answer was received. A failed call is ignored.
pub async fn acknowledge(client: &Client, addr: SocketAddr, spec: &JobSpec) {
    let path = format!("/v1/jobs/{}/{}/acknowledge", spec.customer, spec.request);
    // An unacknowledged answer is only kept for its full retention time of an hour.
    let _ = client.call(addr, Method::POST, &path, Default::default(), Duration::from_secs(5)).await;
}
