//! Runs of groups: lookup, placement and removal.

use std::sync::Arc;

use jobs::{Checkpoint, GroupProgress, JobId, OccurrenceId, Placement, Step, TaskId};
use model::{BackendServerId, Moment};

use crate::{
    Scheduler,
    observations::Observation,
    run_state::{Group, GroupId, Member, Occurrence, Phase},
};

impl Scheduler {
    /// Returns an occurrence; `None` if it or its job is not tracked.
    pub(crate) fn find_occurrence(&self, id: OccurrenceId) -> Option<&Occurrence> {
        self.jobs.get(&id.job)?.occurrences.get(id.number as usize)
    }

    pub(crate) fn find_occurrence_mut(&mut self, id: OccurrenceId) -> Option<&mut Occurrence> {
        self.jobs.get_mut(&id.job)?.occurrences.get_mut(id.number as usize)
    }

    /// Returns the occurrence of a group. Like the lookups that follow, it panics if the job is not tracked: a
    /// `GroupId` is used only while it is.
    pub(crate) fn occurrence(&self, id: OccurrenceId) -> &Occurrence {
        &self.jobs[&id.job].occurrences[id.number as usize]
    }

    pub(crate) fn occurrence_mut(&mut self, id: OccurrenceId) -> &mut Occurrence {
        let entry = self.jobs.get_mut(&id.job).expect("a group id is used only while its job is tracked");
        &mut entry.occurrences[id.number as usize]
    }

    pub(crate) fn step(&self, name: GroupId) -> &Step {
        &self.jobs[&name.occurrence.job].job.steps[name.step]
    }

    pub(crate) fn group(&self, name: GroupId) -> &Group {
        &self.occurrence(name.occurrence).groups[name.step][name.group]
    }

    pub(crate) fn group_mut(&mut self, name: GroupId) -> &mut Group {
        &mut self.occurrence_mut(name.occurrence).groups[name.step][name.group]
    }

    pub(crate) fn progress_of(&self, name: GroupId) -> &GroupProgress {
        &self.occurrence(name.occurrence).progress.groups[name.step][name.group]
    }

    /// Changes the progress of a group, and marks it as not yet stored.
    pub(crate) fn update_progress(&mut self, name: GroupId, change: impl FnOnce(&mut GroupProgress)) {
        let occurrence = self.occurrence_mut(name.occurrence);
        change(&mut occurrence.progress.groups[name.step][name.group]);
        occurrence.version += 1;
        self.pending_writes.insert(name.occurrence);
        self.changed.insert(name.occurrence);
    }

    /// Returns the group that a task belongs to; `None` if its job or the task is not tracked.
    pub(crate) fn group_of(&self, task: TaskId) -> Option<GroupId> {
        let entry = self.jobs.get(&task.occurrence.job)?;
        let step = entry.job.steps.get(task.step as usize)?;
        let exists = (task.occurrence.number as usize) < entry.occurrences.len() && task.index < step.count;
        exists.then(|| GroupId::of(task, step))
    }

    /// Returns all groups of a job.
    pub(crate) fn group_ids(&self, job: JobId) -> Vec<GroupId> {
        let Some(entry) = self.jobs.get(&job) else { return Vec::new() };
        let mut ids = Vec::new();
        for (id, occurrence) in entry.occurrence_ids().zip(&entry.occurrences) {
            for (step, groups) in occurrence.groups.iter().enumerate() {
                ids.extend((0..groups.len()).map(|group| GroupId { occurrence: id, step, group }));
            }
        }
        ids
    }

    pub(crate) fn member_mut(&mut self, name: GroupId, index: u32, server: &BackendServerId) -> Option<&mut Member> {
        let group = self.group_mut(name);
        group.members.iter_mut().find(|member| member.index == index && member.server == *server)
    }

    /// Places a run of a group. Its starts are sent once the store holds the placement.
    pub(crate) fn place(&mut self, name: GroupId, servers: &[(u32, BackendServerId)], now: Moment) {
        let need = self.step(name).counted_resources();
        let run = self.progress_of(name).run.next();
        let placements: Vec<Placement> = servers.iter().map(|(index, id)| self.placement_on(*index, id)).collect();
        let members = placements.iter().map(Member::planned).collect();
        for (index, id) in servers {
            let server = self.server_mut(id).expect("only tracked backend servers are chosen");
            server.used.add(&need);
            server.members.insert(name.task(*index), run);
        }
        self.add_usage(name, servers.len());
        self.log_placement(name, servers, now);
        self.update_progress(name, |progress| {
            progress.run = run;
            progress.started = true;
            progress.placed = placements;
        });
        let version = self.occurrence(name.occurrence).version;
        let group = self.group_mut(name);
        group.placed_version = version;
        group.placed_at = now;
        group.stopping = None;
        group.members = members;
        self.begin_isolated_retry(name);
    }

    fn placement_on(&self, index: u32, id: &BackendServerId) -> Placement {
        let server = self.servers.get(id);
        let incarnation = server.and_then(|server| server.incarnation);
        let address = server.and_then(|server| server.info.as_ref()).map_or("", |info| info.address.as_str());
        Placement { index, server: id.clone(), incarnation, address: Arc::from(address) }
    }

    /// Logs where a run is placed, with the state that the decision rests on.
    fn log_placement(&mut self, name: GroupId, servers: &[(u32, BackendServerId)], now: Moment) {
        let job = name.occurrence.job;
        let waited = self.group(name).ready_since.map_or(0, |since| now.since(since).millis());
        let progress = self.progress_of(name);
        log::info!(
            "job={job} event=placed step={} group={} run={} tasks={} first_server={} waited_ms={waited} failed_runs={} \
             crashes={} saved={} config={} fence={}",
            name.step,
            name.group,
            progress.run.next(),
            servers.len(),
            servers[0].1,
            progress.failed_runs.len(),
            progress.crashes.len(),
            progress.checkpoint.is_some(),
            self.policy.version,
            self.fence
        );
        if !self.jobs[&job].occurrences.iter().any(|occurrence| occurrence.progress.started()) {
            self.observe_job_start(job, now);
        }
    }

    /// Removes a member whose run has ended, and frees its capacity.
    pub(crate) fn remove_member(&mut self, name: GroupId, index: u32, checkpoint: Option<Checkpoint>, now: Moment) {
        let need = self.step(name).counted_resources();
        let checkpoints = self.step(name).checkpoints;
        let group = self.group_mut(name);
        let Some(position) = group.members.iter().position(|member| member.index == index) else { return };
        let member = group.members.swap_remove(position);
        let stopped = group.stopping.filter(|_| member.phase != Phase::Planned);
        let stop_took = stopped.map(|reason| (reason, now.since(group.stopped_at)));
        if group.members.is_empty() {
            group.stopping = None;
            group.ready_since = Some(now);
        }
        if let Some((reason, after)) = stop_took {
            self.observations.push(Observation::StopEnded { why: reason.to_string(), after });
        }
        self.plan_requested = true;
        if let Some(server) = self.server_mut(&member.server) {
            server.used.remove(&need);
            server.members.remove(&name.task(index));
        }
        self.refresh_isolated_retry(&member.server);
        self.remove_usage(name);
        let checkpoint = checkpoint.or(member.checkpoint).filter(|_| checkpoints);
        self.update_progress(name, |progress| {
            progress.placed.retain(|placed| placed.index != index);
            if checkpoint.is_some() {
                progress.checkpoint = checkpoint;
            }
        });
    }
}
