//! The witnesses in the store: read by a new scheduler, and kept up to date by it.

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

/// How often there is a look for others to choose.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// How long a write may take.
const WRITE_LIMIT: Duration = Duration::from_millis(800);

/// The witnesses of earlier schedulers, read for as long as it takes.
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

/// Takes in what was read since the election. What cannot be read binds nobody.
pub(crate) fn restore(scheduler: &mut Scheduler, item: Option<&Item>, binding: bool) {
    let revision = item.map_or(Revision(0), |item| item.revision);
    scheduler.restore_witnesses(item.and_then(note_of), revision, binding);
}

fn note_of(item: &Item) -> Option<WitnessRecord> {
    serde_json::from_slice(&item.value)
        .inspect_err(|e| log::error!("event=witnesses_unreadable key={} why={e}", item.key))
        .ok()
}

/// Keeps them, until it is dropped.
pub(crate) async fn run(cx: Context, active: Arc<Active>) {
    let mut backoff = Backoff::new();
    loop {
        pause(LOOK_EVERY).await;
        if !cx.view.is_store_reachable() {
            continue;
        }
        let now = cx.view.clock().now();
        let Some(write) = active.lock().next_witness_write(now) else { continue };
        match cx.store.commit(transaction(&active, &write), WRITE_LIMIT).await {
            Ok(Committed::Done(revision)) => {
                backoff.reset();
                active.lock().witnesses_stored(write, revision);
            }
            Ok(Committed::Conflict(items)) => take_found(&active, &items),
            Ok(Committed::LeaseGone) => backoff.wait().await,
            Err(e) => {
                log::info!("event=witnesses_not_stored fence={} why={e}", active.fence);
                backoff.wait().await;
            }
        }
    }
}

/// Other witnesses stand in the store. They are this scheduler's own as long as nobody else has been elected.
fn take_found(active: &Active, items: &[Item]) {
    let in_office = items.iter().any(|item| item.key == keys::SCHEDULER && item.revision.0 == active.fence.0);
    let found = items.iter().find(|item| item.key == keys::WITNESSES);
    if let Some(item) = found.filter(|_| in_office) {
        active.lock().witnesses_found(note_of(item), item.revision);
    }
}

/// A write that only the elected scheduler can make, in place of the witnesses that it knows of.
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
