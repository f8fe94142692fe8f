//! Checks that the runs of a cancelled job end in time.
//!
//! The platform's rule applies in calm: a run must end within [`CANCEL_MS`] and [`STOP_MS`] of the cancellation, while
//! nothing disturbs the system then or in the 4 s before. Backend servers that leave as announced, new ones and
//! evacuations are no disturbances. A run that starts late counts from its start.

use std::collections::BTreeSet;

use jobs::{Fence, TaskId};
use model::{BackendServerId, Incarnation};

use super::world::World;

/// Time from a cancellation until its stops have been ordered (platform rules).
const CANCEL_MS: u64 = 4000;
/// Time that a stop may take (platform rules).
const STOP_MS: u64 = 400;
/// Time after a disturbance from which the rule applies again (platform rules).
const CALM_MS: u64 = 4000;

/// State of the check between steps.
#[derive(Debug, Default)]
pub(crate) struct CancelCheck {
    servers: BTreeSet<(BackendServerId, Incarnation)>,
    holder: Fence,
    disturbed_at: u64,
}

impl World {
    /// Checks the runs of cancelled jobs; called after every time step.
    pub(crate) fn check_cancelled(&mut self) {
        let servers: BTreeSet<_> =
            self.servers.values().map(|server| (server.id.clone(), server.incarnation)).collect();
        let has_lost_servers = !self.cancel_check.servers.is_subset(&servers) && !self.has_departures_only(&servers);
        if has_lost_servers || self.cancel_check.holder != self.holder || self.is_impaired() {
            self.cancel_check.disturbed_at = self.now;
        }
        self.cancel_check.servers = servers;
        self.cancel_check.holder = self.holder;
        let calm_since = self.cancel_check.disturbed_at + CALM_MS;
        for server in self.servers.values() {
            for (task, run) in &server.running {
                let Some(cancelled) = self.cancelled.get(&task.occurrence.job) else { continue };
                let bound = (*cancelled).max(run.started_at).max(calm_since - CALM_MS) + CANCEL_MS + STOP_MS;
                assert!(self.now <= bound, "{}", self.describe_cancelled(&server.id, *task, *cancelled));
            }
        }
    }

    /// Returns whether all backend servers that have ended since the last step had announced their departure.
    fn has_departures_only(&self, servers: &BTreeSet<(BackendServerId, Incarnation)>) -> bool {
        let ended = self.cancel_check.servers.difference(servers);
        ended.into_iter().all(|(id, _)| self.departed.contains(id))
    }

    /// Returns whether a disturbance is in progress.
    fn is_impaired(&self) -> bool {
        let until = [
            self.store_down_until,
            self.lose_writes_until,
            self.lose_orders_until,
            self.drop_orders_until,
            self.fail_tasks_until,
        ];
        let is_cut_off = |until: u64| until > self.now;
        let servers = self.servers.values().any(|server| is_cut_off(server.cut_until.max(server.replies_lost_until)));
        let leaders = self.leaders.iter().any(|leader| is_cut_off(leader.cut_off.until));
        let is_led = self.leaders.iter().any(|leader| leader.alive && leader.fence == self.holder);
        until.into_iter().any(is_cut_off) || servers || leaders || !is_led
    }

    fn describe_cancelled(&self, id: &BackendServerId, task: TaskId, cancelled: u64) -> String {
        let server = &self.servers[id];
        let leader = self.leaders.iter().rfind(|leader| leader.alive && leader.fence == self.holder);
        format!(
            "{task} of a job cancelled at {cancelled} runs on {id} at {}; last disturbed at {}; {:?}, lease to {} at {}; \
             listed: {}, leaves at {:?}; tracked: {:?}",
            self.now,
            self.cancel_check.disturbed_at,
            server.running.get(&task),
            server.lease_until,
            server.clock_ms(),
            server.listed,
            server.leaves_at,
            leader.map(|leader| leader.scheduler.tracks_server(id)),
        )
    }
}
