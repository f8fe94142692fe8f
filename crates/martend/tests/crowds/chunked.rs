//! Chunked bodies without an end on the callers' address.

use crate::{
    box_under_test::withstands,
    crowd::{LARGE_PIECE, TcpCrowd, members},
    payload::{MAX_ANY_BODY, MAX_BODY, Payload, submission},
};

/// Number of connections that send bodies of legal size.
const MEMBERS: usize = 400;
/// Number of connections that send bodies far over the limit.
const LARGE_MEMBERS: usize = 100;
/// Number of large chunks in a body; a body stays below the limit by one byte a chunk.
const LARGE_CHUNKS: usize = 4;
/// Number of chunks of one byte in a body.
const SMALL_CHUNKS: usize = 40_000;
/// Size of the chunks of a body far over the limit, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;

/// Guards against memory that grows with the number of bodies of legal size whose end never arrives.
#[test]
fn large_chunks_without_an_end() {
    let payload = |i| Payload::chunked(&submission(i), MAX_BODY / LARGE_CHUNKS - 1, LARGE_CHUNKS);
    withstands(|addrs| TcpCrowd::start(members(addrs[0], MEMBERS, payload), LARGE_PIECE));
}

/// Guards against a cost for each chunk that is a multiple of its data, which a limit on the data does not bound.
#[test]
fn chunks_of_one_byte_without_an_end() {
    let payload = |i| Payload::chunked(&submission(i), 1, SMALL_CHUNKS);
    withstands(|addrs| TcpCrowd::start(members(addrs[0], MEMBERS, payload), LARGE_PIECE));
}

/// Guards against a body of unannounced length that is held far beyond the limit of the configuration.
#[test]
fn chunked_bodies_far_over_the_limit() {
    let payload = |i| Payload::chunked(&submission(i), CHUNK_BYTES, MAX_ANY_BODY / CHUNK_BYTES);
    withstands(|addrs| TcpCrowd::start(members(addrs[0], LARGE_MEMBERS, payload), LARGE_PIECE));
}
