//! Clears the store of what has ended: jobs leave the intake for a small record, and records go in time.

use std::sync::Arc;

use jobs::OccurrenceId;
use model::{Duration, Moment, Revision};
use outside::{Committed, Put, StoreError, Transaction};
use scheduler::Archival;

use crate::{active::Active, context::Context, keys, timers::pause};

/// Most entries of a transaction that the users' store allows.
const MOST_ENTRIES: usize = 32;
/// Entries of one job's archival, beside its progress: the record, the job and its cancellation.
const JOB_ENTRIES: usize = 3;
/// Jobs in one archival: with one occurrence each they fill a transaction.
const MOST_ARCHIVED: usize = 7;
/// Keys in one removal, beside the condition on the scheduler's key. Each job's may take two.
const MOST_REMOVED: usize = 30;
/// How often there is a look for what has ended: often enough that a new scheduler finds little of it, seldom enough
/// that each call is full at 7 ends a second.
const CLEAN_EVERY: Duration = Duration::from_secs(1);
/// Limit of a call; what it leaves in doubt is done again.
const CALL_LIMIT: Duration = Duration::from_millis(800);

/// Clears the store, until it is dropped. Its calls are beside the writer's, which they do not hold up: what they
/// touch is over, and what is over is not written any more.
pub(crate) async fn run(cx: Context, active: Arc<Active>) {
    let cleaner = Cleaner { cx, active };
    loop {
        pause(CLEAN_EVERY).await;
        if let Err(outcome) = cleaner.clean().await {
            log::info!("event=not_cleared fence={} outcome={outcome:?}", cleaner.active.fence);
        }
    }
}

struct Cleaner {
    cx: Context,
    active: Arc<Active>,
}

/// Why a removal was not made: the answer to it.
type NotDone = Result<Committed, StoreError>;

impl Cleaner {
    /// Clears all that can be cleared now.
    async fn clean(&self) -> Result<(), NotDone> {
        let now = self.cx.view.clock().now();
        while self.archive(now).await? || self.remove_orphans().await? || self.forget(now).await? {}
        Ok(())
    }

    /// Moves jobs that are over out of the intake.
    async fn archive(&self, now: Moment) -> Result<bool, NotDone> {
        let archivals = fitting(self.active.lock().archivable(MOST_ARCHIVED));
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

    async fn remove_orphans(&self) -> Result<bool, NotDone> {
        let orphans = self.active.lock().orphans(MOST_REMOVED);
        if orphans.is_empty() {
            return Ok(false);
        }
        let remove = orphans.iter().map(|id| keys::progress(*id)).collect();
        self.commit(Transaction { remove, ..Transaction::default() }).await?;
        self.active.lock().orphans_removed(&orphans);
        Ok(true)
    }

    async fn forget(&self, now: Moment) -> Result<bool, NotDone> {
        let old = self.active.lock().expired_records(now, MOST_REMOVED / 2);
        if old.is_empty() {
            return Ok(false);
        }
        let remove = old.iter().flat_map(|id| [keys::ended(*id), keys::cancel(*id)]).collect();
        self.commit(Transaction { remove, ..Transaction::default() }).await?;
        log::info!("event=forgotten jobs={} first={}", old.len(), old[0]);
        self.active.lock().remove_records(&old);
        Ok(true)
    }

    /// Makes a write that only the elected scheduler can make.
    async fn commit(&self, mut transaction: Transaction) -> Result<(), NotDone> {
        transaction.expect.push((keys::SCHEDULER.to_owned(), Revision(self.active.fence.0)));
        match self.cx.store.commit(transaction, CALL_LIMIT).await {
            Ok(Committed::Done(_)) => Ok(()),
            outcome => Err(outcome),
        }
    }
}

/// As many archivals as fit into one transaction, with the progress of each that goes along: all of it but of the
/// first, which may have more occurrences than there is room for.
fn fitting(archivals: Vec<Archival>) -> Vec<(Archival, Vec<OccurrenceId>)> {
    let mut room = MOST_ENTRIES - 1;
    let mut fitting = Vec::new();
    for archival in archivals {
        if !fitting.is_empty() && JOB_ENTRIES + archival.progress.len() > room {
            break;
        }
        let along = archival.progress.len().min(room - JOB_ENTRIES);
        room -= JOB_ENTRIES + along;
        let progress = archival.progress[..along].to_vec();
        fitting.push((archival, progress));
    }
    fitting
}
