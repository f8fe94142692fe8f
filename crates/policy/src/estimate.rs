//! Run times as they are likely to be, learned from what was declared and what came.
//!
//! Callers' declarations are often far off (brief), but off in the same way for the same customer
//! and class. Two predictors compete: the declaration times a learned factor, and the usual run
//! time of the class whatever is declared. The one that has erred less is used.

use std::collections::BTreeMap;

use model::{ClassId, CustomerId, Duration};

/// Weight of the newest run in the running averages.
const NEWEST: f64 = 0.1;
/// Runs before the averages are trusted.
const WARM_UP: u32 = 5;
/// Largest correction either way, as a power of e: declarations off by more than about twenty
/// times are taken for mistakes.
const MAX_LOG: f64 = 3.0;

/// A run that ended well.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finished {
    /// On whose behalf.
    pub customer: CustomerId,
    /// Its class.
    pub class: ClassId,
    /// As declared.
    pub declared: Duration,
    /// As it came.
    pub ran_for: Duration,
}

/// What has been learned.
#[derive(Debug, Default)]
pub struct Estimates {
    by_kind: BTreeMap<(CustomerId, ClassId), Learned>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Learned {
    runs: u32,
    factor: Average,
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
    /// Learns from a run that ended well.
    pub fn learn(&mut self, it: &Finished) {
        let ran = (it.ran_for.millis().max(1) as f64).ln();
        let declared = (it.declared.millis().max(1) as f64).ln();
        let learned = self.by_kind.entry((it.customer.clone(), it.class.clone())).or_default();
        learned.runs += 1;
        // The first runs weigh equally, so that the averages start from what is seen.
        let weight = NEWEST.max(1.0 / f64::from(learned.runs));
        learned.factor.add((ran - declared).clamp(-MAX_LOG, MAX_LOG), weight);
        learned.usual.add(ran, weight);
    }

    /// How long a job is likely to run in all.
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
