//! The stored record of witnesses: read by a new scheduler, which then keeps it up to date.

use std::sync::Arc;

use model::{Duration, Revision};
use outside::Item;
use scheduler::{Scheduler, WitnessRecord};

use crate::{
    active::Active,
    context::Context,
    keys,
    stored_record::{self, RecordWrite},
    timers::{Backoff, pause},
};

/// Interval at which the scheduler checks whether other witnesses should be chosen.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Applies the record that was read since the election. A record that cannot be decoded binds no scheduler.
pub(crate) fn restore(scheduler: &mut Scheduler, item: Option<&Item>, binding: bool) {
    let revision = item.map_or(Revision(0), |item| item.revision);
    scheduler.restore_witnesses(item.and_then(decode_record), revision, binding);
}

fn decode_record(item: &Item) -> Option<WitnessRecord> {
    serde_json::from_slice(&item.value)
        .inspect_err(|e| log::error!("event=witnesses_unreadable key={} why={e}", item.key))
        .ok()
}

/// Writes the record whenever it changes, until it is dropped.
pub(crate) async fn run(cx: Context, active: Arc<Active>) {
    let mut backoff = Backoff::new();
    loop {
        pause(CHECK_INTERVAL).await;
        if !cx.view.is_store_reachable() {
            continue;
        }
        let now = cx.view.clock().now();
        let Some(write) = active.lock().next_witness_write(now) else { continue };
        let value = serde_json::to_vec(&write.record).expect("our own types always serialize");
        match stored_record::replace(&cx, &active, keys::WITNESSES, value, write.replaces).await {
            Ok(RecordWrite::Stored(revision)) => {
                backoff.reset();
                active.lock().witnesses_stored(write, revision);
            }
            Ok(RecordWrite::Found(Some(item))) => active.lock().witnesses_found(decode_record(&item), item.revision),
            Ok(RecordWrite::Found(None) | RecordWrite::Deposed) => {}
            Err(e) => {
                log::info!("event=witnesses_not_stored fence={} why={e}", active.fence);
                backoff.wait().await;
            }
        }
    }
}
