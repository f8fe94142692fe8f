//! Connections that send payloads as far as the other side reads them, and stay open.

use std::{
    io::{ErrorKind, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use futures_lite::FutureExt;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use smol::Async;

use crate::payload::Payload;

/// Most bytes that a member writes before the next one is served, where the size does not matter.
pub(crate) const LARGE_PIECE: usize = 256 * 1024;
/// Number of members that connect at the same time, below the length of the queue of new connections: a connection that
/// does not fit into the queue is tried again only after a second.
const CONNECT_BATCH: usize = 64;
/// Time after which a member gives up connecting.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);
/// Size of the receive buffer of a member, in bytes. A member never reads, and a large buffer would read for it.
const RECEIVE_BUFFER_BYTES: usize = 4096;
/// Delay before the next attempt if no member could write.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// A crowd that stays until it is dropped.
pub(crate) trait Crowd {
    /// Returns the number of bytes that the crowd has sent; `None` while it still connects.
    fn sent_bytes(&self) -> Option<u64>;
}

/// A member of a crowd before it connects.
pub(crate) struct Member {
    /// Address that it connects to.
    pub(crate) addr: SocketAddr,
    /// What it sends.
    pub(crate) payload: Payload,
}

/// Returns members that connect to one address.
pub(crate) fn members(addr: SocketAddr, count: usize, payload: impl Fn(usize) -> Payload) -> Vec<Member> {
    (0..count).map(|i| Member { addr, payload: payload(i) }).collect()
}

/// State that the thread of a crowd shares.
#[derive(Default)]
struct Progress {
    is_connected: AtomicBool,
    sent_bytes: AtomicU64,
    has_left: AtomicBool,
}

/// Crowd on plain TCP connections, which never reads.
pub(crate) struct TcpCrowd {
    progress: Arc<Progress>,
    sender: Option<JoinHandle<()>>,
}

impl TcpCrowd {
    /// Connects all members, then lets them write in turn, at most `piece` bytes each.
    pub(crate) fn start(members: Vec<Member>, piece: usize) -> Box<dyn Crowd> {
        let progress = Arc::<Progress>::default();
        let sender = std::thread::spawn({
            let progress = Arc::clone(&progress);
            move || run(members, piece, &progress)
        });
        Box::new(TcpCrowd { progress, sender: Some(sender) })
    }
}

impl Crowd for TcpCrowd {
    fn sent_bytes(&self) -> Option<u64> {
        let is_connected = self.progress.is_connected.load(Ordering::Relaxed);
        is_connected.then(|| self.progress.sent_bytes.load(Ordering::Relaxed))
    }
}

impl Drop for TcpCrowd {
    fn drop(&mut self) {
        self.progress.has_left.store(true, Ordering::Relaxed);
        // A panic of the sender has been printed; the checks of the test decide.
        let _ = self.sender.take().map(JoinHandle::join);
    }
}

/// A connected member.
struct Connected {
    stream: TcpStream,
    payload: Payload,
    sent: usize,
    closed: bool,
}

impl Connected {
    /// Writes at most `piece` bytes without waiting, and returns how many.
    fn write(&mut self, piece: usize) -> usize {
        let begin = self.sent;
        while !self.closed && self.sent - begin < piece {
            let bytes = self.payload.from(self.sent);
            let bytes = &bytes[..bytes.len().min(piece - (self.sent - begin))];
            if bytes.is_empty() {
                break;
            }
            match self.stream.write(bytes) {
                Ok(written) => self.sent += written,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                // The other side may refuse and close.
                Err(_) => self.closed = true,
            }
        }
        self.sent - begin
    }
}

fn run(members: Vec<Member>, piece: usize, progress: &Progress) {
    let mut members = connect_all(members);
    progress.is_connected.store(true, Ordering::Relaxed);
    while !progress.has_left.load(Ordering::Relaxed) {
        let written: usize = members.iter_mut().map(|member| member.write(piece)).sum();
        progress.sent_bytes.fetch_add(written as u64, Ordering::Relaxed);
        if written == 0 {
            std::thread::sleep(RETRY_DELAY);
        }
    }
}

/// Connects members, and leaves out those that are refused.
fn connect_all(mut members: Vec<Member>) -> Vec<Connected> {
    let mut connected = Vec::new();
    while !members.is_empty() {
        let batch = members.split_off(members.len().saturating_sub(CONNECT_BATCH));
        let connecting: Vec<_> = batch.into_iter().map(|member| smol::spawn(connect(member))).collect();
        for member in connecting {
            connected.extend(smol::block_on(member));
        }
    }
    connected
}

async fn connect(member: Member) -> Option<Connected> {
    let expire = async {
        smol::Timer::after(CONNECT_LIMIT).await;
        Err(ErrorKind::TimedOut.into())
    };
    let stream = Async::<TcpStream>::connect(member.addr).or(expire).await.ok()?;
    // The stream remains non-blocking.
    let stream = stream.into_inner().ok()?;
    set_socket_recv_buffer_size(&stream, RECEIVE_BUFFER_BYTES).ok()?;
    Some(Connected { stream, payload: member.payload, sent: 0, closed: false })
}
