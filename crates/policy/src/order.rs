//! The order in which a round considers waiting jobs.
//!
//! Precedence comes first. Among equals the response ratio decides (waiting time plus estimated run time, over
//! estimated run time): it favours short jobs and raises long ones as they wait. The weight on fragmentation
//! raises large gangs, and jobs of a customer that uses more than its share come later.

use model::{Duration, Weights};

use crate::round::Precedence;

/// Weight of a customer's use, relative to its share, in the denominator of a job's score.
const SHARE_PENALTY: f64 = 1.0;

/// The properties of one job that its order depends on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OrderFactors {
    pub(crate) precedence: Precedence,
    pub(crate) waited: Duration,
    pub(crate) likely: Duration,
    pub(crate) tasks: u32,
    /// The customer's fraction of the accelerators in use, over its fraction of all shares.
    pub(crate) use_over_share: f64,
}

/// Returns the sort key of a job; the lowest comes first.
pub(crate) fn key(factors: &OrderFactors, weights: &Weights) -> (Precedence, f64) {
    if factors.precedence == Precedence::Overdue {
        // Overdue gangs sort by age, since one may stop another that was accepted after it: otherwise the
        // younger gang could take again what was freed for the older.
        return (factors.precedence, -factors.waited.secs_f64());
    }
    let likely = factors.likely.secs_f64().max(1.0);
    let fragmentation = weights.fragmentation_share();
    // With all weight on completion time this is the response ratio; with none it is the waiting time plus the
    // estimated run time, which comes close to the order of arrival.
    let ratio = (factors.waited.secs_f64() + likely) / likely.powf(1.0 - fragmentation);
    let size = f64::from(factors.tasks).powf(fragmentation);
    let share = 1.0 + SHARE_PENALTY * factors.use_over_share;
    (factors.precedence, -(ratio * size / share))
}
