//! Whether the store is reached, found out by asking it who schedules: what the watch on that has missed shows as well.

use std::sync::Arc;

use model::Duration;
use outside::{CoordinationStore, Item};

use crate::{election, keys, timers::pause, view::View};

/// The store is asked for a sign of life once it has been silent for so long.
const ASK_AFTER: Duration = Duration::from_millis(300);
/// From one question to the next, whether or not the one before was answered: within this the store's return is found
/// out, and a caller that comes back is taken.
const ASK_EVERY: Duration = Duration::from_millis(150);
/// The scheduler's key is read at least this often, also while other calls show that the store is reached: the watch of
/// it may have gone silent by itself.
const READ_EVERY: Duration = Duration::from_millis(1000);
/// An answer tells of a time at most so long ago ("seconds", by the users' protocol page).
const OLDEST: Duration = Duration::from_secs(10);
/// Limit of a question: a slow store takes 60 times its 4 ms.
const LIMIT: Duration = Duration::from_millis(500);

/// Keeps the box's belief fresh whether it reaches the store.
///
/// What waits for the store itself cannot tell: a watch on a store that has gone silent waits out its time, and then
/// once more if it was begun just before the store came back.
pub(crate) async fn run(store: Arc<dyn CoordinationStore>, view: Arc<View>) {
    let mut asked = view.clock().now();
    loop {
        pause(ASK_EVERY).await;
        let now = view.clock().now();
        let reached = view.time_since_store_response().is_some_and(|age| age < ASK_AFTER);
        // A box that schedules is told of the end of that as it renews its lease.
        if reached && (view.may_schedule() || now.since(asked) < READ_EVERY) {
            continue;
        }
        asked = now;
        let (store, view) = (Arc::clone(&store), Arc::clone(&view));
        let ask = async move {
            if let Ok(item) = store.get_stale(keys::SCHEDULER.to_owned(), LIMIT).await {
                view.record_store_response();
                take(&view, item.as_ref());
            }
        };
        smol::spawn(ask).detach();
    }
}

fn take(view: &View, item: Option<&Item>) {
    let leader = item.and_then(election::leader_of);
    view.compare_with_watch(leader.as_ref().map(|leader| leader.fence));
    match (item, leader) {
        (_, Some(leader)) => view.observe_leader(leader),
        (Some(_), None) => {}
        (None, None) => view.observe_no_leader(OLDEST),
    }
}
