//! The highest revision that a box knows of.

use std::sync::Arc;

use model::{CheckError, OperatorFile, Revision};

use crate::Document;

/// What became of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// It is in force now.
    InForce,
    /// It was in force already.
    Known,
    /// A higher revision is in force; it was dropped.
    Older,
}

/// The configuration in force on a box; its revision only rises.
#[derive(Debug, Default)]
pub struct Current {
    revision: Revision,
    document: Option<Arc<str>>,
    file: Option<Arc<OperatorFile>>,
    heard_of: Revision,
}

impl Current {
    /// The revision in force, 0 for none.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The document in force, as text.
    pub fn document(&self) -> Option<&Arc<str>> {
        self.document.as_ref()
    }

    /// The file in force.
    pub fn file(&self) -> Option<&Arc<OperatorFile>> {
        self.file.as_ref()
    }

    /// Takes a document from whichever source, if it is newer.
    pub fn take(&mut self, text: &str) -> Result<Taken, CheckError> {
        let doc = Document::parse(text)?;
        self.heard_of = self.heard_of.max(doc.revision);
        if doc.revision < self.revision {
            return Ok(Taken::Older);
        }
        if doc.revision == self.revision {
            return Ok(Taken::Known);
        }
        self.revision = doc.revision;
        self.document = Some(Arc::from(text));
        self.file = Some(Arc::new(doc.file));
        Ok(Taken::InForce)
    }

    /// Notes that a revision exists somewhere; says whether it is newer than the one in force.
    pub fn hear_of(&mut self, revision: Revision) -> bool {
        self.heard_of = self.heard_of.max(revision);
        revision > self.revision
    }

    /// The highest revision heard of, in force here or not.
    pub fn heard_of(&self) -> Revision {
        self.heard_of
    }

    /// Whether a newer revision is known to exist that this box does not have yet.
    pub fn lags(&self) -> bool {
        self.heard_of > self.revision
    }
}
