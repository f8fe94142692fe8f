//! The daemon of an entry box: performs the I/O that an [`entry::EntryBox`] requests.
//!
//! One task owns the entry box and handles its inputs one at a time. All I/O runs in separate tasks, whose
//! results return as inputs. All decisions about jobs are made in `entry`, none here.

mod convert;
pub mod deployment;
mod host;
mod http_api;
mod peer_client;
mod peer_server;
mod settings;
pub mod telemetry;

pub use crate::{
    host::{Addresses, Daemon, Parts, start},
    settings::{LogSettings, RawLimits, RawSettings, Settings},
};
