//! Fair shares in plans: collects what customers hold and want of each service, orders candidates by the shares that
//! [`crate::fair_share`] decides, and reports them.

use std::collections::BTreeMap;

use jobs::Resources;
use model::{CustomerId, Duration, Moment};
use serde::Serialize;

use crate::{
    Scheduler,
    candidate::Candidate,
    fair_share::{AboveShare, Capacity, Claim, Claimant, Demand, Position, Queue, Reservations, Shares, Usage, Weight},
    fleet_capacity::FleetCapacity,
    policy::ServiceId,
    run_state::GroupId,
};

/// Shortest time between two log lines about one service and priority.
const LOG_INTERVAL: Duration = Duration::from_millis(1000);

/// Work of one service that is of one priority or higher ones. Shares are computed for each such level, so that work
/// of a low priority never delays more important work of its customer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Level {
    service: ServiceId,
    priority: u32,
}

/// Customers above their shares at one level, and the set that was logged last.
#[derive(Debug, Default)]
struct Standing {
    above: AboveShare,
    logged: Option<(AboveShare, Moment)>,
}

/// Fair shares, as kept between plans.
#[derive(Debug, Default)]
pub(crate) struct Sharing {
    usage: Usage,
    /// Shares at the levels that are short of capacity in the latest plan.
    short: BTreeMap<Level, Shares>,
    standings: BTreeMap<Level, Standing>,
}

/// Capacity that one plan keeps for gangs, by level.
#[derive(Debug, Default)]
pub(crate) struct KeptCapacity {
    by_level: BTreeMap<Level, Reservations>,
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
    /// Share that the customer's tasks take, from 0 to 1.
    pub share_used: f64,
}

impl Scheduler {
    /// Returns the shares of all customers in the services that are short of capacity.
    pub fn shares(&self) -> Vec<ShareReport> {
        let mut reports = Vec::new();
        for (level, shares) in &self.sharing.short {
            let capacity = (shares.capacity() as f64).max(1.0);
            reports.extend(shares.iter().map(|(customer, share)| ShareReport {
                service: level.service.clone(),
                priority: level.priority,
                short_of: shares.kind().to_string(),
                customer: customer.clone(),
                fair_share: share.fair / capacity,
                share_used: share.held as f64 / capacity,
            }));
        }
        reports
    }

    /// Counts resources of placed tasks of a group.
    pub(crate) fn add_usage(&mut self, name: GroupId, tasks: usize) {
        let resources = self.step(name).counted_resources().times(tasks as u64);
        let job = &self.jobs[&name.occurrence.job].job;
        self.sharing.usage.add(&job.queue, &job.customer, &resources);
    }

    /// Removes the resources of one task of a group that has ended.
    pub(crate) fn remove_usage(&mut self, name: GroupId) {
        let resources = self.step(name).counted_resources();
        let job = &self.jobs[&name.occurrence.job].job;
        self.sharing.usage.remove(&job.queue, &job.customer, &resources);
    }

    /// Checks the counted usage against the placed tasks.
    pub(crate) fn check_usage(&self) -> Result<(), String> {
        let mut recomputed = Usage::default();
        for entry in self.jobs.values() {
            for occurrence in &entry.occurrences {
                for (step, groups) in entry.job.steps.iter().zip(&occurrence.groups) {
                    let tasks: usize = groups.iter().map(|group| group.members.len()).sum();
                    let resources = step.counted_resources().times(tasks as u64);
                    recomputed.add(&entry.job.queue, &entry.job.customer, &resources);
                }
            }
        }
        if recomputed != self.sharing.usage {
            return Err(format!("usage: kept {:?}, recomputed {recomputed:?}", self.sharing.usage));
        }
        Ok(())
    }

    /// Orders candidates that are sorted by priority, guarantee and deadline: where a service is short of capacity,
    /// work within its customer's fair share goes before other work of its priority that has no guarantee.
    pub(crate) fn order_by_shares(&mut self, candidates: Vec<Candidate>) -> Vec<Candidate> {
        self.sharing.short.clear();
        if !self.timing.tuning.fair_shares {
            return candidates;
        }
        let short = self.short_levels(&candidates);
        if short.is_empty() {
            return candidates;
        }
        let mut candidates = candidates;
        for level in short {
            candidates = self.order_level(level, candidates);
        }
        candidates.sort_by_key(|c| (c.priority, !c.guaranteed, c.is_beyond_share));
        candidates
    }

    /// Returns the levels at which more is wanted than is free.
    fn short_levels(&self, candidates: &[Candidate]) -> Vec<Level> {
        let mut wanted: BTreeMap<&ServiceId, BTreeMap<u32, Resources>> = BTreeMap::new();
        for candidate in candidates {
            let service = self.service_of(candidate);
            let level = wanted.entry(service).or_default().entry(candidate.priority).or_default();
            level.add(&self.wanted_by(candidate));
        }
        let mut short = Vec::new();
        for (service, by_priority) in wanted {
            let mut sum = Resources::default();
            for (priority, wanted) in by_priority {
                sum.add(&wanted);
                if !self.free_for_priority(service, priority).contains(&sum) {
                    short.push(Level { service: service.clone(), priority });
                }
            }
        }
        short
    }

    /// Divides the capacity of a level, and splits its candidates into work within and beyond the shares.
    fn order_level(&mut self, level: Level, candidates: Vec<Candidate>) -> Vec<Candidate> {
        let capacity = Capacity { free: self.free_for_priority(&level.service, level.priority) };
        let demands = self.demands(&level, &candidates);
        let Some(shares) = Shares::divide(&capacity, &demands) else { return candidates };
        let standing = self.sharing.standings.entry(level.clone()).or_default();
        standing.above.update(&shares);
        standing.log(&level, &shares, self.plan_clocks.0);
        let mut queue = Queue::new(&shares, &standing.above);
        if !self.several_compete(&level, &candidates) {
            self.sharing.short.insert(level, shares);
            return candidates;
        }
        let mut ordered = Vec::with_capacity(candidates.len());
        for candidate in candidates {
            if candidate.priority > level.priority || *self.service_of(&candidate) != level.service {
                ordered.push(candidate);
                continue;
            }
            let customer = self.claimant(&candidate);
            let each = shares.kind().of(&self.group_resources(&candidate));
            if candidate.priority < level.priority || candidate.guaranteed {
                queue.take(&customer, each * candidate.groups.len() as u64);
                ordered.push(candidate);
                continue;
            }
            let within = queue.take_groups(&customer, each, candidate.groups.len());
            ordered.extend(candidate.split_at_share(within));
        }
        self.sharing.short.insert(level, shares);
        ordered
    }

    /// Whether candidates without a guarantee of more than one customer wait at this priority. The order of one
    /// customer's candidates is not changed.
    fn several_compete(&self, level: &Level, candidates: &[Candidate]) -> bool {
        let competes = |candidate: &&Candidate| {
            candidate.priority == level.priority
                && !candidate.guaranteed
                && *self.service_of(candidate) == level.service
        };
        let mut customers = candidates.iter().filter(competes).map(|candidate| self.claimant(candidate));
        let Some(first) = customers.next() else { return false };
        customers.any(|customer| customer != first)
    }

    fn demands(&self, level: &Level, candidates: &[Candidate]) -> BTreeMap<Claimant, Demand> {
        let mut demands: BTreeMap<Claimant, Demand> = BTreeMap::new();
        // Guarantees cover work of priority 0 only.
        let mut urgent: BTreeMap<Claimant, u64> = BTreeMap::new();
        for (queue, customer, held) in self.sharing.usage.iter() {
            let Some(policy) = self.policy.queues.get(queue) else { continue };
            if policy.service != level.service || policy.priority > level.priority {
                continue;
            }
            let customer = self.configured(customer.as_ref());
            if policy.priority == 0 {
                *urgent.entry(customer.clone()).or_default() += held.accelerators;
            }
            demands.entry(customer).or_default().held.add(held);
        }
        for candidate in candidates {
            if candidate.priority > level.priority || *self.service_of(candidate) != level.service {
                continue;
            }
            let (customer, wanted) = (self.claimant(candidate), self.wanted_by(candidate));
            if candidate.priority == 0 {
                *urgent.entry(customer.clone()).or_default() += wanted.accelerators;
            }
            demands.entry(customer).or_default().wanted.add(&wanted);
        }
        for (customer, demand) in &mut demands {
            let policy = customer.as_ref().and_then(|id| self.policy.customers.get(id));
            demand.weight = policy.map_or(Weight::default(), |policy| policy.weight);
            let guaranteed = policy.map_or(0, |policy| policy.guaranteed_accelerators);
            demand.guaranteed = guaranteed.min(urgent.get(customer).copied().unwrap_or(0));
        }
        demands
    }

    /// Returns the resources of a service that work of a priority may take now.
    fn free_for_priority(&self, service: &ServiceId, priority: u32) -> Resources {
        let totals = self.fleet.totals(service);
        let mut free = totals.free_resources;
        if priority > 0 {
            free.accelerators = self.free_beside_headroom(&totals);
        }
        free
    }

    fn service_of(&self, candidate: &Candidate) -> &ServiceId {
        let queue = &self.jobs[&candidate.occurrence.job].job.queue;
        &self.policy.queues.get(queue).expect("only jobs of configured queues are candidates").service
    }

    fn claimant(&self, candidate: &Candidate) -> Claimant {
        self.configured(self.jobs[&candidate.occurrence.job].job.customer.as_ref())
    }

    fn configured(&self, customer: Option<&CustomerId>) -> Claimant {
        customer.filter(|id| self.policy.customers.contains_key(*id)).cloned()
    }

    /// Returns the resources of one group of a candidate.
    fn group_resources(&self, candidate: &Candidate) -> Resources {
        let step = self.step(candidate.group(0));
        step.counted_resources().times(if step.gang { u64::from(step.count) } else { 1 })
    }

    fn wanted_by(&self, candidate: &Candidate) -> Resources {
        self.group_resources(candidate).times(candidate.groups.len() as u64)
    }

    /// Removes the groups of a candidate that would take capacity which is kept for gangs.
    pub(crate) fn leave_kept_capacity(&self, candidate: &mut Candidate, kept: &KeptCapacity, fleet: &FleetCapacity) {
        if kept.by_level.is_empty() || candidate.guaranteed {
            return;
        }
        let level = self.level_of(candidate);
        let (Some(kept), Some(shares)) = (kept.by_level.get(&level), self.sharing.short.get(&level)) else { return };
        let each = shares.kind().of(&self.group_resources(candidate));
        let amount = kept.kept_from(&self.claim_of(candidate, shares));
        let free = shares.kind().of(&fleet.totals(&level.service).free_resources);
        if amount > 0 && each > 0 {
            candidate.groups.truncate((free.saturating_sub(amount) / each) as usize);
        }
    }

    /// Keeps capacity for a gang that was not placed and that others have overtaken for long enough.
    pub(crate) fn keep_capacity_for(&self, candidate: &Candidate, kept: &mut KeptCapacity) {
        let waits_for_long = candidate.is_overtaken_for_long(self.plan_clocks.1) && !candidate.suspected;
        if !waits_for_long || !self.step(candidate.group(0)).gang {
            return;
        }
        let level = self.level_of(candidate);
        let Some(shares) = self.sharing.short.get(&level) else { return };
        let amount = shares.kind().of(&self.group_resources(candidate));
        let claim = self.claim_of(candidate, shares);
        kept.by_level.entry(level).or_default().add(claim, amount);
    }

    fn level_of(&self, candidate: &Candidate) -> Level {
        Level { service: self.service_of(candidate).clone(), priority: candidate.priority }
    }

    fn claim_of(&self, candidate: &Candidate, shares: &Shares) -> Claim {
        let customer = self.claimant(candidate);
        let position = match shares.of(&customer) {
            _ if candidate.is_beyond_share => Position::Beyond,
            Some(share) if share.is_far_below() => Position::FarBelow,
            _ => Position::Within,
        };
        Claim { customer, position }
    }
}

impl Standing {
    /// Logs the customers above their shares if they have changed.
    fn log(&mut self, level: &Level, shares: &Shares, now: Moment) {
        if self.logged.as_ref().is_some_and(|(above, at)| *above == self.above || now.since(*at) < LOG_INTERVAL) {
            return;
        }
        let name = |customer: &Claimant| customer.as_ref().map_or("none".to_owned(), CustomerId::to_string);
        let names: Vec<String> = self.above.customers().iter().map(name).collect();
        log::info!(
            "event=fair_share service={} priority={} short_of={} customers_above={}",
            level.service,
            level.priority,
            shares.kind(),
            names.join(",")
        );
        self.logged = Some((self.above.clone(), now));
    }
}
