//! Settings of the scheduler in the operators' configuration.

use std::collections::BTreeMap;

use jobs::{QueueId, QueuePolicy};
use model::CustomerId;

use crate::fair_share::Weight;

/// Policy of one customer.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct CustomerPolicy {
    /// Accelerators that its jobs of priority 0 can use at any time.
    pub guaranteed_accelerators: u64,
    /// Weight of its fair share where a service is short of capacity.
    pub weight: Weight,
}

/// Configuration in force.
#[derive(Debug, Clone, Default)]
pub struct Policy {
    /// Version of the configuration, for logs.
    pub version: u64,
    /// Policies of the configured queues.
    pub queues: BTreeMap<QueueId, QueuePolicy>,
    /// Policies of the configured customers.
    pub customers: BTreeMap<CustomerId, CustomerPolicy>,
}

impl Policy {
    /// Returns the priority of a queue's jobs; the lowest if the queue is not configured.
    pub(crate) fn priority(&self, queue: &QueueId) -> u32 {
        self.queues.get(queue).map_or(u32::MAX, |queue| queue.priority)
    }
}
