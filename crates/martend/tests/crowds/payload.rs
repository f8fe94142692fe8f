//! What the members of a crowd send: requests that are cut short, or that exceed the limits.

use std::sync::Arc;

use jobs::JobId;

use crate::common::KEY;

/// Longest body that the stand-in's configuration allows, in bytes.
pub(crate) const MAX_BODY: usize = 262_144;
/// Longest body that the servers of a box read, in bytes, whatever the configuration allows.
pub(crate) const MAX_ANY_BODY: usize = 4 * 1024 * 1024;

/// A head, followed by a unit that is repeated.
///
/// It is generated while it is sent, so that a crowd takes little memory in the process of the test.
#[derive(Clone)]
pub(crate) struct Payload {
    head: Arc<[u8]>,
    unit: Arc<[u8]>,
    /// Number of bytes, with the head.
    len: usize,
}

impl Payload {
    /// Creates a payload of a head and of `len` bytes that repeat `unit`; the last repetition may be partial.
    pub(crate) fn new(head: impl Into<Vec<u8>>, unit: impl Into<Vec<u8>>, len: usize) -> Payload {
        let head: Vec<u8> = head.into();
        Payload { len: head.len() + len, head: head.into(), unit: unit.into().into() }
    }

    /// Creates a payload of a head and the first `len` bytes of a body that it announces as `announced` bytes long.
    pub(crate) fn announced(request_line: &str, announced: usize, len: usize) -> Payload {
        Payload::new(head(request_line, &format!("content-length: {announced}")), vec![b'x'; 64 * 1024], len)
    }

    /// Creates a payload of a head and a chunked body without its end: `count` chunks of `data` bytes each.
    pub(crate) fn chunked(request_line: &str, data: usize, count: usize) -> Payload {
        /// Shortest unit that is efficient to write, in bytes.
        const MIN_UNIT: usize = 4096;
        let chunk = [format!("{data:x}\r\n").as_bytes(), &vec![b'x'; data], b"\r\n"].concat();
        let len = chunk.len() * count;
        let unit = chunk.repeat(MIN_UNIT.div_ceil(chunk.len()));
        Payload::new(head(request_line, "transfer-encoding: chunked"), unit, len)
    }

    /// Returns the bytes from a position up to at most the end of the head or of a repetition; empty at the end.
    pub(crate) fn from(&self, at: usize) -> &[u8] {
        if at >= self.len {
            return &[];
        }
        if at < self.head.len() {
            return &self.head[at..];
        }
        let begin = (at - self.head.len()) % self.unit.len();
        let end = self.unit.len().min(begin + self.len - at);
        &self.unit[begin..end]
    }
}

/// Returns the request line of the submission of a job.
pub(crate) fn submission(id: usize) -> String {
    format!("POST /desk/{} HTTP/1.1", JobId(0xc0de_0000 + id as u64))
}

/// Returns the head of a request by an authorized caller, with one additional line.
pub(crate) fn head(request_line: &str, line: &str) -> String {
    format!("{}{line}\r\n\r\n", open_head(request_line))
}

/// Returns the begin of the head of a request by an authorized caller.
pub(crate) fn open_head(request_line: &str) -> String {
    format!(
        "{request_line}\r\nhost: jobs.example\r\nauthorization: Bearer {KEY}\r\n\
         content-type: application/json\r\ndeadline: 3000\r\n"
    )
}
