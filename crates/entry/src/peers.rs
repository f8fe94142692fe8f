//! Heartbeats, deaths, and the directory of boxes.

use backend::Holder;
use model::{AvailabilityZoneId, BoxId, Duration, Incarnation, Moment, Revision};
use outside::ListedBox;

use crate::{EntryBox, PeerReply, PeerRequest, entry_box::Op};

/// A box that did not answer is not chosen for this long if there is another.
const SILENT_FOR: Duration = Duration::from_secs(10);

impl EntryBox {
    /// Takes the platform's list into the directory. It lags, so nobody is removed by it; silence is
    /// what counts.
    pub(crate) fn on_listed(&mut self, boxes: Vec<ListedBox>) {
        for listed in boxes {
            if listed.id != self.id.box_id {
                self.directory.insert(listed.id.clone(), listed);
            }
        }
    }

    /// Where a box takes calls.
    pub fn address_of(&self, id: &BoxId) -> Option<std::net::SocketAddr> {
        self.directory.get(id).map(|listed| listed.peer_address)
    }

    /// A box of another availability zone, if possible one that did not fail to answer of late.
    pub(crate) fn any_box_of(&self, zone: &AvailabilityZoneId, now: Moment) -> Option<BoxId> {
        let here = |listed: &&ListedBox| listed.availability_zone == *zone && !listed.leaving;
        let all: Vec<&BoxId> = self.directory.values().filter(here).map(|listed| &listed.id).collect();
        let silent = |id: &BoxId| self.silent.get(id).is_some_and(|at| now.since(*at) < SILENT_FOR);
        let answering: Vec<&BoxId> = all.iter().copied().filter(|id| !silent(id)).collect();
        let boxes = if answering.is_empty() { all } else { answering };
        // In turn, so that no box gets all of it.
        let turn = self.ops_begun() as usize % boxes.len().max(1);
        boxes.get(turn).map(|id| (*id).clone())
    }

    /// Notes whether a box answered a call.
    pub(crate) fn note_answer(&mut self, peer: &BoxId, answered: bool, now: Moment) {
        if answered {
            self.silent.remove(peer);
        } else {
            self.silent.insert(peer.clone(), now);
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
        // An answer that did not come by now never will: forget that it was asked for.
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
            // A new life: what the old one held is orphaned.
            self.recover_at.get_or_insert(now + self.limits.adopt_after);
        }
        if self.current.record_revision(revision) {
            self.fetch_configuration(peer);
        }
        let holder = Holder { box_id: peer.clone(), incarnation };
        self.dead_since.remove(&holder);
    }

    /// Notes boxes that fell silent, so that their durable jobs are looked for.
    pub(crate) fn note_deaths(&mut self, now: Moment) {
        let silent: Vec<(Holder, bool)> = self
            .view
            .peers()
            .iter()
            .map(|(id, status)| {
                let holder = Holder { box_id: id.clone(), incarnation: status.incarnation };
                (holder, self.view.is_live(id, now))
            })
            .collect();
        for (holder, live) in silent {
            if live {
                self.dead_since.remove(&holder);
            } else if !self.dead_since.contains_key(&holder) {
                self.dead_since.insert(holder.clone(), now);
                self.offered.remove(&holder.box_id);
                self.recover_at.get_or_insert(now + self.limits.adopt_after);
            }
        }
    }
}
