//! Settings of the scheduler in the operators' configuration.

use std::{collections::BTreeMap, sync::Arc};

use derive_more::Display;
use jobs::QueueId;
use model::{CustomerId, Duration};
use serde::{Deserialize, Serialize};

use crate::fair_share::Weight;

/// Id of a service: a pool of backend servers that run it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(transparent)]
pub struct ServiceId(Arc<str>);

impl From<&str> for ServiceId {
    fn from(name: &str) -> ServiceId {
        ServiceId(Arc::from(name))
    }
}

/// How a queue uses the permit service, which decides on which backend servers a step may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitPolicy {
    /// Time that each request takes.
    pub base: Duration,
    /// Additional time for each backend server in a request.
    pub each: Duration,
    /// Validity of a permit.
    pub valid: Duration,
}

/// Policy of one queue.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuePolicy {
    /// Priority of its jobs: 0 is the highest and may preempt others.
    pub priority: u32,
    /// How often a task may fail before its job fails.
    pub attempts: u32,
    /// A job's objective is this multiple of its critical path, plus `objective`.
    pub stretch: f64,
    /// Constant part of a job's objective; see `stretch`.
    pub objective: Duration,
    /// Service whose backend servers run its tasks.
    pub service: ServiceId,
    /// Permit settings; `None` if its tasks need no permits.
    pub permits: Option<PermitPolicy>,
}

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
