//! Backend servers that crash under a task: their port is closed for some seconds, then another life answers in their place.

use jobs::TaskId;
use model::BackendServerId;
use scheduler::CallFailure;

use super::{
    events::Event,
    world::{STEP_MS, World},
};

/// From a crash until the next life answers, in milliseconds (seen on the users' platform: 3.1 to 3.6 s).
const BACK_AFTER_MS: u64 = 3500;
/// More starts than this, after three backend servers have crashed under a task, break the users' rule.
const STARTS_LEFT: usize = 2;

impl World {
    /// A task that crashes backend servers has begun.
    pub(crate) fn crash_if_it_must(&mut self, id: &BackendServerId, task: TaskId) {
        if self.crashing.contains(&task) {
            self.after(STEP_MS, Event::Crash { server: id.clone() });
        }
    }

    /// Backend servers crash under a task from here on, as often as it begins.
    pub(crate) fn let_crash(&mut self, task: TaskId) {
        self.crashing.insert(task);
    }

    pub(crate) fn on_crash(&mut self, id: &BackendServerId) {
        if !self.servers.contains_key(id) {
            return;
        }
        self.end_life(id);
        for leader in 0..self.leaders.len() {
            let how = CallFailure::Refused;
            self.after(STEP_MS, Event::CallFailed { leader, server: id.clone(), how });
        }
        self.after(BACK_AFTER_MS, Event::Back { server: id.clone() });
    }

    /// Another life answers at the address of one that has crashed.
    pub(crate) fn on_back(&mut self, id: &BackendServerId) {
        let now = self.moment();
        for leader in self.leaders.iter_mut().filter(|leader| leader.alive) {
            leader.scheduler.server_ended(id, now);
        }
        self.add_server();
    }

    /// A task begins: not three times more after three backend servers have crashed under it.
    pub(crate) fn check_crashes(&mut self, task: TaskId) {
        let seen = self.seen.entry(task).or_default();
        if seen.crashes >= 3 {
            seen.begun_since += 1;
            assert!(
                seen.begun_since <= STARTS_LEFT,
                "{task} began {} times after three crashes, the last after {}",
                seen.begun_since,
                seen.crashes
            );
        }
    }
}
