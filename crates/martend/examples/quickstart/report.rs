//! The final report, with the number of violated invariants.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use model::Duration;
use outside::Clock;
use standins::Oracle;

use crate::{
    load::{Done, Load},
    world::{LEASE_MS, World},
};

/// Time beyond a lease for which the rest of a gang may run after the loss of a member, in milliseconds: stop orders
/// take time to arrive.
const SLACK_MS: u64 = 2000;

/// Prints the report and returns the number of violated invariants.
pub(crate) fn print(world: &World, load: &Load, fragmentation: &[f64]) -> usize {
    let done = load.take();
    print_outcomes(&done);
    print_times(&done);
    let mean = fragmentation.iter().sum::<f64>() / fragmentation.len().max(1) as f64;
    println!("\nfragmentation: {:.1} % of accelerators are free and of no use to a gang of 16", mean * 100.0);
    print_store(world);
    let mut oracle = Oracle::default();
    for (id, handle) in &world.servers {
        oracle.record_runs(id, &handle.table().runs);
    }
    for last in done.iter().filter_map(Done::as_final) {
        oracle.record_final(last);
    }
    let remainder = Duration::from_millis(LEASE_MS + SLACK_MS);
    let violations = oracle.check(remainder, world.clock.now());
    println!("\nbroken invariants: {}", violations.len());
    for violation in &violations {
        println!("  {violation}");
    }
    violations.len()
}

fn print_outcomes(done: &[Done]) {
    let mut outcomes: BTreeMap<&str, usize> = BTreeMap::new();
    for job in done {
        let name = job.outcome.as_ref().map_or("caller gave up", model::Outcome::name);
        *outcomes.entry(name).or_default() += 1;
    }
    println!("\njobs by outcome:");
    for (name, n) in outcomes {
        println!("  {name:16} {n:4}");
    }
}

fn print_times(done: &[Done]) {
    let mut by_class: BTreeMap<(String, String), Histogram<u64>> = BTreeMap::new();
    for job in done.iter().filter(|job| matches!(job.outcome, Some(model::Outcome::Done { .. }))) {
        let key = (job.spec.customer.to_string(), job.spec.class.to_string());
        let histogram = by_class.entry(key).or_insert_with(|| Histogram::new(3).expect("3 digits are allowed"));
        histogram.record(job.took.as_millis() as u64).expect("the histogram grows");
    }
    println!("\ncompletion time of jobs that were done, in seconds:");
    println!("  {:20} {:14} {:>5} {:>7} {:>7} {:>7}", "customer", "class", "jobs", "p50", "p95", "p99");
    for ((customer, class), histogram) in by_class {
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        println!("  {customer:20} {class:14} {:5} {:7.2} {:7.2} {:7.2}", histogram.len(), at(0.5), at(0.95), at(0.99));
    }
}

fn print_store(world: &World) {
    let (writes, reads) = world.platform.store().calls;
    println!("\ncalls on the platform's store: {writes} writes, {reads} reads");
}
