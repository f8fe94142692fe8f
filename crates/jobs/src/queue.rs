//! Policy of a queue, as the operators configure it.

use std::sync::Arc;

use derive_more::Display;
use model::Duration;
use serde::{Deserialize, Serialize};

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
