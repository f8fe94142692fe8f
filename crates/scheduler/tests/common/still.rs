//! That nothing stands still: a job of which nothing runs, though a task of it could run and there is room, must not be left so.
//!
//! The users' rule asks for it in calm: for 3 s, while nothing disturbs the system then or in the 4 s before. What
//! counts as taken and as free is what the backend servers run, not what a scheduler believes.

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

/// A job may stand still for so long (users' rules).
const STILL_MS: u64 = 3000;
/// After a disturbance that time begins so much later (users' rules).
const CALM_MS: u64 = 4000;
/// Room for so many times what a group needs must be free (users' rules).
const TIMES_ITS_ROOM: u64 = 2;

/// What shows that something has happened to the system from outside, when it changes.
#[derive(Debug, Default, PartialEq, Eq)]
struct Surroundings {
    servers: Vec<(BackendServerId, Incarnation, Resources, bool, bool)>,
    holder: Fence,
    evacuated: BTreeSet<AvailabilityZoneId>,
}

/// What the check remembers from step to step.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    /// Whether the check is made.
    pub(crate) on: bool,
    surroundings: Surroundings,
    disturbed_at: u64,
    /// Jobs that stand still, and since when.
    still: BTreeMap<JobId, u64>,
}

impl World {
    /// Asked after every step of time.
    pub(crate) fn check_still(&mut self) {
        if !self.watch.on {
            return;
        }
        let surroundings = self.surroundings();
        if surroundings != self.watch.surroundings || self.is_disturbed() {
            self.watch.disturbed_at = self.now;
            self.watch.surroundings = surroundings;
        }
        let free = self.free_room();
        let little_used = self.is_little_used();
        let now = self.now;
        let calm_since = self.watch.disturbed_at + CALM_MS;
        for id in self.jobs.keys().copied().collect::<Vec<_>>() {
            let group = if little_used { self.stands_still(id, &free) } else { None };
            let Some((step, index)) = group else {
                self.watch.still.remove(&id);
                continue;
            };
            let since = *self.watch.still.entry(id).or_insert(now);
            let bound = since.max(calm_since) + STILL_MS;
            assert!(now <= bound, "{}", self.describe_still(id, step, index, since));
        }
    }

    fn surroundings(&self) -> Surroundings {
        let server = |server: &FakeServer| {
            let leaves = server.leaves_at.is_some();
            (server.id.clone(), server.incarnation, server.info.capacity, leaves, server.listed)
        };
        Surroundings {
            servers: self.servers.values().map(server).collect(),
            holder: self.holder,
            evacuated: self.evacuated.keys().cloned().collect(),
        }
    }

    /// Whether a disturbance lasts.
    fn is_disturbed(&self) -> bool {
        let until = [
            self.store_down_until,
            self.lose_writes_until,
            self.lose_orders_until,
            self.drop_orders_until,
            self.fail_tasks_until,
        ];
        let out_of_reach = |server: &FakeServer| {
            server.cut_until.max(server.mute_until) > self.now || server.leaves_at.is_some() || !server.listed
        };
        // One that has not heard of an evacuation, or of its end, is cut off from the operators' word.
        let told = |leader: &Leader| leader.evacuated.iter().eq(self.evacuated.keys());
        let cut_off = |leader: &Leader| leader.cut_off.until > self.now;
        let in_office = self.leaders.iter().any(|leader| leader.alive && leader.fence == self.holder && told(leader));
        until.iter().any(|until| *until > self.now)
            || self.servers.values().any(out_of_reach)
            || self.leaders.iter().any(cut_off)
            || !in_office
    }

    /// What is free on each backend server that takes work.
    fn free_room(&self) -> Vec<Free> {
        let takes_work = |server: &&FakeServer| {
            let open = server.listed && server.leaves_at.is_none() && server.cut_until <= self.now;
            open && !self.evacuated.contains_key(&server.info.availability_zone)
        };
        let free = |server: &FakeServer| {
            let mut free = server.info.capacity;
            free.remove(&self.taken_on(server));
            Free { rack: Arc::clone(&server.info.rack), labels: server.info.labels.clone(), free }
        };
        self.servers.values().filter(takes_work).map(free).collect()
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

    /// Whether less than half of the service's accelerators are in use.
    fn is_little_used(&self) -> bool {
        let all: u64 = self.servers.values().map(|server| server.info.capacity.accelerators).sum();
        let taken: u64 = self.servers.values().map(|server| self.taken_on(server).accelerators).sum();
        2 * taken < all
    }

    /// A step and a task of a job that stands still; `None` if it does not.
    fn stands_still(&self, id: JobId, free: &[Free]) -> Option<(usize, u32)> {
        let occurrence = OccurrenceId { job: id, number: 0 };
        let runs = |server: &FakeServer| server.running.keys().any(|task| task.occurrence == occurrence);
        if self.cancelled.contains_key(&id) || self.is_given_up(id) || self.servers.values().any(runs) {
            return None;
        }
        let steps = &self.jobs[&id].steps;
        let task = |step: usize, index: u32| TaskId { occurrence, step: step as u32, index };
        let done = |step: usize| (0..steps[step].count).all(|index| self.is_done(task(step, index)));
        let mut turn = (0..steps.len()).filter(|&s| steps[s].after.iter().all(|&earlier| done(earlier)));
        turn.find_map(|s| {
            let index = (0..steps[s].count).find(|&index| !self.is_done(task(s, index)))?;
            has_room(&steps[s], free).then_some((s, index))
        })
    }

    /// Whether a task was done, and that is not lost.
    fn is_done(&self, task: TaskId) -> bool {
        let Some(seen) = self.seen.get(&task).filter(|seen| seen.done_at.is_some()) else { return false };
        let group = if self.step_of(task).gang { 0 } else { task.index as usize };
        let stored = || {
            let progress = self.stored.get(&task.occurrence).map(|(progress, _)| progress);
            progress.is_some_and(|progress| progress.groups[task.step as usize][group].done)
        };
        let listed = || {
            let mut ends = self.servers.values().flat_map(|server| &server.ended);
            ends.any(|end| end.task == task && end.kind == CompletionKind::Done)
        };
        seen.done_noted || stored() || listed()
    }

    /// Whether a job has failed, or has a task that is owed no further start.
    fn is_given_up(&self, id: JobId) -> bool {
        let stored = self.stored.get(&OccurrenceId { job: id, number: 0 });
        let steps = &self.jobs[&id].steps;
        let failures = |s: usize, gang: bool| {
            let seen = self.seen.iter().filter(|(task, _)| task.occurrence.job == id && task.step as usize == s);
            let failures = seen.map(|(_, seen)| seen.failures);
            if gang { failures.sum::<usize>() } else { failures.max().unwrap_or(0) }
        };
        let spent = || steps.iter().enumerate().any(|(s, step)| failures(s, step.gang) >= ATTEMPTS);
        stored.is_some_and(|(progress, _)| progress.failed) || spent()
    }

    fn describe_still(&self, id: JobId, step: usize, index: u32, since: u64) -> String {
        let stored = self.stored.get(&OccurrenceId { job: id, number: 0 });
        let in_office = self.leaders.iter().rfind(|leader| leader.alive && leader.fence == self.holder);
        let group = if self.jobs[&id].steps[step].gang { 0 } else { index as usize };
        let placed = stored.map(|(progress, _)| format!("{:?}", progress.groups[step][group]));
        let believes = in_office.map(|leader| (leader.fence, leader.scheduler.job_status(id).map(|(state, _)| state)));
        let counts = in_office.map(|leader| leader.scheduler.counts());
        let taken =
            self.servers.values().map(|s| (s.id.clone(), s.info.capacity.accelerators, self.taken_on(s).accelerators));
        format!(
            "job {id} stands still since {since}, at {} with task {step}.{index} that could run; last disturbed at {}; stored: {}; the \
             scheduler (fence, state): {believes:?}, {counts:?}; accelerators and taken ones: {:?}",
            self.now,
            self.watch.disturbed_at,
            placed.unwrap_or_else(|| "nothing".to_owned()),
            taken.collect::<Vec<_>>(),
        )
    }
}

/// Room on one backend server.
#[derive(Debug)]
struct Free {
    rack: Arc<str>,
    labels: Vec<Arc<str>>,
    free: Resources,
}

impl Free {
    /// How many tasks of a step it may take, near their data.
    fn fitting(&self, step: &Step) -> u64 {
        let labelled = step.label.as_ref().is_none_or(|label| self.labels.contains(label));
        let near = step.data_rack.as_ref().is_none_or(|rack| *rack == self.rack);
        let most = step.max_per_server.map_or(u64::MAX, u64::from);
        if labelled && near { self.free.count_of(&step.need).min(most) } else { 0 }
    }
}

/// Whether there is twice the room that a group of a step needs: all of a gang, or one task.
fn has_room(step: &Step, free: &[Free]) -> bool {
    let tasks = TIMES_ITS_ROOM * if step.gang { u64::from(step.count) } else { 1 };
    let fitting = |rack: Option<&Arc<str>>| {
        let counts = free.iter().filter(|free| rack.is_none_or(|rack| free.rack == *rack));
        counts.map(|free| free.fitting(step)).sum::<u64>()
    };
    if !(step.gang && step.same_rack) {
        return fitting(None) >= tasks;
    }
    free.iter().any(|free| fitting(Some(&free.rack)) >= tasks)
}
