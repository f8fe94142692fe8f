//! Traits that an adapter to a platform implements, and the messages that they exchange.
//!
//! This module keeps the rest of the crate independent of a platform's wire protocol and of the format of its stored
//! items.

use std::{collections::BTreeMap, net::SocketAddr, time::Instant};

use jobs::{Checkpoint, Fence, RunNumber, StepId, TaskId};
use model::{AvailabilityZoneId, BackendServerId, BoxId, Duration, Incarnation};
use net::{BoxFuture, NetError};
use outside::Item;
use scheduler::{
    Listing, MachineId, MachineList, MaintenanceReply, MaintenanceRequest, Permit, ServerInfo, StartReply,
};

use crate::Configuration;

/// One incarnation of a backend server and its address.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Target {
    /// Id of the backend server.
    pub id: BackendServerId,
    /// Incarnation that a call is meant for; any other incarnation at this address rejects the call. `None` before the
    /// first response, and on a platform where each incarnation has its own id.
    pub incarnation: Option<Incarnation>,
    /// Address at which the backend server is reached.
    pub addr: SocketAddr,
}

/// A lease, counted from the moment at which it was decided: a delay before it is sent, as of a suspended box, must not
/// prolong it.
#[derive(Debug, Clone, Copy)]
pub struct Lease {
    /// Start of the lease.
    pub from: Instant,
    /// Length of the lease.
    pub length: Duration,
}

/// A heartbeat: renews the leases of all runs on a backend server, acknowledges completions and requests a listing.
#[derive(Debug, Clone)]
pub struct Heartbeat {
    /// The scheduler's fencing token.
    pub fence: Fence,
    /// Completions up to this serial number are acknowledged.
    pub acknowledged: u64,
    /// New lease for the runs; `None` renews nothing.
    pub lease: Option<Lease>,
    /// Longest time that the backend server may hold its reply back to wait for a completion.
    pub wait: Duration,
}

/// Reply of a backend server to a [`Heartbeat`].
#[derive(Debug, Clone)]
pub enum HeartbeatReply {
    /// Runs and unacknowledged completions of the backend server.
    Listing(Listing),
    /// The backend server has accepted the fencing token of a later scheduler.
    Fenced,
    /// Another incarnation replied.
    Gone,
}

/// Order to start a run.
#[derive(Debug, Clone)]
pub struct Start {
    /// The scheduler's fencing token.
    pub fence: Fence,
    /// Task to run.
    pub task: TaskId,
    /// Number of the run among those of its task.
    pub run: RunNumber,
    /// Text of the job.
    pub text: std::sync::Arc<str>,
    /// Checkpoint to resume from; `None` starts the task from the beginning.
    pub checkpoint: Option<Checkpoint>,
    /// Lease of the run: without a renewal, the run stops when it expires.
    pub lease: Lease,
    /// Permit of the permit service; `None` if the queue needs none.
    pub permit: Option<Permit>,
}

/// Order to change the speed of a run.
#[derive(Debug, Clone, Copy)]
pub struct ThrottleOrder {
    /// The scheduler's fencing token.
    pub fence: Fence,
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run among those of its task.
    pub run: RunNumber,
    /// Share of the full speed in percent, 0 to 100.
    pub percent: u32,
}

/// Reply of a backend server to a stop order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReply {
    /// The run is being stopped, or will never start.
    Stopped,
    /// The backend server has accepted the fencing token of a later scheduler.
    Fenced,
    /// Another incarnation replied.
    Gone,
}

/// Calls to backend servers. No method retries, and each call to a backend server ends within its own time limit.
///
/// Orders and acknowledgements must reach only the incarnation that they are meant for, even if another one has the
/// same id.
pub trait BackendServers: Send + Sync + 'static {
    /// Sends a heartbeat. If another incarnation replies with a listing, the listing names that incarnation, and
    /// nothing was renewed or acknowledged.
    fn heartbeat(&self, target: Target, heartbeat: Heartbeat) -> BoxFuture<'_, Result<HeartbeatReply, NetError>>;
    /// Starts a run. A missing response is reported as [`StartReply::Unknown`].
    fn start(&self, target: Target, start: Start) -> BoxFuture<'_, StartReply>;
    /// Stops a run. Returns an error if no valid response arrived; the run may have been stopped all the same.
    fn stop(
        &self,
        target: Target,
        fence: Fence,
        task: TaskId,
        run: RunNumber,
    ) -> BoxFuture<'_, Result<StopReply, NetError>>;
    /// Sets the speed of a run. Returns `true` if it was set, and `false` if the backend server does not have the run
    /// or rejected the order.
    fn throttle(&self, target: Target, order: ThrottleOrder) -> BoxFuture<'_, Result<bool, NetError>>;
    /// Closes the connections to a backend server that has been removed.
    fn remove(&self, target: &Target);
}

/// Service that permits the steps of some queues to run on certain backend servers.
pub trait PermitService: Send + Sync + 'static {
    /// Requests permits for a step. Returns the permitted backend servers with their permits. `takes` is the processing
    /// time that the service itself needs for the request.
    fn request_permits(
        &self,
        step: StepId,
        servers: Vec<BackendServerId>,
        takes: Duration,
    ) -> BoxFuture<'_, Result<BTreeMap<BackendServerId, Permit>, NetError>>;
}

/// Machines of the platform and their maintenance.
pub trait Machines: Send + Sync + 'static {
    /// Lists all machines.
    fn list(&self) -> BoxFuture<'_, Result<MachineList, NetError>>;
    /// Hands a machine over for maintenance, as part of a batch. All processes on it are terminated at once.
    /// Idempotent.
    fn begin_maintenance(
        &self,
        machine: MachineId,
        wave: u64,
        holder: BoxId,
        fence: Fence,
    ) -> BoxFuture<'_, MaintenanceReply>;
}

/// Entry of a backend server in the list that the platform keeps.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedServer {
    /// Address and incarnation.
    pub target: Target,
    /// Properties of the backend server.
    pub info: ServerInfo,
    /// When it wrote the entry, in milliseconds by its own clock; `None` if the entry does not tell.
    pub written_clock_ms: Option<u64>,
}

/// Error for an item of the store that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{key}: {why}")]
pub struct DecodeError {
    /// Key of the item.
    pub key: String,
    /// Description of the fault.
    pub why: String,
}

/// Decoder of the items that the platform and its operators keep in the store.
pub trait Decoder: Send + Sync + 'static {
    /// Returns the key of the current configuration.
    fn configuration_key(&self) -> String;
    /// Decodes the configuration.
    fn configuration(&self, document: &[u8]) -> Result<Configuration, DecodeError>;
    /// Returns the prefix of the keys of all backend servers.
    fn servers_prefix(&self) -> String;
    /// Decodes the item of a backend server.
    fn server(&self, item: &Item) -> Result<ListedServer, DecodeError>;
    /// Returns the prefix of the keys of all maintenance requests.
    fn maintenance_prefix(&self) -> String;
    /// Decodes the item of a maintenance request.
    fn maintenance_request(&self, item: &Item) -> Result<MaintenanceRequest, DecodeError>;
    /// Returns the key and the value under which operators find the status of a maintenance batch.
    fn maintenance_status(&self, number: u64, succeeded: bool) -> (String, Vec<u8>);
    /// Returns the prefix of the keys of evacuated availability zones. A key exists while the operators of the platform
    /// have its zone evacuated.
    fn evacuations_prefix(&self) -> String;
    /// Returns the key that marks an availability zone as evacuated.
    fn evacuation_key(&self, zone: &AvailabilityZoneId) -> String;
    /// Returns the availability zone that an evacuation key names; `None` if the key is malformed.
    fn evacuated_zone(&self, key: &str) -> Option<AvailabilityZoneId>;
    /// Returns the backend server that a key names; `None` if the key is malformed.
    fn server_of_key(&self, key: &str) -> Option<BackendServerId>;
}
