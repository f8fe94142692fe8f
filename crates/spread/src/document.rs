//! The configuration as it stands in the platform's store.

use model::{ApplyId, CheckError, OperatorFile, Revision, from_json};
use serde::{Deserialize, Serialize};

/// The key of the configuration in the platform's store.
pub const CONFIG_KEY: &str = "configuration";
/// Applies that a document remembers; an operator whose answer was lost asks again well before
/// that many others have been made.
const HISTORY: usize = 64;

/// A past apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The revision it made.
    pub revision: Revision,
    /// Its nonce.
    pub apply: ApplyId,
}

/// The operators' file with its revision and the record of past applies.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Its revision.
    pub revision: Revision,
    /// Past applies, the latest last.
    pub history: Vec<HistoryEntry>,
    /// The operators' file.
    pub file: OperatorFile,
}

impl Document {
    /// Reads a document.
    pub fn parse(text: &str) -> Result<Document, CheckError> {
        from_json(text.as_bytes())
    }

    /// The document as text.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("our own types always serialize")
    }

    /// The revision that an apply made, if it took effect and is still remembered.
    pub fn made_by(&self, apply: &ApplyId) -> Option<Revision> {
        self.history.iter().find(|entry| entry.apply == *apply).map(|entry| entry.revision)
    }

    /// The document that follows `before` by an apply.
    pub fn following(before: Option<&Document>, apply: ApplyId, file: OperatorFile) -> Document {
        let revision = before.map_or(Revision(0), |doc| doc.revision).next();
        let mut history = before.map(|doc| doc.history.clone()).unwrap_or_default();
        history.push(HistoryEntry { revision, apply });
        let excess = history.len().saturating_sub(HISTORY);
        history.drain(..excess);
        Document { revision, history, file }
    }
}
