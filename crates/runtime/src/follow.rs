//! Follows a prefix of the store: reads it, watches it, and reads it again when history is lost.

use model::{Duration, Revision};
use outside::{Change, CoordinationStore, Item, StoreError, Watched};

use crate::view::View;

/// Pause after a failed call, doubled up to [`LONGEST_PAUSE`], each time with half of it drawn at random.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// A box that is cut off looks this often whether it still is.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// What is seen of a prefix.
pub(crate) enum Seen {
    /// All that there is.
    All(Vec<Item>),
    /// What has changed, in order.
    Changes(Vec<Change>),
}

/// Waits between tries of a call.
pub(crate) struct Backoff {
    pause: Duration,
}

impl Backoff {
    pub(crate) fn new() -> Backoff {
        Backoff { pause: FIRST_PAUSE }
    }

    pub(crate) fn reset(&mut self) {
        self.pause = FIRST_PAUSE;
    }

    pub(crate) async fn wait(&mut self) {
        self.wait_at_most(LONGEST_PAUSE).await;
    }

    /// Waits, but no longer than what is left of the caller's time.
    pub(crate) async fn wait_at_most(&mut self, left: Duration) {
        let pause = self.pause.scaled(0.5 + fastrand::f64() / 2.0).min(left);
        self.pause = self.pause.scaled(2.0).min(LONGEST_PAUSE);
        smol::Timer::after(pause.into()).await;
    }
}

/// Tells `on` everything about a prefix, until it is dropped. A watch waits at most `wait`. Nothing is read
/// at first if `from` tells up to where the prefix is known.
pub(crate) async fn follow(
    store: &dyn CoordinationStore,
    view: &View,
    prefix: &str,
    mut from: Option<Revision>,
    wait: Duration,
    mut on: impl FnMut(Seen),
) {
    let mut backoff = Backoff::new();
    loop {
        let result = match from {
            None => read(store, prefix, &mut on).await.map(Some),
            Some(at) => watch(store, prefix, at, wait, &mut on).await,
        };
        match result {
            Ok(at) => {
                view.store_answered();
                backoff.reset();
                from = at;
            }
            Err(e) => {
                log::debug!("event=watch_failed prefix={prefix} why={e}");
                backoff.wait().await;
            }
        }
    }
}

async fn read(store: &dyn CoordinationStore, prefix: &str, on: &mut impl FnMut(Seen)) -> Result<Revision, StoreError> {
    let snapshot = store.range(prefix.to_owned()).await?;
    on(Seen::All(snapshot.items));
    Ok(snapshot.at)
}

async fn watch(
    store: &dyn CoordinationStore,
    prefix: &str,
    at: Revision,
    wait: Duration,
    on: &mut impl FnMut(Seen),
) -> Result<Option<Revision>, StoreError> {
    match store.watch(prefix.to_owned(), at, wait).await? {
        Watched::Changes { changes, at } => {
            if !changes.is_empty() {
                on(Seen::Changes(changes));
            }
            Ok(Some(at))
        }
        Watched::Forgotten => {
            log::info!("event=history_lost prefix={prefix} at={at}");
            Ok(None)
        }
    }
}
