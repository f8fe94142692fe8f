//! Learned speeds of backend servers.
//!
//! A run's declared duration is off by an error that its step shares and by one of its own; the rest is due to its
//! backend server. Each run is therefore compared with the other runs of its step: among many, one run says much;
//! alone, next to nothing. Reported progress counts as well as completions, since a gang ends as one with its slowest
//! member, and a slow run can be detected long before it ends.

use model::{BackendServerId, Moment};
use serde::Serialize;

use crate::{
    Scheduler,
    completions::RunningTask,
    run_state::{GroupId, Member, Phase},
};

/// Variance of a run's own error, in the logarithm of its duration: tasks of one step differ by about a sixth.
const RUN_VARIANCE: f64 = 0.03;
/// Variance of the error of a step's declared duration: half or twice the duration is common.
const STEP_VARIANCE: f64 = 0.25;
/// Variance among backend servers before anything is learned about one.
const SERVER_VARIANCE: f64 = 0.12;
/// Precision (inverse variance) that a measured run adds at most, and the one of a backend server of which nothing is
/// learned.
pub(crate) const RUN_PRECISION: f64 = 1.0 / RUN_VARIANCE;
pub(crate) const PRIOR_PRECISION: f64 = 1.0 / SERVER_VARIANCE;
/// Largest precision (inverse variance) of a learned speed. About eight runs count, so that the estimate follows
/// changes.
const MAX_PRECISION: f64 = 8.0 / RUN_VARIANCE;
/// Runs whose logarithm is off by more than this count for less: a few take many times as long on any backend server.
const OUTLIER_LOG_DISTANCE: f64 = 0.7;
/// Progress in percent that a run must make before its speed is measured.
const MIN_PROGRESS_PERCENT: u32 = 12;

/// Runs of a step are compared once there are this many, or all that the step has left.
const COMPARED_RUNS: usize = 8;
/// Change of the fleet's mean, in the logarithm, from which on the new mean is used.
const MIN_MEAN_CHANGE: f64 = 0.1;

/// Learned speed of a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Speed {
    /// Logarithm of the ratio of a run's duration here to its declared duration, as far as the declaration is right.
    log_factor: f64,
    /// Inverse variance of `log_factor`.
    precision: f64,
    /// Number of runs that it is learned from.
    runs: u32,
    /// Time of the latest of these measurements.
    at: Moment,
}

impl Default for Speed {
    fn default() -> Speed {
        Speed { log_factor: 0.0, precision: 1.0 / SERVER_VARIANCE, runs: 0, at: Moment::ZERO }
    }
}

/// Class of backend servers that are treated as equally fast.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum SpeedClass {
    /// At least about 15 % faster than the mean.
    Fast,
    /// As fast as the mean, or unknown.
    #[default]
    Usual,
    /// At least about 15 % slower than the mean.
    Slow,
    /// Takes at least about half as long again as the mean.
    Slowest,
}

impl SpeedClass {
    /// All classes, from the fastest to the slowest.
    pub(crate) const ALL: [SpeedClass; 4] =
        [SpeedClass::Fast, SpeedClass::Usual, SpeedClass::Slow, SpeedClass::Slowest];
}

/// Ratio of variances from which on backend servers count as different, and the one below which they count as equal
/// again.
const DIFFERENT_FROM_RATIO: f64 = 1.3;
const EQUAL_BELOW_RATIO: f64 = 1.0;
/// Distance of that ratio from 1, in standard errors, from which on backend servers count as different: with few of
/// them, chance alone makes a larger difference.
const CHANCE_STANDARD_ERRORS: f64 = 3.0;

/// Distance from the mean, in the logarithm of a run's duration, from which on a backend server counts as faster or
/// slower.
pub(crate) const CLASS_DISTANCE: f64 = 0.15;
/// The same distance in standard errors: a difference that rests on few runs is more often chance.
const CLASS_STANDARD_ERRORS: f64 = 2.0;
/// Distance from the mean from which on a backend server counts as slowest.
const SLOWEST_DISTANCE: f64 = 0.4;

impl Speed {
    /// Makes a speed from the record of an earlier scheduler.
    pub(crate) fn restored(log_factor: f64, precision: f64, runs: u32, at: Moment) -> Speed {
        Speed { log_factor, precision, runs, at }
    }

    pub(crate) fn is_known(&self) -> bool {
        self.runs > 0
    }

    pub(crate) fn log_factor(&self) -> f64 {
        self.log_factor
    }

    pub(crate) fn measured_at(&self) -> Moment {
        self.at
    }

    /// Returns the precision beyond that of a backend server of which nothing is learned.
    pub(crate) fn learned_precision(&self) -> f64 {
        self.precision - PRIOR_PRECISION
    }

    /// Returns the logarithm of the ratio of a run's duration here to that on the mean of the fleet.
    fn relative_to(&self, fleet: &FleetSpeed) -> f64 {
        if self.runs == 0 { 0.0 } else { self.log_factor - fleet.mean }
    }

    pub(crate) fn class(&self, fleet: &FleetSpeed) -> SpeedClass {
        let class_distance = CLASS_DISTANCE.max(CLASS_STANDARD_ERRORS / self.precision.sqrt());
        match self.relative_to(fleet) {
            _ if !fleet.differ => SpeedClass::Usual,
            log if log < -class_distance => SpeedClass::Fast,
            log if log < class_distance => SpeedClass::Usual,
            log if log < SLOWEST_DISTANCE => SpeedClass::Slow,
            _ => SpeedClass::Slowest,
        }
    }

    /// Returns the expected square of the learned logarithm if all backend servers were equally fast.
    fn expected_square(&self) -> f64 {
        self.learned_precision() / self.precision.powi(2)
    }

    /// Learns from a run. `log_ratio` is the logarithm of the ratio of its duration to the expected one, and
    /// `variance` the variance of that expectation.
    fn learn(&mut self, log_ratio: f64, variance: f64, now: Moment) {
        let distance = (log_ratio - self.log_factor).abs();
        let trust = if distance > OUTLIER_LOG_DISTANCE { OUTLIER_LOG_DISTANCE / distance } else { 1.0 };
        let weight = trust / (RUN_VARIANCE + variance);
        self.log_factor += (log_ratio - self.log_factor) * weight / (self.precision + weight);
        self.precision = (self.precision + weight).min(MAX_PRECISION);
        self.runs = self.runs.saturating_add(1);
        self.at = now;
    }
}

/// Learned speeds of all backend servers together.
///
/// A backend server's speed counts only relative to the mean, since all declared durations may be off, and only if
/// the backend servers differ by more than chance.
#[derive(Debug, Default)]
pub(crate) struct FleetSpeed {
    known: usize,
    sum: f64,
    squares: f64,
    /// What `squares` would be if all were equally fast.
    expected_squares: f64,
    /// Mean that is in use.
    mean: f64,
    /// Whether they count as different.
    differ: bool,
}

impl FleetSpeed {
    /// Replaces the speed of one backend server. Returns whether the classes of other backend servers may change.
    fn record(&mut self, before: &Speed, after: &Speed) -> bool {
        self.add(before, -1.0);
        self.add(after, 1.0);
        self.known = self.known + usize::from(after.runs > 0) - usize::from(before.runs > 0);
        let mean = self.latest_mean();
        let differ = self.spread() > if self.differ { EQUAL_BELOW_RATIO } else { self.chance_limit() };
        let has_changed = (mean - self.mean).abs() > MIN_MEAN_CHANGE || differ != self.differ;
        if has_changed {
            log::info!(
                "event=fleet_speed mean={mean:.2} spread={:.2} differ={differ} known={}",
                self.spread(),
                self.known
            );
            (self.mean, self.differ) = (mean, differ);
        }
        has_changed
    }

    /// Returns the mean of all learned logarithms; the one in use follows it in steps.
    pub(crate) fn latest_mean(&self) -> f64 {
        if self.known == 0 { 0.0 } else { self.sum / self.known as f64 }
    }

    /// Whether backend servers differ by more than chance.
    pub(crate) fn differs(&self) -> bool {
        self.differ
    }

    fn add(&mut self, speed: &Speed, sign: f64) {
        if speed.runs > 0 {
            self.sum += sign * speed.log_factor;
            self.squares += sign * speed.log_factor.powi(2);
            self.expected_squares += sign * speed.expected_square();
        }
    }

    /// Returns the ratio of variances that chance alone does not reach.
    fn chance_limit(&self) -> f64 {
        let standard_error = (2.0 / (self.known.max(2) - 1) as f64).sqrt();
        DIFFERENT_FROM_RATIO.max(1.0 + CHANCE_STANDARD_ERRORS * standard_error)
    }

    /// Returns the ratio of the variance among backend servers to the one expected if they were equally fast; about 1
    /// if they are, and 0 while fewer than two are known.
    pub(crate) fn spread(&self) -> f64 {
        if self.known < 2 {
            return 0.0;
        }
        let known = self.known as f64;
        (self.squares / known - (self.sum / known).powi(2)) / (self.expected_squares / known)
    }
}

/// Runs of one step that wait to be compared with each other: the backend server and the logarithm of the ratio of
/// actual to declared duration.
#[derive(Debug, Clone, Default)]
pub(crate) struct StepTimes {
    waiting: Vec<(BackendServerId, f64)>,
    /// Ratios of the runs that were compared, without the share of their backend servers. They are kept because slow
    /// backend servers report after the fast ones are done.
    compared: Vec<f64>,
}

/// Progress of a run when it was first reported, as the start of a measurement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Measured {
    /// Nothing was reported.
    NotYet,
    /// Nothing was reported, and the run started before this scheduler was elected, at an unknown time.
    StartedBefore,
    /// Time and percentage at which the measurement starts.
    From(Moment, u32),
    /// Its speed has been measured.
    Done,
}

impl Member {
    /// Returns the start of the measurement: the run's start, unless it resumes from a checkpoint.
    fn measured_from(&self, checkpoint: bool) -> Measured {
        match (self.measured, self.phase, self.confirmed_at) {
            (Measured::NotYet, Phase::Running, Some(started)) if !checkpoint => Measured::From(started, 0),
            (measured, ..) => measured,
        }
    }
}

/// Speed of a backend server, for operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SpeedReport {
    /// Backend server that the report is about.
    pub server: BackendServerId,
    /// Ratio of a run's duration there to that on the mean of the fleet; 1 while nothing is known.
    pub factor: f64,
    /// Number of runs that the factor is learned from.
    pub runs: u32,
    /// Milliseconds since the latest measurement; `None` if there was none.
    pub age_ms: Option<u64>,
}

/// Differences between backend servers, for operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SpeedSummary {
    /// Number of backend servers whose speed is known, measured or restored.
    pub known: usize,
    /// Number of them whose speed was restored from an earlier scheduler and not measured yet.
    pub restored: usize,
    /// Ratio of the variance among backend servers to the one expected by chance; about 1 if they are equally fast.
    pub spread: f64,
    /// Whether urgent work prefers fast backend servers.
    pub in_use: bool,
    /// Slowest backend servers, the slowest first; at most 10.
    pub slowest: Vec<SpeedReport>,
}

/// Number of backend servers in the report of the slowest.
const REPORTED_SLOWEST: usize = 10;

impl Scheduler {
    /// Returns the speed of a backend server; `None` if the backend server is not tracked.
    pub fn speed(&self, id: &BackendServerId, now: Moment) -> Option<SpeedReport> {
        let speed = self.servers.get(id)?.speed;
        Some(SpeedReport {
            server: id.clone(),
            factor: speed.relative_to(&self.fleet_speed).exp(),
            runs: speed.runs,
            age_ms: (speed.runs > 0).then(|| now.since(speed.at).millis()),
        })
    }

    /// Returns how much backend servers differ, with the slowest of them.
    pub fn speeds(&self, now: Moment) -> SpeedSummary {
        let known = self.servers.iter().filter(|(_, server)| server.speed.runs > 0);
        let mut slowest: Vec<(f64, &BackendServerId)> =
            known.map(|(id, server)| (server.speed.relative_to(&self.fleet_speed), id)).collect();
        slowest.sort_by(|a, b| b.0.total_cmp(&a.0));
        let report = |&(_, id): &(f64, &BackendServerId)| self.speed(id, now);
        SpeedSummary {
            known: self.fleet_speed.known,
            restored: self.learned.unmeasured(),
            spread: self.fleet_speed.spread(),
            in_use: self.fleet_speed.differ && self.timing.tuning.speed,
            slowest: slowest.iter().take(REPORTED_SLOWEST).filter_map(report).collect(),
        }
    }

    /// Measures the speed of a run by its reported progress.
    pub(crate) fn measure_progress(&mut self, name: GroupId, id: &BackendServerId, running: &RunningTask, now: Moment) {
        let checkpoint = self.progress_of(name).checkpoint.is_some();
        if self.step(name).long_running || self.step(name).best_effort {
            return;
        }
        let Some(member) = self.member_mut(name, running.task.index, id) else { return };
        let percent = running.percent;
        match member.measured_from(checkpoint) {
            // A run at 100 % may have waited for the rest of its gang.
            Measured::From(from, done) if percent >= done + MIN_PROGRESS_PERCENT && percent < 100 => {
                member.measured = Measured::Done;
                let total_s = now.since(from).secs_f64() * 100.0 / f64::from(percent - done);
                self.learn_speed(name, id, total_s, now);
            }
            Measured::NotYet | Measured::StartedBefore if percent > 0 => member.measured = Measured::From(now, percent),
            _ => {}
        }
    }

    /// Measures the speed of an independent task by its completion, unless its progress was measured before.
    pub(crate) fn measure_completion(&mut self, name: GroupId, index: u32, id: &BackendServerId, now: Moment) {
        let checkpoint = self.progress_of(name).checkpoint.is_some();
        let step = self.step(name);
        if step.gang && step.count > 1 || step.long_running || step.best_effort {
            return;
        }
        let Some(member) = self.member_mut(name, index, id) else { return };
        if let Measured::From(from, 0) = member.measured_from(checkpoint) {
            self.learn_speed(name, id, now.since(from).secs_f64(), now);
        }
    }

    /// Learns from the total duration of a run, in seconds, once enough runs of its step can be compared.
    fn learn_speed(&mut self, name: GroupId, id: &BackendServerId, total_s: f64, now: Moment) {
        let step = self.step(name);
        let (declared_s, count) = (step.estimate.secs_f64(), step.count as usize);
        if total_s <= 0.0 || declared_s <= 0.0 {
            return;
        }
        let times = &mut self.occurrence_mut(name.occurrence).times[name.step];
        times.waiting.push((id.clone(), (total_s / declared_s).ln()));
        if times.waiting.len() < COMPARED_RUNS.min(count.saturating_sub(times.compared.len())) {
            return;
        }
        let StepTimes { waiting, mut compared } = std::mem::take(times);
        self.compare(&waiting, &mut compared, now);
        self.occurrence_mut(name.occurrence).times[name.step].compared = compared;
    }

    /// Compares runs of one step with each other and with those compared before, and updates their backend servers'
    /// speeds.
    fn compare(&mut self, runs: &[(BackendServerId, f64)], compared: &mut Vec<f64>, now: Moment) {
        let known = |id: &BackendServerId| self.servers.get(id).map_or(0.0, |server| server.speed.log_factor);
        compared.extend(runs.iter().map(|(id, log_ratio)| log_ratio - known(id)));
        let (expected, variance) = expected(compared.clone());
        let mut fleet_changed = false;
        for (id, log_ratio) in runs {
            let Some(server) = self.servers.get_mut(id) else { continue };
            let (before, class) = (server.speed, server.speed.class(&self.fleet_speed));
            server.speed.learn(log_ratio - expected, variance, now);
            let after = server.speed;
            self.learned.forget(id);
            fleet_changed |= self.fleet_speed.record(&before, &after);
            if after.class(&self.fleet_speed) != class {
                self.log_speed(id, now);
                self.mark_stale(id);
            }
        }
        if fleet_changed {
            self.mark_all_stale();
        }
    }

    /// Resets the speed of a backend server whose incarnation has ended: the next may run on other hardware.
    pub(crate) fn reset_speed(&mut self, id: &BackendServerId) {
        self.learned.forget(id);
        self.set_speed(id, Speed::default());
    }

    /// Replaces the speed of a backend server by one that was not measured.
    pub(crate) fn set_speed(&mut self, id: &BackendServerId, speed: Speed) {
        let Some(server) = self.servers.get_mut(id) else { return };
        let before = std::mem::replace(&mut server.speed, speed);
        if self.fleet_speed.record(&before, &speed) {
            self.mark_all_stale();
        }
    }

    /// Makes the next plan recompute the capacities of all backend servers, since their classes may have changed.
    fn mark_all_stale(&mut self) {
        let all: Vec<BackendServerId> = self.servers.keys().cloned().collect();
        all.iter().for_each(|id| self.mark_stale(id));
    }

    fn log_speed(&self, id: &BackendServerId, now: Moment) {
        let Some(SpeedReport { factor, runs, .. }) = self.speed(id, now) else { return };
        let class = self.servers[id].speed.class(&self.fleet_speed);
        log::info!("server={id} event=speed class={class:?} factor={factor:.2} runs={runs}");
    }
}

/// Returns the expected logarithm of the ratio of actual to declared duration for runs of a step, and its variance.
/// It is their median, drawn towards the declared duration if there are few.
fn expected(mut log_ratios: Vec<f64>) -> (f64, f64) {
    log_ratios.sort_by(f64::total_cmp);
    let median = (log_ratios[(log_ratios.len() - 1) / 2] + log_ratios[log_ratios.len() / 2]) / 2.0;
    // A run says nothing about itself, so it does not count.
    let others = (log_ratios.len() - 1) as f64 / RUN_VARIANCE;
    let precision = others + 1.0 / STEP_VARIANCE;
    (median * others / precision, 1.0 / precision)
}
