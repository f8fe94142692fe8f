//! Heartbeats, detection of dead peers, and the directory of boxes.

use backend::Holder;
use model::{AvailabilityZoneId, BoxId, Duration, Incarnation, Moment, Revision};
use outside::ListedBox;

use crate::{EntryBox, PeerReply, PeerRequest, entry_box::Op};

/// How long a box that did not respond is avoided if there is another.
const AVOID_UNRESPONSIVE_FOR: Duration = Duration::from_secs(10);

impl EntryBox {
    /// Merges the platform's list into the directory. The list lags behind, so it removes no box; only
    /// missing heartbeats make a box count as dead.
    pub(crate) fn on_listed(&mut self, boxes: Vec<ListedBox>) {
        for listed in boxes {
            if listed.id != self.id.box_id {
                self.directory.insert(listed.id.clone(), listed);
            }
        }
    }

    /// Returns the address at which a peer takes calls; `None` if the box was never listed.
    pub fn address_of(&self, id: &BoxId) -> Option<std::net::SocketAddr> {
        self.directory.get(id).map(|listed| listed.peer_address)
    }

    /// Returns a box of another availability zone, preferably one that has not failed to respond recently.
    pub(crate) fn any_box_of(&self, zone: &AvailabilityZoneId, now: Moment) -> Option<BoxId> {
        let here = |listed: &&ListedBox| listed.availability_zone == *zone && !listed.leaving;
        let all: Vec<&BoxId> = self.directory.values().filter(here).map(|listed| &listed.id).collect();
        let is_unresponsive =
            |id: &BoxId| self.unresponsive_peers.get(id).is_some_and(|at| now.since(*at) < AVOID_UNRESPONSIVE_FOR);
        let answering: Vec<&BoxId> = all.iter().copied().filter(|id| !is_unresponsive(id)).collect();
        let boxes = if answering.is_empty() { all } else { answering };
        // Chosen in turn, to spread the load.
        let turn = self.op_count() as usize % boxes.len().max(1);
        boxes.get(turn).map(|id| (*id).clone())
    }

    /// Records whether a box responded to a call.
    pub(crate) fn record_peer_response(&mut self, peer: &BoxId, answered: bool, now: Moment) {
        if answered {
            self.unresponsive_peers.remove(peer);
        } else {
            self.unresponsive_peers.insert(peer.clone(), now);
        }
    }

    pub(crate) fn own_heartbeat(&self) -> PeerReply {
        PeerReply::Heartbeat {
            incarnation: self.id.incarnation,
            revision: self.current.revision(),
            leaving: self.draining,
        }
    }

    pub(crate) fn send_heartbeats(&mut self, now: Moment) {
        let every = self.limits.membership.heartbeat_every;
        if self.last_heartbeat.is_some_and(|at| now.since(at) < every) {
            return;
        }
        self.last_heartbeat = Some(now);
        // Heartbeats that are still unanswered are abandoned.
        self.ops.retain(|_, op| !matches!(op, Op::Heartbeat));
        let same_zone = |b: &&ListedBox| b.availability_zone == self.id.availability_zone;
        let peers: Vec<BoxId> = self.directory.values().filter(same_zone).map(|b| b.id.clone()).collect();
        for peer in peers {
            let req = PeerRequest::Heartbeat {
                from: self.id.box_id.clone(),
                incarnation: self.id.incarnation,
                revision: self.current.revision(),
                leaving: self.draining,
            };
            self.call_peer(Op::Heartbeat, &peer, req);
        }
    }

    pub(crate) fn on_heartbeat(
        &mut self,
        peer: &BoxId,
        incarnation: Incarnation,
        revision: Revision,
        leaving: bool,
        now: Moment,
    ) {
        let before = self.view.peers().get(peer).map(|s| s.incarnation);
        self.view.record_heartbeat(peer, incarnation, leaving, now);
        if before.is_some_and(|it| it < incarnation) {
            // The box has a new incarnation: jobs of the earlier one are orphaned.
            self.recover_at.get_or_insert(now + self.limits.adopt_after);
        }
        if self.current.record_revision(revision) {
            self.fetch_configuration(peer);
        }
        let holder = Holder { box_id: peer.clone(), incarnation };
        self.dead_since.remove(&holder);
    }

    /// Records peers that are no longer live, and schedules the recovery of their durable jobs.
    pub(crate) fn detect_dead_peers(&mut self, now: Moment) {
        let peers: Vec<(Holder, bool)> = self
            .view
            .peers()
            .iter()
            .map(|(id, status)| {
                let holder = Holder { box_id: id.clone(), incarnation: status.incarnation };
                (holder, self.view.is_live(id, now))
            })
            .collect();
        for (holder, live) in peers {
            if live {
                self.dead_since.remove(&holder);
            } else if !self.dead_since.contains_key(&holder) {
                self.dead_since.insert(holder.clone(), now);
                self.received_offers.remove(&holder.box_id);
                self.recover_at.get_or_insert(now + self.limits.adopt_after);
            }
        }
    }
}
