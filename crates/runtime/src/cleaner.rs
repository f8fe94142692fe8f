//! Cleans the store up: replaces the records of ended jobs by small archive records, and removes those when they
//! expire.

use std::sync::Arc;

use jobs::OccurrenceId;
use model::{Duration, Moment, Revision};
use outside::{Committed, Put, StoreError, Transaction};
use scheduler::Archival;

use crate::{active::Active, context::Context, keys, timers::pause};

/// Most entries of a transaction, by the protocol of the platform's store.
const MAX_ENTRIES: usize = 32;
/// Entries that the archival of a job needs besides its progress: the archive record, the job and its cancellation.
const ENTRIES_PER_JOB: usize = 3;
/// Most jobs per archival; with one occurrence each, they fill a transaction.
const MAX_ARCHIVED_JOBS: usize = 7;
/// Most keys per removal, besides the condition on the scheduler's key. Each job may need two.
const MAX_REMOVED_KEYS: usize = 30;
/// Interval between cleanups: short enough that a new scheduler finds few ended jobs, and long enough that calls are
/// full at 7 ended jobs a second.
const CLEAN_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a call. A call with unknown outcome is repeated.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Cleans the store up until it is dropped. Its calls run beside those of the writer without blocking them: they
/// concern only ended jobs, which are not written any more.
pub(crate) async fn run(cx: Context, active: Arc<Active>) {
    let cleaner = Cleaner { cx, active };
    loop {
        pause(CLEAN_INTERVAL).await;
        if let Err(outcome) = cleaner.clean_up().await {
            log::info!("event=not_cleared fence={} outcome={outcome:?}", cleaner.active.fence);
        }
    }
}

struct Cleaner {
    cx: Context,
    active: Arc<Active>,
}

/// Response to a transaction that was not made.
type FailedCommit = Result<Committed, StoreError>;

impl Cleaner {
    /// Removes everything that can be removed now.
    async fn clean_up(&self) -> Result<(), FailedCommit> {
        let now = self.cx.view.clock().now();
        while self.archive(now).await? || self.remove_orphans().await? || self.remove_expired(now).await? {}
        Ok(())
    }

    /// Archives ended jobs. Returns whether there were any.
    async fn archive(&self, now: Moment) -> Result<bool, FailedCommit> {
        let archivals = fit_transaction(self.active.lock().archivable(MAX_ARCHIVED_JOBS));
        if archivals.is_empty() {
            return Ok(false);
        }
        let mut transaction = Transaction::default();
        for (archival, progress) in &archivals {
            let value = serde_json::to_vec(&archival.record).expect("our own types always serialize");
            transaction.put.push(Put { key: keys::ended(archival.job), value, lease: None });
            transaction.remove.extend([keys::job(archival.job), keys::cancel(archival.job)]);
            transaction.remove.extend(progress.iter().map(|id| keys::progress(*id)));
        }
        self.commit(transaction).await?;
        let mut scheduler = self.active.lock();
        for (archival, progress) in archivals {
            log::info!("job={} event=archived state={}", archival.job, archival.record.state);
            let rest = archival.progress[progress.len()..].to_vec();
            scheduler.archived(archival, &rest, now);
        }
        Ok(true)
    }

    async fn remove_orphans(&self) -> Result<bool, FailedCommit> {
        let orphans = self.active.lock().orphans(MAX_REMOVED_KEYS);
        if orphans.is_empty() {
            return Ok(false);
        }
        let remove = orphans.iter().map(|id| keys::progress(*id)).collect();
        self.commit(Transaction { remove, ..Transaction::default() }).await?;
        self.active.lock().orphans_removed(&orphans);
        Ok(true)
    }

    async fn remove_expired(&self, now: Moment) -> Result<bool, FailedCommit> {
        let expired = self.active.lock().expired_records(now, MAX_REMOVED_KEYS / 2);
        if expired.is_empty() {
            return Ok(false);
        }
        let remove = expired.iter().flat_map(|id| [keys::ended(*id), keys::cancel(*id)]).collect();
        self.commit(Transaction { remove, ..Transaction::default() }).await?;
        log::info!("event=forgotten jobs={} first={}", expired.len(), expired[0]);
        self.active.lock().remove_records(&expired);
        Ok(true)
    }

    /// Commits a transaction on the condition that this scheduler is the elected one.
    async fn commit(&self, mut transaction: Transaction) -> Result<(), FailedCommit> {
        transaction.expect.push((keys::SCHEDULER.to_owned(), Revision(self.active.fence.0)));
        match self.cx.store.commit(transaction, CALL_TIMEOUT).await {
            Ok(Committed::Done(_)) => Ok(()),
            outcome => Err(outcome),
        }
    }
}

/// Returns as many archivals as fit into one transaction, each with the progress records that it removes. That is all
/// of them, except for the first archival, which may have more occurrences than fit.
fn fit_transaction(archivals: Vec<Archival>) -> Vec<(Archival, Vec<OccurrenceId>)> {
    let mut free_entries = MAX_ENTRIES - 1;
    let mut fit_transaction = Vec::new();
    for archival in archivals {
        if !fit_transaction.is_empty() && ENTRIES_PER_JOB + archival.progress.len() > free_entries {
            break;
        }
        let included = archival.progress.len().min(free_entries - ENTRIES_PER_JOB);
        free_entries -= ENTRIES_PER_JOB + included;
        let progress = archival.progress[..included].to_vec();
        fit_transaction.push((archival, progress));
    }
    fit_transaction
}
