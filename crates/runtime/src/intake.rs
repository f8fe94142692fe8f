//! What callers have handed in: read once by a new scheduler, and followed from there.

use std::sync::Arc;

use jobs::{Job, JobId, Progress};
use model::{Duration, Moment, Revision};
use outside::{Item, Snapshot};
use scheduler::Scheduler;

use crate::{
    active::Active,
    follow::{Seen, follow},
    keys::{self, Intake},
    leader::Parts,
    wait::Backoff,
};

/// Longest wait of the watch on the intake, which only the scheduler keeps.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Reads what the store holds. The returned revision is where the intake is known to.
pub(crate) async fn restore(parts: &Parts, scheduler: &mut Scheduler) -> Revision {
    let intake = read(parts, keys::INTAKE).await;
    let mut cancelled = Vec::new();
    for item in &intake.items {
        match keys::intake(&item.key) {
            Some(Intake::Job(id)) => add_job(scheduler, id, item),
            Some(Intake::Cancel(id)) => cancelled.push(id),
            None => log::warn!("event=key_unknown key={}", item.key),
        }
    }
    for item in read(parts, keys::PROGRESS).await.items {
        let progress: Result<Progress, _> = serde_json::from_slice(&item.value);
        match (keys::occurrence(&item.key), progress) {
            (Some(id), Ok(progress)) => scheduler.restore(id, progress, item.revision),
            (_, Err(e)) => log::error!("event=progress_unreadable key={} why={e}", item.key),
            (None, _) => log::warn!("event=key_unknown key={}", item.key),
        }
    }
    for id in cancelled {
        scheduler.cancel(id, parts.view.clock().now());
    }
    intake.at
}

/// Reads a prefix, for as long as it takes: nothing can be scheduled without it.
async fn read(parts: &Parts, prefix: &str) -> Snapshot {
    let mut backoff = Backoff::new();
    loop {
        match parts.store.range(prefix.to_owned()).await {
            Ok(snapshot) => return snapshot,
            Err(e) => {
                log::info!("event=read_failed prefix={prefix} why={e}");
                backoff.wait().await;
            }
        }
    }
}

fn add_job(scheduler: &mut Scheduler, id: JobId, item: &Item) {
    match serde_json::from_slice::<Job>(&item.value) {
        Ok(job) => scheduler.add_job(job),
        Err(e) => log::error!("job={id} event=job_unreadable why={e}"),
    }
}

/// Follows what callers hand in and cancel at any box, from where [`restore`] has read to.
pub(crate) async fn follow_intake(parts: Parts, active: Arc<Active>, from: Revision) {
    let on = |seen: Seen| {
        let items = seen.written();
        active.update(|scheduler| take_intake(scheduler, &items, parts.view.clock().now()));
    };
    follow(&*parts.store, &parts.view, keys::INTAKE, Some(from), WATCH_WAIT, on).await;
}

/// Jobs are taken before cancellations, which may be of them.
fn take_intake(scheduler: &mut Scheduler, items: &[Item], now: Moment) {
    for item in items {
        if let Some(Intake::Job(id)) = keys::intake(&item.key)
            && scheduler.job(id).is_none()
        {
            add_job(scheduler, id, item);
        }
    }
    for item in items {
        if let Some(Intake::Cancel(id)) = keys::intake(&item.key) {
            scheduler.cancel(id, now);
        }
    }
}
