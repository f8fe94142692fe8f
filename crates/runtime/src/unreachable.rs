//! The note of backend servers that no scheduler has reached lately: read by a new scheduler, and kept up to date by it.

use std::sync::Arc;

use model::{Duration, Revision};
use outside::{Committed, Item, Put, Transaction};
use scheduler::{Scheduler, UnreachableRecord, UnreachableWrite};

use crate::{
    active::Active,
    context::Context,
    keys,
    timers::{Backoff, pause},
};

/// How often there is a look for what to note. What is reached again gets no lease before it is withdrawn.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// How long a write may take.
const WRITE_LIMIT: Duration = Duration::from_millis(800);

/// The note of earlier schedulers, read for as long as it takes.
pub(crate) async fn read(cx: &Context) -> Option<Item> {
    let mut backoff = Backoff::new();
    loop {
        match cx.store.get(keys::UNREACHABLE.to_owned()).await {
            Ok(item) => return item,
            Err(e) => {
                log::info!("event=read_failed key={} why={e}", keys::UNREACHABLE);
                backoff.wait().await;
            }
        }
    }
}

/// Takes in what was read. One that cannot be read tells nothing, and is replaced.
pub(crate) fn restore(scheduler: &mut Scheduler, item: &Item) {
    let note = serde_json::from_slice(&item.value).unwrap_or_else(|e| {
        log::error!("event=unreached_unreadable key={} why={e}", item.key);
        UnreachableRecord::default()
    });
    scheduler.restore_unreachable(&note, item.revision);
}

/// Keeps the note, until it is dropped.
pub(crate) async fn run(cx: Context, active: Arc<Active>) {
    let mut backoff = Backoff::new();
    loop {
        pause(LOOK_EVERY).await;
        // What a note may name gets no lease until the store has taken another, so none is drawn up while the store could not.
        if !cx.view.is_store_reachable() {
            continue;
        }
        let now = cx.view.clock().now();
        let Some(write) = active.lock().next_unreachable_write(now) else { continue };
        match cx.store.commit(transaction(&active, &write), WRITE_LIMIT).await {
            Ok(Committed::Done(revision)) => {
                backoff.reset();
                active.update(|scheduler| scheduler.unreachable_stored(write, revision));
            }
            Ok(Committed::Conflict(items)) => {
                let found = items.iter().find(|item| item.key == keys::UNREACHABLE);
                active.lock().unreachable_revision_found(found.map_or(Revision(0), |item| item.revision));
                backoff.wait().await;
            }
            Ok(Committed::LeaseGone) => backoff.wait().await,
            Err(e) => {
                log::info!("event=unreached_not_noted fence={} why={e}", active.fence);
                backoff.wait().await;
            }
        }
    }
}

/// A write that only the elected scheduler can make, in place of the note that it knows of.
fn transaction(active: &Active, write: &UnreachableWrite) -> Transaction {
    let value = serde_json::to_vec(&write.record).expect("our own types always serialize");
    Transaction {
        expect: vec![
            (keys::SCHEDULER.to_owned(), Revision(active.fence.0)),
            (keys::UNREACHABLE.to_owned(), write.replaces),
        ],
        put: vec![Put { key: keys::UNREACHABLE.to_owned(), value, lease: None }],
        remove: Vec::new(),
    }
}
