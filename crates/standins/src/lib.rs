//! Stand-ins of external systems for tests: backend servers and the platform.
//!
//! [`LeaseTable`] and [`KvTable`] do no I/O and take the time as an argument, so that fuzz tests run them in virtual
//! time. [`serve_backend`] and [`serve_platform`] serve them over HTTP on loopback, for the quickstart and the tests
//! with real processes. [`Faults`] injects faults, and [`Oracle`] checks what ran and what callers were told. There
//! is no model of networks, load or hardware.

mod faults;
mod kv_table;
mod lease_row;
mod lease_table;
mod oracle;
mod server;
mod work;

pub use crate::{
    faults::{CallFault, Faults},
    kv_table::KvTable,
    lease_table::{Checkpoints, LeaseTable, RunRecord},
    oracle::{Final, Oracle, Violation},
    server::{BackendHandle, PlatformHandle, serve_backend, serve_platform},
    work::Work,
};
