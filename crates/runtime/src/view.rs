//! The view that a box has of the system, each fact with its age or version: the configuration, the leader, and whether
//! the store and other boxes respond.

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

/// The elected scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Leader {
    pub(crate) box_id: BoxId,
    pub(crate) addr: SocketAddr,
    pub(crate) fence: Fence,
}

#[derive(Default)]
struct State {
    configuration: Option<Arc<Configuration>>,
    leader: Option<Leader>,
    leader_since: Moment,
    /// Fencing token that the watch of the scheduler's key reported last.
    watched_fence: Option<Fence>,
    /// Newest fencing token that this box has observed since it started.
    newest_fence: Option<Fence>,
    /// Time of the latest response of the store.
    store_responded_at: Option<Moment>,
    /// Time of the latest response of another box that reaches the store.
    peer_responded_at: Option<Moment>,
    /// Time until which the store has confirmed the election of this box.
    confirmed_until: Moment,
    /// Time until which this box may schedule, if it is elected.
    may_schedule_until: Moment,
    /// Fencing token of the current term, also while the state is still being restored.
    term: Option<Fence>,
    /// Time at which the latest term of this box ended, or at which the box started.
    term_ended_at: Moment,
    /// Highest fencing token that this box has promised not to schedule with: a term with it must not begin.
    refused_fence: Option<Fence>,
    /// Relay boxes, as last read from the store.
    relay_boxes: Arc<RelayBoxes>,
    /// Time at which the watch of this box on the store last confirmed that the configuration is the newest.
    configuration_confirmed_at: Option<Moment>,
    draining: bool,
}

/// The view of a box, shared by its tasks.
pub struct View {
    state: Mutex<State>,
    /// Holds a token when the conditions for a candidacy may have changed.
    change_signal: (Sender<()>, Receiver<()>),
    /// Notified when a read shows a change of the scheduler's key that the watch has not reported.
    watch_missed_change: Event,
    /// Notified when the store responds after an outage.
    store_recovered: Event,
    /// Notified when there is a newer configuration.
    configuration_changed: Event,
    clock: Arc<dyn Clock>,
    /// Time without a response after which the store counts as unreachable.
    store_silence: Duration,
}

impl View {
    pub(crate) fn new(clock: Arc<dyn Clock>, store_silence: Duration) -> View {
        let state = State { term_ended_at: clock.now(), ..State::default() };
        View {
            state: Mutex::new(state),
            change_signal: smol::channel::bounded(1),
            watch_missed_change: Event::new(),
            store_recovered: Event::new(),
            configuration_changed: Event::new(),
            clock,
            store_silence,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Returns the newest configuration that this box has seen; `None` before the first one.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.lock().configuration.clone()
    }

    /// Stores a configuration unless it is older than the current one. Returns whether it is newer.
    pub(crate) fn update_configuration(&self, new: Configuration) -> bool {
        let mut state = self.lock();
        let old = state.configuration.as_ref().map(|old| old.version);
        if old.is_some_and(|old| old >= new.version) {
            return false;
        }
        log::info!("event=configuration version={} before={}", new.version, old.unwrap_or(0));
        state.configuration = Some(Arc::new(new));
        drop(state);
        self.configuration_changed.notify(usize::MAX);
        if old.is_none() {
            self.notify_change();
        }
        true
    }

    pub(crate) fn leader(&self) -> Option<Leader> {
        self.lock().leader.clone()
    }

    /// Returns the newest fencing token that this box has observed since it started.
    pub(crate) fn newest_fence(&self) -> Option<Fence> {
        self.lock().newest_fence
    }

    /// Whether this box has observed a scheduler since it started.
    pub(crate) fn has_seen_leader(&self) -> bool {
        self.lock().newest_fence.is_some()
    }

    pub(crate) fn set_leader(&self, leader: Option<Leader>) {
        let mut state = self.lock();
        if state.leader == leader {
            return;
        }
        match &leader {
            Some(new) => log::info!("event=scheduler_known box={} fence={}", new.box_id, new.fence),
            None => log::info!("event=scheduler_unknown"),
        }
        state.newest_fence = state.newest_fence.max(leader.as_ref().map(|leader| leader.fence));
        state.leader = leader;
        state.leader_since = self.clock.now();
        drop(state);
        self.notify_change();
    }

    /// Records the leader that the watch of the scheduler's key reported.
    pub(crate) fn set_watched_leader(&self, leader: Option<Leader>) {
        self.lock().watched_fence = leader.as_ref().map(|leader| leader.fence);
        self.set_leader(leader);
    }

    /// Compares a read of the scheduler's key, which may be stale, with what the watch reported, and notifies if the
    /// watch has missed a change.
    pub(crate) fn compare_with_watch(&self, read: Option<Fence>) {
        let watched_fence = self.lock().watched_fence;
        let missed = if read.is_none() { watched_fence.is_some() } else { watched_fence < read };
        if missed {
            self.watch_missed_change.notify(usize::MAX);
        }
    }

    /// Waits until a read shows that the watch of the scheduler's key has missed a change.
    pub(crate) async fn watch_missed_change(&self) {
        self.watch_missed_change.listen().await;
    }

    /// Records a report that there was no scheduler at some time within the last `age`.
    pub(crate) fn observe_no_leader(&self, age: Duration) {
        let since = self.lock().leader_since;
        if self.clock.now().since(since) > age {
            self.set_leader(None);
        }
    }

    /// Records a report of a scheduler. Ignored unless it is later than any that was observed.
    pub(crate) fn observe_leader(&self, leader: Leader) {
        if self.lock().newest_fence < Some(leader.fence) {
            self.set_leader(Some(leader));
        }
    }

    /// Records that the election of this box is confirmed until a time. The box may give orders until then, and for
    /// `unconfirmed` longer without a confirmation.
    pub(crate) fn confirm_election(&self, until: Moment, unconfirmed: Duration) {
        let mut state = self.lock();
        state.confirmed_until = until;
        state.may_schedule_until = until + unconfirmed;
    }

    /// Returns the time until which the store has confirmed the election of this box.
    pub(crate) fn confirmed_until(&self) -> Moment {
        self.lock().confirmed_until
    }

    /// Whether this box may give orders and renew leases. Checked before each call: a box that was suspended resumes
    /// where it stopped, and by then others assume that the runs it started have ended.
    pub(crate) fn may_schedule(&self) -> bool {
        let now = self.clock.now();
        now <= self.lock().may_schedule_until
    }

    /// Begins a term. Returns `false` if it must not begin, because a later scheduler asked this box to step down
    /// before the response to the election arrived.
    #[must_use]
    pub(crate) fn begin_term(&self, fence: Fence) -> bool {
        let mut state = self.lock();
        let can_begin = state.refused_fence < Some(fence);
        if can_begin {
            state.term = Some(fence);
        }
        can_begin
    }

    /// Ends the term: this box gives no more orders and renews no more leases.
    pub(crate) fn end_term(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.term = None;
        state.term_ended_at = now;
        state.confirmed_until = Moment::ZERO;
        state.may_schedule_until = Moment::ZERO;
    }

    /// Returns for how long this box has at least not been scheduling with a fencing token; `None` if it is. If it is
    /// not, it promises never to.
    pub(crate) fn step_down(&self, fence: Fence) -> Option<Duration> {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.term == Some(fence) {
            return None;
        }
        state.refused_fence = state.refused_fence.max(Some(fence));
        Some(now.since(state.term_ended_at))
    }

    fn notify_change(&self) {
        // A full channel already holds the notification.
        let _ = self.change_signal.0.try_send(());
    }

    /// Waits until the leader changes, the first configuration arrives, the store is reachable again or the box starts
    /// to drain. Only the election waits for this.
    pub(crate) async fn leader_changed(&self) {
        // The view holds the sender as well, so the channel never closes.
        let _ = self.change_signal.1.recv().await;
    }

    /// Records a response of the store to a call of this box.
    pub(crate) fn record_store_response(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let was_reachable = self.is_recent(state.store_responded_at, now);
        state.store_responded_at = Some(now);
        drop(state);
        if !was_reachable {
            log::info!("event=store_reached");
            self.store_recovered.notify(usize::MAX);
            self.notify_change();
        }
    }

    /// Makes a call to the store, and abandons it if the store recovers from an outage meanwhile: a call from before is
    /// not answered any more, so repeating it is faster than waiting.
    pub(crate) async fn abandon_on_reconnect<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let recovered = self.store_recovered.listen();
        let interrupted = async {
            recovered.await;
            Err(StoreError::Lost { why: "the store recovered from an outage meanwhile".to_owned() })
        };
        futures_lite::FutureExt::or(call, interrupted).await
    }

    /// Whether the store has responded to this box recently.
    pub fn is_store_reachable(&self) -> bool {
        let now = self.clock.now();
        self.is_recent(self.lock().store_responded_at, now)
    }

    /// Returns the time since the latest response of the store; `None` if there was none.
    pub(crate) fn time_since_store_response(&self) -> Option<Duration> {
        let now = self.clock.now();
        self.lock().store_responded_at.map(|at| now.since(at))
    }

    /// Records a response of another box that reaches the store.
    pub(crate) fn record_peer_response(&self) {
        let now = self.clock.now();
        self.lock().peer_responded_at = Some(now);
    }

    /// Whether another box that reaches the store has responded recently.
    pub(crate) fn is_peer_reachable(&self) -> bool {
        let now = self.clock.now();
        self.is_recent(self.lock().peer_responded_at, now)
    }

    /// Whether a response is recent enough for its sender to count as reachable.
    fn is_recent(&self, responded_at: Option<Moment>, now: Moment) -> bool {
        responded_at.is_some_and(|at| now.since(at) <= self.store_silence)
    }

    pub(crate) fn set_relay_boxes(&self, relay_boxes: RelayBoxes) {
        self.lock().relay_boxes = Arc::new(relay_boxes);
    }

    /// Returns the relay boxes; none before they have been read from the store.
    pub(crate) fn relay_boxes(&self) -> Arc<RelayBoxes> {
        Arc::clone(&self.lock().relay_boxes)
    }

    /// Records that the store has confirmed the configuration as the newest.
    pub(crate) fn confirm_configuration(&self) {
        let now = self.clock.now();
        self.lock().configuration_confirmed_at = Some(now);
    }

    /// Whether the store has confirmed within the last `limit` that the configuration is the newest.
    pub(crate) fn is_configuration_confirmed(&self, limit: Duration) -> bool {
        let now = self.clock.now();
        self.lock().configuration_confirmed_at.is_some_and(|at| now.since(at) <= limit)
    }

    /// Waits for a configuration with a version above `above`, for at most `limit`. Returns `None` on timeout.
    pub(crate) async fn configuration_above(&self, above: u64, limit: Duration) -> Option<Arc<Configuration>> {
        let newer = || self.configuration().filter(|current| current.version > above);
        let arrives = async {
            loop {
                let changed = self.configuration_changed.listen();
                if newer().is_some() {
                    return;
                }
                changed.await;
            }
        };
        with_timeout(limit, arrives).await;
        newer()
    }

    /// Starts to drain the box: it takes no new connections and is no candidate in elections.
    pub fn start_draining(&self) {
        self.lock().draining = true;
        self.notify_change();
    }

    /// Whether the box is draining.
    pub fn is_draining(&self) -> bool {
        self.lock().draining
    }

    /// Whether new callers should be sent to this box.
    pub fn is_ready(&self) -> bool {
        let configured = self.lock().configuration.is_some();
        configured && !self.is_draining() && (self.is_store_reachable() || self.is_peer_reachable())
    }

    pub(crate) fn clock(&self) -> &dyn Clock {
        &*self.clock
    }
}
