//! Estimates of how long a step's tasks run, and how long a run still takes.
//!
//! Declared durations err by job rather than by task. A run's own progress therefore tells most, then the siblings of
//! its step, then the mean ratio of its queue. All functions here take values and return values.

mod progress;
mod queue_ratio;
mod siblings;

use model::{Duration, Moment};

pub use progress::RunProgress;
pub(crate) use queue_ratio::DECLARED_SPREAD;
pub use queue_ratio::QueueRatio;
pub use siblings::Siblings;

/// Distance from its mean, in spreads, from which on a run time counts as refuted by a run that has not ended: chance
/// alone makes a run that long once in 700.
const REFUTED_SPREADS: f64 = 3.0;
/// Seconds for which a run may stay listed after its end: a few listings, of which one may be lost.
const LISTING_DELAY_S: f64 = 1.0;
/// Margin in spreads where a run that has not ended in time is costly. One spread is exceeded by one run in six, and
/// waiting for a lease of 6 s takes about six times as long as a stop and a restart.
const MARGIN_SPREADS: f64 = 1.0;

/// Estimated run time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunTime {
    /// Geometric mean.
    pub mean: Duration,
    /// Standard deviation of the logarithm.
    pub spread: f64,
}

/// Estimated time until a run ends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TimeLeft {
    /// Expected time: by the mean run time, or by its part above the time that the run has taken once that is longer.
    pub mean: Duration,
    /// Time within which the run has ended in five of six cases.
    pub with_margin: Duration,
}

impl RunTime {
    /// Returns the run time of a declared duration that is off by a factor whose logarithm has the given mean and
    /// standard deviation.
    pub fn of_declared(declared: Duration, log_ratio: f64, spread: f64) -> RunTime {
        RunTime { mean: scaled_by_log(declared, log_ratio), spread }
    }

    /// Returns the time that a run still takes which has not ended after `elapsed_s` seconds.
    pub fn left_after(&self, elapsed_s: f64) -> TimeLeft {
        let mean_s = self.mean_s();
        let from_z = |z: f64| mean_s * (self.spread * z).exp() - elapsed_s.max(0.0);
        let duration = |seconds: f64| Duration::from_millis((seconds.max(0.0) * 1000.0) as u64);
        if elapsed_s <= 0.0 || self.spread <= 0.0 {
            return TimeLeft { mean: duration(from_z(0.0)), with_margin: duration(from_z(MARGIN_SPREADS)) };
        }
        // Mean and standard deviation of a normal distribution above the point that has been reached.
        let reached = (elapsed_s / mean_s).ln() / self.spread;
        let mean = mean_above(reached);
        let deviation = (1.0 - mean * (mean - reached)).max(0.0).sqrt();
        let expected = if reached < 0.0 { 0.0 } else { mean };
        TimeLeft { mean: duration(from_z(expected)), with_margin: duration(from_z(mean + MARGIN_SPREADS * deviation)) }
    }

    /// Returns whether a run that has not ended after `elapsed_s` seconds shows this estimate to be false.
    fn is_refuted_after(&self, elapsed_s: f64) -> bool {
        elapsed_s > self.mean_s() * (REFUTED_SPREADS * self.spread).exp() + LISTING_DELAY_S
    }

    /// Returns the mean in seconds, at least the resolution of durations.
    fn mean_s(&self) -> f64 {
        self.mean.secs_f64().max(0.001)
    }
}

/// Values that the remaining time of a run is estimated from while its own progress tells nothing.
#[derive(Debug, Clone, Copy)]
pub struct Run<'a> {
    /// Reported progress.
    pub progress: &'a RunProgress,
    /// Time since it was placed, or since the election if an earlier scheduler placed it.
    pub placed_s: f64,
    /// Estimated run time by the step's siblings, on the run's backend server.
    pub by_siblings: RunTime,
    /// Estimated run time by the declared duration.
    pub by_declaration: RunTime,
}

impl Run<'_> {
    /// Returns the time that the run still takes: by its siblings, or as declared if it has outlasted them.
    pub fn time_left(&self, now: Moment) -> TimeLeft {
        let rest = |total: RunTime| {
            let measured = self.progress.since_measured(&total, now);
            measured.filter(|_| !self.progress.has_known_start()).unwrap_or((total, self.placed_s))
        };
        let (by_siblings, elapsed_s) = rest(self.by_siblings);
        if !by_siblings.is_refuted_after(elapsed_s) {
            return by_siblings.left_after(elapsed_s);
        }
        let (by_declaration, elapsed_s) = rest(self.by_declaration);
        if !by_declaration.is_refuted_after(elapsed_s) {
            return by_declaration.left_after(elapsed_s);
        }
        // Every source is refuted, and so is the progress at the first report.
        self.by_declaration.left_after(self.placed_s)
    }
}

/// Multiplies a duration by a factor with the given logarithm; by 1 exactly if that is 0.
pub(crate) fn scaled_by_log(duration: Duration, log_ratio: f64) -> Duration {
    if log_ratio == 0.0 { duration } else { duration.scaled(log_ratio.exp()) }
}

/// Returns the mean of the part of a standard normal distribution above `z`.
fn mean_above(z: f64) -> f64 {
    if z < -8.0 {
        return 0.0;
    }
    if z > 4.0 {
        return z + 1.0 / z - 2.0 / z.powi(3);
    }
    let density = (-z * z / 2.0).exp() / std::f64::consts::TAU.sqrt();
    // Abramowitz and Stegun, 26.2.17.
    let t = 1.0 / (1.0 + 0.231_641_9 * z.abs());
    let coefficients = [1.330_274_429, -1.821_255_978, 1.781_477_937, -0.356_563_782, 0.319_381_530];
    let tail = density * coefficients.iter().fold(0.0, |sum, c| (sum + c) * t);
    density / if z < 0.0 { 1.0 - tail } else { tail }
}
