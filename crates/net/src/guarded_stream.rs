//! TCP stream of a server's connection, whose bytes are taken account of.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use futures_lite::ready;
use smol::{
    Timer,
    io::{AsyncRead, AsyncWrite},
};

use crate::{account::Account, guard::Reason, traffic::Counted};

/// Most bytes of one read. With it, the read buffer of a connection stays at its initial size.
const READ_BYTES: usize = 4096;
/// Time without progress after which a response that its client does not read is given up.
const WRITE_LIMIT: Duration = Duration::from_secs(30);
/// Most bytes of a refused request that are discarded before its connection is closed. Closing it with unread bytes
/// could destroy the response before its client reads it.
const DISCARDED_BYTES: usize = 512 * 1024;
/// Time limit of discarding them.
const DISCARD_LIMIT: Duration = Duration::from_millis(500);

/// TCP stream whose bytes are counted and taken account of.
pub(crate) struct GuardedStream {
    stream: Counted,
    account: Arc<Account>,
    /// Runs while a write is pending.
    write_limit: Option<Timer>,
    discarding: Option<Discarding>,
}

struct Discarding {
    limit: Timer,
    bytes: usize,
}

impl GuardedStream {
    pub(crate) fn new(stream: Counted, account: Arc<Account>) -> GuardedStream {
        GuardedStream { stream, account, write_limit: None, discarding: None }
    }

    /// Takes account of a write's result, and fails one that has been pending for too long.
    fn finish_write(&mut self, cx: &mut Context<'_>, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match result {
            Poll::Ready(result) => {
                self.write_limit = None;
                if let Ok(bytes) = &result {
                    self.account.sent(*bytes);
                }
                Poll::Ready(result)
            }
            Poll::Pending => {
                let limit = self.write_limit.get_or_insert_with(|| Timer::after(WRITE_LIMIT));
                ready!(poll_timer(limit, cx));
                self.account.refuse(Reason::Stalled);
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
        }
    }

    /// Discards what still arrives of a refused request, within limits.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let new = || Discarding { limit: Timer::after(DISCARD_LIMIT), bytes: 0 };
        let discarding = self.discarding.get_or_insert_with(new);
        let mut buf = [0; READ_BYTES];
        while discarding.bytes < DISCARDED_BYTES {
            match Pin::new(&mut self.stream).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(n)) if n > 0 => discarding.bytes += n,
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return poll_timer(&mut discarding.limit, cx),
            }
        }
        Poll::Ready(())
    }
}

fn poll_timer(timer: &mut Timer, cx: &mut Context<'_>) -> Poll<()> {
    Pin::new(timer).poll(cx).map(drop)
}

impl AsyncRead for GuardedStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let len = buf.len().min(READ_BYTES);
        let n = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf[..len]))?;
        self.account.received(n)?;
        Poll::Ready(Ok(n))
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.finish_write(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.finish_write(cx, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_close(cx))?;
        if self.account.is_refused() {
            ready!(self.poll_discard(cx));
        }
        Poll::Ready(Ok(()))
    }
}
