//! What a replay measures.

use std::{collections::BTreeMap, time};

use hdrhistogram::Histogram;
use model::{ClassId, Duration};

use crate::workload::Arrival;

/// Digits kept by histograms.
const DIGITS: u8 = 3;

/// Times of one class, in milliseconds.
#[derive(Debug, Clone)]
pub struct ClassTimes {
    /// From arrival to end.
    pub completion: Histogram<u64>,
    /// From arrival to first start.
    pub start: Histogram<u64>,
    /// Completion over run time, in thousandths.
    pub slowdown: Histogram<u64>,
    /// Run times alone on an empty availability zone.
    pub alone: Histogram<u64>,
}

impl Default for ClassTimes {
    fn default() -> ClassTimes {
        let new = || Histogram::new(DIGITS).expect("so many digits are allowed");
        ClassTimes { completion: new(), start: new(), slowdown: new(), alone: new() }
    }
}

/// Everything that a replay measures.
#[derive(Debug, Clone, Default)]
pub struct Measures {
    /// By class.
    pub classes: BTreeMap<ClassId, ClassTimes>,
    /// All classes together.
    pub all: ClassTimes,
    /// Start delay of jobs with a right to a guaranteed shape, in milliseconds.
    pub reclaim: ClassTimes,
    /// Jobs that came.
    pub arrived: usize,
    /// Jobs refused because they can never run.
    pub refused: usize,
    /// Jobs taken back.
    pub cancelled: usize,
    /// Jobs ended after failing.
    pub failed: usize,
    /// Runs that failed.
    pub failed_runs: usize,
    /// Runs stopped to make room.
    pub preempted: usize,
    /// Jobs still waiting at the end.
    pub left_waiting: usize,
    /// Accelerator-seconds of work thrown away.
    pub lost: f64,
    /// Seconds times free accelerators, and those that the largest gang could not use.
    free: f64,
    unusable: f64,
    busy: f64,
    capacity: f64,
    planning: Vec<time::Duration>,
}

impl Measures {
    pub(crate) fn started(&mut self, it: &Arrival, delay: Duration, had_right: bool) {
        let times = self.classes.entry(it.class.clone()).or_default();
        record(&mut times.start, delay.millis());
        record(&mut self.all.start, delay.millis());
        if had_right {
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

    pub(crate) fn account(&mut self, span: f64, free: u32, usable: u32, capacity: u32, waiting: bool) {
        self.busy += span * f64::from(capacity - free);
        self.capacity += span * f64::from(capacity);
        if waiting {
            self.free += span * f64::from(capacity);
            self.unusable += span * f64::from(free - usable);
        }
    }

    /// While jobs wait: the part of all accelerators that is free and that the largest waiting or
    /// guaranteed gang cannot use.
    pub fn fragmentation(&self) -> f64 {
        if self.free > 0.0 { self.unusable / self.free } else { 0.0 }
    }

    /// The part of all accelerator time that was used.
    pub fn utilization(&self) -> f64 {
        if self.capacity > 0.0 { self.busy / self.capacity } else { 0.0 }
    }

    /// Mean and longest time of a round of planning.
    pub fn planning(&self) -> (time::Duration, time::Duration) {
        let sum: time::Duration = self.planning.iter().sum();
        (sum / self.planning.len().max(1) as u32, self.planning.iter().max().copied().unwrap_or_default())
    }

    /// Adds another replay's measures.
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
        self.free += other.free;
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
