//! View that one box has of the boxes of its availability zone.
//!
//! The view is driven by heartbeats and by the passage of time, both of which its caller reports. It does no I/O.

use std::collections::BTreeMap;

use model::{BoxId, Duration, Incarnation, Moment};

/// Timing of the failure detector.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Interval between the heartbeats that are sent to each peer.
    pub heartbeat_every: Duration,
    /// Time without a heartbeat after which a box is considered dead.
    pub dead_after: Duration,
    /// Time of heartbeats without a gap after which a box is steady and may plan. It doubles with each return of the
    /// box.
    pub steady_after: Duration,
    /// Upper bound of `steady_after` for a box that returns repeatedly.
    pub steady_max: Duration,
    /// Time of heartbeats without a gap after which earlier returns of a box no longer count.
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

/// Status of a box as another box sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Latest observed incarnation.
    pub incarnation: Incarnation,
    /// Time of the last heartbeat.
    pub last_heartbeat: Moment,
    /// Start of the current period of heartbeats without a gap.
    pub steady_since: Moment,
    /// Whether the box has announced that it is draining.
    pub draining: bool,
    /// Number of returns after a gap or with a new incarnation.
    pub returns: u32,
}

/// View that one box has of itself and its peers.
#[derive(Debug)]
pub struct View {
    own_id: BoxId,
    limits: Limits,
    own: Status,
    peers: BTreeMap<BoxId, Status>,
}

impl View {
    /// Creates a view that contains only the own box.
    pub fn new(own_id: BoxId, limits: Limits, now: Moment) -> View {
        let own =
            Status { incarnation: Incarnation(0), last_heartbeat: now, steady_since: now, draining: false, returns: 0 };
        View { own_id, limits, own, peers: BTreeMap::new() }
    }

    /// Returns the timing of the failure detector.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Advances the view to `now`. A gap of more than `dead_after` since the last call means that this process was
    /// paused: other boxes have considered it dead, so it counts as returned.
    pub fn tick(&mut self, now: Moment) {
        let paused = now.since(self.own.last_heartbeat) > self.limits.dead_after;
        if paused {
            record_return(&mut self.own, self.limits, now);
            // Heartbeats from before the pause don't tell which peers are live now: give each peer
            // time to send another one.
            for peer in self.peers.values_mut() {
                peer.last_heartbeat =
                    peer.last_heartbeat.max(now - self.limits.heartbeat_every - self.limits.heartbeat_every);
            }
        }
        self.own.last_heartbeat = now;
    }

    /// Records a heartbeat of `peer`. Heartbeats of an incarnation earlier than the latest observed one are ignored.
    pub fn record_heartbeat(&mut self, peer: &BoxId, incarnation: Incarnation, draining: bool, now: Moment) {
        if *peer == self.own_id {
            return;
        }
        let limits = self.limits;
        let fresh = Status { incarnation, last_heartbeat: now, steady_since: now, draining, returns: 0 };
        let status = self.peers.entry(peer.clone()).or_insert(fresh);
        if incarnation < status.incarnation {
            return;
        }
        let gap = now.since(status.last_heartbeat) > limits.dead_after;
        if gap || incarnation > status.incarnation {
            record_return(status, limits, now);
        }
        status.incarnation = incarnation;
        status.last_heartbeat = now;
        status.draining = draining;
    }

    /// Sets whether this box is draining.
    pub fn set_draining(&mut self, draining: bool) {
        self.own.draining = draining;
    }

    /// Returns whether a box is live. This box always is.
    pub fn is_live(&self, id: &BoxId, now: Moment) -> bool {
        *id == self.own_id || self.peers.get(id).is_some_and(|s| self.has_recent_heartbeat(s, now))
    }

    /// Returns whether the given incarnation of a box is live; `own` is the incarnation of this process.
    pub fn is_live_incarnation(&self, id: &BoxId, incarnation: Incarnation, own: Incarnation, now: Moment) -> bool {
        if *id == self.own_id {
            return incarnation == own;
        }
        self.peers.get(id).is_some_and(|s| s.incarnation == incarnation && self.has_recent_heartbeat(s, now))
    }

    /// Returns whether this box has run without a pause for long enough to conclude from missing heartbeats that a box
    /// is dead.
    pub fn can_detect_failures(&self, now: Moment) -> bool {
        now.since(self.own.steady_since) >= self.limits.dead_after + self.limits.heartbeat_every
    }

    /// Returns the live boxes in the order of their ids, including this one.
    pub fn live(&self, now: Moment) -> Vec<BoxId> {
        let mut live: Vec<BoxId> =
            self.peers.iter().filter(|(_, s)| self.has_recent_heartbeat(s, now)).map(|(id, _)| id.clone()).collect();
        live.push(self.own_id.clone());
        live.sort();
        live
    }

    /// Returns all peers that have ever sent a heartbeat, including dead ones.
    pub fn peers(&self) -> &BTreeMap<BoxId, Status> {
        &self.peers
    }

    /// Returns the box that plans. It is the one with the lowest id among the live, steady boxes that aren't draining;
    /// if there are none, among the live boxes that aren't draining; otherwise among all live boxes.
    pub fn planner(&self, now: Moment) -> &BoxId {
        let own = (&self.own_id, &self.own);
        let all = || {
            self.peers
                .iter()
                .chain(std::iter::once(own))
                .filter(|(_, s)| !s.draining && self.has_recent_heartbeat(s, now))
        };
        let steady = all().filter(|(_, s)| now.since(s.steady_since) >= self.required_steady_time(s));
        let lowest_live = self.peers.iter().filter(|(_, s)| self.has_recent_heartbeat(s, now)).map(|(id, _)| id).min();
        steady
            .map(|(id, _)| id)
            .min()
            .or_else(|| all().map(|(id, _)| id).min())
            .or(lowest_live.filter(|id| **id < self.own_id))
            .unwrap_or(&self.own_id)
    }

    fn has_recent_heartbeat(&self, status: &Status, now: Moment) -> bool {
        now.since(status.last_heartbeat) <= self.limits.dead_after
    }

    /// Returns how long a box must have been live without a gap to plan. The time doubles with each return, so that the
    /// planner doesn't change each time an unstable box returns.
    fn required_steady_time(&self, status: &Status) -> Duration {
        let doubled = self.limits.steady_after.millis() << status.returns.min(10);
        Duration::from_millis(doubled.min(self.limits.steady_max.millis()))
    }
}

fn record_return(status: &mut Status, limits: Limits, now: Moment) {
    let steady_for = status.last_heartbeat.since(status.steady_since);
    status.returns = if steady_for >= limits.forgive_after { 1 } else { status.returns + 1 };
    status.steady_since = now;
}
