//! What is stopped so that an urgent group can start.

use std::{collections::BTreeMap, sync::Arc};

use jobs::{Resources, TaskId};
use model::{BackendServerId, Moment};

use crate::{
    Scheduler,
    candidate::{Candidate, Requirements},
    fleet_capacity::FleetCapacity,
    guarantee::Guarantees,
    placement::is_near,
    run_state::{Group, GroupId, Member, StopReason},
    server_capacity::ServerCapacity,
};

/// Work that a run with checkpoints loses at most, in seconds: what it does between two (users: 0.5 s and 1 s).
const UNSAVED_S: f64 = 0.5;
/// What starting again costs besides, in seconds: stopping, waiting for room and reading the checkpoint.
const RESTART_S: f64 = 0.5;
/// A task that lasts is at work from this percentage on (users' protocol page).
const AT_WORK: u32 = 100;
/// A core counts one, an accelerator as much as this many cores, when work is weighed (users' rules page).
const CORES_PER_ACCELERATOR: f64 = 8.0;

/// A run that may be stopped, with what it holds on one backend server.
#[derive(Debug)]
struct Victim {
    group: GroupId,
    /// Core-seconds that would be thrown away.
    waste: f64,
    freed: Resources,
}

/// What making room for some tasks on one backend server takes.
#[derive(Debug, Clone)]
struct Offer {
    /// Tasks that would fit.
    tasks: u64,
    /// Core-seconds that would be thrown away.
    waste: f64,
    /// The same for each task that is wanted.
    rate: f64,
    victims: Vec<GroupId>,
}

impl Offer {
    fn of(tasks: u64, waste: f64, requested: u64) -> Offer {
        let rate = if tasks == 0 { f64::INFINITY } else { waste / tasks.min(requested) as f64 };
        Offer { tasks, waste, rate, victims: Vec::new() }
    }

    fn for_at_most(self, tasks: u64) -> Offer {
        Offer { tasks: self.tasks.min(tasks), ..self }
    }
}

/// Tasks that room is made for, by whether they go to any place.
struct Takers<'a> {
    scheduler: &'a Scheduler,
    /// Tasks of each group.
    each: u64,
    /// Groups that keep off nothing.
    easy: u64,
    /// The others.
    choosy: Vec<GroupId>,
    now: Moment,
}

impl Takers<'_> {
    /// How many tasks would go to a room.
    fn of(&self, server: &ServerCapacity) -> u64 {
        self.count(|name| self.goes(name, server))
    }

    /// How many would go to any of these.
    fn of_any(&self, fleet: &[&ServerCapacity]) -> u64 {
        self.count(|name| fleet.iter().any(|server| self.goes(name, server)))
    }

    fn goes(&self, name: GroupId, server: &ServerCapacity) -> bool {
        !self.scheduler.avoids(name, server, self.now)
    }

    fn count(&self, goes: impl Fn(GroupId) -> bool) -> u64 {
        let choosy = self.choosy.iter().filter(|name| goes(**name)).count() as u64;
        self.each * (self.easy + choosy)
    }
}

impl Scheduler {
    /// Stops the cheapest runs that make room for groups of a step of priority 0: its gang, or tasks that each run by themselves.
    pub(crate) fn preempt_for(
        &mut self,
        candidate: &Candidate,
        groups: &[usize],
        fleet: &mut FleetCapacity,
        guarantees: &Guarantees,
        now: Moment,
    ) {
        if !self.timing.tuning.preemption {
            return;
        }
        let (waste, victims) = self.victims(candidate, groups, fleet, guarantees, now);
        if victims.is_empty() || !candidate.guaranteed && waste > self.most_waste(candidate, groups) {
            return;
        }
        log::info!(
            "job={} event=preempting victims={} guaranteed={}",
            candidate.occurrence.job,
            victims.len(),
            candidate.guaranteed
        );
        for victim in victims {
            // First, since a run that was not ordered yet is gone once it is stopped, and with it where it was placed.
            self.release_after_stops(victim, fleet);
            self.stop_group(victim, StopReason::Preempted, now);
        }
    }

    /// Counts what a victim holds as room that is being made.
    fn release_after_stops(&self, victim: GroupId, fleet: &mut FleetCapacity) {
        let need = self.step(victim).counted_resources();
        for member in &self.group(victim).members {
            fleet.release_after_stops(&member.server, &need);
        }
    }

    /// The runs to be stopped, in one rack if the step asks for one; none if no room can be made.
    fn victims(
        &self,
        candidate: &Candidate,
        groups: &[usize],
        fleet: &FleetCapacity,
        guarantees: &Guarantees,
        now: Moment,
    ) -> (f64, Vec<GroupId>) {
        let Some(requirements) = self.requirements(candidate, now) else { return (0.0, Vec::new()) };
        // Nothing is stopped where no task of the step goes.
        let far = requirements.step.gang || self.remote_is_worthwhile(candidate, requirements.step, fleet, now);
        let goes_there = |server: &ServerCapacity| far || is_near(requirements.step, &server.rack);
        let takers = self.takers(candidate, &requirements, groups, now);
        let mut by_rack: BTreeMap<Option<&Arc<str>>, Vec<Offer>> = BTreeMap::new();
        // A run on trial is not stopped: its trial would begin anew.
        let may_give =
            |server: &&ServerCapacity| !server.has_isolated_retry && requirements.allows(server) && goes_there(server);
        let giving: Vec<&ServerCapacity> = fleet.iter().map(|(_, server)| server).filter(may_give).collect();
        let count = takers.of_any(&giving);
        for server in giving {
            let rack = requirements.step.same_rack.then_some(&server.rack);
            let takers = takers.of(server).min(count);
            if takers == 0 {
                continue;
            }
            let offer = self.best_offer(candidate, takers, &requirements, server, guarantees, now);
            by_rack.entry(rack).or_default().extend(offer.map(|offer| offer.for_at_most(takers)));
        }
        let cheapest = by_rack.into_values().filter_map(|offers| cheapest(offers, count));
        cheapest.min_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or_default()
    }

    /// Who would take room for groups of a step where it is made.
    fn takers<'a>(
        &'a self,
        candidate: &'a Candidate,
        requirements: &Requirements<'_>,
        groups: &'a [usize],
        now: Moment,
    ) -> Takers<'a> {
        let each = if requirements.step.gang { u64::from(requirements.step.count) } else { 1 };
        let picks = |group: &&usize| !requirements.is_stalled && self.may_avoid(candidate.group(**group), now);
        let choosy: Vec<GroupId> = groups.iter().filter(picks).map(|&group| candidate.group(group)).collect();
        Takers { scheduler: self, each, easy: (groups.len() - choosy.len()) as u64, choosy, now }
    }

    /// What one backend server offers at the least waste for each task: the cheapest of its runs are stopped first.
    fn best_offer(
        &self,
        candidate: &Candidate,
        count: u64,
        requirements: &Requirements<'_>,
        server: &ServerCapacity,
        guarantees: &Guarantees,
        now: Moment,
    ) -> Option<Offer> {
        let mut victims: Vec<Victim> = Vec::new();
        for task in self.servers[&server.id].members.keys() {
            let Some(victim) = self.victim(candidate, *task, guarantees, now) else { continue };
            match victims.iter_mut().find(|known| known.group == victim.group) {
                Some(known) => known.freed.add(&victim.freed),
                None => victims.push(victim),
            }
        }
        victims.sort_by(|a, b| a.waste.total_cmp(&b.waste));
        let mut used_after_stops = server.used_after_stops;
        let free_beside = |used_after_stops: &Resources| {
            let mut free = server.capacity;
            free.remove(used_after_stops);
            free
        };
        let mut offer = Offer::of(requirements.fitting(&server.id, &free_beside(&used_after_stops)), 0.0, count);
        let mut stopped = 0;
        let mut waste = 0.0;
        for (i, victim) in victims.iter().enumerate() {
            used_after_stops.remove(&victim.freed);
            waste += victim.waste;
            let more = Offer::of(requirements.fitting(&server.id, &free_beside(&used_after_stops)), waste, count);
            if more.rate < offer.rate {
                offer = more;
                stopped = i + 1;
            }
        }
        offer.victims = victims[..stopped].iter().map(|victim| victim.group).collect();
        (offer.tasks > 0).then_some(offer)
    }

    /// The run that a task belongs to, if it may be stopped for the candidate.
    fn victim(&self, candidate: &Candidate, task: TaskId, guarantees: &Guarantees, now: Moment) -> Option<Victim> {
        let job = task.occurrence.job;
        let entry = self.jobs.get(&job).filter(|_| job != candidate.occurrence.job)?;
        let step = entry.job.steps.get(task.step as usize)?;
        let name = GroupId::of(task, step);
        let group = &entry.occurrences.get(task.occurrence.number as usize)?.groups[name.step][name.group];
        if group.stopping.is_some() {
            return None;
        }
        // What lasts must run again soon, so it takes the place of its equals that end by themselves.
        let outlasted = candidate.long_running && entry.priority == candidate.priority && !step.long_running;
        let reclaimed = || candidate.guaranteed && guarantees.is_beyond(entry.job.customer.as_ref());
        let gives_way = entry.priority > candidate.priority || outlasted || reclaimed();
        if !gives_way || step.max_absent.is_some() && !self.may_interrupt(name) {
            return None;
        }
        let ran = now.since(group.placed_at).secs_f64();
        if self.timing.tuning.spare_ending && !step.long_running && self.ends_before_a_stop(name, now) {
            return None;
        }
        let lost = if step.checkpoints { ran.min(UNSAVED_S) } else { ran };
        let waste = weight(&step.need) * (group.members.len() as f64) * (lost + RESTART_S);
        Some(Victim { group: name, waste, freed: step.counted_resources() })
    }

    /// Whether a run ends sooner than it could be stopped, as far as its progress tells; that of a task that lasts tells
    /// nothing of its end.
    fn ends_before_a_stop(&self, name: GroupId, now: Moment) -> bool {
        let told = self.group(name).members.iter().all(|member| member.percent > 0);
        told && self.time_left(name, now).secs_f64() < self.stop_durations.mean_s()
    }

    /// Most core-seconds that are thrown away so that groups of a candidate without a guarantee can start.
    fn most_waste(&self, candidate: &Candidate, groups: &[usize]) -> f64 {
        let step = &self.jobs[&candidate.occurrence.job].job.steps[candidate.step];
        let tasks = if step.gang { step.count as usize } else { groups.len() };
        weight(&step.need) * tasks as f64 * step.estimate.secs_f64() * self.timing.tuning.most_waste
    }

    /// Whether one more task of the step may be away through the system's doing. One that is not at work yet, or is
    /// out of reach, counts as away whatever the cause.
    pub(crate) fn may_interrupt(&self, name: GroupId) -> bool {
        let Some(most) = self.step(name).max_absent else { return true };
        let reachable = |id: &BackendServerId| self.servers.get(id).is_some_and(|server| server.failed_calls == 0);
        let at_work = |member: &Member| member.percent >= AT_WORK && reachable(&member.server);
        let away =
            |group: &&Group| group.members.is_empty() || group.stopping.is_some() || !group.members.iter().all(at_work);
        let absent = self.occurrence(name.occurrence).groups[name.step].iter().filter(away).count();
        absent < most as usize
    }
}

/// The cheapest runs whose end makes room for `count` tasks, by what each further task costs.
fn cheapest(mut offers: Vec<Offer>, count: u64) -> Option<(f64, Vec<GroupId>)> {
    offers.sort_by(|a, b| a.rate.total_cmp(&b.rate));
    let (mut tasks, mut waste, mut victims) = (0, 0.0, Vec::new());
    for offer in offers {
        if tasks >= count {
            break;
        }
        tasks += offer.tasks;
        waste += offer.waste;
        victims.extend(offer.victims);
    }
    victims.sort();
    victims.dedup();
    (tasks >= count).then_some((waste, victims))
}

/// Weighs room in cores.
fn weight(need: &Resources) -> f64 {
    need.cpu_milli as f64 / 1000.0 + need.accelerators as f64 * CORES_PER_ACCELERATOR
}
