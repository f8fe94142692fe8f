//! Calls between boxes: a box that does not reach the store, or does not schedule, asks another.

use std::{collections::HashMap, net::SocketAddr, sync::Mutex};

use jobs::{Fence, Job, JobId, QueueId};
use model::{BoxId, CustomerId, Duration, Revision};
use net::grpc::Channel;
use tonic::{Response, Status};
use wire::relay::{self, relay_client::RelayClient, taken_request::What};

use crate::{
    outcome::{CancelOutcome, StateOutcome, StoredRequest, SubmitOutcome},
    timers::pause,
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
            Ok(reply) => reply.outcome().into(),
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
        match within(limit, client.cancel(req)).await {
            Ok(reply) => reply.outcome().into(),
            Err(_) => CancelOutcome::Unknown,
        }
    }

    /// Asks another box how a job stands; with `scheduler_only`, only what its scheduler knows.
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
        match within(limit, client.state(req)).await {
            Ok(reply) => reply.state().into(),
            Err(_) => StateOutcome::Unavailable,
        }
    }

    /// Asks the scheduler how many jobs of a queue have not begun.
    pub(crate) async fn waiting(&self, addr: SocketAddr, queue: &QueueId, limit: Duration) -> Option<u64> {
        let mut client = self.client(addr);
        let reply = within(limit, client.waiting(relay::WaitingRequest { queue: queue.to_string() })).await.ok()?;
        (!reply.unavailable).then_some(reply.waiting)
    }

    /// Tells the scheduler what the store has taken since a revision.
    pub(crate) async fn notify_stored(
        &self,
        addr: SocketAddr,
        taken: &StoredRequest,
        since: Revision,
        limit: Duration,
    ) -> Result<(), Status> {
        let what = match taken {
            StoredRequest::Job(job) => What::Job(serde_json::to_vec(job).expect("our own types always serialize")),
            StoredRequest::Cancelled(id) => What::Cancelled(id.to_string()),
        };
        let mut client = self.client(addr);
        within(limit, client.taken(relay::TakenRequest { revision: since.0, what: Some(what) })).await.map(|_| ())
    }

    /// For how long at least a box has not scheduled with a fence; `None` if it does, or does not answer.
    pub(crate) async fn term_ended(
        &self,
        addr: SocketAddr,
        box_id: &BoxId,
        fence: Fence,
        limit: Duration,
    ) -> Option<Duration> {
        let mut client = self.client(addr);
        let req = relay::TermEndedRequest { r#box: box_id.to_string(), fence: fence.0 };
        let reply = within(limit, client.term_ended(req)).await.ok()?;
        reply.ended.then(|| Duration::from_millis(reply.since_ms))
    }

    /// Whether another box answers, and reaches the store.
    pub(crate) async fn is_answering(&self, addr: SocketAddr, limit: Duration) -> bool {
        self.configuration(addr, u64::MAX, Duration::ZERO, limit).await.is_some()
    }

    /// Asks another box for a configuration above a version, as the operators wrote it; empty if there is none within `wait`. With a
    /// wait, the other box answers only if it follows the configuration in the store.
    pub(crate) async fn configuration(
        &self,
        addr: SocketAddr,
        above: u64,
        wait: Duration,
        limit: Duration,
    ) -> Option<Vec<u8>> {
        let mut client = self.client(addr);
        let req = relay::ConfigurationRequest { above, wait_ms: wait.millis() };
        let reply = within(limit, client.configuration(req)).await.ok()?;
        Some(reply.document)
    }
}

/// What the other box is given of the time that its asker waits, in milliseconds.
fn others_limit(limit: Duration) -> u64 {
    limit.millis().saturating_sub(ANSWER_MARGIN.millis())
}

/// Whether a failed call cannot have reached the other box's work.
fn never_sent(status: &Status) -> bool {
    status.code() == tonic::Code::ResourceExhausted
}

async fn within<T>(limit: Duration, call: impl Future<Output = Result<Response<T>, Status>>) -> Result<T, Status> {
    let expire = async {
        pause(limit).await;
        Err(Status::deadline_exceeded("the other box did not answer in time"))
    };
    futures_lite::FutureExt::or(call, expire).await.map(Response::into_inner)
}
