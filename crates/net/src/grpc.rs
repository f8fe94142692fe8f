//! gRPC between the system's own processes: `tonic`'s generated code over `hyper`'s HTTP/2.
//!
//! tonic's own transport needs another runtime; [`Channel`] stands in its place. It connects when
//! first used, connects again after a break, bounds the calls in flight, and ends each by a deadline.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use hyper::{Request, Response, body::Incoming, client::conn::http2::SendRequest};
use hyper_util::service::TowerToHyperService;
use smol::net::TcpListener;
use smol_hyper::rt::{FuturesIo, SmolExecutor, SmolTimer};
use tonic::{
    Status,
    body::Body,
    codegen::{Service, http},
};

use crate::{BoxFuture, Purpose, connect, traffic::Counted};

/// Most calls in flight to one peer; more are refused at once.
const MAX_IN_FLIGHT: usize = 256;
/// How long a connection may take to stand.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// A connection with calls under way that says nothing is tried this often.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// A connection that does not answer the try for this long is closed: one that has gone silent is found out within 2 s.
const KEEP_ALIVE_LIMIT: Duration = Duration::from_secs(1);

type Executor = SmolExecutor<GlobalSpawn>;

/// Spawns on `smol`'s global executor.
#[derive(Clone, Debug)]
pub struct GlobalSpawn;

impl AsRef<smol::Executor<'static>> for GlobalSpawn {
    fn as_ref(&self) -> &smol::Executor<'static> {
        static EX: std::sync::LazyLock<Arc<smol::Executor<'static>>> = std::sync::LazyLock::new(|| {
            let ex = Arc::new(smol::Executor::new());
            let run = Arc::clone(&ex);
            smol::spawn(async move { run.run(std::future::pending::<()>()).await }).detach();
            ex
        });
        &EX
    }
}

/// A connection to one peer, given to a generated client. Cheap to clone.
#[derive(Clone)]
pub struct Channel {
    addr: SocketAddr,
    limit: Duration,
    connection: Arc<Mutex<Connection>>,
    in_flight: Arc<AtomicUsize>,
}

/// The connection that calls are sent on.
#[derive(Default)]
struct Connection {
    sender: Option<SendRequest<Body>>,
    /// Counts the connections that were made.
    number: u64,
}

impl Connection {
    fn open(&self) -> Option<(SendRequest<Body>, u64)> {
        let sender = self.sender.as_ref().filter(|sender| !sender.is_closed())?;
        Some((sender.clone(), self.number))
    }
}

/// A call on a connection. Unless it is answered, the next call makes a new connection, also if the caller gives this one
/// up before its limit: a connection that has gone silent looks like a slow peer.
struct Trial<'a> {
    channel: &'a Channel,
    number: u64,
    answered: bool,
}

impl Drop for Trial<'_> {
    fn drop(&mut self) {
        let mut connection = self.channel.connection.lock().expect("no holder panics");
        if !self.answered && connection.number == self.number {
            connection.sender = None;
        }
    }
}

impl Channel {
    /// A channel to `addr` whose every call ends within `limit`.
    pub fn new(addr: SocketAddr, limit: Duration) -> Channel {
        Channel { addr, limit, connection: Arc::default(), in_flight: Arc::default() }
    }

    async fn send(self, req: Request<Body>) -> Result<Response<Incoming>, Status> {
        let Some(_guard) = InFlight::enter(&self.in_flight) else {
            return Err(Status::resource_exhausted("too many calls in flight to this peer"));
        };
        let expire = async {
            smol::Timer::after(self.limit).await;
            Err(Status::deadline_exceeded("the peer did not answer in time"))
        };
        let call = async {
            let (mut sender, number) = self.connected().await?;
            let mut trial = Trial { channel: &self, number, answered: false };
            let result = sender.send_request(req).await.map_err(|e| Status::unavailable(e.to_string()));
            trial.answered = result.is_ok();
            result
        };
        futures_lite::FutureExt::or(call, expire).await
    }

    /// A connection, and its number.
    async fn connected(&self) -> Result<(SendRequest<Body>, u64), Status> {
        if let Some(open) = self.connection.lock().expect("no holder panics").open() {
            return Ok(open);
        }
        let unavailable = |e: &dyn std::fmt::Display| Status::unavailable(format!("{}: {e}", self.addr));
        let expire = async {
            smol::Timer::after(CONNECT_LIMIT).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let stream = futures_lite::FutureExt::or(connect(self.addr), expire).await.map_err(|e| unavailable(&e))?;
        let (sender, conn) = hyper::client::conn::http2::Builder::new(Executor::new(GlobalSpawn))
            .timer(SmolTimer::new())
            .keep_alive_interval(KEEP_ALIVE)
            .keep_alive_timeout(KEEP_ALIVE_LIMIT)
            .handshake(FuturesIo::new(Counted::new(stream, Purpose::Boxes)))
            .await
            .map_err(|e| unavailable(&e))?;
        smol::spawn(async move {
            // The error of a broken connection reaches the caller through its sender.
            let _ = conn.await;
        })
        .detach();
        let mut known = self.connection.lock().expect("no holder panics");
        known.number += 1;
        known.sender = Some(sender.clone());
        Ok((sender, known.number))
    }
}

struct InFlight<'a>(&'a AtomicUsize);

impl InFlight<'_> {
    fn enter(count: &AtomicUsize) -> Option<InFlight<'_>> {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_IN_FLIGHT {
            count.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        Some(InFlight(count))
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Service<http::Request<Body>> for Channel {
    type Response = http::Response<Incoming>;
    type Error = Status;
    type Future = BoxFuture<'static, Result<Self::Response, Status>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Status>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: http::Request<Body>) -> Self::Future {
        Box::pin(self.clone().send(req))
    }
}

/// Serves one generated service until the future is dropped.
pub async fn serve<S>(listener: TcpListener, service: S)
where
    S: Service<http::Request<Incoming>, Response = http::Response<Body>, Error = std::convert::Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send + 'static,
{
    let ex = smol::Executor::new();
    let accept = async {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                smol::Timer::after(Duration::from_millis(50)).await;
                continue;
            };
            if stream.set_nodelay(true).is_err() {
                continue;
            }
            let service = TowerToHyperService::new(service.clone());
            let conn = hyper::server::conn::http2::Builder::new(Executor::new(GlobalSpawn))
                .timer(SmolTimer::new())
                .keep_alive_interval(KEEP_ALIVE)
                .keep_alive_timeout(KEEP_ALIVE_LIMIT)
                .serve_connection(FuturesIo::new(Counted::new(stream, Purpose::Boxes)), service);
            ex.spawn(async move {
                // A connection that breaks ends here; the peer sees the break.
                let _ = conn.await;
            })
            .detach();
        }
    };
    ex.run(accept).await
}
