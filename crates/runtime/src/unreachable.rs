//! The stored record of backend servers that no scheduler has reached recently: read by a new scheduler, which then
//! keeps it up to date.

use std::sync::Arc;

use model::{Duration, Revision};
use outside::Item;
use scheduler::{Scheduler, UnreachableRecord};

use crate::{
    active::Active,
    context::Context,
    keys,
    stored_record::{self, RecordWrite},
    timers::{Backoff, pause},
};

/// Interval at which the scheduler checks for changes of the record. A backend server that is reachable again gets no
/// lease until it has been withdrawn.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Applies the record that was read. One that cannot be decoded counts as empty, and is replaced.
pub(crate) fn restore(scheduler: &mut Scheduler, item: &Item) {
    let record = serde_json::from_slice(&item.value).unwrap_or_else(|e| {
        log::error!("event=unreached_unreadable key={} why={e}", item.key);
        UnreachableRecord::default()
    });
    scheduler.restore_unreachable(&record, item.revision);
}

/// Writes the record whenever it changes, until it is dropped.
pub(crate) async fn run(cx: Context, active: Arc<Active>) {
    let mut backoff = Backoff::new();
    loop {
        pause(CHECK_INTERVAL).await;
        // A backend server that may be recorded gets no lease until the store has taken a later record, so no record is
        // made while the store cannot take one.
        if !cx.view.is_store_reachable() {
            continue;
        }
        let now = cx.view.clock().now();
        let Some(write) = active.lock().next_unreachable_write(now) else { continue };
        let value = serde_json::to_vec(&write.record).expect("our own types always serialize");
        match stored_record::replace(&cx, &active, keys::UNREACHABLE, value, write.replaces).await {
            Ok(RecordWrite::Stored(revision)) => {
                backoff.reset();
                active.update(|scheduler| scheduler.unreachable_stored(write, revision));
            }
            Ok(RecordWrite::Found(item)) => {
                active.lock().unreachable_revision_found(item.map_or(Revision(0), |item| item.revision));
                backoff.wait().await;
            }
            Ok(RecordWrite::Deposed) => backoff.wait().await,
            Err(e) => {
                log::info!("event=unreached_not_noted fence={} why={e}", active.fence);
                backoff.wait().await;
            }
        }
    }
}
