//! Account of the memory that one stream of an HTTP/2 connection holds.

use std::sync::Arc;

use crate::account::Account;

/// Memory of an open stream apart from what it receives and sends: state, headers and task, in bytes.
const STREAM_BYTES: usize = 8 * 1024;
/// Memory of a received piece of a request in relation to its length: it is copied into a buffer before it is decoded.
const RECEIVE_FACTOR: usize = 2;

/// Account of one stream. Dropping it gives back what the stream holds, apart from what has not been sent.
pub(crate) struct StreamAccount {
    account: Arc<Account>,
    /// Memory reserved, in bytes.
    reserved: usize,
    is_processing: bool,
}

impl StreamAccount {
    /// Opens a stream; `None` if there is no room for it.
    pub(crate) fn open(account: &Arc<Account>) -> Option<StreamAccount> {
        if !account.reserve_for_stream(STREAM_BYTES) {
            return None;
        }
        account.count_streams(|streams| streams.receiving += 1);
        Some(StreamAccount { account: Arc::clone(account), reserved: STREAM_BYTES, is_processing: false })
    }

    /// Takes account of a received piece. Returns whether there is memory for it.
    pub(crate) fn receive(&mut self, bytes: usize) -> bool {
        let needed = bytes.saturating_mul(RECEIVE_FACTOR);
        let granted = self.account.reserve_for_stream(needed);
        if granted {
            self.reserved += needed;
        }
        granted
    }

    /// Begins to process the request, which has been received. Returns whether it may.
    pub(crate) fn process(&mut self) -> bool {
        if self.is_processing {
            return true;
        }
        self.is_processing = self.account.process_stream();
        self.is_processing
    }

    /// Takes account of a piece of the response. Returns whether there is memory for it.
    pub(crate) fn send(&self, bytes: usize) -> bool {
        self.account.queue(bytes)
    }
}

impl Drop for StreamAccount {
    fn drop(&mut self) {
        self.account.release(self.reserved);
        let is_processing = self.is_processing;
        self.account.count_streams(|streams| match is_processing {
            true => streams.processing -= 1,
            false => streams.receiving -= 1,
        });
    }
}
