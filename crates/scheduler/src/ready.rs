//! Groups that could start, updated only for occurrences that have changed.

use std::collections::BTreeMap;

use jobs::{OccurrenceId, RunNumber};
use model::{BackendServerId, Moment};

use crate::{
    Scheduler,
    crashes::is_suspected,
    run_state::{JobEntry, Member, Occurrence},
    server::Server,
};

/// Groups of an occurrence that could start, by step.
pub(crate) type ReadySteps = Vec<ReadyStep>;

#[derive(Debug, Default)]
pub(crate) struct ReadyStep {
    pub(crate) step: usize,
    /// Groups that are placed together.
    pub(crate) groups: Vec<usize>,
    /// Suspected groups, each placed separately: a backend server crashed during their start.
    pub(crate) suspected: Vec<usize>,
    /// Whether all of these start again and all others of the step are done, so that the job waits for them alone.
    pub(crate) is_rest_of_step: bool,
}

impl Scheduler {
    /// Recomputes the ready groups of the occurrences that have changed.
    pub(crate) fn refresh_ready(&mut self, now: Moment) {
        let changed = std::mem::take(&mut self.changed);
        self.refreshed += changed.len() as u64;
        for id in changed {
            let Some(entry) = self.jobs.get_mut(&id.job) else { continue };
            let steps = ready_steps(entry, id, &self.servers, now);
            if steps.is_empty() {
                self.ready.remove(&id);
            } else {
                self.ready.insert(id, steps);
            }
            if entry.is_finished() {
                self.open_jobs.remove(&id.job);
                self.finished_jobs.insert(id.job);
                self.permits.remove_occurrence(id);
            }
        }
    }
}

impl Occurrence {
    fn update_idle(&mut self, servers: &BTreeMap<BackendServerId, Server>, now: Moment) {
        let reachable = |member: &&Member| servers.get(&member.server).is_some_and(Server::is_reachable);
        let placed = || self.groups.iter().flatten().flat_map(|group| &group.members).filter(reachable);
        let idle = !placed().any(Member::is_running);
        self.is_placed = placed().next().is_some();
        self.idle_since = idle.then(|| self.idle_since.unwrap_or(now));
    }
}

fn ready_steps(
    entry: &mut JobEntry,
    id: OccurrenceId,
    servers: &BTreeMap<BackendServerId, Server>,
    now: Moment,
) -> ReadySteps {
    let occurrence = &mut entry.occurrences[id.number as usize];
    occurrence.update_idle(servers, now);
    if entry.cancelled || occurrence.progress.failed {
        return Vec::new();
    }
    let mut steps = Vec::new();
    for (s, step) in entry.job.steps.iter().enumerate() {
        if !step.after.iter().all(|&earlier| occurrence.progress.step_done(earlier)) {
            continue;
        }
        let mut ready = ReadyStep { step: s, is_rest_of_step: true, ..ReadyStep::default() };
        for (g, live) in occurrence.groups[s].iter_mut().enumerate() {
            let progress = &occurrence.progress.groups[s][g];
            let is_ready = !progress.done && live.members.is_empty();
            ready.is_rest_of_step &= progress.done || is_ready && progress.run > RunNumber(0);
            if is_ready {
                live.ready_since.get_or_insert(now);
                if is_suspected(progress) { ready.suspected.push(g) } else { ready.groups.push(g) }
            }
        }
        if !ready.groups.is_empty() || !ready.suspected.is_empty() {
            steps.push(ready);
        }
    }
    steps
}
