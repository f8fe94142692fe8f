//! What callers have handed in: read once by a new scheduler, and followed from there.

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

/// Longest wait of the watch on the intake, which only the scheduler keeps.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Reads what the store holds of open jobs. The returned revision is where the intake is known to.
pub(crate) async fn restore(cx: &Context, scheduler: &mut Scheduler) -> Revision {
    let begun = cx.view.clock().now();
    let intake = paged_reads::read_all(&*cx.store, &cx.view, keys::INTAKE).await;
    let progress = paged_reads::read_all(&*cx.store, &cx.view, keys::PROGRESS).await;
    let took = cx.view.clock().now().since(begun);
    let (pages, bytes) = (intake.pages + progress.pages, intake.bytes() + progress.bytes());
    telemetry::record_restore(took, pages, bytes);
    log::info!("event=restored fence={} pages={pages} bytes={bytes} took_ms={}", scheduler.fence(), took.millis());
    take_restored(cx, scheduler, &intake.items, progress.items);
    intake.at
}

fn take_restored(cx: &Context, scheduler: &mut Scheduler, intake: &[Item], progress: Vec<Item>) {
    let mut cancelled = Vec::new();
    let mut unreadable = BTreeSet::new();
    for item in intake {
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
            // It is no orphan: another version may read the job, and must not run it again.
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

/// Reads the records of jobs that have left the intake, beside all else: nothing waits for them, since callers'
/// questions are answered from the store until they are known.
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

/// Returns whether the job could be read.
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

/// Follows what callers hand in and cancel at any box, from where [`restore`] has read to.
pub(crate) async fn follow_submissions(cx: Context, active: Arc<Active>, from: Revision) {
    let on = |seen: PrefixUpdate| {
        let items = seen.written();
        active.update(|scheduler| take_intake(scheduler, &items, cx.view.clock().now()));
    };
    follow(&*cx.store, &cx.view, keys::INTAKE, Some(from), WatchTiming::immediate(WATCH_WAIT), on).await;
}

/// Jobs are taken before cancellations, which may be of them.
fn take_intake(scheduler: &mut Scheduler, items: &[Item], now: Moment) {
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
