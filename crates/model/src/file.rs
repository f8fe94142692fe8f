//! The operators' file: customers, guaranteed shapes, classes, weights and backend servers.
//!
//! The file is applied whole. [`RawOperatorFile`] is what stands in JSON, [`OperatorFile`] what the
//! rest of the system sees; whether the guarantees can all be held at once is arithmetic over the
//! whole file and is checked by `policy::cells`.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{
    AvailabilityZoneId, BackendServerId, CheckError, ClassId, CustomerId, Gang, JsonPath, RackId, RawResources,
    Resources,
};

/// Highest share of a customer.
const MAX_SHARE: u32 = 1000;
/// Highest bound of a queue, in jobs.
const MAX_QUEUE_LIMIT: u32 = 100_000;
/// Highest weight.
const MAX_WEIGHT: f64 = 100.0;
/// Most gangs in one guarantee.
const MAX_GUARANTEED_GANGS: u32 = 1000;

/// The operators' file as it stands in JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(missing_docs, reason = "the fields are those of `OperatorFile`")]
pub struct RawOperatorFile {
    pub weights: Weights,
    pub classes: Vec<ClassEntry>,
    pub customers: Vec<RawCustomerEntry>,
    pub backend_servers: Vec<BackendServerEntry>,
}

/// A customer as it stands in JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(missing_docs, reason = "the fields are those of `CustomerEntry`")]
pub struct RawCustomerEntry {
    pub id: CustomerId,
    pub share: u32,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<RawResources>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub guarantees: Vec<Guarantee>,
}

/// The operators' file, checked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "RawOperatorFile", into = "RawOperatorFile")]
pub struct OperatorFile {
    /// What placement and order strive for.
    pub weights: Weights,
    /// Classes by id.
    pub classes: BTreeMap<ClassId, ClassEntry>,
    /// Customers by id.
    pub customers: BTreeMap<CustomerId, CustomerEntry>,
    /// Backend servers by id.
    pub backend_servers: BTreeMap<BackendServerId, BackendServerEntry>,
}

/// How much each measure counts; both 0 to `MAX_WEIGHT`, not both 0.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Of short completion times.
    pub completion_time: f64,
    /// Of unbroken racks and workers.
    pub fragmentation: f64,
}

impl Weights {
    /// The part of all weight that lies on fragmentation, 0 to 1.
    pub fn fragmentation_part(&self) -> f64 {
        self.fragmentation / (self.fragmentation + self.completion_time)
    }
}

/// A class of jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassEntry {
    /// Its id.
    pub id: ClassId,
    /// Whether its jobs go before others and may take borrowed capacity back at once.
    #[serde(default)]
    pub urgent: bool,
    /// Most waiting jobs of a customer in this class, per box: 1 to `MAX_QUEUE_LIMIT`.
    pub queue_limit: u32,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerEntry {
    /// Its id.
    pub id: CustomerId,
    /// Weight in the fair order, 1 to `MAX_SHARE`.
    pub share: u32,
    /// Most that its jobs may hold at once in one availability zone; `None` for no bound.
    pub quota: Option<Resources>,
    /// Shapes that it can always reclaim.
    pub guarantees: Vec<Guarantee>,
}

/// So many gangs of one shape that a customer can always have at once in one availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// Where.
    pub availability_zone: AvailabilityZoneId,
    /// How many gangs at once, 1 to `MAX_GUARANTEED_GANGS`.
    pub gangs: u32,
    /// The shape of each.
    pub gang: Gang,
}

/// Whether a backend server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Default, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum ServerMode {
    /// It takes new work.
    #[default]
    #[display("active")]
    Active,
    /// It finishes what it has and takes no new work.
    #[display("draining")]
    Draining,
}

/// A backend server and the worker under it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServerEntry {
    /// Its id.
    pub id: BackendServerId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZoneId,
    /// Its rack; the same rack id in two availability zones names two racks.
    pub rack: RackId,
    /// Where it answers.
    pub address: SocketAddr,
    /// What its worker has.
    pub resources: Resources,
    /// Whether it takes new work.
    #[serde(default)]
    pub mode: ServerMode,
}

impl TryFrom<RawOperatorFile> for OperatorFile {
    type Error = CheckError;
    fn try_from(raw: RawOperatorFile) -> Result<OperatorFile, CheckError> {
        let root = JsonPath::root();
        check_weights(&raw.weights, &root.field("weights"))?;
        let backend_servers = check_servers(raw.backend_servers, &root.field("backend_servers"))?;
        let classes = check_classes(raw.classes, &root.field("classes"))?;
        let customers = check_customers(raw.customers, &root.field("customers"))?;
        Ok(OperatorFile { weights: raw.weights, classes, customers, backend_servers })
    }
}

impl From<OperatorFile> for RawOperatorFile {
    fn from(it: OperatorFile) -> RawOperatorFile {
        let raw_customer = |c: CustomerEntry| RawCustomerEntry {
            id: c.id,
            share: c.share,
            quota: c.quota.map(RawResources::from),
            guarantees: c.guarantees,
        };
        RawOperatorFile {
            weights: it.weights,
            classes: it.classes.into_values().collect(),
            customers: it.customers.into_values().map(raw_customer).collect(),
            backend_servers: it.backend_servers.into_values().collect(),
        }
    }
}

fn check_weights(weights: &Weights, path: &JsonPath) -> Result<(), CheckError> {
    for (name, weight) in [("completion_time", weights.completion_time), ("fragmentation", weights.fragmentation)] {
        if !(0.0..=MAX_WEIGHT).contains(&weight) {
            return Err(CheckError::new(&path.field(name), weight, format!("allowed is 0 to {MAX_WEIGHT}")));
        }
    }
    if weights.completion_time + weights.fragmentation <= 0.0 {
        return Err(CheckError::new(path, "both weights at 0", "one of them has to be above 0"));
    }
    Ok(())
}

fn check_classes(raw: Vec<ClassEntry>, path: &JsonPath) -> Result<BTreeMap<ClassId, ClassEntry>, CheckError> {
    if raw.is_empty() {
        return Err(CheckError::new(path, "an empty list", "at least one class"));
    }
    let mut classes = BTreeMap::new();
    for (i, class) in raw.into_iter().enumerate() {
        let path = path.index(i);
        check_range(class.queue_limit, MAX_QUEUE_LIMIT, &path.field("queue_limit"))?;
        if let Some(twice) = classes.insert(class.id.clone(), class) {
            return Err(duplicate(&path, twice.id.as_str()));
        }
    }
    Ok(classes)
}

fn check_customers(
    raw: Vec<RawCustomerEntry>,
    path: &JsonPath,
) -> Result<BTreeMap<CustomerId, CustomerEntry>, CheckError> {
    if raw.is_empty() {
        return Err(CheckError::new(path, "an empty list", "at least one customer"));
    }
    let mut customers = BTreeMap::new();
    for (i, customer) in raw.into_iter().enumerate() {
        let path = path.index(i);
        check_range(customer.share, MAX_SHARE, &path.field("share"))?;
        for (j, guarantee) in customer.guarantees.iter().enumerate() {
            let path = path.field("guarantees").index(j);
            check_range(guarantee.gangs, MAX_GUARANTEED_GANGS, &path.field("gangs"))?;
        }
        let entry = CustomerEntry {
            id: customer.id.clone(),
            share: customer.share,
            quota: customer.quota.map(Resources::from),
            guarantees: customer.guarantees,
        };
        if let Some(twice) = customers.insert(customer.id, entry) {
            return Err(duplicate(&path, twice.id.as_str()));
        }
    }
    Ok(customers)
}

fn check_servers(
    raw: Vec<BackendServerEntry>,
    path: &JsonPath,
) -> Result<BTreeMap<BackendServerId, BackendServerEntry>, CheckError> {
    let mut servers = BTreeMap::new();
    for (i, server) in raw.into_iter().enumerate() {
        let path = path.index(i);
        if server.resources == Resources::default() {
            let allowed = "at least one of accelerators, cores, memory_gb above 0";
            return Err(CheckError::new(&path.field("resources"), server.resources, allowed));
        }
        if let Some(twice) = servers.insert(server.id.clone(), server) {
            return Err(duplicate(&path, twice.id.as_str()));
        }
    }
    Ok(servers)
}

fn check_range(value: u32, max: u32, path: &JsonPath) -> Result<(), CheckError> {
    if value == 0 || value > max {
        return Err(CheckError::new(path, value, format!("allowed is 1 to {max}")));
    }
    Ok(())
}

fn duplicate(path: &JsonPath, id: &str) -> CheckError {
    CheckError::new(&path.field("id"), id, "an id that stands only once in its list")
}
