//! The daemon of an entry box: it carries out what an [`entry::EntryBox`] wants done.
//!
//! One task owns the entry box and takes its inputs one by one; all I/O runs in tasks beside it
//! and comes back as inputs. Nothing here decides anything about jobs.

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
