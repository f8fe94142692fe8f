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
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::{Body, Incoming},
    header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    service::service_fn,
};
use serde::{Serialize, de::DeserializeOwned};
use smol::net::TcpListener;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::{
    BoxFuture, NetError, Purpose,
    account::{Account, BodyError},
    guard::{Accepted, Guard, GuardLimits, Reason, Server},
    guarded_stream::GuardedStream,
    traffic::Counted,
};

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
/// Default time limit of receiving the body of a request: that of the longest body over a link of 2 Mbit/s, and more.
const BODY_LIMIT: Duration = Duration::from_secs(30);
/// Value of the `retry-after` header of a request that is refused for lack of room, in seconds.
const RETRY_AFTER_S: &str = "1";

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
    /// Returns the longest body that a request may have at present, in bytes.
    fn body_limit(&self) -> usize {
        MAX_BODY
    }

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
    /// Time limit of receiving the head of a request, which includes the time that the connection is idle before.
    pub head: Duration,
    /// Longest head of a request, in bytes; values below 8192 act as 8192.
    pub head_bytes: usize,
    /// Time limit of receiving the body of a request.
    pub body: Duration,
    /// Longest body of a request, in bytes; a longer one is answered with status 413. That of the handler applies too.
    pub body_bytes: usize,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits { head: HEAD_LIMIT, head_bytes: MAX_HEAD_BYTES, body: BODY_LIMIT, body_bytes: MAX_BODY }
    }
}

/// Serves connections with default limits until the future is dropped, which also closes every connection.
pub async fn serve(listener: TcpListener, handler: Arc<dyn Handler>, guard: Guard, server: Server) {
    let (_never, stop) = smol::channel::bounded(1);
    serve_until(listener, handler, guard, server, ServerLimits::default(), stop).await;
}

/// Serves connections of trusted clients as [`serve`] does, without a limit on the sum over them.
pub async fn serve_trusted(listener: TcpListener, handler: Arc<dyn Handler>) {
    serve(listener, handler, Guard::new(GuardLimits::NONE), Server::Metrics).await;
}

/// Serves connections until `stop` is closed, then stops gracefully: no more connections are accepted, each open one is
/// closed after its current request is answered, and the future completes when the last one has closed.
pub async fn serve_until(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    guard: Guard,
    server: Server,
    limits: ServerLimits,
    stop: smol::channel::Receiver<()>,
) {
    guard.limit_socket_buffers(&listener);
    let open = Arc::new(AtomicUsize::new(0));
    let ex = smol::Executor::new();
    let accept = async {
        loop {
            let accepted = guard.accept(&listener, server).await;
            open.fetch_add(1, Ordering::Relaxed);
            let (handler, stop, open) = (Arc::clone(&handler), stop.clone(), Arc::clone(&open));
            ex.spawn(async move {
                serve_connection(accepted, &handler, server.purpose(), limits, &stop).await;
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

/// How the service of a connection has stopped.
enum Stopped {
    Ended,
    Gracefully,
}

async fn serve_connection(
    accepted: Accepted,
    handler: &Arc<dyn Handler>,
    purpose: Purpose,
    limits: ServerLimits,
    stop: &smol::channel::Receiver<()>,
) {
    let Accepted { stream, account, evicted } = accepted;
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|req: Request<Incoming>| answer(req, &**handler, &account, limits));
    let stream = GuardedStream::new(Counted::new(stream, purpose), Arc::clone(&account));
    // With vectored writes, responses are not copied into a buffer that the connection keeps.
    let conn = hyper::server::conn::http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.head)
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .writev(true)
        .serve_connection(FuturesIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    let is_evicted = async || {
        let _ = evicted.recv().await;
        Stopped::Ended
    };
    let stopped = async {
        let _ = stop.recv().await;
        Stopped::Gracefully
    };
    let how = is_evicted().or(ended(conn.as_mut())).or(stopped).await;
    if let Stopped::Gracefully = how {
        conn.as_mut().graceful_shutdown();
        is_evicted().or(ended(conn)).await;
    }
}

/// Runs a connection to its end. An error means that it broke, which the caller detects too.
async fn ended(conn: impl Future) -> Stopped {
    let _ = conn.await;
    Stopped::Ended
}

/// Receives a request, passes it to the handler and returns the response. An error closes the connection.
async fn answer(
    req: Request<Incoming>,
    handler: &dyn Handler,
    account: &Account,
    limits: ServerLimits,
) -> std::io::Result<Response<Full<Bytes>>> {
    let (parts, body) = req.into_parts();
    let max_bytes = limits.body_bytes.min(handler.body_limit());
    if account.begin_body() {
        // Other connections have a turn before the next request of this one.
        futures_lite::future::yield_now().await;
    }
    match within(limits.body, receive(body, max_bytes, account)).await {
        Received::Whole => {}
        Received::TooLarge => return Ok(refusal(account, Reason::TooLarge, max_bytes)),
        Received::NoMemory => return Ok(refusal(account, Reason::Refused, max_bytes)),
        Received::Late => return Ok(refusal(account, Reason::Stalled, max_bytes)),
        Received::Broken => return Err(std::io::ErrorKind::UnexpectedEof.into()),
    }
    let Some(body) = account.process() else { return Ok(refusal(account, Reason::Refused, max_bytes)) };
    let call = Call {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers,
        body,
    };
    let response = handler.handle(call).await;
    let bytes = response.as_ref().and_then(|response| response.body().size_hint().exact()).unwrap_or_default();
    let may_send = account.respond(bytes as usize);
    let response = response.ok_or_else(|| std::io::Error::other("the handler closed the connection"))?;
    if !may_send {
        return Err(std::io::Error::other("there is no memory for the response"));
    }
    Ok(response)
}

/// Outcome of receiving a body.
enum Received {
    Whole,
    TooLarge,
    NoMemory,
    Late,
    /// The client closed the connection, or what it sent is not a body.
    Broken,
}

async fn within(limit: Duration, receive: impl Future<Output = Received>) -> Received {
    let expire = async {
        smol::Timer::after(limit).await;
        Received::Late
    };
    receive.or(expire).await
}

/// Receives a body into the account of its connection. One whose announced length is over the limit is not read.
async fn receive(mut body: Incoming, max_bytes: usize, account: &Account) -> Received {
    if body.size_hint().lower() > max_bytes as u64 {
        return Received::TooLarge;
    }
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return Received::Broken };
        let Some(piece) = frame.data_ref() else { continue };
        match account.extend_body(piece, max_bytes) {
            Ok(()) => {}
            Err(BodyError::TooLarge) => return Received::TooLarge,
            Err(BodyError::NoMemory) => return Received::NoMemory,
        }
    }
    Received::Whole
}

/// Creates the response to a request that is not passed to the handler, and so has no effect.
fn refusal(account: &Account, reason: Reason, max_bytes: usize) -> Response<Full<Bytes>> {
    account.refuse(reason);
    let (status, why) = match reason {
        Reason::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, format!("a body may have {max_bytes} bytes\n")),
        Reason::Stalled => (StatusCode::REQUEST_TIMEOUT, "the body did not arrive in time\n".to_owned()),
        Reason::Refused | Reason::Evicted => {
            (StatusCode::SERVICE_UNAVAILABLE, "too many requests are open; this one was not processed\n".to_owned())
        }
    };
    let mut response = text_response(status, why);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
    }
    account.respond(response.body().size_hint().exact().unwrap_or_default() as usize);
    response
}
