//! Candidates of a plan: what could start, in which order, and what it requires of a backend server.

use std::collections::{BTreeMap, BTreeSet};

use jobs::{OccurrenceId, Resources, ServiceId, Step, StepId};
use model::{BackendServerId, Duration, Moment};

use crate::{
    Scheduler,
    crashes::is_last_attempt,
    departures::Urgency,
    guarantee::Guarantees,
    headroom::STALL_LIMIT,
    ready::{ReadyStep, ReadySteps},
    run_state::GroupId,
    server_capacity::ServerCapacity,
    sharing::Account,
};

/// A job that is later than this many times its objective is too late to matter and goes behind the others.
const MAX_LATENESS_IN_OBJECTIVES: f64 = 3.0;

/// Groups of one step that could start.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    pub(crate) occurrence: OccurrenceId,
    pub(crate) step: usize,
    pub(crate) groups: Vec<usize>,
    pub(crate) priority: u32,
    /// Whether the customer's guarantee covers it.
    pub(crate) guaranteed: bool,
    /// Whether its tasks run until the job is cancelled. They must be restarted soon however full the service is.
    pub(crate) long_running: bool,
    /// Whether a backend server crashed during its start. It is placed separately until a run has survived its start.
    pub(crate) suspected: bool,
    /// Whether its run is still being stopped since its backend server departs: capacity is only reserved for it.
    pub(crate) is_moving: bool,
    /// See [`ReadyStep::is_rest_of_step`].
    pub(crate) is_rest_of_step: bool,
    /// Whether nothing of its occurrence has run for [`STALL_LIMIT`], although something could, or it consists of
    /// long-running groups that have waited as long.
    pub(crate) is_stalled: bool,
    /// Where it is counted for fair shares.
    pub(crate) account: Account,
    /// Resources of one group.
    pub(crate) group_resources: Resources,
    /// Whether its groups lie beyond the fair share of its customer, counting what the customer holds and its earlier
    /// candidates.
    pub(crate) is_beyond_share: bool,
    /// Whether it is so late that it goes behind the others of its priority.
    too_late: bool,
    /// Deadline of the job, in wall-clock milliseconds; the start of its time if deadlines do not order candidates.
    deadline_ms: u64,
    /// Wall-clock milliseconds from which on half of the slack of the job is used up.
    half_slack_ms: u64,
}

impl Candidate {
    pub(crate) fn step_id(&self) -> StepId {
        StepId { occurrence: self.occurrence, step: self.step as u32 }
    }

    /// Returns a candidate of one group that is only used to find out what the group requires.
    pub(crate) fn for_diagnosis(name: GroupId) -> Candidate {
        Candidate {
            occurrence: name.occurrence,
            step: name.step,
            groups: vec![name.group],
            priority: u32::MAX,
            guaranteed: false,
            long_running: false,
            suspected: false,
            is_moving: false,
            is_rest_of_step: false,
            is_stalled: false,
            account: Account::default(),
            group_resources: Resources::default(),
            is_beyond_share: false,
            too_late: false,
            deadline_ms: u64::MAX,
            half_slack_ms: u64::MAX,
        }
    }

    /// Returns its order among other candidates, apart from guarantees.
    pub(crate) fn urgency(&self) -> Urgency {
        Urgency { priority: self.priority, too_late: self.too_late, deadline_ms: self.deadline_ms }
    }

    pub(crate) fn group(&self, group: usize) -> GroupId {
        GroupId { occurrence: self.occurrence, step: self.step, group }
    }

    /// Returns the key of the order in which candidates are placed.
    pub(crate) fn order(&self) -> impl Ord + use<> {
        let Candidate { priority, guaranteed, is_beyond_share, too_late, deadline_ms, occurrence, step, .. } = *self;
        (priority, !guaranteed, is_beyond_share, too_late, deadline_ms, occurrence, step)
    }

    /// Marks the groups beyond the first `within` as beyond the share. Returns them as another candidate if both parts
    /// have any.
    pub(crate) fn split_at_share(&mut self, within: usize) -> Option<Candidate> {
        if within == 0 {
            self.is_beyond_share = true;
            return None;
        }
        if within >= self.groups.len() {
            return None;
        }
        let groups = self.groups.split_off(within);
        Some(Candidate { groups, is_beyond_share: true, ..self.clone() })
    }

    /// Whether it has waited for half of its slack, the longest time for which smaller jobs may overtake it, and is
    /// not too late to matter.
    pub(crate) fn is_overdue(&self, wall_ms: u64) -> bool {
        wall_ms >= self.half_slack_ms && !self.too_late
    }
}

/// What a step's tasks require of a backend server.
pub(crate) struct Requirements<'a> {
    pub(crate) step: &'a Step,
    pub(crate) need: Resources,
    pub(crate) service: &'a ServiceId,
    /// Whether runs may be preempted for it.
    pub(crate) urgent: bool,
    /// Whether independent tasks take fast backend servers first: they are urgent, or they start again and all else of
    /// their step is done, so that the job waits for them alone.
    pub(crate) prefers_fast: bool,
    /// Whether half of the slack of the job is used up.
    pub(crate) slack_half_used: bool,
    /// See [`Candidate::is_stalled`]; it then accepts any backend server that can run it.
    pub(crate) is_stalled: bool,
    /// Whether a run of the step has failed before, so that one more failure is costly.
    has_failed: bool,
    /// Whether one more crash during the start may fail the job.
    last_attempt: bool,
    /// Tasks of the step that are placed on each backend server; empty if the step has no limit per backend server.
    placed_per_server: BTreeMap<&'a BackendServerId, u64>,
    /// Backend servers with a valid permit for the step; `None` if the queue needs no permits.
    allowed: Option<BTreeSet<&'a BackendServerId>>,
}

impl Requirements<'_> {
    /// Returns whether a task of the step may start on the backend server now.
    pub(crate) fn allows(&self, server: &ServerCapacity) -> bool {
        let is_permitted = self.allowed.as_ref().is_none_or(|allowed| allowed.contains(&server.id));
        is_permitted && self.could_run(server)
    }

    /// Returns whether a task of the step could run on the backend server, regardless of permits.
    pub(crate) fn could_run(&self, server: &ServerCapacity) -> bool {
        let has_label = self.step.label.as_ref().is_none_or(|label| server.labels.contains(label));
        let is_trusted =
            self.is_stalled || !(server.quarantined || server.has_isolated_retry || self.has_failed && server.suspect);
        let is_trusted = is_trusted && !(server.has_isolated_retry && self.last_attempt);
        *self.service == server.service && is_trusted && has_label && server.capacity.contains(&self.need)
    }

    /// Returns how many more tasks of the step its limit per backend server allows.
    fn left_by_server_limit(&self, id: &BackendServerId) -> u64 {
        let Some(most) = self.step.max_per_server else { return u64::MAX };
        u64::from(most).saturating_sub(self.placed_per_server.get(id).copied().unwrap_or(0))
    }

    /// Returns how many more tasks of the step fit into the free resources of a backend server.
    pub(crate) fn fitting(&self, id: &BackendServerId, free: &Resources) -> u64 {
        free.count_of(&self.need).min(self.left_by_server_limit(id))
    }
}

/// Returns the resources of one group of a step.
fn group_resources(step: &Step) -> Resources {
    step.counted_resources().times(if step.gang { u64::from(step.count) } else { 1 })
}

impl Scheduler {
    /// Returns the candidate that a group will be once its run has been stopped.
    pub(crate) fn candidate_after_stop(&self, name: GroupId, wall_ms: u64) -> Option<Candidate> {
        let step = ReadyStep { step: name.step, groups: vec![name.group], ..ReadyStep::default() };
        let candidate = self.candidates_of(name.occurrence, &vec![step], wall_ms).pop()?;
        // For fair shares, its tasks count as placed until they have stopped.
        Some(Candidate { is_moving: true, account: Account::default(), ..candidate })
    }

    /// Returns what could start now and `moving`, in the order in which it is to be placed.
    pub(crate) fn candidates(
        &mut self,
        wall_ms: u64,
        moving: Vec<Candidate>,
        guarantees: &mut Guarantees,
    ) -> Vec<Candidate> {
        let mut found: Vec<Candidate> =
            self.ready.iter().flat_map(|(&id, steps)| self.candidates_of(id, steps, wall_ms)).collect();
        found.extend(moving);
        found.sort_by_key(|c| (c.priority, c.too_late, c.deadline_ms, c.occurrence, c.step));
        // Guarantees are handed out in this order; candidates that they cover then go before the rest of their
        // priority.
        for candidate in found.iter_mut().filter(|candidate| candidate.priority == 0 && !candidate.is_moving) {
            candidate.guaranteed = self.take_guarantee(candidate, guarantees);
        }
        found.sort_by_key(|c| (c.priority, !c.guaranteed));
        self.order_by_shares(&mut found);
        found
    }

    /// Returns what could start now of one occurrence; nothing before it is due or while its queue is not configured.
    fn candidates_of(&self, occurrence: OccurrenceId, steps: &ReadySteps, wall_ms: u64) -> Vec<Candidate> {
        let entry = &self.jobs[&occurrence.job];
        let Some(queue) = self.policy.queues.get(&entry.job.queue) else { return Vec::new() };
        let due = entry.job.due_ms(occurrence.number);
        if due > 0 && wall_ms < due.saturating_add(self.timing.due_margin.millis()) {
            return Vec::new();
        }
        let state = self.occurrence(occurrence);
        let objective = state.chain.scaled(queue.stretch) + queue.objective;
        let from = due.max(entry.job.accepted_ms);
        let since_due = Duration::from_millis(wall_ms.saturating_sub(due));
        let idle_since = state.idle_since.filter(|_| !state.is_placed);
        let idle = idle_since.map_or(Duration::ZERO, |since| self.plan_clocks.0.since(since));
        let slack = objective.millis().saturating_sub(state.chain.millis());
        let is_stalled = idle.min(since_due) >= STALL_LIMIT;
        let candidate = |ready: &ReadyStep, groups: Vec<usize>, suspected: bool, is_stalled: bool| Candidate {
            occurrence,
            step: ready.step,
            groups,
            suspected,
            is_moving: false,
            is_rest_of_step: ready.is_rest_of_step,
            is_stalled,
            priority: queue.priority,
            guaranteed: false,
            account: entry.account,
            group_resources: group_resources(&entry.job.steps[ready.step]),
            is_beyond_share: false,
            long_running: entry.job.steps[ready.step].long_running,
            too_late: wall_ms > from.saturating_add(objective.scaled(MAX_LATENESS_IN_OBJECTIVES).millis()),
            half_slack_ms: from.saturating_add(slack / 2),
            deadline_ms: if self.timing.tuning.deadline_order { from.saturating_add(objective.millis()) } else { from },
        };
        let mut candidates = Vec::new();
        for ready in steps {
            let has_waited =
                |group: &usize| is_stalled || self.has_stalled_long_running(occurrence, ready.step, *group);
            let (stalled, others): (Vec<usize>, Vec<usize>) = ready.groups.iter().partition(|group| has_waited(group));
            for (groups, is_stalled) in [(stalled, true), (others, false)] {
                if !groups.is_empty() {
                    candidates.push(candidate(ready, groups, false, is_stalled));
                }
            }
            // Suspected groups are separate candidates, so that each sees the capacity that the one before has
            // claimed.
            let suspected = ready.suspected.iter();
            candidates.extend(suspected.map(|group| candidate(ready, vec![*group], true, has_waited(group))));
        }
        candidates
    }

    /// Returns whether a group is long-running and has waited for [`STALL_LIMIT`] to be placed, whatever else of its
    /// occurrence runs: its tasks do not end, so that the others tell nothing about when it is placed.
    fn has_stalled_long_running(&self, occurrence: OccurrenceId, step: usize, group: usize) -> bool {
        let is_long_running = self.jobs[&occurrence.job].job.steps[step].long_running;
        let ready_since = self.occurrence(occurrence).groups[step][group].ready_since;
        let waited = ready_since.map_or(Duration::ZERO, |since| self.plan_clocks.0.since(since));
        is_long_running && waited >= STALL_LIMIT
    }

    /// Takes the accelerators of all groups of a candidate from its customer's guarantee; returns `false` and takes
    /// nothing if the guarantee does not cover all of them.
    fn take_guarantee(&self, candidate: &Candidate, guarantees: &mut Guarantees) -> bool {
        let job = &self.jobs[&candidate.occurrence.job].job;
        let step = &job.steps[candidate.step];
        let tasks = if step.gang { u64::from(step.count) } else { candidate.groups.len() as u64 };
        guarantees.take(job.customer.as_ref(), step.need.accelerators * tasks)
    }

    /// Returns what a candidate requires of a backend server; `None` if the job's queue is not configured.
    pub(crate) fn requirements(&self, candidate: &Candidate, now: Moment) -> Option<Requirements<'_>> {
        let entry = &self.jobs[&candidate.occurrence.job];
        let queue = self.policy.queues.get(&entry.job.queue)?;
        let step = &entry.job.steps[candidate.step];
        let occurrence = self.occurrence(candidate.occurrence);
        let mut placed_per_server = BTreeMap::new();
        if step.max_per_server.is_some() {
            let groups = &occurrence.groups[candidate.step];
            for member in groups.iter().flat_map(|group| &group.members) {
                *placed_per_server.entry(&member.server).or_insert(0) += 1;
            }
        }
        let progress = &occurrence.progress.groups[candidate.step];
        let has_failed = progress.iter().any(|group| !group.failed_runs.is_empty());
        let last_attempt = candidate.groups.iter().any(|&group| is_last_attempt(&progress[group]));
        let need = step.counted_resources();
        let urgent = queue.priority == 0 || step.long_running;
        let prefers_fast = urgent || candidate.is_rest_of_step;
        let allowed = queue.permits.map(|_| self.permits.allowed(candidate.step_id(), now));
        let slack_half_used = self.wall_ms(now) >= candidate.half_slack_ms;
        let is_stalled = candidate.is_stalled;
        Some(Requirements {
            step,
            need,
            service: &queue.service,
            urgent,
            prefers_fast,
            slack_half_used,
            is_stalled,
            has_failed,
            last_attempt,
            placed_per_server,
            allowed,
        })
    }
}
