//! The calls between boxes as they go over the wire: gRPC, generated from `proto/`.

#[allow(missing_docs, unreachable_pub, clippy::all, clippy::unwrap_used)]
#[rustfmt::skip]
mod generated;

pub use generated::*;

/// Calls between boxes whose jobs are kept in the platform's store.
#[allow(missing_docs, unreachable_pub, clippy::all, clippy::unwrap_used)]
#[rustfmt::skip]
#[path = "relay_generated.rs"]
pub mod relay;
