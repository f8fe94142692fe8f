//! Paged reads of prefixes of the store.

use model::Revision;
use outside::{CoordinationStore, Item, Page, StoreError};

use crate::{timers::Backoff, view::View};

/// Content of a prefix.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    /// Items in the order of their keys.
    pub(crate) items: Vec<Item>,
    /// Revision from which a watch misses nothing.
    pub(crate) at: Revision,
    /// Number of pages that were read.
    pub(crate) pages: usize,
}

impl Snapshot {
    /// Returns the total size of the values in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.items.iter().map(|item| item.value.len()).sum()
    }

    /// Adds the next page. Returns whether there are more.
    fn add(&mut self, page: Page) -> bool {
        if self.pages == 0 {
            // Later pages may miss a change that was made after the first one; a watch from the revision of the first
            // reports it again.
            self.at = page.at;
        }
        self.pages += 1;
        self.items.extend(page.items);
        page.more
    }

    fn last_key(&self) -> Option<String> {
        self.items.last().map(|item| item.key.clone())
    }
}

/// Reads a prefix, with retries until the store responds. Pages that have arrived are kept; only a lost page is
/// requested again.
pub(crate) async fn read_all(store: &dyn CoordinationStore, view: &View, prefix: &str) -> Snapshot {
    let mut snapshot = Snapshot::default();
    let mut backoff = Backoff::new();
    loop {
        match store.page(prefix.to_owned(), snapshot.last_key()).await {
            Ok(page) => {
                view.record_store_response();
                backoff.reset();
                if !snapshot.add(page) {
                    return snapshot;
                }
            }
            Err(e) => {
                log::info!("event=page_lost prefix={prefix} pages={} why={e}", snapshot.pages);
                backoff.wait().await;
            }
        }
    }
}

/// Reads a prefix. Returns an error at the first page that is lost.
pub(crate) async fn read_once(store: &dyn CoordinationStore, prefix: &str) -> Result<Snapshot, StoreError> {
    let mut snapshot = Snapshot::default();
    while snapshot.add(store.page(prefix.to_owned(), snapshot.last_key()).await?) {}
    Ok(snapshot)
}
