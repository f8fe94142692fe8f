//! HTTP/1: a client that reuses connections, and a server that answers from a handler.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    header::{CONTENT_TYPE, HOST, HeaderValue},
    service::service_fn,
};
use serde::{Serialize, de::DeserializeOwned};
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::{BoxFuture, NetError, connect, within};

/// Longest body that is read, in bytes: the platform's values reach 1 MB, with room for framing.
pub const MAX_BODY: usize = 4 * 1024 * 1024;
/// `hyper` takes no smaller buffer for the head of a request, in bytes.
const MIN_HEAD_BUFFER: usize = 8192;
/// Most idle connections kept per address.
const MAX_IDLE: usize = 8;
/// How long a connection may take to stand.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// How long the head of a request may take to arrive, unless a server says otherwise. It is long, since it also
/// bounds how long a connection may stand idle.
const HEAD_LIMIT: Duration = Duration::from_secs(30);
/// Longest head of a request in bytes, unless a server says otherwise: well above what our callers send.
const MAX_HEAD: usize = 64 * 1024;
/// A server that is stopping looks this often whether its last connection has closed.
const LOOK_EVERY: Duration = Duration::from_millis(10);
/// Pause after a connection could not be taken: time for some descriptors to be freed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Most connections that a server holds open at once; more are closed on arrival.
pub const MAX_CONNECTIONS: usize = 4096;

/// The content type of JSON.
const JSON: HeaderValue = HeaderValue::from_static("application/json");

type Sender = SendRequest<Full<Bytes>>;

/// How long a call that reads may take. A large reply over a slow link takes long and is no fault; a link that has
/// stopped carrying is one.
#[derive(Debug, Clone, Copy)]
pub struct ReadLimits {
    /// Connecting, sending, and the head of the reply.
    pub head: Duration,
    /// From one piece of the reply's body to the next.
    pub silence: Duration,
}

/// What a call brought back.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status code.
    pub status: StatusCode,
    /// The whole body.
    pub body: Bytes,
}

impl Reply {
    /// Reads the body as JSON; the error names what is wrong.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, NetError> {
        serde_json::from_slice(&self.body)
            .map_err(|e| NetError::Lost { why: format!("status {}, body is not as agreed: {e}", self.status) })
    }
}

/// A client that keeps idle connections by address. Cheap to clone.
#[derive(Clone, Default)]
pub struct Client {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>,
}

impl Client {
    /// Sends one request and reads the whole reply.
    ///
    /// `limit` covers connecting, sending and reading.
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
    /// A connection whose reply did not come in time is closed: nothing more is to be expected of it.
    pub async fn send(&self, addr: SocketAddr, req: Request<Bytes>, limit: Duration) -> Result<Reply, NetError> {
        self.send_as(addr, &addr.to_string(), req, limit).await
    }

    /// Sends one request that names `host`, as [`Client::send`] does.
    pub async fn send_as(
        &self,
        addr: SocketAddr,
        host: &str,
        req: Request<Bytes>,
        limit: Duration,
    ) -> Result<Reply, NetError> {
        let begun = std::time::Instant::now();
        let connecting = within(limit, self.sender(addr)).await;
        let mut sender = connecting.map_err(not_connected)?;
        let req = addressed(req, host)?;
        let reply = within(limit.saturating_sub(begun.elapsed()), async {
            let res = sender.send_request(req).await.map_err(unsent_or_lost)?;
            let status = res.status();
            let body = Limited::new(res.into_body(), MAX_BODY).collect().await.map_err(lost)?.to_bytes();
            Ok(Reply { status, body })
        })
        .await;
        self.after_call(addr, sender, reply)
    }

    /// Sends one request without a body, and reads a reply of any size for as long as it keeps coming.
    pub async fn read(&self, addr: SocketAddr, path: &str, limits: ReadLimits) -> Result<Reply, NetError> {
        let begun = std::time::Instant::now();
        let mut sender = within(limits.head, self.sender(addr)).await.map_err(not_connected)?;
        let req = Request::builder().method(Method::GET).uri(path).body(Bytes::new());
        let req = addressed(req.map_err(|e| NetError::Unsent { why: e.to_string() })?, &addr.to_string())?;
        let head_left = limits.head.saturating_sub(begun.elapsed());
        let reply = async {
            let res = within(head_left, async { sender.send_request(req).await.map_err(unsent_or_lost) }).await?;
            let status = res.status();
            let body = read_while_it_comes(res.into_body(), limits.silence).await?;
            Ok(Reply { status, body })
        }
        .await;
        self.after_call(addr, sender, reply)
    }

    /// Closes the idle connections to an address.
    pub fn forget(&self, addr: SocketAddr) {
        self.idle.lock().expect("no holder panics").remove(&addr);
    }

    /// Posts a JSON value and reads a JSON value, whatever the status.
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

    /// Keeps a connection that has answered. After a call without an answer, all idle ones to the address are closed:
    /// what made this one silent may have silenced those that stood at the time as well, and each would cost a call its
    /// whole limit. Of four that have gone silent, the next call is answered after 0.8 s in place of 3.2 s.
    fn after_call(&self, addr: SocketAddr, sender: Sender, reply: Result<Reply, NetError>) -> Result<Reply, NetError> {
        match &reply {
            Ok(_) => self.put_back(addr, sender),
            Err(NetError::Lost { .. }) => self.forget(addr),
            Err(NetError::Unsent { .. } | NetError::Refused { .. }) => {}
        }
        reply
    }

    async fn sender(&self, addr: SocketAddr) -> Result<Sender, NetError> {
        while let Some(mut sender) = self.take_idle(addr) {
            // A connection that the other side closed while idle is found out here and dropped.
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = within(CONNECT_LIMIT, async { connect(addr).await.map_err(|e| connect_error(addr, &e)) })
            .await
            .map_err(not_connected)?;
        let handshake = http1::handshake(FuturesIo::new(stream)).await;
        let (sender, conn) = handshake.map_err(|e| NetError::Unsent { why: format!("{addr}: {e}") })?;
        smol::spawn(async move {
            // The error of a broken connection reaches the caller through its sender.
            let _ = conn.await;
        })
        .detach();
        Ok(sender)
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Sender> {
        self.idle.lock().expect("no holder panics").get_mut(&addr)?.pop()
    }

    fn put_back(&self, addr: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock().expect("no holder panics");
        let senders = idle.entry(addr).or_default();
        if senders.len() < MAX_IDLE {
            senders.push(sender);
        }
    }
}

/// Reads a body of at most [`MAX_BODY`], each piece of which comes within `silence` of the one before.
async fn read_while_it_comes(body: Incoming, silence: Duration) -> Result<Bytes, NetError> {
    let mut body = Limited::new(body, MAX_BODY);
    let mut read = BytesMut::new();
    while let Some(frame) = within(silence, async { body.frame().await.transpose().map_err(lost) }).await? {
        if let Ok(data) = frame.into_data() {
            read.extend_from_slice(&data);
        }
    }
    Ok(read.freeze())
}

/// Adds the headers that every request bears.
fn addressed(req: Request<Bytes>, host: &str) -> Result<Request<Full<Bytes>>, NetError> {
    let host = HeaderValue::from_str(host).map_err(|e| NetError::Unsent { why: e.to_string() })?;
    let mut req = req.map(Full::new);
    req.headers_mut().insert(HOST, host);
    req.headers_mut().insert(CONTENT_TYPE, JSON);
    Ok(req)
}

fn connect_error(addr: SocketAddr, e: &std::io::Error) -> NetError {
    let why = format!("{addr}: {e}");
    if e.kind() == std::io::ErrorKind::ConnectionRefused { NetError::Refused { why } } else { NetError::Unsent { why } }
}

/// Whatever kept a connection from being made, the request did not leave.
fn not_connected(e: NetError) -> NetError {
    match e {
        NetError::Lost { why } => NetError::Unsent { why },
        other => other,
    }
}

/// A request that `hyper` gave back was never written.
fn unsent_or_lost(e: hyper::Error) -> NetError {
    if e.is_canceled() { NetError::Unsent { why: e.to_string() } } else { lost(e) }
}

fn lost(e: impl std::fmt::Display) -> NetError {
    NetError::Lost { why: e.to_string() }
}

/// A request whose body has been read.
#[derive(Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path without the query.
    pub path: String,
    /// The query, without `?`; empty if there is none.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; `None` closes the connection without a reply.
    fn handle(&self, call: Call) -> BoxFuture<'_, Option<Response<Full<Bytes>>>>;
}

/// A JSON response.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).expect("our own types always serialize");
    response(status, JSON, body.into())
}

/// A response of plain text.
pub fn text_response(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    response(status, HeaderValue::from_static("text/plain; charset=utf-8"), text.into())
}

fn response(status: StatusCode, content_type: HeaderValue, body: Bytes) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(body));
    *res.status_mut() = status;
    res.headers_mut().insert(CONTENT_TYPE, content_type);
    res
}

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Connections held open at once; more are closed on arrival.
    pub connections: usize,
    /// How long the head of a request may take to arrive, also on an idle connection.
    pub head: Duration,
    /// Longest head, in bytes.
    pub head_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits { connections: MAX_CONNECTIONS, head: HEAD_LIMIT, head_bytes: MAX_HEAD, body_bytes: MAX_BODY }
    }
}

/// Serves connections until the future is dropped, which also closes every connection.
pub async fn serve(listener: TcpListener, handler: Arc<dyn Handler>) {
    let (_never, stop) = smol::channel::bounded(1);
    serve_until(listener, handler, ServerLimits::default(), stop).await;
}

/// Serves connections until `stop` is closed; then no more are taken, each is closed once its request is
/// answered, and the future ends with the last of them.
pub async fn serve_until(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    limits: ServerLimits,
    stop: smol::channel::Receiver<()>,
) {
    let open = Arc::new(AtomicUsize::new(0));
    let ex = smol::Executor::new();
    let accept = async {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // Out of descriptors, most likely: wait for some to be closed.
                smol::Timer::after(ACCEPT_PAUSE).await;
                continue;
            };
            if open.load(Ordering::Relaxed) >= limits.connections {
                continue;
            }
            open.fetch_add(1, Ordering::Relaxed);
            let (handler, stop, open) = (Arc::clone(&handler), stop.clone(), Arc::clone(&open));
            ex.spawn(async move {
                serve_connection(stream, &handler, limits, &stop).await;
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
    let emptied = async {
        while open.load(Ordering::Relaxed) > 0 {
            smol::Timer::after(LOOK_EVERY).await;
        }
    };
    ex.run(emptied).await;
}

async fn serve_connection(
    stream: TcpStream,
    handler: &Arc<dyn Handler>,
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
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BUFFER))
        .serve_connection(FuturesIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    // A connection that breaks ends here; the caller sees the break.
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
    most: usize,
) -> std::io::Result<Response<Full<Bytes>>> {
    let (parts, body) = req.into_parts();
    let Ok(body) = Limited::new(body, most).collect().await else {
        return Ok(text_response(StatusCode::PAYLOAD_TOO_LARGE, format!("a body may have {most} bytes\n")));
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
