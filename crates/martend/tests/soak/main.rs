//! A randomized soak test: real processes of `martend` on a stand-in for the platform, with injected faults.
//!
//! The seed determines the faults and the actions of callers. Loopback proxies delay, hold, mute and reset connections,
//! signals terminate, pause and kill boxes, and the store and the backend servers fail; faults overlap. The invariants
//! are checked during the faults, by what callers and backend servers observe, and again after recovery.
//!
//!     cargo test --release -p martend --test soak -- --seeds 50 --from 1000 --seconds 15
//!
//! Without options it runs the seeds of `regressions.txt` and one short fixed seed, as CI does.

mod boxes;
mod callers;
mod checks;
mod faults;
mod ledger;
mod proxy;
mod world;

use std::{process::ExitCode, time::Duration};

use getopts::Options;

use crate::world::World;

/// Seeds that have failed before, each with the duration of its faults and the cause of the failure.
const REGRESSIONS: &str = include_str!("regressions.txt");
/// Fixed seed of CI, and the duration of its faults.
const CI_SEED: u64 = 1;
const CI_FAULTS: Duration = Duration::from_secs(8);
/// Default duration of faults, in seconds.
const DEFAULT_FAULTS_S: u64 = 15;

/// A run: its seed and the duration of its faults.
#[derive(Debug, Clone, Copy)]
struct Case {
    seed: u64,
    faults: Duration,
    /// Whether backend servers may restart under the same id after a crash; `false` for older regression seeds, which
    /// were recorded without that.
    reuses_ids: bool,
    /// Whether a queue is removed and added again all the time; `false` for regression seeds, which were recorded
    /// without that.
    changes_queues: bool,
}

impl Case {
    /// Returns the name under which the run is skipped.
    fn name(&self) -> String {
        format!("soak_seed_{}", self.seed)
    }
}

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "seeds", "how many fresh seeds to run", "N");
    options.optopt("", "from", "the first of them (1)", "SEED");
    options.optopt("", "seconds", "duration of the faults of each (15)", "S");
    options.optmulti("", "skip", "pass over soak_seed_SEED; names of other tests are ignored", "NAME");
    options.optflag("", "exact", "accepted as an option of the test runner: names are always matched exactly");
    options.optflag("", "list", "print the names of the runs, without running them");
    options.optflag("h", "help", "print this");
    let usage = options.usage("usage: soak [--seeds N] [--from SEED] [--seconds S] [--skip NAME]...");
    let parsed = match options.parse(std::env::args().skip(1)) {
        Ok(parsed) => parsed,
        Err(e) => return refuse(&e.to_string(), &usage),
    };
    if parsed.opt_present("help") {
        println!("{usage}");
        return ExitCode::SUCCESS;
    }
    let number = |name: &str, default: u64| match parsed.opt_get_default(name, default) {
        Ok(number) => Ok(number),
        Err(e) => Err(format!("--{name}: {e}: allowed is a whole number")),
    };
    let mut cases: Vec<Case> = match (number("seeds", 0), number("from", 1), number("seconds", DEFAULT_FAULTS_S)) {
        (Ok(0), Ok(_), Ok(_)) => ci_cases(),
        (Ok(seeds), Ok(from), Ok(seconds)) => {
            let faults = Duration::from_secs(seconds);
            (from..from + seeds).map(|seed| Case { seed, faults, reuses_ids: true, changes_queues: true }).collect()
        }
        (Err(e), ..) | (_, Err(e), _) | (.., Err(e)) => return refuse(&e, &usage),
    };
    let skipped = parsed.opt_strs("skip");
    cases.retain(|case| !skipped.contains(&case.name()));
    if parsed.opt_present("list") {
        for case in &cases {
            println!("{}: test", case.name());
        }
        return ExitCode::SUCCESS;
    }
    run_all(&cases)
}

fn refuse(why: &str, usage: &str) -> ExitCode {
    eprintln!("{why}\n{usage}");
    ExitCode::from(2)
}

fn ci_cases() -> Vec<Case> {
    let lines = REGRESSIONS.lines().filter(|line| !line.starts_with('#') && !line.trim().is_empty());
    let case = |line: &str| {
        let mut words = line.split_whitespace();
        let mut number = || words.next().and_then(|word| word.parse().ok()).expect("a line has a seed and seconds");
        let (seed, faults) = (number(), Duration::from_secs(number()));
        Case { seed, faults, reuses_ids: words.next() == Some("returns"), changes_queues: false }
    };
    let kept = lines.map(|line| case(line.split('#').next().unwrap_or_default()));
    kept.chain([Case { seed: CI_SEED, faults: CI_FAULTS, reuses_ids: true, changes_queues: true }]).collect()
}

fn run_all(cases: &[Case]) -> ExitCode {
    let mut failed = 0;
    for case in cases {
        let violations = smol::block_on(World::run(*case));
        let verdict = if violations.is_empty() { "ok" } else { "FAILED" };
        println!("soak seed {} of {} s ... {verdict}", case.seed, case.faults.as_secs());
        for what in &violations {
            println!("    {what}");
        }
        failed += usize::from(!violations.is_empty());
    }
    println!("soak: {} passed, {failed} failed", cases.len() - failed);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
