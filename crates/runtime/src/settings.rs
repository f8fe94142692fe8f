//! What a box is told at its start.

use std::net::SocketAddr;

use model::{AvailabilityZoneId, BoxId, Duration};
use scheduler::Timing;

use crate::box_capacity::BoxCapacity;

/// A box's settings, checked.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its name.
    pub box_id: BoxId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZoneId,
    /// Where other boxes reach it.
    pub peers_address: SocketAddr,
    /// Boxes known from the start; they may be gone.
    pub seeds: Vec<SocketAddr>,
    /// Share of a core that the box has: larger boxes stand for election earlier.
    pub cpu_share: f64,
    /// What the box's link carries, in Mbit/s: boxes with wider links stand for election earlier.
    pub link_mbps: f64,
    /// Memory that the box's process may take, in MB: boxes with more of it stand for election earlier.
    pub memory_mb: f64,
    /// How many backend servers the box can carry as the scheduler.
    pub capacity: BoxCapacity,
    /// Lease of the scheduler's key: how long after its death another is elected.
    pub election_ttl: Duration,
    /// Longest wait of a watch that also tells whether the store is reached.
    pub watch_wait: Duration,
    /// Without an answer of the store for this long, requests go through other boxes.
    pub store_silence: Duration,
    /// Times of the scheduler.
    pub timing: Timing,
}
