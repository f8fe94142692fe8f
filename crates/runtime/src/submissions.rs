//! Submission records: the jobs and cancellations that callers have submitted. A new scheduler reads them once and
//! follows them from there.

use std::{collections::BTreeMap, sync::Arc};

use jobs::{EndedJob, Job, JobId, OccurrenceId, Progress};
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
    apply_restored(cx, scheduler, &submissions.items, &progress.items);
    submissions.at
}

/// Records of the open jobs, as read at an election.
#[derive(Default)]
struct Restored {
    jobs: BTreeMap<JobId, Job>,
    /// Jobs of which a record cannot be read.
    held: BTreeMap<JobId, Option<Job>>,
    cancelled: Vec<JobId>,
    progress: Vec<(OccurrenceId, Progress, Revision)>,
}

impl Restored {
    fn add_submission(&mut self, item: &Item) {
        match keys::submission(&item.key) {
            Some(SubmissionKey::Job(id)) => match decode_job(id, item) {
                Some(job) => drop(self.jobs.insert(id, job)),
                None => drop(self.held.insert(id, None)),
            },
            Some(SubmissionKey::Cancel(id)) => self.cancelled.push(id),
            None => log::warn!("event=key_unknown key={}", item.key),
        }
    }

    /// Adds the progress of an occurrence, which may be an orphan. Must follow the jobs.
    fn add_progress(&mut self, item: &Item) {
        let Some(id) = keys::occurrence(&item.key) else {
            return log::warn!("event=key_unknown key={}", item.key);
        };
        let progress = match serde_json::from_slice::<Progress>(&item.value) {
            Ok(progress) if self.jobs.get(&id.job).is_none_or(|job| progress.fits(job)) => Ok(progress),
            Ok(_) => Err("other_shape".to_owned()),
            Err(e) => Err(e.to_string()),
        };
        match progress {
            Ok(progress) => self.progress.push((id, progress, item.revision)),
            Err(why) => {
                log::error!("job={} event=progress_unreadable key={} why={why:.100}", id.job, item.key);
                // Started from the beginning, what runs or is done would be done twice.
                if let Some(job) = self.jobs.remove(&id.job) {
                    self.held.insert(id.job, Some(job));
                }
            }
        }
    }

    fn apply(self, scheduler: &mut Scheduler, now: Moment) {
        let Restored { jobs, held, cancelled, progress } = self;
        // The progress of held jobs is not that of orphans, which are removed.
        let of_others = progress.into_iter().filter(|(id, ..)| !held.contains_key(&id.job)).collect::<Vec<_>>();
        for (id, job) in held {
            scheduler.hold_job(id, job);
        }
        for job in jobs.into_values() {
            scheduler.add_job(job);
        }
        for (id, progress, revision) in of_others {
            scheduler.restore(id, progress, revision);
        }
        for id in cancelled {
            scheduler.cancel(id, now);
        }
    }
}

fn apply_restored(cx: &Context, scheduler: &mut Scheduler, submissions: &[Item], progress: &[Item]) {
    let mut restored = Restored::default();
    submissions.iter().for_each(|item| restored.add_submission(item));
    progress.iter().for_each(|item| restored.add_progress(item));
    restored.apply(scheduler, cx.view.clock().now());
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

/// Decodes the record of a job; `None` if that is not possible, or if it is the record of another one.
fn decode_job(id: JobId, item: &Item) -> Option<Job> {
    match serde_json::from_slice::<Job>(&item.value) {
        Ok(job) if job.id == id => return Some(job),
        Ok(job) => log::error!("job={id} event=job_unreadable why=other_job found={}", job.id),
        Err(e) => log::error!("job={id} event=job_unreadable why={:.100}", e.to_string()),
    }
    None
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
            match decode_job(id, item) {
                Some(job) => scheduler.add_job(job),
                None => scheduler.hold_job(id, None),
            }
        }
    }
    for item in items {
        if let Some(SubmissionKey::Cancel(id)) = keys::submission(&item.key) {
            scheduler.cancel(id, now);
        }
    }
}
