//! Policy of a queue, as the operators configure it.
//!
//! Operators may remove a queue while jobs that were accepted there have work left. A job is therefore stored with the
//! policy of its queue, since no later scheduler may have seen a configuration that names the queue.
//!
//! The serialized field names are short, since each stored job holds a policy.

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

/// Version of the operators' configuration. It rises with each change.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Default,
    Serialize,
    Deserialize,
    Display,
    derive_more::FromStr,
)]
#[serde(transparent)]
pub struct ConfigurationVersion(pub u64);

/// How a queue uses the permit service, which decides on which backend servers a step may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitPolicy {
    /// Time that each request takes.
    #[serde(rename = "b")]
    pub base: Duration,
    /// Additional time for each backend server in a request.
    #[serde(rename = "e")]
    pub each: Duration,
    /// Validity of a permit.
    #[serde(rename = "v")]
    pub valid: Duration,
}

/// Policy of one queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Newest known version of the configuration that has this policy.
    #[serde(rename = "c")]
    pub version: ConfigurationVersion,
    /// Priority of its jobs: 0 is the highest and may preempt others.
    #[serde(rename = "p")]
    pub priority: u32,
    /// How often a task may fail before its job fails.
    #[serde(rename = "a")]
    pub attempts: u32,
    /// A job's objective is this multiple of its critical path, plus `objective`.
    #[serde(rename = "x")]
    pub stretch: f64,
    /// Constant part of a job's objective; see `stretch`.
    #[serde(rename = "o")]
    pub objective: Duration,
    /// Service whose backend servers run its tasks.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Permit settings; `None` if its tasks need no permits.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub permits: Option<PermitPolicy>,
}

impl QueuePolicy {
    /// Whether both are the same but for the version of their configurations.
    pub fn has_same_settings(&self, other: &QueuePolicy) -> bool {
        QueuePolicy { version: other.version, ..self.clone() } == *other
    }
}
