//! What lease tables say of this box's jobs.

use std::collections::BTreeSet;

use backend::{Lease, TaskState};
use model::{BackendServerId, JobId, Moment};

use crate::{Coordinator, job::Phase};

impl Coordinator {
    /// Takes in changed lines of a backend server's table. `full` says that the table has no others.
    ///
    /// A table may be older than a reply that came before it, so only news is taken from it.
    pub fn on_table(&mut self, server: &BackendServerId, leases: &[Lease], full: bool, now: Moment) {
        self.contacts.insert(server.clone(), now);
        for lease in leases {
            self.on_lease(server, lease, now);
        }
        if full {
            self.on_missing(server, leases, now);
        }
    }

    fn on_lease(&mut self, server: &BackendServerId, lease: &Lease, now: Moment) {
        let Some(job) = self.jobs.get(&lease.job) else { return };
        if job.is_over() || matches!(job.phase, Phase::Waiting { .. }) {
            return;
        }
        if lease.token > job.token() && lease.holder != self.me {
            return self.on_superseded(&lease.job, lease.token, Some(lease.holder.clone()), now);
        }
        if lease.token == job.token() {
            self.on_state(server, &lease.job, lease.state.clone(), now);
        }
    }

    /// A running member whose line is gone from the table was forgotten by a restart.
    fn on_missing(&mut self, server: &BackendServerId, leases: &[Lease], now: Moment) {
        let listed: BTreeSet<&JobId> = leases.iter().map(|lease| &lease.job).collect();
        let running = |state: &Option<TaskState>| matches!(state, Some(TaskState::Running));
        let lost: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(id, job)| matches!(job.phase, Phase::Running { .. }) && !listed.contains(id))
            .filter(|(_, job)| job.parts.iter().any(|p| p.member.server == *server && running(&p.state)))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lost {
            self.on_state(server, &id, TaskState::Lapsed { ran: true }, now);
        }
    }
}
