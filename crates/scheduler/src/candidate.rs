//! What could start, in which order, and what it asks of a place.

use std::collections::{BTreeMap, BTreeSet};

use jobs::{OccurrenceId, Resources, Step, StepId};
use model::{BackendServerId, Duration, Moment};

use crate::{
    Scheduler,
    crashes::is_last_attempt,
    guarantee::Guarantees,
    headroom::STALL_LIMIT,
    policy::ServiceId,
    ready::{ReadyStep, ReadySteps},
    run_state::GroupId,
    server_capacity::ServerCapacity,
};

/// A job that is later than this many objectives counts for nothing any more and goes behind the others.
const HOPELESSLY_LATE: f64 = 3.0;

/// Groups of one step that could start.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) occurrence: OccurrenceId,
    pub(crate) step: usize,
    pub(crate) groups: Vec<usize>,
    pub(crate) priority: u32,
    /// Its customer holds a guarantee that covers it.
    pub(crate) guaranteed: bool,
    /// Its tasks run until the job is cancelled, and must run again soon however full the service is.
    pub(crate) long_running: bool,
    /// A backend server has crashed under it as it began: it runs by itself until it has outlived its start.
    pub(crate) suspect: bool,
    /// Nothing of its occurrence has run for long, though it could.
    pub(crate) is_stalled: bool,
    /// So late that it no longer counts: it goes behind the others of its priority.
    too_late: bool,
    /// Wall-clock milliseconds by which its job should end.
    deadline_ms: u64,
    /// Wall-clock milliseconds at which half of the time is gone that it can wait without being late.
    half_slack_ms: u64,
}

impl Candidate {
    pub(crate) fn step_id(&self) -> StepId {
        StepId { occurrence: self.occurrence, step: self.step as u32 }
    }

    /// One group, of which only what it asks of a place is looked at.
    pub(crate) fn for_diagnosis(name: GroupId) -> Candidate {
        Candidate {
            occurrence: name.occurrence,
            step: name.step,
            groups: vec![name.group],
            priority: u32::MAX,
            guaranteed: false,
            long_running: false,
            suspect: false,
            is_stalled: false,
            too_late: false,
            deadline_ms: u64::MAX,
            half_slack_ms: u64::MAX,
        }
    }

    pub(crate) fn group(&self, group: usize) -> GroupId {
        GroupId { occurrence: self.occurrence, step: self.step, group }
    }
}

/// What a step's tasks ask of the place that they run at.
pub(crate) struct Requirements<'a> {
    pub(crate) step: &'a Step,
    pub(crate) need: Resources,
    pub(crate) service: &'a ServiceId,
    /// It may take the place of others.
    pub(crate) urgent: bool,
    /// It has waited for half of the time that it can without being late.
    pub(crate) slack_half_used: bool,
    /// Nothing of its occurrence has run for long: it goes wherever it can.
    pub(crate) is_stalled: bool,
    /// It has failed before: one more failure costs much.
    careful: bool,
    /// One more crash as it begins may give it up.
    last_attempt: bool,
    /// Tasks of the step that each backend server runs already, if their number there is limited.
    here: BTreeMap<&'a BackendServerId, u64>,
    /// Backend servers that the adviser allows now; `None` if its leave is not needed.
    allowed: Option<BTreeSet<&'a BackendServerId>>,
}

impl Requirements<'_> {
    /// Whether a task of the step may run there at all.
    pub(crate) fn allows(&self, server: &ServerCapacity) -> bool {
        let advised = self.allowed.as_ref().is_none_or(|allowed| allowed.contains(&server.id));
        advised && self.could_run(server)
    }

    /// The same, whatever the adviser says.
    pub(crate) fn could_run(&self, server: &ServerCapacity) -> bool {
        let labelled = self.step.label.as_ref().is_none_or(|label| server.labels.contains(label));
        let trusted =
            self.is_stalled || !(server.quarantined || server.has_isolated_retry || self.careful && server.suspect);
        let trusted = trusted && !(server.has_isolated_retry && self.last_attempt);
        *self.service == server.service && trusted && labelled && server.capacity.contains(&self.need)
    }

    /// How many more tasks of the step may go there by its spread limit.
    fn spread_left(&self, id: &BackendServerId) -> u64 {
        let Some(most) = self.step.max_per_server else { return u64::MAX };
        u64::from(most).saturating_sub(self.here.get(id).copied().unwrap_or(0))
    }

    /// How many more tasks of the step fit into `room`.
    pub(crate) fn fitting(&self, id: &BackendServerId, free: &Resources) -> u64 {
        free.count_of(&self.need).min(self.spread_left(id))
    }
}

impl Scheduler {
    /// What could start now, in the order in which it should.
    pub(crate) fn candidates(&self, wall_ms: u64, guarantees: &mut Guarantees) -> Vec<Candidate> {
        let mut found: Vec<Candidate> =
            self.ready.iter().flat_map(|(&id, steps)| self.candidates_of(id, steps, wall_ms)).collect();
        found.sort_by_key(|c| (c.priority, c.too_late, c.deadline_ms, c.occurrence, c.step));
        // Guarantees are given out in this order, and what they cover then goes before the rest of its priority.
        for candidate in found.iter_mut().filter(|candidate| candidate.priority == 0) {
            candidate.guaranteed = self.take_guarantee(candidate, guarantees);
        }
        found.sort_by_key(|c| (c.priority, !c.guaranteed));
        found
    }

    /// What could start now of one occurrence: nothing before it is due, or while its queue is not configured.
    fn candidates_of(&self, occurrence: OccurrenceId, steps: &ReadySteps, wall_ms: u64) -> Vec<Candidate> {
        let entry = &self.jobs[&occurrence.job];
        let Some(queue) = self.policy.queues.get(&entry.job.queue) else { return Vec::new() };
        let due = entry.job.due_ms(occurrence.number);
        if due > 0 && wall_ms < due + self.timing.due_margin.millis() {
            return Vec::new();
        }
        let objective = entry.chain.scaled(queue.stretch) + queue.objective;
        let from = due.max(entry.job.accepted_ms);
        let turn_has_come = Duration::from_millis(wall_ms.saturating_sub(due));
        let state = self.occurrence(occurrence);
        let idle_since = state.idle_since.filter(|_| !state.is_placed);
        let idle = idle_since.map_or(Duration::ZERO, |since| self.plan_clocks.0.since(since));
        let spare = objective.millis().saturating_sub(entry.chain.millis());
        let candidate = |step: usize, groups: Vec<usize>, suspect: bool| Candidate {
            occurrence,
            step,
            groups,
            suspect,
            is_stalled: idle.min(turn_has_come) >= STALL_LIMIT,
            priority: queue.priority,
            guaranteed: false,
            long_running: entry.job.steps[step].long_running,
            too_late: wall_ms > from + objective.scaled(HOPELESSLY_LATE).millis(),
            half_slack_ms: from + spare / 2,
            deadline_ms: if self.timing.tuning.deadline_order { from + objective.millis() } else { from },
        };
        let mut candidates = Vec::new();
        for ReadyStep { step, groups, suspects } in steps {
            if !groups.is_empty() {
                candidates.push(candidate(*step, groups.clone(), false));
            }
            // Each by itself, so that the next finds the room of the one before taken.
            candidates.extend(suspects.iter().map(|&group| candidate(*step, vec![group], true)));
        }
        candidates
    }

    /// Whether its customer's guarantee covers all that could start; if so, it is taken from it.
    fn take_guarantee(&self, candidate: &Candidate, guarantees: &mut Guarantees) -> bool {
        let job = &self.jobs[&candidate.occurrence.job].job;
        let step = &job.steps[candidate.step];
        let tasks = if step.gang { u64::from(step.count) } else { candidate.groups.len() as u64 };
        guarantees.take(job.customer.as_ref(), step.need.accelerators * tasks)
    }

    /// What a candidate asks of a place; `None` if no configuration has named the job's queue.
    pub(crate) fn requirements(&self, candidate: &Candidate, now: Moment) -> Option<Requirements<'_>> {
        let entry = &self.jobs[&candidate.occurrence.job];
        let queue = self.policy.queues.get(&entry.job.queue)?;
        let step = &entry.job.steps[candidate.step];
        let occurrence = self.occurrence(candidate.occurrence);
        let mut here = BTreeMap::new();
        if step.max_per_server.is_some() {
            let groups = &occurrence.groups[candidate.step];
            for member in groups.iter().flat_map(|group| &group.members) {
                *here.entry(&member.server).or_insert(0) += 1;
            }
        }
        let progress = &occurrence.progress.groups[candidate.step];
        let careful = progress.iter().any(|group| !group.failed_runs.is_empty());
        let last_attempt = candidate.groups.iter().any(|&group| is_last_attempt(&progress[group]));
        let need = step.counted_resources();
        let urgent = queue.priority == 0 || step.long_running;
        let allowed = queue.permits.map(|_| self.permits.allowed(candidate.step_id(), now));
        let slack_half_used = self.wall_ms(now) >= candidate.half_slack_ms;
        let is_stalled = candidate.is_stalled;
        Some(Requirements {
            step,
            need,
            service: &queue.service,
            urgent,
            slack_half_used,
            is_stalled,
            careful,
            last_attempt,
            here,
            allowed,
        })
    }
}
