//! The platform's list of backend servers: their heartbeats, and how they leave.

use model::BackendServerId;
use scheduler::{CallFailure, ServerInfo};

use super::{events::Event, world::World};

/// A backend server tells of itself this often (users' settings).
const HEARTBEAT_MS: u64 = 1500;
/// It falls out of the list after so many heartbeats that did not come.
const MISSED: u64 = 3;
/// How long one that leaves serves on after it has said so, at least.
const DRAIN_MS: u64 = 2000;
/// Schedulers hear of a departure within this, from the list and from their own calls.
const HEARD_WITHIN_MS: u64 = 250;

impl World {
    /// A backend server says that it leaves.
    pub(crate) fn leave(&mut self, i: usize) {
        let Some(id) = self.servers.keys().nth(i % self.servers.len()).cloned() else { return };
        if !self.reachable(&id) {
            return;
        }
        let at = self.now + DRAIN_MS + self.rng.u64(..1000);
        let server = self.server_mut(&id);
        if server.leaves_at.is_some() {
            return;
        }
        server.leaves_at = Some(at);
        server.info = ServerInfo { draining: true, ..server.info.clone() };
        self.tell_listed(&id);
    }

    /// Heartbeats come, stop coming, and backend servers leave at their time.
    pub(crate) fn run_platform(&mut self) {
        let ids: Vec<BackendServerId> = self.servers.keys().cloned().collect();
        for id in ids {
            let now = self.now;
            let reachable = self.reachable(&id);
            let server = self.server_mut(&id);
            if server.leaves_at.is_some_and(|at| at <= now) {
                self.depart(&id);
            } else if reachable && now >= server.last_heartbeat + HEARTBEAT_MS {
                server.last_heartbeat = now;
                if !std::mem::replace(&mut server.listed, true) {
                    self.tell_listed(&id);
                }
            } else if server.listed && now >= server.last_heartbeat + MISSED * HEARTBEAT_MS {
                server.listed = false;
                for leader in self.living_leaders() {
                    self.after(0, Event::Unlisted { leader, server: id.clone() });
                }
            }
        }
    }

    /// A backend server ends. Whoever reaches it finds its port closed, unless its machine has gone with it.
    fn depart(&mut self, id: &BackendServerId) {
        let was_reachable = self.reachable(id);
        self.end_life(id);
        for leader in self.living_leaders() {
            let how =
                if was_reachable && self.rng.u8(..) < 200 { CallFailure::Refused } else { CallFailure::NoResponse };
            let (unlisted, failed) = (self.rng.u64(..HEARD_WITHIN_MS), self.rng.u64(..HEARD_WITHIN_MS));
            self.after(unlisted, Event::Unlisted { leader, server: id.clone() });
            self.after(failed, Event::CallFailed { leader, server: id.clone(), how });
        }
        self.add_server();
    }

    pub(crate) fn tell_listed(&mut self, id: &BackendServerId) {
        let (now, info) = (self.moment(), self.servers[id].info.clone());
        for leader in self.leaders.iter_mut().filter(|leader| leader.alive) {
            leader.scheduler.server_listed(id.clone(), info.clone(), now);
        }
    }

    fn living_leaders(&self) -> Vec<usize> {
        (0..self.leaders.len()).filter(|&i| self.leaders[i].alive).collect()
    }
}
