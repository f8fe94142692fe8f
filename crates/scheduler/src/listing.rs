//! Listings of backend servers: ends are taken in, runs confirmed, strays stopped, losses found.

use jobs::{JobId, JobState, RunNumber, TaskId};
use model::{BackendServerId, Moment};

use crate::{
    Scheduler,
    ends::{End, EndKind, Listing, RunningTask},
    live::{GroupId, Phase, StopReason},
    orders::Order,
    server::{PendingEnd, Stray},
};

impl Scheduler {
    /// A backend server has told what it runs and what ended, on a call sent at `sent`.
    ///
    /// Listings of one backend server must be told in the order in which their calls were sent.
    pub fn listing(&mut self, id: &BackendServerId, listing: &Listing, sent: Moment, now: Moment) {
        let Some(server) = self.servers.get_mut(id) else { return };
        if server.unanswered > 0 {
            log::info!("server={id} event=reachable_again after_calls={}", server.unanswered);
            self.plan_wanted = true;
        }
        if !server.stocked {
            self.plan_wanted = true;
            // From here on it obeys no earlier scheduler, which can have renewed its lease up to now.
            server.stocked = true;
            server.lease_over = self.timing.lease_over(now);
        }
        server.unanswered = 0;
        server.last_contact = Some(sent);
        self.plan_wanted |= !listing.ended.is_empty();
        for end in &listing.ended {
            self.take_end(id, end, now);
        }
        self.take_strays(id, listing, now);
        for running in &listing.running {
            self.confirm(id, running, now);
        }
        if !listing.more_ends {
            self.find_lost(id, listing, sent, now);
        }
        if !listing.ended.is_empty() {
            self.acknowledge_stored();
        }
    }

    fn take_end(&mut self, id: &BackendServerId, end: &End, now: Moment) {
        let server = self.servers.get_mut(id).expect("the caller has looked");
        if end.serial <= server.seen_end {
            return;
        }
        server.seen_end = end.serial;
        if let Some(name) = self.group_of(end.task) {
            self.apply_end(name, id, end, now);
        }
        let occurrence = end.task.occurrence;
        let version = self
            .jobs
            .get(&occurrence.job)
            .and_then(|entry| entry.occurrences.get(occurrence.number as usize))
            .map(|state| (occurrence, state.version));
        let server = self.servers.get_mut(id).expect("ends remove no backend server");
        server.pending_ends.push_back(PendingEnd { serial: end.serial, held_by: version });
        self.with_ends.insert(id.clone());
    }

    fn apply_end(&mut self, name: GroupId, id: &BackendServerId, end: &End, now: Moment) {
        if end.kind == EndKind::Failed {
            // It counts even if the run was given up before: what failed has used up an attempt.
            self.apply_failure(name, id, end.run, now);
        }
        let current = self.progress_of(name).run == end.run && self.member_mut(name, end.task.index, id).is_some();
        if !current {
            self.apply_late_end(name, id, end, now);
            return;
        }
        log::info!(
            "job={} event=ended task={} run={} server={id} how={} serial={}",
            end.task.occurrence.job,
            end.task,
            end.run,
            end.kind,
            end.serial
        );
        self.remove_member(name, end.task.index, end.saved.clone(), now);
        match end.kind {
            EndKind::Done => self.apply_done(name, id, now),
            _ => self.stop_group(name, StopReason::GangBroken, now),
        }
    }

    /// An end of a run that was taken for over before: if it had done the work, no one has to do it again.
    fn apply_late_end(&mut self, name: GroupId, id: &BackendServerId, end: &End, now: Moment) {
        if end.kind != EndKind::Done || self.progress_of(name).done {
            return;
        }
        log::info!("job={} event=done_late task={} run={}", end.task.occurrence.job, end.task, end.run);
        self.apply_done(name, id, now);
        self.stop_group(name, StopReason::AlreadyDone, now);
    }

    fn apply_done(&mut self, name: GroupId, id: &BackendServerId, now: Moment) {
        if let Some(server) = self.servers.get_mut(id) {
            server.health.done();
        }
        if self.step(name).long_running {
            return;
        }
        self.change(name, |progress| {
            progress.done = true;
            progress.saved = None;
        });
        self.note_end(name.occurrence.job, now);
    }

    fn apply_failure(&mut self, name: GroupId, id: &BackendServerId, run: RunNumber, now: Moment) {
        let job = name.occurrence.job;
        if let Some(server) = self.servers.get_mut(id)
            && server.health.failed(job, now)
        {
            log::warn!("server={id} event=set_aside why=failures_of_several_jobs");
        }
        let avoid = &mut self.group_mut(name).avoid;
        if !avoid.contains(id) {
            avoid.push(id.clone());
        }
        if self.step(name).long_running || self.progress_of(name).failed_runs.contains(&run) {
            return;
        }
        self.change(name, |progress| progress.failed_runs.push(run));
        let queue = &self.jobs[&job].job.queue;
        let attempts = self.policy.queues.get(queue).map_or(u32::MAX, |queue| queue.attempts);
        let spent = self.progress_of(name).failed_runs.len();
        if spent >= attempts as usize && !self.progress_of(name).done && !self.jobs[&job].cancelled {
            self.fail_occurrence(name, now);
        }
    }

    fn fail_occurrence(&mut self, name: GroupId, now: Moment) {
        let job = name.occurrence.job;
        log::info!("job={job} event=failed occurrence={} why=attempts_used", name.occurrence.number);
        let entry = self.jobs.get_mut(&job).expect("its group was just changed");
        entry.occurrences[name.occurrence.number as usize].progress.failed = true;
        self.note_end(job, now);
        let others = self.group_names(job);
        for other in others.into_iter().filter(|other| other.occurrence == name.occurrence) {
            self.stop_group(other, StopReason::Hopeless, now);
        }
    }

    fn note_end(&mut self, job: JobId, now: Moment) {
        let entry = self.jobs.get_mut(&job).expect("its group was just changed");
        let over = |progress: &jobs::Progress| progress.failed || progress.done();
        if entry.ended.is_some() || !entry.occurrences.iter().all(|occurrence| over(&occurrence.progress)) {
            return;
        }
        entry.ended = Some(now);
        let failed = entry.occurrences.iter().any(|occurrence| occurrence.progress.failed);
        let state = if failed { JobState::Failed } else { JobState::Succeeded };
        self.observe_end(job, state, now);
    }

    fn confirm(&mut self, id: &BackendServerId, running: &RunningTask, now: Moment) {
        let Some(name) = self.group_of(running.task) else { return };
        if self.progress_of(name).run != running.run {
            return;
        }
        let Some(member) = self.member_mut(name, running.task.index, id) else { return };
        if member.percent != running.percent {
            member.percent = running.percent;
            member.advanced = now;
        }
        if running.saved.is_some() {
            member.saved = running.saved.clone();
        }
        match member.phase {
            Phase::Restored | Phase::Sent { .. } => {
                member.phase = Phase::Running;
                member.settled.get_or_insert(now);
            }
            Phase::Planned | Phase::Running => {}
        }
    }

    /// Runs that no one wants here: stopped, and their room counted until they are gone.
    fn take_strays(&mut self, id: &BackendServerId, listing: &Listing, now: Moment) {
        let unwanted: Vec<(TaskId, RunNumber)> = listing
            .running
            .iter()
            .filter(|running| !self.is_wanted(id, running))
            .map(|running| (running.task, running.run))
            .collect();
        let retry = self.timing.stop_retry;
        let server = self.servers.get_mut(id).expect("the caller has looked");
        let mut before = std::mem::take(&mut server.strays);
        let mut strays = std::collections::BTreeMap::new();
        for (task, run) in unwanted {
            let need = self.group_of(task).map(|name| self.step(name).counted_need()).unwrap_or_default();
            let stray = match before.remove(&task) {
                Some(stray) if stray.run == run && stray.stop_sent + retry > now => stray,
                _ => {
                    log::info!("job={} event=stray_stopped task={task} run={run} server={id}", task.occurrence.job);
                    self.orders.push(Order::Stop { server: id.clone(), task, run });
                    Stray { run, need, stop_sent: now }
                }
            };
            strays.insert(task, stray);
        }
        self.servers.get_mut(id).expect("the caller has looked").strays = strays;
    }

    fn is_wanted(&self, id: &BackendServerId, running: &RunningTask) -> bool {
        let Some(name) = self.group_of(running.task) else { return false };
        let placed = |member: &crate::live::Member| member.index == running.task.index && member.server == *id;
        self.progress_of(name).run == running.run && self.group(name).members.iter().any(placed)
    }

    /// Runs that the listing must show if they went on, and does not.
    fn find_lost(&mut self, id: &BackendServerId, listing: &Listing, sent: Moment, now: Moment) {
        let server = &self.servers[id];
        let listed = |task: &TaskId| listing.running.iter().any(|running| running.task == *task);
        let missing: Vec<TaskId> = server.members.keys().filter(|task| !listed(task)).copied().collect();
        for task in missing {
            let Some(name) = self.group_of(task) else { continue };
            let Some(member) = self.member_mut(name, task.index, id) else { continue };
            if member.settled.is_some_and(|settled| settled < sent) {
                log::info!("job={} event=not_listed task={task} server={id}", task.occurrence.job);
                self.remove_member(name, task.index, None, now);
                self.stop_group(name, StopReason::GangBroken, now);
            }
        }
    }

    /// Lets ends be acknowledged whose progress the store holds.
    pub(crate) fn acknowledge_stored(&mut self) {
        let Scheduler { servers, jobs, with_ends, .. } = self;
        with_ends.retain(|id| {
            let Some(server) = servers.get_mut(id) else { return false };
            while let Some(end) = server.pending_ends.front() {
                let stored = end.held_by.is_none_or(|(occurrence, version)| {
                    let entry = jobs.get(&occurrence.job);
                    let state = entry.and_then(|entry| entry.occurrences.get(occurrence.number as usize));
                    state.is_none_or(|state| state.stored_version >= version)
                });
                if !stored {
                    break;
                }
                server.acknowledged = end.serial;
                server.pending_ends.pop_front();
            }
            !server.pending_ends.is_empty()
        });
    }
}
