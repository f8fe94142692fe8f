//! Bodies of announced length on the callers' address.

use crate::{
    box_under_test::withstands,
    crowd::{LARGE_PIECE, TcpCrowd, members},
    payload::{MAX_ANY_BODY, MAX_BODY, Payload, submission},
};

/// Number of connections that send bodies of legal size.
const MEMBERS: usize = 400;
/// Number of connections that send bodies far over the limit.
const LARGE_MEMBERS: usize = 100;
/// Announced length of a body far over the limit, in bytes.
const FAR_OVER_LIMIT: usize = 100_000_000;
/// Size of small pieces, in bytes.
const SMALL_PIECE: usize = 4096;

/// Returns a body of legal size without its last byte.
fn one_byte_short(i: usize) -> Payload {
    Payload::announced(&submission(i), MAX_BODY, MAX_BODY - 1)
}

/// Guards against memory that grows with the number of connections, each of which holds nearly a whole legal body.
#[test]
fn whole_bodies_that_stop_one_byte_short() {
    withstands(|addrs| TcpCrowd::start(members(addrs[0], MEMBERS, one_byte_short), LARGE_PIECE));
}

/// Guards against memory that grows while all bodies advance together, so that none of them ends before the others.
#[test]
fn bodies_in_small_pieces_that_stop_one_byte_short() {
    withstands(|addrs| TcpCrowd::start(members(addrs[0], MEMBERS, one_byte_short), SMALL_PIECE));
}

/// Guards against reading a body that its head already announces as too long.
#[test]
fn bodies_announced_far_over_the_limit() {
    let payload = |i| Payload::announced(&submission(i), FAR_OVER_LIMIT, MAX_ANY_BODY);
    withstands(|addrs| TcpCrowd::start(members(addrs[0], LARGE_MEMBERS, payload), LARGE_PIECE));
}
