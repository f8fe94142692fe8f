//! Run time estimates, learned from declared and measured run times.
//!
//! Callers' declarations are often far off (platform brief), but in the same way for the same customer and class.
//! There are two predictors: the declaration times a learned factor, and the usual run time of the class
//! whatever is declared. An estimate uses the one with the smaller variance so far.

use std::collections::BTreeMap;

use model::{ClassId, CustomerId, Duration};

/// Weight of the newest run in the running averages, 0 to 1.
const NEWEST: f64 = 0.1;
/// Number of runs before the averages are used.
const WARM_UP: u32 = 5;
/// Largest correction in either direction, as a power of e: declarations wrong by more than a factor of about
/// twenty are treated as mistakes.
const MAX_LOG: f64 = 3.0;

/// A run that succeeded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finished {
    /// Customer that submitted the job.
    pub customer: CustomerId,
    /// Class of the job.
    pub class: ClassId,
    /// Run time declared by the caller.
    pub declared: Duration,
    /// Measured run time.
    pub ran_for: Duration,
}

/// Learned run times by customer and class.
#[derive(Debug, Default)]
pub struct Estimates {
    by_kind: BTreeMap<(CustomerId, ClassId), Learned>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Learned {
    runs: u32,
    /// Measured over declared run time.
    factor: Average,
    /// Measured run time in milliseconds.
    usual: Average,
}

/// A running mean and variance of logarithms.
#[derive(Debug, Default, Clone, Copy)]
struct Average {
    mean: f64,
    variance: f64,
}

impl Average {
    fn add(&mut self, value: f64, weight: f64) {
        let off = value - self.mean;
        self.mean += weight * off;
        self.variance = (1.0 - weight) * (self.variance + weight * off * off);
    }
}

impl Estimates {
    /// Updates the estimates with a run that succeeded.
    pub fn learn(&mut self, it: &Finished) {
        let ran = (it.ran_for.millis().max(1) as f64).ln();
        let declared = (it.declared.millis().max(1) as f64).ln();
        let learned = self.by_kind.entry((it.customer.clone(), it.class.clone())).or_default();
        learned.runs += 1;
        // The first runs have equal weights, so that the averages start from measured values.
        let weight = NEWEST.max(1.0 / f64::from(learned.runs));
        learned.factor.add((ran - declared).clamp(-MAX_LOG, MAX_LOG), weight);
        learned.usual.add(ran, weight);
    }

    /// Returns the estimated run time of a job from its start. This is the declared time until enough runs of the
    /// customer and class have ended.
    pub fn likely(&self, customer: &CustomerId, class: &ClassId, declared: Duration) -> Duration {
        let Some(learned) = self.by_kind.get(&(customer.clone(), class.clone())) else { return declared };
        if learned.runs < WARM_UP {
            return declared;
        }
        let log = if learned.factor.variance <= learned.usual.variance {
            (declared.millis().max(1) as f64).ln() + learned.factor.mean
        } else {
            learned.usual.mean
        };
        Duration::from_millis(log.exp().max(1.0) as u64)
    }
}
