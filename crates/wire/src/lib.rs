//! gRPC messages and services for calls between boxes, generated from `proto/` by `cargo xtask codegen`.

#[allow(missing_docs, unreachable_pub, clippy::all, clippy::unwrap_used)]
#[rustfmt::skip]
mod generated;

pub use generated::*;

/// Calls between boxes of a deployment that keeps its jobs in the platform's store.
#[allow(missing_docs, unreachable_pub, clippy::all, clippy::unwrap_used)]
#[rustfmt::skip]
#[path = "relay_generated.rs"]
pub mod relay;
