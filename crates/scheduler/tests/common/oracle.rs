//! What must never happen.

use jobs::{Fence, JobId, OccurrenceId, TaskId};
use model::BackendServerId;
use scheduler::CompletionKind;

use super::{
    events::UNANSWERED_MS,
    world::{ATTEMPTS, World},
};

/// A write that was under way and the order that follows, which a scheduler that has not heard of the evacuation gives
/// twice more if it gets no answer.
const UNDER_WAY_MS: u64 = 3 * UNANSWERED_MS;

impl World {
    /// A backend server that obeys the fence forgets these ends: they are taken note of.
    pub(crate) fn note(&mut self, id: &BackendServerId, fence: Fence, acknowledged: u64) {
        let server = &self.servers[id];
        if fence < server.fence {
            return;
        }
        let counts = |serial: u64| serial <= acknowledged && serial > server.lapsed_after;
        for end in server.ended.iter().filter(|end| counts(end.serial)) {
            let seen = self.seen.entry(end.task).or_default();
            let stored = &self.stored;
            match end.kind {
                CompletionKind::Done => seen.done_noted = true,
                CompletionKind::Failed => seen.failures_noted += 1,
                _ => {}
            }
            assert!(
                !matches!(end.kind, CompletionKind::Done | CompletionKind::Failed)
                    || stored.contains_key(&end.task.occurrence),
                "an end of {} was acknowledged and nothing is stored",
                end.task
            );
        }
    }

    pub(crate) fn check_begin(&mut self, id: &BackendServerId, task: TaskId) {
        self.begun += 1;
        self.check_crashes(task);
        for other in self.servers.values().filter(|other| other.id != *id) {
            assert!(!other.running.contains_key(&task), "{task} runs on {id} and on {} at {}", other.id, self.now);
        }
        let seen = self.seen.entry(task).or_default();
        assert!(!seen.done_noted, "{task} began again after it was noted as done");
        assert!(seen.failures_noted < ATTEMPTS, "{task} began after {ATTEMPTS} failures");
        if let Some(at) = self.cancelled.get(&task.occurrence.job) {
            assert!(self.now < at + 13_000, "{task} began long after its job was cancelled");
        }
        let job = &self.jobs[&task.occurrence.job];
        for &earlier in &job.steps[task.step as usize].after {
            for index in 0..job.steps[earlier].count {
                let needed = TaskId { step: earlier as u32, index, ..task };
                let done = self.seen.get(&needed).is_some_and(|seen| seen.done_at.is_some());
                assert!(done, "{task} began before {needed} was done");
            }
        }
    }

    /// An order that arrives at once starts nothing where an evacuation holds; one that was under way may.
    pub(crate) fn check_evacuated(&self, id: &BackendServerId, task: TaskId) {
        let Some(server) = self.servers.get(id) else { return };
        if let Some(since) = self.evacuated.get(&server.info.availability_zone) {
            let late = self.now - since;
            assert!(
                late <= UNDER_WAY_MS,
                "{task} was ordered on {id} {late} ms after its availability zone was evacuated"
            );
        }
    }

    /// A job that is shown as failed has a task that was owed nothing more: all its attempts failed, or two backend servers crashed
    /// under it.
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
