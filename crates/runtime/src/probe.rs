//! Probes whether the store is reachable, by reads of the scheduler's key. They also reveal changes that the watch on
//! this key has missed.

use std::sync::Arc;

use model::Duration;
use outside::{CoordinationStore, Item};

use crate::{election, keys, timers::pause, view::View};

/// Time without a response after which the store is probed.
const PROBE_DELAY: Duration = Duration::from_millis(300);
/// Interval between probes, whether or not the previous one was answered. Within it the recovery of the store is
/// noticed, and a returning caller is accepted.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Longest interval between reads of the scheduler's key, also while other calls show that the store is reachable: the
/// watch on the key may be broken by itself.
const MAX_READ_INTERVAL: Duration = Duration::from_millis(1000);
/// Greatest age of the state that a stale read returns ("seconds", by the platform protocol).
const MAX_STALENESS: Duration = Duration::from_secs(10);
/// Timeout of a probe; a slow store takes 60 times 4 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Keeps the view of the box up to date on whether the store is reachable.
///
/// Calls that wait for the store cannot do this: a watch on a store that has stopped responding waits for its whole
/// time, and once more if it was started just before the store recovered.
pub(crate) async fn run(store: Arc<dyn CoordinationStore>, view: Arc<View>) {
    let mut last_probe = view.clock().now();
    loop {
        pause(PROBE_INTERVAL).await;
        let now = view.clock().now();
        let is_reachable = view.time_since_store_response().is_some_and(|age| age < PROBE_DELAY);
        // A scheduling box learns of the end of its term by the renewal of its lease.
        if is_reachable && (view.may_schedule() || now.since(last_probe) < MAX_READ_INTERVAL) {
            continue;
        }
        last_probe = now;
        let (store, view) = (Arc::clone(&store), Arc::clone(&view));
        let probe = async move {
            if let Ok(item) = store.get_stale(keys::SCHEDULER.to_owned(), PROBE_TIMEOUT).await {
                view.record_store_response();
                apply_read(&view, item.as_ref());
            }
        };
        smol::spawn(probe).detach();
    }
}

fn apply_read(view: &View, item: Option<&Item>) {
    let leader = item.and_then(election::leader_of);
    view.compare_with_watch(leader.as_ref().map(|leader| leader.fence));
    match (item, leader) {
        (_, Some(leader)) => view.observe_leader(leader),
        (Some(_), None) => {}
        (None, None) => view.observe_no_leader(MAX_STALENESS),
    }
}
