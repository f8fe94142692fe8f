//! Faults that tests inject into a simulated cluster.

use std::collections::BTreeSet;

use entry::Input;
use model::{BackendServerId, BoxId};

use crate::{Cluster, events::Event};

/// Faults in effect.
#[derive(Debug, Clone)]
pub(crate) struct Faults {
    pub(crate) loss_permille: u32,
    pub(crate) max_delay_ms: u64,
    pub(crate) store_down: bool,
    pub(crate) lose_store_answers: u32,
    /// Boxes that are disconnected from all other boxes, in both directions.
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
    /// Crashes a box.
    pub fn kill_box(&mut self, id: &BoxId) {
        self.end_incarnation(id);
    }

    /// Pauses a box: its inputs are queued, and neither the box nor its peers are notified.
    pub fn pause_box(&mut self, id: &BoxId) {
        if let Some(it) = self.boxes.get_mut(id) {
            it.paused = it.entry.is_some();
        }
    }

    /// Resumes a paused box and delivers its queued inputs.
    pub fn resume_box(&mut self, id: &BoxId) {
        let Some(it) = self.boxes.get_mut(id) else { return };
        it.paused = false;
        let incarnation = it.incarnation.clone();
        while let Some(it) = self.boxes.get_mut(id)
            && !it.inputs.is_empty()
        {
            let input = it.inputs.remove(0);
            self.deliver(&incarnation, input);
        }
    }

    /// Asks a box to drain and end.
    pub fn drain_box(&mut self, id: &BoxId) {
        if let Some(incarnation) = self.running_incarnation(id) {
            self.deliver(&incarnation, Input::Drain);
        }
    }

    /// Disconnects a box from all other boxes, or reconnects it.
    pub fn cut_box_from_peers(&mut self, id: &BoxId, on: bool) {
        set(&mut self.faults.cut_boxes, id, on);
    }

    /// Disconnects a box from the platform, or reconnects it.
    pub fn cut_box_from_platform(&mut self, id: &BoxId, on: bool) {
        set(&mut self.faults.cut_from_platform, id, on);
    }

    /// Disconnects a box from all backend servers, or reconnects it.
    pub fn cut_box_from_servers(&mut self, id: &BoxId, on: bool) {
        set(&mut self.faults.cut_from_servers, id, on);
    }

    /// Disconnects a backend server from all boxes, or reconnects it.
    pub fn cut_server(&mut self, id: &BackendServerId, on: bool) {
        set(&mut self.faults.cut_servers, id, on);
    }

    /// Makes a backend server fail every task that it runs, or ends this fault.
    pub fn fail_server(&mut self, id: &BackendServerId, on: bool) {
        let now = self.now;
        if let Some(server) = self.servers.get_mut(id) {
            server.table.advance(now);
            server.table.set_fail_tasks(on, now);
        }
        self.answer_server_watches(id);
    }

    /// Restarts a backend server, which loses its lease table.
    pub fn restart_server(&mut self, id: &BackendServerId) {
        self.replace_table(id);
        self.answer_server_watches(id);
    }

    /// Marks a backend server as draining, or ends its draining.
    pub fn drain_server(&mut self, id: &BackendServerId, on: bool) {
        let now = self.now;
        if let Some(server) = self.servers.get_mut(id) {
            server.table.set_draining(on);
            server.drain_start = on.then_some(now);
        }
        self.answer_server_watches(id);
    }

    /// Makes the store unreachable, or reachable again.
    pub fn set_store_down(&mut self, down: bool) {
        self.faults.store_down = down;
    }

    /// Drops the next `n` replies of the store, whose requests take effect.
    pub fn lose_store_answers(&mut self, n: u32) {
        self.faults.lose_store_answers = n;
    }

    /// Sets the message loss rate, per thousand, and the longest delay of a message, in milliseconds.
    pub fn set_network(&mut self, loss_permille: u32, max_delay_ms: u64) {
        self.faults.loss_permille = loss_permille;
        self.faults.max_delay_ms = max_delay_ms;
    }

    /// Returns whether a box is not running, because it drained or crashed.
    pub fn has_left(&self, id: &BoxId) -> bool {
        self.running_incarnation(id).is_none()
    }

    /// Starts every box that is not running, under a new incarnation.
    pub fn start_all(&mut self) {
        for id in self.box_ids() {
            self.start_box(&id);
        }
    }

    /// Ends all faults, resumes paused boxes and starts the boxes that are not running.
    pub fn heal(&mut self) {
        self.faults = Faults::default();
        for id in self.box_ids() {
            self.resume_box(&id);
            self.start_box(&id);
        }
        for id in self.server_ids() {
            self.fail_server(&id, false);
            self.drain_server(&id, false);
            self.queue.push(self.now, Event::ServerWake(id));
        }
    }
}
