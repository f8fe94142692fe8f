//! Mechanisms of the scheduler that can be weighed one by one.

use serde::Deserialize;

/// How strong a mechanism is, or whether it is at work at all. The defaults are what is meant for use; others are for
/// measuring what a mechanism is worth.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
    /// Share of a service's accelerators that is left free for urgent jobs when others start; `None` to learn it.
    pub headroom: Option<f64>,
    /// Work that can wait is stopped for urgent jobs.
    pub preemption: bool,
    /// Runs that are about to end by themselves are not stopped for others.
    pub spare_ending: bool,
    /// Most work that is thrown away for an urgent job without a guarantee, as a multiple of its own.
    pub most_waste: f64,
    /// Work that can wait fills the racks from the first.
    pub rack_filling: bool,
    /// Tasks wait for room near their data.
    pub data_rack: bool,
    /// A group keeps off backend servers where it failed.
    pub avoidance: bool,
    /// Backend servers on which something has failed lately are taken last.
    pub doubt: bool,
    /// Backend servers on which several jobs have failed take no work for a while.
    pub set_aside: bool,
    /// Urgent work goes to the backend servers that have shown to be fast.
    pub speed: bool,
    /// Jobs of one priority go by their deadlines, not in the order in which they came.
    pub deadline_order: bool,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            headroom: None,
            preemption: true,
            spare_ending: true,
            most_waste: 1.0,
            rack_filling: true,
            data_rack: true,
            avoidance: true,
            doubt: true,
            set_aside: true,
            speed: true,
            deadline_order: true,
        }
    }
}
