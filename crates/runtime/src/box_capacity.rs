//! Capacity of a box as the scheduler: the number of backend servers that it can have links to.
//!
//! A box that exceeds its memory or its descriptors is killed, and so is the next one that is elected after it. A box
//! without capacity for all backend servers links to those with runs, which it must, and of the others to as many whole
//! racks as it can. The rest get no work until a larger box schedules.

/// Memory that a box uses apart from backend servers, in MB: for jobs, callers, and the list of backend servers while
/// it is read.
const BASE_MEMORY_MB: f64 = 40.0;
/// Memory per backend server, in MB.
const MEMORY_PER_SERVER_MB: f64 = 0.045;
/// Backend servers per core. With more, drains, completions and guarantees are processed too late.
const SERVERS_PER_CORE: f64 = 12_000.0;
/// Descriptors that a box uses apart from backend servers: for files, callers, other boxes and the store.
const BASE_DESCRIPTORS: usize = 700;
/// Descriptors per backend server: one kept connection, and for one backend server in eight another connection in use.
const DESCRIPTORS_PER_SERVER: f64 = 1.125;

/// Capacity of a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BoxCapacity {
    /// Most links to backend servers; at least 1.
    pub servers: usize,
    /// Connections for orders that are kept open between orders.
    pub order_connections: usize,
}

impl BoxCapacity {
    /// Computes the capacity from the share of a core, the memory in MB and the descriptors that the process may use.
    pub fn new(cpu_share: f64, memory_mb: f64, descriptors: usize) -> BoxCapacity {
        let by_processor = (cpu_share * SERVERS_PER_CORE) as usize;
        let by_memory = ((memory_mb - BASE_MEMORY_MB) / MEMORY_PER_SERVER_MB).max(1.0) as usize;
        let descriptors = descriptors.saturating_sub(BASE_DESCRIPTORS).max(2);
        let by_descriptors = (descriptors as f64 / DESCRIPTORS_PER_SERVER) as usize;
        let servers = by_processor.min(by_memory).min(by_descriptors).max(1);
        BoxCapacity { servers, order_connections: descriptors - servers }
    }
}
