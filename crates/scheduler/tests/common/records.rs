//! Records that the scheduler of a fixture stores for the next one, and the election of that one.

use jobs::Fence;
use model::{Duration, Revision};
use scheduler::{QueuePolicyRecord, Scheduler, Timing, WitnessRecord};

use super::{Fixture, learned::wall_ms};

impl Fixture {
    pub(super) fn store_unreachable(&mut self) {
        if let Some(write) = self.scheduler.next_unreachable_write(self.now) {
            self.revision += 1;
            self.unreachable = Some((write.record.clone(), Revision(self.revision)));
            self.scheduler.unreachable_stored(write, Revision(self.revision));
        }
    }

    pub(super) fn store_witnesses(&mut self) {
        if let Some(write) = self.scheduler.next_witness_write(self.now) {
            self.revision += 1;
            self.witnesses = Some((write.record.clone(), Revision(self.revision)));
            self.scheduler.witnesses_stored(write, Revision(self.revision));
        }
    }

    pub(super) fn store_queue_policies(&mut self) {
        if let Some(write) = self.scheduler.next_queue_policy_write() {
            assert_eq!(write.replaces, self.queue_policies.1, "it replaces what the store holds");
            self.revision += 1;
            self.queue_policies = (write.record.clone(), Revision(self.revision));
            self.scheduler.queue_policies_found(write.record, Revision(self.revision));
        }
    }

    /// Returns the stored record of the policies of queues.
    pub(crate) fn stored_queue_policies(&self) -> &QueuePolicyRecord {
        &self.queue_policies.0
    }

    /// Elects another scheduler, which restores the stored records and receives the listings of all reachable backend
    /// servers.
    pub(crate) fn elect_next(&mut self) {
        self.now = self.now + Duration::from_millis(1000);
        let fence = Fence(self.scheduler.fence().0 + 1);
        let mut next = Scheduler::new(fence, self.now, Timing::default(), self.policy.clone());
        if let Some((record, revision)) = &self.unreachable {
            next.restore_unreachable(record, *revision);
        }
        if self.trusts_provisional {
            next.trust_provisional_entries();
        }
        let (witnesses, at) = self.witnesses.clone().map_or((None, Revision(0)), |(record, at)| (Some(record), at));
        next.restore_witnesses(witnesses, at, self.witnesses_binding);
        next.restore_queue_policies(self.queue_policies.0.clone(), self.queue_policies.1);
        self.learned.elect(fence);
        next.restore_learned(self.learned.pages(), self.now, wall_ms(self.now));
        for job in self.jobs.clone() {
            next.add_job(job);
        }
        for (id, (progress, revision)) in &self.stored {
            next.restore(*id, progress.clone(), *revision);
        }
        self.scheduler = next;
        for (id, info) in self.infos.clone() {
            self.scheduler.server_listed(id.clone(), info, self.now);
            if !self.cut.contains(&id) {
                self.list(&id);
            }
        }
    }

    /// Replaces the stored witnesses; `witnesses_binding` says whether all earlier schedulers renew by witnesses only.
    pub(crate) fn set_stored_witnesses(&mut self, record: Option<WitnessRecord>, witnesses_binding: bool) {
        self.revision += 1;
        self.witnesses = record.map(|record| (record, Revision(self.revision)));
        self.witnesses_binding = witnesses_binding;
    }
}
