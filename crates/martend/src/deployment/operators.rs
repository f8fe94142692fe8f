//! The operators' API of a box: metrics, status, and evacuations of availability zones.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Response, StatusCode};
use model::AvailabilityZoneId;
use net::{
    BoxFuture,
    http::{Call, Handler, json_response, text_response},
};
use runtime::{EvacuationOutcome, RunningBox};
use serde_json::json;

use super::cached_page::CachedPage;
use crate::telemetry;

/// Path of the evacuations; that of a single one adds `/` and its availability zone.
const EVACUATIONS_PATH: &str = "/v1/evacuations";

/// HTTP handler for operators. It checks no keys, as only operators can reach its address.
pub(super) struct OperatorApi {
    this_box: Arc<RunningBox>,
    metrics: CachedPage,
}

/// Age up to which a page of metrics is returned again. It bounds the time that a client can take from other work.
const METRICS_AGE: Duration = Duration::from_millis(100);
/// Longest body of a request, in bytes; none needs one.
const MAX_BODY_BYTES: usize = 4096;

impl Handler for OperatorApi {
    fn body_limit(&self) -> usize {
        MAX_BODY_BYTES
    }

    fn handle(&self, call: Call) -> BoxFuture<'_, Option<Response<Full<Bytes>>>> {
        Box::pin(async move {
            Some(match call.path.as_str() {
                "/metrics" => text_response(StatusCode::OK, self.metrics()),
                "/v1/status" => json_response(StatusCode::OK, &self.this_box.status()),
                EVACUATIONS_PATH => self.list_evacuations(),
                path => match path.strip_prefix(EVACUATIONS_PATH).and_then(|rest| rest.strip_prefix('/')) {
                    Some(zone) => self.request_evacuation(&call.method, zone).await,
                    None => text_response(
                        StatusCode::NOT_FOUND,
                        format!("there are /metrics, /v1/status and {EVACUATIONS_PATH}\n"),
                    ),
                },
            })
        })
    }
}

impl OperatorApi {
    pub(super) fn new(this_box: Arc<RunningBox>) -> OperatorApi {
        OperatorApi { this_box, metrics: CachedPage::new(METRICS_AGE) }
    }

    /// Returns the page of metrics, which is rendered anew if the last one is too old.
    fn metrics(&self) -> String {
        self.metrics.get(|| {
            self.this_box.set_gauges();
            telemetry::render()
        })
    }

    fn list_evacuations(&self) -> Response<Full<Bytes>> {
        match self.this_box.evacuations() {
            Some(evacuations) => json_response(StatusCode::OK, &json!({ "evacuations": evacuations })),
            None => self.not_scheduling(),
        }
    }

    async fn request_evacuation(&self, method: &Method, zone: &str) -> Response<Full<Bytes>> {
        let zone: AvailabilityZoneId = match zone.parse() {
            Ok(zone) => zone,
            Err(e) => return json_response(StatusCode::BAD_REQUEST, &json!({ "error": format!("{e}") })),
        };
        let evacuated = match *method {
            Method::PUT => true,
            Method::DELETE => false,
            _ => {
                let error = "allowed are PUT (evacuate) and DELETE (take back)";
                return json_response(StatusCode::METHOD_NOT_ALLOWED, &json!({ "error": error }));
            }
        };
        match self.this_box.request_evacuation(&zone, evacuated).await {
            EvacuationOutcome::Done => self.list_evacuations(),
            EvacuationOutcome::Refused(why) => {
                json_response(StatusCode::CONFLICT, &json!({ "error": why.to_string() }))
            }
            EvacuationOutcome::NotHere => self.not_scheduling(),
            EvacuationOutcome::Unknown => {
                let error = "the store gave no answer: it may be in force or not; ask again";
                json_response(StatusCode::GATEWAY_TIMEOUT, &json!({ "error": error }))
            }
        }
    }

    /// Returns the response of a box that does not schedule: only the scheduler tracks and writes evacuations.
    fn not_scheduling(&self) -> Response<Full<Bytes>> {
        let scheduler = self.this_box.status().scheduler;
        let error = match &scheduler {
            Some(id) => format!("this box does not schedule: ask {id}"),
            None => "this box does not schedule, and knows of none that does: ask again".to_owned(),
        };
        json_response(StatusCode::MISDIRECTED_REQUEST, &json!({ "error": error, "scheduler": scheduler }))
    }
}
