//! The configuration as a box uses it: who may hand in what, and how it is served.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use derive_more::{Display, Error};
use jobs::QueueId;
use model::{CustomerId, Duration};
use scheduler::{Policy, ServiceId};

/// A queue's address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The host that callers name.
    pub host: String,
    /// The beginning of the path.
    pub prefix: String,
    /// The queue.
    pub queue: QueueId,
    /// No key is needed.
    pub open: bool,
}

/// Limits on callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallLimits {
    /// Longest head of a request, in bytes.
    pub max_head: usize,
    /// Longest body, in bytes.
    pub max_body: usize,
    /// How long the head may take to arrive.
    pub head_timeout: Duration,
    /// A connection without a request is closed after this long.
    pub idle_timeout: Duration,
}

/// One version of the operators' configuration.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// Rises with each change.
    pub version: u64,
    /// As the operators wrote it.
    pub document: Arc<[u8]>,
    /// Where queues are reached.
    pub routes: Vec<Route>,
    /// The services that backend servers may belong to.
    pub services: BTreeSet<ServiceId>,
    /// Whose each key is.
    pub keys: BTreeMap<String, CustomerId>,
    /// What the scheduler goes by.
    pub policy: Policy,
    /// Limits on callers' requests.
    pub limits: CallLimits,
}

/// What a caller may do with its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Access {
    /// The queue that it names.
    pub queue: QueueId,
    /// Whose key it bears; `None` on an open queue.
    pub customer: Option<CustomerId>,
    /// The path behind the queue's prefix.
    pub rest: String,
}

/// Why a request goes no further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Denied {
    /// This box has no configuration yet.
    #[display("this box has no configuration yet")]
    NotConfigured,
    /// No queue is there.
    #[display("no queue has this host and path")]
    NoQueue,
    /// The key is missing or belongs to no customer.
    #[display("the key belongs to no customer")]
    UnknownKey,
}

impl Configuration {
    /// Checks a request's address and key. The longest prefix of the host's queues decides.
    pub fn access(&self, host: &str, path: &str, key: Option<&str>) -> Result<Access, Denied> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let matching = self.routes.iter().filter(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(&r.prefix));
        let route = matching.max_by_key(|route| route.prefix.len()).ok_or(Denied::NoQueue)?;
        let customer = key.and_then(|key| self.keys.get(key)).cloned();
        if customer.is_none() && !route.open {
            return Err(Denied::UnknownKey);
        }
        Ok(Access { queue: route.queue.clone(), customer, rest: path[route.prefix.len()..].to_owned() })
    }
}
