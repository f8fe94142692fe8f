//! Counts of the bytes that this process has sent and received, by purpose of the connection.
//!
//! The bytes are counted at the sockets: headers of messages are included, those of packets are not.

use std::{
    fmt, io,
    pin::Pin,
    sync::atomic::{AtomicU64, Ordering},
    task::{Context, Poll},
};

use smol::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};

/// Purpose of a connection, by which its traffic is counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum Purpose {
    /// Calls to the platform's store.
    Store,
    /// Heartbeats to backend servers, which renew leases and return listings.
    Listings,
    /// Orders to backend servers, such as starts and stops.
    Orders,
    /// Calls between boxes.
    Boxes,
    /// Requests of callers.
    Callers,
    /// Any other purpose.
    #[default]
    Other,
}

impl Purpose {
    /// All purposes, in the order of their counters.
    pub const ALL: [Purpose; 6] =
        [Purpose::Store, Purpose::Listings, Purpose::Orders, Purpose::Boxes, Purpose::Callers, Purpose::Other];

    /// Returns the traffic of all connections of this purpose since the process started.
    pub fn traffic(self) -> Traffic {
        let counters = &COUNTERS[self as usize];
        Traffic { sent: counters.sent.load(Ordering::Relaxed), received: counters.received.load(Ordering::Relaxed) }
    }
}

/// Traffic of connections, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent to the peer.
    pub sent: u64,
    /// Bytes received from the peer.
    pub received: u64,
}

/// Formats the traffic of all purposes as the `key=value` fields of a log line.
#[derive(Debug)]
pub struct AllTraffic;

impl fmt::Display for AllTraffic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, purpose) in Purpose::ALL.into_iter().enumerate() {
            let Traffic { sent, received } = purpose.traffic();
            let separator = if i == 0 { "" } else { " " };
            write!(f, "{separator}{purpose}_sent={sent} {purpose}_received={received}")?;
        }
        Ok(())
    }
}

struct Counters {
    sent: AtomicU64,
    received: AtomicU64,
}

/// Counters of each purpose, in the order of [`Purpose::ALL`].
static COUNTERS: [Counters; Purpose::ALL.len()] =
    [const { Counters { sent: AtomicU64::new(0), received: AtomicU64::new(0) } }; Purpose::ALL.len()];

/// TCP stream whose bytes are counted.
pub(crate) struct Counted {
    stream: TcpStream,
    purpose: Purpose,
}

impl Counted {
    pub(crate) fn new(stream: TcpStream, purpose: Purpose) -> Counted {
        Counted { stream, purpose }
    }

    fn counters(&self) -> &'static Counters {
        &COUNTERS[self.purpose as usize]
    }

    fn count_sent(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = &result {
            self.counters().sent.fetch_add(*n as u64, Ordering::Relaxed);
        }
        result
    }
}

impl AsyncRead for Counted {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(n)) = &result {
            self.counters().received.fetch_add(*n as u64, Ordering::Relaxed);
        }
        result
    }
}

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count_sent(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count_sent(result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
