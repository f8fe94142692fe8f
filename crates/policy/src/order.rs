//! The order in which waiting jobs are looked at.
//!
//! The strength of a job's claim comes first. Among equals the response ratio decides (waited plus likely run
//! time, over likely run time), which lets short jobs by and lets long ones age; the weight on
//! fragmentation raises large gangs, and a customer that uses more than its share comes later.

use model::{Duration, Weights};

use crate::round::Claim;

/// How strongly use beyond a customer's share holds its jobs back.
const SHARE_PULL: f64 = 1.0;

/// What the order depends on, for one job.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Standing {
    pub(crate) claim: Claim,
    pub(crate) waited: Duration,
    pub(crate) likely: Duration,
    pub(crate) tasks: u32,
    /// The customer's part of what is used, over its part of all shares.
    pub(crate) use_over_share: f64,
}

/// A sort key; the lowest comes first.
pub(crate) fn key(standing: &Standing, weights: &Weights) -> (Claim, f64) {
    if standing.claim == Claim::Overdue {
        // By age, as one overdue gang may stop another that came after it: else what was freed for
        // the older would go to the younger again.
        return (standing.claim, -standing.waited.secs_f64());
    }
    let likely = standing.likely.secs_f64().max(1.0);
    let fragmentation = weights.fragmentation_share();
    // With all weight on completion time this is the response ratio, with none the order of arrival.
    let ratio = (standing.waited.secs_f64() + likely) / likely.powf(1.0 - fragmentation);
    let size = f64::from(standing.tasks).powf(fragmentation);
    let share = 1.0 + SHARE_PULL * standing.use_over_share;
    (standing.claim, -(ratio * size / share))
}
