//! Runs on the simulated backend servers: starts, work, waiting for the gang, and ends.

use std::collections::BTreeMap;

use jobs::{OccurrenceId, Resources, RunNumber, TaskId};
use model::BackendServerId;
use scheduler::{CompletionKind, StartReply};

use super::{
    server::Run,
    world::{ATTEMPTS, STEP_MS, World},
};

/// Time for which a member of a gang waits for the others (platform rules: 3 s).
const GANG_WAIT_MS: u64 = 3000;

impl World {
    /// Delivers a start to a backend server if it is reachable.
    pub(crate) fn start(
        &mut self,
        leader: usize,
        id: &BackendServerId,
        task: TaskId,
        run: RunNumber,
        until: u64,
        checkpoint: bool,
    ) -> StartReply {
        if !self.reachable_by(leader, id) {
            return StartReply::Unknown;
        }
        let fence = self.leaders[leader].fence;
        let job = self.jobs[&task.occurrence.job].clone();
        let step = &job.steps[task.step as usize];
        let fails = self.now < self.fail_tasks_until && self.rng.u8(..) < 100 || self.fails_by_own_fault(task);
        let work = self.work(if checkpoint { 300 } else { 600 });
        let started_at = self.now;
        let new = Run { run, started_at, left: (!step.gang).then_some(work), waited: 0, fails, checkpoint: None };
        let mut used = Resources::default();
        for other in self.servers[id].running.keys() {
            used.add(&self.jobs[&other.occurrence.job].steps[other.step as usize].need);
        }
        let server = self.server_mut(id);
        let already_running = server.running.contains_key(&task);
        let reply = server.start(task, new, until, fence, &step.need, used);
        if reply == StartReply::Started && !already_running {
            self.check_capacity(id, task);
            self.check_start(id, task);
            self.crash_after_start(id, task);
        }
        reply
    }

    /// Returns whether a run of a task fails through its job's own fault.
    fn fails_by_own_fault(&self, task: TaskId) -> bool {
        let gang = self.jobs[&task.occurrence.job].steps[task.step as usize].gang;
        let same =
            |other: &TaskId| *other == task || gang && (other.occurrence, other.step) == (task.occurrence, task.step);
        let failures: usize = self.seen.iter().filter(|(other, _)| same(other)).map(|(_, seen)| seen.failures).sum();
        self.faulty_jobs.contains(&task.occurrence.job) && failures < ATTEMPTS - 1
    }

    /// Draws the duration of a run in milliseconds. One in four outlasts a lease.
    fn work(&mut self, least: u64) -> u64 {
        let drawn = least + self.rng.u64(..800) + if self.rng.u8(..) < 64 { 8000 } else { 0 };
        self.work_ms.unwrap_or(drawn)
    }

    pub(crate) fn run_servers(&mut self) {
        self.start_gangs();
        let ids: Vec<BackendServerId> = self.servers.keys().cloned().collect();
        for id in ids {
            let server = self.server_mut(&id);
            server.clock += STEP_MS as f64 * server.rate;
            let lapsed = server.lease_until <= server.clock_ms();
            if lapsed {
                server.lapsed_serial = server.serial;
            }
            let tasks: Vec<TaskId> = server.running.keys().copied().collect();
            for task in tasks {
                let server = self.server_mut(&id);
                let Some(run) = server.running.get_mut(&task) else { continue };
                let kind = match &mut run.left {
                    _ if lapsed => Some(CompletionKind::Lapsed),
                    None => {
                        run.waited += STEP_MS;
                        (run.waited >= GANG_WAIT_MS).then_some(CompletionKind::Alone)
                    }
                    Some(left) => {
                        *left = left.saturating_sub(STEP_MS);
                        (*left == 0).then_some(if run.fails { CompletionKind::Failed } else { CompletionKind::Done })
                    }
                };
                if let Some(kind) = kind {
                    self.complete(&id, task, kind);
                }
            }
        }
    }

    fn start_gangs(&mut self) {
        let mut present: BTreeMap<(OccurrenceId, u32, RunNumber), Vec<(BackendServerId, TaskId)>> = BTreeMap::new();
        for server in self.servers.values() {
            for (task, run) in server.running.iter().filter(|(_, run)| run.left.is_none()) {
                let gang = (task.occurrence, task.step, run.run);
                present.entry(gang).or_default().push((server.id.clone(), *task));
            }
        }
        for ((occurrence, step, _), members) in present {
            if members.len() == self.jobs[&occurrence.job].steps[step as usize].count as usize {
                let work = self.work(600);
                for (server, task) in members {
                    self.server_mut(&server).running.get_mut(&task).expect("it was just seen").left = Some(work);
                }
            }
        }
    }

    pub(crate) fn complete(&mut self, id: &BackendServerId, task: TaskId, kind: CompletionKind) {
        let Some(run) = self.server_mut(id).complete(task, kind) else { return };
        let seen = self.seen.entry(task).or_default();
        match kind {
            CompletionKind::Done => seen.done_at = Some(self.now),
            CompletionKind::Failed => seen.failures += 1,
            _ => {}
        }
        if !self.jobs[&task.occurrence.job].steps[task.step as usize].gang {
            return;
        }
        // The other members of the gang end with it, as done if it is done.
        let other = if kind == CompletionKind::Done { CompletionKind::Done } else { CompletionKind::Broken };
        let members: Vec<(BackendServerId, TaskId)> = self
            .servers
            .values()
            .flat_map(|server| server.running.iter().map(|(task, run)| (server.id.clone(), *task, run.run)))
            .filter(|(_, t, r)| t.occurrence == task.occurrence && t.step == task.step && *r == run.run)
            .map(|(server, task, _)| (server, task))
            .collect();
        for (server, member) in members {
            self.server_mut(&server).complete(member, other);
            if other == CompletionKind::Done {
                self.seen.entry(member).or_default().done_at = Some(self.now);
            }
        }
    }
}
