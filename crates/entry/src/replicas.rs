//! Replicas of the availability zone's lease tables, kept up to date by a long-polling watch per backend
//! server.
//!
//! Every box keeps them, so that any box can plan at once if the planner fails, and so that every box knows
//! the holder of a job.

use std::collections::{BTreeMap, BTreeSet};

use backend::{BackendReply, BackendRequest, Holder, Lease, ServerInfo, TableUpdate, TaskState};
use model::{BackendServerId, CustomerId, Duration, JobId, Moment, OperatorFile, RequestId, ServerMode};
use policy::{Running, Server};

use crate::{BackendOp, EntryBox};

/// Retry delay after the first failed watch; doubles up to [`RETRY_MAX`].
const RETRY_MIN: Duration = Duration::from_millis(200);
/// Longest retry delay of a failed watch.
const RETRY_MAX: Duration = Duration::from_secs(5);

/// Replicas of the lease tables, by backend server.
#[derive(Default)]
pub(crate) struct Replicas {
    by_server: BTreeMap<BackendServerId, Replica>,
}

/// The holder of a request, according to the lease tables.
pub(crate) struct RequestHolder {
    pub(crate) holder: Holder,
    /// Whether every member of the gang has a live lease.
    pub(crate) is_whole: bool,
}

/// Replica of one backend server's lease table.
#[derive(Default)]
pub(crate) struct Replica {
    table: u64,
    version: u64,
    pub(crate) leases: BTreeMap<JobId, Lease>,
    pub(crate) info: Option<ServerInfo>,
    pub(crate) last_reply: Option<Moment>,
    /// When the watch in flight times out; `None` if there is none.
    in_flight_until: Option<Moment>,
    retry_at: Moment,
    failures: u32,
}

impl Replicas {
    /// Adds and removes replicas to match the backend servers of the configuration.
    pub(crate) fn set_servers(&mut self, servers: &BTreeSet<BackendServerId>) {
        self.by_server.retain(|id, _| servers.contains(id));
        for id in servers {
            self.by_server.entry(id.clone()).or_default();
        }
    }

    pub(crate) fn ids(&self) -> BTreeSet<BackendServerId> {
        self.by_server.keys().cloned().collect()
    }

    pub(crate) fn get(&self, id: &BackendServerId) -> Option<&Replica> {
        self.by_server.get(id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&BackendServerId, &Replica)> {
        self.by_server.iter()
    }

    fn leases(&self) -> impl Iterator<Item = (&BackendServerId, &Lease)> {
        self.by_server.iter().flat_map(|(id, replica)| replica.leases.values().map(move |lease| (id, lease)))
    }

    /// Returns the holder of a request's newest attempt that has a live lease; `None` if there is none.
    pub(crate) fn find(&self, customer: &CustomerId, request: &RequestId) -> Option<RequestHolder> {
        let leases = self.leases().filter(|(_, l)| l.request == *request && l.customer == *customer && is_live(l));
        let (_, newest) = leases.max_by_key(|(_, lease)| lease.token)?;
        Some(RequestHolder { holder: newest.holder.clone(), is_whole: self.is_whole(&newest.job) })
    }

    /// Returns whether every member of a gang has a live lease, so that the gang can be adopted. A gang that
    /// lost a member can't be; its remaining members end by themselves.
    pub(crate) fn is_whole(&self, job: &JobId) -> bool {
        let lease_on = |server: &BackendServerId| self.by_server.get(server)?.leases.get(job);
        let Some((_, any)) = self.leases().find(|(_, lease)| lease.job == *job) else { return false };
        any.members.iter().all(|m| lease_on(&m.server).is_some_and(is_live))
    }

    /// Returns the leases of every job, by backend server.
    pub(crate) fn by_job(&self) -> BTreeMap<&JobId, BTreeMap<&BackendServerId, &Lease>> {
        let mut jobs: BTreeMap<&JobId, BTreeMap<&BackendServerId, &Lease>> = BTreeMap::new();
        for (server, lease) in self.leases() {
            jobs.entry(&lease.job).or_default().insert(server, lease);
        }
        jobs
    }

    /// Returns the gangs that hold resources, each once.
    pub(crate) fn running(&self) -> Vec<Running> {
        let mut gangs: BTreeMap<&JobId, Running> = BTreeMap::new();
        for (server, lease) in self.leases().filter(|(_, lease)| lease.state.holds()) {
            let gang = gangs.entry(&lease.job).or_insert_with(|| running(server, lease));
            gang.stopping |= lease.stopping;
            gang.ran_for = gang.ran_for.max(lease.ran_for);
            gang.age = gang.age.max(lease.waited + lease.ran_for);
        }
        gangs.into_values().collect()
    }
}

fn running(server: &BackendServerId, lease: &Lease) -> Running {
    let tasks = lease.members.iter().find(|m| m.server == *server).map_or(1, |m| m.tasks.max(1));
    let per_task = model::Resources::new(
        lease.resources.accelerators / tasks,
        lease.resources.cores / tasks,
        lease.resources.memory_gb / tasks,
    );
    Running {
        job: lease.job.clone(),
        customer: lease.customer.clone(),
        class: lease.class.clone(),
        per_task,
        members: lease.members.clone(),
        ran_for: lease.ran_for,
        age: lease.waited + lease.ran_for,
        declared: lease.declared,
        repeatable: lease.repeatable,
        checkpointable: lease.checkpointable,
        stopping: lease.stopping,
    }
}

/// Returns whether a lease holds resources, or keeps an answer that was not acknowledged.
fn is_live(lease: &Lease) -> bool {
    lease.state.holds() || (matches!(lease.state, TaskState::Finished { .. }) && !lease.acknowledged)
}

impl EntryBox {
    /// Sends a watch to each backend server that has none in flight and whose retry delay has passed.
    pub(crate) fn send_watches(&mut self, now: Moment) {
        let wait = self.limits.watch;
        let timeout_at = now + wait + self.limits.call + self.limits.call;
        let mut calls = Vec::new();
        for (id, replica) in &mut self.replicas.by_server {
            if replica.in_flight_until.is_some_and(|until| until > now) || replica.retry_at > now {
                continue;
            }
            replica.in_flight_until = Some(timeout_at);
            let req = BackendRequest::Watch { table: replica.table, since: replica.version, wait };
            calls.push((id.clone(), req));
        }
        for (id, req) in calls {
            self.call_backend(BackendOp::Watch, id, req);
        }
    }

    pub(crate) fn on_watch_reply(&mut self, server: &BackendServerId, reply: Option<BackendReply>, now: Moment) {
        let Some(replica) = self.replicas.by_server.get_mut(server) else { return };
        replica.in_flight_until = None;
        let Some(BackendReply::Table(update)) = reply else {
            replica.failures += 1;
            let doubled = RETRY_MIN.millis() << replica.failures.min(8);
            replica.retry_at = now + Duration::from_millis(doubled.min(RETRY_MAX.millis()));
            return;
        };
        replica.failures = 0;
        replica.last_reply = Some(now);
        self.apply_update(server, update, now);
        self.send_watches(now);
    }

    fn apply_update(&mut self, server: &BackendServerId, update: TableUpdate, now: Moment) {
        let Some(replica) = self.replicas.by_server.get_mut(server) else { return };
        if update.table == replica.table && update.version < replica.version {
            return;
        }
        if update.full {
            replica.leases.clear();
        }
        for job in &update.removed {
            replica.leases.remove(job);
        }
        for lease in &update.leases {
            replica.leases.insert(lease.job.clone(), lease.clone());
        }
        if !update.full {
            self.planning.learn(server, &update.leases);
        }
        let changed = update.full || !update.leases.is_empty() || !update.removed.is_empty();
        let info_changed = replica.info.as_ref() != Some(&update.info);
        replica.table = update.table;
        replica.version = update.version;
        let revision = update.info.revision;
        replica.info = Some(update.info);
        self.jobs.on_table(server, &update.leases, update.full, now);
        if changed || info_changed {
            self.planning.mark_changed();
            self.planning.remove_granted(&update.leases);
        }
        self.on_server_revision(server, revision, now);
    }

    /// Returns the backend servers of this availability zone in the form that planners use.
    pub(crate) fn servers_of(&self, file: &OperatorFile) -> Vec<Server> {
        let here = file.backend_servers.values().filter(|s| s.availability_zone == self.id.availability_zone);
        here.map(|s| Server { id: s.id.clone(), rack: s.rack.clone(), resources: s.resources, open: true }).collect()
    }

    /// Returns whether a backend server may get new work. The operators' file, the server's own report, its
    /// responsiveness and the quarantine must all permit it.
    pub(crate) fn is_open(&self, file: &OperatorFile, id: &BackendServerId, now: Moment) -> bool {
        let Some(entry) = file.backend_servers.get(id) else { return false };
        let Some(replica) = self.replicas.get(id) else { return false };
        let staying = replica.info.as_ref().is_some_and(|info| !info.leaving);
        let answering = replica.failures == 0
            && replica.last_reply.is_some_and(|at| now.since(at) < self.limits.watch + self.limits.unresponsive_after);
        entry.mode == ServerMode::Active && staying && answering && !self.quarantine.is_quarantined(id)
    }
}
