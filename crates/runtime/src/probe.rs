//! Whether the store is reached, found out by asking it who schedules: what the watch on that has missed shows as well.

use std::sync::Arc;

use model::Duration;
use outside::CoordinationStore;

use crate::{election, keys, view::View, wait::pause};

/// The store is asked for a sign of life once it has been silent for so long.
const ASK_AFTER: Duration = Duration::from_millis(300);
/// From one question to the next, whether or not the one before was answered: within this the store's return is found
/// out, and a caller that comes back is taken.
const ASK_EVERY: Duration = Duration::from_millis(150);
/// An answer tells of a time at most so long ago ("seconds", by the users' protocol page).
const OLDEST: Duration = Duration::from_secs(10);
/// Limit of a question: a slow store takes 60 times its 4 ms.
const LIMIT: Duration = Duration::from_millis(500);

/// Keeps the box's belief fresh whether it reaches the store.
///
/// What waits for the store itself cannot tell: a watch on a store that has gone silent waits out its time, and then
/// once more if it was begun just before the store came back.
pub(crate) async fn run(store: Arc<dyn CoordinationStore>, view: Arc<View>) {
    loop {
        pause(ASK_EVERY).await;
        if view.store_age().is_some_and(|age| age < ASK_AFTER) {
            continue;
        }
        let (store, view) = (Arc::clone(&store), Arc::clone(&view));
        let ask = async move {
            if let Ok(item) = store.peek(keys::SCHEDULER.to_owned(), LIMIT).await {
                view.store_answered();
                match item {
                    Some(item) => election::leader_of(&item).into_iter().for_each(|leader| view.take_leader(leader)),
                    None => view.take_no_leader(OLDEST),
                }
            }
        };
        smol::spawn(ask).detach();
    }
}
