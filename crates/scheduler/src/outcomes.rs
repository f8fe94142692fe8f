//! Completions of runs: their effect on the job, and when they may be acknowledged.

use jobs::{JobId, JobState, OccurrenceId, RunNumber};
use model::{BackendServerId, Moment};

use crate::{
    Scheduler,
    completions::{Completion, CompletionKind},
    observations::Observation,
    run_state::{GroupId, Occurrence, StopReason},
    server::PendingCompletion,
};

impl Scheduler {
    /// Processes a completion unless it was received before. It is acknowledged once the store holds its effect.
    pub(crate) fn receive_completion(&mut self, id: &BackendServerId, completion: &Completion, now: Moment) {
        let server = self.servers.get_mut(id).expect("the caller checked that the server is tracked");
        if completion.serial <= server.highest_completion {
            if completion.serial <= server.acknowledged_serial {
                // Redelivered after it was acknowledged: either the acknowledging call was lost, or this is another
                // completion with the same serial number.
                log::info!(
                    "server={id} event=end_known task={} run={} serial={}",
                    completion.task,
                    completion.run,
                    completion.serial
                );
                self.observations.push(Observation::CompletionRedelivered);
            }
            return;
        }
        server.highest_completion = completion.serial;
        if let Some(name) = self.group_of(completion.task) {
            self.apply_completion(name, id, completion, now);
        }
        let occurrence = completion.task.occurrence;
        let stored_with = self.find_occurrence(occurrence).map(|state| (occurrence, state.version));
        let server = self.servers.get_mut(id).expect("completions remove no backend server");
        server.pending_completions.push_back(PendingCompletion { serial: completion.serial, stored_with });
        if let Some(state) = self.find_occurrence_mut(occurrence)
            && !state.completions_from.contains(id)
        {
            state.completions_from.push(id.clone());
        }
    }

    fn apply_completion(&mut self, name: GroupId, id: &BackendServerId, completion: &Completion, now: Moment) {
        if completion.kind == CompletionKind::Failed {
            // It counts even if the run was abandoned before, since a failed run has used up an attempt.
            self.apply_failure(name, id, completion.run, now);
        }
        let current =
            self.progress_of(name).run == completion.run && self.member_mut(name, completion.task.index, id).is_some();
        if !current {
            self.apply_late_completion(name, id, completion, now);
            return;
        }
        log::info!(
            "job={} event=ended task={} run={} server={id} how={} serial={}",
            completion.task.occurrence.job,
            completion.task,
            completion.run,
            completion.kind,
            completion.serial
        );
        if completion.kind == CompletionKind::Stopped && self.group(name).stopping.is_some() {
            let took = now.since(self.group(name).stopped_at);
            self.stop_durations.record(took);
        }
        if completion.kind == CompletionKind::Done {
            self.measure_completion(name, completion.task.index, id, now);
            self.record_run_time(name, completion.task.index, now);
        }
        self.remove_member(name, completion.task.index, completion.checkpoint.clone(), now);
        match completion.kind {
            CompletionKind::Done => self.apply_done(name, id, now),
            _ => {
                self.stop_group(name, StopReason::GangBroken, now);
                self.abandon_if_starts_used_up(name, completion.task.index, now);
            }
        }
    }

    /// Applies a completion of a run that was no longer tracked: if it had done the work, the work isn't repeated.
    fn apply_late_completion(&mut self, name: GroupId, id: &BackendServerId, completion: &Completion, now: Moment) {
        if completion.kind != CompletionKind::Done || self.progress_of(name).done {
            return;
        }
        log::info!(
            "job={} event=done_late task={} run={}",
            completion.task.occurrence.job,
            completion.task,
            completion.run
        );
        self.apply_done(name, id, now);
        self.stop_group(name, StopReason::AlreadyDone, now);
    }

    fn apply_done(&mut self, name: GroupId, id: &BackendServerId, now: Moment) {
        if let Some(server) = self.server_mut(id) {
            server.health.done();
        }
        if self.step(name).long_running {
            return;
        }
        self.update_progress(name, |progress| {
            progress.done = true;
            progress.checkpoint = None;
        });
        if self.occurrence(name.occurrence).progress.step_done(name.step) {
            log::info!(
                "job={} event=step_done occurrence={} step={}",
                name.occurrence.job,
                name.occurrence.number,
                name.step
            );
            self.record_step_ratio(name);
        }
        self.record_job_end(name.occurrence.job, now);
    }

    /// Counts a failed run, once, against the task's attempts and the backend server.
    fn apply_failure(&mut self, name: GroupId, id: &BackendServerId, run: RunNumber, now: Moment) {
        let job = name.occurrence.job;
        if let Some(server) = self.server_mut(id)
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
        self.update_progress(name, |progress| progress.failed_runs.push(run));
        let queue = &self.jobs[&job].job.queue;
        let attempts = self.policy.queues.get(queue).map_or(u32::MAX, |queue| queue.attempts);
        let used_attempts = self.progress_of(name).failed_runs.len();
        if self.progress_of(name).done || self.jobs[&job].cancelled {
            return;
        }
        if used_attempts >= attempts as usize {
            self.fail_occurrence(name, "attempts_used", now);
        } else if self.has_crashed_too_often(name) {
            self.fail_occurrence(name, "crashes", now);
        }
    }

    /// Fails an occurrence, since one of its tasks is abandoned, and stops its other runs.
    pub(crate) fn fail_occurrence(&mut self, name: GroupId, why: &'static str, now: Moment) {
        let job = name.occurrence.job;
        log::info!(
            "job={job} event=failed occurrence={} step={} group={} why={why}",
            name.occurrence.number,
            name.step,
            name.group
        );
        self.observations.push(Observation::TaskAbandoned { why });
        self.occurrence_mut(name.occurrence).progress.failed = true;
        self.record_job_end(job, now);
        let others = self.group_ids(job);
        for other in others.into_iter().filter(|other| other.occurrence == name.occurrence) {
            self.stop_group(other, StopReason::Hopeless, now);
        }
    }

    /// Records the end of a job once its last occurrence has ended.
    fn record_job_end(&mut self, job: JobId, now: Moment) {
        let entry = self.jobs.get_mut(&job).expect("its group was just changed");
        if entry.ended_at.is_some() || !entry.occurrences.iter().all(Occurrence::is_finished) {
            return;
        }
        entry.ended_at = Some(now);
        let failed = entry.occurrences.iter().any(|occurrence| occurrence.progress.failed);
        let state = if failed { JobState::Failed } else { JobState::Succeeded };
        self.observe_job_end(job, state, now);
    }

    /// Releases the completions of a backend server whose effect is stored for acknowledgement. Returns whether there
    /// were any.
    pub(crate) fn acknowledge_stored(&mut self, id: &BackendServerId) -> bool {
        let Scheduler { servers, jobs, .. } = self;
        let Some(server) = servers.get_mut(id) else { return false };
        let before = server.acknowledged_serial;
        while let Some(completion) = server.pending_completions.front() {
            let stored = completion.stored_with.is_none_or(|(occurrence, version)| {
                let entry = jobs.get(&occurrence.job);
                let state = entry.and_then(|entry| entry.occurrences.get(occurrence.number as usize));
                state.is_none_or(|state| state.stored_version >= version)
            });
            if !stored || !server.may_acknowledge(completion.serial) {
                break;
            }
            server.acknowledged_serial = completion.serial;
            server.pending_completions.pop_front();
        }
        server.acknowledged_serial > before
    }

    /// Releases the completions that waited for an occurrence to be stored. Returns the backend servers to which more
    /// can be acknowledged now.
    pub(crate) fn acknowledge_stored_with(&mut self, id: OccurrenceId) -> Vec<BackendServerId> {
        let Some(occurrence) = self.find_occurrence_mut(id) else { return Vec::new() };
        let waiting = std::mem::take(&mut occurrence.completions_from);
        let mut acknowledged = Vec::new();
        let mut still_waiting = Vec::new();
        for server in waiting {
            if self.acknowledge_stored(&server) {
                acknowledged.push(server.clone());
            }
            if self.servers.get(&server).is_some_and(|server| server.awaits_write(id)) {
                still_waiting.push(server);
            }
        }
        if let Some(occurrence) = self.find_occurrence_mut(id) {
            occurrence.completions_from = still_waiting;
        }
        acknowledged
    }
}
