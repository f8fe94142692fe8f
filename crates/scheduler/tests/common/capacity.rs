//! Backend servers whose capacity changes while they run.

use jobs::{Resources, TaskId};
use model::BackendServerId;
use scheduler::ServerInfo;

use super::{info, world::World};

/// A capacity that has shrunk counts after so long (users: 3 s of contact and a heartbeat of 1.5 s).
const SHRUNK_COUNTS_AFTER_MS: u64 = 4500;

impl World {
    /// A backend server's capacity becomes so many eighths of what it was at first.
    pub(crate) fn resize(&mut self, i: usize, eighths: u64) {
        let Some(id) = self.servers.keys().nth(i % self.servers.len()).cloned() else { return };
        if !self.reachable(&id) {
            return;
        }
        let part = |whole: u64| whole * eighths.min(8) / 8;
        let whole = info(0).capacity;
        let capacity = Resources {
            cpu_milli: part(whole.cpu_milli),
            memory_mb: part(whole.memory_mb),
            accelerators: part(whole.accelerators),
        };
        let now = self.now;
        let server = self.server_mut(&id);
        server.resized_at = now;
        server.info = ServerInfo { capacity, ..server.info.clone() };
        self.tell_listed(&id);
    }

    /// A task has begun on a backend server: where it does not guard its capacity, the scheduler has to.
    pub(crate) fn check_capacity(&mut self, id: &BackendServerId, task: TaskId) {
        let server = &self.servers[id];
        let mut used = Resources::default();
        for other in server.running.keys() {
            used.add(&self.jobs[&other.occurrence.job].steps[other.step as usize].need);
        }
        let counts = self.now >= server.resized_at + SHRUNK_COUNTS_AFTER_MS;
        assert!(
            !counts || server.info.capacity.contains(&used),
            "{task} began on {id} at {}: {used:?} of {:?}",
            self.now,
            server.info.capacity
        );
    }
}
