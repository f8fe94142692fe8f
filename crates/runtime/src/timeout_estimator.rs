//! How long the store may take to answer before a call is made again: learned from its answers, as in RFC 6298.

use model::Duration;

/// A call is not made again before this, however quick answers have been: a small box stands still for as long now and then.
const SHORTEST: Duration = Duration::from_millis(100);
/// Weight of the latest answer in the mean time of answers, and in their deviation.
const IN_MEAN: f64 = 0.125;
const IN_DEVIATION: f64 = 0.25;
/// So many deviations above the mean an answer is given up.
const DEVIATIONS: f64 = 4.0;

/// How long the store takes to answer.
#[derive(Debug)]
pub struct TimeoutEstimator {
    /// Milliseconds; `None` before the first answer.
    mean: Option<f64>,
    deviation: f64,
    /// Doubled by each call without an answer, until one is answered.
    patience: f64,
    longest: Duration,
}

impl TimeoutEstimator {
    /// Before anything is known, a call may take `longest`; it never gets longer.
    pub fn new(longest: Duration) -> TimeoutEstimator {
        TimeoutEstimator { mean: None, deviation: 0.0, patience: 1.0, longest }
    }

    /// How long the next call may take.
    pub fn timeout(&self) -> Duration {
        let Some(mean) = self.mean else { return self.longest };
        let learned = Duration::from_millis((mean + DEVIATIONS * self.deviation) as u64);
        learned.max(SHORTEST).scaled(self.patience).min(self.longest)
    }

    /// A call was answered after so long.
    pub fn record_response(&mut self, after: Duration) {
        let after = after.millis() as f64;
        match &mut self.mean {
            None => (self.mean, self.deviation) = (Some(after), after / 2.0),
            Some(mean) => {
                self.deviation += IN_DEVIATION * ((after - *mean).abs() - self.deviation);
                *mean += IN_MEAN * (after - *mean);
            }
        }
        self.patience = 1.0;
    }

    /// A call was not answered in time.
    pub fn record_timeout(&mut self) {
        self.patience = (self.patience * 2.0).min(self.longest.secs_f64() / SHORTEST.secs_f64());
    }
}
