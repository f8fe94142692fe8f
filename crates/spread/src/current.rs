//! The configuration in force on a box.

use std::sync::Arc;

use model::{CheckError, OperatorFile, Revision};

use crate::Document;

/// Result of [`Current::take`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// The document is in force now.
    InForce,
    /// The document's revision was in force already.
    Known,
    /// A higher revision is in force; the document was dropped.
    Older,
}

/// The configuration in force on a box. Its revision never decreases.
#[derive(Debug, Default)]
pub struct Current {
    revision: Revision,
    document: Option<Arc<str>>,
    file: Option<Arc<OperatorFile>>,
    highest_known_revision: Revision,
}

impl Current {
    /// Returns the revision in force, 0 if there is none.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the text of the document in force, or `None` if there is none.
    pub fn document(&self) -> Option<&Arc<str>> {
        self.document.as_ref()
    }

    /// Returns the operators' file in force, or `None` if there is none.
    pub fn file(&self) -> Option<&Arc<OperatorFile>> {
        self.file.as_ref()
    }

    /// Puts a document from any source in force if its revision is higher. Returns an error, without any change, if the
    /// text can't be parsed.
    pub fn take(&mut self, text: &str) -> Result<Taken, CheckError> {
        let doc = Document::parse(text)?;
        self.highest_known_revision = self.highest_known_revision.max(doc.revision);
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

    /// Records that a revision exists, and returns whether it is higher than the one in force.
    pub fn record_revision(&mut self, revision: Revision) -> bool {
        self.highest_known_revision = self.highest_known_revision.max(revision);
        revision > self.revision
    }

    /// Returns the highest revision that is known to exist, in force here or not.
    pub fn highest_known_revision(&self) -> Revision {
        self.highest_known_revision
    }

    /// Whether a higher revision than the one in force is known to exist.
    pub fn is_behind(&self) -> bool {
        self.highest_known_revision > self.revision
    }
}
