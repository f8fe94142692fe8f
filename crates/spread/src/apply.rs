//! Applying a file: a compare-and-swap with the revision that it was edited from.

use model::{ApplyId, OperatorFile, Revision};
use outside::{StoreReply, StoreRequest, Versioned};

use crate::{CONFIG_KEY, Document};

/// Reads of the store after which an apply whose answers stay lost is given up as undecided.
const MAX_ROUNDS: u32 = 8;

/// How an apply ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Applied {
    /// It took effect as this revision; `text` is the document that it made, if it is still the latest.
    Accepted {
        /// The revision that it made.
        revision: Revision,
        /// The document to spread.
        text: String,
    },
    /// Another apply came first; nothing was changed.
    Conflict {
        /// The document that stands.
        standing: Option<Document>,
    },
    /// The store gives no answer. Asking again with the same apply id settles it.
    Undecided,
    /// What stands in the store cannot be read.
    Broken {
        /// What is wrong.
        why: String,
    },
}

/// What to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum ApplyStep {
    /// Make this call to the store and pass its reply on.
    Call(StoreRequest),
    /// The apply is over.
    Over(Applied),
}

/// One apply on its way. Every step reads before it writes, so that a write whose answer was lost
/// is found by its apply id.
#[derive(Debug)]
pub struct Apply {
    id: ApplyId,
    base: Revision,
    file: OperatorFile,
    rounds: u32,
    written: Option<Document>,
}

impl Apply {
    /// An apply of `file`, edited from revision `base`.
    pub fn new(id: ApplyId, base: Revision, file: OperatorFile) -> Apply {
        Apply { id, base, file, rounds: 0, written: None }
    }

    /// The first step.
    pub fn begin(&mut self) -> ApplyStep {
        self.rounds += 1;
        if self.rounds > MAX_ROUNDS {
            return ApplyStep::Over(Applied::Undecided);
        }
        ApplyStep::Call(StoreRequest::Get { key: CONFIG_KEY.to_owned() })
    }

    /// Takes the store's reply, `None` when none came.
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
        let standing = match value.as_ref().map(|v| Document::parse(&v.value)).transpose() {
            Ok(standing) => standing,
            Err(e) => return ApplyStep::Over(Applied::Broken { why: e.to_string() }),
        };
        if let Some(doc) = &standing
            && let Some(revision) = doc.made_by(&self.id)
        {
            return ApplyStep::Over(Applied::Accepted { revision, text: doc.to_text() });
        }
        if standing.as_ref().map_or(Revision(0), |doc| doc.revision) != self.base {
            return ApplyStep::Over(Applied::Conflict { standing });
        }
        let doc = Document::following(standing.as_ref(), self.id.clone(), self.file.clone());
        let text = doc.to_text();
        self.written = Some(doc);
        let key = CONFIG_KEY.to_owned();
        ApplyStep::Call(match value {
            None => StoreRequest::Create { key, value: text, ttl: None },
            Some(found) => StoreRequest::CompareAndSwap { key, version: found.version, value: text, ttl: None },
        })
    }
}
