//! Bodies without an end on the addresses for readiness checks and for operators, where none is expected.

use crate::{
    box_under_test::withstands,
    crowd::{LARGE_PIECE, TcpCrowd, members},
    payload::Payload,
};

/// Number of connections.
const MEMBERS: usize = 100;
/// Length of each body, in bytes, below what the servers of a box read.
const BODY_BYTES: usize = 3_900_000;
/// Number of chunks of one byte in a body.
const SMALL_CHUNKS: usize = 150_000;

/// Returns a body without its last byte.
fn one_byte_short(path: &str) -> Payload {
    Payload::announced(&format!("POST {path} HTTP/1.1"), BODY_BYTES, BODY_BYTES - 1)
}

/// Returns a body of chunks of one byte without its end.
fn small_chunks(path: &str) -> Payload {
    Payload::chunked(&format!("POST {path} HTTP/1.1"), 1, SMALL_CHUNKS)
}

/// Guards against a server for readiness checks without the limits of the callers' server.
#[test]
fn whole_bodies_on_the_readiness_address() {
    withstands(|addrs| TcpCrowd::start(members(addrs[1], MEMBERS, |_| one_byte_short("/v1/ready")), LARGE_PIECE));
}

/// Guards against a cost for each chunk on the readiness address that a limit on the data does not bound.
#[test]
fn chunks_of_one_byte_on_the_readiness_address() {
    withstands(|addrs| TcpCrowd::start(members(addrs[1], MEMBERS, |_| small_chunks("/v1/ready")), LARGE_PIECE));
}

/// Guards against a server for operators without the limits of the callers' server.
#[test]
fn whole_bodies_on_the_metrics_address() {
    withstands(|addrs| TcpCrowd::start(members(addrs[3], MEMBERS, |_| one_byte_short("/metrics")), LARGE_PIECE));
}

/// Guards against a cost for each chunk on the metrics address that a limit on the data does not bound.
#[test]
fn chunks_of_one_byte_on_the_metrics_address() {
    withstands(|addrs| TcpCrowd::start(members(addrs[3], MEMBERS, |_| small_chunks("/metrics")), LARGE_PIECE));
}
