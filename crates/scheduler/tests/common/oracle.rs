//! Invariants that must hold at all times.

use jobs::{Fence, JobId, OccurrenceId, TaskId};
use model::BackendServerId;
use scheduler::CompletionKind;

use super::{
    events::START_TIMEOUT_MS,
    world::{ATTEMPTS, World},
};

/// Time for a write in flight and the order that follows it, which a scheduler that has not learned of the evacuation
/// repeats twice if it gets no reply.
const IN_FLIGHT_MS: u64 = 3 * START_TIMEOUT_MS;

impl World {
    /// Records the completions that a backend server drops after accepting the acknowledgement: the scheduler must have
    /// recorded them.
    pub(crate) fn record_acknowledged(&mut self, id: &BackendServerId, fence: Fence, acknowledged: u64) {
        let server = &self.servers[id];
        if fence < server.fence {
            return;
        }
        let is_acknowledged = |serial: u64| serial <= acknowledged && serial > server.lapsed_serial;
        for completion in server.completions.iter().filter(|completion| is_acknowledged(completion.serial)) {
            let seen = self.seen.entry(completion.task).or_default();
            let stored = &self.stored;
            match completion.kind {
                CompletionKind::Done => seen.done_acknowledged = true,
                CompletionKind::Failed => seen.failures_acknowledged += 1,
                _ => {}
            }
            assert!(
                !matches!(completion.kind, CompletionKind::Done | CompletionKind::Failed)
                    || stored.contains_key(&completion.task.occurrence),
                "a completion of {} was acknowledged and nothing is stored",
                completion.task
            );
        }
    }

    pub(crate) fn check_start(&mut self, id: &BackendServerId, task: TaskId) {
        self.start_count += 1;
        self.check_crashes(task);
        for other in self.servers.values().filter(|other| other.id != *id) {
            assert!(!other.running.contains_key(&task), "{task} runs on {id} and on {} at {}", other.id, self.now);
        }
        let seen = self.seen.entry(task).or_default();
        assert!(!seen.done_acknowledged, "{task} started again after its completion was acknowledged");
        assert!(seen.failures_acknowledged < ATTEMPTS, "{task} started after {ATTEMPTS} failures");
        if let Some(at) = self.cancelled.get(&task.occurrence.job) {
            assert!(self.now < at + 13_000, "{task} started long after its job was cancelled");
        }
        let job = &self.jobs[&task.occurrence.job];
        for &earlier in &job.steps[task.step as usize].after {
            for index in 0..job.steps[earlier].count {
                let needed = TaskId { step: earlier as u32, index, ..task };
                let done = self.seen.get(&needed).is_some_and(|seen| seen.done_at.is_some());
                assert!(done, "{task} started before {needed} was done");
            }
        }
    }

    /// An order that arrives on time starts nothing in an evacuated availability zone; one already in flight may.
    pub(crate) fn check_evacuated(&self, id: &BackendServerId, task: TaskId) {
        let Some(server) = self.servers.get(id) else { return };
        if let Some(since) = self.evacuated.get(&server.info.availability_zone) {
            let late = self.now - since;
            assert!(
                late <= IN_FLIGHT_MS,
                "{task} was ordered on {id} {late} ms after its availability zone was evacuated"
            );
        }
    }

    /// A failed job has a task with no attempts left: all its attempts failed, or two backend servers crashed under it.
    pub(crate) fn check_failed(&self, id: JobId) {
        let job = &self.jobs[&id];
        let spent = (0..job.steps.len()).any(|s| {
            let seen = self.seen.iter().filter(|(task, _)| task.occurrence.job == id && task.step as usize == s);
            let (mut together, mut each) = (0, false);
            for (_, seen) in seen {
                together += seen.failures;
                each |= seen.failures >= ATTEMPTS || seen.crashes >= 2;
            }
            each || job.steps[s].gang && together >= ATTEMPTS
        });
        assert!(spent, "{id} is shown as failed without a cause");
    }

    pub(crate) fn check_succeeded(&self, id: JobId) {
        let job = &self.jobs[&id];
        for (s, step) in job.steps.iter().enumerate() {
            for index in 0..step.count {
                let occurrence = OccurrenceId { job: id, number: 0 };
                let task = TaskId { occurrence, step: s as u32, index };
                let done = self.seen.get(&task).is_some_and(|seen| seen.done_at.is_some());
                assert!(done, "{id} is shown as succeeded and {task} was never done");
            }
        }
    }
}
