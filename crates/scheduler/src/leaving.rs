//! Runs leave a backend server that is leaving, unless they end there in time.

use jobs::{Duration, TaskId};
use model::{BackendServerId, Moment};

use crate::{
    Scheduler,
    live::{GroupId, StopReason},
};

impl Scheduler {
    /// Moves what cannot end before its backend server leaves.
    pub(crate) fn evacuate(&mut self, id: &BackendServerId, now: Moment) {
        let Some(server) = self.servers.get(id) else { return };
        let Some(remaining) = server.info.as_ref().and_then(|info| info.remaining) else { return };
        let tasks: Vec<TaskId> = server.members.keys().copied().collect();
        for task in tasks {
            let Some(name) = self.group_of(task) else { continue };
            if self.time_left(name, now) > remaining {
                self.stop_group(name, StopReason::Evacuated, now);
            }
        }
    }

    /// How long a group's run has left, by what was declared and how far it has come.
    fn time_left(&self, name: GroupId, now: Moment) -> Duration {
        let group = self.group(name);
        let declared = self.step(name).estimate;
        let ran = now.since(group.placed_at);
        let percent = group.members.iter().map(|member| member.percent).min().unwrap_or(0);
        if percent == 0 {
            return Duration::from_millis(declared.millis().saturating_sub(ran.millis()));
        }
        ran.scaled(f64::from(100 - percent.min(100)) / f64::from(percent))
    }
}
