//! One box's view of the boxes of its availability zone.

use std::collections::BTreeMap;

use model::{BoxId, Duration, Incarnation, Moment};

/// Times of the failure detector.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// A heartbeat goes to each peer this often.
    pub heartbeat_every: Duration,
    /// A box not heard for this long is taken for dead.
    pub dead_after: Duration,
    /// A box must be heard without a gap for this long before it may plan.
    pub steady_after: Duration,
    /// The longest that `steady_after` grows to for a box that comes and goes.
    pub steady_max: Duration,
    /// A box that was steady for this long has its coming and going forgiven.
    pub forgive_after: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            heartbeat_every: Duration::from_millis(500),
            dead_after: Duration::from_millis(2500),
            steady_after: Duration::from_secs(3),
            steady_max: Duration::from_secs(60),
            forgive_after: Duration::from_secs(300),
        }
    }
}

/// A box as another sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The life last heard of.
    pub incarnation: Incarnation,
    /// When it was last heard.
    pub last_heard: Moment,
    /// Since when it has been heard without a gap.
    pub steady_since: Moment,
    /// Whether it said that it is leaving.
    pub leaving: bool,
    /// How often it came back after a gap or with a new life.
    pub returns: u32,
}

/// One box's view.
#[derive(Debug)]
pub struct View {
    me: BoxId,
    limits: Limits,
    own: Status,
    peers: BTreeMap<BoxId, Status>,
}

impl View {
    /// A view that knows only its own box.
    pub fn new(me: BoxId, limits: Limits, now: Moment) -> View {
        let own =
            Status { incarnation: Incarnation(0), last_heard: now, steady_since: now, leaving: false, returns: 0 };
        View { me, limits, own, peers: BTreeMap::new() }
    }

    /// The times in use.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Lets time pass. A gap longer than `dead_after` means that this process was paused: others
    /// have taken it for dead, and it counts as having come back.
    pub fn tick(&mut self, now: Moment) {
        let paused = now.since(self.own.last_heard) > self.limits.dead_after;
        if paused {
            come_back(&mut self.own, self.limits, now);
            // What was heard before the pause says nothing about the present; give each peer the
            // time of one heartbeat to be heard again.
            for peer in self.peers.values_mut() {
                peer.last_heard = peer.last_heard.max(now - self.limits.heartbeat_every - self.limits.heartbeat_every);
            }
        }
        self.own.last_heard = now;
    }

    /// Takes a heartbeat. One of an earlier life than is known is ignored.
    pub fn heard(&mut self, peer: &BoxId, incarnation: Incarnation, leaving: bool, now: Moment) {
        if *peer == self.me {
            return;
        }
        let limits = self.limits;
        let fresh = Status { incarnation, last_heard: now, steady_since: now, leaving, returns: 0 };
        let status = self.peers.entry(peer.clone()).or_insert(fresh);
        if incarnation < status.incarnation {
            return;
        }
        let gap = now.since(status.last_heard) > limits.dead_after;
        if gap || incarnation > status.incarnation {
            come_back(status, limits, now);
        }
        status.incarnation = incarnation;
        status.last_heard = now;
        status.leaving = leaving;
    }

    /// This box is leaving, or no longer.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.own.leaving = leaving;
    }

    /// Whether a box is live, this one included.
    pub fn is_live(&self, id: &BoxId, now: Moment) -> bool {
        *id == self.me || self.peers.get(id).is_some_and(|s| self.is_fresh(s, now))
    }

    /// Whether this very life of a box is live; `own` is this process's life.
    pub fn is_live_life(&self, id: &BoxId, incarnation: Incarnation, own: Incarnation, now: Moment) -> bool {
        if *id == self.me {
            return incarnation == own;
        }
        self.peers.get(id).is_some_and(|s| s.incarnation == incarnation && self.is_fresh(s, now))
    }

    /// Whether this box has run long enough without a pause to take another's silence for death.
    pub fn may_judge(&self, now: Moment) -> bool {
        now.since(self.own.steady_since) >= self.limits.dead_after + self.limits.heartbeat_every
    }

    /// Live boxes in the order of their ids, this one included.
    pub fn live(&self, now: Moment) -> Vec<BoxId> {
        let mut live: Vec<BoxId> =
            self.peers.iter().filter(|(_, s)| self.is_fresh(s, now)).map(|(id, _)| id.clone()).collect();
        live.push(self.me.clone());
        live.sort();
        live
    }

    /// Every peer ever heard of.
    pub fn peers(&self) -> &BTreeMap<BoxId, Status> {
        &self.peers
    }

    /// The box that plans: the lowest that is live, staying and steady; else the lowest that is live
    /// and staying; else the lowest that is live.
    pub fn planner(&self, now: Moment) -> &BoxId {
        let own = (&self.me, &self.own);
        let all = || self.peers.iter().chain(std::iter::once(own)).filter(|(_, s)| !s.leaving && self.is_fresh(s, now));
        let steady = all().filter(|(_, s)| now.since(s.steady_since) >= self.steady_time(s));
        let lowest_live = self.peers.iter().filter(|(_, s)| self.is_fresh(s, now)).map(|(id, _)| id).min();
        steady
            .map(|(id, _)| id)
            .min()
            .or_else(|| all().map(|(id, _)| id).min())
            .or(lowest_live.filter(|id| **id < self.me))
            .unwrap_or(&self.me)
    }

    fn is_fresh(&self, status: &Status, now: Moment) -> bool {
        now.since(status.last_heard) <= self.limits.dead_after
    }

    /// Doubles with each return, so that a box that comes and goes does not drag the planning along.
    fn steady_time(&self, status: &Status) -> Duration {
        let doubled = self.limits.steady_after.millis() << status.returns.min(10);
        Duration::from_millis(doubled.min(self.limits.steady_max.millis()))
    }
}

fn come_back(status: &mut Status, limits: Limits, now: Moment) {
    let steady_for = status.last_heard.since(status.steady_since);
    status.returns = if steady_for >= limits.forgive_after { 1 } else { status.returns + 1 };
    status.steady_since = now;
}
