//! Stops of runs, and runs that lapse because their lease expired.

use jobs::{RunNumber, TaskId};
use model::{BackendServerId, Moment};

use crate::{
    Scheduler,
    observations::Observation,
    orders::Order,
    run_state::{GroupId, Member, Phase, StopReason},
};

/// Stop of a run that is not known to have ended yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingStop {
    /// Why the run is stopped.
    pub reason: StopReason,
    /// When the stop was decided.
    pub since: Moment,
    /// Whether the backend server has responded to the order.
    pub answered: bool,
}

impl Scheduler {
    /// Returns the pending stop of a run on a backend server; `None` if it is not to be stopped, or has ended.
    pub fn pending_stop(&self, id: &BackendServerId, task: TaskId, run: RunNumber) -> Option<PendingStop> {
        let server = self.servers.get(id)?;
        if let Some(orphaned_run) = server.orphaned_runs.get(&task).filter(|orphaned_run| orphaned_run.run == run) {
            return Some(PendingStop { reason: StopReason::Orphaned, since: orphaned_run.since, answered: false });
        }
        let name = self.group_of(task).filter(|name| self.progress_of(*name).run == run)?;
        let group = self.group(name);
        let member = group.members.iter().find(|member| member.index == task.index && member.server == *id)?;
        Some(PendingStop { reason: group.stopping?, since: group.stopped_at, answered: member.stop_sent.is_none() })
    }

    /// Stops the run of a group, if it has one that is not being stopped yet.
    pub(crate) fn stop_group(&mut self, name: GroupId, reason: StopReason, now: Moment) {
        let group = self.group_mut(name);
        if group.members.is_empty() || group.stopping.is_some() {
            return;
        }
        group.stopping = Some(reason);
        group.stopped_at = now;
        let members = group.members.clone();
        log::info!("job={} event=stopping step={} group={} why={reason}", name.occurrence.job, name.step, name.group);
        self.observations.push(Observation::Stopped { why: reason.to_string() });
        for member in members {
            self.mark_stale(&member.server);
            if member.phase == Phase::Planned {
                self.remove_member(name, member.index, None, now);
            } else {
                self.send_stop(name, member.index, &member.server, now);
            }
        }
    }

    /// Stops the runs that have a member placed on a backend server and not ordered yet.
    pub(crate) fn stop_unsent(&mut self, id: &BackendServerId, reason: StopReason, now: Moment) {
        for name in self.groups_on(id) {
            let unordered = |member: &Member| member.server == *id && member.phase == Phase::Planned;
            if self.group(name).members.iter().any(unordered) {
                self.stop_group(name, reason, now);
            }
        }
    }

    /// Repeats stops that took no effect in time, except on unresponsive backend servers.
    pub(crate) fn repeat_stops(&mut self, now: Moment) {
        let retry = self.timing.stop_retry;
        let mut due = Vec::new();
        for server in self.servers.values().filter(|server| server.failed_calls == 0) {
            for task in server.members.keys() {
                let Some(name) = self.group_of(*task) else { continue };
                let group = self.group(name);
                let Some(member) = group.members.iter().find(|member| member.index == task.index) else { continue };
                let is_overdue = member.stop_sent.is_some_and(|sent| sent + retry <= now);
                if group.stopping.is_some() && is_overdue {
                    due.push((name, member.index, member.server.clone()));
                }
            }
        }
        for (name, index, server) in due {
            self.send_stop(name, index, &server, now);
        }
    }

    /// Lapses everything that may have run on a backend server: it has ended without a completion.
    pub(crate) fn lapse_members(&mut self, id: &BackendServerId, why: &'static str, now: Moment) {
        self.lapse_members_if(id, |_| true, why, now);
    }

    /// Lapses the members of a backend server for which `which` returns true.
    pub(crate) fn lapse_members_if(
        &mut self,
        id: &BackendServerId,
        which: impl Fn(&Member) -> bool,
        why: &'static str,
        now: Moment,
    ) {
        let Some(server) = self.servers.get(id) else { return };
        let last_response = server.contact.last_response;
        let members: Vec<(TaskId, RunNumber)> = server.members.iter().map(|(task, run)| (*task, *run)).collect();
        for (task, run) in members {
            let Some(name) = self.group_of(task) else { continue };
            let Some(member) = self.member_mut(name, task.index, id).filter(|member| which(member)) else { continue };
            let at_work = member.known_run_time(last_response);
            let was_ordered = member.phase != Phase::Planned;
            log::info!(
                "job={} event=lapsed task={task} run={run} server={id} why={why} at_work_ms={}",
                task.occurrence.job,
                at_work.map_or("unknown".to_owned(), |time| time.millis().to_string())
            );
            self.observations.push(Observation::RunLost { why });
            if was_ordered {
                self.record_start(name, task.index, run);
            }
            self.remove_member(name, task.index, None, now);
            self.stop_group(name, StopReason::GangBroken, now);
            self.abandon_if_starts_used_up(name, task.index, now);
        }
    }

    /// Handles the response to a stop: the run ends, or never starts.
    pub fn stop_replied(&mut self, server: &BackendServerId, task: TaskId, run: RunNumber, now: Moment) {
        let Some(name) = self.group_of(task) else { return };
        if self.progress_of(name).run != run {
            return;
        }
        if let Some(member) = self.member_mut(name, task.index, server) {
            member.confirmed_at = Some(now);
            member.stop_sent = None;
        }
    }

    fn send_stop(&mut self, name: GroupId, index: u32, server: &BackendServerId, now: Moment) {
        let run = self.progress_of(name).run;
        if let Some(member) = self.member_mut(name, index, server) {
            member.stop_sent = Some(now);
        }
        self.orders.push(Order::Stop { server: server.clone(), task: name.task(index), run });
    }
}
