//! Calls without an end on the peers' address.

use crate::{
    box_under_test::withstands,
    streams::{Shape, StreamCrowd},
};

/// A call of the peers' service with a message of any length.
const SUBMIT: &str = "/martenscale.relay.v1.Relay/Submit";
/// A few connections with many streams. Each message is below what the decoder of gRPC reads.
const SHAPE: Shape = Shape { connections: 4, streams: 50, message_bytes: 3_900_000 };

/// Guards against a peers' address without a limit on the sum of the messages that arrive at the same time.
#[test]
fn streams_whose_messages_stop_one_byte_short() {
    withstands(|addrs| StreamCrowd::start(addrs[2], SUBMIT, SHAPE));
}
