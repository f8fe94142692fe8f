//! Customers' guarantees of accelerators, as they are used up while a plan is made.

use std::collections::BTreeMap;

use model::CustomerId;

use crate::{Scheduler, run_state::JobEntry};

/// Guaranteed accelerators by customer.
#[derive(Debug)]
pub(crate) struct Guarantees {
    /// Guaranteed accelerators that running jobs of priority 0 do not use.
    remaining: BTreeMap<CustomerId, u64>,
    /// Whether the running jobs of priority 0 use more accelerators than guaranteed.
    exceeded: BTreeMap<CustomerId, bool>,
}

impl Guarantees {
    pub(crate) fn new(scheduler: &Scheduler) -> Guarantees {
        let mut held: BTreeMap<&CustomerId, u64> = BTreeMap::new();
        for id in &scheduler.open_jobs {
            let entry = &scheduler.jobs[id];
            if let Some(customer) = entry.job.customer.as_ref().filter(|_| entry.priority == 0) {
                let sum = held.entry(customer).or_insert(0);
                *sum = sum.saturating_add(accelerators_held(entry));
            }
        }
        let customers = &scheduler.policy.customers;
        let remaining = customers.iter().map(|(id, policy)| {
            let held = held.get(id).copied().unwrap_or(0);
            (id.clone(), policy.guaranteed_accelerators.saturating_sub(held))
        });
        let exceeded = held.iter().map(|(id, held)| {
            let guaranteed = customers.get(*id).map_or(0, |policy| policy.guaranteed_accelerators);
            ((*id).clone(), *held > guaranteed)
        });
        Guarantees { remaining: remaining.collect(), exceeded: exceeded.collect() }
    }

    /// Takes accelerators from a customer's guarantee; returns `false` and takes nothing if it does not cover all of
    /// them.
    pub(crate) fn take(&mut self, customer: Option<&CustomerId>, accelerators: u64) -> bool {
        let Some(remaining) = customer.and_then(|customer| self.remaining.get_mut(customer)) else { return false };
        if *remaining < accelerators {
            return false;
        }
        *remaining -= accelerators;
        true
    }

    /// Returns whether a customer's running jobs of priority 0 use more accelerators than guaranteed. True for jobs
    /// without a customer.
    pub(crate) fn is_exceeded(&self, customer: Option<&CustomerId>) -> bool {
        customer.is_none_or(|customer| self.exceeded.get(customer).copied().unwrap_or(false))
    }
}

/// Returns the accelerators that a job's tasks occupy, including those that are being stopped.
fn accelerators_held(entry: &JobEntry) -> u64 {
    let mut sum: u64 = 0;
    for occurrence in &entry.occurrences {
        for (step, groups) in entry.job.steps.iter().zip(&occurrence.groups) {
            let members: usize = groups.iter().map(|group| group.members.len()).sum();
            sum = sum.saturating_add(step.need.accelerators.saturating_mul(members as u64));
        }
    }
    sum
}
