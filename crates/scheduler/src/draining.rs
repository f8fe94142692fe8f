//! Draining: when a backend server accepts no new work, and what then happens to its runs.
//!
//! It accepts none after it has announced its departure or while it is drained, while its machine is drained for
//! maintenance, and while its availability zone is evacuated. Its runs end there if they can; the others are stopped
//! and restarted elsewhere, gangs as a whole.

use jobs::{Duration, TaskId};
use model::{BackendServerId, Moment};

use crate::{
    Scheduler,
    run_state::{GroupId, Member},
    server::Server,
};

impl Server {
    /// Returns whether new work may be placed here.
    pub(crate) fn accepts_work(&self, now: Moment) -> bool {
        let not_draining = self.info.as_ref().is_some_and(|info| !info.draining);
        let stays_open = not_draining && !self.closed_for_maintenance && !self.evacuated && self.is_as_listed();
        stays_open && self.listed && self.is_reachable() && now >= self.no_starts_before
    }
}

impl Scheduler {
    /// Returns the groups with a task on a backend server, each once.
    pub(crate) fn groups_on(&self, id: &BackendServerId) -> Vec<GroupId> {
        let Some(server) = self.servers.get(id) else { return Vec::new() };
        let mut names: Vec<GroupId> = server.members.keys().filter_map(|task: &TaskId| self.group_of(*task)).collect();
        names.dedup();
        names
    }

    /// Returns the time within which a group's run ends, with a margin: a run that has not ended when its backend
    /// server departs waits for its lease to expire.
    pub(crate) fn time_left(&self, name: GroupId, now: Moment) -> Duration {
        match self.estimated_time_left(name, now) {
            Some(left) => left.with_margin,
            None => self.reported_time_left(name, now),
        }
    }

    /// Returns the remaining time of a group's run without estimates: by the latest progress of its slowest task, or by
    /// the declared duration if any task has not reported progress.
    pub(crate) fn reported_time_left(&self, name: GroupId, now: Moment) -> Duration {
        let group = self.group(name);
        let left: Option<Vec<f64>> =
            group.members.iter().map(|member| member.remaining_s(group.placed_at, now)).collect();
        let declared = || self.step(name).estimate.secs_f64() - now.since(group.placed_at).secs_f64();
        let remaining_s = left.map_or_else(declared, |left| left.into_iter().fold(0.0, f64::max));
        Duration::from_millis((remaining_s.max(0.0) * 1000.0) as u64)
    }
}

impl Member {
    /// Returns the remaining seconds of a run by its latest progress; `None` if there is none. The progress may be as
    /// old as the latest renewal: taken as current, half of a run of 2 s appeared to be a quarter.
    fn remaining_s(&self, started: Moment, now: Moment) -> Option<f64> {
        if self.percent == 0 {
            return None;
        }
        let worked = self.percent_at.since(started).secs_f64();
        let left_then = worked * f64::from(100 - self.percent.min(100)) / f64::from(self.percent);
        Some(left_then - now.since(self.percent_at).secs_f64())
    }
}
