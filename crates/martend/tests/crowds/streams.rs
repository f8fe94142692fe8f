//! Crowds on HTTP/2 connections with many streams each.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use bytes::Bytes;
use futures_lite::{StreamExt, stream};
use http_body_util::StreamBody;
use hyper::{
    Request,
    body::{Body, Frame},
    client::conn::http2,
};
use net::grpc::GlobalSpawn;
use smol::net::TcpStream;
use smol_hyper::rt::{FuturesIo, SmolExecutor};

use crate::crowd::Crowd;

/// Size of the pieces in which a stream sends its body, in bytes.
const PIECE_BYTES: usize = 16 * 1024;

/// Crowd of gRPC calls whose messages stop short.
pub(crate) struct StreamCrowd {
    sent: Arc<AtomicU64>,
    _connections: Vec<smol::Task<()>>,
}

/// Size of a crowd of streams.
#[derive(Clone, Copy)]
pub(crate) struct Shape {
    /// Number of connections.
    pub(crate) connections: usize,
    /// Number of streams on each.
    pub(crate) streams: usize,
    /// Length of the message that each stream announces, in bytes; it sends all but the last byte.
    pub(crate) message_bytes: usize,
}

impl StreamCrowd {
    /// Opens all connections at once, and all their streams.
    pub(crate) fn start(addr: SocketAddr, path: &'static str, shape: Shape) -> Box<dyn Crowd> {
        let sent = Arc::new(AtomicU64::new(0));
        let connection = |_| smol::spawn(hold_connection(addr, path, shape, Arc::clone(&sent)));
        let connections = (0..shape.connections).map(connection).collect();
        Box::new(StreamCrowd { sent, _connections: connections })
    }
}

impl Crowd for StreamCrowd {
    fn sent_bytes(&self) -> Option<u64> {
        Some(self.sent.load(Ordering::Relaxed))
    }
}

/// Holds a connection and its streams open until the future is dropped.
async fn hold_connection(addr: SocketAddr, path: &'static str, shape: Shape, sent: Arc<AtomicU64>) {
    // The other side may refuse and close.
    let Ok(stream) = TcpStream::connect(addr).await else { return };
    let executor = SmolExecutor::new(GlobalSpawn);
    let Ok((sender, connection)) = http2::handshake(executor, FuturesIo::new(stream)).await else { return };
    let _connection = smol::spawn(connection);
    let hold_stream = |_| {
        let (mut sender, body) = (sender.clone(), unfinished_message(shape.message_bytes, &sent));
        let req = Request::post(format!("http://{addr}{path}"))
            .header("content-type", "application/grpc")
            .header("te", "trailers")
            .body(Box::pin(body))
            .expect("the address and the path are valid");
        smol::spawn(async move {
            let _response = sender.send_request(req).await;
            std::future::pending::<()>().await;
        })
    };
    let _streams: Vec<smol::Task<()>> = (0..shape.streams).map(hold_stream).collect();
    std::future::pending::<()>().await;
}

/// Returns the body of a gRPC call: a message of `len` bytes without its last byte, and without an end.
fn unfinished_message(len: usize, sent: &Arc<AtomicU64>) -> impl Body<Data = Bytes, Error = Infallible> + Send + use<> {
    let prefix = [&[0][..], &(len as u32).to_be_bytes()].concat();
    let whole = std::iter::repeat_n(Bytes::from_static(&[0; PIECE_BYTES]), (len - 1) / PIECE_BYTES);
    let rest = Bytes::from(vec![0; (len - 1) % PIECE_BYTES]);
    let pieces = std::iter::once(Bytes::from(prefix)).chain(whole).chain([rest]);
    let sent = Arc::clone(sent);
    let count = move |piece: Bytes| {
        sent.fetch_add(piece.len() as u64, Ordering::Relaxed);
        Ok(Frame::data(piece))
    };
    StreamBody::new(stream::iter(pieces).map(count).chain(stream::pending()))
}
