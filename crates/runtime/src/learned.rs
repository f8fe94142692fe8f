//! The stored pages of what schedulers have learned: read by a new scheduler, which then keeps them up to date.

use std::sync::Arc;

use model::{Duration, Revision};
use outside::Item;
use scheduler::{LearnedPage, Scheduler};
use smol::Task;

use crate::{
    active::Active,
    context::Context,
    keys, paged_reads,
    stored_record::{self, RecordWrite},
    timers::{Backoff, pause},
};

/// Interval at which the scheduler checks whether a page should be stored.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Reads that may fail before the scheduler goes on without the pages and replaces them. With the pauses between them
/// these are several seconds, after which it has measured much of the fleet itself.
const READ_ATTEMPTS: usize = 20;

/// Pages that are being read while the scheduler is restored, and later if need be.
pub(crate) struct LearnedPages {
    /// `None` if nothing is kept.
    read: Option<Task<Vec<LearnedPage>>>,
}

/// Begins to read the pages, beside everything else. Nothing waits for the result.
pub(crate) fn begin_read(cx: &Context, keep_learned: bool) -> LearnedPages {
    LearnedPages { read: keep_learned.then(|| smol::spawn(read(cx.clone()))) }
}

/// Reads the pages, with some retries. Returns none if all fail.
async fn read(cx: Context) -> Vec<LearnedPage> {
    let mut backoff = Backoff::new();
    for _ in 0..READ_ATTEMPTS {
        match paged_reads::read_once(&*cx.store, keys::LEARNED).await {
            Ok(snapshot) => return snapshot.items.into_iter().filter_map(page).collect(),
            Err(e) => {
                log::info!("event=learned_missing why=read_failed error={e}");
                backoff.wait().await;
            }
        }
    }
    Vec::new()
}

fn page(item: Item) -> Option<LearnedPage> {
    let Some(page) = keys::learned_page(&item.key) else {
        log::warn!("event=key_unknown key={}", item.key);
        return None;
    };
    Some(LearnedPage { page, value: item.value, revision: item.revision })
}

impl LearnedPages {
    /// Applies the pages if they have been read. Otherwise [`run`] does so once they have.
    pub(crate) async fn restore_if_read(&mut self, cx: &Context, scheduler: &mut Scheduler) {
        let Some(read) = self.read.take() else { return };
        if !read.is_finished() {
            log::info!("event=learned_missing why=not_read_yet fence={}", scheduler.fence());
            self.read = Some(read);
            return;
        }
        let clock = cx.view.clock();
        scheduler.restore_learned(read.await, clock.now(), clock.wall_ms());
    }
}

/// Applies pages that are read late, and then stores what the scheduler learns, until it is dropped.
pub(crate) async fn run(cx: Context, active: Arc<Active>, pages: LearnedPages) {
    let clock = cx.view.clock();
    if let Some(read) = pages.read {
        // A write before the pages are read would replace more than this scheduler knows.
        let pages = read.await;
        active.update(|scheduler| scheduler.restore_learned(pages, clock.now(), clock.wall_ms()));
    }
    let mut backoff = Backoff::new();
    loop {
        pause(CHECK_INTERVAL).await;
        if !cx.view.is_store_reachable() {
            continue;
        }
        let Some(write) = active.lock().next_learned_write(clock.now(), clock.wall_ms()) else { continue };
        let (key, value) = (keys::learned(write.page), write.value.clone());
        match stored_record::replace(&cx, &active, &key, value, write.replaces).await {
            Ok(RecordWrite::Stored(revision)) => {
                backoff.reset();
                metrics::counter!("martenscale_learned_writes_total").increment(1);
                active.lock().learned_stored(write, revision);
            }
            Ok(RecordWrite::Found(item)) => {
                let revision = item.map_or(Revision(0), |item| item.revision);
                active.lock().learned_revision_found(write.page, revision);
            }
            Ok(RecordWrite::Deposed) => {}
            Err(e) => {
                log::info!("event=learned_not_stored page={} fence={} why={e}", write.page, active.fence);
                backoff.wait().await;
            }
        }
    }
}
