//! Metrics of a box: waiting and completion times of jobs, and calls to external systems.

use std::time::Instant;

use jobs::{Fence, QueueId};
use model::{CustomerId, Duration, Revision};
use net::{
    AllTraffic, BoxFuture, Purpose,
    guard::{Guard, Reason, Server},
};
use outside::{Committed, CoordinationStore, Item, LeaseId, Page, StoreError, Transaction, Watched};
use scheduler::Observation;

use crate::timers::pause;

/// Interval at which the scheduling box logs its traffic.
const TRAFFIC_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Records the observations of the scheduler as metrics.
pub(crate) fn record_observations(observations: Vec<Observation>) {
    for observation in observations {
        match observation {
            Observation::Started { customer, queue, after } => {
                metrics::histogram!("martenscale_start_delay_seconds", &labels(customer, &queue))
                    .record(after.secs_f64());
            }
            Observation::RunStarted { customer, queue, after } => {
                metrics::histogram!("martenscale_placed_to_started_seconds", &labels(customer, &queue))
                    .record(after.secs_f64());
            }
            Observation::Ended { customer, queue, state, after } => {
                metrics::histogram!("martenscale_completion_seconds", &labels(customer, &queue))
                    .record(after.secs_f64());
                metrics::counter!("martenscale_jobs_ended_total", "state" => state.to_string()).increment(1);
            }
            Observation::Stopped { why } => {
                metrics::counter!("martenscale_runs_stopped_total", "why" => why).increment(1);
            }
            Observation::StopEnded { why, after } => {
                metrics::histogram!("martenscale_stop_seconds", "why" => why).record(after.secs_f64());
            }
            Observation::ServerEnded { announced } => {
                let announced = announced.to_string();
                metrics::counter!("martenscale_servers_gone_total", "announced" => announced).increment(1);
            }
            Observation::EndedByMachineList => {
                metrics::counter!("martenscale_ended_by_machine_list_total").increment(1);
            }
            Observation::CrashedUnderTask { early } => {
                metrics::counter!("martenscale_crashes_under_tasks_total", "early" => early.to_string()).increment(1);
            }
            Observation::TaskAbandoned { why } => {
                metrics::counter!("martenscale_tasks_given_up_total", "why" => why).increment(1);
            }
            Observation::CompletionRedelivered => {
                metrics::counter!("martenscale_ends_known_total").increment(1);
            }
            Observation::RunTimeError { source, thousandths } => {
                metrics::histogram!("martenscale_run_time_error", "source" => source)
                    .record(f64::from(thousandths) / 1000.0);
            }
            Observation::RunLost { why } => {
                metrics::counter!("martenscale_runs_lost_total", "why" => why).increment(1);
            }
        }
    }
}

fn labels(customer: Option<CustomerId>, queue: &QueueId) -> [(&'static str, String); 2] {
    let customer = customer.map_or_else(|| "none".to_owned(), |customer| customer.to_string());
    [("customer", customer), ("queue", queue.to_string())]
}

/// Records the size and the duration of the restore of a new scheduler.
pub(crate) fn record_restore(duration: Duration, pages: usize, bytes: usize) {
    metrics::histogram!("martenscale_restore_seconds").record(duration.secs_f64());
    metrics::counter!("martenscale_restore_pages_total").increment(pages as u64);
    metrics::counter!("martenscale_restore_bytes_total").increment(bytes as u64);
}

/// Records the outcome of a caller's request, and the time until it was known.
pub(crate) fn record_request(kind: &'static str, outcome: &impl std::fmt::Debug, took: Duration) {
    let outcome = format!("{outcome:?}");
    metrics::counter!("martenscale_requests_total", "kind" => kind, "outcome" => outcome).increment(1);
    metrics::histogram!("martenscale_request_seconds", "kind" => kind).record(took.secs_f64());
}

/// Counts the outcome of a call to a backend server.
pub(crate) fn count_server_call(kind: &'static str, outcome: &'static str) {
    metrics::counter!("martenscale_server_calls_total", "kind" => kind, "outcome" => outcome).increment(1);
}

/// Counts a call by whether there was a response.
pub(crate) fn count_server_reply<T, E>(kind: &'static str, reply: &Result<T, E>) {
    count_server_call(kind, if reply.is_ok() { "answered" } else { "lost" });
}

/// Logs the traffic of the scheduling box, until it is dropped.
pub(crate) async fn log_traffic(fence: Fence) {
    loop {
        log::info!("event=traffic fence={fence} {AllTraffic}");
        pause(TRAFFIC_LOG_INTERVAL).await;
    }
}

/// Publishes the traffic of this process as metrics.
pub(crate) fn count_traffic() {
    for purpose in Purpose::ALL {
        let traffic = purpose.traffic();
        for (way, bytes) in [("sent", traffic.sent), ("received", traffic.received)] {
            metrics::counter!("martenscale_bytes_total", "with" => purpose.to_string(), "way" => way).absolute(bytes);
        }
    }
}

/// Publishes what connections of clients hold, and how often they were closed or refused, as metrics.
pub(crate) fn count_clients(guard: &Guard) {
    let held = guard.held();
    metrics::gauge!("martenscale_clients_held_bytes").set(held.bytes as f64);
    metrics::gauge!("martenscale_clients_connections").set(held.connections as f64);
    for server in Server::ALL {
        for reason in Reason::ALL {
            let labels = [("server", server.to_string()), ("why", reason.to_string())];
            metrics::counter!("martenscale_clients_limited_total", &labels).absolute(guard.count(server, reason));
        }
    }
}

/// The platform's store, with each call counted and timed.
pub(crate) struct MeasuredStore<S>(pub(crate) S);

async fn measured<T>(kind: &'static str, call: impl Future<Output = Result<T, StoreError>>) -> Result<T, StoreError> {
    let started = Instant::now();
    let result = call.await;
    let outcome = match &result {
        Ok(_) => "answered",
        Err(StoreError::Refused { .. }) => "refused",
        Err(StoreError::Lost { .. }) => "lost",
    };
    metrics::counter!("martenscale_store_calls_total", "kind" => kind, "outcome" => outcome).increment(1);
    if kind != "watch" {
        metrics::histogram!("martenscale_store_call_seconds", "kind" => kind).record(started.elapsed().as_secs_f64());
    }
    result
}

impl<S: CoordinationStore> CoordinationStore for MeasuredStore<S> {
    fn get(&self, key: String) -> BoxFuture<'_, Result<Option<Item>, StoreError>> {
        Box::pin(measured("get", self.0.get(key)))
    }

    fn get_stale(&self, key: String, limit: Duration) -> BoxFuture<'_, Result<Option<Item>, StoreError>> {
        Box::pin(measured("peek", self.0.get_stale(key, limit)))
    }

    fn page(&self, prefix: String, after: Option<String>) -> BoxFuture<'_, Result<Page, StoreError>> {
        Box::pin(measured("page", self.0.page(prefix, after)))
    }

    fn watch(&self, prefix: String, since: Revision, wait: Duration) -> BoxFuture<'_, Result<Watched, StoreError>> {
        Box::pin(measured("watch", self.0.watch(prefix, since, wait)))
    }

    fn commit(&self, transaction: Transaction, limit: Duration) -> BoxFuture<'_, Result<Committed, StoreError>> {
        Box::pin(measured("commit", self.0.commit(transaction, limit)))
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StoreError>> {
        Box::pin(measured("grant", self.0.grant_lease(ttl)))
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<bool, StoreError>> {
        Box::pin(measured("keep", self.0.keep_alive(lease)))
    }

    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(measured("end", self.0.revoke_lease(lease)))
    }
}
