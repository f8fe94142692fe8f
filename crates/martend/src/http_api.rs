//! The API for callers and operators, JSON over HTTP/1. `docs/interface.md` describes it.

use bytes::Bytes;
use entry::{CallerReply, CallerRequest, JobAnswer, Submission};
use http_body_util::Full;
use hyper::{Method, Response, StatusCode, header::HeaderValue};
use model::{ApplyId, Duration, JobId, JobSpec, OperatorFile, Outcome, Revision};
use net::{
    BoxFuture,
    http::{Call, Handler, json_response, text_response},
};
use serde::{Deserialize, Serialize};
use smol::channel::Sender;
use spread::Applied;

use crate::{host::Event, telemetry};

type Res = Response<Full<Bytes>>;

/// HTTP handler for callers and operators.
pub(crate) struct Api {
    pub(crate) events: Sender<Event>,
    pub(crate) box_id: String,
}

/// Body of a response to a request that did not reach the entry box.
#[derive(Serialize)]
struct Problem {
    status: &'static str,
    error: String,
}

/// Body of a request that applies a configuration.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawApply {
    apply: ApplyId,
    base: Revision,
    file: OperatorFile,
}

#[derive(Serialize)]
#[serde(tag = "status", rename_all = "snake_case")]
enum ApplyResult {
    Accepted { revision: Revision },
    Conflict { standing: Option<Box<spread::Document>> },
    Undecided { error: String },
    Broken { error: String },
}

impl Handler for Api {
    fn handle(&self, call: Call) -> BoxFuture<'_, Option<Res>> {
        Box::pin(async move {
            let path: Vec<&str> = call.path.trim_matches('/').split('/').collect();
            match (&call.method, path.as_slice()) {
                (&Method::GET, ["healthz"]) => Some(text_response(StatusCode::OK, "ok\n".to_owned())),
                (&Method::GET, ["readyz"]) => self.ready().await,
                (&Method::GET, ["metrics"]) => self.metrics().await,
                _ => match parse(&call, &path) {
                    Ok(req) => self.request(req).await,
                    Err(res) => Some(res),
                },
            }
        })
    }
}

impl Api {
    async fn request(&self, req: CallerRequest) -> Option<Res> {
        let (tx, rx) = smol::channel::bounded(1);
        self.events.send(Event::Caller(req, tx)).await.ok()?;
        // `None` closes the connection: a box that stops before it replies has no response to give.
        rx.recv().await.ok().map(respond)
    }

    async fn health(&self) -> Option<crate::host::Health> {
        let (tx, rx) = smol::channel::bounded(1);
        self.events.send(Event::Health(tx)).await.ok()?;
        rx.recv().await.ok()
    }

    async fn ready(&self) -> Option<Res> {
        let health = self.health().await?;
        Some(match health.ready {
            true => text_response(StatusCode::OK, "ready\n".to_owned()),
            false => text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "not ready: no configuration is known, or the box is leaving\n".to_owned(),
            ),
        })
    }

    async fn metrics(&self) -> Option<Res> {
        let health = self.health().await?;
        telemetry::set_gauges(&self.box_id, &health);
        Some(text_response(StatusCode::OK, telemetry::render()))
    }
}

/// Parses a request; the error is the response.
fn parse(call: &Call, path: &[&str]) -> Result<CallerRequest, Res> {
    let query = Query::parse(&call.query)?;
    match (&call.method, path) {
        (&Method::POST, ["v1", "jobs"]) => {
            let spec: JobSpec = model::from_json(&call.body).map_err(|e| bad_request(e.to_string()))?;
            Ok(CallerRequest::Submit(Submission {
                spec,
                wait: query.wait,
                durable: query.durable,
                retry: query.retry,
                ticket: query.ticket,
                resume: false,
                may_have_run: false,
            }))
        }
        (&Method::POST, ["v1", "tickets"]) => Ok(CallerRequest::Mint),
        (&Method::GET, ["v1", "jobs", customer, request]) => {
            Ok(CallerRequest::Poll { customer: parse_id(customer)?, request: parse_id(request)?, wait: query.wait })
        }
        (&Method::DELETE, ["v1", "jobs", customer, request]) => {
            Ok(CallerRequest::Cancel { customer: parse_id(customer)?, request: parse_id(request)? })
        }
        (&Method::POST, ["v1", "jobs", customer, request, "acknowledge"]) => {
            Ok(CallerRequest::Acknowledge { customer: parse_id(customer)?, request: parse_id(request)? })
        }
        (&Method::GET, ["v1", "configuration"]) => Ok(CallerRequest::Configuration),
        (&Method::PUT, ["v1", "configuration"]) => {
            let raw: RawApply = model::from_json(&call.body).map_err(|e| bad_request(e.to_string()))?;
            policy::check_guarantees(&raw.file).map_err(|e| bad_request(e.to_string()))?;
            Ok(CallerRequest::Apply { id: raw.apply, base: raw.base, file: raw.file })
        }
        (&Method::GET, ["v1", "status"]) => Ok(CallerRequest::Status),
        _ => Err(problem(
            StatusCode::NOT_FOUND,
            "no_such_path",
            format!("{} {} is not part of the interface; see docs/interface.md", call.method, call.path),
        )),
    }
}

/// Query parameters, accepted on every path.
#[derive(Default)]
struct Query {
    wait: Duration,
    durable: bool,
    retry: bool,
    ticket: Option<JobId>,
}

impl Query {
    fn parse(text: &str) -> Result<Query, Res> {
        let mut query = Query::default();
        for pair in text.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            match name {
                "wait_ms" => {
                    let ms =
                        value.parse().map_err(|_| bad_request(format!("wait_ms: {value:?} is no whole number")))?;
                    query.wait = Duration::from_millis(ms);
                }
                "durable" => query.durable = parse_flag(name, value)?,
                "retry" => query.retry = parse_flag(name, value)?,
                "ticket" => query.ticket = Some(parse_id(value)?),
                _ => return Err(bad_request(format!("{name}: allowed are wait_ms, durable, retry and ticket"))),
            }
        }
        Ok(query)
    }
}

fn parse_flag(name: &str, value: &str) -> Result<bool, Res> {
    match value {
        "true" => Ok(true),
        "false" => Ok(false),
        _ => Err(bad_request(format!("{name}: {value:?} is refused: allowed are true and false"))),
    }
}

fn parse_id<T: std::str::FromStr<Err = model::IdError>>(text: &str) -> Result<T, Res> {
    text.parse().map_err(|e: model::IdError| bad_request(e.to_string()))
}

fn bad_request(error: String) -> Res {
    problem(StatusCode::BAD_REQUEST, "bad_request", error)
}

fn problem(code: StatusCode, status: &'static str, error: String) -> Res {
    json_response(code, &Problem { status, error })
}

fn respond(reply: CallerReply) -> Res {
    match reply {
        CallerReply::Job(answer) => respond_job(&answer),
        CallerReply::Ticket(ticket) => json_response(StatusCode::OK, &serde_json::json!({ "ticket": ticket })),
        CallerReply::Applied(applied) => respond_applied(applied),
        CallerReply::Configuration(Some(text)) => {
            let mut res = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
            res.headers_mut().insert("content-type", HeaderValue::from_static("application/json"));
            res
        }
        CallerReply::Configuration(None) => {
            problem(StatusCode::NOT_FOUND, "no_configuration", "no configuration is known here yet".to_owned())
        }
        CallerReply::Status(report) => json_response(StatusCode::OK, &report),
    }
}

fn respond_job(answer: &JobAnswer) -> Res {
    let (code, retry_after) = match answer {
        JobAnswer::Pending { .. } => (StatusCode::ACCEPTED, None),
        JobAnswer::Ended { outcome, .. } => match outcome {
            Outcome::Done { .. } => (StatusCode::OK, None),
            Outcome::NotRun { retry_after: Some(after), .. } => (StatusCode::SERVICE_UNAVAILABLE, Some(*after)),
            Outcome::NotRun { retry_after: None, .. } => (StatusCode::UNPROCESSABLE_ENTITY, None),
            Outcome::Failed { .. } => (StatusCode::BAD_GATEWAY, None),
            Outcome::Cancelled { .. } => (StatusCode::GONE, None),
            Outcome::Unknown { .. } => (StatusCode::GATEWAY_TIMEOUT, None),
        },
        JobAnswer::Unsettled { retry_after, .. } => (StatusCode::SERVICE_UNAVAILABLE, Some(*retry_after)),
        JobAnswer::NotKnown | JobAnswer::Orphaned => (StatusCode::NOT_FOUND, None),
        JobAnswer::NameInUse => (StatusCode::CONFLICT, None),
        JobAnswer::Over { .. } => (StatusCode::GONE, None),
    };
    let mut res = json_response(code, answer);
    if let Some(after) = retry_after {
        // Whole seconds, rounded up (RFC 9110, section 10.2.3).
        let secs = after.millis().div_ceil(1000);
        res.headers_mut().insert("retry-after", HeaderValue::from(secs));
    }
    res
}

fn respond_applied(applied: Applied) -> Res {
    match applied {
        Applied::Accepted { revision, .. } => json_response(StatusCode::OK, &ApplyResult::Accepted { revision }),
        Applied::Conflict { stored } => {
            json_response(StatusCode::CONFLICT, &ApplyResult::Conflict { standing: stored.map(Box::new) })
        }
        Applied::Undecided => {
            let error = "the platform's store gives no answer; send the same apply id again to settle it".to_owned();
            json_response(StatusCode::SERVICE_UNAVAILABLE, &ApplyResult::Undecided { error })
        }
        Applied::Broken { why } => {
            let error = format!("what stands in the platform's store cannot be read: {why}");
            json_response(StatusCode::INTERNAL_SERVER_ERROR, &ApplyResult::Broken { error })
        }
    }
}
