//! Changes of the configuration in the simulated world: operators remove queues, add them again and swap priorities.
//! Schedulers and the boxes that accept jobs receive each version late, and may miss some.

use jobs::{ConfigurationVersion, Job, QueueId};
use model::Revision;
use scheduler::{Policy, QueuePolicyRecord, QueuePolicyWrite};

use super::{
    events::Event,
    policy,
    world::{STEP_MS, World},
};

/// Queues that a change may remove.
const REMOVABLE: [&str; 3] = ["urgent", "batch", "archive"];
/// Bit of a change that swaps the priorities of the first and the last of [`REMOVABLE`].
const SWAP_PRIORITIES: u8 = 1 << 3;

/// The configurations that boxes may have, and what the store holds of earlier ones.
pub(crate) struct Configurations {
    pub(crate) newest: Policy,
    previous: Policy,
    /// Stored record of the policies of queues, with its revision.
    pub(crate) record: (QueuePolicyRecord, Revision),
}

impl Configurations {
    pub(crate) fn new() -> Configurations {
        Configurations { newest: policy(), previous: policy(), record: Default::default() }
    }

    /// Whether there was a change. Before one, nothing is drawn, so that cases recorded without changes stay as they
    /// are.
    fn has_changed(&self) -> bool {
        self.newest.version != policy().version
    }
}

impl World {
    /// Changes the configuration. The lowest bits of `change` tell which queues are removed.
    pub(crate) fn reconfigure(&mut self, change: u8) {
        if self.now < self.store_down_until {
            return;
        }
        let version = ConfigurationVersion(self.configurations.newest.version.0 + 1);
        let mut next = Policy { version, ..policy() };
        if change & SWAP_PRIORITIES != 0 {
            let priority = |name: &str| policy().queues[&name.into()].priority;
            let (first, last) = (priority(REMOVABLE[0]), priority(REMOVABLE[2]));
            for (name, priority) in [(REMOVABLE[0], last), (REMOVABLE[2], first)] {
                next.queues.get_mut(&name.into()).expect("it is configured").priority = priority;
            }
        }
        for queue in next.queues.values_mut() {
            queue.version = version;
        }
        for (_, name) in REMOVABLE.iter().enumerate().filter(|(bit, _)| change & (1 << bit) != 0) {
            next.queues.remove(&(*name).into());
        }
        self.configurations.previous = std::mem::replace(&mut self.configurations.newest, next);
        for leader in 0..self.leaders.len() {
            self.report_configuration_late(leader);
        }
    }

    fn report_configuration_late(&mut self, leader: usize) {
        let late = if self.rng.u8(..) < 60 { 8000 } else { self.rng.u64(..100) };
        self.after(late, Event::ConfigurationReported { leader });
    }

    pub(crate) fn on_configuration_reported(&mut self, leader: usize) {
        let newest = self.configurations.newest.clone();
        let leader = &mut self.leaders[leader];
        if leader.configuration < newest.version {
            leader.configuration = newest.version;
            leader.scheduler.set_policy(newest);
        }
    }

    /// Returns the configuration that a box has when it is elected.
    pub(crate) fn configuration_when_elected(&mut self) -> Policy {
        if !self.configurations.has_changed() {
            return self.configurations.newest.clone();
        }
        self.report_configuration_late(self.leaders.len());
        if self.rng.u8(..) < 60 { self.configurations.previous.clone() } else { self.configurations.newest.clone() }
    }

    /// Returns a job as a box stores it that accepts it; `None` if no box has its queue.
    pub(crate) fn accepted(&self, job: Job) -> Option<Job> {
        let policy_in = |configuration: &Policy, queue: &QueueId| configuration.queues.get(queue).cloned();
        let Configurations { newest, previous, .. } = &self.configurations;
        let policy = policy_in(newest, &job.queue).or_else(|| policy_in(previous, &job.queue))?;
        Some(Job { policy: Some(policy), ..job })
    }

    /// Writes the record of the policies of queues; the write may be lost or take effect late, like any other.
    pub(crate) fn write_next_queue_policies(&mut self, i: usize) {
        if !self.configurations.has_changed() || self.leaders[i].writing_queue_policies || !self.reaches_store(i) {
            return;
        }
        let Some(write) = self.leaders[i].scheduler.next_queue_policy_write() else { return };
        self.leaders[i].writing_queue_policies = true;
        if self.now < self.lose_writes_until && self.rng.bool() {
            let late = if self.rng.bool() { STEP_MS } else { 1000 + self.rng.u64(..5000) };
            self.after(late, Event::WriteQueuePolicies { leader: i, write, answered: false });
            self.after(300, Event::QueuePolicyWriteLost { leader: i });
        } else {
            self.after(STEP_MS, Event::WriteQueuePolicies { leader: i, write, answered: true });
        }
    }

    pub(crate) fn on_write_queue_policies(&mut self, leader: usize, write: QueuePolicyWrite, answered: bool) {
        let is_elected = self.leaders[leader].fence == self.holder;
        if is_elected && write.replaces == self.configurations.record.1 {
            self.revision += 1;
            self.configurations.record = (write.record, Revision(self.revision));
        }
        if answered {
            self.leaders[leader].writing_queue_policies = false;
        }
        if answered && is_elected {
            let (record, revision) = self.configurations.record.clone();
            self.leaders[leader].scheduler.queue_policies_found(record, revision);
        }
    }
}
