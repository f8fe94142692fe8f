//! Writes the scheduler's progress to the store, one call at a time, as much in each as has come up.

use std::{collections::BTreeMap, sync::Arc};

use model::{Duration, Revision};
use outside::{Committed, Put, StoreError, Transaction};
use scheduler::Batch;

use crate::{
    follow::Backoff,
    keys,
    leader::{Active, Parts},
};

/// Most occurrences in one call: each takes a condition and a write, and the scheduler's key a condition, of
/// the 32 entries that the users' store allows.
const MOST_ENTRIES: usize = 15;
/// A write that has no answer by then is made up for by the next. Above a slow store's answer (60 times 4 ms).
const WRITE_LIMIT: Duration = Duration::from_millis(800);

/// Jobs that are removed before anything else is looked at again.
const MOST_FORGOTTEN: usize = 8;
/// Keys in one removal, beside the condition on the scheduler's key (32 entries in all).
const MOST_REMOVED: usize = 30;
/// How often jobs that no one asks for any more are looked for.
const FORGET_EVERY: Duration = Duration::from_secs(5);

/// Writes until another scheduler is found in the store, or until it is dropped.
pub(crate) async fn run(parts: Parts, active: Arc<Active>) {
    let mut backoff = Backoff::new();
    loop {
        let batch = active.lock().next_batch(MOST_ENTRIES);
        let Some(batch) = batch else {
            wait_or_forget(&parts, &active).await;
            continue;
        };
        let transaction = transaction(&active, &batch);
        match parts.store.commit(transaction, WRITE_LIMIT).await {
            Ok(Committed::Done(revision)) => {
                backoff.reset();
                parts.view.store_answered();
                active.update(|scheduler| scheduler.stored(batch, revision));
                active.links.tell_stored();
            }
            Ok(Committed::Conflict(items)) => {
                let holder = items.iter().find(|item| item.key == keys::SCHEDULER);
                if holder.is_none_or(|holder| holder.revision.0 != active.fence.0) {
                    log::info!("event=deposed fence={} why=scheduler_key_changed", active.fence);
                    active.depose();
                    return;
                }
                let mut found: BTreeMap<_, Revision> =
                    batch.entries.iter().map(|entry| (entry.occurrence, Revision(0))).collect();
                for item in &items {
                    if let Some(id) = keys::occurrence(&item.key) {
                        found.insert(id, item.revision);
                    }
                }
                active.lock().found_in_store(&found);
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

/// Waits until something is to be stored; meanwhile removes what no one asks for any more.
async fn wait_or_forget(parts: &Parts, active: &Active) {
    let forgotten = active.lock().forgettable(parts.view.clock().now(), MOST_FORGOTTEN);
    if forgotten.is_empty() {
        let tick = async {
            smol::Timer::after(FORGET_EVERY.into()).await;
        };
        futures_lite::FutureExt::or(active.changed(), tick).await;
        return;
    }
    for old in &forgotten {
        // The job goes last: a removal that breaks off is taken up again for as long as the job is there.
        let mut remove: Vec<String> = old.occurrences.iter().map(|id| keys::progress(*id)).collect();
        remove.extend([keys::cancel(old.job), keys::job(old.job)]);
        for chunk in remove.chunks(MOST_REMOVED) {
            let expect = vec![(keys::SCHEDULER.to_owned(), Revision(active.fence.0))];
            let transaction = Transaction { expect, put: Vec::new(), remove: chunk.to_vec() };
            match parts.store.commit(transaction, WRITE_LIMIT).await {
                Ok(Committed::Done(_)) => {}
                outcome => {
                    log::info!("job={} event=not_forgotten outcome={outcome:?}", old.job);
                    smol::Timer::after(FORGET_EVERY.into()).await;
                    return;
                }
            }
        }
        log::info!("job={} event=forgotten", old.job);
        active.lock().forget(std::slice::from_ref(old));
    }
}

fn transaction(active: &Active, batch: &Batch) -> Transaction {
    let mut transaction = Transaction::default();
    transaction.expect.push((keys::SCHEDULER.to_owned(), Revision(active.fence.0)));
    for entry in &batch.entries {
        let key = keys::progress(entry.occurrence);
        transaction.expect.push((key.clone(), entry.replaces));
        let value = serde_json::to_vec(&entry.progress).expect("our own types always serialize");
        transaction.put.push(Put { key, value, lease: None });
    }
    transaction
}
