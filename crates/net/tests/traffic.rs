//! Counts of bytes by purpose of the connection.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Response, StatusCode};
use net::{
    BoxFuture, Purpose, Traffic,
    admission::{ConnectionLimit, MemoryLimit},
    guard::{Guard, GuardLimits, Server},
    http::{Call, Client, Handler, ServerLimits, serve_until, text_response},
};
use smol::net::TcpListener;

const REQUEST_BYTES: usize = 100_000;
const REPLY_BYTES: usize = 20_000;
const LIMIT: Duration = Duration::from_secs(10);

struct FixedReply;

impl Handler for FixedReply {
    fn handle(&self, _: Call) -> BoxFuture<'_, Option<Response<Full<Bytes>>>> {
        Box::pin(async { Some(text_response(StatusCode::OK, "a".repeat(REPLY_BYTES))) })
    }
}

#[test]
fn client_and_server_count_the_same_bytes_under_their_own_purposes() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports");
        let addr = listener.local_addr().expect("it is bound");
        let (_never, stop) = smol::channel::bounded(1);
        let limits = GuardLimits { memory: MemoryLimit(10_000_000), connections: ConnectionLimit(100) };
        let (guard, handler) = (Guard::new(limits), Arc::new(FixedReply));
        let serving = serve_until(listener, handler, guard, Server::Callers, ServerLimits::default(), stop);
        let _serving = smol::spawn(serving);
        let client = Client::new(Purpose::Store);
        client.call(addr, Method::POST, "/", vec![b'q'; REQUEST_BYTES].into(), LIMIT).await.expect("it is answered");
    });
    let Traffic { sent, received } = Purpose::Store.traffic();
    assert_eq!(Purpose::Callers.traffic(), Traffic { sent: received, received: sent });
    assert!((REQUEST_BYTES..REQUEST_BYTES + 1000).contains(&(sent as usize)), "{sent} bytes sent");
    assert!((REPLY_BYTES..REPLY_BYTES + 1000).contains(&(received as usize)), "{received} bytes received");
    let others = [Purpose::Listings, Purpose::Orders, Purpose::Boxes, Purpose::Other];
    assert!(others.iter().all(|purpose| purpose.traffic() == Traffic { sent: 0, received: 0 }));
}
