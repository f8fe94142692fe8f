//! Takeover of an earlier scheduler's state from the store.

use std::{collections::BTreeMap, sync::Arc};

use jobs::{Job, OccurrenceId, Progress};
use model::{BackendServerId, Revision};

use crate::{
    Scheduler,
    run_state::{GroupId, Member, Occurrence},
    server::{Server, ServerAddress},
};

impl Scheduler {
    /// Restores the stored progress of an occurrence. Jobs must have been added before.
    pub fn restore(&mut self, id: OccurrenceId, progress: Progress, revision: Revision) {
        let Some(entry) = self.jobs.get_mut(&id.job) else {
            // The job has left the submission records, but the scheduler that archived it did not remove all
            // progress.
            self.orphans.insert(id);
            return;
        };
        let job = Arc::clone(&entry.job);
        let Some(occurrence) = entry.occurrences.get_mut(id.number as usize) else { return };
        if !progress.fits(&job) {
            log::error!("job={} event=progress_unreadable occurrence={} why=other_shape", id.job, id.number);
            return;
        }
        occurrence.store_revision = revision;
        occurrence.stored_progress = progress.clone();
        occurrence.progress = progress;
        self.changed.insert(id);
        if entry.occurrences.iter().all(Occurrence::is_finished) {
            entry.ended_at.get_or_insert(self.elected);
        }
        for name in self.restore_members(id, &job) {
            self.add_usage(name, self.progress_of(name).placed.len());
            self.begin_isolated_retry(name);
        }
    }

    /// Returns the addresses of backend servers with restored runs, as of their placement. Those that the platform no
    /// longer lists may still respond there.
    pub fn restored_addresses(&self) -> BTreeMap<BackendServerId, ServerAddress> {
        let occurrences = self.open_jobs.iter().flat_map(|id| &self.jobs[id].occurrences);
        let placed = occurrences.flat_map(|o| o.progress.groups.iter().flatten()).flat_map(|group| &group.placed);
        let with_address = placed.filter(|placed| !placed.address.is_empty());
        with_address.map(|placed| (placed.server.clone(), ServerAddress::from(&*placed.address))).collect()
    }

    /// Restores placements of an earlier scheduler: their runs may continue until its leases expire. Returns the
    /// groups that may run.
    fn restore_members(&mut self, id: OccurrenceId, job: &Job) -> Vec<GroupId> {
        let mut placed_groups = Vec::new();
        let by_election = self.earlier_lease_expiry;
        let occurrence = &mut self.jobs.get_mut(&id.job).expect("it was just restored").occurrences[id.number as usize];
        for (s, step) in occurrence.progress.groups.iter().enumerate() {
            for (g, group) in step.iter().enumerate() {
                let name = GroupId { occurrence: id, step: s, group: g };
                let group_state = &mut occurrence.groups[s][g];
                group_state.placed_at = self.elected;
                if !group.placed.is_empty() {
                    placed_groups.push(name);
                }
                for placed in &group.placed {
                    let expiry = self.unreachable.lease_expiry_of(&placed.server, by_election);
                    let server = self.servers.entry(placed.server.clone()).or_insert_with(|| Server::new(None, expiry));
                    self.unreachable.add_pending(&placed.server);
                    server.used.add(&job.steps[s].counted_resources());
                    server.members.insert(name.task(placed.index), group.run);
                    if !std::mem::replace(&mut server.is_stale, true) {
                        self.stale_servers.push(placed.server.clone());
                    }
                    group_state.members.push(Member::restored(placed, self.elected));
                }
            }
        }
        placed_groups
    }
}
