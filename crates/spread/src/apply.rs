//! Applying an operators' file: a compare-and-swap against the revision that it was edited from.

use model::{ApplyId, OperatorFile, Revision};
use outside::{StoreReply, StoreRequest, Versioned};

use crate::{CONFIG_KEY, Document};

/// Number of reads of the store after which an apply without a known result ends as undecided.
const MAX_READS: u32 = 8;

/// Result of an apply.
#[derive(Debug, Clone, PartialEq)]
pub enum Applied {
    /// The apply took effect as `revision`.
    Accepted {
        /// Revision that the apply created.
        revision: Revision,
        /// Latest document in the store, for distribution. A later apply may have created it.
        text: String,
    },
    /// Another apply took effect first; nothing was changed.
    Conflict {
        /// Document in the store, `None` if there is none.
        stored: Option<Document>,
    },
    /// The store did not confirm the write. Repeating the apply with the same id returns its result.
    Undecided,
    /// The document in the store is malformed.
    Broken {
        /// Error of the parser.
        why: String,
    },
}

/// Next action of the caller of an [`Apply`].
#[derive(Debug, Clone, PartialEq)]
pub enum ApplyStep {
    /// Send this request to the store and pass its reply to [`Apply::on_reply`].
    Call(StoreRequest),
    /// The apply has ended.
    Over(Applied),
}

/// An apply in progress. Every write follows a read, so that a write whose reply was lost is found by its apply id.
#[derive(Debug)]
pub struct Apply {
    id: ApplyId,
    base: Revision,
    file: OperatorFile,
    reads: u32,
    written: Option<Document>,
}

impl Apply {
    /// Returns an apply of `file`, which was edited from revision `base`. `id` identifies the apply in the history.
    pub fn new(id: ApplyId, base: Revision, file: OperatorFile) -> Apply {
        Apply { id, base, file, reads: 0, written: None }
    }

    /// Returns the first step, a read of the store. Ends as undecided after too many reads.
    pub fn begin(&mut self) -> ApplyStep {
        self.reads += 1;
        if self.reads > MAX_READS {
            return ApplyStep::Over(Applied::Undecided);
        }
        ApplyStep::Call(StoreRequest::Get { key: CONFIG_KEY.to_owned() })
    }

    /// Handles the store's reply, `None` if none was received, and returns the next step.
    pub fn on_reply(&mut self, reply: Option<StoreReply>) -> ApplyStep {
        match reply {
            None | Some(StoreReply::Conflict { .. } | StoreReply::Listed { .. }) => self.begin(),
            Some(StoreReply::Found { value }) => self.on_found(value),
            Some(StoreReply::Written { .. }) => match self.written.take() {
                Some(doc) => ApplyStep::Over(Applied::Accepted { revision: doc.revision, text: doc.to_text() }),
                None => self.begin(),
            },
        }
    }

    fn on_found(&mut self, value: Option<Versioned>) -> ApplyStep {
        let stored = match value.as_ref().map(|v| Document::parse(&v.value)).transpose() {
            Ok(stored) => stored,
            Err(e) => return ApplyStep::Over(Applied::Broken { why: e.to_string() }),
        };
        if let Some(doc) = &stored
            && let Some(revision) = doc.made_by(&self.id)
        {
            return ApplyStep::Over(Applied::Accepted { revision, text: doc.to_text() });
        }
        if stored.as_ref().map_or(Revision(0), |doc| doc.revision) != self.base {
            return ApplyStep::Over(Applied::Conflict { stored });
        }
        let doc = Document::following(stored.as_ref(), self.id.clone(), self.file.clone());
        let text = doc.to_text();
        self.written = Some(doc);
        let key = CONFIG_KEY.to_owned();
        ApplyStep::Call(match value {
            None => StoreRequest::Create { key, value: text, ttl: None },
            Some(found) => StoreRequest::CompareAndSwap { key, version: found.version, value: text, ttl: None },
        })
    }
}
