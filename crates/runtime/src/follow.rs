//! Follows a prefix of the store: reads it, watches it, and reads it again when history is lost.

use model::{Duration, Revision};
use outside::{Change, CoordinationStore, Item, StoreError, Watched};

use crate::{
    paged_reads,
    timers::{Backoff, pause},
    view::View,
};

/// What is seen of a prefix.
pub(crate) enum PrefixUpdate {
    /// All that there is.
    All(Vec<Item>),
    /// What has changed, in order.
    Changes(Vec<Change>),
}

impl PrefixUpdate {
    /// The items that are there or were written, in order; without what was removed.
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

/// How a prefix is watched.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WatchTiming {
    /// A watch waits at most this long for a change.
    pub(crate) wait: Duration,
    /// From one answer to the next watch: what changes meanwhile comes in one answer, which costs one call.
    pub(crate) cooldown: Duration,
}

impl WatchTiming {
    /// Every change is told at once.
    pub(crate) fn immediate(wait: Duration) -> WatchTiming {
        WatchTiming { wait, cooldown: Duration::ZERO }
    }
}

/// Tells `on` everything about a prefix, until it is dropped. Nothing is read at first if `from` tells up to where the
/// prefix is known.
pub(crate) async fn follow(
    store: &dyn CoordinationStore,
    view: &View,
    prefix: &str,
    from: Option<Revision>,
    pace: WatchTiming,
    mut on: impl FnMut(PrefixUpdate),
) {
    let mut follower = PrefixWatcher { from, backoff: Backoff::new() };
    loop {
        follower.step(store, view, prefix, pace, &mut on).await;
    }
}

/// Up to where a prefix is known.
pub(crate) struct PrefixWatcher {
    /// `None` if it has to be read.
    pub(crate) from: Option<Revision>,
    pub(crate) backoff: Backoff,
}

impl PrefixWatcher {
    /// Reads the prefix, or watches it once, and tells `on` what is news. Returns whether the store has answered; if not, there was a pause.
    pub(crate) async fn step(
        &mut self,
        store: &dyn CoordinationStore,
        view: &View,
        prefix: &str,
        WatchTiming { wait, cooldown }: WatchTiming,
        on: &mut impl FnMut(PrefixUpdate),
    ) -> bool {
        let result = match self.from {
            None => Ok(Some(read(store, view, prefix, on).await)),
            Some(at) => view.abandon_on_reconnect(watch(store, prefix, at, wait, on)).await,
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

async fn read(store: &dyn CoordinationStore, view: &View, prefix: &str, on: &mut impl FnMut(PrefixUpdate)) -> Revision {
    let snapshot = paged_reads::read_all(store, view, prefix).await;
    on(PrefixUpdate::All(snapshot.items));
    snapshot.at
}

async fn watch(
    store: &dyn CoordinationStore,
    prefix: &str,
    at: Revision,
    wait: Duration,
    on: &mut impl FnMut(PrefixUpdate),
) -> Result<Option<Revision>, StoreError> {
    match store.watch(prefix.to_owned(), at, wait).await? {
        Watched::Changes { changes, at } => {
            if !changes.is_empty() {
                on(PrefixUpdate::Changes(changes));
            }
            Ok(Some(at))
        }
        Watched::Compacted => {
            log::info!("event=history_lost prefix={prefix} at={at}");
            Ok(None)
        }
    }
}
