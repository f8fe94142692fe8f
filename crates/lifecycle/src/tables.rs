//! Evaluation of backend servers' lease tables for the jobs of this box.

use std::collections::BTreeSet;

use backend::{Lease, TaskState};
use model::{BackendServerId, JobId, Moment};

use crate::{Coordinator, job::Phase};

impl Coordinator {
    /// Applies changed lines of a backend server's lease table. `full` means that the table has no others.
    ///
    /// A table may be older than a reply that was received before it, so states that are earlier than the recorded
    /// ones are ignored.
    pub fn on_table(&mut self, server: &BackendServerId, leases: &[Lease], full: bool, now: Moment) {
        self.last_responses.insert(server.clone(), now);
        for lease in leases {
            self.on_lease(server, lease, now);
        }
        if full {
            self.on_missing(server, leases, now);
        }
    }

    fn on_lease(&mut self, server: &BackendServerId, lease: &Lease, now: Moment) {
        let Some(job) = self.jobs.get(&lease.job) else { return };
        if job.has_ended() || matches!(job.phase, Phase::Waiting { .. }) {
            return;
        }
        if lease.token > job.token() && lease.holder != self.me {
            return self.on_superseded(&lease.job, lease.token, Some(lease.holder.clone()), now);
        }
        if lease.token == job.token() {
            self.on_state(server, &lease.job, lease.state.clone(), now);
        }
    }

    /// Handles running members without a line in the table: a restart of the backend server has lost them.
    fn on_missing(&mut self, server: &BackendServerId, leases: &[Lease], now: Moment) {
        let listed: BTreeSet<&JobId> = leases.iter().map(|lease| &lease.job).collect();
        let running = |state: &Option<TaskState>| matches!(state, Some(TaskState::Running));
        let lost: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(id, job)| matches!(job.phase, Phase::Running { .. }) && !listed.contains(id))
            .filter(|(_, job)| job.members.iter().any(|p| p.placement.server == *server && running(&p.state)))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lost {
            self.on_state(server, &id, TaskState::Lapsed { ran: true }, now);
        }
    }
}
