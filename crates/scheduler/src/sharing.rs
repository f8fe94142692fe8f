//! Fair shares in plans: counts what customers hold and want of each service, orders candidates by the shares that
//! [`crate::fair_share`] decides, and reports them.
//!
//! Customers and levels are indices, since each plan counts every candidate.

use std::collections::BTreeMap;

use jobs::{Job, Resources, ServiceId};
use model::{CustomerId, Duration, Moment};
use serde::Serialize;

use crate::{
    Scheduler,
    candidate::Candidate,
    fair_share::{AboveShare, Capacity, Claim, Claimant, Demand, Position, Queue, Reservations, Shares, Weight},
    fleet_capacity::FleetCapacity,
    policy::Policy,
    run_state::{GroupId, JobEntry},
    sums::saturating_sum,
};

/// Shortest time between two log lines about one service and priority.
const LOG_INTERVAL: Duration = Duration::from_millis(1000);
/// All work without a configured customer.
const UNKNOWN: Claimant = Claimant(0);

/// Where the work of a job is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Account {
    /// Index of the level; `None` if the queue is not configured.
    level: Option<usize>,
    claimant: Claimant,
}

impl Default for Account {
    fn default() -> Account {
        Account { level: None, claimant: UNKNOWN }
    }
}

/// A customer, as shares see it.
#[derive(Debug)]
struct Customer {
    /// `None` for [`UNKNOWN`].
    id: Option<CustomerId>,
    weight: Weight,
    guaranteed: u64,
}

/// Work of one service and one priority. Its shares count the work of higher priorities too, but none of lower ones, so
/// that work of a low priority never delays more important work of its customer.
#[derive(Debug)]
struct Level {
    service: ServiceId,
    priority: u32,
    /// Resources of the placed tasks of each customer.
    held: Vec<Resources>,
    /// Resources of the candidates of each customer in the current plan.
    wanted: Vec<Resources>,
    wanted_by_all: Resources,
    /// First customer of the level's candidates without a guarantee.
    first: Option<Claimant>,
    /// Whether the order between customers can have an effect in this plan: candidates of several compete, or a gang is
    /// overdue.
    matters: bool,
    /// Whether any candidate lasts until its job is cancelled, so that it may use headroom and preempt.
    has_long_running: bool,
    /// Latest shares, if the service is short of capacity in the latest plan.
    shares: Option<Shares>,
    above: AboveShare,
    logged: Option<(AboveShare, Moment)>,
}

/// Fair shares, as kept between plans.
#[derive(Debug)]
pub(crate) struct Sharing {
    customers: Vec<Customer>,
    claimants: BTreeMap<CustomerId, Claimant>,
    /// Levels by service and then by priority.
    levels: Vec<Level>,
}

/// Capacity that one plan keeps for gangs, by index of the level.
#[derive(Debug, Default)]
pub(crate) struct KeptCapacity {
    by_level: BTreeMap<usize, Reservations>,
}

/// Share of a customer in a service that is short of capacity, for operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ShareReport {
    /// Service that is divided.
    pub service: ServiceId,
    /// The share is among the work of this priority and higher ones.
    pub priority: u32,
    /// Resource that the service is short of.
    pub short_of: String,
    /// The customer; `None` stands for all work without a configured customer.
    pub customer: Option<CustomerId>,
    /// Fair share of what can be used at this priority, from 0 to 1.
    pub fair_share: f64,
    /// Share that the customer's tasks take now, from 0 to 1.
    pub share_used: f64,
}

impl Sharing {
    /// Creates the accounts of a configuration, with nothing held.
    pub(crate) fn new(policy: &Policy) -> Sharing {
        let unknown = Customer { id: None, weight: Weight::default(), guaranteed: 0 };
        let configured = policy.customers.iter().map(|(id, policy)| Customer {
            id: Some(id.clone()),
            weight: policy.weight,
            guaranteed: policy.guaranteed_accelerators,
        });
        let customers: Vec<Customer> = std::iter::once(unknown).chain(configured).collect();
        let claimants =
            customers.iter().enumerate().filter_map(|(i, customer)| Some((customer.id.clone()?, Claimant(i))));
        let claimants = claimants.collect();
        let mut names: Vec<(&ServiceId, u32)> = policy.queues.values().map(|q| (&q.service, q.priority)).collect();
        names.sort();
        names.dedup();
        let none = vec![Resources::default(); customers.len()];
        let levels = names.into_iter().map(|(service, priority)| Level::new(service.clone(), priority, none.clone()));
        Sharing { levels: levels.collect(), customers, claimants }
    }

    /// Returns where a job is counted.
    pub(crate) fn account(&self, job: &Job, policy: &Policy) -> Account {
        let claimant = job.customer.as_ref().and_then(|id| self.claimants.get(id)).copied().unwrap_or(UNKNOWN);
        let queue = policy.queues.get(&job.queue);
        let is_level =
            |level: &Level| queue.is_some_and(|q| q.service == level.service && q.priority == level.priority);
        Account { level: self.levels.iter().position(is_level), claimant }
    }

    fn held_mut(&mut self, account: Account) -> Option<&mut Resources> {
        Some(&mut self.levels[account.level?].held[account.claimant.0])
    }

    /// Counts the candidates of a plan.
    fn count(&mut self, candidates: &[Candidate], wall_ms: u64) {
        for level in &mut self.levels {
            level.begin_plan();
        }
        for candidate in candidates {
            let Some(level) = candidate.account.level else { continue };
            self.levels[level].count(candidate, wall_ms);
        }
    }

    /// Returns the levels of the same service with the priority of this one or a higher one.
    fn up_to(&self, level: usize) -> impl Iterator<Item = &Level> {
        let service = &self.levels[level].service;
        self.levels[..=level].iter().filter(move |other| other.service == *service)
    }

    fn demands(&self, level: usize) -> Vec<Demand> {
        let demand = |customer: &Customer| Demand { weight: customer.weight, ..Demand::default() };
        let mut demands: Vec<Demand> = self.customers.iter().map(demand).collect();
        for level in self.up_to(level) {
            for (i, demand) in demands.iter_mut().enumerate() {
                demand.held.add(&level.held[i]);
                demand.wanted.add(&level.wanted[i]);
                // Guarantees cover work of priority 0 only.
                if level.priority == 0 {
                    let urgent = level.held[i].accelerators + level.wanted[i].accelerators;
                    demand.guaranteed = self.customers[i].guaranteed.min(urgent);
                }
            }
        }
        demands
    }
}

impl Level {
    fn new(service: ServiceId, priority: u32, none: Vec<Resources>) -> Level {
        Level {
            service,
            priority,
            held: none.clone(),
            wanted: none,
            wanted_by_all: Resources::default(),
            first: None,
            matters: false,
            has_long_running: false,
            shares: None,
            above: AboveShare::default(),
            logged: None,
        }
    }

    fn begin_plan(&mut self) {
        if self.wanted_by_all != Resources::default() {
            self.wanted.fill(Resources::default());
        }
        self.wanted_by_all = Resources::default();
        self.first = None;
        self.matters = false;
        self.has_long_running = false;
    }

    fn count(&mut self, candidate: &Candidate, wall_ms: u64) {
        let wanted = candidate.group_resources.times(candidate.groups.len() as u64);
        let claimant = candidate.account.claimant;
        self.wanted[claimant.0].add(&wanted);
        self.wanted_by_all.add(&wanted);
        self.has_long_running |= candidate.long_running;
        if candidate.guaranteed {
            return;
        }
        let first = *self.first.get_or_insert(claimant);
        self.matters |= first != claimant || candidate.is_overdue(wall_ms);
    }

    /// Logs the customers above their shares if they have changed.
    fn log(&mut self, customers: &[Customer], shares: &Shares, now: Moment) {
        if self.logged.as_ref().is_some_and(|(above, at)| *above == self.above || now.since(*at) < LOG_INTERVAL) {
            return;
        }
        let name =
            |claimant: Claimant| customers[claimant.0].id.as_ref().map_or("none".to_owned(), CustomerId::to_string);
        let names: Vec<String> = self.above.customers().map(name).collect();
        log::info!(
            "event=fair_share service={} priority={} short_of={} customers_above={}",
            self.service,
            self.priority,
            shares.kind(),
            names.join(",")
        );
        self.logged = Some((self.above.clone(), now));
    }
}

impl Scheduler {
    /// Returns the shares of all customers with work in the services that are short of capacity.
    pub fn shares(&self) -> Vec<ShareReport> {
        let mut reports = Vec::new();
        for (index, level) in self.sharing.levels.iter().enumerate() {
            let Some(shares) = &level.shares else { continue };
            // What is held may have changed since the shares were computed.
            let held =
                |i: usize| saturating_sum(self.sharing.up_to(index).map(|level| shares.kind().of(&level.held[i])));
            let capacity = (shares.capacity() as f64).max(1.0);
            let with_demand = shares.iter().filter(|(_, share)| share.demand > 0);
            reports.extend(with_demand.map(|(claimant, share)| ShareReport {
                service: level.service.clone(),
                priority: level.priority,
                short_of: shares.kind().to_string(),
                customer: self.sharing.customers[claimant.0].id.clone(),
                fair_share: share.fair / capacity,
                share_used: held(claimant.0) as f64 / capacity,
            }));
        }
        reports
    }

    /// Counts resources of placed tasks of a group.
    pub(crate) fn add_usage(&mut self, name: GroupId, tasks: usize) {
        let resources = self.step(name).counted_resources().times(tasks as u64);
        let account = self.jobs[&name.occurrence.job].account;
        if let Some(held) = self.sharing.held_mut(account) {
            held.add(&resources);
        }
    }

    /// Removes the resources of one task of a group that has ended.
    pub(crate) fn remove_usage(&mut self, name: GroupId) {
        let resources = self.step(name).counted_resources();
        let account = self.jobs[&name.occurrence.job].account;
        if let Some(held) = self.sharing.held_mut(account) {
            held.remove(&resources);
        }
    }

    /// Creates the accounts anew after a change of the configuration.
    pub(crate) fn reset_sharing(&mut self) {
        self.sharing = self.recomputed_sharing();
        for entry in self.jobs.values_mut() {
            entry.account = self.sharing.account(&entry.job, &self.policy);
        }
    }

    fn recomputed_sharing(&self) -> Sharing {
        let mut sharing = Sharing::new(&self.policy);
        for entry in self.jobs.values() {
            let account = sharing.account(&entry.job, &self.policy);
            if let Some(held) = sharing.held_mut(account) {
                held.add(&resources_held(entry));
            }
        }
        sharing
    }

    /// Checks the counted usage against the placed tasks.
    pub(crate) fn check_usage(&self) -> Result<(), String> {
        let held = |sharing: &Sharing| sharing.levels.iter().map(|level| level.held.clone()).collect::<Vec<_>>();
        let (kept, recomputed) = (held(&self.sharing), held(&self.recomputed_sharing()));
        if kept != recomputed {
            return Err(format!("usage: kept {kept:?}, recomputed {recomputed:?}"));
        }
        Ok(())
    }

    /// Orders candidates that are sorted by priority, guarantee and deadline: where a service is short of capacity,
    /// work within its customer's fair share goes before other work of its priority that has no guarantee.
    pub(crate) fn order_by_shares(&mut self, candidates: &mut Vec<Candidate>) {
        if !self.timing.tuning.fair_shares {
            return;
        }
        self.sharing.count(candidates, self.plan_clocks.1);
        let mut is_reordered = false;
        for level in 0..self.sharing.levels.len() {
            if !self.sharing.levels[level].matters || !self.is_short(level) {
                self.sharing.levels[level].shares = None;
            } else if !self.is_exhausted(level) {
                is_reordered |= self.order_level(level, candidates);
            }
        }
        if is_reordered {
            candidates.sort_by_key(Candidate::order);
        }
    }

    /// Whether more is wanted at a level and by higher priorities than is free.
    fn is_short(&self, level: usize) -> bool {
        let mut wanted = Resources::default();
        self.sharing.up_to(level).for_each(|level| wanted.add(&level.wanted_by_all));
        !self.free_at(level).contains(&wanted)
    }

    /// Whether nothing can start at a level, in any order, since none of the scarce resource is free: its shares need not
    /// be computed again until a run ends. Urgent work may free capacity in the order of its candidates.
    fn is_exhausted(&self, level: usize) -> bool {
        let Level { priority, has_long_running, shares, .. } = &self.sharing.levels[level];
        *priority > 0
            && !has_long_running
            && shares.as_ref().is_some_and(|shares| shares.kind().of(&self.free_at(level)) == 0)
    }

    /// Divides the capacity of a level, and splits its candidates into work within and beyond the shares. Returns
    /// whether any of it lies beyond.
    fn order_level(&mut self, index: usize, candidates: &mut Vec<Candidate>) -> bool {
        let demands = self.sharing.demands(index);
        let Some(shares) = Shares::divide(&Capacity { free: self.free_at(index) }, &demands) else { return false };
        let level = &mut self.sharing.levels[index];
        level.above.update(&shares);
        level.log(&self.sharing.customers, &shares, self.plan_clocks.0);
        let kind = shares.kind();
        let mut queue = Queue::new(&shares, &level.above);
        for (i, demand) in demands.iter().enumerate() {
            let of_higher_priorities = kind.of(&demand.wanted).saturating_sub(kind.of(&level.wanted[i]));
            queue.take(Claimant(i), of_higher_priorities);
        }
        level.shares = Some(shares);
        let mut beyond = Vec::new();
        let mut is_reordered = false;
        for candidate in candidates.iter_mut().filter(|candidate| candidate.account.level == Some(index)) {
            let (claimant, each) = (candidate.account.claimant, kind.of(&candidate.group_resources));
            if candidate.guaranteed {
                queue.take(claimant, each.saturating_mul(candidate.groups.len() as u64));
                continue;
            }
            let within = queue.take_groups(claimant, each, candidate.groups.len());
            beyond.extend(candidate.split_at_share(within));
            is_reordered |= candidate.is_beyond_share;
        }
        is_reordered |= !beyond.is_empty();
        candidates.append(&mut beyond);
        is_reordered
    }

    /// Returns the resources that work of a level may take as of the latest plan.
    fn free_at(&self, level: usize) -> Resources {
        self.free_in(level, &self.fleet)
    }

    /// Returns the resources of a fleet that work of a level may take.
    fn free_in(&self, level: usize, fleet: &FleetCapacity) -> Resources {
        let level = &self.sharing.levels[level];
        let totals = fleet.totals(&level.service);
        let mut free = totals.free_resources;
        if level.priority > 0 {
            free.accelerators = self.free_beside_headroom(&totals);
        }
        free
    }

    /// Removes the groups of a candidate that would take capacity which is kept for gangs.
    pub(crate) fn leave_kept_capacity(&self, candidate: &mut Candidate, kept: &KeptCapacity, fleet: &FleetCapacity) {
        if kept.by_level.is_empty() || candidate.guaranteed {
            return;
        }
        let Some((index, shares)) = self.shares_for(candidate) else { return };
        let Some(kept) = kept.by_level.get(&index) else { return };
        let each = shares.kind().of(&candidate.group_resources);
        let amount = kept.kept_from(&claim_of(candidate, shares));
        let free = shares.kind().of(&self.free_in(index, fleet));
        if amount > 0 && each > 0 {
            candidate.groups.truncate((free.saturating_sub(amount) / each) as usize);
        }
    }

    /// Keeps capacity for a gang that was not placed and that others have overtaken for long enough.
    pub(crate) fn keep_capacity_for(&self, candidate: &Candidate, kept: &mut KeptCapacity) {
        if candidate.suspected || !candidate.is_overdue(self.plan_clocks.1) {
            return;
        }
        let Some((index, shares)) = self.shares_for(candidate) else { return };
        if self.step(candidate.group(0)).gang {
            let amount = shares.kind().of(&candidate.group_resources);
            kept.by_level.entry(index).or_default().add(claim_of(candidate, shares), amount);
        }
    }

    fn shares_for(&self, candidate: &Candidate) -> Option<(usize, &Shares)> {
        let index = candidate.account.level?;
        Some((index, self.sharing.levels[index].shares.as_ref()?))
    }
}

fn claim_of(candidate: &Candidate, shares: &Shares) -> Claim {
    let customer = candidate.account.claimant;
    let position = match shares.of(customer) {
        _ if candidate.is_beyond_share => Position::Beyond,
        share if share.is_far_below() => Position::FarBelow,
        _ => Position::Within,
    };
    Claim { customer, position }
}

/// Returns the resources of a job's placed tasks.
fn resources_held(entry: &JobEntry) -> Resources {
    let mut held = Resources::default();
    for occurrence in &entry.occurrences {
        for (step, groups) in entry.job.steps.iter().zip(&occurrence.groups) {
            let tasks: usize = groups.iter().map(|group| group.members.len()).sum();
            held.add(&step.counted_resources().times(tasks as u64));
        }
    }
    held
}
