//! What customers' guarantees cover while a plan is made.

use std::collections::BTreeMap;

use model::CustomerId;

use crate::{Scheduler, run_state::JobEntry};

/// Guaranteed accelerators by customer.
#[derive(Debug)]
pub(crate) struct Guarantees {
    /// Covered beside the running jobs of priority 0.
    left: BTreeMap<CustomerId, u64>,
    /// Customers whose running jobs of priority 0 hold more than is guaranteed.
    beyond: BTreeMap<CustomerId, bool>,
}

impl Guarantees {
    pub(crate) fn new(scheduler: &Scheduler) -> Guarantees {
        let mut held: BTreeMap<&CustomerId, u64> = BTreeMap::new();
        for id in &scheduler.open_jobs {
            let entry = &scheduler.jobs[id];
            if let Some(customer) = entry.job.customer.as_ref().filter(|_| entry.priority == 0) {
                *held.entry(customer).or_insert(0) += accelerators_held(entry);
            }
        }
        let customers = &scheduler.policy.customers;
        let left = customers.iter().map(|(id, policy)| {
            let held = held.get(id).copied().unwrap_or(0);
            (id.clone(), policy.guaranteed_accelerators.saturating_sub(held))
        });
        let beyond = held.iter().map(|(id, held)| {
            let guaranteed = customers.get(*id).map_or(0, |policy| policy.guaranteed_accelerators);
            ((*id).clone(), *held > guaranteed)
        });
        Guarantees { left: left.collect(), beyond: beyond.collect() }
    }

    /// Whether a customer's guarantee covers so many more accelerators; if so, they are taken from it.
    pub(crate) fn take(&mut self, customer: Option<&CustomerId>, accelerators: u64) -> bool {
        let Some(left) = customer.and_then(|customer| self.left.get_mut(customer)) else { return false };
        if *left < accelerators {
            return false;
        }
        *left -= accelerators;
        true
    }

    /// Whether a customer's running jobs of priority 0 hold more than is guaranteed.
    pub(crate) fn is_beyond(&self, customer: Option<&CustomerId>) -> bool {
        customer.is_none_or(|customer| self.beyond.get(customer).copied().unwrap_or(false))
    }
}

/// Accelerators that a job's members hold, the ones that are being stopped included.
fn accelerators_held(entry: &JobEntry) -> u64 {
    let mut sum = 0;
    for occurrence in &entry.occurrences {
        for (step, groups) in entry.job.steps.iter().zip(&occurrence.groups) {
            let members: usize = groups.iter().map(|group| group.members.len()).sum();
            sum += step.need.accelerators * members as u64;
        }
    }
    sum
}
