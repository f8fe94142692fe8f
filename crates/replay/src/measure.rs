//! Measures of a replay: times by class, counts of jobs and runs, and use of the accelerators.

use std::{collections::BTreeMap, time};

use hdrhistogram::Histogram;
use model::{ClassId, Duration};

use crate::workload::Arrival;

/// Significant decimal digits of the histograms' values.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Times of the jobs of one class, in milliseconds except for `slowdown`.
#[derive(Debug, Clone)]
pub struct ClassTimes {
    /// Time from arrival to completion.
    pub completion: Histogram<u64>,
    /// Time from arrival to the first start.
    pub start: Histogram<u64>,
    /// Completion time divided by run time, in thousandths.
    pub slowdown: Histogram<u64>,
    /// Run time in an otherwise empty availability zone: a lower bound of the completion time.
    pub alone: Histogram<u64>,
}

impl Default for ClassTimes {
    fn default() -> ClassTimes {
        let new = || Histogram::new(SIGNIFICANT_DIGITS).expect("the number of digits is allowed");
        ClassTimes { completion: new(), start: new(), slowdown: new(), alone: new() }
    }
}

/// Measures of one replay, or of several merged.
#[derive(Debug, Clone, Default)]
pub struct Measures {
    /// Times by class.
    pub classes: BTreeMap<ClassId, ClassTimes>,
    /// Times of all classes together.
    pub all: ClassTimes,
    /// Times of jobs that were entitled to a guaranteed shape on arrival; only `start` is recorded.
    pub reclaim: ClassTimes,
    /// Number of jobs that arrived.
    pub arrived: usize,
    /// Number of jobs refused because they can never run.
    pub refused: usize,
    /// Number of jobs cancelled while they waited.
    pub cancelled: usize,
    /// Number of jobs that ended as failed.
    pub failed: usize,
    /// Number of runs that failed.
    pub failed_runs: usize,
    /// Number of runs preempted for other jobs.
    pub preempted: usize,
    /// Number of jobs still waiting at the end.
    pub left_waiting: usize,
    /// Work lost to preemption without a checkpoint and to lost racks, in accelerator-seconds.
    pub lost: f64,
    /// All accelerators over the time in which jobs waited, in accelerator-seconds.
    waiting_capacity: f64,
    /// Free accelerators that the largest gang could not use while jobs waited, in accelerator-seconds.
    unusable: f64,
    /// Accelerators in use, in accelerator-seconds.
    busy: f64,
    /// All accelerators, in accelerator-seconds.
    capacity: f64,
    /// Duration of each plan.
    planning: Vec<time::Duration>,
}

impl Measures {
    pub(crate) fn started(&mut self, it: &Arrival, delay: Duration, entitled: bool) {
        let times = self.classes.entry(it.class.clone()).or_default();
        record(&mut times.start, delay.millis());
        record(&mut self.all.start, delay.millis());
        if entitled {
            record(&mut self.reclaim.start, delay.millis());
        }
    }

    pub(crate) fn done(&mut self, it: &Arrival, after: Duration) {
        let times = self.classes.entry(it.class.clone()).or_default();
        let slowdown = after.millis().saturating_mul(1000) / it.actual.millis().max(1);
        for times in [times, &mut self.all] {
            record(&mut times.completion, after.millis());
            record(&mut times.slowdown, slowdown);
            record(&mut times.alone, it.actual.millis());
        }
    }

    pub(crate) fn lose(&mut self, it: &Arrival, ran: Duration) {
        self.lost += ran.secs_f64() * f64::from(it.gang.total().accelerators);
    }

    pub(crate) fn planned(&mut self, took: time::Duration) {
        self.planning.push(took);
    }

    /// Adds the use of the accelerators over `span` seconds.
    pub(crate) fn account(&mut self, span: f64, free: u32, usable: u32, capacity: u32, waiting: bool) {
        self.busy += span * f64::from(capacity - free);
        self.capacity += span * f64::from(capacity);
        if waiting {
            self.waiting_capacity += span * f64::from(capacity);
            self.unusable += span * f64::from(free - usable);
        }
    }

    /// Returns the share of all accelerators, from 0 to 1, that were free but that the largest waiting or guaranteed
    /// gang could not use, over the time in which jobs waited.
    pub fn fragmentation(&self) -> f64 {
        if self.waiting_capacity > 0.0 { self.unusable / self.waiting_capacity } else { 0.0 }
    }

    /// Returns the share of all accelerator time, from 0 to 1, that was used.
    pub fn utilization(&self) -> f64 {
        if self.capacity > 0.0 { self.busy / self.capacity } else { 0.0 }
    }

    /// Returns the mean and the longest duration of a plan.
    pub fn planning(&self) -> (time::Duration, time::Duration) {
        let sum: time::Duration = self.planning.iter().sum();
        (sum / self.planning.len().max(1) as u32, self.planning.iter().max().copied().unwrap_or_default())
    }

    /// Adds the measures of another replay.
    pub fn merge(&mut self, other: &Measures) {
        for (class, times) in &other.classes {
            add(self.classes.entry(class.clone()).or_default(), times);
        }
        add(&mut self.all, &other.all);
        add(&mut self.reclaim, &other.reclaim);
        self.arrived += other.arrived;
        self.refused += other.refused;
        self.cancelled += other.cancelled;
        self.failed += other.failed;
        self.failed_runs += other.failed_runs;
        self.preempted += other.preempted;
        self.left_waiting += other.left_waiting;
        self.lost += other.lost;
        self.waiting_capacity += other.waiting_capacity;
        self.unusable += other.unusable;
        self.busy += other.busy;
        self.capacity += other.capacity;
        self.planning.extend(&other.planning);
    }
}

fn add(to: &mut ClassTimes, from: &ClassTimes) {
    let pairs = [
        (&mut to.completion, &from.completion),
        (&mut to.start, &from.start),
        (&mut to.slowdown, &from.slowdown),
        (&mut to.alone, &from.alone),
    ];
    for (to, from) in pairs {
        to.add(from).expect("the histograms grow");
    }
}

fn record(histogram: &mut Histogram<u64>, value: u64) {
    histogram.record(value).expect("the histogram grows");
}
