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

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    service::service_fn,
};
use serde::{Serialize, de::DeserializeOwned};
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::{BoxFuture, NetError, connect, within};

/// Longest body that is read, in bytes: the platform's values reach 1 MB, with room for framing.
pub const MAX_BODY: usize = 4 * 1024 * 1024;
/// Most idle connections kept per address.
const MAX_IDLE: usize = 8;
/// How long a connection may take to stand.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Most connections that a server holds open at once; more are closed on arrival.
pub const MAX_CONNECTIONS: usize = 4096;

type Sender = SendRequest<Full<Bytes>>;

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
        let mut sender = self.sender(addr).await?;
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", addr.to_string())
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|e| NetError::Unsent { why: e.to_string() })?;
        let reply = within(limit, async {
            let res = sender.send_request(req).await.map_err(lost)?;
            let status = res.status();
            let body = Limited::new(res.into_body(), MAX_BODY).collect().await.map_err(lost)?.to_bytes();
            Ok(Reply { status, body })
        })
        .await?;
        self.put_back(addr, sender);
        Ok(reply)
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

    async fn sender(&self, addr: SocketAddr) -> Result<Sender, NetError> {
        while let Some(mut sender) = self.take_idle(addr) {
            // A connection that the other side closed while idle is found out here and dropped.
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let unsent = |e: &dyn std::fmt::Display| NetError::Unsent { why: format!("{addr}: {e}") };
        let stream = within(CONNECT_LIMIT, async { connect(addr).await.map_err(|e| unsent(&e)) })
            .await
            .map_err(|e| unsent(&e))?;
        let (sender, conn) = http1::handshake(FuturesIo::new(stream)).await.map_err(|e| unsent(&e))?;
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
    let mut res = Response::new(Full::new(Bytes::from(body)));
    *res.status_mut() = status;
    res.headers_mut().insert("content-type", hyper::header::HeaderValue::from_static("application/json"));
    res
}

/// A response of plain text.
pub fn text_response(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(Bytes::from(text)));
    *res.status_mut() = status;
    res.headers_mut().insert("content-type", hyper::header::HeaderValue::from_static("text/plain; charset=utf-8"));
    res
}

/// Serves connections until the future is dropped, which also closes every connection.
pub async fn serve(listener: TcpListener, handler: Arc<dyn Handler>) {
    let open = AtomicUsize::new(0);
    let ex = smol::Executor::new();
    let accept = async {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // Out of descriptors, most likely: wait for some to be closed.
                smol::Timer::after(Duration::from_millis(50)).await;
                continue;
            };
            if open.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
                continue;
            }
            open.fetch_add(1, Ordering::Relaxed);
            ex.spawn(async {
                serve_connection(stream, &handler).await;
                open.fetch_sub(1, Ordering::Relaxed);
            })
            .detach();
        }
    };
    ex.run(accept).await
}

async fn serve_connection(stream: TcpStream, handler: &Arc<dyn Handler>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|req: Request<Incoming>| async move { answer(req, handler).await });
    // A connection that breaks ends here; the caller sees the break.
    let _ = hyper::server::conn::http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(Duration::from_secs(30))
        .serve_connection(FuturesIo::new(stream), service)
        .await;
}

async fn answer(req: Request<Incoming>, handler: &Arc<dyn Handler>) -> std::io::Result<Response<Full<Bytes>>> {
    let (parts, body) = req.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY).collect().await else {
        return Ok(text_response(StatusCode::PAYLOAD_TOO_LARGE, format!("a body may have {MAX_BODY} bytes\n")));
    };
    let call = Call {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        body: body.to_bytes(),
    };
    handler.handle(call).await.ok_or_else(|| std::io::Error::other("the handler closed the connection"))
}
