//! HTTP/1 client that reuses connections, and HTTP/1 server that passes requests to a handler.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
    service::service_fn,
};
use serde::{Serialize, de::DeserializeOwned};
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::{BoxFuture, NetError, Purpose, traffic::Counted};

pub use crate::connection::{Connection, ReadLimits, Reply};

/// Longest body that is read, in bytes. Values of the platform are up to 1 MB long, and their encoding adds to that.
pub const MAX_BODY: usize = 4 * 1024 * 1024;
/// Smallest buffer for the head of a request that `hyper` accepts, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8192;
/// Most idle connections that a client keeps for each address.
const MAX_IDLE: usize = 8;
/// Default time limit of receiving the head of a request. It is long because it also limits how long a connection may
/// be idle.
const HEAD_LIMIT: Duration = Duration::from_secs(30);
/// Default length limit of the head of a request, in bytes: well above what callers send.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Interval at which a stopping server checks whether its last connection has closed.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay after a failed accept, which gives time for file descriptors to be freed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Default limit of the connections that a server has open at the same time; further ones are closed on arrival.
pub const MAX_CONNECTIONS: usize = 4096;

/// Content type of JSON.
pub(crate) const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Client that keeps idle connections for each address. Cheap to clone; clones share the connections.
#[derive(Clone, Default)]
pub struct Client {
    purpose: Purpose,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>,
}

impl Client {
    /// Creates a client whose traffic is counted under `purpose`.
    pub fn new(purpose: Purpose) -> Client {
        Client { purpose, ..Client::default() }
    }

    /// Sends one request and reads the whole reply.
    ///
    /// `limit` applies to connecting, sending and reading together.
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Reply, NetError> {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .body(body)
            .map_err(|e| NetError::Unsent { why: e.to_string() })?;
        self.send(addr, req, limit).await
    }

    /// Sends one request with its own headers and reads the whole reply, as [`Client::call`] does.
    ///
    /// A connection without a reply in time is closed, since later calls on it are unlikely to receive one either.
    pub async fn send(&self, addr: SocketAddr, req: Request<Bytes>, limit: Duration) -> Result<Reply, NetError> {
        self.send_as(addr, &addr.to_string(), req, limit).await
    }

    /// Sends one request as [`Client::send`] does, with `host` as its `Host` header.
    pub async fn send_as(
        &self,
        addr: SocketAddr,
        host: &str,
        req: Request<Bytes>,
        limit: Duration,
    ) -> Result<Reply, NetError> {
        let started = std::time::Instant::now();
        let mut connection = self.connection(addr, limit).await?;
        let reply = connection.send_as(host, req, limit.saturating_sub(started.elapsed())).await;
        self.finish_call(addr, connection, reply)
    }

    /// Sends one `GET` request and reads the reply, of at most [`MAX_BODY`], for as long as data keeps arriving.
    pub async fn read(&self, addr: SocketAddr, path: &str, limits: ReadLimits) -> Result<Reply, NetError> {
        let started = std::time::Instant::now();
        let mut connection = self.connection(addr, limits.head).await?;
        let head = limits.head.saturating_sub(started.elapsed());
        let reply = connection.read(path, ReadLimits { head, ..limits }).await;
        self.finish_call(addr, connection, reply)
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.lock().expect("no holder panics").remove(&addr);
    }

    /// Posts a JSON value and parses the reply as JSON, whatever its status.
    pub async fn post_json<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &impl Serialize,
        limit: Duration,
    ) -> Result<T, NetError> {
        let body = serde_json::to_vec(value).map_err(|e| NetError::Unsent { why: e.to_string() })?;
        self.call(addr, Method::POST, path, body.into(), limit).await?.json()
    }

    /// Keeps the connection of a call that received a reply. After a call without a reply, closes all idle connections
    /// to the address: the same fault may have made them unresponsive, and each would delay a call by its whole limit.
    fn finish_call(
        &self,
        addr: SocketAddr,
        connection: Connection,
        reply: Result<Reply, NetError>,
    ) -> Result<Reply, NetError> {
        match &reply {
            Ok(_) => self.put_back(addr, connection),
            Err(NetError::Lost { .. }) => self.close_idle(addr),
            Err(NetError::Unsent { .. } | NetError::Refused { .. }) => {}
        }
        reply
    }

    async fn connection(&self, addr: SocketAddr, limit: Duration) -> Result<Connection, NetError> {
        while let Some(mut connection) = self.take_idle(addr) {
            // Drops connections that the peer closed while they were idle.
            if connection.is_open().await {
                return Ok(connection);
            }
        }
        Connection::open_within(addr, self.purpose, limit).await
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Connection> {
        self.idle.lock().expect("no holder panics").get_mut(&addr)?.pop()
    }

    fn put_back(&self, addr: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().expect("no holder panics");
        let connections = idle.entry(addr).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(connection);
        }
    }
}

/// Request whose body has been read.
#[derive(Debug)]
pub struct Call {
    /// Method of the request.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without `?`; empty if there is none.
    pub query: String,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Handler of the requests that a server receives.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to a request; `None` closes the connection without a response.
    fn handle(&self, call: Call) -> BoxFuture<'_, Option<Response<Full<Bytes>>>>;
}

/// Creates a response with `value` as JSON.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).expect("our own types always serialize");
    response(status, JSON, body.into())
}

/// Creates a response of plain text in UTF-8.
pub fn text_response(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    response(status, HeaderValue::from_static("text/plain; charset=utf-8"), text.into())
}

fn response(status: StatusCode, content_type: HeaderValue, body: Bytes) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(body));
    *res.status_mut() = status;
    res.headers_mut().insert(CONTENT_TYPE, content_type);
    res
}

/// Limits of an HTTP server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Most connections open at the same time; further ones are closed on arrival.
    pub connections: usize,
    /// Time limit of receiving the head of a request, which includes the time that the connection is idle before.
    pub head: Duration,
    /// Longest head of a request, in bytes; values below 8192 act as 8192.
    pub head_bytes: usize,
    /// Longest body of a request, in bytes; a longer one is answered with status 413.
    pub body_bytes: usize,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits {
            connections: MAX_CONNECTIONS,
            head: HEAD_LIMIT,
            head_bytes: MAX_HEAD_BYTES,
            body_bytes: MAX_BODY,
        }
    }
}

/// Serves connections with default limits until the future is dropped, which also closes every connection.
pub async fn serve(listener: TcpListener, handler: Arc<dyn Handler>) {
    let (_never, stop) = smol::channel::bounded(1);
    serve_until(listener, handler, Purpose::Other, ServerLimits::default(), stop).await;
}

/// Serves connections until `stop` is closed, then stops gracefully: no more connections are accepted, each open one is
/// closed after its current request is answered, and the future completes when the last one has closed.
pub async fn serve_until(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    purpose: Purpose,
    limits: ServerLimits,
    stop: smol::channel::Receiver<()>,
) {
    let open = Arc::new(AtomicUsize::new(0));
    let ex = smol::Executor::new();
    let accept = async {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // Most likely no file descriptors are left: wait until some are closed.
                smol::Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if open.load(Ordering::Relaxed) >= limits.connections {
                continue;
            }
            open.fetch_add(1, Ordering::Relaxed);
            let (handler, stop, open) = (Arc::clone(&handler), stop.clone(), Arc::clone(&open));
            ex.spawn(async move {
                serve_connection(stream, &handler, purpose, limits, &stop).await;
                open.fetch_sub(1, Ordering::Relaxed);
            })
            .detach();
        }
    };
    let stopped = async {
        let _ = stop.recv().await;
    };
    ex.run(accept.or(stopped)).await;
    drop(listener);
    let all_closed = async {
        while open.load(Ordering::Relaxed) > 0 {
            smol::Timer::after(STOP_POLL_INTERVAL).await;
        }
    };
    ex.run(all_closed).await;
}

async fn serve_connection(
    stream: TcpStream,
    handler: &Arc<dyn Handler>,
    purpose: Purpose,
    limits: ServerLimits,
    stop: &smol::channel::Receiver<()>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|req: Request<Incoming>| async move { answer(req, handler, limits.body_bytes).await });
    let conn = hyper::server::conn::http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.head)
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(FuturesIo::new(Counted::new(stream, purpose)), service);
    let mut conn = std::pin::pin!(conn);
    // An error here means that the connection broke, which the caller detects too.
    let ended = async {
        let _ = conn.as_mut().await;
        true
    };
    let stopped = async {
        let _ = stop.recv().await;
        false
    };
    if !ended.or(stopped).await {
        conn.as_mut().graceful_shutdown();
        let _ = conn.await;
    }
}

async fn answer(
    req: Request<Incoming>,
    handler: &Arc<dyn Handler>,
    max_body_bytes: usize,
) -> std::io::Result<Response<Full<Bytes>>> {
    let (parts, body) = req.into_parts();
    let Ok(body) = Limited::new(body, max_body_bytes).collect().await else {
        return Ok(text_response(StatusCode::PAYLOAD_TOO_LARGE, format!("a body may have {max_body_bytes} bytes\n")));
    };
    let call = Call {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers,
        body: body.to_bytes(),
    };
    handler.handle(call).await.ok_or_else(|| std::io::Error::other("the handler closed the connection"))
}
