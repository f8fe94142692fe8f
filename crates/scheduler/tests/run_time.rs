//! Estimated run times, as pure functions. Guards against estimates that are worse than declared durations, and against
//! decisions that rest on false progress.

use fastrand::Rng;
use model::{Duration, Moment};
use scheduler::run_time::{QueueRatio, Run, RunProgress, RunTime, Siblings};

/// Interval of listings, in milliseconds.
const LISTING_INTERVAL_MS: u64 = 300;
const DECLARED_MS: u64 = 8000;

fn at(ms: u64) -> Moment {
    Moment::from_millis(10_000 + ms)
}

fn declared(spread: f64) -> RunTime {
    RunTime { mean: Duration::from_millis(DECLARED_MS), spread }
}

/// Returns a normally distributed number (Box and Muller).
fn normal(random: &mut Rng) -> f64 {
    (-2.0 * (1.0 - random.f64()).ln()).sqrt() * (std::f64::consts::TAU * random.f64()).cos()
}

/// Returns the progress of a run that takes `total_ms`, as listings show it until `share` of it is done.
fn progress_until(share: f64, total_ms: f64, started: Option<Moment>) -> (RunProgress, Moment) {
    let mut progress = RunProgress::default();
    let mut ms = LISTING_INTERVAL_MS / 2;
    while ms as f64 <= share * total_ms {
        progress.report((ms as f64 / total_ms * 100.0) as u32, started, at(ms));
        ms += LISTING_INTERVAL_MS;
    }
    (progress, at(ms.saturating_sub(LISTING_INTERVAL_MS)))
}

/// Errors |log(actual/predicted)| of one deployment's runs, each without and with estimates.
#[derive(Default)]
struct Errors {
    rows: [(f64, f64, f64); 4],
}

impl Errors {
    fn add(&mut self, row: usize, actual: f64, before: f64, after: f64) {
        let error = |predicted: f64| (actual / predicted).ln().abs();
        let (count, sum_before, sum_after) = &mut self.rows[row];
        (*count, *sum_before, *sum_after) = (*count + 1.0, *sum_before + error(before), *sum_after + error(after));
    }
}

/// Plays jobs of 16 equal tasks. Deviations are those of logarithms: `jobs` among jobs, `tasks` within a step.
fn play(mean: f64, jobs: f64, tasks: f64) -> Errors {
    let mut random = Rng::with_seed(17);
    let (mut errors, mut queue) = (Errors::default(), QueueRatio::default());
    let declared_ms = DECLARED_MS as f64;
    for job in 0..400 {
        let log_ratio = mean + jobs * normal(&mut random);
        let mut siblings = Siblings::default();
        for task in 0..16 {
            let task_log = log_ratio + tasks * normal(&mut random);
            let actual = declared_ms * task_log.exp();
            let prior = (queue.log_ratio(), queue.spread());
            if task == 0 && job >= 100 {
                errors.add(0, actual, declared_ms, declared_ms * prior.0.exp());
            }
            if task == 4 {
                errors.add(1, actual, declared_ms, declared_ms * siblings.estimate(prior).0.exp());
            }
            for (row, share) in [(2, 0.15), (3, 0.5)] {
                let (progress, _) = progress_until(share, actual, Some(at(0)));
                let Some(total) = progress.estimate() else { continue };
                errors.add(row, actual, declared_ms, total.mean.secs_f64() * 1000.0);
            }
            siblings.record(task, task_log);
        }
        queue.record(siblings.log_ratio(false).expect("16 tasks were recorded"));
    }
    errors
}

/// The standard deviations are those of docs/hard-load.md: declarations err by job, and tasks of a step hardly differ.
#[test]
fn errors_shrink_with_each_source() {
    println!("deployment    source          before  after");
    for (name, mean, jobs, tasks) in
        [("precise", 0.02, 0.45, 0.005), ("usual", 0.2, 0.8, 0.1), ("rough, unequal", 0.47, 1.14, 0.6)]
    {
        let errors = play(mean, jobs, tasks);
        let sources = ["queue", "4 siblings", "15 % done", "50 % done"];
        for (source, (count, before, after)) in sources.iter().zip(errors.rows) {
            println!("{name:14} {source:12} {:8.3} {:6.3}", before / count, after / count);
        }
        let after: Vec<f64> = errors.rows.iter().map(|(count, _, after)| after / count).collect();
        let before: Vec<f64> = errors.rows.iter().map(|(count, before, _)| before / count).collect();
        assert!(after[0] < before[0] * 1.05 && after[1] < before[1], "{name}: {before:?} {after:?}");
        assert!(after[2] < 0.06 && after[3] < 0.03, "{name}: {after:?}");
    }
}

#[test]
fn a_queue_within_chance_keeps_its_declarations() {
    let mut random = Rng::with_seed(3);
    let mut honest = QueueRatio::default();
    for _ in 0..150 {
        honest.record(0.05 * normal(&mut random));
    }
    assert_eq!(honest.log_ratio(), 0.0);
    assert!(honest.spread() < 0.2, "{}", honest.spread());
    let mut too_low = QueueRatio::default();
    for _ in 0..30 {
        too_low.record(0.9 + 0.3 * normal(&mut random));
    }
    assert!((0.8..1.05).contains(&too_low.log_ratio()), "{too_low:?}");
}

#[test]
fn the_margin_grows_with_the_spread_and_shrinks_towards_the_end() {
    let precise = declared(0.02).left_after(4.0);
    let rough = declared(0.7).left_after(4.0);
    assert!(precise.with_margin < Duration::from_millis(4200), "{precise:?}");
    assert!(rough.mean == precise.mean && rough.with_margin > Duration::from_millis(7000), "{rough:?}");
    // A run that has outlasted its declaration does not end at once.
    let late = declared(0.7).left_after(16.0);
    assert!(late.mean > Duration::from_millis(2000), "{late:?}");
}

fn left(progress: &RunProgress, now: Moment) -> Duration {
    let placed_s = now.since(at(0)).secs_f64();
    let run = Run { progress, placed_s, by_siblings: declared(0.2), by_declaration: declared(0.7) };
    progress.time_left(now).unwrap_or_else(|| run.time_left(now)).with_margin
}

/// A run that reports 100 % at once, but goes on, must not count as about to end.
#[test]
fn progress_that_stays_at_the_end_is_not_believed() {
    let mut progress = RunProgress::default();
    for ms in (300..3000).step_by(300) {
        progress.report(100, Some(at(0)), at(ms));
    }
    assert!(left(&progress, at(3000)) > Duration::from_millis(3000));
    let mut unknown_start = RunProgress::default();
    for ms in (300..3000).step_by(300) {
        unknown_start.report(100, None, at(ms));
    }
    assert!(left(&unknown_start, at(3000)) > Duration::from_millis(3000));
    // While the completion may still be on its way, the progress is believed.
    assert!(left(&progress, at(400)) < Duration::from_millis(300));
}

#[test]
fn progress_that_stops_makes_the_estimate_longer() {
    let (mut progress, now) = progress_until(0.5, 4000.0, Some(at(0)));
    let before = left(&progress, now);
    for ms in (2300..8000).step_by(300) {
        progress.report(48, Some(at(0)), at(ms));
    }
    assert!(left(&progress, at(8000)) > before + Duration::from_millis(5000));
    // It is news for the siblings, and a false 100 % tells them nothing.
    assert!(progress.report(48, Some(at(0)), at(9000)) && !progress.report(48, Some(at(0)), at(9100)));
    assert!(progress.estimate_for_siblings().is_some_and(|total| total.mean > Duration::from_secs(18)));
    progress.report(100, Some(at(0)), at(9200));
    assert_eq!(progress.estimate_for_siblings(), None);
}

/// A task that begins anew within its run reports less than before: what it has left is measured from there on.
#[test]
fn progress_that_falls_starts_the_measurement_again() {
    let (mut progress, _) = progress_until(0.5, 4000.0, Some(at(0)));
    progress.report(0, Some(at(0)), at(2400));
    assert_eq!(progress.estimate(), None);
    assert!(left(&progress, at(2400)) > Duration::from_millis(7000), "the whole work is left");
    progress.report(25, Some(at(0)), at(3400));
    let left = left(&progress, at(3400));
    assert!((2500..3500).contains(&left.millis()), "{left:?}");
    assert_eq!(progress.started_or(None), None, "its total time says nothing about its siblings");
}

/// The first report of a resumed run, or of one that an earlier scheduler started, says nothing about its rate.
#[test]
fn a_run_with_an_unknown_start_is_measured_from_its_first_report() {
    let mut progress = RunProgress::default();
    progress.report(60, None, at(0));
    assert_eq!(progress.estimate(), None);
    let by_siblings = left(&progress, at(0));
    assert!((3000..6500).contains(&by_siblings.millis()), "two fifths of the siblings' time: {by_siblings:?}");
    progress.report(70, None, at(500));
    let left = left(&progress, at(500));
    assert!((1400..1800).contains(&left.millis()), "{left:?}");
}
