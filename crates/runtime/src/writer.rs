//! Writes the scheduler's progress to the store, as much in each call as has come up.
//!
//! While the store answers at once, there is one write at a time. Where an answer is slow or lost, others go on beside it, of other jobs.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use jobs::OccurrenceId;
use model::{Duration, Revision};
use outside::{Committed, Item, Put, StoreError, Transaction};
use scheduler::WriteBatch;
use smol::channel::{Receiver, Sender};

use crate::{
    active::Active,
    context::Context,
    evacuation, keys,
    timeout_estimator::TimeoutEstimator,
    timers::{Backoff, pause, with_timeout},
};

/// What one call may hold, conditions and writes together (users' store).
const MOST_IN_A_CALL: usize = 32;
/// A write that has no answer by then at the latest is made up for by the next. Above a slow store's answer (60 times 4 ms).
const WRITE_LIMIT: Duration = Duration::from_millis(800);
/// Most writes under way.
const MOST_AT_ONCE: usize = 8;
/// Another write leaves beside one that has had no answer for so long: sooner, what comes up meanwhile goes together
/// into the next, which saves calls.
const BESIDE_AFTER: Duration = Duration::from_millis(20);
/// While the store has answered nothing for so long, more than one write at a time would ask it in vain.
const LATELY: Duration = Duration::from_millis(500);

/// What the writes of one scheduler share.
struct Writer {
    cx: Context,
    active: Arc<Active>,
    timeout_estimator: Mutex<TimeoutEstimator>,
    backoff: Mutex<Backoff>,
    /// Holds a token when a write is over.
    over: (Sender<()>, Receiver<()>),
}

/// Writes until another scheduler is found in the store, or until it is dropped.
pub(crate) async fn run(cx: Context, active: Arc<Active>) {
    let writer = Arc::new(Writer {
        cx,
        active: Arc::clone(&active),
        timeout_estimator: Mutex::new(TimeoutEstimator::new(WRITE_LIMIT)),
        backoff: Mutex::new(Backoff::new()),
        over: smol::channel::bounded(1),
    });
    let mut under_way: Vec<smol::Task<()>> = Vec::new();
    loop {
        under_way.retain(|write| !write.is_finished());
        if !under_way.is_empty() {
            let over = async {
                let _ = writer.over.1.recv().await;
            };
            if under_way.len() >= MOST_AT_ONCE || !writer.store_answers() {
                over.await;
                continue;
            }
            with_timeout(BESIDE_AFTER, over).await;
        }
        match next_write_batch(&active) {
            Some(batch) => under_way.push(smol::spawn(Arc::clone(&writer).write(batch))),
            None => active.write_requested().await,
        }
    }
}

impl Writer {
    /// Whether the store has answered lately.
    fn store_answers(&self) -> bool {
        self.cx.view.time_since_store_response().is_some_and(|age| age < LATELY)
    }

    /// Makes one write; what it has not stored is given again.
    async fn write(self: Arc<Writer>, batch: WriteBatch) {
        let Writer { cx, active, .. } = &*self;
        let transaction = transaction(cx, active, &batch);
        let limit = self.lock().timeout();
        let sent = cx.view.clock().now();
        let result = cx.view.abandon_on_reconnect(cx.store.commit(transaction, limit)).await;
        let took = cx.view.clock().now().since(sent);
        match &result {
            Ok(_) => {
                self.lock().record_response(took);
                self.backoff.lock().expect("no holder panics").reset();
                cx.view.record_store_response();
            }
            Err(StoreError::Lost { .. }) => self.lock().record_timeout(),
            Err(StoreError::Refused { .. }) => {}
        }
        match result {
            Ok(Committed::Done(revision)) => {
                let acknowledged = active.update(|scheduler| scheduler.batch_stored(batch, revision));
                active.links.notify_stored(&acknowledged);
            }
            Ok(Committed::Conflict(items)) if !holds_key(active, &items) => {
                log::info!("event=deposed fence={} why=scheduler_key_changed", active.fence);
                active.lose_leadership();
            }
            Ok(Committed::Conflict(items)) => {
                evacuation::apply_conflict(cx, active, &batch.placement_zones, &items);
                let found = revisions_found(&batch, &items);
                active.update(|scheduler| {
                    scheduler.stored_revisions_found(&found);
                    scheduler.batch_failed(&batch);
                });
            }
            Ok(Committed::LeaseGone) => self.give_back(&batch).await,
            Err(e) => {
                let doubt = matches!(e, StoreError::Lost { .. });
                log::info!(
                    "event=write_failed fence={} entries={} doubt={doubt} limit_ms={} why={e}",
                    active.fence,
                    batch.writes.len(),
                    limit.millis()
                );
                self.give_back(&batch).await;
            }
        }
        // A full channel holds the news already.
        let _ = self.over.0.try_send(());
    }

    /// What was not stored is written again, after a pause.
    async fn give_back(&self, batch: &WriteBatch) {
        let next = self.backoff.lock().expect("no holder panics").next();
        pause(next).await;
        self.active.update(|scheduler| scheduler.batch_failed(batch));
    }

    fn lock(&self) -> MutexGuard<'_, TimeoutEstimator> {
        self.timeout_estimator.lock().expect("no holder panics")
    }
}

/// As many occurrences as fit in one call: each takes a condition and a write, beside one condition for the scheduler's
/// key and one for each availability zone.
fn next_write_batch(active: &Active) -> Option<WriteBatch> {
    let mut scheduler = active.lock();
    let conditions = 1 + scheduler.availability_zones();
    scheduler.next_write_batch((MOST_IN_A_CALL.saturating_sub(conditions) / 2).max(1))
}

/// Whether the scheduler's key stands as this scheduler wrote it.
fn holds_key(active: &Active, items: &[Item]) -> bool {
    let holder = items.iter().find(|item| item.key == keys::SCHEDULER);
    holder.is_some_and(|holder| holder.revision.0 == active.fence.0)
}

/// The store's revisions of what a batch was to replace; 0 where there is nothing.
fn revisions_found(batch: &WriteBatch, items: &[Item]) -> BTreeMap<OccurrenceId, Revision> {
    let mut found: BTreeMap<OccurrenceId, Revision> =
        batch.writes.iter().map(|entry| (entry.occurrence, Revision(0))).collect();
    for item in items {
        if let Some(id) = keys::occurrence(&item.key) {
            found.insert(id, item.revision);
        }
    }
    found
}

/// A batch as a write that only the elected scheduler can make.
fn transaction(cx: &Context, active: &Active, batch: &WriteBatch) -> Transaction {
    let mut transaction = Transaction::default();
    transaction.expect.push((keys::SCHEDULER.to_owned(), Revision(active.fence.0)));
    transaction.expect.extend(evacuation::conditions(&*cx.decoder, &active.evacuations, &batch.placement_zones));
    for entry in &batch.writes {
        let key = keys::progress(entry.occurrence);
        transaction.expect.push((key.clone(), entry.replaces));
        let value = serde_json::to_vec(&entry.progress).expect("our own types always serialize");
        transaction.put.push(Put { key, value, lease: None });
    }
    transaction
}
