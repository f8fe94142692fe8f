//! What a box believes of the world, each belief with its age or version.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use event_listener::Event;
use jobs::Fence;
use model::{BoxId, Duration, Moment};
use outside::{Clock, StoreError};
use smol::channel::{Receiver, Sender};

use crate::{Configuration, relay_boxes::RelayBoxes, timers::with_timeout};

/// Who schedules.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Leader {
    pub(crate) box_id: BoxId,
    pub(crate) addr: SocketAddr,
    pub(crate) fence: Fence,
}

#[derive(Default)]
struct Beliefs {
    configuration: Option<Arc<Configuration>>,
    leader: Option<Leader>,
    leader_since: Moment,
    /// The scheduler that the watch of its key told of last.
    watched: Option<Fence>,
    /// The newest scheduler that this box has known of since it began.
    newest_fence: Option<Fence>,
    /// The store answered at this time.
    store_seen: Option<Moment>,
    /// Another box that reaches the store answered at this time.
    peer_seen: Option<Moment>,
    /// Until when the store has confirmed this box's election.
    confirmed_until: Moment,
    /// Until when this box may schedule, if it is elected.
    schedules_until: Moment,
    /// The fence that this box schedules with, also while it only begins to.
    term: Option<Fence>,
    /// When this box ceased to schedule, or began anew.
    term_ended: Moment,
    /// The newest fence that this box has said not to schedule with: it must not begin to.
    renounced: Option<Fence>,
    /// Boxes that the others go through, as the store last told.
    relay_boxes: Arc<RelayBoxes>,
    /// This box's own watch of the store last told then that the configuration is the newest.
    configuration_confirmed: Option<Moment>,
    draining: bool,
}

/// What a box believes.
pub struct View {
    beliefs: Mutex<Beliefs>,
    /// Holds a token when the box may have come to stand for election, or to stand no more.
    changed: (Sender<()>, Receiver<()>),
    /// Notified when a read shows what the watch of the scheduler's key has not told.
    watch_missed_change: Event,
    /// Notified when the store answers after a silence.
    store_back: Event,
    /// Notified when there is a newer configuration.
    configuration_changed: Event,
    clock: Arc<dyn Clock>,
    /// The store counts as out of reach once it has been silent for longer.
    store_silence: Duration,
}

impl View {
    pub(crate) fn new(clock: Arc<dyn Clock>, store_silence: Duration) -> View {
        let beliefs = Beliefs { term_ended: clock.now(), ..Beliefs::default() };
        View {
            beliefs: Mutex::new(beliefs),
            changed: smol::channel::bounded(1),
            watch_missed_change: Event::new(),
            store_back: Event::new(),
            configuration_changed: Event::new(),
            clock,
            store_silence,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Beliefs> {
        self.beliefs.lock().expect("no holder panics")
    }

    /// The newest configuration that this box has seen.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.lock().configuration.clone()
    }

    /// Takes a configuration unless a newer one is known. Returns whether it is new.
    pub(crate) fn update_configuration(&self, new: Configuration) -> bool {
        let mut beliefs = self.lock();
        let old = beliefs.configuration.as_ref().map(|old| old.version);
        if old.is_some_and(|old| old >= new.version) {
            return false;
        }
        log::info!("event=configuration version={} before={}", new.version, old.unwrap_or(0));
        beliefs.configuration = Some(Arc::new(new));
        drop(beliefs);
        self.configuration_changed.notify(usize::MAX);
        if old.is_none() {
            self.tell_change();
        }
        true
    }

    pub(crate) fn leader(&self) -> Option<Leader> {
        self.lock().leader.clone()
    }

    /// The newest fence that this box has known of since it began.
    pub(crate) fn newest_fence(&self) -> Option<Fence> {
        self.lock().newest_fence
    }

    /// Whether this box has known of a scheduler since it began.
    pub(crate) fn has_seen_leader(&self) -> bool {
        self.lock().newest_fence.is_some()
    }

    pub(crate) fn set_leader(&self, leader: Option<Leader>) {
        let mut beliefs = self.lock();
        if beliefs.leader == leader {
            return;
        }
        match &leader {
            Some(new) => log::info!("event=scheduler_known box={} fence={}", new.box_id, new.fence),
            None => log::info!("event=scheduler_unknown"),
        }
        beliefs.newest_fence = beliefs.newest_fence.max(leader.as_ref().map(|leader| leader.fence));
        beliefs.leader = leader;
        beliefs.leader_since = self.clock.now();
        drop(beliefs);
        self.tell_change();
    }

    /// The watch of the scheduler's key has told who schedules.
    pub(crate) fn set_watched_leader(&self, leader: Option<Leader>) {
        self.lock().watched = leader.as_ref().map(|leader| leader.fence);
        self.set_leader(leader);
    }

    /// A read of the scheduler's key, which may be old, has shown a scheduler or none. News that the watch has not told puts that in doubt.
    pub(crate) fn compare_with_watch(&self, read: Option<Fence>) {
        let watched = self.lock().watched;
        let missed = if read.is_none() { watched.is_some() } else { watched < read };
        if missed {
            self.watch_missed_change.notify(usize::MAX);
        }
    }

    /// Waits until what is read of the scheduler's key puts the watch of it in doubt.
    pub(crate) async fn watch_missed_change(&self) {
        self.watch_missed_change.listen().await;
    }

    /// Someone has told that there was no scheduler at some time within `age`.
    pub(crate) fn observe_no_leader(&self, age: Duration) {
        let since = self.lock().leader_since;
        if self.clock.now().since(since) > age {
            self.set_leader(None);
        }
    }

    /// Someone has told who scheduled at some time: news only if it is a later scheduler than any that was known.
    pub(crate) fn observe_leader(&self, leader: Leader) {
        if self.lock().newest_fence < Some(leader.fence) {
            self.set_leader(Some(leader));
        }
    }

    /// This box's election is confirmed up to then: it may give orders, and go on for so long without a confirmation.
    pub(crate) fn confirm_election(&self, until: Moment, unconfirmed: Duration) {
        let mut beliefs = self.lock();
        beliefs.confirmed_until = until;
        beliefs.schedules_until = until + unconfirmed;
    }

    /// Until when the store has confirmed this box's election.
    pub(crate) fn confirmed_until(&self) -> Moment {
        self.lock().confirmed_until
    }

    /// Whether this box may give orders and renew leases. Asked before each call: a box that wakes after it was
    /// suspended, or has stood still, goes on where it was, and others take what it had started to be over by then.
    pub(crate) fn may_schedule(&self) -> bool {
        let now = self.clock.now();
        now <= self.lock().schedules_until
    }

    /// This box begins to schedule; `false` if it must not: a later scheduler has asked whether it does before the
    /// store's answer to the election came.
    #[must_use]
    pub(crate) fn begin_term(&self, fence: Fence) -> bool {
        let mut beliefs = self.lock();
        let may = beliefs.renounced < Some(fence);
        if may {
            beliefs.term = Some(fence);
        }
        may
    }

    /// This box gives no order and renews no lease any more.
    pub(crate) fn end_term(&self) {
        let now = self.clock.now();
        let mut beliefs = self.lock();
        beliefs.term = None;
        beliefs.term_ended = now;
        beliefs.confirmed_until = Moment::ZERO;
        beliefs.schedules_until = Moment::ZERO;
    }

    /// For how long this box has not scheduled with a fence, at least; `None` if it does. If not, it never will.
    pub(crate) fn step_down(&self, fence: Fence) -> Option<Duration> {
        let now = self.clock.now();
        let mut beliefs = self.lock();
        if beliefs.term == Some(fence) {
            return None;
        }
        beliefs.renounced = beliefs.renounced.max(Some(fence));
        Some(now.since(beliefs.term_ended))
    }

    fn tell_change(&self) {
        // A full channel holds the news already.
        let _ = self.changed.0.try_send(());
    }

    /// Waits until the scheduler has changed, the first configuration has come, the store is reached again or the box
    /// leaves. Only the election waits for this.
    pub(crate) async fn leader_changed(&self) {
        // The view holds the sender too, so that the channel never closes.
        let _ = self.changed.1.recv().await;
    }

    /// The store has answered a call of this box.
    pub(crate) fn record_store_response(&self) {
        let now = self.clock.now();
        let mut beliefs = self.lock();
        let reached = self.lately(beliefs.store_seen, now);
        beliefs.store_seen = Some(now);
        drop(beliefs);
        if !reached {
            log::info!("event=store_reached");
            self.store_back.notify(usize::MAX);
            self.tell_change();
        }
    }

    /// Makes a call to the store, unless the store comes back from a silence meanwhile: a call from before is not
    /// answered any more, and is better made again than waited for.
    pub(crate) async fn abandon_on_reconnect<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let back = self.store_back.listen();
        let interrupted = async {
            back.await;
            Err(StoreError::Lost { why: "the store was silent meanwhile".to_owned() })
        };
        futures_lite::FutureExt::or(call, interrupted).await
    }

    /// Whether the store has answered this box lately.
    pub fn is_store_reachable(&self) -> bool {
        let now = self.clock.now();
        self.lately(self.lock().store_seen, now)
    }

    /// How long ago the store answered; `None` if it never has.
    pub(crate) fn time_since_store_response(&self) -> Option<Duration> {
        let now = self.clock.now();
        self.lock().store_seen.map(|seen| now.since(seen))
    }

    /// Another box that reaches the store has answered.
    pub(crate) fn record_peer_response(&self) {
        let now = self.clock.now();
        self.lock().peer_seen = Some(now);
    }

    /// Whether another box that reaches the store has answered lately.
    pub(crate) fn is_peer_reachable(&self) -> bool {
        let now = self.clock.now();
        self.lately(self.lock().peer_seen, now)
    }

    /// Whether something was seen so lately that it is taken to be so still.
    fn lately(&self, seen: Option<Moment>, now: Moment) -> bool {
        seen.is_some_and(|seen| now.since(seen) <= self.store_silence)
    }

    pub(crate) fn set_relay_boxes(&self, relay_boxes: RelayBoxes) {
        self.lock().relay_boxes = Arc::new(relay_boxes);
    }

    /// Boxes that the others go through; none before the store has told.
    pub(crate) fn relay_boxes(&self) -> Arc<RelayBoxes> {
        Arc::clone(&self.lock().relay_boxes)
    }

    /// The store has told this box that the configuration is the newest.
    pub(crate) fn confirm_configuration(&self) {
        let now = self.clock.now();
        self.lock().configuration_confirmed = Some(now);
    }

    /// Whether the store has told this box within `limit` that the configuration is the newest.
    pub(crate) fn is_configuration_confirmed(&self, limit: Duration) -> bool {
        let now = self.clock.now();
        self.lock().configuration_confirmed.is_some_and(|at| now.since(at) <= limit)
    }

    /// Waits until there is a configuration above a version, for at most `limit`.
    pub(crate) async fn configuration_above(&self, above: u64, limit: Duration) -> Option<Arc<Configuration>> {
        let newer = || self.configuration().filter(|known| known.version > above);
        let comes = async {
            loop {
                let changed = self.configuration_changed.listen();
                if newer().is_some() {
                    return;
                }
                changed.await;
            }
        };
        with_timeout(limit, comes).await;
        newer()
    }

    /// The box is leaving: it takes no new connections and stands in no election.
    pub fn start_draining(&self) {
        self.lock().draining = true;
        self.tell_change();
    }

    /// Whether the box is leaving.
    pub fn is_draining(&self) -> bool {
        self.lock().draining
    }

    /// Whether new callers should come here.
    pub fn is_ready(&self) -> bool {
        let configured = self.lock().configuration.is_some();
        configured && !self.is_draining() && (self.is_store_reachable() || self.is_peer_reachable())
    }

    pub(crate) fn clock(&self) -> &dyn Clock {
        &*self.clock
    }
}
