//! The stored record of witnesses: read by a new scheduler, which then keeps it up to date.

use std::sync::Arc;

use model::{Duration, Revision};
use outside::{Committed, Item, Put, Transaction};
use scheduler::{Scheduler, WitnessRecord, WitnessWrite};

use crate::{
    active::Active,
    context::Context,
    keys,
    timers::{Backoff, pause},
};

/// Interval at which the scheduler checks whether other witnesses should be chosen.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a write.
const WRITE_TIMEOUT: Duration = Duration::from_millis(800);

/// Reads the witnesses of earlier schedulers, with retries until the store responds.
pub(crate) async fn read(cx: &Context) -> Option<Item> {
    let mut backoff = Backoff::new();
    loop {
        match cx.store.get(keys::WITNESSES.to_owned()).await {
            Ok(item) => return item,
            Err(e) => {
                log::info!("event=read_failed key={} why={e}", keys::WITNESSES);
                backoff.wait().await;
            }
        }
    }
}

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
        match cx.store.commit(transaction(&active, &write), WRITE_TIMEOUT).await {
            Ok(Committed::Done(revision)) => {
                backoff.reset();
                active.lock().witnesses_stored(write, revision);
            }
            Ok(Committed::Conflict(items)) => apply_conflict(&active, &items),
            Ok(Committed::LeaseGone) => backoff.wait().await,
            Err(e) => {
                log::info!("event=witnesses_not_stored fence={} why={e}", active.fence);
                backoff.wait().await;
            }
        }
    }
}

/// Applies the record that a conflict has shown. It is of this scheduler as long as no other has been elected.
fn apply_conflict(active: &Active, items: &[Item]) {
    let is_elected = items.iter().any(|item| item.key == keys::SCHEDULER && item.revision.0 == active.fence.0);
    let found = items.iter().find(|item| item.key == keys::WITNESSES);
    if let Some(item) = found.filter(|_| is_elected) {
        active.lock().witnesses_found(decode_record(item), item.revision);
    }
}

/// Makes a write that replaces the last known record, conditional on this scheduler being the elected one.
fn transaction(active: &Active, write: &WitnessWrite) -> Transaction {
    let value = serde_json::to_vec(&write.record).expect("our own types always serialize");
    Transaction {
        expect: vec![
            (keys::SCHEDULER.to_owned(), Revision(active.fence.0)),
            (keys::WITNESSES.to_owned(), write.replaces),
        ],
        put: vec![Put { key: keys::WITNESSES.to_owned(), value, lease: None }],
        remove: Vec::new(),
    }
}
