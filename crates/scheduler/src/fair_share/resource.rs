//! Kinds of resources, and which of them a service is short of.

use derive_more::Display;
use jobs::Resources;

/// Kind of resource that shares are counted in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum ResourceKind {
    /// Whole accelerators.
    Accelerators,
    /// Thousandths of a core.
    Cpu,
    /// Megabytes of memory.
    Memory,
}

impl ResourceKind {
    /// All kinds; the first is taken where several are equally scarce, since guarantees are counted in it.
    const ALL: [ResourceKind; 3] = [ResourceKind::Accelerators, ResourceKind::Cpu, ResourceKind::Memory];

    /// Returns the amount of this kind.
    pub fn of(self, resources: &Resources) -> u64 {
        match self {
            ResourceKind::Accelerators => resources.accelerators,
            ResourceKind::Cpu => resources.cpu_milli,
            ResourceKind::Memory => resources.memory_mb,
        }
    }

    /// Returns the kind whose demand, as a multiple of its capacity, is the largest; `None` if each fits.
    pub(super) fn scarcest(demand: &Resources, capacity: &Resources) -> Option<ResourceKind> {
        let excess = |kind: ResourceKind| kind.of(demand) as f64 / kind.of(capacity) as f64;
        let short = ResourceKind::ALL.into_iter().filter(|kind| kind.of(demand) > kind.of(capacity));
        // The demand of a kind that is short is above 0, so the ratio is a number, or infinite.
        short.reduce(|a, b| if excess(b) > excess(a) { b } else { a })
    }
}
