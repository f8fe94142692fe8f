//! Guard of the HTTP server: what it holds for clients stays within the limits, and others are served meanwhile.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Response, StatusCode};
use net::{
    BoxFuture,
    admission::{ConnectionLimit, MemoryLimit},
    guard::{CONNECTION_BYTES, Guard, GuardLimits, Reason, Server},
    http::{Call, Client, Handler, ServerLimits, serve_until, text_response},
};
use smol::net::TcpListener;

const MEMORY: usize = 2_000_000;
const CONNECTIONS: usize = 64;
const MAX_BODY: usize = 100_000;
/// Length of the response to `GET /long`, more than the sockets between server and client buffer.
const LONG_RESPONSE: usize = 1_500_000;
const LIMIT: Duration = Duration::from_secs(20);

/// Handler that returns the length of the body.
struct Length;

impl Handler for Length {
    fn body_limit(&self) -> usize {
        MAX_BODY
    }

    fn handle(&self, call: Call) -> BoxFuture<'_, Option<Response<Full<Bytes>>>> {
        let text = if call.path == "/long" { "a".repeat(LONG_RESPONSE) } else { call.body.len().to_string() };
        Box::pin(async move { Some(text_response(StatusCode::OK, text)) })
    }
}

/// A server in use, stopped when this is dropped.
struct Setup {
    addr: SocketAddr,
    guard: Guard,
    _serving: smol::Task<()>,
    _stop: smol::channel::Sender<()>,
}

fn start() -> Setup {
    start_with(ServerLimits::default())
}

fn start_with(limits: ServerLimits) -> Setup {
    let guard = Guard::new(GuardLimits { memory: MemoryLimit(MEMORY), connections: ConnectionLimit(CONNECTIONS) });
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).expect("loopback has free ports");
    let addr = listener.local_addr().expect("it is bound");
    let (stop_tx, stop) = smol::channel::bounded(1);
    let serving = serve_until(listener, Arc::new(Length), guard.clone(), Server::Callers, limits, stop);
    Setup { addr, guard, _serving: smol::spawn(serving), _stop: stop_tx }
}

impl Setup {
    /// Opens a connection and sends bytes on it, unless the server closes it first.
    fn send(&self, pieces: &[&[u8]]) -> TcpStream {
        let mut stream = TcpStream::connect(self.addr).expect("loopback can be used");
        stream.set_read_timeout(Some(LIMIT)).expect("it can be set");
        stream.set_write_timeout(Some(LIMIT)).expect("it can be set");
        for piece in pieces {
            // The server may refuse the request at any point.
            if stream.write_all(piece).is_err() {
                break;
            }
        }
        stream
    }

    fn assert_serves(&self) {
        let body = vec![b'q'; MAX_BODY];
        let reply = smol::block_on(Client::default().call(self.addr, Method::POST, "/", body.into(), LIMIT));
        let reply = reply.expect("it is answered");
        assert_eq!((reply.status, &*reply.body), (StatusCode::OK, MAX_BODY.to_string().as_bytes()));
        self.assert_within_limits();
    }

    fn assert_within_limits(&self) {
        let held = self.guard.held();
        assert!(held.bytes <= MEMORY && held.connections <= CONNECTIONS, "{held:?}");
    }

    /// Waits until nothing is held, which shows that no account is left over.
    fn assert_released(&self) {
        let start = std::time::Instant::now();
        while self.guard.held() != Default::default() {
            assert!(start.elapsed() < LIMIT, "{:?} is still held", self.guard.held());
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Reads the head of a response and returns its status line and headers.
fn response(mut stream: &TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|n| n > 0) {
        head.push(byte[0]);
    }
    String::from_utf8(head).expect("heads are ASCII").to_lowercase()
}

fn announced(length: usize) -> Vec<u8> {
    format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n").into_bytes()
}

/// Guards against bodies of legal length that are held without end because their last byte never comes.
#[test]
fn bodies_that_stop_short_do_not_shut_out_others() {
    let setup = start();
    let mut crowd = Vec::new();
    for _ in 0..200 {
        crowd.push(setup.send(&[&announced(MAX_BODY), &vec![b'a'; MAX_BODY - 1]]));
        setup.assert_within_limits();
    }
    setup.assert_serves();
    assert!(setup.guard.count(Server::Callers, Reason::Evicted) > 0);
    drop(crowd);
    setup.assert_released();
}

/// Guards against bodies whose memory is a multiple of their length because they come in small pieces.
#[test]
fn small_chunks_do_not_shut_out_others() {
    let setup = start();
    let chunks = b"1\r\na\r\n".repeat(MAX_BODY / 4);
    let head = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let crowd: Vec<_> = (0..100).map(|_| setup.send(&[head, &chunks])).collect();
    setup.assert_serves();
    drop(crowd);
    setup.assert_released();
}

/// Guards against reading a body whose announced length is over the limit.
#[test]
fn a_body_announced_as_too_long_is_refused_at_once() {
    let setup = start();
    let stream = setup.send(&[&announced(MAX_BODY + 1)]);
    let response = response(&stream);
    assert!(response.starts_with("http/1.1 413 "), "{response}");
    assert!(response.contains("connection: close"), "{response}");
    assert_eq!(setup.guard.count(Server::Callers, Reason::TooLarge), 1);
}

/// Guards against reading a body without an announced length to its end, however long it is.
#[test]
fn a_body_that_turns_out_too_long_is_refused() {
    let setup = start();
    let chunk = format!("{:x}\r\n{}\r\n", MAX_BODY + 1, "a".repeat(MAX_BODY + 1));
    let head = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let stream = setup.send(&[head, chunk.as_bytes()]);
    let response = response(&stream);
    assert!(response.starts_with("http/1.1 413 "), "{response}");
}

/// Guards against heads that never end.
#[test]
fn heads_without_end_do_not_shut_out_others() {
    let setup = start();
    let head = [&b"GET / HTTP/1.1\r\nx: "[..], &vec![b'a'; 60_000]].concat();
    let crowd: Vec<_> = (0..100).map(|_| setup.send(&[&head])).collect();
    setup.assert_serves();
    drop(crowd);
    setup.assert_released();
}

/// Guards against responses that are held without end because nobody reads them.
#[test]
fn responses_that_nobody_reads_do_not_shut_out_others() {
    let setup = start();
    let crowd: Vec<_> = (0..100).map(|_| setup.send(&[b"GET /long HTTP/1.1\r\nhost: a\r\n\r\n"])).collect();
    setup.assert_serves();
    drop(crowd);
    setup.assert_released();
}

/// Guards against idle connections that take all places.
#[test]
fn idle_connections_do_not_shut_out_others() {
    let setup = start();
    let crowd: Vec<_> = (0..4 * CONNECTIONS).map(|_| setup.send(&[])).collect();
    setup.assert_serves();
    drop(crowd);
    setup.assert_released();
}

/// Guards against requests that are held without pressure until their client goes.
#[test]
fn a_body_that_does_not_arrive_in_time_is_refused() {
    let setup = start_with(ServerLimits { body: Duration::from_millis(100), ..ServerLimits::default() });
    let stream = setup.send(&[&announced(10), b"a"]);
    let response = response(&stream);
    assert!(response.starts_with("http/1.1 408 "), "{response}");
    assert_eq!(setup.guard.count(Server::Callers, Reason::Stalled), 1);
}

/// Guards against accounts that drift on a connection that is used again and again.
#[test]
fn a_connection_in_use_holds_the_same_after_each_request() {
    let setup = start();
    let mut stream = setup.send(&[]);
    for i in 0..100_usize {
        let body = vec![b'a'; i * 100];
        stream.write_all(&[announced(body.len()), body].concat()).expect("it is open");
        assert!(response(&stream).starts_with("http/1.1 200 "));
        let mut length = vec![0; (i * 100).to_string().len()];
        stream.read_exact(&mut length).expect("it is answered");
    }
    let start = std::time::Instant::now();
    while setup.guard.held().bytes != CONNECTION_BYTES {
        assert!(start.elapsed() < LIMIT, "{:?}", setup.guard.held());
        std::thread::sleep(Duration::from_millis(5));
    }
}
