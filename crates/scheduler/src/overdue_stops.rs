//! Stops that have had no effect for long, for logs and metrics.
//!
//! What is logged tells apart why a run goes on: the order has no response, it had a response and no effect, or the
//! backend server is not reached at all, so that neither the stop nor a renewal arrives.

use std::collections::BTreeSet;

use jobs::{RunNumber, TaskId};
use model::{BackendServerId, Duration, Moment};

use crate::{Scheduler, server::Server, stops::PendingStop};

/// Time after which a stop is overdue. A backend server takes up to 0.9 s (platform rules), and an order without a
/// response is repeated within 0.8 s.
const OVERDUE_AFTER: Duration = Duration::from_millis(2000);
/// Shortest time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(1000);

/// Overdue stops as of the latest check.
#[derive(Debug, Default)]
pub(crate) struct OverdueStops {
    checked_at: Option<Moment>,
    runs: BTreeSet<(BackendServerId, TaskId, RunNumber)>,
}

impl OverdueStops {
    /// Returns how many stops are overdue.
    pub(crate) fn len(&self) -> usize {
        self.runs.len()
    }
}

impl Scheduler {
    /// Logs each stop that has become overdue, once.
    pub(crate) fn detect_overdue_stops(&mut self, now: Moment) {
        if self.overdue_stops.checked_at.is_some_and(|at| now.since(at) < CHECK_INTERVAL) {
            return;
        }
        let mut runs = BTreeSet::new();
        for (id, server) in &self.servers {
            let orphaned = server.orphaned_runs.iter().map(|(task, orphaned_run)| (*task, orphaned_run.run));
            let orphaned = orphaned.filter(|(task, _)| !self.is_held(task.occurrence.job));
            let placed = server.members.iter().map(|(task, run)| (*task, *run));
            let stopping = placed.filter(|(task, _)| self.is_stopping(*task));
            for (task, run) in stopping.chain(orphaned) {
                let overdue = |stop: &PendingStop| now.since(stop.since) >= OVERDUE_AFTER;
                let Some(stop) = self.pending_stop(id, task, run).filter(overdue) else { continue };
                let key = (id.clone(), task, run);
                if !self.overdue_stops.runs.contains(&key) {
                    log_overdue(&key, server, stop, now);
                }
                runs.insert(key);
            }
        }
        self.overdue_stops = OverdueStops { checked_at: Some(now), runs };
    }

    /// Whether the group of a task is being stopped.
    fn is_stopping(&self, task: TaskId) -> bool {
        self.group_of(task).is_some_and(|name| self.group(name).stopping.is_some())
    }
}

fn log_overdue(
    (id, task, run): &(BackendServerId, TaskId, RunNumber),
    server: &Server,
    stop: PendingStop,
    now: Moment,
) {
    let silent_ms = server.contact.last_response.map_or(-1, |at| now.since(at).millis() as i64);
    log::warn!(
        "job={} event=stop_overdue task={task} run={run} server={id} why={} since_ms={} answered={} silent_ms={silent_ms} \
         failed_calls={} lease_left_ms={} listed={}",
        task.occurrence.job,
        stop.reason,
        now.since(stop.since).millis(),
        stop.answered,
        server.failed_calls,
        server.lease_expiry.since(now).millis(),
        server.listed
    );
}
