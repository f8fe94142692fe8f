//! Capacity of one backend server, as plans see it.

use std::sync::Arc;

use jobs::{Resources, ServiceId};
use model::{BackendServerId, Moment};

use crate::{
    Scheduler,
    run_state::IsolatedRetry,
    server::{Server, ServerAddress, ServerInfo},
    speed::SpeedClass,
};

/// Capacity of one backend server and what is placed there.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ServerCapacity {
    pub(crate) id: BackendServerId,
    pub(crate) service: ServiceId,
    pub(crate) rack: Arc<str>,
    pub(crate) address: ServerAddress,
    pub(crate) labels: Vec<Arc<str>>,
    pub(crate) capacity: Resources,
    /// Resources of all runs that are placed there.
    pub(crate) used: Resources,
    /// Resources of the runs that are not being stopped. More than `capacity` if the capacity has shrunk.
    pub(crate) used_after_stops: Resources,
    /// Whether the backend server responds to this scheduler.
    pub(crate) reachable: bool,
    /// Whether new work may be placed there.
    pub(crate) accepts_work: bool,
    /// Resources that are free now.
    pub(crate) free: Resources,
    /// Resources that are free once every run that is being stopped has ended.
    pub(crate) free_after_stops: Resources,
    /// Number of tasks there, including unknown runs.
    pub(crate) tasks: usize,
    /// Number of best-effort tasks there.
    pub(crate) best_effort: u64,
    /// Number of tasks with a latency target there.
    pub(crate) serving: u64,
    /// Whether it is quarantined: tasks of several jobs failed there recently. It takes work only from stalled jobs.
    pub(crate) quarantined: bool,
    /// Whether a suspected task runs there as an isolated retry. It takes work only from stalled jobs, one task or
    /// gang of each.
    pub(crate) has_isolated_retry: bool,
    /// Whether it is suspect: a task failed there recently and none has succeeded since, or an isolated retry runs
    /// there.
    pub(crate) suspect: bool,
    /// Learned speed class.
    pub(crate) speed: SpeedClass,
}

/// Accelerators of a service.
///
/// Runs that were placed on unresponsive backend servers may have ended. Counted as used, they would hold back work
/// that could start on the rest, so they count only towards `all`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Totals {
    /// Free accelerators, on backend servers that take work.
    pub(crate) free: u64,
    /// Free resources of all kinds, on backend servers that take work.
    pub(crate) free_resources: Resources,
    /// Used accelerators, on backend servers that respond.
    pub(crate) used: u64,
    /// Accelerators of all backend servers of the service.
    pub(crate) all: u64,
}

impl Totals {
    pub(crate) fn add(&mut self, server: &ServerCapacity) {
        self.free = self.free.saturating_add(server.open_resources().accelerators);
        self.free_resources.add(&server.open_resources());
        self.used = self.used.saturating_add(server.used_accelerators());
        self.all = self.all.saturating_add(server.capacity.accelerators);
    }

    pub(crate) fn remove(&mut self, server: &ServerCapacity) {
        self.free = self.free.saturating_sub(server.open_resources().accelerators);
        self.free_resources.remove(&server.open_resources());
        self.used = self.used.saturating_sub(server.used_accelerators());
        self.all = self.all.saturating_sub(server.capacity.accelerators);
    }
}

impl ServerCapacity {
    /// Changes `used_after_stops`, and updates `free_after_stops` accordingly.
    pub(crate) fn update_used_after_stops(&mut self, change: impl FnOnce(&mut Resources)) {
        change(&mut self.used_after_stops);
        self.free_after_stops = self.capacity;
        self.free_after_stops.remove(&self.used_after_stops);
    }

    fn used_accelerators(&self) -> u64 {
        if self.reachable { self.used.accelerators } else { 0 }
    }

    /// Returns what is free for new work of any job.
    fn open_resources(&self) -> Resources {
        let is_open = self.accepts_work && !self.quarantined && !self.has_isolated_retry;
        if is_open { self.free } else { Resources::default() }
    }
}

impl Scheduler {
    /// Returns the current capacity; `None` if the backend server is known only from an earlier scheduler's
    /// placements.
    pub(crate) fn server_capacity(&self, id: &BackendServerId, now: Moment) -> Option<ServerCapacity> {
        let server = self.servers.get(id)?;
        let info = server.info.as_ref()?;
        Some(self.server_capacity_of(id, server, info, now))
    }

    fn server_capacity_of(
        &self,
        id: &BackendServerId,
        server: &Server,
        info: &ServerInfo,
        now: Moment,
    ) -> ServerCapacity {
        let isolated_retry = self.isolated_retries.get(id);
        let accepts_work =
            server.accepts_work(now) && isolated_retry != Some(&IsolatedRetry::Started) && self.may_renew(id);
        let free = server.free();
        let mut server_capacity = ServerCapacity {
            id: id.clone(),
            service: info.service.clone(),
            rack: Arc::clone(&info.rack),
            address: info.address.clone(),
            labels: info.labels.clone(),
            capacity: info.capacity,
            used: server.used,
            used_after_stops: server.used,
            reachable: server.is_reachable(),
            accepts_work,
            free,
            free_after_stops: free,
            tasks: server.members.len() + server.orphaned_runs.len(),
            best_effort: 0,
            serving: 0,
            quarantined: self.timing.tuning.set_aside && server.health.is_quarantined(now),
            has_isolated_retry: isolated_retry.is_some(),
            suspect: self.timing.tuning.doubt && server.health.is_suspect(now) || isolated_retry.is_some(),
            speed: if self.timing.tuning.speed { server.speed.class(&self.fleet_speed) } else { SpeedClass::default() },
        };
        for task in server.members.keys() {
            let Some(name) = self.group_of(*task) else { continue };
            let step = self.step(name);
            server_capacity.best_effort += u64::from(step.best_effort);
            server_capacity.serving += u64::from(step.target.is_some());
            if self.group(name).stopping.is_some() {
                server_capacity.used_after_stops.remove(&step.counted_resources());
            }
        }
        server_capacity.update_used_after_stops(|_| ());
        server_capacity
    }
}
