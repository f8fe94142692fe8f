//! Helpers for tests of the entry boxes.
//!
//! [`Cluster`] runs several boxes with stand-ins of the platform and of backend servers in one thread and virtual
//! time. [`run_job`] is a caller over HTTP that retries, for tests with real processes.

mod caller;
mod cluster;
mod events;
mod external;
mod faults;
mod virtual_caller;

pub use crate::{
    caller::{acknowledge, run_job},
    cluster::{Cluster, MakePlanner, Shape},
    virtual_caller::CallerId,
};
