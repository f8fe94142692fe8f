//! Plumbing between libraries: HTTP/1 client and server, and gRPC over HTTP/2, on `smol`.
//!
//! `hyper` speaks the protocols and `smol-hyper` adapts its traits; what is here is connection
//! reuse, deadlines and limits, which `hyper`'s connection types leave to their user.
//! There is no routing, discovery or proxying.

pub mod grpc;
pub mod http;

mod deadline;

pub use crate::deadline::{NetError, within};

/// A boxed future that can move between threads.
pub type BoxFuture<'a, T> = std::pin::Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Connects with Nagle's algorithm off: with it on, small messages wait about 40 ms for a delayed
/// acknowledgement.
pub async fn connect(addr: std::net::SocketAddr) -> std::io::Result<smol::net::TcpStream> {
    let stream = smol::net::TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
