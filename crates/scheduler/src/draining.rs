//! Whether a backend server takes new work, and what becomes of what it runs once it takes none.
//!
//! It takes none while it leaves at short notice or is drained, while its machine is being emptied for upkeep, and while its
//! availability zone is evacuated. What it runs ends there if it can; what cannot, or should not, goes on elsewhere, a
//! gang as a whole.

use jobs::{Duration, TaskId};
use model::{BackendServerId, Moment};

use crate::{
    Scheduler,
    run_state::{GroupId, Member, StopReason},
    server::Server,
};

impl Server {
    /// Whether new work may be placed here.
    pub(crate) fn accepts_work(&self, now: Moment) -> bool {
        let steady = self.info.as_ref().is_some_and(|info| !info.draining);
        let stays = steady && !self.closed_for_maintenance && !self.evacuated && self.is_as_listed();
        stays && self.listed && self.is_reachable() && now >= self.no_starts_before
    }
}

impl Scheduler {
    /// Moves what cannot end before its backend server leaves.
    pub(crate) fn stop_before_departure(&mut self, id: &BackendServerId, now: Moment) {
        let Some(server) = self.servers.get(id) else { return };
        let Some(remaining) = server.info.as_ref().and_then(|info| info.remaining) else { return };
        for name in self.groups_on(id) {
            if self.time_left(name, now) > remaining {
                self.stop_group(name, StopReason::ServerLeaving, now);
            }
        }
    }

    /// Groups with a member on a backend server, each once.
    pub(crate) fn groups_on(&self, id: &BackendServerId) -> Vec<GroupId> {
        let Some(server) = self.servers.get(id) else { return Vec::new() };
        let mut names: Vec<GroupId> = server.members.keys().filter_map(|task: &TaskId| self.group_of(*task)).collect();
        names.dedup();
        names
    }

    /// How long a group's run has left: by how far its slowest member had come when it last told, or by what was declared
    /// while one of them has told nothing.
    pub(crate) fn time_left(&self, name: GroupId, now: Moment) -> Duration {
        let group = self.group(name);
        let left: Option<Vec<f64>> = group.members.iter().map(|member| member.left_s(group.placed_at, now)).collect();
        let declared = || self.step(name).estimate.secs_f64() - now.since(group.placed_at).secs_f64();
        let left_s = left.map_or_else(declared, |left| left.into_iter().fold(0.0, f64::max));
        Duration::from_millis((left_s.max(0.0) * 1000.0) as u64)
    }
}

impl Member {
    /// Seconds that a run has left by how far it had come when it last told; `None` if it has told nothing. What it told may
    /// be as old as a renewal: taken for news, half of a run of 2 s seemed to be a quarter.
    fn left_s(&self, started: Moment, now: Moment) -> Option<f64> {
        if self.percent == 0 {
            return None;
        }
        let worked = self.percent_at.since(started).secs_f64();
        let left_then = worked * f64::from(100 - self.percent.min(100)) / f64::from(self.percent);
        Some(left_then - now.since(self.percent_at).secs_f64())
    }
}
