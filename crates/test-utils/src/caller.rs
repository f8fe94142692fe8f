//! A caller over HTTP that goes from box to box until the end of its job is known.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use entry::JobAnswer;
use hyper::Method;
use model::{JobSpec, Outcome};
use net::http::Client;

/// How long one call waits for the end of a job.
const WAIT_MS: u64 = 4000;
/// Pause after a box that does not answer.
const PAUSE: Duration = Duration::from_millis(100);

/// Sends a job through one box after another until its end is known; `None` when patience ends.
pub async fn run_job(spec: &JobSpec, boxes: &[SocketAddr], patience: Duration) -> Option<Outcome> {
    let client = Client::default();
    let body = serde_json::to_vec(spec).expect("our own types always serialize");
    let began = Instant::now();
    let mut sent = 0;
    while began.elapsed() < patience {
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

/// Tells the boxes that the whole answer has arrived.
pub async fn acknowledge(client: &Client, addr: SocketAddr, spec: &JobSpec) {
    let path = format!("/v1/jobs/{}/{}/acknowledge", spec.customer, spec.request);
    // An answer that is not acknowledged is kept for an hour; that is no loss.
    let _ = client.call(addr, Method::POST, &path, Default::default(), Duration::from_secs(5)).await;
}
