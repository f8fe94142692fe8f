//! What an adapter to a platform provides.

use std::{collections::BTreeMap, net::SocketAddr, time::Instant};

use jobs::{Checkpoint, Fence, RunNumber, StepId, TaskId};
use model::{AvailabilityZoneId, BackendServerId, BoxId, Duration, Incarnation};
use net::{BoxFuture, NetError};
use outside::Item;
use scheduler::{Listing, Machine, MachineId, MaintenanceReply, MaintenanceRequest, Permit, ServerInfo, StartReply};

use crate::Configuration;

/// One life of a backend server, and where it is reached.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Target {
    /// Its id.
    pub id: BackendServerId,
    /// Which life is meant: another one that answers there obeys nothing. `None` before its first word, and on a
    /// platform where each life has an id of its own.
    pub incarnation: Option<Incarnation>,
    /// Where.
    pub addr: SocketAddr,
}

/// A lease, counted from when it was decided on: a box that stands still before it sends it must not prolong it.
#[derive(Debug, Clone, Copy)]
pub struct Lease {
    /// When.
    pub from: Instant,
    /// For how long.
    pub length: Duration,
}

/// Renews the lease of everything that runs on a backend server, acknowledges ends, and asks for its listing.
#[derive(Debug, Clone)]
pub struct Heartbeat {
    /// The scheduler's fencing token.
    pub fence: Fence,
    /// Ends up to this serial number are acknowledged.
    pub acknowledged: u64,
    /// `None` renews nothing.
    pub lease: Option<Lease>,
    /// The answer may wait this long for an end.
    pub wait: Duration,
}

/// What a backend server answers to a [`Heartbeat`].
#[derive(Debug, Clone)]
pub enum HeartbeatReply {
    /// What it runs and what ended.
    Listing(Listing),
    /// It obeys a later scheduler.
    Fenced,
    /// Another life of it answered.
    Gone,
}

/// Starts a run.
#[derive(Debug, Clone)]
pub struct Start {
    /// The scheduler's fencing token.
    pub fence: Fence,
    /// What.
    pub task: TaskId,
    /// Which run of it.
    pub run: RunNumber,
    /// The job's text.
    pub text: std::sync::Arc<str>,
    /// Where to go on from.
    pub checkpoint: Option<Checkpoint>,
    /// How long it may run on without a renewal.
    pub lease: Lease,
    /// The adviser's leave, if the queue needs one.
    pub permit: Option<Permit>,
}

/// How fast a run may work.
#[derive(Debug, Clone, Copy)]
pub struct ThrottleOrder {
    /// The scheduler's fencing token.
    pub fence: Fence,
    /// What.
    pub task: TaskId,
    /// Which run of it.
    pub run: RunNumber,
    /// Share of its full speed, 0 to 100.
    pub percent: u32,
}

/// What a backend server answers to a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReply {
    /// The run ends, or never begins.
    Stopped,
    /// It obeys a later scheduler.
    Fenced,
    /// Another life of it answered.
    Gone,
}

/// Calls to backend servers. Nothing here retries; each call to a backend server ends within its limit.
///
/// An order and an acknowledgement must reach no other life than the one that is meant, also if it has the same id.
pub trait BackendServers: Send + Sync + 'static {
    /// Renews, acknowledges and lists. A listing of another life than the one that is meant names it, and then nothing was renewed or
    /// acknowledged.
    fn heartbeat(&self, target: Target, heartbeat: Heartbeat) -> BoxFuture<'_, Result<HeartbeatReply, NetError>>;
    /// Starts a run. The error is an answer that did not come.
    fn start(&self, target: Target, start: Start) -> BoxFuture<'_, StartReply>;
    /// Stops a run.
    fn stop(
        &self,
        target: Target,
        fence: Fence,
        task: TaskId,
        run: RunNumber,
    ) -> BoxFuture<'_, Result<StopReply, NetError>>;
    /// Lets a run work at a share of its speed. `true` if it does, `false` if it is not there or was refused.
    fn throttle(&self, target: Target, order: ThrottleOrder) -> BoxFuture<'_, Result<bool, NetError>>;
    /// Forgets the connections to a backend server that has gone.
    fn remove(&self, target: &Target);
}

/// Tells where steps of some queues may run.
pub trait PermitService: Send + Sync + 'static {
    /// Asks about a step; the answer names the backend servers that are allowed, with their tickets. `takes` is what
    /// the adviser itself needs for it.
    fn request_permits(
        &self,
        step: StepId,
        servers: Vec<BackendServerId>,
        takes: Duration,
    ) -> BoxFuture<'_, Result<BTreeMap<BackendServerId, Permit>, NetError>>;
}

/// The platform's machines, and the upkeep that it gives them.
pub trait Machines: Send + Sync + 'static {
    /// All machines.
    fn list(&self) -> BoxFuture<'_, Result<Vec<Machine>, NetError>>;
    /// Hands a machine over for the upkeep of a wave; everything there dies at once. Safe to send twice.
    fn begin_maintenance(
        &self,
        machine: MachineId,
        wave: u64,
        holder: BoxId,
        fence: Fence,
    ) -> BoxFuture<'_, MaintenanceReply>;
}

/// A backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedServer {
    /// Where it is.
    pub target: Target,
    /// What it is.
    pub info: ServerInfo,
}

/// Why an item of the store cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{key}: {why}")]
pub struct DecodeError {
    /// The item's key.
    pub key: String,
    /// What is wrong.
    pub why: String,
}

/// Reads what the platform and its operators keep in the store.
pub trait Decoder: Send + Sync + 'static {
    /// The key of the configuration in force.
    fn configuration_key(&self) -> String;
    /// Reads the configuration.
    fn configuration(&self, document: &[u8]) -> Result<Configuration, DecodeError>;
    /// Every backend server has a key under this prefix.
    fn servers_prefix(&self) -> String;
    /// Reads a backend server's item.
    fn server(&self, item: &Item) -> Result<ListedServer, DecodeError>;
    /// Every wave of upkeep has a key under this prefix.
    fn maintenance_prefix(&self) -> String;
    /// Reads a wave's item.
    fn maintenance_request(&self, item: &Item) -> Result<MaintenanceRequest, DecodeError>;
    /// What operators read of a wave: the key, and the value.
    fn maintenance_status(&self, number: u64, succeeded: bool) -> (String, Vec<u8>);
    /// While the platform's operators have an availability zone evacuated, it has a key under this prefix.
    fn evacuations_prefix(&self) -> String;
    /// That key.
    fn evacuation_key(&self, zone: &AvailabilityZoneId) -> String;
    /// Which availability zone such a key names.
    fn evacuated_zone(&self, key: &str) -> Option<AvailabilityZoneId>;
    /// Which backend server a key under the prefix belongs to.
    fn server_of_key(&self, key: &str) -> Option<BackendServerId>;
}
