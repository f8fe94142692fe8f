//! The stored record of the policies of queues, from which the next scheduler learns those of removed queues.
//!
//! Each accepted job is stored with the policy that its queue had then. Operators may change the queue afterwards, for
//! instance move it to another service, and remove it later. The next scheduler finds the newer policy in this record.

use std::collections::BTreeMap;

use jobs::{QueueId, QueuePolicy};
use model::Revision;
use serde::{Deserialize, Serialize};

use crate::Scheduler;

/// Record of the policies of queues.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct QueuePolicyRecord {
    /// Policies of the configured queues, and of removed ones with jobs.
    pub queues: BTreeMap<QueueId, QueuePolicy>,
}

/// Write of the record to the store.
#[derive(Debug, Clone)]
pub struct QueuePolicyWrite {
    /// Record to store.
    pub record: QueuePolicyRecord,
    /// Revision in the store that the write replaces; 0 if there is none.
    pub replaces: Revision,
}

/// The record in the store, as far as known.
#[derive(Debug, Default)]
pub(crate) struct StoredQueuePolicies {
    record: QueuePolicyRecord,
    revision: Revision,
}

impl Scheduler {
    /// Restores the record of earlier schedulers. Policies of later configurations take precedence.
    pub fn restore_queue_policies(&mut self, record: QueuePolicyRecord, revision: Revision) {
        for (queue, policy) in &record.queues {
            if self.policy.learn(queue, policy) {
                log::info!(
                    "event=queue_restored queue={queue} version={} config={} fence={}",
                    policy.version,
                    self.policy.version,
                    self.fence
                );
            }
        }
        self.apply_queue_policies();
        self.queue_policies_found(record, revision);
    }

    /// Returns the record to store now; `None` if the store holds it.
    pub fn next_queue_policy_write(&self) -> Option<QueuePolicyWrite> {
        let StoredQueuePolicies { record, revision } = &self.stored_queue_policies;
        if record.queues == self.policy.queues {
            return None;
        }
        let record = QueuePolicyRecord { queues: self.policy.queues.clone() };
        Some(QueuePolicyWrite { record, replaces: *revision })
    }

    /// Handles the record that the store holds at `revision`, by a write or by a conflict.
    pub fn queue_policies_found(&mut self, record: QueuePolicyRecord, revision: Revision) {
        self.stored_queue_policies = StoredQueuePolicies { record, revision };
    }
}
