//! Heads without an end on the callers' address.

use crate::{
    box_under_test::withstands,
    crowd::{LARGE_PIECE, TcpCrowd, members},
    payload::{Payload, open_head, submission},
};

/// Number of connections.
const MEMBERS: usize = 400;
/// Length of the headers that each sends, in bytes, without the empty line that ends them.
const HEAD_BYTES: usize = 60_000;

/// Guards against head buffers whose sum is unbounded, since no length of a body limits them.
#[test]
fn heads_without_an_end() {
    let line = format!("x-padding: {}\r\n", "x".repeat(987));
    let payload = |i| Payload::new(open_head(&submission(i)), line.clone(), HEAD_BYTES);
    withstands(|addrs| TcpCrowd::start(members(addrs[0], MEMBERS, payload), LARGE_PIECE));
}
