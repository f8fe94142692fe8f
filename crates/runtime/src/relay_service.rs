//! Server side of the calls between boxes.

use std::sync::Arc;

use jobs::{Fence, Job, QueueId};
use model::{BoxId, CustomerId, Duration, Revision};
use tonic::{Request, Response, Status};
use wire::relay::{self, cancel_reply, relay_server::Relay, state_reply, submit_reply, taken_request::What};

use crate::{Configuration, active::ActiveSlot, outcome::StoredRequest, requests::Requests, view::View};

/// Maximum age of the latest confirmation by the store for a box to confirm its configuration to others: the longest
/// wait of its watch, plus the response time of a slow store.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(3000);
/// Longest time for which a request of another box is processed, whatever it asks for. Callers wait for a few seconds.
const MAX_REQUEST_TIME: Duration = Duration::from_millis(10_000);
/// Interval at which a pending request for a configuration checks that the store is still reachable.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Handler of calls from other boxes.
#[derive(Clone)]
pub(crate) struct RelayService {
    pub(crate) requests: Arc<Requests>,
    pub(crate) view: Arc<View>,
    pub(crate) active: ActiveSlot,
    pub(crate) box_id: BoxId,
}

#[tonic::async_trait]
impl Relay for RelayService {
    async fn submit(&self, req: Request<relay::SubmitRequest>) -> Result<Response<relay::SubmitReply>, Status> {
        let req = req.into_inner();
        let job: Job = serde_json::from_slice(&req.job).map_err(|e| Status::invalid_argument(e.to_string()))?;
        let outcome: submit_reply::Outcome =
            self.requests.submit_to_store(&job, request_time(req.limit_ms)).await.into();
        Ok(Response::new(relay::SubmitReply { outcome: outcome.into() }))
    }

    async fn cancel(&self, req: Request<relay::CancelRequest>) -> Result<Response<relay::CancelReply>, Status> {
        let req = req.into_inner();
        let (id, customer) = (parse(&req.job)?, customer(&req.customer)?);
        let limit = request_time(req.limit_ms);
        let outcome: cancel_reply::Outcome = self.requests.cancel_in_store(id, customer.as_ref(), limit).await.into();
        Ok(Response::new(relay::CancelReply { outcome: outcome.into() }))
    }

    async fn state(&self, req: Request<relay::StateRequest>) -> Result<Response<relay::StateReply>, Status> {
        let req = req.into_inner();
        let (id, customer) = (parse(&req.job)?, customer(&req.customer)?);
        let outcome = if req.scheduler_only {
            self.requests.state_in_memory(id, customer.as_ref())
        } else {
            self.requests.state_here(id, customer.as_ref()).await
        };
        let state = state_reply::State::from(outcome);
        Ok(Response::new(relay::StateReply { state: state.into() }))
    }

    async fn waiting(&self, req: Request<relay::WaitingRequest>) -> Result<Response<relay::WaitingReply>, Status> {
        let queue = QueueId::from(req.into_inner().queue.as_str());
        let waiting = self.requests.waiting_in_memory(&queue);
        let reply = relay::WaitingReply { unavailable: waiting.is_none(), waiting: waiting.unwrap_or(0) };
        Ok(Response::new(reply))
    }

    async fn configuration(
        &self,
        req: Request<relay::ConfigurationRequest>,
    ) -> Result<Response<relay::ConfigurationReply>, Status> {
        let req = req.into_inner();
        let wait = request_time(req.wait_ms);
        if wait > Duration::ZERO && !self.view.is_configuration_confirmed(MAX_CONFIRMATION_AGE) {
            return Err(Status::unavailable("this box does not follow the configuration in the store"));
        }
        let newer = self.newer_configuration(req.above, wait).await?;
        let reply = newer.map_or_else(relay::ConfigurationReply::default, |newest| relay::ConfigurationReply {
            version: newest.version,
            document: newest.document.to_vec(),
        });
        Ok(Response::new(reply))
    }

    async fn taken(&self, req: Request<relay::TakenRequest>) -> Result<Response<relay::TakenReply>, Status> {
        let req = req.into_inner();
        let taken = match req.what {
            Some(What::Job(job)) => {
                StoredRequest::Job(serde_json::from_slice(&job).map_err(|e| Status::invalid_argument(e.to_string()))?)
            }
            Some(What::Cancelled(id)) => StoredRequest::Cancelled(parse(&id)?),
            None => return Err(Status::invalid_argument("what: allowed are job and cancelled")),
        };
        self.requests.apply_stored(&taken, Revision(req.revision));
        Ok(Response::new(relay::TakenReply {}))
    }

    async fn term_ended(
        &self,
        req: Request<relay::TermEndedRequest>,
    ) -> Result<Response<relay::TermEndedReply>, Status> {
        let req = req.into_inner();
        if req.r#box != self.box_id.to_string() {
            return Err(Status::not_found(format!("this is the box {}", self.box_id)));
        }
        let fence = Fence(req.fence);
        // The caller was elected later.
        if let Some(active) = self.active.get().filter(|active| active.fence == fence)
            && active.lose_leadership()
        {
            log::info!("event=deposed fence={fence} why=asked_by_successor");
        }
        let since = self.view.step_down(fence);
        let reply = relay::TermEndedReply { ended: since.is_some(), since_ms: since.map_or(0, |since| since.millis()) };
        Ok(Response::new(reply))
    }
}

impl RelayService {
    /// Waits for a configuration above a version, for at most `wait`. Returns an error once the store is unreachable.
    async fn newer_configuration(&self, above: u64, wait: Duration) -> Result<Option<Arc<Configuration>>, Status> {
        let until = self.view.clock().now() + wait;
        loop {
            if !self.view.is_store_reachable() {
                return Err(Status::unavailable("this box does not reach the store"));
            }
            let remaining = until.since(self.view.clock().now());
            let newer = self.view.configuration_above(above, remaining.min(CHECK_INTERVAL)).await;
            if newer.is_some() || remaining == Duration::ZERO {
                return Ok(newer);
            }
        }
    }
}

/// Returns the time for which a request may take, of the milliseconds that another box asks for.
fn request_time(ms: u64) -> Duration {
    Duration::from_millis(ms).min(MAX_REQUEST_TIME)
}

fn parse<T: std::str::FromStr<Err: std::fmt::Display>>(text: &str) -> Result<T, Status> {
    text.parse().map_err(|e: T::Err| Status::invalid_argument(e.to_string()))
}

/// Parses a customer; an empty text stands for none.
fn customer(text: &str) -> Result<Option<CustomerId>, Status> {
    if text.is_empty() { Ok(None) } else { parse(text).map(Some) }
}
