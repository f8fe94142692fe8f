//! What the operators' configuration asks of the scheduler.

use std::{collections::BTreeMap, sync::Arc};

use derive_more::Display;
use jobs::QueueId;
use model::{CustomerId, Duration};
use serde::{Deserialize, Serialize};

/// A pool of backend servers that run one service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(transparent)]
pub struct ServiceId(Arc<str>);

impl From<&str> for ServiceId {
    fn from(name: &str) -> ServiceId {
        ServiceId(Arc::from(name))
    }
}

/// The adviser of a queue tells which backend servers may run a step, and gives a ticket for each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitPolicy {
    /// What each question takes.
    pub base: Duration,
    /// What each backend server that it names takes besides.
    pub each: Duration,
    /// How long a ticket holds.
    pub valid: Duration,
}

/// How the jobs of one queue are served.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuePolicy {
    /// 0 goes first and may take the place of others.
    pub priority: u32,
    /// How often a task may fail before its job has failed.
    pub attempts: u32,
    /// A job's objective is this many times its longest chain of work, plus `objective`.
    pub stretch: f64,
    /// See `stretch`.
    pub objective: Duration,
    /// The backend servers that run its tasks.
    pub service: ServiceId,
    /// Set if its tasks start only where the adviser allows it.
    pub permits: Option<PermitPolicy>,
}

/// What a customer may count on.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct CustomerPolicy {
    /// Accelerators that its jobs of priority 0 get at any time.
    pub guaranteed_accelerators: u64,
}

/// The configuration in force.
#[derive(Debug, Clone, Default)]
pub struct Policy {
    /// The configuration's version, for logs.
    pub version: u64,
    /// By queue.
    pub queues: BTreeMap<QueueId, QueuePolicy>,
    /// By customer.
    pub customers: BTreeMap<CustomerId, CustomerPolicy>,
}

impl Policy {
    /// The priority of a queue's jobs: the lowest while no configuration names it.
    pub(crate) fn priority(&self, queue: &QueueId) -> u32 {
        self.queues.get(queue).map_or(u32::MAX, |queue| queue.priority)
    }
}
