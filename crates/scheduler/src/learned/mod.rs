//! What a scheduler has learned, kept in the store for its successor: the speeds of backend servers, and the mean
//! duration of stops.
//!
//! Without it, a new scheduler treats all backend servers as equally fast until it has measured them again, and urgent
//! gangs meanwhile run on slow ones. The record is a hint: it shapes placements and nothing else, so a scheduler never
//! waits for it, and drops whatever it cannot use.

mod changes;
mod codec;
mod handover;
mod record;

use std::collections::BTreeMap;

use model::{BackendServerId, Incarnation, Moment, Revision};

use crate::learned::{
    changes::{PageState, StoredEntry},
    record::{PAGES, RestoredSpeed},
};

/// A page as it was read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LearnedPage {
    /// Number of the page.
    pub page: u32,
    /// Stored value.
    pub value: Vec<u8>,
    /// Revision at which it was written.
    pub revision: Revision,
}

/// Write of a page to the store.
#[derive(Debug, Clone)]
pub struct LearnedWrite {
    /// Number of the page.
    pub page: u32,
    /// Value to store.
    pub value: Vec<u8>,
    /// Revision in the store that the write replaces; 0 if there is none.
    pub replaces: Revision,
    written_ms: u64,
    at: Moment,
    entries: BTreeMap<BackendServerId, StoredEntry>,
}

/// State that a scheduler keeps of the stored pages.
#[derive(Debug)]
pub(crate) struct Learned {
    pages: Vec<PageState>,
    /// Restored speeds of backend servers that are not identified yet.
    pending: BTreeMap<BackendServerId, RestoredSpeed>,
    /// Backend servers whose speed is restored and not measured yet, with the incarnation that it was measured on.
    unmeasured: BTreeMap<BackendServerId, Option<Incarnation>>,
    /// When the pages were last compared with what is learned.
    compared_at: Option<Moment>,
}

impl Learned {
    pub(crate) fn new() -> Learned {
        Learned {
            pages: vec![PageState::default(); PAGES as usize],
            pending: BTreeMap::new(),
            unmeasured: BTreeMap::new(),
            compared_at: None,
        }
    }

    /// Records that a backend server's speed is no longer the restored one.
    pub(crate) fn forget(&mut self, id: &BackendServerId) {
        self.unmeasured.remove(id);
    }

    /// Returns the number of backend servers whose speed is restored and not measured yet.
    pub(crate) fn unmeasured(&self) -> usize {
        self.unmeasured.len()
    }
}
