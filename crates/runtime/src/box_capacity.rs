//! Capacity of a box: the number of backend servers that it can have links to as the scheduler, and what clients'
//! connections may take beside them.
//!
//! A box that exceeds its memory or its descriptors is killed, and so is the next one that is elected after it. A box
//! without capacity for all backend servers links to those with runs, which it must, and of the others to as many whole
//! racks as it can. The rest get no work until a larger box schedules.

use net::{
    admission::{ConnectionLimit, MemoryLimit},
    guard::GuardLimits,
};

/// Bytes of a MB.
const MB: f64 = 1_000_000.0;
/// Memory that a box uses apart from backend servers and connections of clients, in MB: for jobs, and for the list of
/// backend servers while it is read.
const BASE_MEMORY_MB: f64 = 30.0;
/// Memory per backend server, in MB.
const MEMORY_PER_SERVER_MB: f64 = 0.045;
/// Backend servers per core. With more, drains, completions and guarantees are processed too late.
const SERVERS_PER_CORE: f64 = 12_000.0;
/// Descriptors that a box uses apart from backend servers and connections of clients: for files, the store, and calls to
/// other boxes.
const BASE_DESCRIPTORS: usize = 500;
/// Descriptors per backend server: one kept connection, and for one backend server in eight another connection in use.
const DESCRIPTORS_PER_SERVER: f64 = 1.125;
/// Share of a box's memory that connections of clients may hold together.
const CLIENTS_MEMORY_SHARE: f64 = 0.1;
/// Least memory for connections of clients, in MB.
pub const MIN_CLIENTS_MEMORY_MB: f64 = 4.0;
/// Share of a box's descriptors that connections of clients may take, as a fraction.
const CLIENTS_DESCRIPTORS_SHARE: (usize, usize) = (3, 16);
/// Most connections of clients, unless the settings give more.
const USUAL_CLIENTS_CONNECTIONS: usize = 2048;
/// Least limit of the connections of clients.
pub const MIN_CLIENTS_CONNECTIONS: usize = 64;

/// Returns the limits on connections of clients that go with the memory in MB and the descriptors of a box, unless the
/// settings give others.
pub fn guard_limits(memory_mb: f64, descriptors: usize) -> GuardLimits {
    let memory_mb = (memory_mb * CLIENTS_MEMORY_SHARE).max(MIN_CLIENTS_MEMORY_MB);
    let (part, whole) = CLIENTS_DESCRIPTORS_SHARE;
    GuardLimits {
        memory: MemoryLimit((memory_mb * MB) as usize),
        connections: ConnectionLimit(
            (descriptors / whole * part).clamp(MIN_CLIENTS_CONNECTIONS, USUAL_CLIENTS_CONNECTIONS),
        ),
    }
}

/// Capacity of a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BoxCapacity {
    /// Most links to backend servers; at least 1.
    pub servers: usize,
    /// Connections for orders that are kept open between orders.
    pub order_connections: usize,
}

impl BoxCapacity {
    /// Computes the capacity from the share of a core, the memory in MB and the descriptors that the process may use,
    /// with the usual limits on connections of clients.
    pub fn new(cpu_share: f64, memory_mb: f64, descriptors: usize) -> BoxCapacity {
        BoxCapacity::beside(guard_limits(memory_mb, descriptors), cpu_share, memory_mb, descriptors)
    }

    /// Computes the capacity as [`BoxCapacity::new`] does, with given limits on connections of clients.
    pub fn beside(clients: GuardLimits, cpu_share: f64, memory_mb: f64, descriptors: usize) -> BoxCapacity {
        let by_processor = (cpu_share * SERVERS_PER_CORE) as usize;
        let clients_mb = clients.memory.0 as f64 / MB;
        let by_memory = ((memory_mb - BASE_MEMORY_MB - clients_mb) / MEMORY_PER_SERVER_MB).max(1.0) as usize;
        let descriptors = descriptors.saturating_sub(BASE_DESCRIPTORS + clients.connections.0).max(2);
        let by_descriptors = (descriptors as f64 / DESCRIPTORS_PER_SERVER) as usize;
        let servers = by_processor.min(by_memory).min(by_descriptors).max(1);
        BoxCapacity { servers, order_connections: descriptors - servers }
    }
}
