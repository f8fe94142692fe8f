//! The platform's list of backend servers: their heartbeats and departures.

use model::{BackendServerId, Duration};
use scheduler::{CallFailure, ServerInfo};

use super::{events::Event, world::World};

/// Interval of a backend server's heartbeats to the platform (platform settings).
const HEARTBEAT_MS: u64 = 1500;
/// Number of missed heartbeats after which the platform no longer lists it.
const MAX_MISSED_HEARTBEATS: u64 = 3;
/// Minimum time between the announcement of a departure and the departure.
const DRAIN_MS: u64 = 2000;
/// Maximum delay until schedulers notice a departure, from the list and from failed calls.
const NOTICE_DELAY_MS: u64 = 250;

impl World {
    /// Announces the departure of a backend server.
    pub(crate) fn announce_departure(&mut self, i: usize) {
        let Some(id) = self.servers.keys().nth(i % self.servers.len()).cloned() else { return };
        if !self.reachable(&id) {
            return;
        }
        let at = self.now + DRAIN_MS + self.rng.u64(..1000);
        let remaining = self.machines.reports_notice().then(|| Duration::from_millis(DRAIN_MS));
        let server = self.server_mut(&id);
        if server.leaves_at.is_some() {
            return;
        }
        server.leaves_at = Some(at);
        server.info = ServerInfo { draining: true, remaining, ..server.info.clone() };
        self.report_listed(&id);
    }

    /// Removes a backend server from the list without an announcement. It serves on for as long as one that has announced
    /// its departure, and then ends.
    pub(crate) fn leave_unannounced(&mut self, i: usize) {
        let Some(id) = self.servers.keys().nth(i % self.servers.len()).cloned() else { return };
        let at = self.now + DRAIN_MS + self.rng.u64(..6000);
        let server = self.server_mut(&id);
        if server.leaves_at.is_some() {
            return;
        }
        server.leaves_at = Some(at);
        server.listed = false;
        for leader in self.living_leaders() {
            self.after(0, Event::Unlisted { leader, server: id.clone() });
        }
    }

    /// Delivers heartbeats, unlists backend servers that miss them, and ends those whose departure is due.
    pub(crate) fn run_platform(&mut self) {
        let ids: Vec<BackendServerId> = self.servers.keys().cloned().collect();
        for id in ids {
            let now = self.now;
            let reachable = self.reachable(&id);
            let server = self.server_mut(&id);
            if server.leaves_at.is_some_and(|at| at <= now) {
                self.depart(&id);
            } else if server.leaves_at.is_some() && !server.listed {
                continue;
            } else if reachable && now >= server.last_heartbeat + HEARTBEAT_MS {
                server.last_heartbeat = now;
                if !std::mem::replace(&mut server.listed, true) {
                    self.report_listed(&id);
                }
            } else if server.listed && now >= server.last_heartbeat + MAX_MISSED_HEARTBEATS * HEARTBEAT_MS {
                server.listed = false;
                for leader in self.living_leaders() {
                    self.after(0, Event::Unlisted { leader, server: id.clone() });
                }
            }
        }
    }

    /// Ends a backend server. Connections to it are refused, unless its machine has ended with it.
    fn depart(&mut self, id: &BackendServerId) {
        let was_reachable = self.reachable(id);
        self.end_incarnation(id);
        self.departed.insert(id.clone());
        for leader in self.living_leaders() {
            let how =
                if was_reachable && self.rng.u8(..) < 200 { CallFailure::Refused } else { CallFailure::NoResponse };
            let (unlisted, failed) = (self.rng.u64(..NOTICE_DELAY_MS), self.rng.u64(..NOTICE_DELAY_MS));
            self.after(unlisted, Event::Unlisted { leader, server: id.clone() });
            self.after(failed, Event::CallFailed { leader, server: id.clone(), how });
        }
        self.add_server();
    }

    pub(crate) fn report_listed(&mut self, id: &BackendServerId) {
        let (now, info) = (self.moment(), self.servers[id].info.clone());
        for leader in self.leaders.iter_mut().filter(|leader| leader.alive) {
            leader.scheduler.server_listed(id.clone(), info.clone(), now);
        }
    }

    fn living_leaders(&self) -> Vec<usize> {
        (0..self.leaders.len()).filter(|&i| self.leaders[i].alive).collect()
    }
}
