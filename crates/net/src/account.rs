//! Account of the memory that one connection holds.

use std::{
    io,
    net::IpAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;

use crate::{
    admission::{ConnectionId, Phase},
    guard::{Guard, Reason, Server},
};

/// Memory of a received head in relation to its length: the buffer that it arrives in doubles as it grows.
const HEAD_FACTOR: usize = 2;
/// Length of a head up to which its memory is contained in that of the connection, in bytes.
const HEAD_BYTES_INCLUDED: usize = 4096;
/// Smallest step by which the memory of a body grows, in bytes.
const BODY_STEP_BYTES: usize = 4096;
/// Memory of a request that is being processed, beside its body, in relation to the body: the decoded job, its record,
/// and the encoded call to the store.
const PROCESSING_FACTOR: usize = 5;
/// Share of the memory limit that one request takes at most beside its body while it is being processed.
const MAX_PROCESSING_SHARE: usize = 4;
/// Length up to which a response is sent although there is no memory for it, in bytes: its request may have had
/// effects.
const SMALL_RESPONSE_BYTES: usize = 4096;

/// Why a body was not received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is longer than allowed.
    TooLarge,
    /// There is no memory for it.
    NoMemory,
}

/// Account of one connection. Dropping it gives back all that the connection holds.
pub(crate) struct Account {
    guard: Guard,
    id: ConnectionId,
    server: Server,
    client: IpAddr,
    opened: Duration,
    /// Body that is being received. The guard frees it when it evicts the connection.
    body: Arc<Mutex<Vec<u8>>>,
    progress: Mutex<Progress>,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Stage {
    #[default]
    Idle,
    Head,
    Body,
    Processing,
    /// The connection has streams, which are counted instead.
    Streams,
}

/// Numbers of the streams of a connection.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Streams {
    /// Streams whose request has not ended, or was refused.
    pub(crate) receiving: usize,
    /// Streams whose request is being processed, and whose response has not ended.
    pub(crate) processing: usize,
}

#[derive(Default)]
struct Progress {
    stage: Stage,
    /// Bytes received as head.
    head: usize,
    /// Memory reserved for the current request, in bytes.
    reserved: usize,
    /// Bytes of responses that have not been sent.
    unsent: usize,
    streams: Streams,
    /// Whether a request has had a response.
    has_responded: bool,
    /// Whether a request was refused, so that the rest of its body is to be discarded.
    refused: bool,
}

impl Account {
    pub(crate) fn new(
        guard: Guard,
        id: ConnectionId,
        server: Server,
        client: IpAddr,
        body: Arc<Mutex<Vec<u8>>>,
    ) -> Account {
        let opened = guard.now();
        Account { guard, id, server, client, opened, body, progress: Mutex::default() }
    }

    fn progress(&self) -> std::sync::MutexGuard<'_, Progress> {
        self.progress.lock().expect("no holder panics")
    }

    /// Records why a request is refused or the connection is closed.
    pub(crate) fn refuse(&self, reason: Reason) {
        self.progress().refused = true;
        self.guard.report(self.server, reason, self.client);
    }

    pub(crate) fn is_refused(&self) -> bool {
        self.progress().refused
    }

    /// Takes account of received bytes. Fails if there is no memory for a longer head.
    pub(crate) fn received(&self, bytes: usize) -> io::Result<()> {
        let mut progress = self.progress();
        if progress.stage == Stage::Idle && bytes > 0 {
            progress.stage = Stage::Head;
            // A new connection counts from when it was accepted: its first bytes may be read late, and later than those
            // of connections that were accepted after it.
            let since = if progress.has_responded { self.guard.now() } else { self.opened };
            self.guard.set_phase(self.id, Phase::Receiving { since });
        }
        if progress.stage != Stage::Head {
            return Ok(());
        }
        progress.head += bytes;
        let needed = progress.head.saturating_sub(HEAD_BYTES_INCLUDED) * HEAD_FACTOR;
        let more = needed.saturating_sub(progress.reserved);
        if more > 0 && !self.reserve(&mut progress, more) {
            drop(progress);
            self.refuse(Reason::Refused);
            return Err(io::Error::other("there is no memory for the head of a request"));
        }
        Ok(())
    }

    fn reserve(&self, progress: &mut Progress, bytes: usize) -> bool {
        let granted = self.guard.reserve(self.id, bytes);
        if granted {
            progress.reserved += bytes;
        }
        granted
    }

    /// Begins to receive the body of a request. Returns whether the request arrived together with the one before it.
    pub(crate) fn begin_body(&self) -> bool {
        let mut progress = self.progress();
        progress.stage = Stage::Body;
        let is_pipelined = progress.head == 0;
        if is_pipelined {
            // It has not been seen as it was received.
            self.guard.set_phase(self.id, Phase::Receiving { since: self.guard.now() });
        }
        is_pipelined
    }

    /// Appends to the body, which has at most `limit` bytes. Its memory is contiguous, however small the pieces are in
    /// which it arrives.
    pub(crate) fn extend_body(&self, piece: &[u8], limit: usize) -> Result<(), BodyError> {
        let (len, capacity) = {
            let body = self.body.lock().expect("no holder panics");
            (body.len(), body.capacity())
        };
        if piece.len() > limit - len.min(limit) {
            return Err(BodyError::TooLarge);
        }
        let needed = len + piece.len();
        let grown = if needed <= capacity { capacity } else { (capacity + capacity / 2).max(needed + BODY_STEP_BYTES) };
        let grown = grown.min(limit).max(needed);
        let more = grown.saturating_sub(capacity);
        if more > 0 && !self.reserve(&mut self.progress(), more) {
            return Err(BodyError::NoMemory);
        }
        let mut body = self.body.lock().expect("no holder panics");
        if body.len() != len {
            // The connection was evicted.
            return Err(BodyError::NoMemory);
        }
        body.reserve_exact(grown - len);
        body.extend_from_slice(piece);
        Ok(())
    }

    /// Begins to process a request, and returns its body; `None` if there is no memory for it, or the connection has
    /// been evicted.
    pub(crate) fn process(&self) -> Option<Bytes> {
        let body = std::mem::take(&mut *self.body.lock().expect("no holder panics"));
        let most = self.guard.limits().memory.0 / MAX_PROCESSING_SHARE;
        let beside = body.len().saturating_mul(PROCESSING_FACTOR).min(most);
        if !self.guard.process(self.id, beside) {
            return None;
        }
        let mut progress = self.progress();
        progress.stage = Stage::Processing;
        progress.reserved += beside;
        Some(body.into())
    }

    /// Ends a request with a response of `bytes`. Returns whether there is memory to send it.
    pub(crate) fn respond(&self, bytes: usize) -> bool {
        *self.body.lock().expect("no holder panics") = Vec::new();
        let mut progress = self.progress();
        self.guard.release(self.id, progress.reserved);
        (progress.reserved, progress.head, progress.stage) = (0, 0, Stage::Idle);
        progress.has_responded = true;
        let granted = self.guard.reserve(self.id, bytes);
        if granted {
            progress.unsent += bytes;
        }
        self.set_waiting(&progress);
        drop(progress);
        let may_send = granted || bytes <= SMALL_RESPONSE_BYTES;
        if !may_send {
            self.guard.report(self.server, Reason::Refused, self.client);
        }
        may_send
    }

    /// Takes account of sent bytes.
    pub(crate) fn sent(&self, bytes: usize) {
        let mut progress = self.progress();
        let sent = bytes.min(progress.unsent);
        if sent == 0 {
            return;
        }
        progress.unsent -= sent;
        self.guard.release(self.id, sent);
        match progress.stage {
            Stage::Idle => self.set_waiting(&progress),
            Stage::Streams => self.set_phase_of_streams(&progress),
            Stage::Head | Stage::Body | Stage::Processing => {}
        }
    }

    /// Makes this the account of a connection with streams.
    pub(crate) fn use_streams(&self) {
        self.progress().stage = Stage::Streams;
    }

    pub(crate) fn reserve_for_stream(&self, bytes: usize) -> bool {
        self.guard.reserve(self.id, bytes)
    }

    pub(crate) fn release(&self, bytes: usize) {
        self.guard.release(self.id, bytes);
    }

    /// Changes the numbers of streams.
    pub(crate) fn count_streams(&self, change: impl FnOnce(&mut Streams)) {
        let mut progress = self.progress();
        change(&mut progress.streams);
        self.set_phase_of_streams(&progress);
    }

    /// Begins to process the request of a stream. Returns whether it may.
    pub(crate) fn process_stream(&self) -> bool {
        let mut progress = self.progress();
        let granted = self.guard.process(self.id, 0);
        if granted {
            progress.streams.receiving -= 1;
            progress.streams.processing += 1;
        }
        granted
    }

    /// Takes account of a piece of a stream's response. Returns whether there is memory for it.
    pub(crate) fn queue(&self, bytes: usize) -> bool {
        let mut progress = self.progress();
        let granted = self.guard.reserve(self.id, bytes);
        if granted {
            progress.unsent += bytes;
        }
        granted
    }

    fn set_phase_of_streams(&self, progress: &Progress) {
        if progress.streams.processing > 0 {
            return;
        }
        match progress.streams.receiving {
            0 => self.set_waiting(progress),
            _ => self.guard.set_phase(self.id, Phase::Receiving { since: self.guard.now() }),
        }
    }

    /// Sets the phase of a connection without a request.
    fn set_waiting(&self, progress: &Progress) {
        // A connection that is to be closed after a refusal does not become younger by it.
        let since = if progress.refused { self.opened } else { self.guard.now() };
        let phase = if progress.unsent > 0 { Phase::Sending { since } } else { Phase::Idle { since } };
        self.guard.set_phase(self.id, phase);
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.guard.close(self.id);
        self.guard.log(self.server, self.client);
    }
}
