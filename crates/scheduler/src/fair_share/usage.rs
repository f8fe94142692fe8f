//! Resources that placed tasks take, by queue and customer, kept as runs start and end.

use std::collections::BTreeMap;

use jobs::{QueueId, Resources};

use super::Claimant;

/// Resources of all placed tasks, by the queue and the customer of their job. The customer may be unknown.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    by_queue: BTreeMap<QueueId, BTreeMap<Claimant, Resources>>,
}

impl Usage {
    /// Counts resources of tasks that were placed.
    pub(crate) fn add(&mut self, queue: &QueueId, customer: &Claimant, resources: &Resources) {
        if *resources == Resources::default() {
            return;
        }
        let customers = match self.by_queue.get_mut(queue) {
            Some(customers) => customers,
            None => self.by_queue.entry(queue.clone()).or_default(),
        };
        match customers.get_mut(customer) {
            Some(held) => held.add(resources),
            None => drop(customers.insert(customer.clone(), *resources)),
        }
    }

    /// Removes resources of tasks that have ended.
    pub(crate) fn remove(&mut self, queue: &QueueId, customer: &Claimant, resources: &Resources) {
        let Some(customers) = self.by_queue.get_mut(queue) else { return };
        let Some(held) = customers.get_mut(customer) else { return };
        held.remove(resources);
        if *held == Resources::default() {
            customers.remove(customer);
        }
        if customers.is_empty() {
            self.by_queue.remove(queue);
        }
    }

    /// Returns what each customer holds in each queue.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&QueueId, &Claimant, &Resources)> {
        self.by_queue
            .iter()
            .flat_map(|(queue, customers)| customers.iter().map(move |(customer, held)| (queue, customer, held)))
    }
}
