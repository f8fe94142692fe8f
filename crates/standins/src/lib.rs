//! Small stand-ins for what lies outside: backend servers and the platform.
//!
//! [`LeaseTable`] and [`KvTable`] are pure and run in virtual time, for fuzzing; [`serve_backend`]
//! and [`serve_platform`] put them behind HTTP on loopback, for the quickstart and the tests with
//! real processes. Faults are ordered through [`Faults`]. This is no cluster simulator: there is
//! no model of networks, load or hardware.

mod faults;
mod kv_table;
mod lease_row;
mod lease_table;
mod oracle;
mod server;
mod work;

pub use crate::{
    faults::{Faults, StoreFault},
    kv_table::KvTable,
    lease_table::{Checkpoints, LeaseTable, RunRecord},
    oracle::{Final, Oracle, Violation},
    server::{BackendHandle, PlatformHandle, serve_backend, serve_platform},
    work::Work,
};
