//! Client side of the calls between boxes. A box that does not reach the store, or does not schedule, relays requests
//! to another one.

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

/// Upper bound of the time of any call to another box, whatever its own timeout.
const CHANNEL_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);
/// Time by which the limit of the other box is shorter than the timeout of the caller, so that its response arrives in
/// time: a missed response leaves the outcome unknown.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// Longest message between boxes, in bytes. Values of the store have up to 1 MB.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Connections to other boxes, one per address.
#[derive(Default)]
pub(crate) struct Peers {
    by_addr: Mutex<HashMap<SocketAddr, RelayClient<Channel>>>,
}

impl Peers {
    fn client(&self, addr: SocketAddr) -> RelayClient<Channel> {
        let make = || {
            let origin = format!("http://{addr}").parse().expect("an address makes a valid origin");
            RelayClient::with_origin(Channel::new(addr, CHANNEL_TIMEOUT), origin)
                .max_decoding_message_size(MAX_MESSAGE_BYTES)
        };
        self.by_addr.lock().expect("no holder panics").entry(addr).or_insert_with(make).clone()
    }

    /// Relays a submission to another box.
    pub(crate) async fn submit(&self, addr: SocketAddr, job: &Job, limit: Duration) -> SubmitOutcome {
        let body = serde_json::to_vec(job).expect("our own types always serialize");
        let req = relay::SubmitRequest { job: body, limit_ms: remote_limit_ms(limit) };
        let mut client = self.client(addr);
        match call_with_timeout(limit, client.submit(req)).await {
            Ok(reply) => reply.outcome().into(),
            Err(status) if was_not_sent(&status) => SubmitOutcome::Refused,
            Err(_) => SubmitOutcome::Unknown,
        }
    }

    /// Relays a cancellation to another box.
    pub(crate) async fn cancel(
        &self,
        addr: SocketAddr,
        id: JobId,
        customer: Option<&CustomerId>,
        limit: Duration,
    ) -> CancelOutcome {
        let customer = customer.map(ToString::to_string).unwrap_or_default();
        let req = relay::CancelRequest { job: id.to_string(), customer, limit_ms: remote_limit_ms(limit) };
        let mut client = self.client(addr);
        match call_with_timeout(limit, client.cancel(req)).await {
            Ok(reply) => reply.outcome().into(),
            Err(_) => CancelOutcome::Unknown,
        }
    }

    /// Queries another box for the state of a job; with `scheduler_only`, only its scheduler in memory.
    pub(crate) async fn state(
        &self,
        addr: SocketAddr,
        id: JobId,
        customer: Option<&CustomerId>,
        scheduler_only: bool,
        limit: Duration,
    ) -> StateOutcome {
        let customer = customer.map(ToString::to_string).unwrap_or_default();
        let req =
            relay::StateRequest { job: id.to_string(), customer, limit_ms: remote_limit_ms(limit), scheduler_only };
        let mut client = self.client(addr);
        match call_with_timeout(limit, client.state(req)).await {
            Ok(reply) => reply.state().into(),
            Err(_) => StateOutcome::Unavailable,
        }
    }

    /// Queries the scheduler for the number of jobs of a queue that have not started; `None` if it does not respond or
    /// does not schedule any more.
    pub(crate) async fn waiting(&self, addr: SocketAddr, queue: &QueueId, limit: Duration) -> Option<u64> {
        let mut client = self.client(addr);
        let reply =
            call_with_timeout(limit, client.waiting(relay::WaitingRequest { queue: queue.to_string() })).await.ok()?;
        (!reply.unavailable).then_some(reply.waiting)
    }

    /// Notifies the scheduler of a job or cancellation that the store took at a revision.
    pub(crate) async fn notify_stored(
        &self,
        addr: SocketAddr,
        request: &StoredRequest,
        revision: Revision,
        limit: Duration,
    ) -> Result<(), Status> {
        let what = match request {
            StoredRequest::Job(job) => What::Job(serde_json::to_vec(job).expect("our own types always serialize")),
            StoredRequest::Cancelled(id) => What::Cancelled(id.to_string()),
        };
        let mut client = self.client(addr);
        call_with_timeout(limit, client.taken(relay::TakenRequest { revision: revision.0, what: Some(what) }))
            .await
            .map(|_| ())
    }

    /// Asks a box to step down from a term. Returns for how long it has at least not been scheduling with the fencing
    /// token; `None` if it still is or does not respond.
    pub(crate) async fn term_ended(
        &self,
        addr: SocketAddr,
        box_id: &BoxId,
        fence: Fence,
        limit: Duration,
    ) -> Option<Duration> {
        let mut client = self.client(addr);
        let req = relay::TermEndedRequest { r#box: box_id.to_string(), fence: fence.0 };
        let reply = call_with_timeout(limit, client.term_ended(req)).await.ok()?;
        reply.ended.then(|| Duration::from_millis(reply.since_ms))
    }

    /// Whether another box responds and reaches the store.
    pub(crate) async fn is_responsive(&self, addr: SocketAddr, limit: Duration) -> bool {
        self.configuration(addr, u64::MAX, Duration::ZERO, limit).await.is_some()
    }

    /// Requests a configuration above a version from another box, as the operators wrote it; empty if there is none
    /// within `wait`. With a wait, the other box replies only if it watches the configuration in the store itself.
    pub(crate) async fn configuration(
        &self,
        addr: SocketAddr,
        above: u64,
        wait: Duration,
        limit: Duration,
    ) -> Option<Vec<u8>> {
        let mut client = self.client(addr);
        let req = relay::ConfigurationRequest { above, wait_ms: wait.millis() };
        let reply = call_with_timeout(limit, client.configuration(req)).await.ok()?;
        Some(reply.document)
    }
}

/// Returns the time limit for the other box, in milliseconds.
fn remote_limit_ms(limit: Duration) -> u64 {
    limit.millis().saturating_sub(RESPONSE_MARGIN.millis())
}

/// Whether a failed call cannot have been processed by the other box.
fn was_not_sent(status: &Status) -> bool {
    status.code() == tonic::Code::ResourceExhausted
}

async fn call_with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = Result<Response<T>, Status>>,
) -> Result<T, Status> {
    let expire = async {
        pause(limit).await;
        Err(Status::deadline_exceeded("the other box did not respond in time"))
    };
    futures_lite::FutureExt::or(call, expire).await.map(Response::into_inner)
}
