//! What the reported progress of one run tells about its total time.

use model::{Duration, Moment};

use super::{RunTime, TimeLeft};

/// Progress in percent that a run must make before it is used.
const MIN_PROGRESS_PERCENT: u32 = 5;
/// Progress is rounded down to whole percent: on average half of one is missing.
const ROUNDED_PERCENT: f64 = 0.5;
/// Standard deviation of that rounding, in percent: that of a uniform distribution.
const ROUNDING_SPREAD: f64 = 0.29;
/// Standard deviation of the logarithm by which the rest of a run is faster or slower than the part before. Above 0, so
/// that no run counts as certain to end while work remains.
const RATE_SPREAD: f64 = 0.02;
/// Seconds by which a report may be late: listings are some tenths of a second old.
const REPORT_DELAY_S: f64 = 0.05;
/// Growth of the estimate from which on siblings learn of it although the percentage is the same: a run that stops making
/// progress would else mislead them until it ends.
const SLOWED_FACTOR: f64 = 1.1;
/// Progress of work that is done.
const DONE_PERCENT: u32 = 100;

/// Progress at a point in time.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Report {
    at: Moment,
    percent: u32,
}

/// Progress of one run as it was reported.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RunProgress {
    /// Where the measurement starts: the start of the run, or the first report if it resumed from a checkpoint, was
    /// started by an earlier scheduler, or its progress has fallen.
    from: Option<Report>,
    latest: Option<Report>,
    /// When the run began its work; `None` if that is unknown, or some of its progress was lost.
    started: Option<Moment>,
    /// When the latest percentage was first reported.
    unchanged_since: Moment,
    /// Total time when the siblings were last to learn of it.
    last_shared_total: Option<Duration>,
    /// Total time predicted by the siblings when progress was first reported.
    predicted_by_siblings: Option<Duration>,
    /// Total time predicted by the first usable progress.
    predicted_by_progress: Option<Duration>,
}

impl RunProgress {
    /// Records reported progress. `started` is when the run began its work; `None` if that is unknown or it resumed from a
    /// checkpoint. Returns whether the siblings should learn of it: the percentage has changed, or the run has slowed
    /// down by [`SLOWED_FACTOR`].
    pub fn report(&mut self, percent: u32, started: Option<Moment>, now: Moment) -> bool {
        let percent = percent.min(DONE_PERCENT);
        let report = Report { at: now, percent };
        let before = self.latest.replace(report);
        let has_fallen = before.is_some_and(|before| percent < before.percent);
        if has_fallen {
            self.from = Some(report);
            self.started = None;
            self.predicted_by_progress = None;
        }
        if before.is_none() {
            self.started = started;
        }
        self.from.get_or_insert(started.map_or(report, |at| Report { at, percent: 0 }));
        let has_changed = before.is_none_or(|before| before.percent != percent);
        if has_changed {
            self.unchanged_since = now;
        }
        let total = self.estimate().map(|total| total.mean);
        self.predicted_by_progress = self.predicted_by_progress.or(total);
        let has_slowed = total > self.last_shared_total.map(|last| last.scaled(SLOWED_FACTOR));
        let is_significant = has_changed || has_slowed;
        if is_significant {
            self.last_shared_total = total;
        }
        is_significant
    }

    /// Records what the siblings predict for the run, once.
    pub fn predict_by_siblings(&mut self, total: Duration) {
        self.predicted_by_siblings.get_or_insert(total);
    }

    /// Returns the total times that were predicted by the siblings and by the first usable progress.
    pub fn predictions(&self) -> (Option<Duration>, Option<Duration>) {
        (self.predicted_by_siblings, self.predicted_by_progress)
    }

    /// Returns when the run began its work, which is `confirmed` while nothing was reported. `None` if that is unknown,
    /// it did not begin from nothing, or some of its progress was lost.
    pub fn started_or(&self, confirmed: Option<Moment>) -> Option<Moment> {
        if self.latest.is_some() { self.started } else { confirmed }
    }

    /// Returns the total time of the whole work for the run's siblings; `None` while too little progress was made, and
    /// from 100 % on: whether the work is done then, its completion tells.
    pub fn estimate_for_siblings(&self) -> Option<RunTime> {
        self.estimate().filter(|_| self.latest.is_some_and(|latest| latest.percent < DONE_PERCENT))
    }

    /// Returns the total time of the whole work; `None` while too little progress was made.
    pub fn estimate(&self) -> Option<RunTime> {
        let (from, latest) = (self.from?, self.latest?);
        let done = latest.percent.checked_sub(from.percent).filter(|done| *done >= MIN_PROGRESS_PERCENT)?;
        let is_done = latest.percent == DONE_PERCENT;
        // A run at 100 % has ended its work when it first reported that. Its later reports say nothing more.
        let until = if is_done { self.unchanged_since } else { latest.at };
        let worked_s = until.since(from.at).secs_f64();
        if worked_s <= 0.0 {
            return None;
        }
        // What both ends lack by rounding cancels out, unless the first end is the start.
        let lacks = if is_done || from.percent > 0 { 0.0 } else { ROUNDED_PERCENT };
        let done = f64::from(done) + lacks;
        let rate_spread = RATE_SPREAD * (2.0 - f64::from(latest.percent) / f64::from(DONE_PERCENT)) / 2.0;
        let spreads = [ROUNDING_SPREAD / done, rate_spread, REPORT_DELAY_S / worked_s];
        let spread = spreads.iter().map(|spread| spread * spread).sum::<f64>().sqrt();
        Some(RunTime { mean: Duration::from_millis((worked_s * 100_000.0 / done) as u64), spread })
    }

    /// Returns the time that the run still takes; `None` while too little progress was made, or if the run has outlasted
    /// what its progress predicted.
    pub fn time_left(&self, now: Moment) -> Option<TimeLeft> {
        let (rest, elapsed_s) = self.since_measured(&self.estimate()?, now)?;
        (!rest.is_refuted_after(elapsed_s)).then(|| rest.left_after(elapsed_s))
    }

    /// Returns what is left of a run with the total time `total` where its measurement starts, and the seconds since
    /// then; `None` if nothing was reported.
    pub(super) fn since_measured(&self, total: &RunTime, now: Moment) -> Option<(RunTime, f64)> {
        let from = self.from?;
        let mean = total.mean.scaled(f64::from(DONE_PERCENT - from.percent) / f64::from(DONE_PERCENT));
        Some((RunTime { mean, ..*total }, now.since(from.at).secs_f64()))
    }

    /// Whether the time since the start says how much is done.
    pub(super) fn has_known_start(&self) -> bool {
        self.from.is_none() || self.started.is_some()
    }
}
