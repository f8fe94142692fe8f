//! HTTP/1 client and server, and gRPC over HTTP/2, on `smol`.
//!
//! `hyper` implements the protocols and `smol-hyper` adapts its traits. This crate adds what `hyper`'s connection types
//! leave to their user: connection reuse, deadlines and limits. It has no routing, discovery or proxying.

pub mod admission;
pub mod grpc;
pub mod guard;
pub mod http;

mod account;
mod connection;
mod deadline;
mod grpc_server;
mod guarded_stream;
mod stream_account;
mod traffic;
mod turns;

use std::{net::SocketAddr, time::Duration};

use rustix::net::sockopt;
use smol::net::TcpStream;

pub use crate::{
    deadline::{NetError, within},
    traffic::{AllTraffic, Purpose, Traffic},
    turns::CallLimiter,
};

/// Boxed future that can be sent between threads.
pub type BoxFuture<'a, T> = std::pin::Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Idle time after which TCP keep-alive probes are sent, and the interval between them.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without acknowledgement after which a connection is closed. With the probes, an unresponsive peer is detected
/// about 2 s after its last packet, even by a call that waits longer than that for its reply.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Connects with Nagle's algorithm disabled, which would delay small messages by about 40 ms until a delayed
/// acknowledgement arrives. The connection is closed if the peer becomes unresponsive.
pub async fn connect(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    if let Err(e) = enable_probes(&stream) {
        // The limits of calls still apply.
        log::debug!("event=not_probed addr={addr} why={e}");
    }
    Ok(stream)
}

fn enable_probes(stream: &TcpStream) -> rustix::io::Result<()> {
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, PROBE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, PROBE_INTERVAL)?;
    sockopt::set_tcp_user_timeout(stream, TCP_USER_TIMEOUT.as_millis() as u32)
}
