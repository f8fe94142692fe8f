//! Metrics, and the log lines and metrics of an entry box's observations.

use std::sync::OnceLock;

use entry::Observation;
use log::Level;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use model::BoxId;

use crate::host::Health;

/// Upper bounds of the histograms' buckets, in seconds: from a short labelling job to a batch that runs for days.
const BUCKETS_SECONDS: [f64; 16] =
    [0.01, 0.03, 0.1, 0.3, 0.5, 1.0, 1.5, 3.0, 10.0, 30.0, 100.0, 300.0, 1000.0, 3600.0, 14_400.0, 86_400.0];

/// Upper bounds of the buckets of errors of estimated run times, as logarithms: from 1 % to ten times.
const BUCKETS_LOG_ERROR: [f64; 8] = [0.01, 0.03, 0.05, 0.1, 0.2, 0.4, 0.8, 2.3];

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the global metrics recorder. Idempotent.
pub fn init_metrics() {
    METRICS.get_or_init(|| {
        let builder = PrometheusBuilder::new()
            .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &BUCKETS_SECONDS)
            .and_then(|builder| {
                let errors = Matcher::Full("martenscale_run_time_error".to_owned());
                builder.set_buckets_for_metric(errors, &BUCKETS_LOG_ERROR)
            })
            .expect("the lists of buckets are not empty");
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        // Fails only if the embedding process has installed a recorder.
        let _ = metrics::set_global_recorder(recorder);
        handle
    });
}

/// Logs and counts each panic, in addition to the report on standard error.
///
/// A panic ends only the task in which it occurs; without a line in the log, nothing shows that the task is gone.
pub fn init_panic_log() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        let at = info.location().map_or_else(|| "unknown".to_owned(), ToString::to_string);
        log::error!("event=panicked at={at} why={:?}", info.payload_as_str().unwrap_or("unknown"));
        metrics::counter!("martenscale_panics_total").increment(1);
        report(info);
    }));
}

/// Returns the metrics in the Prometheus text format; empty before [`init_metrics`].
pub fn render() -> String {
    METRICS.get().map(PrometheusHandle::render).unwrap_or_default()
}

/// Records an observation of an entry box in metrics and logs.
pub(crate) fn observe(box_id: &BoxId, observation: &Observation) {
    let id = box_id.to_string();
    match observation {
        Observation::Started { customer, class, delay } => {
            let labels = [("box", id), ("customer", customer.to_string()), ("class", class.to_string())];
            metrics::histogram!("martenscale_start_delay_seconds", &labels).record(delay.secs_f64());
        }
        Observation::Ended { customer, class, outcome, after } => {
            let labels = [("box", id.clone()), ("customer", customer.to_string()), ("class", class.to_string())];
            metrics::histogram!("martenscale_completion_seconds", &labels).record(after.secs_f64());
            let labels = [("box", id), ("outcome", (*outcome).to_owned())];
            metrics::counter!("martenscale_jobs_ended_total", &labels).increment(1);
            log::debug!("event=ended box={box_id} customer={customer} class={class} outcome={outcome} after={after}");
        }
        Observation::Planned { starts, preemptions, queued } => {
            metrics::counter!("martenscale_plan_starts_total", "box" => id.clone()).increment(*starts as u64);
            metrics::counter!("martenscale_plan_preemptions_total", "box" => id).increment(*preemptions as u64);
            log::debug!("event=planned box={box_id} starts={starts} preemptions={preemptions} queued={queued}");
        }
        Observation::InForce { revision } => log::info!("event=in_force box={box_id} revision={revision}"),
        Observation::Adopting { job } => {
            metrics::counter!("martenscale_adoptions_total", "box" => id).increment(1);
            log::info!("event=adopting box={box_id} job={job}");
        }
        Observation::Quarantine { server, on } => {
            let level = if *on { Level::Warn } else { Level::Info };
            metrics::counter!("martenscale_quarantines_total", "box" => id).increment(u64::from(*on));
            log::log!(level, "event=quarantine box={box_id} server={server} on={on}");
        }
        Observation::Count { name } => {
            metrics::counter!("martenscale_events_total", "box" => id, "event" => *name).increment(1);
        }
    }
}

/// Sets the gauges whose values are read from the box for each scrape.
pub(crate) fn set_gauges(box_id: &str, health: &Health) {
    let id = box_id.to_owned();
    metrics::gauge!("martenscale_configuration_revision", "box" => id.clone()).set(health.revision as f64);
    metrics::gauge!("martenscale_open_jobs", "box" => id.clone()).set(health.open_jobs as f64);
    for (customer, class, waiting) in &health.queues {
        let labels = [("box", id.clone()), ("customer", customer.clone()), ("class", class.clone())];
        metrics::gauge!("martenscale_waiting_jobs", &labels).set(*waiting as f64);
    }
}
