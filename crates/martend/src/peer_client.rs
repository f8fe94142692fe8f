//! Calls to other boxes.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use entry::{PeerReply, PeerRequest};
use model::{Duration, Incarnation, Revision};
use net::grpc::Channel;
use tonic::{Request, Status};
use wire::peer_client::PeerClient;

use crate::convert;

/// Upper limit of a call to another box, whatever its own limit.
const CHANNEL_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(70);
/// Maximum size of a message received from another box, in bytes.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Channels to other boxes, one per address.
#[derive(Default)]
pub(crate) struct PeerClients {
    by_addr: HashMap<SocketAddr, PeerClient<Channel>>,
}

impl PeerClients {
    pub(crate) fn client(&mut self, addr: SocketAddr) -> PeerClient<Channel> {
        let new_client = || {
            let origin = format!("http://{addr}").parse().expect("an address makes a valid origin");
            PeerClient::with_origin(Channel::new(addr, CHANNEL_TIMEOUT), origin)
                .max_decoding_message_size(MAX_MESSAGE_BYTES)
        };
        self.by_addr.entry(addr).or_insert_with(new_client).clone()
    }
}

/// Makes one call within `limit`. Returns `None` on a timeout or an error, which is logged.
pub(crate) async fn call(mut client: PeerClient<Channel>, req: PeerRequest, limit: Duration) -> Option<PeerReply> {
    let expire = async {
        smol::Timer::after(limit.into()).await;
        Err(Status::deadline_exceeded("the peer did not respond in time"))
    };
    match futures_lite::FutureExt::or(send(&mut client, req), expire).await {
        Ok(reply) => Some(reply),
        Err(status) => {
            log::debug!("event=peer_call_failed why={status:?}");
            None
        }
    }
}

async fn send(client: &mut PeerClient<Channel>, req: PeerRequest) -> Result<PeerReply, Status> {
    match req {
        PeerRequest::Heartbeat { from, incarnation, revision, leaving } => {
            let m = wire::HeartbeatRequest {
                from: from.to_string(),
                incarnation: incarnation.0,
                revision: revision.0,
                leaving,
            };
            let m = client.heartbeat(Request::new(m)).await?.into_inner();
            Ok(PeerReply::Heartbeat {
                incarnation: Incarnation(m.incarnation),
                revision: Revision(m.revision),
                leaving: m.leaving,
            })
        }
        PeerRequest::Offer { from, incarnation, seq, full, added, removed } => {
            let m = wire::OfferRequest {
                from: from.to_string(),
                incarnation: incarnation.0,
                seq,
                full,
                added: added.iter().map(convert::queued_to_wire).collect(),
                removed: removed.iter().map(ToString::to_string).collect(),
            };
            let m = client.offer(Request::new(m)).await?.into_inner();
            Ok(PeerReply::Offered { need_full: m.need_full })
        }
        PeerRequest::Grant { starts, refusals } => {
            let m = wire::GrantRequest {
                starts: starts.iter().map(convert::start_to_wire).collect(),
                refusals: refusals.iter().map(convert::refusal_to_wire).collect(),
            };
            client.grant(Request::new(m)).await?;
            Ok(PeerReply::Granted)
        }
        PeerRequest::Lookup { customer, request, wait, ticket, pass_on } => {
            let m = wire::LookupRequest {
                customer: customer.to_string(),
                request: request.to_string(),
                wait_ms: wait.millis(),
                ticket: ticket.as_ref().map(ToString::to_string).unwrap_or_default(),
                pass_on,
            };
            job_reply(client.lookup(Request::new(m)).await?)
        }
        PeerRequest::Cancel { customer, request, pass_on } => {
            let m = wire::NameRequest { customer: customer.to_string(), request: request.to_string(), pass_on };
            job_reply(client.cancel(Request::new(m)).await?)
        }
        PeerRequest::Acknowledge { customer, request, pass_on } => {
            let m = wire::NameRequest { customer: customer.to_string(), request: request.to_string(), pass_on };
            job_reply(client.acknowledge(Request::new(m)).await?)
        }
        PeerRequest::Submit(submission) => {
            job_reply(client.submit(Request::new(convert::submission_to_wire(&submission))).await?)
        }
        PeerRequest::FetchConfiguration => {
            let m = client.fetch_configuration(Request::new(wire::FetchConfigurationRequest {})).await?.into_inner();
            let document = (!m.document.is_empty()).then(|| Arc::from(m.document));
            Ok(PeerReply::Configuration(document))
        }
    }
}

fn job_reply(res: tonic::Response<wire::JobReply>) -> Result<PeerReply, Status> {
    let answer = convert::answer_from_wire(&res.into_inner()).map_err(|e| Status::internal(e.to_string()))?;
    Ok(PeerReply::Job(answer))
}
