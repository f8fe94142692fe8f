//! What the tasks of one step tell about each other.

use std::collections::BTreeMap;

/// Spread of a task's run time among its siblings until more is known: tasks of one step differ by about a sixth.
const TASK_SPREAD: f64 = 0.17;
/// Number of siblings that this spread counts for.
const INITIAL_SIBLINGS: f64 = 2.0;
/// Distance from the declared duration that is ignored: reported progress errs by about this much at first.
const MIN_DISTANCE: f64 = 0.1;
/// Distance in standard errors below which a mean counts as chance.
const CHANCE_STANDARD_ERRORS: f64 = 2.0;
/// Change of the logarithm from which on a new value is used, so that the order of candidates does not flap.
const MIN_CHANGE: f64 = 0.05;
/// Largest logarithm that is counted: longer or shorter runs are due to a fault.
const MAX_LOG_RATIO: f64 = 3.0;

/// Run times of the tasks of one step, as logarithms of the ratio to the declared duration on a backend server of
/// mean speed.
#[derive(Debug, Clone, Default)]
pub struct Siblings {
    by_task: BTreeMap<u32, f64>,
    sum: f64,
    squares: f64,
    /// Logarithm of the ratio that decisions use; `None` while nothing is known.
    in_use: Option<f64>,
}

impl Siblings {
    /// Records the latest estimate for a task, or its actual run time.
    pub fn record(&mut self, task: u32, log_ratio: f64) {
        let log_ratio = log_ratio.clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
        let before = self.by_task.insert(task, log_ratio);
        self.sum += log_ratio - before.unwrap_or(0.0);
        self.squares += log_ratio * log_ratio - before.map_or(0.0, |before| before * before);
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.by_task.is_empty()
    }

    /// Returns the logarithm of the step's ratio: the mean, or that of the slowest member for a gang, which ends with
    /// it. `None` while nothing is known.
    pub fn log_ratio(&self, gang: bool) -> Option<f64> {
        if gang {
            return self.by_task.values().copied().reduce(f64::max);
        }
        (!self.is_empty()).then(|| self.sum / self.count())
    }

    /// Returns the mean and the standard deviation of the logarithm for one more task of the step. `prior` has both
    /// for the queue.
    pub fn estimate(&self, prior: (f64, f64)) -> (f64, f64) {
        let Some(mean) = self.log_ratio(false) else { return prior };
        let variance = self.variance();
        let (known, unknown) = (self.count() / variance, 1.0 / (prior.1 * prior.1));
        let precision = known + unknown;
        ((mean * known + prior.0 * unknown) / precision, (1.0 / precision + variance).sqrt())
    }

    /// Updates the logarithm that decisions use: 0 unless the declared duration is off by more than chance. Returns
    /// whether it has changed.
    pub fn update_in_use(&mut self, gang: bool) -> bool {
        let Some(mean) = self.log_ratio(gang) else { return false };
        let count = if gang { 1.0 } else { self.count() };
        let chance = CHANCE_STANDARD_ERRORS * (self.variance() / count).sqrt();
        let target = if mean.abs() <= chance.max(MIN_DISTANCE) { 0.0 } else { mean };
        let has_changed = self.in_use.is_none_or(|in_use| (target - in_use).abs() > MIN_CHANGE);
        if has_changed {
            self.in_use = Some(target);
        }
        has_changed
    }

    /// Returns the logarithm that decisions use; `None` while nothing is known.
    pub fn in_use(&self) -> Option<f64> {
        self.in_use
    }

    fn count(&self) -> f64 {
        self.by_task.len() as f64
    }

    /// Returns the variance among the tasks.
    fn variance(&self) -> f64 {
        let squares = (self.squares - self.sum * self.sum / self.count()).max(0.0);
        (squares + INITIAL_SIBLINGS * TASK_SPREAD * TASK_SPREAD) / (self.count() - 1.0 + INITIAL_SIBLINGS)
    }
}
