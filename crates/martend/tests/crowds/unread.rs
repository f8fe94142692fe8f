//! Clients that never read the answers to their requests.

use jobs::JobId;

use crate::{
    box_under_test::withstands,
    crowd::{LARGE_PIECE, TcpCrowd, members},
    payload::{Payload, open_head},
};

/// Number of connections to each address.
const MEMBERS: usize = 200;
/// Number of requests that each connection sends without waiting for an answer.
const REQUESTS: usize = 300;

/// Returns requests that are sent one after the other without waiting.
fn pipelined(request_line: &str) -> Payload {
    let request = format!("{}\r\n", open_head(request_line));
    Payload::new("", request.clone(), request.len() * REQUESTS)
}

/// Guards against answers to callers that pile up in the process because their receivers do not read.
#[test]
fn states_of_jobs_that_nobody_reads() {
    let state = |i| pipelined(&format!("GET /desk/{} HTTP/1.1", JobId(i as u64)));
    withstands(|addrs| TcpCrowd::start(members(addrs[0], MEMBERS, state), LARGE_PIECE));
}

/// Guards against pages of metrics that pile up in the process because their receivers do not read.
#[test]
fn pages_of_metrics_that_nobody_reads() {
    let page = |_| pipelined("GET /metrics HTTP/1.1");
    withstands(|addrs| TcpCrowd::start(members(addrs[3], MEMBERS, page), LARGE_PIECE));
}
