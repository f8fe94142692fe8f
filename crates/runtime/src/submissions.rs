//! Submission records: the jobs and cancellations that callers have submitted. A new scheduler reads them once and
//! follows them from there.

use std::{collections::BTreeSet, sync::Arc};

use jobs::{EndedJob, Job, JobId, Progress};
use model::{Duration, Moment, Revision};
use outside::Item;
use scheduler::Scheduler;

use crate::{
    active::Active,
    context::Context,
    follow::{PrefixUpdate, WatchTiming, follow},
    keys::{self, SubmissionKey},
    paged_reads, telemetry,
};

/// Longest wait of the watch on submission records, which only the scheduler has open.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Restores the open jobs from the store. Returns the revision up to which submission records have been read.
pub(crate) async fn restore(cx: &Context, scheduler: &mut Scheduler) -> Revision {
    let started = cx.view.clock().now();
    let submissions = paged_reads::read_all(&*cx.store, &cx.view, keys::INTAKE).await;
    let progress = paged_reads::read_all(&*cx.store, &cx.view, keys::PROGRESS).await;
    let duration = cx.view.clock().now().since(started);
    let (pages, bytes) = (submissions.pages + progress.pages, submissions.bytes() + progress.bytes());
    telemetry::record_restore(duration, pages, bytes);
    log::info!("event=restored fence={} pages={pages} bytes={bytes} took_ms={}", scheduler.fence(), duration.millis());
    apply_restored(cx, scheduler, &submissions.items, progress.items);
    submissions.at
}

fn apply_restored(cx: &Context, scheduler: &mut Scheduler, submissions: &[Item], progress: Vec<Item>) {
    let mut cancelled = Vec::new();
    let mut unreadable = BTreeSet::new();
    for item in submissions {
        match keys::submission(&item.key) {
            Some(SubmissionKey::Job(id)) => {
                if !add_job(scheduler, id, item) {
                    unreadable.insert(id);
                }
            }
            Some(SubmissionKey::Cancel(id)) => cancelled.push(id),
            None => log::warn!("event=key_unknown key={}", item.key),
        }
    }
    for item in progress {
        let progress: Result<Progress, _> = serde_json::from_slice(&item.value);
        match (keys::occurrence(&item.key), progress) {
            // Not an orphan: another version of the program may be able to read the job, and must not run it again.
            (Some(id), _) if unreadable.contains(&id.job) => {}
            (Some(id), Ok(progress)) => scheduler.restore(id, progress, item.revision),
            (_, Err(e)) => log::error!("event=progress_unreadable key={} why={e}", item.key),
            (None, _) => log::warn!("event=key_unknown key={}", item.key),
        }
    }
    for id in cancelled {
        scheduler.cancel(id, cx.view.clock().now());
    }
}

/// Restores the records of ended jobs, concurrently with everything else. Nothing waits for them, since queries are
/// answered from the store until they have been read.
pub(crate) async fn restore_ended(cx: Context, active: Arc<Active>) {
    let ended = paged_reads::read_all(&*cx.store, &cx.view, keys::ENDED).await;
    log::info!("event=records_read fence={} records={} pages={}", active.fence, ended.items.len(), ended.pages);
    let now = cx.view.clock().now();
    let mut scheduler = active.lock();
    for item in &ended.items {
        let record: Result<EndedJob, _> = serde_json::from_slice(&item.value);
        match (keys::ended_job(&item.key), record) {
            (Some(id), Ok(record)) => scheduler.restore_ended(id, record, now),
            (_, Err(e)) => log::error!("event=record_unreadable key={} why={e}", item.key),
            (None, _) => log::warn!("event=key_unknown key={}", item.key),
        }
    }
}

/// Adds a job to the scheduler. Returns `false` if its record cannot be decoded.
fn add_job(scheduler: &mut Scheduler, id: JobId, item: &Item) -> bool {
    match serde_json::from_slice::<Job>(&item.value) {
        Ok(job) => {
            scheduler.add_job(job);
            true
        }
        Err(e) => {
            log::error!("job={id} event=job_unreadable why={e}");
            false
        }
    }
}

/// Follows the jobs and cancellations that are submitted at any box, from the revision that [`restore`] returned.
pub(crate) async fn follow_submissions(cx: Context, active: Arc<Active>, from: Revision) {
    let on_update = |update: PrefixUpdate| {
        let items = update.written();
        active.update(|scheduler| apply_submissions(scheduler, &items, cx.view.clock().now()));
    };
    follow(&*cx.store, &cx.view, keys::INTAKE, Some(from), WatchTiming::immediate(WATCH_WAIT), on_update).await;
}

/// Applies submission records. Jobs come before cancellations, which may refer to them.
fn apply_submissions(scheduler: &mut Scheduler, items: &[Item], now: Moment) {
    for item in items {
        if let Some(SubmissionKey::Job(id)) = keys::submission(&item.key)
            && scheduler.job_status(id).is_none()
        {
            add_job(scheduler, id, item);
        }
    }
    for item in items {
        if let Some(SubmissionKey::Cancel(id)) = keys::submission(&item.key) {
            scheduler.cancel(id, now);
        }
    }
}
