//! How many backend servers a scheduling box can carry.
//!
//! A box that takes on more than its memory or its descriptors bear is killed by them, and the next one that is elected after it. One that cannot carry all
//! holds those that run something, which it must, and of the rest whole racks, as many as it can; the others get no work until a larger box schedules.

/// What a box takes besides, in MB: its jobs, its callers, the list of backend servers as it is read.
const MEMORY_BESIDE_MB: f64 = 40.0;
/// What a backend server takes, in MB.
const MEMORY_EACH_MB: f64 = 0.045;
/// Backend servers for a whole core: one that takes on more hears of drains, ends and guarantees too late.
const EACH_CORE: f64 = 12_000.0;
/// Descriptors that a box takes besides: files, callers, other boxes, the store.
const DESCRIPTORS_BESIDE: usize = 700;
/// Descriptors for each backend server: a connection that is kept, and for one in eight another that is in use.
const DESCRIPTORS_EACH: f64 = 1.125;

/// What a box can carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BoxCapacity {
    /// Backend servers.
    pub servers: usize,
    /// Connections for orders that are kept between orders.
    pub order_connections: usize,
}

impl BoxCapacity {
    /// By the box's share of a core, and the memory and the descriptors that its process may take.
    pub fn new(cpu_share: f64, memory_mb: f64, descriptors: usize) -> BoxCapacity {
        let by_processor = (cpu_share * EACH_CORE) as usize;
        let by_memory = ((memory_mb - MEMORY_BESIDE_MB) / MEMORY_EACH_MB).max(1.0) as usize;
        let descriptors = descriptors.saturating_sub(DESCRIPTORS_BESIDE).max(2);
        let by_descriptors = (descriptors as f64 / DESCRIPTORS_EACH) as usize;
        let servers = by_processor.min(by_memory).min(by_descriptors).max(1);
        BoxCapacity { servers, order_connections: descriptors - servers }
    }
}
