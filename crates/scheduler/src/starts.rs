//! Starts of runs: ordered once the store holds their placement, and followed up until the backend server responds.

use std::sync::Arc;

use jobs::{OccurrenceId, RunNumber, TaskId};
use model::{BackendServerId, Moment};

use crate::{
    Scheduler,
    orders::{Order, StartReply},
    run_state::{GroupId, Occurrence, Phase, StopReason},
    server::Server,
};

impl Server {
    /// Whether pending starts may be sent to it. It may have begun to leave since they were placed.
    fn takes_starts(&self) -> bool {
        let stays = !self.departing && !self.closed_for_maintenance && !self.evacuated;
        self.is_reachable() && stays && !self.is_over_capacity()
    }
}

impl Scheduler {
    /// Orders the starts whose placements the store holds.
    pub(crate) fn send_stored_starts(&mut self) {
        for id in std::mem::take(&mut self.unsent_starts) {
            let Some(occurrence) = self.find_occurrence_mut(id) else { continue };
            for (name, index, server) in take_stored_starts(id, occurrence) {
                let order = self.start_order(name, index, &server);
                self.orders.push(order);
            }
        }
    }

    /// Handles the outcome of a start.
    pub fn start_replied(
        &mut self,
        server: &BackendServerId,
        task: TaskId,
        run: RunNumber,
        reply: StartReply,
        now: Moment,
    ) {
        if reply == StartReply::Fenced {
            self.lost_leadership = true;
        }
        if reply == StartReply::Gone {
            self.server_ended(server, now);
            return;
        }
        let Some(name) = self.group_of(task) else { return };
        if self.progress_of(name).run != run {
            return;
        }
        let Some(member) = self.member_mut(name, task.index, server) else { return };
        match reply {
            StartReply::Started => {
                let first = member.phase != Phase::Running;
                member.phase = Phase::Running;
                member.confirmed_at = Some(now);
                if first {
                    self.observe_run_start(name, now);
                }
                self.record_start(name, task.index, run);
                self.record_run_started(name, server);
            }
            // Treated as running: the next listing shows its completion or that it is lost. If this were treated as a
            // refusal, a completed run would be started again.
            StartReply::Over => {
                member.phase = Phase::Running;
                member.confirmed_at = Some(now);
                self.record_run_started(name, server);
            }
            StartReply::Unknown => self.retry_or_abandon_start(name, task.index, server, now),
            _ => self.start_refused(name, task, server, reply, now),
        }
    }

    /// Restarts the idle time of an occurrence, since one of its runs has started. A run may start and end between
    /// two plans, so the plans alone would not see it.
    pub(crate) fn record_run_started(&mut self, name: GroupId, server: &BackendServerId) {
        if self.servers.get(server).is_some_and(Server::is_reachable) {
            self.occurrence_mut(name.occurrence).idle_since = None;
        }
    }

    /// Whether an ordered start may still be sent: its run is requested, its availability zone takes work, and its
    /// backend server responds and still has the capacity.
    pub fn may_start(&self, id: &BackendServerId, task: TaskId, run: RunNumber) -> bool {
        let Some(name) = self.group_of(task) else { return false };
        let placed = self.group(name).members.iter().any(|member| member.index == task.index && member.server == *id);
        let requested = placed && self.progress_of(name).run == run && self.group(name).stopping.is_none();
        requested && self.may_renew(id) && self.servers.get(id).is_some_and(Server::takes_starts)
    }

    /// Handles a start that was not sent, since [`Scheduler::may_start`] no longer held. An earlier order for it may
    /// have been sent.
    pub fn start_withdrawn(&mut self, server: &BackendServerId, task: TaskId, run: RunNumber, now: Moment) {
        let Some(name) = self.group_of(task) else { return };
        if self.progress_of(name).run != run || self.group(name).stopping.is_some() {
            return;
        }
        let Some(member) = self.member_mut(name, task.index, server) else { return };
        log::info!("job={} event=start_withdrawn task={task} server={server}", task.occurrence.job);
        if member.phase == (Phase::Sent { tries: 1 }) {
            self.remove_member(name, task.index, None, now);
        }
        let reason = match self.servers.get(server) {
            Some(server) if server.evacuated => StopReason::ZoneEvacuated,
            Some(server) if server.departing || server.closed_for_maintenance => StopReason::ServerLeaving,
            Some(server) if server.is_reachable() => StopReason::ServerShrunk,
            _ => StopReason::ServerSilent,
        };
        self.stop_group(name, reason, now);
    }

    /// Handles a refused start. If it was the only order for its run, nothing of the run exists. Otherwise an earlier
    /// order may have taken effect or may still do so: the run is stopped there, and the backend server's listing
    /// decides.
    fn start_refused(&mut self, name: GroupId, task: TaskId, server: &BackendServerId, reply: StartReply, now: Moment) {
        log::info!("job={} event=start_refused task={task} server={server} why={reply:?}", task.occurrence.job);
        if reply == StartReply::NoTicket {
            self.permits.permit_refused(name.step_id(), server);
        } else {
            self.pause_starts(server, now);
        }
        match self.member_mut(name, task.index, server).map(|member| member.phase) {
            Some(Phase::Sent { tries: 1 }) => self.remove_member(name, task.index, None, now),
            // The run was listed in the meantime.
            Some(Phase::Running) => return,
            _ => {}
        }
        self.stop_group(name, StopReason::GangBroken, now);
    }

    /// Retries a start without a response, which is safe since a start is idempotent, and abandons it after some
    /// attempts.
    fn retry_or_abandon_start(&mut self, name: GroupId, index: u32, server: &BackendServerId, now: Moment) {
        // An order to an evacuated availability zone, or to a backend server whose capacity has shrunk, is not
        // repeated: the first may have had no effect. Nor is one to an unresponsive backend server: each order would
        // prolong the lease that has to be waited for if it is lost.
        let takes_starts = self.servers.get(server).is_some_and(Server::takes_starts);
        let max_tries = if takes_starts { self.timing.start_tries } else { 0 };
        let stopping = self.group(name).stopping.is_some();
        let Some(member) = self.member_mut(name, index, server) else { return };
        let Phase::Sent { tries } = member.phase else { return };
        if stopping {
            return;
        }
        if tries < max_tries {
            member.phase = Phase::Sent { tries: tries + 1 };
            let order = self.start_order(name, index, server);
            self.orders.push(order);
            return;
        }
        log::info!("job={} event=start_given_up task={} server={server}", name.occurrence.job, name.task(index));
        self.stop_group(name, StopReason::GangBroken, now);
    }

    fn start_order(&self, name: GroupId, index: u32, server: &BackendServerId) -> Order {
        let progress = self.progress_of(name);
        Order::Start {
            server: server.clone(),
            task: name.task(index),
            run: progress.run,
            text: Arc::clone(&self.jobs[&name.occurrence.job].job.text),
            checkpoint: progress.checkpoint.clone(),
            permit: self.permits.permit(name.step_id(), server),
        }
    }
}

/// Returns the members whose placement is stored and that were not ordered yet, and marks them as sent.
fn take_stored_starts(id: OccurrenceId, occurrence: &mut Occurrence) -> Vec<(GroupId, u32, BackendServerId)> {
    let mut sent = Vec::new();
    for (step, groups) in occurrence.groups.iter_mut().enumerate() {
        for (group, group_state) in groups.iter_mut().enumerate() {
            if group_state.placed_version > occurrence.stored_version {
                continue;
            }
            for member in group_state.members.iter_mut().filter(|member| member.phase == Phase::Planned) {
                member.phase = Phase::Sent { tries: 1 };
                sent.push((GroupId { occurrence: id, step, group }, member.index, member.server.clone()));
            }
        }
    }
    sent
}
