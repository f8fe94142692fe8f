//! Send buffers of accepted sockets, which take memory of the machine too.

use std::{io::Write, net::TcpStream, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use net::{
    BoxFuture, Purpose,
    admission::{ConnectionLimit, MemoryLimit},
    guard::{Guard, GuardLimits, Server},
    http::{Call, Handler, ServerLimits, serve_until, text_response},
};
use smol::net::TcpListener;

/// Length of the response, far more than any socket buffers.
const RESPONSE_BYTES: usize = 16_000_000;
/// Most of the response that the server may have sent to a client that reads nothing: its own send buffer and the
/// receive buffer of the client, which together with overhead are twice the sizes that are set.
const MAX_SENT: u64 = 512 * 1024;
/// Receive buffer of the client, in bytes.
const CLIENT_BUFFER: usize = 32 * 1024;
/// Time without a change of the number of sent bytes after which the server waits for its client.
const STANDSTILL: Duration = Duration::from_millis(500);

struct LongResponse;

impl Handler for LongResponse {
    fn handle(&self, _: Call) -> BoxFuture<'_, Option<Response<Full<Bytes>>>> {
        Box::pin(async { Some(text_response(StatusCode::OK, "a".repeat(RESPONSE_BYTES))) })
    }
}

/// Waits until the server has sent nothing for a while; returns how much it has sent to callers.
fn sent_until_standstill() -> u64 {
    let mut sent = 0;
    loop {
        std::thread::sleep(STANDSTILL);
        let now = Purpose::Callers.traffic().sent;
        if now > 0 && now == sent {
            return sent;
        }
        sent = now;
    }
}

/// Guards against responses that nobody reads and that fill the send buffers of a box's sockets, of up to some
/// megabytes each: the limit on the memory of connections counts only what the process itself holds.
#[test]
fn a_client_that_does_not_read_fills_only_a_small_send_buffer() {
    let limits = GuardLimits { memory: MemoryLimit(4 * RESPONSE_BYTES), connections: ConnectionLimit(10) };
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).expect("loopback has free ports");
    let addr = listener.local_addr().expect("it is bound");
    let (_never, stop) = smol::channel::bounded(1);
    let (guard, handler) = (Guard::new(limits), Arc::new(LongResponse));
    let _serving = smol::spawn(serve_until(listener, handler, guard, Server::Callers, ServerLimits::default(), stop));
    let mut client = TcpStream::connect(addr).expect("loopback can be used");
    rustix::net::sockopt::set_socket_recv_buffer_size(&client, CLIENT_BUFFER).expect("it can be set");
    client.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").expect("the server reads");
    let sent = sent_until_standstill();
    assert!(sent <= MAX_SENT, "{sent} bytes were sent to a client that reads nothing");
}
