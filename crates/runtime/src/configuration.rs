//! The configuration as a box uses it: who may submit which requests, and the limits that apply to them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use derive_more::{Display, Error};
use jobs::{QueueId, QueuePolicy, ServiceId};
use model::{CustomerId, Duration};
use scheduler::Policy;

/// Address of a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Host that callers name, compared without regard to case.
    pub host: String,
    /// Prefix of the path.
    pub prefix: String,
    /// Queue that the address leads to.
    pub queue: QueueId,
    /// Whether requests need no key.
    pub open: bool,
}

/// Limits on callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallLimits {
    /// Longest head of a request, in bytes.
    pub max_head: usize,
    /// Longest body of a request, in bytes.
    pub max_body: usize,
    /// Time limit for the head of a request to arrive.
    pub head_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

/// A version of the configuration that the operators wrote.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// Version number; increases with each change.
    pub version: u64,
    /// Document as the operators wrote it.
    pub document: Arc<[u8]>,
    /// Addresses of the queues.
    pub routes: Vec<Route>,
    /// Services that backend servers may belong to.
    pub services: BTreeSet<ServiceId>,
    /// Customer of each key.
    pub keys: BTreeMap<String, CustomerId>,
    /// Policy of the scheduler.
    pub policy: Policy,
    /// Limits on callers' requests.
    pub limits: CallLimits,
}

/// Access that a request has been granted.
#[derive(Debug, Clone, PartialEq)]
pub struct Access {
    /// Queue that the request addresses.
    pub queue: QueueId,
    /// Policy of the queue; `None` if the configuration has none for it.
    pub policy: Option<QueuePolicy>,
    /// Customer whose key the request has; `None` on an open queue without a valid key.
    pub customer: Option<CustomerId>,
    /// Path after the prefix of the queue.
    pub rest: String,
}

/// The reason why a request is denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Denied {
    /// The box has no configuration yet.
    #[display("this box has no configuration yet")]
    NotConfigured,
    /// No queue has the host and path of the request.
    #[display("no queue has this host and path")]
    NoQueue,
    /// The key is missing or belongs to no customer.
    #[display("the key belongs to no customer")]
    UnknownKey,
}

impl Configuration {
    /// Checks the address and the key of a request. Among the queues of the host, the longest matching prefix decides.
    /// Returns [`Denied`] if no queue matches, or if the queue is not open and the key belongs to no customer.
    pub fn access(&self, host: &str, path: &str, key: Option<&str>) -> Result<Access, Denied> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let matching = self.routes.iter().filter(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(&r.prefix));
        let route = matching.max_by_key(|route| route.prefix.len()).ok_or(Denied::NoQueue)?;
        let customer = key.and_then(|key| self.keys.get(key)).cloned();
        if customer.is_none() && !route.open {
            return Err(Denied::UnknownKey);
        }
        let policy = self.policy.queues.get(&route.queue).cloned();
        Ok(Access { queue: route.queue.clone(), policy, customer, rest: path[route.prefix.len()..].to_owned() })
    }
}
