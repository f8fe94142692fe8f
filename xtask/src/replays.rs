//! Compares three planners on the same arrivals, for both deployments.

use std::{fmt::Write as _, fs, sync::Arc};

use hdrhistogram::Histogram;
use model::{AvailabilityZoneId, Duration, Moment, OperatorFile};
use policy::{CellPlanner, Easy, FirstFit, Planner};
use replay::{
    measure::Measures,
    sim::{Disturbance, Sim},
    workload::Deployment,
};

use crate::codegen::root;

/// Virtual time of a replay.
const LENGTH: Duration = Duration::from_secs(24 * 3600);
/// Seed of a deployment's first availability zone; each further zone adds one.
const SEED: u64 = 2026;

type MakePlanner = fn(&AvailabilityZoneId) -> Box<dyn Planner>;

const PLANNERS: [(&str, MakePlanner); 3] = [
    ("first-fit", |_| Box::new(FirstFit)),
    ("easy", |_| Box::new(Easy)),
    ("cells", |zone| Box::new(CellPlanner::new(zone.clone()))),
];

/// Runs all replays and returns the tables.
pub(crate) fn run() -> Result<String, String> {
    let mut text = String::new();
    for deployment in [Deployment::Tsehay, Deployment::Yonghe] {
        let path = root().join("examples").join(deployment.file_name());
        let raw = fs::read(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        let file: OperatorFile = model::from_json(&raw).map_err(|e| format!("{}: {e}", path.display()))?;
        let results = replay(deployment, &Arc::new(file));
        write_table(&mut text, deployment, &results);
    }
    Ok(text)
}

fn replay(deployment: Deployment, file: &Arc<OperatorFile>) -> Vec<(&'static str, Measures)> {
    let mut zones: Vec<AvailabilityZoneId> =
        file.backend_servers.values().map(|s| s.availability_zone.clone()).collect();
    zones.sort();
    zones.dedup();
    let mut results: Vec<(&'static str, Measures)> =
        PLANNERS.iter().map(|(name, _)| (*name, Measures::default())).collect();
    for (n, zone) in zones.iter().enumerate() {
        let here = || file.backend_servers.values().filter(|s| s.availability_zone == *zone);
        let accelerators = here().map(|s| s.resources.accelerators).sum();
        let arrivals = deployment.arrivals(accelerators, LENGTH, SEED + n as u64);
        let hours = |h: u64| Moment::ZERO + Duration::from_secs(h * 3600);
        let disturbances = [
            Disturbance::FailAll {
                server: here().nth(2).expect("each availability zone has at least three backend servers").id.clone(),
                from: hours(6),
                until: hours(8),
            },
            Disturbance::CancelBurst { at: hours(12), share: 0.3 },
            Disturbance::LostRack { rack: "r2".parse().expect("a valid id"), from: hours(16), until: hours(17) },
        ];
        for ((name, make), (_, measures)) in PLANNERS.iter().zip(&mut results) {
            eprintln!("{deployment:?} {zone}: {} jobs under {name} ...", arrivals.len());
            measures.merge(&Sim::new(file, zone, &arrivals, &disturbances, make(zone)).run());
        }
    }
    results
}

fn write_table(text: &mut String, deployment: Deployment, results: &[(&'static str, Measures)]) {
    let mut row = |name: String, values: Vec<String>| {
        let values: Vec<String> = values.iter().map(|v| format!("{v:>12}")).collect();
        writeln!(text, "| {name:44} | {} |", values.join(" | ")).expect("writing to a string can't fail");
    };
    let of = |f: &dyn Fn(&Measures) -> String| results.iter().map(|(_, m)| f(m)).collect::<Vec<_>>();
    row(format!("{deployment:?}"), results.iter().map(|(name, _)| (*name).to_owned()).collect());
    row("---".to_owned(), results.iter().map(|_| "---:".to_owned()).collect());
    for quantile in [0.5, 0.95, 0.99] {
        let name = format!("completion p{:.0}, all, s", quantile * 100.0);
        row(name, of(&|m| secs(&m.all.completion, quantile)));
    }
    row("slowdown p95, all".to_owned(), of(&|m| secs(&m.all.slowdown, 0.95)));
    let classes: Vec<_> = results[0].1.classes.keys().cloned().collect();
    for class in classes {
        for quantile in [0.5, 0.95, 0.99] {
            let name = format!("completion p{:.0}, {class}, s", quantile * 100.0);
            row(name, of(&|m| secs(&m.classes[&class].completion, quantile)));
        }
        row(format!("slowdown p95, {class}"), of(&|m| secs(&m.classes[&class].slowdown, 0.95)));
        row(format!("alone p95, {class}, s (lower bound)"), of(&|m| secs(&m.classes[&class].alone, 0.95)));
    }
    let urgent = deployment.urgent_class().parse().expect("a valid id");
    let large = deployment.large_class().parse().expect("a valid id");
    row("start delay p99, urgent, s".to_owned(), of(&|m| secs(&m.classes[&urgent].start, 0.99)));
    row("start delay max, urgent, s".to_owned(), of(&|m| secs(&m.classes[&urgent].start, 1.0)));
    row("longest wait to start, large, s".to_owned(), of(&|m| secs(&m.classes[&large].start, 1.0)));
    row("reclaim delay p99, s".to_owned(), of(&|m| secs(&m.reclaim.start, 0.99)));
    row("reclaim delay max, s".to_owned(), of(&|m| secs(&m.reclaim.start, 1.0)));
    row("reclaims measured".to_owned(), of(&|m| m.reclaim.start.len().to_string()));
    row("fragmentation, % of accelerators".to_owned(), of(&|m| format!("{:.2}", m.fragmentation() * 100.0)));
    row("used, % of accelerator time".to_owned(), of(&|m| format!("{:.1}", m.utilization() * 100.0)));
    row("lost, accelerator-hours".to_owned(), of(&|m| format!("{:.1}", m.lost / 3600.0)));
    row("jobs done".to_owned(), of(&|m| m.all.completion.len().to_string()));
    row("refused / cancelled / failed".to_owned(), of(&|m| format!("{}/{}/{}", m.refused, m.cancelled, m.failed)));
    row("runs stopped for others / failed".to_owned(), of(&|m| format!("{}/{}", m.preempted, m.failed_runs)));
    row("left waiting".to_owned(), of(&|m| m.left_waiting.to_string()));
    row("planning mean, us".to_owned(), of(&|m| m.planning().0.as_micros().to_string()));
    row("planning max, us".to_owned(), of(&|m| m.planning().1.as_micros().to_string()));
    text.push('\n');
}

/// Formats a quantile of a histogram of milliseconds in seconds.
fn secs(histogram: &Histogram<u64>, quantile: f64) -> String {
    format!("{:.2}", histogram.value_at_quantile(quantile) as f64 / 1000.0)
}
