//! Runs of groups: placed, stopped, over.

use jobs::{GroupProgress, JobId, Placed, Saved, Step, TaskId};
use model::{BackendServerId, Moment};

use crate::{
    Scheduler,
    live::{Group, GroupId, Member, Phase, StopReason},
    observe::Observation,
    orders::Order,
};

impl Scheduler {
    pub(crate) fn step(&self, name: GroupId) -> &Step {
        &self.jobs[&name.occurrence.job].job.steps[name.step]
    }

    pub(crate) fn group(&self, name: GroupId) -> &Group {
        &self.jobs[&name.occurrence.job].occurrences[name.occurrence.number as usize].groups[name.step][name.group]
    }

    pub(crate) fn group_mut(&mut self, name: GroupId) -> &mut Group {
        let entry = self.jobs.get_mut(&name.occurrence.job).expect("groups are named only while their job is known");
        &mut entry.occurrences[name.occurrence.number as usize].groups[name.step][name.group]
    }

    pub(crate) fn progress_of(&self, name: GroupId) -> &GroupProgress {
        let occurrence = &self.jobs[&name.occurrence.job].occurrences[name.occurrence.number as usize];
        &occurrence.progress.groups[name.step][name.group]
    }

    /// Changes the progress of a group, which then has to be stored.
    pub(crate) fn change(&mut self, name: GroupId, change: impl FnOnce(&mut GroupProgress)) {
        let entry = self.jobs.get_mut(&name.occurrence.job).expect("groups are named only while their job is known");
        let occurrence = &mut entry.occurrences[name.occurrence.number as usize];
        change(&mut occurrence.progress.groups[name.step][name.group]);
        occurrence.version += 1;
        self.dirty.insert(name.occurrence);
        self.changed.insert(name.occurrence);
    }

    /// The group that a task belongs to; `None` if no such job or task is known.
    pub(crate) fn group_of(&self, task: TaskId) -> Option<GroupId> {
        let entry = self.jobs.get(&task.occurrence.job)?;
        let step = entry.job.steps.get(task.step as usize)?;
        let known = (task.occurrence.number as usize) < entry.occurrences.len() && task.index < step.count;
        known.then(|| GroupId::of(task, step))
    }

    pub(crate) fn group_names(&self, job: JobId) -> Vec<GroupId> {
        let Some(entry) = self.jobs.get(&job) else { return Vec::new() };
        let mut names = Vec::new();
        for (number, occurrence) in entry.occurrences.iter().enumerate() {
            let occurrence_id = jobs::OccurrenceId { job, number: number as u32 };
            for (step, groups) in occurrence.groups.iter().enumerate() {
                names.extend((0..groups.len()).map(|group| GroupId { occurrence: occurrence_id, step, group }));
            }
        }
        names
    }

    pub(crate) fn member_mut(&mut self, name: GroupId, index: u32, server: &BackendServerId) -> Option<&mut Member> {
        let group = self.group_mut(name);
        group.members.iter_mut().find(|member| member.index == index && member.server == *server)
    }

    /// Places a run of a group; the starts leave once the store holds it.
    pub(crate) fn place(&mut self, name: GroupId, servers: &[(u32, BackendServerId)], now: Moment) {
        let need = self.step(name).counted_need();
        let run = self.progress_of(name).run.next();
        let placed = servers.iter().map(|(index, server)| Placed { index: *index, server: server.clone() }).collect();
        for (index, id) in servers {
            let server = self.servers.get_mut(id).expect("only known backend servers are chosen");
            server.used.add(&need);
            server.members.insert(name.task(*index), run);
        }
        self.log_placement(name, servers, now);
        self.change(name, |progress| {
            progress.run = run;
            progress.begun = true;
            progress.placed = placed;
        });
        let entry = self.jobs.get(&name.occurrence.job).expect("it was just changed");
        let version = entry.occurrences[name.occurrence.number as usize].version;
        let group = self.group_mut(name);
        group.placed_version = version;
        group.placed_at = now;
        group.stopping = None;
        let member = |(index, server): &(u32, BackendServerId)| Member {
            index: *index,
            server: server.clone(),
            phase: Phase::Planned,
            settled: None,
            stop_sent: None,
            saved: None,
            percent: 0,
            advanced: now,
        };
        group.members = servers.iter().map(member).collect();
    }

    /// Says where a run goes, and what that rests on.
    fn log_placement(&mut self, name: GroupId, servers: &[(u32, BackendServerId)], now: Moment) {
        let job = name.occurrence.job;
        let waited = self.group(name).ready_since.map_or(0, |since| now.since(since).millis());
        let progress = self.progress_of(name);
        log::info!(
            "job={job} event=placed step={} group={} run={} tasks={} first_server={} waited_ms={waited} failed_runs={} \
             saved={} config={} fence={}",
            name.step,
            name.group,
            progress.run.next(),
            servers.len(),
            servers[0].1,
            progress.failed_runs.len(),
            progress.saved.is_some(),
            self.policy.version,
            self.fence
        );
        if !self.jobs[&job].occurrences.iter().any(|occurrence| occurrence.progress.begun()) {
            self.observe_start(job, now);
        }
    }

    /// A member's run is over; its room is free.
    pub(crate) fn remove_member(&mut self, name: GroupId, index: u32, saved: Option<Saved>, now: Moment) {
        let need = self.step(name).counted_need();
        let checkpoints = self.step(name).checkpoints;
        let group = self.group_mut(name);
        let Some(at) = group.members.iter().position(|member| member.index == index) else { return };
        let member = group.members.swap_remove(at);
        if group.members.is_empty() {
            group.stopping = None;
            group.ready_since = Some(now);
        }
        self.plan_wanted = true;
        if let Some(server) = self.servers.get_mut(&member.server) {
            server.used.remove(&need);
            server.members.remove(&name.task(index));
        }
        let saved = saved.or(member.saved).filter(|_| checkpoints);
        self.change(name, |progress| {
            progress.placed.retain(|placed| placed.index != index);
            if saved.is_some() {
                progress.saved = saved;
            }
        });
    }

    /// Stops what there is of a group's run.
    pub(crate) fn stop_group(&mut self, name: GroupId, reason: StopReason, now: Moment) {
        let group = self.group_mut(name);
        if group.members.is_empty() || group.stopping.is_some() {
            return;
        }
        group.stopping = Some(reason);
        let members = group.members.clone();
        log::info!("job={} event=stopping step={} group={} why={reason}", name.occurrence.job, name.step, name.group);
        self.observations.push(Observation::Stopped { why: reason.to_string() });
        for member in members {
            if member.phase == Phase::Planned {
                self.remove_member(name, member.index, None, now);
            } else {
                self.send_stop(name, member.index, &member.server, now);
            }
        }
    }

    fn send_stop(&mut self, name: GroupId, index: u32, server: &BackendServerId, now: Moment) {
        let run = self.progress_of(name).run;
        if let Some(member) = self.member_mut(name, index, server) {
            member.stop_sent = Some(now);
        }
        self.orders.push(Order::Stop { server: server.clone(), task: name.task(index), run });
    }

    pub(crate) fn repeat_stops(&mut self, now: Moment) {
        let retry = self.timing.stop_retry;
        let mut due = Vec::new();
        for server in self.servers.values().filter(|server| server.unanswered == 0) {
            for task in server.members.keys() {
                let Some(name) = self.group_of(*task) else { continue };
                let group = self.group(name);
                let Some(member) = group.members.iter().find(|member| member.index == task.index) else { continue };
                let unanswered = member.stop_sent.is_some_and(|sent| sent + retry <= now);
                if group.stopping.is_some() && unanswered {
                    due.push((name, member.index, member.server.clone()));
                }
            }
        }
        for (name, index, server) in due {
            self.send_stop(name, index, &server, now);
        }
    }

    /// Everything that may have run on a backend server is over, without a word of how it ended.
    pub(crate) fn lapse_members(&mut self, id: &BackendServerId, why: &str, now: Moment) {
        let Some(server) = self.servers.get(id) else { return };
        let tasks: Vec<TaskId> = server.members.keys().copied().collect();
        for task in tasks {
            let Some(name) = self.group_of(task) else { continue };
            log::info!("job={} event=lapsed task={task} server={id} why={why}", task.occurrence.job);
            self.remove_member(name, task.index, None, now);
            self.stop_group(name, StopReason::GangBroken, now);
        }
    }
}
