//! Changes of the capacity of running backend servers.

use jobs::{Resources, TaskId};
use model::BackendServerId;
use scheduler::ServerInfo;

use super::{info, world::World};

/// Time after which a reduced capacity is enforced (platform: 3 s of contact and a heartbeat of 1.5 s).
const SHRINK_GRACE_MS: u64 = 4500;

impl World {
    /// Sets a backend server's capacity to so many eighths of its initial one.
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
        self.report_listed(&id);
    }

    /// Checks the capacity after a start: where the backend server does not enforce it, the scheduler has to.
    pub(crate) fn check_capacity(&mut self, id: &BackendServerId, task: TaskId) {
        let server = &self.servers[id];
        let mut used = Resources::default();
        for other in server.running.keys() {
            used.add(&self.jobs[&other.occurrence.job].steps[other.step as usize].need);
        }
        let is_enforced = self.now >= server.resized_at + SHRINK_GRACE_MS;
        assert!(
            !is_enforced || server.info.capacity.contains(&used),
            "{task} started on {id} at {}: {used:?} of {:?}",
            self.now,
            server.info.capacity
        );
    }
}
