//! Writes the scheduler's progress to the store, one call at a time, as much in each as has come up.

use std::{collections::BTreeMap, sync::Arc};

use jobs::OccurrenceId;
use model::{Duration, Revision};
use outside::{Committed, Item, Put, StoreError, Transaction};
use scheduler::Batch;

use crate::{active::Active, evacuation, keys, leader::Parts, wait::Backoff};

/// What one call may hold, conditions and writes together (users' store).
const MOST_IN_A_CALL: usize = 32;
/// A write that has no answer by then is made up for by the next. Above a slow store's answer (60 times 4 ms).
const WRITE_LIMIT: Duration = Duration::from_millis(800);

/// Writes until another scheduler is found in the store, or until it is dropped.
pub(crate) async fn run(parts: Parts, active: Arc<Active>) {
    let mut backoff = Backoff::new();
    loop {
        let batch = next_batch(&active);
        let Some(batch) = batch else {
            active.changed().await;
            continue;
        };
        let transaction = transaction(&parts, &active, &batch);
        match parts.view.unless_back(parts.store.commit(transaction, WRITE_LIMIT)).await {
            Ok(Committed::Done(revision)) => {
                backoff.reset();
                parts.view.store_answered();
                let acknowledged = active.update(|scheduler| scheduler.stored(batch, revision));
                active.links.tell_stored(&acknowledged);
            }
            Ok(Committed::Conflict(items)) => {
                if !holds_key(&active, &items) {
                    log::info!("event=deposed fence={} why=scheduler_key_changed", active.fence);
                    active.depose();
                    return;
                }
                evacuation::take_found(&parts, &active, &batch.places_in, &items);
                active.lock().found_in_store(&revisions_found(&batch, &items));
            }
            Ok(Committed::LeaseGone) => backoff.wait().await,
            Err(e) => {
                let doubt = matches!(e, StoreError::Lost { .. });
                log::info!(
                    "event=write_failed fence={} entries={} doubt={doubt} why={e}",
                    active.fence,
                    batch.entries.len()
                );
                backoff.wait().await;
            }
        }
    }
}

/// As many occurrences as fit in one call: each takes a condition and a write, beside one condition for the scheduler's
/// key and one for each availability zone.
fn next_batch(active: &Active) -> Option<Batch> {
    let scheduler = active.lock();
    let conditions = 1 + scheduler.availability_zones();
    scheduler.next_batch((MOST_IN_A_CALL.saturating_sub(conditions) / 2).max(1))
}

/// Whether the scheduler's key stands as this scheduler wrote it.
fn holds_key(active: &Active, items: &[Item]) -> bool {
    let holder = items.iter().find(|item| item.key == keys::SCHEDULER);
    holder.is_some_and(|holder| holder.revision.0 == active.fence.0)
}

/// The store's revisions of what a batch was to replace; 0 where there is nothing.
fn revisions_found(batch: &Batch, items: &[Item]) -> BTreeMap<OccurrenceId, Revision> {
    let mut found: BTreeMap<OccurrenceId, Revision> =
        batch.entries.iter().map(|entry| (entry.occurrence, Revision(0))).collect();
    for item in items {
        if let Some(id) = keys::occurrence(&item.key) {
            found.insert(id, item.revision);
        }
    }
    found
}

/// A batch as a write that only the elected scheduler can make.
fn transaction(parts: &Parts, active: &Active, batch: &Batch) -> Transaction {
    let mut transaction = Transaction::default();
    transaction.expect.push((keys::SCHEDULER.to_owned(), Revision(active.fence.0)));
    transaction.expect.extend(evacuation::conditions(&*parts.decoder, &active.evacuations, &batch.places_in));
    for entry in &batch.entries {
        let key = keys::progress(entry.occurrence);
        transaction.expect.push((key.clone(), entry.replaces));
        let value = serde_json::to_vec(&entry.progress).expect("our own types always serialize");
        transaction.put.push(Put { key, value, lease: None });
    }
    transaction
}
