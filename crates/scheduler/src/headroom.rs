//! How much room is kept free of work that can wait, so that urgent jobs need not wait for a stop.
//!
//! Room that is kept free and room that is made by a stop do the same for an urgent job, but for the time that a stop
//! takes. So the more is kept free, the longer stops have taken lately.

use model::Duration;

use crate::{
    Scheduler,
    candidate::{Candidate, Requirements},
    fleet_capacity::FleetCapacity,
};

/// Share of a service's accelerators that is kept free where stops take no time: it spares work that is thrown away
/// in stops.
const AT_LEAST: f64 = 0.15;
/// What is added for each second that a stop takes: urgent jobs wait for as long.
const PER_SECOND: f64 = 0.7;
/// The most that is kept free of work that has waited for half of the time that it can: what can wait must not starve.
const AT_MOST_IF_PRESSED: f64 = 0.35;
/// More changes nothing, since nothing is held back while less than 0.55 of the accelerators are in use.
const AT_MOST: f64 = 0.5;
/// What is taken for the time of a stop before one was seen: 0.36 is kept free then.
const UNSEEN: Duration = Duration::from_millis(300);
/// Weight of the latest stop in the mean: some five count, so that a new scheduler soon knows.
const LATEST: f64 = 0.3;
/// Below this share in use, nothing that fits is held back (users' rules: half of a service's capacity).
const LITTLE_USED: f64 = 0.55;
/// A job of which nothing runs is held back for so long at most (users' rules: 3 s until something of it runs).
pub(crate) const STALL_LIMIT: Duration = Duration::from_millis(2000);
/// So many times as much as such a job takes has to be free (users' rules).
const ROOM_BESIDE: u64 = 2;
/// Longer ones tell of a backend server that was out of reach, not of stops.
const LONGEST: Duration = Duration::from_millis(3000);

/// How long stops have taken lately, from the decision to the end in a listing.
#[derive(Debug)]
pub(crate) struct StopDurations {
    mean_s: f64,
}

impl StopDurations {
    pub(crate) fn initial() -> StopDurations {
        StopDurations { mean_s: UNSEEN.secs_f64() }
    }

    pub(crate) fn mean_s(&self) -> f64 {
        self.mean_s
    }

    /// A stop has taken so long.
    pub(crate) fn record(&mut self, took: Duration) {
        let took = took.min(LONGEST).secs_f64();
        self.mean_s += LATEST * (took - self.mean_s);
    }
}

impl Scheduler {
    /// Share of a service's accelerators that is to stay free when work that can wait starts; `pressed` tells that it
    /// has waited for half of the time that it can.
    fn headroom(&self, slack_half_used: bool) -> f64 {
        let most = if slack_half_used { AT_MOST_IF_PRESSED } else { AT_MOST };
        let learned = AT_LEAST + PER_SECOND * self.stop_durations.mean_s;
        self.timing.tuning.headroom.unwrap_or(learned.min(most))
    }

    /// Whether `count` tasks may start beside `taken` that are about to, as far as what is kept free for urgent jobs goes. A job of which nothing has run for long
    /// gets as much of that as lets something of it run: kept room must not starve it.
    pub(crate) fn headroom_allows(
        &self,
        candidate: &Candidate,
        requirements: &Requirements<'_>,
        taken: u64,
        count: u64,
        fleet: &FleetCapacity,
    ) -> bool {
        let is_stalled = || {
            let free = fleet.totals(requirements.service).free;
            candidate.is_stalled && taken == 0 && free >= ROOM_BESIDE * count * requirements.need.accelerators
        };
        requirements.urgent || self.leaves_headroom(requirements, taken, count, fleet) || is_stalled()
    }

    /// Whether enough accelerators stay free for urgent jobs if `count` tasks start beside `taken` that are
    /// about to. While the service is used little, work is never held back for that.
    pub(crate) fn leaves_headroom(
        &self,
        requirements: &Requirements<'_>,
        taken: u64,
        count: u64,
        fleet: &FleetCapacity,
    ) -> bool {
        let totals = fleet.totals(requirements.service);
        let each = requirements.need.accelerators;
        let asked = (each * (taken + count)) as f64 + self.kept_free(requirements, fleet);
        let used = totals.used + each * taken;
        totals.free as f64 >= asked || (used as f64) < totals.all as f64 * LITTLE_USED
    }

    /// Accelerators of a service that are to stay free.
    fn kept_free(&self, requirements: &Requirements<'_>, fleet: &FleetCapacity) -> f64 {
        fleet.totals(requirements.service).all as f64 * self.headroom(requirements.slack_half_used)
    }
}
