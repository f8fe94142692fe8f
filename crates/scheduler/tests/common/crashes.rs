//! Backend servers that crash under a task: their port is closed for some seconds, then another one replaces them.

use jobs::TaskId;
use model::BackendServerId;
use scheduler::CallFailure;

use super::{
    events::Event,
    world::{STEP_MS, World},
};

/// Time from a crash until its replacement responds, in milliseconds (observed on the platform: 3.1 to 3.6 s).
const REPLACEMENT_DELAY_MS: u64 = 3500;
/// Maximum number of starts of a task after three backend servers have crashed under it (platform rules).
const MAX_STARTS_AFTER_CRASHES: usize = 2;

impl World {
    /// Schedules a crash after the start of a crashing task.
    pub(crate) fn crash_after_start(&mut self, id: &BackendServerId, task: TaskId) {
        if self.crashing_tasks.contains(&task) {
            self.after(STEP_MS, Event::Crash { server: id.clone() });
        }
    }

    /// Makes a task crash its backend server on every start from now on.
    pub(crate) fn crash_on_start(&mut self, task: TaskId) {
        self.crashing_tasks.insert(task);
    }

    pub(crate) fn on_crash(&mut self, id: &BackendServerId) {
        if !self.servers.contains_key(id) {
            return;
        }
        self.end_incarnation(id);
        for leader in 0..self.leaders.len() {
            let how = CallFailure::Refused;
            self.after(STEP_MS, Event::CallFailed { leader, server: id.clone(), how });
        }
        self.after(REPLACEMENT_DELAY_MS, Event::Replaced { server: id.clone() });
    }

    /// Replaces a crashed backend server.
    pub(crate) fn on_replaced(&mut self, id: &BackendServerId) {
        let now = self.moment();
        for leader in self.leaders.iter_mut().filter(|leader| leader.alive) {
            leader.scheduler.server_ended(id, now);
        }
        self.add_server();
    }

    /// Checks that a task starts at most twice more after three backend servers have crashed under it.
    pub(crate) fn check_crashes(&mut self, task: TaskId) {
        let seen = self.seen.entry(task).or_default();
        if seen.crashes >= 3 {
            seen.starts_since += 1;
            assert!(
                seen.starts_since <= MAX_STARTS_AFTER_CRASHES,
                "{task} started {} times after three crashes, the last after {}",
                seen.starts_since,
                seen.crashes
            );
        }
    }
}
