//! Clients outside the limits: a box survives crowds of them within its memory and its descriptors, and still serves.
//!
//! Each test starts one box with lowered limits, opens a crowd of connections to it and holds them open. None checks a
//! time or a share of served requests, so that the result does not depend on the speed of the machine.

#[path = "../common/mod.rs"]
mod common;

mod announced;
mod box_under_test;
mod chunked;
mod connections;
mod costly;
mod crowd;
mod heads;
mod operators;
mod payload;
mod peers;
mod streams;
mod unread;
