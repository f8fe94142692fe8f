//! The configuration document as kept in the platform's store.

use model::{ApplyId, CheckError, OperatorFile, Revision, from_json};
use serde::{Deserialize, Serialize};

/// Key of the configuration in the platform's store.
pub const CONFIG_KEY: &str = "configuration";
/// Number of past applies that a document records. An operator whose reply was lost repeats the apply well before so
/// many others have been made.
const MAX_HISTORY_ENTRIES: usize = 64;

/// A past apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Revision that the apply created.
    pub revision: Revision,
    /// Nonce that identifies the apply.
    pub apply: ApplyId,
}

/// The operators' file with its revision and history of applies.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Revision of the document; the first is 1.
    pub revision: Revision,
    /// Past applies, the latest last.
    pub history: Vec<HistoryEntry>,
    /// The operators' file.
    pub file: OperatorFile,
}

impl Document {
    /// Parses a document from JSON. Returns an error if it is malformed or its file is invalid.
    pub fn parse(text: &str) -> Result<Document, CheckError> {
        from_json(text.as_bytes())
    }

    /// Returns the document as JSON.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("our own types always serialize")
    }

    /// Returns the revision that an apply created, or `None` if it did not take effect or is no longer in the history.
    pub fn made_by(&self, apply: &ApplyId) -> Option<Revision> {
        self.history.iter().find(|entry| entry.apply == *apply).map(|entry| entry.revision)
    }

    /// Returns the document that an apply of `file` creates after `before`, which is `None` for the first one.
    pub fn following(before: Option<&Document>, apply: ApplyId, file: OperatorFile) -> Document {
        let revision = before.map_or(Revision(0), |doc| doc.revision).next();
        let mut history = before.map(|doc| doc.history.clone()).unwrap_or_default();
        history.push(HistoryEntry { revision, apply });
        let excess = history.len().saturating_sub(MAX_HISTORY_ENTRIES);
        history.drain(..excess);
        Document { revision, history, file }
    }
}
