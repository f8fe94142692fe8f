//! Commands for callers: submit, wait and cancel.

use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use model::{CustomerId, JobSpec, RequestId};
use serde_json::Value;

use crate::{
    client::{Boxes, refused},
    commands::read_file,
    exit::Failure,
    options::Options,
    output,
};

/// Longest wait of one call, after which the command polls again.
const POLL_WAIT: Duration = Duration::from_secs(20);
/// Minimum pause before polling or submitting again, also if the response names no pause. It does not apply if the job
/// is pending, since the call itself has waited then.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// Next action after a response about a job.
enum Next {
    Finish(Value),
    Poll(Duration),
    Resubmit(Duration),
}

pub(crate) async fn submit(opts: &Options, path: &str, detach: bool) -> Result<(), Failure> {
    let refuse = |why: String| Failure::Refused { why: format!("{path}: {why}") };
    let spec: JobSpec = model::from_json(&read_file(path)?).map_err(|e| refuse(e.to_string()))?;
    let body = serde_json::to_vec(&spec).expect("our own types always serialize");
    let boxes = Boxes::new(&opts.boxes)?;
    let deadline = Instant::now() + Duration::from_secs(opts.timeout_s);
    let wait = if detach { Duration::ZERO } else { POLL_WAIT };
    let mut retry = false;
    loop {
        let query = format!("/v1/jobs?wait_ms={}&durable={detach}&retry={retry}", wait.as_millis());
        let reply = boxes.call(Method::POST, &query, body.clone(), wait).await?;
        if detach && reply.status == StatusCode::ACCEPTED {
            let answer: Value = reply.json().map_err(|e| Failure::Unavailable { why: e.to_string() })?;
            output::job(opts.format, &answer);
            return Ok(());
        }
        match next_action(&reply)? {
            Next::Finish(answer) => return finish(opts, &boxes, &spec.customer, &spec.request, &answer).await,
            Next::Poll(pause) | Next::Resubmit(pause) => pause_unless_overdue(pause, deadline).await?,
        }
        retry = true;
    }
}

pub(crate) async fn wait(opts: &Options, customer: &str, request: &str) -> Result<(), Failure> {
    let (customer, request) = parse_ids(customer, request)?;
    let boxes = Boxes::new(&opts.boxes)?;
    let deadline = Instant::now() + Duration::from_secs(opts.timeout_s);
    loop {
        let path = format!("/v1/jobs/{customer}/{request}?wait_ms={}", POLL_WAIT.as_millis());
        let reply = boxes.call(Method::GET, &path, Vec::new(), POLL_WAIT).await?;
        match next_action(&reply)? {
            Next::Finish(answer) => return finish(opts, &boxes, &customer, &request, &answer).await,
            Next::Poll(pause) | Next::Resubmit(pause) => pause_unless_overdue(pause, deadline).await?,
        }
    }
}

pub(crate) async fn cancel(opts: &Options, customer: &str, request: &str) -> Result<(), Failure> {
    let (customer, request) = parse_ids(customer, request)?;
    let path = format!("/v1/jobs/{customer}/{request}");
    let reply = Boxes::new(&opts.boxes)?.call(Method::DELETE, &path, Vec::new(), MIN_PAUSE).await?;
    match reply.status {
        StatusCode::BAD_REQUEST | StatusCode::NOT_FOUND => Err(refused(&reply)),
        _ => {
            let answer: Value = reply.json().map_err(|e| Failure::Unavailable { why: e.to_string() })?;
            output::job(opts.format, &answer);
            Ok(())
        }
    }
}

fn parse_ids(customer: &str, request: &str) -> Result<(CustomerId, RequestId), Failure> {
    let usage = |e: model::IdError| Failure::Usage { why: e.to_string() };
    Ok((customer.parse().map_err(usage)?, request.parse().map_err(usage)?))
}

fn next_action(reply: &net::http::Reply) -> Result<Next, Failure> {
    if reply.status == StatusCode::BAD_REQUEST || reply.status == StatusCode::NOT_FOUND {
        return Err(refused(reply));
    }
    let answer: Value = reply.json().map_err(|e| Failure::Unavailable { why: e.to_string() })?;
    let retry_ms =
        answer.pointer("/retry_after").or_else(|| answer.pointer("/outcome/retry_after")).and_then(Value::as_u64);
    let pause = retry_ms.map_or(MIN_PAUSE, Duration::from_millis).max(MIN_PAUSE);
    match answer.get("status").and_then(Value::as_str) {
        Some("pending") => Ok(Next::Poll(Duration::ZERO)),
        Some("unsettled") => Ok(Next::Poll(pause)),
        Some("ended") if retry_ms.is_some() => Ok(Next::Resubmit(pause)),
        Some("ended" | "over") => Ok(Next::Finish(answer)),
        _ => Err(refused(reply)),
    }
}

/// Waits for `pause` and up to 100 ms more. Returns [`Failure::Pending`] at once if `pause` would reach the deadline.
async fn pause_unless_overdue(pause: Duration, deadline: Instant) -> Result<(), Failure> {
    if Instant::now() + pause >= deadline {
        return Err(Failure::Pending { why: "the job has not ended; wait for it with `marten wait`".to_owned() });
    }
    let jitter = Duration::from_millis(fastrand::u64(0..100));
    smol::Timer::after(pause + jitter).await;
    Ok(())
}

/// Prints the outcome of a job, and acknowledges the answer of a successful one after printing it.
///
/// Returns [`Failure::JobEnded`] for any other outcome.
async fn finish(
    opts: &Options,
    boxes: &Boxes,
    customer: &CustomerId,
    request: &RequestId,
    answer: &Value,
) -> Result<(), Failure> {
    output::job(opts.format, answer);
    match answer.pointer("/outcome/outcome").and_then(Value::as_str) {
        Some("done") => {
            let path = format!("/v1/jobs/{customer}/{request}/acknowledge");
            boxes.call(Method::POST, &path, Vec::new(), Duration::ZERO).await?;
            Ok(())
        }
        outcome => {
            let outcome = outcome.or_else(|| answer.get("outcome").and_then(Value::as_str)).unwrap_or("over");
            Err(Failure::JobEnded { why: format!("the job ended: {outcome}") })
        }
    }
}
