//! Leader election: one box at a time holds the scheduler's key in the store, under a lease that it renews.
//!
//! A candidate delays its attempt by its size, so that a larger box is elected if there is one. A leader steps down
//! when its lease is lost or has been unconfirmed for too long, when a later scheduler is known, or when the box
//! drains.

use std::{net::SocketAddr, sync::Arc};

use jobs::Fence;
use model::{BoxId, Duration, Moment, Revision};
use outside::{Change, Committed, CoordinationStore, Item, LeaseId, Put, StoreError, Transaction};
use serde::{Deserialize, Serialize};

use crate::{
    active::ActiveSlot,
    box_list,
    context::Context,
    failed_terms::FailedTerms,
    follow::{Changes, PrefixUpdate, PrefixWatcher, WatchTiming},
    keys,
    leader::{self, LeaderExit},
    panics::catch_panic,
    predecessors::{self, EarlierTerms},
    settings::Settings,
    timers::{Backoff, pause, with_timeout},
    view::{Leader, View},
};

/// Upper bound of the random part of the delay of a candidate; it keeps writes of several candidates from colliding.
const CANDIDACY_JITTER: Duration = Duration::from_millis(20);
/// Delay of a candidate for a whole core; it is divided by the share of a core that the box has, so that a larger box
/// is elected if there is one.
const CPU_DELAY: Duration = Duration::from_millis(10);
/// Delay of a candidate for a link of 1 Mbit/s, divided by the bandwidth of its link: the time that the link takes for
/// 50 KB. A box whose link has capacity for what a scheduler reads and sends is elected if there is one.
const LINK_DELAY: Duration = Duration::from_millis(400);
/// Delay of a candidate for 1 MB of memory, divided by the memory that its process may take, since the memory of a
/// scheduler grows with the fleet.
const MEMORY_DELAY: Duration = Duration::from_millis(4000);
/// Factor on these delays for a box that has seen no scheduler since it started. When all boxes restart, they do so
/// within half a second of each other; without the factor, a small one could be elected before any large one is ready.
const COLD_START_FACTOR: f64 = 4.0;
/// Time limit of the restore for a newly elected scheduler. It is far above what most need, and far below the recovery
/// time that the platform demands. A box that needs longer resigns, since another may be faster; its limit doubles for
/// the next term, since no other may be.
const RESTORE_TIMEOUT: Duration = Duration::from_millis(3000);
/// Timeout of the write of the key.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Interval at which a box checks whether it may become a candidate, besides being notified. Polling alone elected a
/// small box when the polls of the large ones came late.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Renewals per lease time: two in a row may be lost.
const RENEWALS_PER_LEASE: f64 = 3.0;
/// Timeout of a renewal, after which it is repeated. Above the response time of a slow store (60 times 4 ms), and short
/// enough that a lost renewal leaves time for another one within a lease of 1 s.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait of the watch on the key. Changes that a broken watch misses are found by the probes of
/// [`crate::probe`].
const WATCH_WAIT: Duration = Duration::from_secs(30);
/// Longest wait of a watch that follows a broken or suspect one: its connection may be broken as well.
const SUSPECT_WATCH_WAIT: Duration = Duration::from_millis(1000);
/// Minimum time before a suspect watch is restarted. For some time after an election, reads may return the earlier
/// state.
const MIN_WATCH_TIME: Duration = Duration::from_millis(3000);

/// Value of the scheduler's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LeaderRecord {
    #[serde(rename = "box")]
    box_id: BoxId,
    addr: SocketAddr,
    /// Distinguishes this candidacy from an earlier one of the same box.
    nonce: u64,
}

/// The reason why a term ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
enum Ended {
    /// The store reports that the lease has expired.
    LeaseLost,
    /// The store has not confirmed the lease for too long.
    Unconfirmed,
    /// A backend server, the store or another box has reported a later scheduler.
    Deposed,
    /// The box is draining.
    Resigned,
    /// The state could not be restored in time.
    NotRestored,
    /// A task of the scheduler, its restore or the renewal of its election has failed.
    TaskFailed,
}

/// Outcome of the latest terms of this box, which determines its next candidacy.
struct TermOutcome {
    /// Time limit of the next restore.
    restore_timeout: Duration,
    failed: FailedTerms,
}

impl TermOutcome {
    const INITIAL: TermOutcome = TermOutcome { restore_timeout: RESTORE_TIMEOUT, failed: FailedTerms::NONE };

    /// Updates the limits after a term of some length has ended.
    fn record_term_end(&mut self, ended: Ended, length: Duration) {
        match ended {
            Ended::NotRestored => {
                self.restore_timeout = self.restore_timeout.scaled(2.0);
                self.failed.record_not_restored();
            }
            Ended::TaskFailed => {
                self.restore_timeout = RESTORE_TIMEOUT;
                self.failed.record_failure(length);
                log::error!("event=term_failed in_a_row={} delay={}", self.failed.in_a_row(), self.failed.delay());
            }
            _ => *self = TermOutcome::INITIAL,
        }
    }
}

/// Watches the scheduler's key and the list of relay boxes, and keeps the view up to date.
pub(crate) async fn follow_leader(store: Arc<dyn CoordinationStore>, view: Arc<View>) {
    let mut on_update = |update: PrefixUpdate| match update {
        PrefixUpdate::All(items) => {
            view.set_watched_leader(items.iter().find(|item| item.key == keys::SCHEDULER).and_then(leader_of));
            items
                .iter()
                .filter(|item| item.key == keys::RELAY_BOXES)
                .for_each(|item| box_list::apply_relay_boxes(&view, item));
        }
        PrefixUpdate::Changes(Changes { changes, .. }) => {
            for change in &changes {
                match change {
                    Change::Put(item) if item.key == keys::SCHEDULER => view.set_watched_leader(leader_of(item)),
                    Change::Removed { key } if key == keys::SCHEDULER => view.set_watched_leader(None),
                    Change::Put(item) if item.key == keys::RELAY_BOXES => box_list::apply_relay_boxes(&view, item),
                    Change::Put(_) | Change::Removed { .. } => {}
                }
            }
        }
    };
    let mut watcher = PrefixWatcher::new(None);
    let mut wait = WATCH_WAIT;
    loop {
        let step = watcher.step(&*store, &view, keys::SCHEDULER, WatchTiming::immediate(wait), &mut on_update);
        let answered = futures_lite::FutureExt::or(step, await_missed_change(&view)).await;
        wait = if answered { WATCH_WAIT } else { SUSPECT_WATCH_WAIT };
    }
}

/// Waits until the watch must be restarted because it has missed a change. Returns `false`, the result of a watch
/// without a response.
async fn await_missed_change(view: &View) -> bool {
    pause(MIN_WATCH_TIME).await;
    view.watch_missed_change().await;
    log::info!("event=watch_begun_anew prefix={}", keys::SCHEDULER);
    false
}

pub(crate) fn leader_of(item: &Item) -> Option<Leader> {
    let record: LeaderRecord = serde_json::from_slice(&item.value).ok()?;
    Some(Leader { box_id: record.box_id, addr: record.addr, fence: Fence(item.revision.0) })
}

/// Runs for election whenever there is no scheduler, and schedules while elected.
pub(crate) async fn run(settings: Settings, cx: Context, active: ActiveSlot) {
    let mut latest = TermOutcome::INITIAL;
    loop {
        if can_be_candidate(&cx.view) {
            let wait = candidacy_delay(&settings, latest.failed.delay(), cx.view.has_seen_leader());
            if conditions_change_within(&cx.view, wait).await {
                continue;
            }
            if can_be_candidate(&cx.view) && catch_panic(stand(&settings, &cx, &active, &mut latest)).await.is_none() {
                log::error!("event=candidacy_failed box={}", settings.box_id);
                latest.record_term_end(Ended::TaskFailed, Duration::ZERO);
            }
        }
        with_timeout(CHECK_INTERVAL, cx.view.leader_changed()).await;
    }
}

/// Tries to win the election, and schedules if it is won.
async fn stand(settings: &Settings, cx: &Context, active: &ActiveSlot, latest: &mut TermOutcome) {
    if let Some(won) = try_win_election(settings, cx).await {
        serve_term(settings, cx, active, won, latest).await;
    }
}

/// Waits, and returns early with `true` if the conditions for a candidacy change.
///
/// The delay lets larger boxes become candidates first, so it must start at the moment at which all of them learn that
/// there is no scheduler. When it started earlier, it could end at that very moment, and a small box was elected.
async fn conditions_change_within(view: &View, wait: Duration) -> bool {
    let passes = async {
        pause(wait).await;
        false
    };
    let changes = async {
        view.leader_changed().await;
        true
    };
    futures_lite::FutureExt::or(changes, passes).await
}

/// Returns the delay before this box becomes a candidate: shorter, the more of the work of a scheduler it can carry.
fn candidacy_delay(settings: &Settings, after_failure: Duration, seen_leader: bool) -> Duration {
    let size_delay = CPU_DELAY.scaled(1.0 / settings.cpu_share)
        + LINK_DELAY.scaled(1.0 / settings.link_mbps)
        + MEMORY_DELAY.scaled(1.0 / settings.memory_mb);
    let size_delay = if seen_leader { size_delay } else { size_delay.scaled(COLD_START_FACTOR) };
    CANDIDACY_JITTER.scaled(fastrand::f64()) + size_delay + after_failure
}

fn can_be_candidate(view: &View) -> bool {
    view.leader().is_none() && view.is_store_reachable() && !view.is_draining() && view.configuration().is_some()
}

/// An election that this box has won.
struct WonElection {
    fence: Fence,
    lease: LeaseId,
    /// Time until which the lease lasts at least.
    confirmed_until: Moment,
    earlier: EarlierTerms,
}

/// Writes the scheduler's key under a new lease, unless another box holds it. Returns `None` if the election is not
/// won.
async fn try_win_election(settings: &Settings, cx: &Context) -> Option<WonElection> {
    let requested_at = cx.view.clock().now();
    let (lease, stored_terms) =
        futures_lite::future::zip(cx.store.grant_lease(settings.election_ttl), predecessors::read(&*cx.store)).await;
    let (lease, stored_terms) = (lease.ok()?, stored_terms.ok()?);
    let record =
        LeaderRecord { box_id: settings.box_id.clone(), addr: settings.peers_address, nonce: fastrand::u64(..) };
    let value = serde_json::to_vec(&record).expect("our own types always serialize");
    let put = Put { key: keys::SCHEDULER.to_owned(), value, lease: Some(lease) };
    let (no_other_election, term) = stored_terms.add(&settings.box_id, settings.peers_address);
    let expect = vec![(keys::SCHEDULER.to_owned(), Revision(0)), no_other_election];
    let transaction = Transaction { expect, put: vec![put, term], remove: Vec::new() };
    let previous_fence = cx.view.newest_fence();
    let fence = match cx.store.commit(transaction, WRITE_TIMEOUT).await {
        Ok(Committed::Done(revision)) => Fence(revision.0),
        Ok(Committed::Conflict(items)) => {
            let holder = items.iter().find(|item| item.key == keys::SCHEDULER);
            cx.view.set_leader(holder.and_then(leader_of));
            return None;
        }
        Ok(Committed::LeaseGone) | Err(StoreError::Refused { .. }) => return None,
        Err(StoreError::Lost { .. }) => resolve_unknown_outcome(cx, &record).await?,
    };
    log::info!(
        "event=elected box={} fence={fence} cpu_share={} link_mbps={} memory_mb={}",
        settings.box_id,
        settings.cpu_share,
        settings.link_mbps,
        settings.memory_mb
    );
    metrics::counter!("martenscale_elections_total").increment(1);
    // Another box may have reported this very election before the response to the write arrived.
    let newest_other = cx.view.newest_fence().filter(|newest| *newest != fence).max(previous_fence);
    let earlier = stored_terms.earlier_terms(newest_other);
    cx.view.set_leader(Some(Leader { box_id: record.box_id, addr: record.addr, fence }));
    Some(WonElection { fence, lease, confirmed_until: requested_at + settings.election_ttl, earlier })
}

/// Reads whether a write with unknown outcome has won the election. Returns the fencing token if it has.
async fn resolve_unknown_outcome(cx: &Context, record: &LeaderRecord) -> Option<Fence> {
    let item = cx.store.get(keys::SCHEDULER.to_owned()).await.ok()??;
    let holder: LeaderRecord = serde_json::from_slice(&item.value).ok()?;
    (holder == *record).then_some(Fence(item.revision.0))
}

/// Schedules until the term ends, then releases leadership.
async fn serve_term(
    settings: &Settings,
    cx: &Context,
    active: &ActiveSlot,
    won: WonElection,
    latest: &mut TermOutcome,
) {
    let (fence, lease) = (won.fence, won.lease);
    if !cx.view.begin_term(fence) {
        log::info!("event=elected_too_late box={} fence={fence}", settings.box_id);
        cx.view.set_leader(None);
        return;
    }
    let begun = cx.view.clock().now();
    let earlier = won.earlier.clone();
    let schedule = async {
        match leader::run(settings, cx, active, fence, earlier, latest.restore_timeout).await {
            LeaderExit::LeadershipLost => Ended::Deposed,
            LeaderExit::NotRestored => Ended::NotRestored,
            LeaderExit::TaskFailed => Ended::TaskFailed,
        }
    };
    // A panic here, as in the restore, must not end the task of the election: this box would stand for no later one.
    let term = futures_lite::FutureExt::or(renew_until_ended(settings, cx, won), schedule);
    let ended = catch_panic(term).await.unwrap_or_else(|| {
        log::error!("event=task_failed fence={fence}");
        Ended::TaskFailed
    });
    active.clear();
    cx.view.end_term();
    cx.view.set_leader(None);
    log::info!("event=stopped_scheduling box={} fence={fence} why={ended}", settings.box_id);
    latest.record_term_end(ended, cx.view.clock().now().since(begun));
    if matches!(ended, Ended::Resigned | Ended::NotRestored | Ended::TaskFailed)
        && let Err(e) = cx.store.revoke_lease(lease).await
    {
        log::warn!("event=lease_not_ended fence={fence} why={e}");
    }
}

/// Renews the lease until it is lost, has been unconfirmed for too long, or the box drains.
async fn renew_until_ended(settings: &Settings, cx: &Context, won: WonElection) -> Ended {
    let interval = settings.election_ttl.scaled(1.0 / RENEWALS_PER_LEASE);
    let unconfirmed = settings.timing.unconfirmed_limit();
    let mut confirmed_until = won.confirmed_until;
    cx.view.confirm_election(confirmed_until, unconfirmed);
    let mut backoff = Backoff::new();
    let mut last_sent = cx.view.clock().now();
    loop {
        let elapsed = cx.view.clock().now().since(last_sent);
        let remaining = Duration::from_millis(interval.millis().saturating_sub(elapsed.millis()));
        futures_lite::FutureExt::or(pause(remaining), await_draining(&cx.view)).await;
        if cx.view.is_draining() {
            return Ended::Resigned;
        }
        let sent = cx.view.clock().now();
        match cx.view.abandon_on_reconnect(renew_once(cx, won.lease)).await {
            Ok(true) => {
                confirmed_until = sent + settings.election_ttl;
                last_sent = sent;
                cx.view.confirm_election(confirmed_until, unconfirmed);
                cx.view.record_store_response();
                backoff.reset();
            }
            Ok(false) => return Ended::LeaseLost,
            Err(e) => {
                log::debug!("event=lease_not_renewed fence={} why={e}", won.fence);
                if !cx.view.may_schedule() {
                    return Ended::Unconfirmed;
                }
                backoff.wait().await;
            }
        }
    }
}

async fn renew_once(cx: &Context, lease: LeaseId) -> Result<bool, StoreError> {
    let timeout = async {
        pause(RENEWAL_TIMEOUT).await;
        Err(StoreError::Lost { why: format!("no response within {RENEWAL_TIMEOUT}") })
    };
    futures_lite::FutureExt::or(cx.store.keep_alive(lease), timeout).await
}

/// Waits until the box is draining.
async fn await_draining(view: &View) {
    while !view.is_draining() {
        view.leader_changed().await;
    }
}
