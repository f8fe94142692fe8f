//! Idle connections, more than the box has descriptors.

use crate::{
    box_under_test::withstands,
    crowd::{LARGE_PIECE, TcpCrowd, members},
    payload::Payload,
};

/// Number of idle connections to the callers' address.
const TO_CALLERS: usize = 700;
/// Number of idle connections to the readiness address.
const TO_READINESS: usize = 400;
/// Number of idle connections to the peers' address.
const TO_PEERS: usize = 1100;

/// Returns a payload without a byte.
fn nothing(_: usize) -> Payload {
    Payload::new("", "", 0)
}

/// Guards against limits for each address whose sum exceeds the descriptors of the process.
#[test]
fn idle_connections_to_several_addresses() {
    withstands(|addrs| {
        let mut all = members(addrs[0], TO_CALLERS, nothing);
        all.extend(members(addrs[1], TO_READINESS, nothing));
        TcpCrowd::start(all, LARGE_PIECE)
    });
}

/// Guards against a peers' address that accepts any number of connections.
#[test]
fn idle_connections_to_the_peers_address() {
    withstands(|addrs| TcpCrowd::start(members(addrs[2], TO_PEERS, nothing), LARGE_PIECE));
}
