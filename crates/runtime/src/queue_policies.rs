//! The stored record of the policies of queues: read by a new scheduler, which then keeps it up to date.

use std::sync::Arc;

use model::{Duration, Revision};
use outside::Item;
use scheduler::{QueuePolicyRecord, Scheduler};

use crate::{
    active::Active,
    context::Context,
    keys,
    stored_record::{self, RecordWrite},
    timers::{Backoff, pause},
};

/// Interval at which the scheduler checks whether the record is to be replaced. A change of the configuration that the
/// scheduler does not outlive by this time is not recorded.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Applies the record that was read.
pub(crate) fn restore(scheduler: &mut Scheduler, item: &Item) {
    scheduler.restore_queue_policies(decode_record(item), item.revision);
}

/// Decodes a record. One that cannot be decoded counts as empty, and is replaced.
fn decode_record(item: &Item) -> QueuePolicyRecord {
    serde_json::from_slice(&item.value).unwrap_or_else(|e| {
        log::error!("event=queue_policies_unreadable key={} why={e}", item.key);
        QueuePolicyRecord::default()
    })
}

/// Writes the record whenever it changes, until it is dropped.
pub(crate) async fn run(cx: Context, active: Arc<Active>) {
    let mut backoff = Backoff::new();
    loop {
        pause(CHECK_INTERVAL).await;
        if !cx.view.is_store_reachable() {
            continue;
        }
        let Some(write) = active.lock().next_queue_policy_write() else { continue };
        let value = serde_json::to_vec(&write.record).expect("our own types always serialize");
        match stored_record::replace(&cx, &active, keys::QUEUE_POLICIES, value, write.replaces).await {
            Ok(RecordWrite::Stored(revision)) => {
                backoff.reset();
                active.lock().queue_policies_found(write.record, revision);
            }
            Ok(RecordWrite::Found(item)) => {
                let revision = item.as_ref().map_or(Revision(0), |item| item.revision);
                let record = item.as_ref().map(decode_record).unwrap_or_default();
                active.lock().queue_policies_found(record, revision);
                backoff.wait().await;
            }
            Ok(RecordWrite::Deposed) => backoff.wait().await,
            Err(e) => {
                log::info!("event=queue_policies_not_stored fence={} why={e}", active.fence);
                backoff.wait().await;
            }
        }
    }
}
