//! gRPC service for calls from other boxes.

use entry::{PeerReply, PeerRequest};
use smol::channel::Sender;
use tonic::{Request, Response, Status};
use wire::peer_server::Peer;

use crate::{
    convert::{self, ConvertError},
    host::Event,
};

/// Forwards each call to the entry box and waits for its reply.
#[derive(Clone)]
pub(crate) struct PeerService {
    pub(crate) events: Sender<Event>,
}

impl PeerService {
    async fn request(&self, req: Result<PeerRequest, ConvertError>) -> Result<PeerReply, Status> {
        let req = req?;
        let (tx, rx) = smol::channel::bounded(1);
        let closed = |_| Status::unavailable("the box is going");
        self.events.send(Event::Peer(req, tx)).await.map_err(|_| Status::unavailable("the box is going"))?;
        rx.recv().await.map_err(closed)
    }

    async fn request_job(&self, req: Result<PeerRequest, ConvertError>) -> Result<Response<wire::JobReply>, Status> {
        match self.request(req).await? {
            PeerReply::Job(answer) => Ok(Response::new(convert::answer_to_wire(&answer))),
            _ => Err(unexpected_reply()),
        }
    }
}

fn unexpected_reply() -> Status {
    Status::internal("the box gave a reply to another question")
}

fn name(m: wire::NameRequest) -> Result<(model::CustomerId, model::RequestId, bool), ConvertError> {
    Ok((m.customer.parse()?, m.request.parse()?, m.pass_on))
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn heartbeat(&self, req: Request<wire::HeartbeatRequest>) -> Result<Response<wire::HeartbeatReply>, Status> {
        match self.request(convert::heartbeat_from_wire(req.into_inner())).await? {
            PeerReply::Heartbeat { incarnation, revision, leaving } => {
                Ok(Response::new(wire::HeartbeatReply { incarnation: incarnation.0, revision: revision.0, leaving }))
            }
            _ => Err(unexpected_reply()),
        }
    }

    async fn offer(&self, req: Request<wire::OfferRequest>) -> Result<Response<wire::OfferReply>, Status> {
        match self.request(convert::offer_from_wire(req.into_inner())).await? {
            PeerReply::Offered { need_full } => Ok(Response::new(wire::OfferReply { need_full })),
            _ => Err(unexpected_reply()),
        }
    }

    async fn grant(&self, req: Request<wire::GrantRequest>) -> Result<Response<wire::GrantReply>, Status> {
        self.request(convert::grant_from_wire(req.into_inner())).await?;
        Ok(Response::new(wire::GrantReply {}))
    }

    async fn lookup(&self, req: Request<wire::LookupRequest>) -> Result<Response<wire::JobReply>, Status> {
        self.request_job(convert::lookup_from_wire(req.into_inner())).await
    }

    async fn cancel(&self, req: Request<wire::NameRequest>) -> Result<Response<wire::JobReply>, Status> {
        let name = name(req.into_inner());
        self.request_job(name.map(|(customer, request, pass_on)| PeerRequest::Cancel { customer, request, pass_on }))
            .await
    }

    async fn acknowledge(&self, req: Request<wire::NameRequest>) -> Result<Response<wire::JobReply>, Status> {
        let name = name(req.into_inner());
        self.request_job(name.map(|(customer, request, pass_on)| PeerRequest::Acknowledge {
            customer,
            request,
            pass_on,
        }))
        .await
    }

    async fn submit(&self, req: Request<wire::SubmitRequest>) -> Result<Response<wire::JobReply>, Status> {
        self.request_job(convert::submission_from_wire(req.into_inner())).await
    }

    async fn fetch_configuration(
        &self,
        _: Request<wire::FetchConfigurationRequest>,
    ) -> Result<Response<wire::FetchConfigurationReply>, Status> {
        match self.request(Ok(PeerRequest::FetchConfiguration)).await? {
            PeerReply::Configuration(document) => {
                let document = document.map(|text| text.to_string()).unwrap_or_default();
                Ok(Response::new(wire::FetchConfigurationReply { document }))
            }
            _ => Err(unexpected_reply()),
        }
    }
}
