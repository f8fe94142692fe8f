//! The calls between boxes as they go over the wire: gRPC, generated from `proto/peer.proto`.

#[allow(missing_docs, unreachable_pub, clippy::all, clippy::unwrap_used)]
#[rustfmt::skip]
mod generated;

pub use generated::*;
