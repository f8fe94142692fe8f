//! Server of generated gRPC services, whose connections and streams are guarded.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures_lite::{FutureExt, ready};
use hyper::body::{Frame, Incoming, SizeHint};
use hyper_util::service::TowerToHyperService;
use smol::{Timer, net::TcpListener};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use tonic::{
    Status,
    body::Body,
    codegen::{Service, http},
};

use crate::{
    BoxFuture,
    account::Account,
    grpc::{Executor, GlobalSpawn, KEEP_ALIVE_INTERVAL, KEEP_ALIVE_TIMEOUT, MAX_IN_FLIGHT},
    guard::{Accepted, Guard, Reason, Server},
    guarded_stream::GuardedStream,
    stream_account::StreamAccount,
    traffic::Counted,
};

/// Most bytes that a client may send on a stream before they are read.
const STREAM_WINDOW_BYTES: u32 = 64 * 1024;
/// Most bytes that a client may send on a connection before they are read.
const CONNECTION_WINDOW_BYTES: u32 = 128 * 1024;
/// Longest headers of a request, in bytes.
const MAX_HEADER_BYTES: u32 = 16 * 1024;
/// Time limit of receiving a request.
const REQUEST_LIMIT: Duration = Duration::from_secs(30);

/// Serves a generated service until the future is dropped, which also closes every connection.
pub async fn serve<S>(listener: TcpListener, service: S, guard: Guard)
where
    S: Service<http::Request<GuardedBody>, Response = http::Response<Body>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send + 'static,
{
    guard.limit_socket_buffers(&listener);
    let ex = smol::Executor::new();
    let accept = async {
        loop {
            let Accepted { stream, account, evicted } = guard.accept(&listener, Server::Peers).await;
            if stream.set_nodelay(true).is_err() {
                continue;
            }
            account.use_streams();
            let service = Guarded { service: service.clone(), account: Arc::clone(&account) };
            let stream = GuardedStream::new(Counted::new(stream, Server::Peers.purpose()), account);
            let conn = hyper::server::conn::http2::Builder::new(Executor::new(GlobalSpawn))
                .timer(SmolTimer::new())
                .keep_alive_interval(KEEP_ALIVE_INTERVAL)
                .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
                .initial_stream_window_size(STREAM_WINDOW_BYTES)
                .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
                .max_concurrent_streams(MAX_IN_FLIGHT as u32)
                .max_header_list_size(MAX_HEADER_BYTES)
                .serve_connection(FuturesIo::new(stream), TowerToHyperService::new(service));
            ex.spawn(async move {
                let ended = async {
                    // An error here means that the connection broke, which the peer detects too.
                    let _ = conn.await;
                };
                let evicted = async {
                    let _ = evicted.recv().await;
                };
                evicted.or(ended).await;
            })
            .detach();
        }
    };
    ex.run(accept).await
}

/// Service that takes account of its requests and responses.
#[derive(Clone)]
struct Guarded<S> {
    service: S,
    account: Arc<Account>,
}

impl<S> Service<http::Request<Incoming>> for Guarded<S>
where
    S: Service<http::Request<GuardedBody>, Response = http::Response<Body>, Error = Infallible>,
    S::Future: Send + 'static,
{
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        self.service.poll_ready(cx)
    }

    fn call(&mut self, req: http::Request<Incoming>) -> Self::Future {
        let Some(stream) = StreamAccount::open(&self.account) else {
            self.account.refuse(Reason::Refused);
            return Box::pin(async { Ok(no_room().into_http()) });
        };
        let stream = Arc::new(std::sync::Mutex::new(stream));
        let limit = Timer::after(REQUEST_LIMIT);
        let req = req.map(|body| GuardedBody { body, stream: Arc::clone(&stream), limit });
        let response = self.service.call(req);
        Box::pin(async move {
            let response = response.await?;
            Ok(response.map(|body| Body::new(QueuedBody { body, stream })))
        })
    }
}

fn no_room() -> Status {
    Status::resource_exhausted("too many requests are open; this one was not processed")
}

type SharedStream = Arc<std::sync::Mutex<StreamAccount>>;

/// Body of a request, whose memory is taken account of.
pub struct GuardedBody {
    body: Incoming,
    stream: SharedStream,
    limit: Timer,
}

impl hyper::body::Body for GuardedBody {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
            ready!(Pin::new(&mut self.limit).poll(cx));
            return Poll::Ready(Some(Err(Status::deadline_exceeded("the request did not arrive in time"))));
        };
        let mut stream = self.stream.lock().expect("no holder panics");
        let granted = match &frame {
            Some(Ok(frame)) => stream.receive(frame.data_ref().map_or(0, Bytes::len)),
            Some(Err(_)) => true,
            None => stream.process(),
        };
        if !granted {
            return Poll::Ready(Some(Err(no_room())));
        }
        Poll::Ready(frame.map(|frame| frame.map_err(|e| Status::unavailable(e.to_string()))))
    }

    fn is_end_stream(&self) -> bool {
        // The end is only known to whoever polls for it, which begins the processing.
        false
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Body of a response, whose memory is taken account of until it is sent.
struct QueuedBody {
    body: Body,
    stream: SharedStream,
}

impl hyper::body::Body for QueuedBody {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame
            && let Some(data) = frame.data_ref()
            && !self.stream.lock().expect("no holder panics").send(data.len())
        {
            return Poll::Ready(Some(Err(Status::unavailable("there is no memory for the response"))));
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
