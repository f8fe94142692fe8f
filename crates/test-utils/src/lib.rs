//! Helpers for tests: several entry boxes with stand-ins in one thread and virtual time, and a
//! caller that retries like a real one.

mod caller;
mod cluster;
mod events;
mod faults;
mod outside;
mod virtual_caller;

pub use crate::{
    caller::{acknowledge, run_job},
    cluster::{Cluster, MakePlanner, Shape},
    virtual_caller::CallerId,
};
