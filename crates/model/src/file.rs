//! Operators' file: customers, guaranteed gangs, classes, weights and backend servers.
//!
//! The file is applied as a whole. [`RawOperatorFile`] is its JSON form, [`OperatorFile`] the checked form that the
//! rest of the system uses. Whether all guarantees can be met at the same time depends on the whole file and is checked
//! by `policy::cells`.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{
    AvailabilityZoneId, BackendServerId, CheckError, ClassId, CustomerId, Gang, JsonPath, RackId, RawResources,
    Resources,
};

/// Highest share of a customer, a weight without unit.
const MAX_SHARE: u32 = 1000;
/// Highest queue limit, in jobs.
const MAX_QUEUE_LIMIT: u32 = 100_000;
/// Highest weight of a measure in [`Weights`].
const MAX_WEIGHT: f64 = 100.0;
/// Most gangs in one guarantee.
const MAX_GUARANTEED_GANGS: u32 = 1000;

/// JSON form of the operators' file, not yet checked.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(missing_docs, reason = "the fields are those of `OperatorFile`")]
pub struct RawOperatorFile {
    pub weights: Weights,
    pub classes: Vec<ClassEntry>,
    pub customers: Vec<RawCustomerEntry>,
    pub backend_servers: Vec<BackendServerEntry>,
}

/// JSON form of a customer, not yet checked.
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

/// Checked operators' file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "RawOperatorFile", into = "RawOperatorFile")]
pub struct OperatorFile {
    /// Weights of the measures that placement and ordering optimize.
    pub weights: Weights,
    /// Classes of jobs, at least one, by id.
    pub classes: BTreeMap<ClassId, ClassEntry>,
    /// Customers, at least one, by id.
    pub customers: BTreeMap<CustomerId, CustomerEntry>,
    /// Backend servers, possibly none, by id.
    pub backend_servers: BTreeMap<BackendServerId, BackendServerEntry>,
}

/// Relative weights of the optimized measures, each 0 to `MAX_WEIGHT` and not both 0.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of short completion times.
    pub completion_time: f64,
    /// Weight of low fragmentation, that is of keeping whole racks and workers free.
    pub fragmentation: f64,
}

impl Weights {
    /// Returns the share of the total weight that is on fragmentation, 0 to 1.
    pub fn fragmentation_share(&self) -> f64 {
        self.fragmentation / (self.fragmentation + self.completion_time)
    }
}

/// Class of jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassEntry {
    /// Identifier, unique in the file.
    pub id: ClassId,
    /// Whether its jobs are ordered before others and may reclaim lent capacity immediately.
    #[serde(default)]
    pub urgent: bool,
    /// Most waiting jobs of one customer in this class on one box, 1 to `MAX_QUEUE_LIMIT`.
    pub queue_limit: u32,
}

/// Customer with its share, quota and guarantees.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerEntry {
    /// Identifier, unique in the file.
    pub id: CustomerId,
    /// Weight in fair sharing, 1 to `MAX_SHARE`.
    pub share: u32,
    /// Most resources that its jobs may use at the same time in one availability zone; `None` for no bound.
    pub quota: Option<Resources>,
    /// Gangs whose resources it can always reclaim.
    pub guarantees: Vec<Guarantee>,
}

/// Guaranteed number of equal gangs that a customer can always run at the same time in one availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// Availability zone that the guarantee applies to.
    pub availability_zone: AvailabilityZoneId,
    /// Number of gangs at the same time, 1 to `MAX_GUARANTEED_GANGS`.
    pub gangs: u32,
    /// Tasks, resources and extent of each gang.
    pub gang: Gang,
}

/// Mode of a backend server, set by operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Default, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum ServerMode {
    /// The backend server accepts new work.
    #[default]
    #[display("active")]
    Active,
    /// The backend server finishes its current work and accepts no new work.
    #[display("draining")]
    Draining,
}

/// Backend server and the worker that it runs tasks on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServerEntry {
    /// Identifier, unique in the file.
    pub id: BackendServerId,
    /// Availability zone of the backend server.
    pub availability_zone: AvailabilityZoneId,
    /// Rack of the worker. The same rack id in two availability zones denotes two racks.
    pub rack: RackId,
    /// Address that the backend server listens on.
    pub address: SocketAddr,
    /// Resources of the worker, not all zero.
    pub resources: Resources,
    /// Mode, active by default.
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
        if let Some(earlier) = classes.insert(class.id.clone(), class) {
            return Err(duplicate(&path, earlier.id.as_str()));
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
        if let Some(earlier) = customers.insert(customer.id, entry) {
            return Err(duplicate(&path, earlier.id.as_str()));
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
        if let Some(earlier) = servers.insert(server.id.clone(), server) {
            return Err(duplicate(&path, earlier.id.as_str()));
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
