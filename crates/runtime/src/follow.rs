//! Follows a prefix of the store: reads it, watches it, and reads it again when the watch has lost history.

use model::{Duration, Revision};
use outside::{Change, CoordinationStore, Item, StoreError, Watched};

use crate::{
    paged_reads,
    timers::{Backoff, pause},
    view::View,
};

/// An update of a prefix.
pub(crate) enum PrefixUpdate {
    /// The complete current content.
    All(Vec<Item>),
    /// The changes since the last update, in order.
    Changes(Vec<Change>),
}

impl PrefixUpdate {
    /// Returns the items that exist or were written, in order, without removals.
    pub(crate) fn written(self) -> Vec<Item> {
        let changes = match self {
            PrefixUpdate::All(items) => return items,
            PrefixUpdate::Changes(changes) => changes,
        };
        let written = |change| match change {
            Change::Put(item) => Some(item),
            Change::Removed { .. } => None,
        };
        changes.into_iter().filter_map(written).collect()
    }
}

/// Timing of the watch of a prefix.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WatchTiming {
    /// Longest wait of a watch for a change.
    pub(crate) wait: Duration,
    /// Pause between a response and the next watch. Changes made meanwhile are returned together, in one call.
    pub(crate) cooldown: Duration,
}

impl WatchTiming {
    /// Returns the timing that reports each change at once.
    pub(crate) fn immediate(wait: Duration) -> WatchTiming {
        WatchTiming { wait, cooldown: Duration::ZERO }
    }
}

/// Follows a prefix until it is dropped, and passes all updates to `on`. The prefix is not read at first if `from`
/// gives the revision up to which it is known.
pub(crate) async fn follow(
    store: &dyn CoordinationStore,
    view: &View,
    prefix: &str,
    from: Option<Revision>,
    timing: WatchTiming,
    mut on_update: impl FnMut(PrefixUpdate),
) {
    let mut watcher = PrefixWatcher { from, backoff: Backoff::new() };
    loop {
        watcher.step(store, view, prefix, timing, &mut on_update).await;
    }
}

/// A watcher of a prefix, with the revision up to which the prefix is known.
pub(crate) struct PrefixWatcher {
    /// Revision to watch from; `None` if the prefix has to be read.
    pub(crate) from: Option<Revision>,
    pub(crate) backoff: Backoff,
}

impl PrefixWatcher {
    /// Reads the prefix, or watches it once, and passes updates to `on`. Returns whether the store has responded; if
    /// not, the call has paused.
    pub(crate) async fn step(
        &mut self,
        store: &dyn CoordinationStore,
        view: &View,
        prefix: &str,
        WatchTiming { wait, cooldown }: WatchTiming,
        on_update: &mut impl FnMut(PrefixUpdate),
    ) -> bool {
        let result = match self.from {
            None => Ok(Some(read(store, view, prefix, on_update).await)),
            Some(at) => view.abandon_on_reconnect(watch(store, prefix, at, wait, on_update)).await,
        };
        match result {
            Ok(at) => {
                view.record_store_response();
                self.backoff.reset();
                self.from = at;
                pause(cooldown).await;
                true
            }
            Err(e) => {
                log::debug!("event=watch_failed prefix={prefix} why={e}");
                self.backoff.wait().await;
                false
            }
        }
    }
}

async fn read(
    store: &dyn CoordinationStore,
    view: &View,
    prefix: &str,
    on_update: &mut impl FnMut(PrefixUpdate),
) -> Revision {
    let snapshot = paged_reads::read_all(store, view, prefix).await;
    on_update(PrefixUpdate::All(snapshot.items));
    snapshot.at
}

async fn watch(
    store: &dyn CoordinationStore,
    prefix: &str,
    at: Revision,
    wait: Duration,
    on_update: &mut impl FnMut(PrefixUpdate),
) -> Result<Option<Revision>, StoreError> {
    match store.watch(prefix.to_owned(), at, wait).await? {
        Watched::Changes { changes, at } => {
            if !changes.is_empty() {
                on_update(PrefixUpdate::Changes(changes));
            }
            Ok(Some(at))
        }
        Watched::Compacted => {
            log::info!("event=history_lost prefix={prefix} at={at}");
            Ok(None)
        }
    }
}
