//! Settings of a box, given at its start.

use std::net::SocketAddr;

use model::{AvailabilityZoneId, BoxId, Duration};
use net::guard::GuardLimits;
use scheduler::Timing;

use crate::box_capacity::BoxCapacity;

/// Validated settings of a box.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Id of the box.
    pub box_id: BoxId,
    /// Availability zone of the box.
    pub availability_zone: AvailabilityZoneId,
    /// Address at which other boxes reach the box.
    pub peers_address: SocketAddr,
    /// Addresses of boxes known from the start; these boxes may no longer exist.
    pub seeds: Vec<SocketAddr>,
    /// Share of a core that the box has; boxes with more become candidates earlier.
    pub cpu_share: f64,
    /// Bandwidth of the link of the box, in Mbit/s; boxes with more become candidates earlier.
    pub link_mbps: f64,
    /// Memory that the process may use, in MB; boxes with more become candidates earlier.
    pub memory_mb: f64,
    /// Number of backend servers that the box can have links to as the scheduler.
    pub capacity: BoxCapacity,
    /// Limits on the connections of clients of all servers of the process together.
    pub guard: GuardLimits,
    /// Lease of the scheduler's key: the time after the failure of a scheduler at which another one can be elected.
    pub election_ttl: Duration,
    /// Longest wait of a watch on the configuration, whose response also shows that the store is reachable.
    pub watch_wait: Duration,
    /// Time without a response of the store after which requests are relayed to other boxes.
    pub store_silence: Duration,
    /// Timing of the scheduler.
    pub timing: Timing,
}
