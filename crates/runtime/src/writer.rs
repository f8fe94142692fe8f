//! Writes the progress of the scheduler to the store, as much in each call as is pending.
//!
//! While the store responds at once, one write is in flight at a time. While a response is slow or lost, writes for
//! other jobs are sent concurrently.

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
    term_tasks::TermTasks,
    timeout_estimator::TimeoutEstimator,
    timers::{Backoff, pause, with_timeout},
};

/// Most conditions and writes of a transaction together, by the protocol of the platform's store.
const MAX_TRANSACTION_ITEMS: usize = 32;
/// Upper bound of the timeout of a write, after which the next write repeats its content. Above the response time of a
/// slow store (60 times 4 ms).
const WRITE_TIMEOUT: Duration = Duration::from_millis(800);
/// Most writes in flight.
const MAX_IN_FLIGHT: usize = 8;
/// Minimum time before another write is sent while one is in flight. What becomes pending meanwhile is sent in a single
/// write, which saves calls.
const CONCURRENT_WRITE_DELAY: Duration = Duration::from_millis(20);
/// Time since the latest response of the store after which only one write is in flight at a time: more would only be
/// lost as well.
const RECENT_RESPONSE: Duration = Duration::from_millis(500);

/// State shared by the concurrent writes of a scheduler.
struct Writer {
    cx: Context,
    active: Arc<Active>,
    timeout_estimator: Mutex<TimeoutEstimator>,
    backoff: Mutex<Backoff>,
    /// Holds a token when a write has finished.
    finished: (Sender<()>, Receiver<()>),
}

/// Writes until it is dropped. Reports the loss of leadership if the store shows another scheduler.
pub(crate) async fn run(cx: Context, active: Arc<Active>) {
    let writer = Arc::new(Writer {
        cx,
        active: Arc::clone(&active),
        timeout_estimator: Mutex::new(TimeoutEstimator::new(WRITE_TIMEOUT)),
        backoff: Mutex::new(Backoff::new()),
        finished: smol::channel::bounded(1),
    });
    let term = TermTasks::new(&active);
    let mut in_flight: Vec<smol::Task<()>> = Vec::new();
    loop {
        in_flight.retain(|write| !write.is_finished());
        if !in_flight.is_empty() {
            let finished = async {
                let _ = writer.finished.1.recv().await;
            };
            if in_flight.len() >= MAX_IN_FLIGHT || !writer.is_store_responsive() {
                finished.await;
                continue;
            }
            with_timeout(CONCURRENT_WRITE_DELAY, finished).await;
        }
        match next_write_batch(&active) {
            Some(batch) => in_flight.push(term.spawn(Arc::clone(&writer).write(batch))),
            None => active.write_requested().await,
        }
    }
}

impl Writer {
    /// Whether the store has responded recently.
    fn is_store_responsive(&self) -> bool {
        self.cx.view.time_since_store_response().is_some_and(|age| age < RECENT_RESPONSE)
    }

    /// Makes one write, and returns its content to the scheduler if it was not stored.
    async fn write(self: Arc<Writer>, batch: WriteBatch) {
        let Writer { cx, active, .. } = &*self;
        let transaction = transaction(cx, active, &batch);
        let limit = self.estimator().timeout();
        let sent = cx.view.clock().now();
        let result = cx.view.abandon_on_reconnect(cx.store.commit(transaction, limit)).await;
        let elapsed = cx.view.clock().now().since(sent);
        match &result {
            Ok(_) => {
                self.estimator().record_response(elapsed);
                self.backoff.lock().expect("no holder panics").reset();
                cx.view.record_store_response();
            }
            Err(StoreError::Lost { .. }) => self.estimator().record_timeout(),
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
            Ok(Committed::LeaseGone) => self.return_batch(&batch).await,
            Err(e) => {
                let is_unknown = matches!(e, StoreError::Lost { .. });
                log::info!(
                    "event=write_failed fence={} entries={} doubt={is_unknown} limit_ms={} why={e}",
                    active.fence,
                    batch.writes.len(),
                    limit.millis()
                );
                self.return_batch(&batch).await;
            }
        }
        // A full channel already holds the notification.
        let _ = self.finished.0.try_send(());
    }

    /// Returns a failed batch to the scheduler after a pause, so that it is written again.
    async fn return_batch(&self, batch: &WriteBatch) {
        let next = self.backoff.lock().expect("no holder panics").next();
        pause(next).await;
        self.active.update(|scheduler| scheduler.batch_failed(batch));
    }

    /// Locks the estimator of the timeout of writes.
    fn estimator(&self) -> MutexGuard<'_, TimeoutEstimator> {
        self.timeout_estimator.lock().expect("no holder panics")
    }
}

/// Takes as many pending writes as fit into one call. Each needs a condition and a write; in addition there is one
/// condition for the scheduler's key and one for each availability zone.
fn next_write_batch(active: &Active) -> Option<WriteBatch> {
    let mut scheduler = active.lock();
    let conditions = 1 + scheduler.availability_zones();
    scheduler.next_write_batch((MAX_TRANSACTION_ITEMS.saturating_sub(conditions) / 2).max(1))
}

/// Whether the scheduler's key still has the revision that this scheduler wrote.
fn holds_key(active: &Active, items: &[Item]) -> bool {
    let holder = items.iter().find(|item| item.key == keys::SCHEDULER);
    holder.is_some_and(|holder| holder.revision.0 == active.fence.0)
}

/// Returns the revisions that the store holds for the keys of a batch; 0 where there is no item.
fn revisions_found(batch: &WriteBatch, items: &[Item]) -> BTreeMap<OccurrenceId, Revision> {
    let mut found: BTreeMap<OccurrenceId, Revision> =
        batch.writes.iter().map(|write| (write.occurrence, Revision(0))).collect();
    for item in items {
        if let Some(id) = keys::occurrence(&item.key) {
            found.insert(id, item.revision);
        }
    }
    found
}

/// Makes the transaction of a batch, conditional on this scheduler being the elected one.
fn transaction(cx: &Context, active: &Active, batch: &WriteBatch) -> Transaction {
    let mut transaction = Transaction::default();
    transaction.expect.push((keys::SCHEDULER.to_owned(), Revision(active.fence.0)));
    transaction.expect.extend(evacuation::conditions(&*cx.decoder, &active.evacuations, &batch.placement_zones));
    for write in &batch.writes {
        let key = keys::progress(write.occurrence);
        transaction.expect.push((key.clone(), write.replaces));
        let value = serde_json::to_vec(&write.progress).expect("our own types always serialize");
        transaction.put.push(Put { key, value, lease: None });
    }
    transaction
}
