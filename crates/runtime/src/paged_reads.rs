//! Prefixes of the store, read page by page.

use model::Revision;
use outside::{CoordinationStore, Item, Page, StoreError};

use crate::{timers::Backoff, view::View};

/// What stood under a prefix.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    /// In the order of their keys.
    pub(crate) items: Vec<Item>,
    /// A watch from here misses nothing.
    pub(crate) at: Revision,
    /// In how many pages it came.
    pub(crate) pages: usize,
}

impl Snapshot {
    /// Bytes of the values.
    pub(crate) fn bytes(&self) -> usize {
        self.items.iter().map(|item| item.value.len()).sum()
    }

    /// Adds the next page. Returns whether there are more.
    fn add(&mut self, page: Page) -> bool {
        if self.pages == 0 {
            // A change after the first page may be missed by it: a watch from its revision tells it again.
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

/// Reads a prefix, for as long as it takes. A page that has arrived is kept; one that is lost is asked for again by
/// itself.
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

/// Reads a prefix, and gives up at the first page that is lost.
pub(crate) async fn read_once(store: &dyn CoordinationStore, prefix: &str) -> Result<Snapshot, StoreError> {
    let mut snapshot = Snapshot::default();
    while snapshot.add(store.page(prefix.to_owned(), snapshot.last_key()).await?) {}
    Ok(snapshot)
}
