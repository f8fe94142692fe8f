//! Election: one box at a time holds the scheduler's key, under a lease that it renews.

use std::{net::SocketAddr, sync::Arc};

use jobs::Fence;
use model::{BoxId, Duration, Moment, Revision};
use outside::{Change, Committed, CoordinationStore, Item, LeaseId, Put, StoreError, Transaction};
use serde::{Deserialize, Serialize};

use crate::{
    active::ActiveSlot,
    box_list,
    context::Context,
    follow::{PrefixUpdate, PrefixWatcher, WatchTiming},
    keys,
    leader::{self, LeaderExit},
    predecessors::{self, EarlierTerms},
    settings::Settings,
    timers::{Backoff, pause, with_timeout},
    view::{Leader, View},
};

/// Candidates wait a random time up to this before they stand, so that few writes collide.
const STAND_WITHIN: Duration = Duration::from_millis(20);
/// A candidate waits besides this long over its share of a core, so that a larger box is elected if there is
/// one.
const STAND_LATER: Duration = Duration::from_millis(10);
/// A candidate waits besides this long over its link in Mbit/s: what the link takes for 50 KB, so that a box with
/// room for what a scheduler reads and sends is elected if there is one.
const STAND_LATER_BY_LINK: Duration = Duration::from_millis(400);
/// A candidate waits besides this long over its memory in MB, as what a scheduler holds grows with the fleet.
const STAND_LATER_BY_MEMORY: Duration = Duration::from_millis(4000);
/// A box that has seen no scheduler since it began waits so many times as long: where all boxes begin anew, they do so within
/// half a second of each other, so that a small one may be ready to stand before any large one has begun.
const COLD_START: f64 = 4.0;
/// How long a new scheduler may take to read what it must: far above what most need, far below the users' time for
/// recovery. A box that needs longer gives the election up, since another may be quicker; it gets twice as long the
/// next time, since no other may be.
const RESTORE_LIMIT: Duration = Duration::from_millis(3000);
/// A box that has given up stands only if no other does for this long.
const STAND_AGAIN: Duration = Duration::from_millis(1500);
/// How long a write of the key may take.
const WRITE_LIMIT: Duration = Duration::from_millis(1000);
/// A box without a scheduler looks this often whether it may stand, beside being told. Boxes that only looked, each at its
/// own turn, elected a small one where the large ones' turns came late.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// Renewals in the life of a lease: two may be lost.
const RENEWALS: f64 = 3.0;
/// How long a renewal may take before it is made again: above a slow store's answer (60 times 4 ms), and so short that
/// one that is lost leaves time for another within a lease of 1 s.
const RENEWAL_LIMIT: Duration = Duration::from_millis(400);
/// Longest wait of the watch on the key. What it misses while it has gone silent, the questions whether the store is reached show.
const WATCH_WAIT: Duration = Duration::from_secs(30);
/// Wait of a watch that follows one that was lost or in doubt: the connection that it goes over may have gone silent as well.
const WATCH_WAIT_IN_DOUBT: Duration = Duration::from_millis(1000);
/// A watch stands for so long at least before it is begun anew: for some time after an election, reads may show what was before.
const DOUBT_AFTER: Duration = Duration::from_millis(3000);

/// The value of the scheduler's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    #[serde(rename = "box")]
    box_id: BoxId,
    addr: SocketAddr,
    /// Tells this candidacy from an earlier one of the same box.
    nonce: u64,
}

/// Why a box schedules no more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
enum Ended {
    /// The store says that the lease is over.
    LeaseLost,
    /// The store has not confirmed the lease for too long.
    Unconfirmed,
    /// A backend server or the store knows a later scheduler.
    Deposed,
    /// The box leaves.
    Resigned,
    /// It cannot read what it must in time.
    NotRestored,
}

/// What a box has seen of its own fitness to schedule.
struct Fitness {
    /// How long it gives itself to begin.
    restore_limit: Duration,
    /// It could not begin in time when it was last elected.
    gave_up: bool,
}

impl Fitness {
    const UNTRIED: Fitness = Fitness { restore_limit: RESTORE_LIMIT, gave_up: false };

    /// A term has ended.
    fn note(&mut self, ended: Ended) {
        *self = match ended {
            Ended::NotRestored => Fitness { restore_limit: self.restore_limit.scaled(2.0), gave_up: true },
            _ => Fitness::UNTRIED,
        };
    }
}

/// Follows who schedules, and which boxes the others go through.
pub(crate) async fn follow_leader(store: Arc<dyn CoordinationStore>, view: Arc<View>) {
    let mut on = |seen: PrefixUpdate| match seen {
        PrefixUpdate::All(items) => {
            view.set_watched_leader(items.iter().find(|item| item.key == keys::SCHEDULER).and_then(leader_of));
            items
                .iter()
                .filter(|item| item.key == keys::RELAY_BOXES)
                .for_each(|item| box_list::apply_relay_boxes(&view, item));
        }
        PrefixUpdate::Changes(changes) => {
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
    let mut follower = PrefixWatcher { from: None, backoff: Backoff::new() };
    let mut wait = WATCH_WAIT;
    loop {
        let step = follower.step(&*store, &view, keys::SCHEDULER, WatchTiming::immediate(wait), &mut on);
        let answered = futures_lite::FutureExt::or(step, until_doubted(&view)).await;
        wait = if answered { WATCH_WAIT } else { WATCH_WAIT_IN_DOUBT };
    }
}

/// Waits until the watch is to be begun anew. Tells that it was not answered.
async fn until_doubted(view: &View) -> bool {
    pause(DOUBT_AFTER).await;
    view.watch_missed_change().await;
    log::info!("event=watch_begun_anew prefix={}", keys::SCHEDULER);
    false
}

pub(crate) fn leader_of(item: &Item) -> Option<Leader> {
    let record: Record = serde_json::from_slice(&item.value).ok()?;
    Some(Leader { box_id: record.box_id, addr: record.addr, fence: Fence(item.revision.0) })
}

/// Stands for election whenever there is no scheduler, and schedules while elected.
pub(crate) async fn run(settings: Settings, cx: Context, active: ActiveSlot) {
    let mut fitness = Fitness::UNTRIED;
    loop {
        if may_stand(&cx.view) {
            let wait = patience(&settings, fitness.gave_up, cx.view.has_seen_leader());
            if changes_within(&cx.view, wait).await {
                continue;
            }
            if may_stand(&cx.view)
                && let Some(won) = stand(&settings, &cx).await
            {
                lead(&settings, &cx, &active, won, &mut fitness).await;
            }
        }
        with_timeout(LOOK_EVERY, cx.view.leader_changed()).await;
    }
}

/// Waits, unless what a box goes by when it stands changes meanwhile; tells whether it has.
///
/// The wait lets larger boxes stand first, so it counts from the moment at which all of them learn that there is no
/// scheduler. Counted from before the latest one was known, it ended at that very moment now and then, and a small box won.
async fn changes_within(view: &View, wait: Duration) -> bool {
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

/// How long a box leaves the election to others: less, the more of a scheduler's work it can carry.
fn patience(settings: &Settings, gave_up: bool, seen_leader: bool) -> Duration {
    let by_size = STAND_LATER.scaled(1.0 / settings.cpu_share)
        + STAND_LATER_BY_LINK.scaled(1.0 / settings.link_mbps)
        + STAND_LATER_BY_MEMORY.scaled(1.0 / settings.memory_mb);
    let by_size = if seen_leader { by_size } else { by_size.scaled(COLD_START) };
    let after_giving_up = if gave_up { STAND_AGAIN } else { Duration::ZERO };
    STAND_WITHIN.scaled(fastrand::f64()) + by_size + after_giving_up
}

fn may_stand(view: &View) -> bool {
    view.leader().is_none() && view.is_store_reachable() && !view.is_draining() && view.configuration().is_some()
}

/// An election that this box has won.
struct Won {
    fence: Fence,
    lease: LeaseId,
    /// Until when the lease lives at least.
    confirmed: Moment,
    earlier: EarlierTerms,
}

/// Writes the scheduler's key under a new lease, unless another holds it. `None` if the election is not won.
async fn stand(settings: &Settings, cx: &Context) -> Option<Won> {
    let asked = cx.view.clock().now();
    let (lease, found) =
        futures_lite::future::zip(cx.store.grant_lease(settings.election_ttl), predecessors::read(&*cx.store)).await;
    let (lease, found) = (lease.ok()?, found.ok()?);
    let record = Record { box_id: settings.box_id.clone(), addr: settings.peers_address, nonce: fastrand::u64(..) };
    let value = serde_json::to_vec(&record).expect("our own types always serialize");
    let put = Put { key: keys::SCHEDULER.to_owned(), value, lease: Some(lease) };
    let (no_other_election, term) = found.add(&settings.box_id, settings.peers_address);
    let expect = vec![(keys::SCHEDULER.to_owned(), Revision(0)), no_other_election];
    let transaction = Transaction { expect, put: vec![put, term], remove: Vec::new() };
    let known_before = cx.view.newest_fence();
    let fence = match cx.store.commit(transaction, WRITE_LIMIT).await {
        Ok(Committed::Done(revision)) => Fence(revision.0),
        Ok(Committed::Conflict(items)) => {
            let holder = items.iter().find(|item| item.key == keys::SCHEDULER);
            cx.view.set_leader(holder.and_then(leader_of));
            return None;
        }
        Ok(Committed::LeaseGone) | Err(StoreError::Refused { .. }) => return None,
        Err(StoreError::Lost { .. }) => won_unanswered(cx, &record).await?,
    };
    log::info!("event=elected box={} fence={fence}", settings.box_id);
    metrics::counter!("martenscale_elections_total").increment(1);
    // Others may have told of this very election before it was answered.
    let others = cx.view.newest_fence().filter(|newest| *newest != fence).max(known_before);
    let earlier = found.earlier_terms(others);
    cx.view.set_leader(Some(Leader { box_id: record.box_id, addr: record.addr, fence }));
    Some(Won { fence, lease, confirmed: asked + settings.election_ttl, earlier })
}

/// The fence, if a write without an answer has won the election after all.
async fn won_unanswered(cx: &Context, record: &Record) -> Option<Fence> {
    let item = cx.store.get(keys::SCHEDULER.to_owned()).await.ok()??;
    let holder: Record = serde_json::from_slice(&item.value).ok()?;
    (holder == *record).then_some(Fence(item.revision.0))
}

/// Schedules for as long as the election holds, then makes way.
async fn lead(settings: &Settings, cx: &Context, active: &ActiveSlot, won: Won, fitness: &mut Fitness) {
    let (fence, lease) = (won.fence, won.lease);
    if !cx.view.begin_term(fence) {
        log::info!("event=elected_too_late box={} fence={fence}", settings.box_id);
        cx.view.set_leader(None);
        return;
    }
    let earlier = won.earlier.clone();
    let schedule = async {
        match leader::run(settings, cx, active, fence, earlier, fitness.restore_limit).await {
            LeaderExit::LeadershipLost => Ended::Deposed,
            LeaderExit::NotRestored => Ended::NotRestored,
        }
    };
    let ended = futures_lite::FutureExt::or(keep(settings, cx, won), schedule).await;
    active.clear();
    cx.view.end_term();
    cx.view.set_leader(None);
    log::info!("event=stopped_scheduling box={} fence={fence} why={ended}", settings.box_id);
    fitness.note(ended);
    if matches!(ended, Ended::Resigned | Ended::NotRestored)
        && let Err(e) = cx.store.revoke_lease(lease).await
    {
        log::warn!("event=lease_not_ended fence={fence} why={e}");
    }
}

/// Renews the lease until it is lost, cannot be confirmed for too long, or the box leaves.
async fn keep(settings: &Settings, cx: &Context, won: Won) -> Ended {
    let every = settings.election_ttl.scaled(1.0 / RENEWALS);
    let unconfirmed = settings.timing.unconfirmed_renewal;
    let mut confirmed = won.confirmed;
    cx.view.confirm_election(confirmed, unconfirmed);
    let mut backoff = Backoff::new();
    let mut last = cx.view.clock().now();
    loop {
        let since = cx.view.clock().now().since(last);
        let rest = Duration::from_millis(every.millis().saturating_sub(since.millis()));
        futures_lite::FutureExt::or(pause(rest), leaving(&cx.view)).await;
        if cx.view.is_draining() {
            return Ended::Resigned;
        }
        let sent = cx.view.clock().now();
        match cx.view.abandon_on_reconnect(renew(cx, won.lease)).await {
            Ok(true) => {
                confirmed = sent + settings.election_ttl;
                last = sent;
                cx.view.confirm_election(confirmed, unconfirmed);
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

async fn renew(cx: &Context, lease: LeaseId) -> Result<bool, StoreError> {
    let late = async {
        pause(RENEWAL_LIMIT).await;
        Err(StoreError::Lost { why: format!("nothing came within {RENEWAL_LIMIT}") })
    };
    futures_lite::FutureExt::or(cx.store.keep_alive(lease), late).await
}

/// Waits until the box leaves.
async fn leaving(view: &View) {
    while !view.is_draining() {
        view.leader_changed().await;
    }
}
