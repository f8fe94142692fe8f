//! Headroom: accelerators that stay free of work that can wait, so that urgent jobs can start without stopping runs.
//!
//! For an urgent job, headroom and preemption differ only by the time that a stop takes. So the headroom grows with
//! the time that stops have taken recently.

use model::Duration;

use crate::{
    Scheduler,
    candidate::{Candidate, Requirements},
    fleet_capacity::FleetCapacity,
    server_capacity::Totals,
};

/// Least share of a service's accelerators that stays free, used where stops take no time: it avoids the work that
/// stops would lose.
const MIN_SHARE: f64 = 0.15;
/// Additional share for each second that a stop takes, since urgent jobs wait that long.
const SHARE_PER_STOP_SECOND: f64 = 0.7;
/// Largest share for work that has used up half of its slack, so that work that can wait does not starve.
const MAX_SHARE_HALF_SLACK_USED: f64 = 0.35;
/// Largest share for other work. A larger one would have no effect, since nothing is held back while less than
/// [`LOW_USE_SHARE`] of the accelerators is in use.
const MAX_SHARE: f64 = 0.5;
/// Assumed time of a stop until one was measured; the headroom is then 0.36.
const INITIAL_STOP_TIME: Duration = Duration::from_millis(300);
/// Weight of the latest stop in the mean: about five stops count, so that a new scheduler adapts soon.
const LATEST_WEIGHT: f64 = 0.3;
/// Share in use below which no work that fits is held back (platform rules: half of a service's capacity).
const LOW_USE_SHARE: f64 = 0.55;
/// How long a job of which nothing runs is held back at most (platform rules: 3 s until something of it runs).
pub(crate) const STALL_LIMIT: Duration = Duration::from_millis(2000);
/// Accelerators that must be free so that a stalled job may use headroom, as a multiple of what it takes (platform
/// rules).
const STALLED_FREE_FACTOR: u64 = 2;
/// Longer stops indicate an unreachable backend server rather than the time of a stop.
const MAX_STOP_TIME: Duration = Duration::from_millis(3000);

/// Mean time of recent stops, from the decision until the end of the run is listed.
#[derive(Debug, PartialEq)]
pub(crate) struct StopDurations {
    mean_s: f64,
}

impl StopDurations {
    pub(crate) fn initial() -> StopDurations {
        StopDurations { mean_s: INITIAL_STOP_TIME.secs_f64() }
    }

    /// Makes the mean from that of an earlier scheduler, which counts for `share`.
    pub(crate) fn restored(mean: Duration, share: f64) -> StopDurations {
        let initial_s = INITIAL_STOP_TIME.secs_f64();
        StopDurations { mean_s: initial_s + share * (mean.min(MAX_STOP_TIME).secs_f64() - initial_s) }
    }

    pub(crate) fn mean_s(&self) -> f64 {
        self.mean_s
    }

    /// Records the time that a stop has taken.
    pub(crate) fn record(&mut self, took: Duration) {
        let took = took.min(MAX_STOP_TIME).secs_f64();
        self.mean_s += LATEST_WEIGHT * (took - self.mean_s);
    }
}

impl Scheduler {
    /// Returns the share of a service's accelerators that must stay free when work that can wait starts; it is
    /// smaller for work that has used up half of its slack.
    fn headroom(&self, slack_half_used: bool) -> f64 {
        let most = if slack_half_used { MAX_SHARE_HALF_SLACK_USED } else { MAX_SHARE };
        let learned = MIN_SHARE + SHARE_PER_STOP_SECOND * self.stop_durations.mean_s;
        self.timing.tuning.headroom.unwrap_or(learned.min(most))
    }

    /// Returns how many of a service's free accelerators work that can wait may take now, at most.
    pub(crate) fn free_beside_headroom(&self, totals: &Totals) -> u64 {
        let reserved = totals.all as f64 * self.headroom(true);
        let below_low_use = totals.all as f64 * LOW_USE_SHARE - totals.used as f64;
        (totals.free as f64 - reserved).max(below_low_use).clamp(0.0, totals.free as f64) as u64
    }

    /// Returns whether `count` tasks may start in addition to `taken` that are about to start, given the headroom for
    /// urgent jobs. A stalled job may use as much of the headroom as one of its groups takes, so that headroom cannot
    /// starve it.
    pub(crate) fn headroom_allows(
        &self,
        candidate: &Candidate,
        requirements: &Requirements<'_>,
        taken: u64,
        count: u64,
        fleet: &FleetCapacity,
    ) -> bool {
        let may_use_headroom = || {
            let free = fleet.totals(requirements.service).free;
            candidate.is_stalled
                && taken == 0
                && free >= requirements.need.accelerators.saturating_mul(STALLED_FREE_FACTOR.saturating_mul(count))
        };
        requirements.urgent || self.leaves_headroom(requirements, taken, count, fleet) || may_use_headroom()
    }

    /// Returns whether enough accelerators stay free for urgent jobs if `count` tasks start in addition to `taken`
    /// that are about to start. While little of the service is in use, work is never held back.
    pub(crate) fn leaves_headroom(
        &self,
        requirements: &Requirements<'_>,
        taken: u64,
        count: u64,
        fleet: &FleetCapacity,
    ) -> bool {
        let totals = fleet.totals(requirements.service);
        let each = requirements.need.accelerators;
        let required =
            each.saturating_mul(taken.saturating_add(count)) as f64 + self.reserved_accelerators(requirements, fleet);
        let used = totals.used.saturating_add(each.saturating_mul(taken));
        totals.free as f64 >= required || (used as f64) < totals.all as f64 * LOW_USE_SHARE
    }

    /// Returns the accelerators of a service that must stay free.
    fn reserved_accelerators(&self, requirements: &Requirements<'_>, fleet: &FleetCapacity) -> f64 {
        fleet.totals(requirements.service).all as f64 * self.headroom(requirements.slack_half_used)
    }
}
