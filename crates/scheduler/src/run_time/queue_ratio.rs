//! Mean ratio of actual to declared duration of the steps of a queue that have ended.

/// Spread of declared durations of which nothing is known: half or twice the duration is common.
pub(crate) const DECLARED_SPREAD: f64 = 0.7;
/// Spread of the mean ratios of queues: few are off by more than a third in the mean.
const MEAN_SPREAD: f64 = 0.35;
/// Number of steps that the initial spread counts for.
const INITIAL_STEPS: f64 = 4.0;
/// Most steps that count, so that a change in declarations is followed within a few hundred of them.
const MAX_STEPS: f64 = 200.0;
/// Distance from 1 in standard errors from which on the ratio is used.
const CHANCE_STANDARD_ERRORS: f64 = 2.0;
/// Change of the logarithm from which on a new ratio is used, so that the order of candidates does not flap.
const MIN_CHANGE: f64 = 0.1;

/// Learned ratio of a queue.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QueueRatio {
    steps: f64,
    sum: f64,
    squares: f64,
    /// Logarithm of the ratio in use.
    log_in_use: f64,
}

impl QueueRatio {
    /// Records the logarithm of the ratio of a step that has ended. Returns whether the ratio in use has changed.
    pub fn record(&mut self, log_ratio: f64) -> bool {
        if self.steps >= MAX_STEPS {
            let kept = (MAX_STEPS - 1.0) / self.steps;
            (self.steps, self.sum, self.squares) = (self.steps * kept, self.sum * kept, self.squares * kept);
        }
        self.steps += 1.0;
        self.sum += log_ratio;
        self.squares += log_ratio * log_ratio;
        let target = self.target();
        let has_changed = (target - self.log_in_use).abs() > MIN_CHANGE;
        if has_changed {
            self.log_in_use = target;
        }
        has_changed
    }

    /// Returns the logarithm of the ratio in use; 0 while it is not beyond chance.
    pub fn log_ratio(&self) -> f64 {
        self.log_in_use
    }

    /// Returns the standard deviation of the logarithm among jobs.
    pub fn spread(&self) -> f64 {
        let mean = if self.steps > 0.0 { self.sum / self.steps } else { 0.0 };
        let sum =
            (self.squares - self.steps * mean * mean).max(0.0) + INITIAL_STEPS * DECLARED_SPREAD * DECLARED_SPREAD;
        (sum / (self.steps + INITIAL_STEPS)).sqrt()
    }

    /// Returns the logarithm of the mean ratio, drawn towards 0; 0 if it is within chance.
    fn target(&self) -> f64 {
        let (mean, variance) = (self.sum / self.steps, self.spread().powi(2));
        if mean.abs() < CHANCE_STANDARD_ERRORS * (variance / self.steps).sqrt() {
            return 0.0;
        }
        let precision = self.steps / variance;
        mean * precision / (precision + 1.0 / (MEAN_SPREAD * MEAN_SPREAD))
    }
}
