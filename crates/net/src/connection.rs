//! HTTP/1 client connection and the calls on it.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, StatusCode,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    header::{CONTENT_TYPE, HOST, HeaderValue},
};
use serde::de::DeserializeOwned;
use smol_hyper::rt::FuturesIo;

use crate::{
    NetError, Purpose, connect,
    http::{JSON, MAX_BODY},
    traffic::Counted,
    within,
};

/// Time limit of establishing a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Time limits of a call that reads a large reply. The total time isn't limited, since a large reply over a slow link
/// takes long without a fault; a link that has stopped transferring data is detected by `silence`.
#[derive(Debug, Clone, Copy)]
pub struct ReadLimits {
    /// Limit for connecting, sending the request and receiving the head of the reply.
    pub head: Duration,
    /// Limit between two pieces of the reply's body.
    pub silence: Duration,
}

/// Reply to a call.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// Whole body.
    pub body: Bytes,
}

impl Reply {
    /// Parses the body as JSON. Returns [`NetError::Lost`] if it isn't valid: the request may have taken effect.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, NetError> {
        serde_json::from_slice(&self.body)
            .map_err(|e| NetError::Lost { why: format!("status {}, invalid body: {e}", self.status) })
    }
}

/// HTTP/1 connection. All its calls reach the process that accepted it.
///
/// A connection on which a call received no reply must be dropped, since later calls on it are unlikely to receive one
/// either.
pub struct Connection {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Connects to `addr` within one second.
    pub async fn open(addr: SocketAddr, purpose: Purpose) -> Result<Connection, NetError> {
        let stream = within(CONNECT_LIMIT, async { connect(addr).await.map_err(|e| connect_error(addr, &e)) })
            .await
            .map_err(to_unsent)?;
        let handshake = http1::handshake(FuturesIo::new(Counted::new(stream, purpose))).await;
        let (sender, conn) = handshake.map_err(|e| NetError::Unsent { why: format!("{addr}: {e}") })?;
        smol::spawn(async move {
            // The caller receives the error of a broken connection through its sender.
            let _ = conn.await;
        })
        .detach();
        Ok(Connection { addr, sender })
    }

    /// Connects as [`Connection::open`] does, and also within `limit`.
    pub async fn open_within(addr: SocketAddr, purpose: Purpose, limit: Duration) -> Result<Connection, NetError> {
        within(limit, Connection::open(addr, purpose)).await.map_err(to_unsent)
    }

    /// Returns whether the connection is open, as far as is known: whether no close by the peer has been received.
    pub async fn is_open(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends one request and reads the whole reply, of at most [`MAX_BODY`], within `limit`.
    pub async fn send(&mut self, req: Request<Bytes>, limit: Duration) -> Result<Reply, NetError> {
        let host = self.addr.to_string();
        self.send_as(&host, req, limit).await
    }

    /// Sends one request as [`Connection::send`] does, with `host` as its `Host` header.
    pub async fn send_as(&mut self, host: &str, req: Request<Bytes>, limit: Duration) -> Result<Reply, NetError> {
        let req = with_headers(req, host)?;
        within(limit, async {
            // The reply to the previous call may have been received before the connection is ready for another one.
            self.sender.ready().await.map_err(|e| NetError::Unsent { why: e.to_string() })?;
            let res = self.sender.send_request(req).await.map_err(unsent_or_lost)?;
            let status = res.status();
            let body = Limited::new(res.into_body(), MAX_BODY).collect().await.map_err(lost)?.to_bytes();
            Ok(Reply { status, body })
        })
        .await
    }

    /// Sends one `GET` request and reads the reply, of at most [`MAX_BODY`], for as long as data keeps arriving.
    pub async fn read(&mut self, path: &str, limits: ReadLimits) -> Result<Reply, NetError> {
        let req = Request::builder().method(Method::GET).uri(path).body(Bytes::new());
        let req = with_headers(req.map_err(|e| NetError::Unsent { why: e.to_string() })?, &self.addr.to_string())?;
        let res = within(limits.head, async { self.sender.send_request(req).await.map_err(unsent_or_lost) }).await?;
        let status = res.status();
        let body = read_body(res.into_body(), limits.silence).await?;
        Ok(Reply { status, body })
    }
}

/// Reads a body of at most [`MAX_BODY`]. Fails if no piece of it arrives for `silence`.
async fn read_body(body: Incoming, silence: Duration) -> Result<Bytes, NetError> {
    let mut body = Limited::new(body, MAX_BODY);
    let mut buf = BytesMut::new();
    while let Some(frame) = within(silence, async { body.frame().await.transpose().map_err(lost) }).await? {
        if let Ok(data) = frame.into_data() {
            buf.extend_from_slice(&data);
        }
    }
    Ok(buf.freeze())
}

/// Adds the headers that all requests have.
fn with_headers(req: Request<Bytes>, host: &str) -> Result<Request<Full<Bytes>>, NetError> {
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

/// Converts an error of connecting: whatever its cause, the request wasn't sent.
fn to_unsent(e: NetError) -> NetError {
    match e {
        NetError::Lost { why } => NetError::Unsent { why },
        other => other,
    }
}

/// Converts an error of sending. A request that `hyper` cancelled was never written to the connection.
fn unsent_or_lost(e: hyper::Error) -> NetError {
    if e.is_canceled() { NetError::Unsent { why: e.to_string() } } else { lost(e) }
}

fn lost(e: impl std::fmt::Display) -> NetError {
    NetError::Lost { why: e.to_string() }
}
