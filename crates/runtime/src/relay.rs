//! Calls between boxes: a box that does not reach the store, or does not schedule, asks another.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use jobs::{Job, JobId, JobState, QueueId};
use model::{CustomerId, Duration};
use net::grpc::Channel;
use tonic::{Request, Response, Status};
use wire::relay::{self, cancel_reply, relay_client::RelayClient, relay_server::Relay, state_reply, submit_reply};

use crate::{
    border::Decoder,
    requests::{CancelOutcome, Requests, StateOutcome, SubmitOutcome},
    view::View,
};

/// No call to another box takes longer, whatever its own limit.
const CHANNEL_LIMIT: std::time::Duration = std::time::Duration::from_secs(5);
/// The other box gets so much less time than its asker waits, so that its answer is not missed: an answer that
/// is missed leaves the asker in doubt.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Longest message between boxes, in bytes: the store's values reach 1 MB.
const MAX_MESSAGE: usize = 4 * 1024 * 1024;

/// Connections to other boxes, one per address.
#[derive(Default)]
pub(crate) struct Peers {
    by_addr: Mutex<HashMap<SocketAddr, RelayClient<Channel>>>,
}

impl Peers {
    fn client(&self, addr: SocketAddr) -> RelayClient<Channel> {
        let make = || {
            let origin = format!("http://{addr}").parse().expect("an address makes a valid origin");
            RelayClient::with_origin(Channel::new(addr, CHANNEL_LIMIT), origin).max_decoding_message_size(MAX_MESSAGE)
        };
        self.by_addr.lock().expect("no holder panics").entry(addr).or_insert_with(make).clone()
    }

    /// Has another box store a job.
    pub(crate) async fn submit(&self, addr: SocketAddr, job: &Job, limit: Duration) -> SubmitOutcome {
        let body = serde_json::to_vec(job).expect("our own types always serialize");
        let req = relay::SubmitRequest { job: body, limit_ms: others_limit(limit) };
        let mut client = self.client(addr);
        match within(limit, client.submit(req)).await {
            Ok(reply) => match reply.outcome() {
                submit_reply::Outcome::Accepted => SubmitOutcome::Accepted,
                submit_reply::Outcome::Refused => SubmitOutcome::Refused,
                submit_reply::Outcome::OtherJob => SubmitOutcome::OtherJob,
                submit_reply::Outcome::Unknown => SubmitOutcome::Unknown,
            },
            Err(status) if never_sent(&status) => SubmitOutcome::Refused,
            Err(_) => SubmitOutcome::Unknown,
        }
    }

    /// Has another box store that a job is cancelled.
    pub(crate) async fn cancel(
        &self,
        addr: SocketAddr,
        id: JobId,
        customer: Option<&CustomerId>,
        limit: Duration,
    ) -> CancelOutcome {
        let customer = customer.map(ToString::to_string).unwrap_or_default();
        let req = relay::CancelRequest { job: id.to_string(), customer, limit_ms: others_limit(limit) };
        let mut client = self.client(addr);
        match within(limit, client.cancel(req)).await.map(|reply| reply.outcome()) {
            Ok(cancel_reply::Outcome::Cancelled) => CancelOutcome::Cancelled,
            Ok(cancel_reply::Outcome::NoSuchJob) => CancelOutcome::NoSuchJob,
            Ok(cancel_reply::Outcome::NotYours) => CancelOutcome::NotYours,
            Ok(cancel_reply::Outcome::Refused) => CancelOutcome::Refused,
            Ok(cancel_reply::Outcome::Unknown) | Err(_) => CancelOutcome::Unknown,
        }
    }

    /// Asks another box how a job stands.
    pub(crate) async fn state(
        &self,
        addr: SocketAddr,
        id: JobId,
        customer: Option<&CustomerId>,
        scheduler_only: bool,
        limit: Duration,
    ) -> StateOutcome {
        let customer = customer.map(ToString::to_string).unwrap_or_default();
        let req = relay::StateRequest { job: id.to_string(), customer, limit_ms: others_limit(limit), scheduler_only };
        let mut client = self.client(addr);
        let Ok(reply) = within(limit, client.state(req)).await else { return StateOutcome::Unavailable };
        match reply.state() {
            state_reply::State::Unavailable => StateOutcome::Unavailable,
            state_reply::State::NoSuchJob => StateOutcome::NoSuchJob,
            state_reply::State::NotYours => StateOutcome::NotYours,
            state_reply::State::Queued => StateOutcome::Found(JobState::Queued),
            state_reply::State::Running => StateOutcome::Found(JobState::Running),
            state_reply::State::Succeeded => StateOutcome::Found(JobState::Succeeded),
            state_reply::State::Failed => StateOutcome::Found(JobState::Failed),
            state_reply::State::Cancelled => StateOutcome::Found(JobState::Cancelled),
        }
    }

    /// Asks the scheduler how many jobs of a queue have not begun.
    pub(crate) async fn waiting(&self, addr: SocketAddr, queue: &QueueId, limit: Duration) -> Option<u64> {
        let mut client = self.client(addr);
        let reply = within(limit, client.waiting(relay::WaitingRequest { queue: queue.to_string() })).await.ok()?;
        (!reply.unavailable).then_some(reply.waiting)
    }

    /// Asks another box for a configuration above a version, as the operators wrote it.
    pub(crate) async fn configuration(&self, addr: SocketAddr, above: u64, limit: Duration) -> Option<Vec<u8>> {
        let mut client = self.client(addr);
        let reply = within(limit, client.configuration(relay::ConfigurationRequest { above })).await.ok()?;
        Some(reply.document)
    }
}

fn others_limit(limit: Duration) -> u64 {
    limit.millis().saturating_sub(ANSWER_MARGIN.millis())
}

/// Whether a failed call cannot have reached the other box's work.
fn never_sent(status: &Status) -> bool {
    status.code() == tonic::Code::ResourceExhausted
}

async fn within<T>(limit: Duration, call: impl Future<Output = Result<Response<T>, Status>>) -> Result<T, Status> {
    let expire = async {
        smol::Timer::after(limit.into()).await;
        Err(Status::deadline_exceeded("the other box did not answer in time"))
    };
    futures_lite::FutureExt::or(call, expire).await.map(Response::into_inner)
}

/// Answers other boxes.
#[derive(Clone)]
pub(crate) struct RelayService {
    pub(crate) requests: Arc<Requests>,
    pub(crate) view: Arc<View>,
    pub(crate) decoder: Arc<dyn Decoder>,
}

fn parse<T: std::str::FromStr<Err: std::fmt::Display>>(text: &str) -> Result<T, Status> {
    text.parse().map_err(|e: T::Err| Status::invalid_argument(e.to_string()))
}

fn customer(text: &str) -> Result<Option<CustomerId>, Status> {
    if text.is_empty() { Ok(None) } else { parse(text).map(Some) }
}

#[tonic::async_trait]
impl Relay for RelayService {
    async fn submit(&self, req: Request<relay::SubmitRequest>) -> Result<Response<relay::SubmitReply>, Status> {
        let req = req.into_inner();
        let job: Job = serde_json::from_slice(&req.job).map_err(|e| Status::invalid_argument(e.to_string()))?;
        let outcome = match self.requests.submit_here(&job, Duration::from_millis(req.limit_ms)).await {
            SubmitOutcome::Accepted => submit_reply::Outcome::Accepted,
            SubmitOutcome::Refused => submit_reply::Outcome::Refused,
            SubmitOutcome::OtherJob => submit_reply::Outcome::OtherJob,
            SubmitOutcome::Unknown => submit_reply::Outcome::Unknown,
        };
        Ok(Response::new(relay::SubmitReply { outcome: outcome.into() }))
    }

    async fn cancel(&self, req: Request<relay::CancelRequest>) -> Result<Response<relay::CancelReply>, Status> {
        let req = req.into_inner();
        let (id, customer) = (parse(&req.job)?, customer(&req.customer)?);
        let limit = Duration::from_millis(req.limit_ms);
        let outcome = match self.requests.cancel_here(id, customer.as_ref(), limit).await {
            CancelOutcome::Cancelled => cancel_reply::Outcome::Cancelled,
            CancelOutcome::NoSuchJob => cancel_reply::Outcome::NoSuchJob,
            CancelOutcome::NotYours => cancel_reply::Outcome::NotYours,
            CancelOutcome::Refused => cancel_reply::Outcome::Refused,
            CancelOutcome::Unknown => cancel_reply::Outcome::Unknown,
        };
        Ok(Response::new(relay::CancelReply { outcome: outcome.into() }))
    }

    async fn state(&self, req: Request<relay::StateRequest>) -> Result<Response<relay::StateReply>, Status> {
        let req = req.into_inner();
        let (id, customer) = (parse(&req.job)?, customer(&req.customer)?);
        let mut outcome = self.requests.state_in_memory(id, customer.as_ref());
        if outcome == StateOutcome::Unavailable && !req.scheduler_only {
            outcome = self.requests.state_in_store(id, customer.as_ref()).await;
        }
        let state = match outcome {
            StateOutcome::Unavailable => state_reply::State::Unavailable,
            StateOutcome::NoSuchJob => state_reply::State::NoSuchJob,
            StateOutcome::NotYours => state_reply::State::NotYours,
            StateOutcome::Found(JobState::Queued) => state_reply::State::Queued,
            StateOutcome::Found(JobState::Running) => state_reply::State::Running,
            StateOutcome::Found(JobState::Succeeded) => state_reply::State::Succeeded,
            StateOutcome::Found(JobState::Failed) => state_reply::State::Failed,
            StateOutcome::Found(JobState::Cancelled) => state_reply::State::Cancelled,
        };
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
        if !self.view.reaches_store() {
            return Err(Status::unavailable("this box does not reach the store"));
        }
        let above = req.into_inner().above;
        let newer = self.view.configuration().filter(|newest| newest.version > above);
        let reply = newer.map_or_else(relay::ConfigurationReply::default, |newest| relay::ConfigurationReply {
            version: newest.version,
            document: newest.document.to_vec(),
        });
        Ok(Response::new(reply))
    }
}

impl RelayService {
    /// Takes a configuration that another box gave.
    pub(crate) fn take_document(&self, document: &[u8]) {
        match self.decoder.configuration(document) {
            Ok(new) => {
                self.view.take_configuration(new);
            }
            Err(e) => log::error!("event=configuration_unreadable from=box why={e}"),
        }
    }
}
