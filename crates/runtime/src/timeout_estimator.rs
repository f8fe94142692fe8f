//! Estimates the timeout of calls to the store from its response times, as in RFC 6298.

use model::Duration;

/// Shortest timeout, however fast responses are: a small box is now and then suspended for as long.
const MIN_TIMEOUT: Duration = Duration::from_millis(100);
/// Weight of the latest response time in the mean and in the deviation.
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
/// Deviations above the mean after which a call times out.
const DEVIATIONS: f64 = 4.0;

/// Estimator of the response time of the store.
#[derive(Debug)]
pub struct TimeoutEstimator {
    /// Mean response time in milliseconds; `None` before the first response.
    mean: Option<f64>,
    deviation: f64,
    /// Doubled by each timeout, until a response arrives.
    backoff_factor: f64,
    max_timeout: Duration,
}

impl TimeoutEstimator {
    /// Creates an estimator. `max_timeout` is the timeout before the first response, and the upper limit afterwards.
    pub fn new(max_timeout: Duration) -> TimeoutEstimator {
        TimeoutEstimator { mean: None, deviation: 0.0, backoff_factor: 1.0, max_timeout }
    }

    /// Returns the timeout of the next call.
    pub fn timeout(&self) -> Duration {
        let Some(mean) = self.mean else { return self.max_timeout };
        let estimate = Duration::from_millis((mean + DEVIATIONS * self.deviation) as u64);
        estimate.max(MIN_TIMEOUT).scaled(self.backoff_factor).min(self.max_timeout)
    }

    /// Records the response time of a call.
    pub fn record_response(&mut self, after: Duration) {
        let after = after.millis() as f64;
        match &mut self.mean {
            None => (self.mean, self.deviation) = (Some(after), after / 2.0),
            Some(mean) => {
                self.deviation += DEVIATION_WEIGHT * ((after - *mean).abs() - self.deviation);
                *mean += MEAN_WEIGHT * (after - *mean);
            }
        }
        self.backoff_factor = 1.0;
    }

    /// Records a call that timed out.
    pub fn record_timeout(&mut self) {
        self.backoff_factor = (self.backoff_factor * 2.0).min(self.max_timeout.secs_f64() / MIN_TIMEOUT.secs_f64());
    }
}
