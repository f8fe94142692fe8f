//! Settings that turn mechanisms of the scheduler on and off or set their strength.

use serde::Deserialize;

/// Settings of single mechanisms. The defaults are meant for production; other values serve to measure the effect of
/// a mechanism.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
    /// Share of a service's accelerators that stays free for urgent jobs when others start, from 0 to 1; `None` to
    /// derive it from measured stop times.
    pub headroom: Option<f64>,
    /// Whether work that can wait is stopped for urgent jobs.
    pub preemption: bool,
    /// Whether runs that are about to end by themselves are exempt from preemption.
    pub spare_ending: bool,
    /// Most work that may be lost for an urgent job without a guarantee, as a multiple of the job's own work.
    pub most_waste: f64,
    /// Whether work that can wait fills the racks from the first on.
    pub rack_filling: bool,
    /// Whether tasks wait for capacity near their data.
    pub data_rack: bool,
    /// Whether a group avoids backend servers where it failed.
    pub avoidance: bool,
    /// Whether backend servers on which a task failed recently are used last.
    pub doubt: bool,
    /// Whether backend servers on which several jobs failed are quarantined for a while.
    pub set_aside: bool,
    /// Whether urgent work prefers backend servers that were measured to be fast.
    pub speed: bool,
    /// Whether learned speeds and the mean duration of stops are kept in the store for the next scheduler.
    pub keep_learned: bool,
    /// Whether run times are estimated from progress, siblings and the queue; otherwise they are as declared.
    pub run_times: bool,
    /// Whether jobs of one priority are ordered by deadline; otherwise by submission.
    pub deadline_order: bool,
    /// Whether customers below their fair share go first where a service is short of capacity.
    pub fair_shares: bool,
    /// Whether the platform's list of machines may prove that a backend server has ended.
    pub machine_list: bool,
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
            keep_learned: true,
            run_times: true,
            deadline_order: true,
            fair_shares: true,
            machine_list: true,
        }
    }
}
