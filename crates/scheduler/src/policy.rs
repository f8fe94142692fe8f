//! Settings of the scheduler in the operators' configuration.

use std::collections::BTreeMap;

use jobs::{ConfigurationVersion, QueueId, QueuePolicy};
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
    /// Version of the configuration.
    pub version: ConfigurationVersion,
    /// Policies of the configured queues. A scheduler also has those of removed queues, for the jobs accepted there.
    pub queues: BTreeMap<QueueId, QueuePolicy>,
    /// Policies of the configured customers.
    pub customers: BTreeMap<CustomerId, CustomerPolicy>,
}

impl Policy {
    /// Returns the priority of a queue's jobs; the lowest if the queue is not configured.
    pub(crate) fn priority(&self, queue: &QueueId) -> u32 {
        self.queues.get(queue).map_or(u32::MAX, |queue| queue.priority)
    }

    /// Replaces the configuration by a newer one. Queues that it does not name keep their last policy while they have
    /// jobs, and in any case until the change after it: boxes may still accept jobs by the earlier configuration.
    pub(crate) fn replace(&mut self, newer: Policy, has_jobs: impl Fn(&QueueId) -> bool) {
        let earlier = std::mem::replace(self, newer);
        for (queue, policy) in earlier.queues {
            let was_configured = policy.version >= earlier.version;
            if was_configured || has_jobs(&queue) {
                self.learn(&queue, &policy);
            }
        }
    }

    /// Adds the policy that a queue had in some version of the configuration, unless a newer one is known. Returns
    /// whether the queue has other settings than before.
    pub(crate) fn learn(&mut self, queue: &QueueId, policy: &QueuePolicy) -> bool {
        match self.queues.get_mut(queue) {
            None => {
                self.queues.insert(queue.clone(), policy.clone());
                true
            }
            Some(known) if known.version < policy.version => {
                let has_changed = !known.has_same_settings(policy);
                *known = policy.clone();
                has_changed
            }
            Some(_) => false,
        }
    }
}
