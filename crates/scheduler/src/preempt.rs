//! Preemption: which runs are stopped so that an urgent group can start.

use std::{collections::BTreeMap, sync::Arc};

use jobs::{Duration, Resources, TaskId};
use model::{BackendServerId, Moment};

use crate::{
    Scheduler,
    candidate::{Candidate, Requirements},
    fleet_capacity::FleetCapacity,
    guarantee::Guarantees,
    placement::is_near,
    run_state::{Group, GroupId, Member, Occurrence, StopReason},
    server_capacity::ServerCapacity,
};

/// Most seconds of work that a run with checkpoints loses: the time between two checkpoints (platform: 0.5 s, 1 s).
const MAX_UNSAVED_S: f64 = 0.5;
/// Seconds that a restart costs in addition: stopping, waiting for capacity and reading the checkpoint.
const RESTART_COST_S: f64 = 0.5;
/// A long-running task serves from this percentage of progress on (platform protocol).
const SERVING_PERCENT: u32 = 100;
/// Weight of an accelerator, in cores, when work is compared (platform rules).
const CORES_PER_ACCELERATOR: f64 = 8.0;

/// A run that may be stopped, with what it occupies on one backend server.
#[derive(Debug)]
struct Victim {
    group: GroupId,
    /// Lost work, in core-seconds.
    waste: f64,
    freed: Resources,
}

/// What it costs to free capacity for tasks on one backend server.
#[derive(Debug, Clone)]
struct Offer {
    /// Tasks that would fit.
    tasks: u64,
    /// Lost work, in core-seconds.
    waste: f64,
    /// Lost work for each requested task that would fit, in core-seconds; infinite if none would.
    rate: f64,
    victims: Vec<GroupId>,
}

impl Offer {
    fn of(tasks: u64, waste: f64, requested: u64) -> Offer {
        let rate = if tasks == 0 { f64::INFINITY } else { waste / tasks.min(requested) as f64 };
        Offer { tasks, waste, rate, victims: Vec::new() }
    }

    fn capped_at(self, tasks: u64) -> Offer {
        Offer { tasks: self.tasks.min(tasks), ..self }
    }
}

/// Groups that capacity is freed for, by whether they avoid any backend server.
struct Beneficiaries<'a> {
    scheduler: &'a Scheduler,
    /// Tasks of each group.
    tasks_per_group: u64,
    /// Number of groups that avoid no backend server.
    unconstrained: u64,
    /// Groups that avoid some backend servers.
    avoiding: Vec<GroupId>,
    now: Moment,
}

impl Beneficiaries<'_> {
    /// Returns how many tasks would accept the backend server.
    fn count_for(&self, server: &ServerCapacity) -> u64 {
        self.count(|name| self.accepts(name, server))
    }

    /// Returns how many tasks would accept at least one of the backend servers.
    fn count_for_any(&self, servers: &[&ServerCapacity]) -> u64 {
        self.count(|name| servers.iter().any(|server| self.accepts(name, server)))
    }

    fn accepts(&self, name: GroupId, server: &ServerCapacity) -> bool {
        !self.scheduler.avoids(name, server, self.now)
    }

    fn count(&self, accepts: impl Fn(GroupId) -> bool) -> u64 {
        let avoiding = self.avoiding.iter().filter(|name| accepts(**name)).count() as u64;
        self.tasks_per_group * (self.unconstrained + avoiding)
    }
}

impl Scheduler {
    /// Stops the cheapest runs that free capacity for groups of an urgent step: its gang, or independent tasks.
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
        if victims.is_empty() || !candidate.guaranteed && waste > self.max_waste(candidate, groups) {
            return;
        }
        log::info!(
            "job={} event=preempting victims={} guaranteed={}",
            candidate.occurrence.job,
            victims.len(),
            candidate.guaranteed
        );
        for victim in victims {
            // Before the stop: stopping a run that was not ordered yet removes its placement.
            self.release_after_stops(victim, fleet);
            self.stop_group(victim, StopReason::Preempted, now);
        }
    }

    /// Counts the resources of a victim as free after stops.
    fn release_after_stops(&self, victim: GroupId, fleet: &mut FleetCapacity) {
        let need = self.step(victim).counted_resources();
        for member in &self.group(victim).members {
            fleet.release_after_stops(&member.server, &need);
        }
    }

    /// Returns the runs to stop and the work that they lose, in core-seconds; in one rack if the step requires that.
    /// No runs if capacity cannot be freed.
    fn victims(
        &self,
        candidate: &Candidate,
        groups: &[usize],
        fleet: &FleetCapacity,
        guarantees: &Guarantees,
        now: Moment,
    ) -> (f64, Vec<GroupId>) {
        let Some(requirements) = self.requirements(candidate, now) else { return (0.0, Vec::new()) };
        // No run is stopped where no task of the step would go.
        let may_be_far = requirements.step.gang || self.remote_is_worthwhile(candidate, requirements.step, fleet, now);
        let is_near_enough = |server: &ServerCapacity| may_be_far || is_near(requirements.step, &server.rack);
        let beneficiaries = self.beneficiaries(candidate, &requirements, groups, now);
        let mut by_rack: BTreeMap<Option<&Arc<str>>, Vec<Offer>> = BTreeMap::new();
        // A run that is an isolated retry is not stopped, since the retry would have to be repeated.
        let is_eligible = |server: &&ServerCapacity| {
            !server.has_isolated_retry && requirements.allows(server) && is_near_enough(server)
        };
        let eligible: Vec<&ServerCapacity> = fleet.iter().map(|(_, server)| server).filter(is_eligible).collect();
        let count = beneficiaries.count_for_any(&eligible);
        for server in eligible {
            let rack = requirements.step.same_rack.then_some(&server.rack);
            let beneficiaries = beneficiaries.count_for(server).min(count);
            if beneficiaries == 0 {
                continue;
            }
            let offer = self.best_offer(candidate, beneficiaries, &requirements, server, guarantees, now);
            by_rack.entry(rack).or_default().extend(offer.map(|offer| offer.capped_at(beneficiaries)));
        }
        let cheapest = by_rack.into_values().filter_map(|offers| cheapest(offers, count));
        cheapest.min_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or_default()
    }

    /// Returns the groups of a step that would take freed capacity.
    fn beneficiaries<'a>(
        &'a self,
        candidate: &'a Candidate,
        requirements: &Requirements<'_>,
        groups: &'a [usize],
        now: Moment,
    ) -> Beneficiaries<'a> {
        let tasks_per_group = if requirements.step.gang { u64::from(requirements.step.count) } else { 1 };
        let avoids_some = |group: &&usize| !requirements.is_stalled && self.may_avoid(candidate.group(**group), now);
        let avoiding: Vec<GroupId> = groups.iter().filter(avoids_some).map(|&group| candidate.group(group)).collect();
        Beneficiaries {
            scheduler: self,
            tasks_per_group,
            unconstrained: (groups.len() - avoiding.len()) as u64,
            avoiding,
            now,
        }
    }

    /// Returns the offer of one backend server with the least lost work per task: its cheapest runs are stopped
    /// first. `None` if no task would fit.
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
        let free_without = |used_after_stops: &Resources| {
            let mut free = server.capacity;
            free.remove(used_after_stops);
            free
        };
        let mut offer = Offer::of(requirements.fitting(&server.id, &free_without(&used_after_stops)), 0.0, count);
        let mut stopped = 0;
        let mut waste = 0.0;
        for (i, victim) in victims.iter().enumerate() {
            used_after_stops.remove(&victim.freed);
            waste += victim.waste;
            let more = Offer::of(requirements.fitting(&server.id, &free_without(&used_after_stops)), waste, count);
            if more.rate < offer.rate {
                offer = more;
                stopped = i + 1;
            }
        }
        offer.victims = victims[..stopped].iter().map(|victim| victim.group).collect();
        (offer.tasks > 0).then_some(offer)
    }

    /// Returns the run that a task belongs to, if it may be stopped for the candidate.
    fn victim(&self, candidate: &Candidate, task: TaskId, guarantees: &Guarantees, now: Moment) -> Option<Victim> {
        let job = task.occurrence.job;
        let entry = self.jobs.get(&job).filter(|_| job != candidate.occurrence.job)?;
        let step = entry.job.steps.get(task.step as usize)?;
        let name = GroupId::of(task, step);
        let occurrence = entry.occurrences.get(task.occurrence.number as usize)?;
        let group = &occurrence.groups[name.step][name.group];
        if group.stopping.is_some() {
            return None;
        }
        // Long-running tasks must be restarted soon, so they preempt tasks of the same priority that end by
        // themselves.
        let yields_to_long_running =
            candidate.long_running && entry.priority == candidate.priority && !step.long_running;
        let reclaimed = || candidate.guaranteed && guarantees.is_exceeded(entry.job.customer.as_ref());
        let may_be_stopped = entry.priority > candidate.priority || yields_to_long_running || reclaimed();
        if !may_be_stopped || step.max_absent.is_some() && !self.may_interrupt(name) {
            return None;
        }
        let ran = now.since(group.placed_at).secs_f64();
        if self.timing.tuning.spare_ending && !step.long_running && self.ends_before_a_stop(name, occurrence, now) {
            return None;
        }
        let lost = if step.checkpoints { ran.min(MAX_UNSAVED_S) } else { ran };
        let waste = weight_in_cores(&step.need) * (group.members.len() as f64) * (lost + RESTART_COST_S);
        Some(Victim { group: name, waste, freed: step.counted_resources() })
    }

    /// Returns whether a run will end sooner than a stop would take, by its reported progress or its siblings. The
    /// progress of a long-running task says nothing about its end.
    fn ends_before_a_stop(&self, name: GroupId, occurrence: &Occurrence, now: Moment) -> bool {
        let members = &occurrence.groups[name.step][name.group].members;
        // A plan asks this of every run that it may stop, so that the progress at hand is examined first.
        let by_progress = members.iter().try_fold(Duration::ZERO, |longest, member| {
            let left = member.progress.time_left(now)?;
            Some(longest.max(left.with_margin))
        });
        let has_evidence = || {
            let has_siblings = !occurrence.siblings[name.step].is_empty();
            has_siblings || members.iter().all(|member| member.percent > 0) && !self.estimates(name)
        };
        let left = by_progress.or_else(|| has_evidence().then(|| self.time_left(name, now)));
        left.is_some_and(|left| left.secs_f64() < self.stop_durations.mean_s())
    }

    /// Returns the most core-seconds that may be lost so that groups of a candidate without a guarantee can start.
    fn max_waste(&self, candidate: &Candidate, groups: &[usize]) -> f64 {
        let step = &self.jobs[&candidate.occurrence.job].job.steps[candidate.step];
        let tasks = if step.gang { step.count as usize } else { groups.len() };
        let run_time_s = self.run_time_in_use(candidate.group(0)).secs_f64();
        weight_in_cores(&step.need) * tasks as f64 * run_time_s * self.timing.tuning.most_waste
    }

    /// Returns whether the system may take one more task of the step out of service. A task that does not serve yet,
    /// or whose backend server is unreachable, counts as absent whatever the cause.
    pub(crate) fn may_interrupt(&self, name: GroupId) -> bool {
        let Some(most) = self.step(name).max_absent else { return true };
        let is_reachable = |id: &BackendServerId| self.servers.get(id).is_some_and(|server| server.failed_calls == 0);
        let is_serving = |member: &Member| member.percent >= SERVING_PERCENT && is_reachable(&member.server);
        let is_absent = |group: &&Group| {
            group.members.is_empty() || group.stopping.is_some() || !group.members.iter().all(is_serving)
        };
        let absent = self.occurrence(name.occurrence).groups[name.step].iter().filter(is_absent).count();
        absent < most as usize
    }
}

/// Returns the cheapest set of runs to stop that frees capacity for `count` tasks, with the lost work; backend
/// servers are taken in the order of the lost work per task.
fn cheapest(mut offers: Vec<Offer>, count: u64) -> Option<(f64, Vec<GroupId>)> {
    offers.sort_by(|a, b| a.rate.total_cmp(&b.rate));
    let (mut tasks, mut waste, mut victims) = (0, 0.0, Vec::new());
    for offer in offers {
        if tasks >= count {
            break;
        }
        tasks = u64::saturating_add(tasks, offer.tasks);
        waste += offer.waste;
        victims.extend(offer.victims);
    }
    victims.sort();
    victims.dedup();
    (tasks >= count).then_some((waste, victims))
}

/// Weighs resources in cores.
fn weight_in_cores(need: &Resources) -> f64 {
    need.cpu_milli as f64 / 1000.0 + need.accelerators as f64 * CORES_PER_ACCELERATOR
}
