//! Checks that no job is stalled: a job with nothing running must start something if a task of it could run and there
//! is capacity.
//!
//! The platform's rule applies in calm: for 3 s, while nothing disturbs the system then or in the 4 s before. Used and
//! free capacity is what the backend servers run, not what a scheduler assumes.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use jobs::{Fence, JobId, OccurrenceId, Resources, Step, TaskId};
use model::{AvailabilityZoneId, BackendServerId, Incarnation};
use scheduler::CompletionKind;

use super::{
    server::FakeServer,
    world::{ATTEMPTS, Leader, World},
};

/// Time for which a job may be stalled (platform rules).
const STALL_LIMIT_MS: u64 = 3000;
/// Delay of that limit after a disturbance (platform rules).
const CALM_MS: u64 = 4000;
/// Multiple of a group's resources that must be free (platform rules).
const CAPACITY_FACTOR: u64 = 2;

/// External state of the system; a change of it is a disturbance.
#[derive(Debug, Default, PartialEq, Eq)]
struct Surroundings {
    servers: Vec<(BackendServerId, Incarnation, Resources, bool, bool)>,
    holder: Fence,
    evacuated: BTreeSet<AvailabilityZoneId>,
}

/// State of the check between steps.
#[derive(Debug, Default)]
pub(crate) struct StallCheck {
    pub(crate) enabled: bool,
    surroundings: Surroundings,
    disturbed_at: u64,
    /// Stalled jobs, and since when, in milliseconds.
    stalled_since: BTreeMap<JobId, u64>,
}

impl World {
    /// Checks for stalled jobs; called after every time step.
    pub(crate) fn check_stalled(&mut self) {
        if !self.stall_check.enabled {
            return;
        }
        let surroundings = self.surroundings();
        if surroundings != self.stall_check.surroundings || self.is_disturbed() {
            self.stall_check.disturbed_at = self.now;
            self.stall_check.surroundings = surroundings;
        }
        let free = self.free_capacity();
        let little_used = self.is_little_used();
        let now = self.now;
        let calm_since = self.stall_check.disturbed_at + CALM_MS;
        for id in self.jobs.keys().copied().collect::<Vec<_>>() {
            let group = if little_used { self.stalled_group(id, &free) } else { None };
            let Some((step, index)) = group else {
                self.stall_check.stalled_since.remove(&id);
                continue;
            };
            let since = *self.stall_check.stalled_since.entry(id).or_insert(now);
            let bound = since.max(calm_since) + STALL_LIMIT_MS;
            assert!(now <= bound, "{}", self.describe_stalled(id, step, index, since));
        }
    }

    fn surroundings(&self) -> Surroundings {
        let server = |server: &FakeServer| {
            let is_draining = server.leaves_at.is_some();
            (server.id.clone(), server.incarnation, server.info.capacity, is_draining, server.listed)
        };
        Surroundings {
            servers: self.servers.values().map(server).collect(),
            holder: self.holder,
            evacuated: self.evacuated.keys().cloned().collect(),
        }
    }

    /// Returns whether a disturbance is in progress.
    fn is_disturbed(&self) -> bool {
        let until = [
            self.store_down_until,
            self.lose_writes_until,
            self.lose_orders_until,
            self.drop_orders_until,
            self.fail_tasks_until,
        ];
        let is_impaired = |server: &FakeServer| {
            server.cut_until.max(server.replies_lost_until) > self.now || server.leaves_at.is_some() || !server.listed
        };
        // A leader that has not learned of an evacuation or of its end counts as cut off from the operators.
        let is_informed = |leader: &Leader| leader.evacuated.iter().eq(self.evacuated.keys());
        let cut_off = |leader: &Leader| leader.cut_off.until > self.now;
        let is_led =
            self.leaders.iter().any(|leader| leader.alive && leader.fence == self.holder && is_informed(leader));
        until.iter().any(|until| *until > self.now)
            || self.servers.values().any(is_impaired)
            || self.leaders.iter().any(cut_off)
            || !is_led
    }

    /// Returns the free capacity of each backend server that accepts work.
    fn free_capacity(&self) -> Vec<FreeCapacity> {
        let accepts_work = |server: &&FakeServer| {
            let open = server.listed && server.leaves_at.is_none() && server.cut_until <= self.now;
            open && !self.evacuated.contains_key(&server.info.availability_zone)
        };
        let free = |server: &FakeServer| {
            let mut free = server.info.capacity;
            free.remove(&self.taken_on(server));
            FreeCapacity { rack: Arc::clone(&server.info.rack), labels: server.info.labels.clone(), free }
        };
        self.servers.values().filter(accepts_work).map(free).collect()
    }

    fn taken_on(&self, server: &FakeServer) -> Resources {
        let mut taken = Resources::default();
        for task in server.running.keys() {
            taken.add(&self.step_of(*task).need);
        }
        taken
    }

    fn step_of(&self, task: TaskId) -> &Step {
        &self.jobs[&task.occurrence.job].steps[task.step as usize]
    }

    /// Returns whether less than half of the service's accelerators are in use.
    fn is_little_used(&self) -> bool {
        let all: u64 = self.servers.values().map(|server| server.info.capacity.accelerators).sum();
        let taken: u64 = self.servers.values().map(|server| self.taken_on(server).accelerators).sum();
        2 * taken < all
    }

    /// Returns a step and task index that could run if the job is stalled.
    fn stalled_group(&self, id: JobId, free: &[FreeCapacity]) -> Option<(usize, u32)> {
        let occurrence = OccurrenceId { job: id, number: 0 };
        let runs = |server: &FakeServer| server.running.keys().any(|task| task.occurrence == occurrence);
        if self.cancelled.contains_key(&id) || self.has_no_attempts(id) || self.servers.values().any(runs) {
            return None;
        }
        let steps = &self.jobs[&id].steps;
        let task = |step: usize, index: u32| TaskId { occurrence, step: step as u32, index };
        let done = |step: usize| (0..steps[step].count).all(|index| self.is_done(task(step, index)));
        let mut ready = (0..steps.len()).filter(|&s| steps[s].after.iter().all(|&earlier| done(earlier)));
        ready.find_map(|s| {
            let index = (0..steps[s].count).find(|&index| !self.is_done(task(s, index)))?;
            has_spare_capacity(&steps[s], free).then_some((s, index))
        })
    }

    /// Returns whether a task was done and its completion is not lost.
    fn is_done(&self, task: TaskId) -> bool {
        let Some(seen) = self.seen.get(&task).filter(|seen| seen.done_at.is_some()) else { return false };
        let group = if self.step_of(task).gang { 0 } else { task.index as usize };
        let stored = || {
            let progress = self.stored.get(&task.occurrence).map(|(progress, _)| progress);
            progress.is_some_and(|progress| progress.groups[task.step as usize][group].done)
        };
        let listed = || {
            let mut completions = self.servers.values().flat_map(|server| &server.completions);
            completions.any(|completion| completion.task == task && completion.kind == CompletionKind::Done)
        };
        seen.done_acknowledged || stored() || listed()
    }

    /// Returns whether a job has failed or has a task with no attempts left.
    fn has_no_attempts(&self, id: JobId) -> bool {
        let stored = self.stored.get(&OccurrenceId { job: id, number: 0 });
        let steps = &self.jobs[&id].steps;
        let failures = |s: usize, gang: bool| {
            let seen = self.seen.iter().filter(|(task, _)| task.occurrence.job == id && task.step as usize == s);
            let failures = seen.map(|(_, seen)| seen.failures);
            if gang { failures.sum::<usize>() } else { failures.max().unwrap_or(0) }
        };
        let is_exhausted = || steps.iter().enumerate().any(|(s, step)| failures(s, step.gang) >= ATTEMPTS);
        stored.is_some_and(|(progress, _)| progress.failed) || is_exhausted()
    }

    fn describe_stalled(&self, id: JobId, step: usize, index: u32, since: u64) -> String {
        let stored = self.stored.get(&OccurrenceId { job: id, number: 0 });
        let current = self.leaders.iter().rfind(|leader| leader.alive && leader.fence == self.holder);
        let group = if self.jobs[&id].steps[step].gang { 0 } else { index as usize };
        let placed = stored.map(|(progress, _)| format!("{:?}", progress.groups[step][group]));
        let leader_state =
            current.map(|leader| (leader.fence, leader.scheduler.job_status(id).map(|(state, _)| state)));
        let counts = current.map(|leader| leader.scheduler.counts());
        let taken =
            self.servers.values().map(|s| (s.id.clone(), s.info.capacity.accelerators, self.taken_on(s).accelerators));
        format!(
            "job {id} stalled since {since}, at {} with task {step}.{index} that could run; last disturbed at {}; \
             stored: {}; the scheduler (fence, state): {leader_state:?}, {counts:?}; accelerators and taken ones: {:?}",
            self.now,
            self.stall_check.disturbed_at,
            placed.unwrap_or_else(|| "nothing".to_owned()),
            taken.collect::<Vec<_>>(),
        )
    }
}

/// Free capacity of one backend server.
#[derive(Debug)]
struct FreeCapacity {
    rack: Arc<str>,
    labels: Vec<Arc<str>>,
    free: Resources,
}

impl FreeCapacity {
    /// Returns how many tasks of a step fit, with its label and near its data.
    fn fitting(&self, step: &Step) -> u64 {
        let has_label = step.label.as_ref().is_none_or(|label| self.labels.contains(label));
        let is_near = step.data_rack.as_ref().is_none_or(|rack| *rack == self.rack);
        let most = step.max_per_server.map_or(u64::MAX, u64::from);
        if has_label && is_near { self.free.count_of(&step.need).min(most) } else { 0 }
    }
}

/// Returns whether there is twice the capacity that a group of a step needs: a whole gang, or one task.
fn has_spare_capacity(step: &Step, free: &[FreeCapacity]) -> bool {
    let tasks = CAPACITY_FACTOR * if step.gang { u64::from(step.count) } else { 1 };
    let fitting = |rack: Option<&Arc<str>>| {
        let counts = free.iter().filter(|free| rack.is_none_or(|rack| free.rack == *rack));
        counts.map(|free| free.fitting(step)).sum::<u64>()
    };
    if !(step.gang && step.same_rack) {
        return fitting(None) >= tasks;
    }
    free.iter().any(|free| fitting(Some(&free.rack)) >= tasks)
}
