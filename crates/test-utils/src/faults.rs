//! Faults of a virtual cluster.

use std::collections::BTreeSet;

use entry::Input;
use model::{BackendServerId, BoxId};

use crate::{Cluster, events::Event};

/// What is out of order.
#[derive(Debug, Clone)]
pub(crate) struct Faults {
    pub(crate) loss_permille: u32,
    pub(crate) max_delay_ms: u64,
    pub(crate) store_down: bool,
    pub(crate) lose_store_answers: u32,
    /// Boxes that reach no other box, and no other box reaches.
    cut_boxes: BTreeSet<BoxId>,
    cut_from_platform: BTreeSet<BoxId>,
    cut_from_servers: BTreeSet<BoxId>,
    cut_servers: BTreeSet<BackendServerId>,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            loss_permille: 0,
            max_delay_ms: 10,
            store_down: false,
            lose_store_answers: 0,
            cut_boxes: BTreeSet::new(),
            cut_from_platform: BTreeSet::new(),
            cut_from_servers: BTreeSet::new(),
            cut_servers: BTreeSet::new(),
        }
    }
}

impl Faults {
    pub(crate) fn is_cut(&self, a: &BoxId, b: &BoxId) -> bool {
        a != b && (self.cut_boxes.contains(a) || self.cut_boxes.contains(b))
    }

    pub(crate) fn is_cut_from_platform(&self, id: &BoxId) -> bool {
        self.cut_from_platform.contains(id)
    }

    pub(crate) fn is_server_cut(&self, from: &BoxId, server: &BackendServerId) -> bool {
        self.cut_servers.contains(server) || self.cut_from_servers.contains(from)
    }
}

fn set<T: Ord + Clone>(members: &mut BTreeSet<T>, member: &T, on: bool) {
    if on {
        members.insert(member.clone());
    } else {
        members.remove(member);
    }
}

impl Cluster {
    /// Ends a box without notice.
    pub fn kill_box(&mut self, id: &BoxId) {
        self.end_life(id);
    }

    /// Stops a box from doing anything, without it or others noticing.
    pub fn pause_box(&mut self, id: &BoxId) {
        if let Some(it) = self.boxes.get_mut(id) {
            it.paused = it.entry.is_some();
        }
    }

    /// Lets a paused box go on.
    pub fn resume_box(&mut self, id: &BoxId) {
        let Some(it) = self.boxes.get_mut(id) else { return };
        it.paused = false;
        let life = it.life.clone();
        while let Some(it) = self.boxes.get_mut(id)
            && !it.backlog.is_empty()
        {
            let input = it.backlog.remove(0);
            self.give(&life, input);
        }
    }

    /// Tells a box to leave.
    pub fn drain_box(&mut self, id: &BoxId) {
        if let Some(life) = self.live_life(id) {
            self.give(&life, Input::Drain);
        }
    }

    /// Cuts a box off from all other boxes.
    pub fn cut_box_from_peers(&mut self, id: &BoxId, on: bool) {
        set(&mut self.faults.cut_boxes, id, on);
    }

    /// Cuts a box off from the platform.
    pub fn cut_box_from_platform(&mut self, id: &BoxId, on: bool) {
        set(&mut self.faults.cut_from_platform, id, on);
    }

    /// Cuts a box off from all backend servers.
    pub fn cut_box_from_servers(&mut self, id: &BoxId, on: bool) {
        set(&mut self.faults.cut_from_servers, id, on);
    }

    /// Cuts a backend server off from all boxes.
    pub fn cut_server(&mut self, id: &BackendServerId, on: bool) {
        set(&mut self.faults.cut_servers, id, on);
    }

    /// Has a backend server fail every task that it starts.
    pub fn fail_server(&mut self, id: &BackendServerId, on: bool) {
        let now = self.now;
        if let Some(server) = self.servers.get_mut(id) {
            server.table.advance(now);
            server.table.set_fail_tasks(on, now);
        }
        self.after_server(id);
    }

    /// Restarts a backend server, which forgets everything.
    pub fn restart_server(&mut self, id: &BackendServerId) {
        self.new_table(id);
        self.after_server(id);
    }

    /// Has a backend server say that it is leaving.
    pub fn leave_server(&mut self, id: &BackendServerId, on: bool) {
        let now = self.now;
        if let Some(server) = self.servers.get_mut(id) {
            server.table.set_leaving(on);
            server.leaving_since = on.then_some(now);
        }
        self.after_server(id);
    }

    /// Takes the store down, or up again.
    pub fn set_store_down(&mut self, down: bool) {
        self.faults.store_down = down;
    }

    /// Loses the next answers of the store, after they took effect.
    pub fn lose_store_answers(&mut self, n: u32) {
        self.faults.lose_store_answers = n;
    }

    /// Loses that many messages in a thousand, and delays each by up to so long.
    pub fn set_network(&mut self, loss_permille: u32, max_delay_ms: u64) {
        self.faults.loss_permille = loss_permille;
        self.faults.max_delay_ms = max_delay_ms;
    }

    /// Whether a box has left or died.
    pub fn has_left(&self, id: &BoxId) -> bool {
        self.live_life(id).is_none()
    }

    /// Starts every box that is dead or has left with a new life.
    pub fn start_all(&mut self) {
        for id in self.box_ids() {
            self.start_box(&id);
        }
    }

    /// Ends all faults; dead boxes start anew and paused ones go on.
    pub fn heal(&mut self) {
        self.faults = Faults::default();
        for id in self.box_ids() {
            self.resume_box(&id);
            self.start_box(&id);
        }
        for id in self.server_ids() {
            self.fail_server(&id, false);
            self.leave_server(&id, false);
            self.queue.push(self.now, Event::ServerWake(id));
        }
    }
}
