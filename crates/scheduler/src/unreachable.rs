//! Record of unreachable backend servers, passed from one scheduler to the next through the store.
//!
//! Runs on a lost backend server have ended only when every lease that an earlier scheduler can have granted has
//! expired. A new scheduler counts these from its own election, so each election would restart the wait. But a
//! scheduler gives no lease to a backend server that it can't reach, whether it has never reached it or has lost
//! contact. So it records in the store for how long leases there remain valid, and the next scheduler continues from
//! that.
//!
//! A backend server that the record may name gets no lease and no work until the record is withdrawn, since the next
//! scheduler relies on that. A write without a response may take effect later, so each write is conditional on the
//! revision that the previous one left.
//!
//! One that has not responded for a short time is recorded provisionally: while the store does not respond it may still
//! get the short leases that only witnesses confirm. The next scheduler relies on such an entry only together with its
//! own proof that no earlier one is confirmed by witnesses any more, or has ended its term.

use std::collections::{BTreeMap, BTreeSet};

use model::{BackendServerId, Duration, Moment, Revision};
use serde::{Deserialize, Serialize};

use crate::Scheduler;

/// Time after the election before the first record. By then a new scheduler has reached what responds, and only the
/// rest is worth a write.
const FIRST_RECORD_DELAY: Duration = Duration::from_millis(1000);
/// Time without a response after which a backend server that responded before is recorded. One whose connection broke
/// responds again sooner, and must not wait for a record to be withdrawn.
const RECORD_UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1000);
/// Time between two records. The wait of the next scheduler is too long by at most this.
const RECORD_INTERVAL: Duration = Duration::from_millis(1000);

/// Record of the backend servers that a scheduler could not reach, with the longest time that leases of earlier
/// schedulers remain valid there.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreachableRecord {
    /// In milliseconds from the write, so that no two clocks are compared.
    left_ms: BTreeMap<BackendServerId, u64>,
    /// The same for backend servers that may still get leases which only witnesses confirm.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    provisional_left_ms: BTreeMap<BackendServerId, u64>,
}

impl UnreachableRecord {
    fn ids(&self) -> impl Iterator<Item = &BackendServerId> {
        self.left_ms.keys().chain(self.provisional_left_ms.keys())
    }
}

/// Write of the record to the store.
#[derive(Debug, Clone)]
pub struct UnreachableWrite {
    /// Record to store.
    pub record: UnreachableRecord,
    /// Revision in the store that the write replaces; 0 if there is none.
    pub replaces: Revision,
    at: Moment,
}

/// State that a scheduler keeps of the record in the store.
#[derive(Debug, Default)]
pub(crate) struct Unreachable {
    /// Unreachable backend servers that may run something.
    pending: BTreeSet<BackendServerId>,
    /// Backend servers that the record in the store may name.
    recorded: BTreeSet<BackendServerId>,
    /// Those among them that it may name otherwise than provisionally.
    finally_recorded: BTreeSet<BackendServerId>,
    /// When leases expire, by an earlier scheduler's record.
    recorded_expiry: BTreeMap<BackendServerId, Moment>,
    /// The same by its provisional entries, for leases that do not depend on witnesses.
    provisional_expiry: BTreeMap<BackendServerId, Moment>,
    /// Whether every earlier scheduler obeyed the provisional entries.
    trusts_provisional: bool,
    /// When the record in the store was made.
    recorded_at: Option<Moment>,
    revision: Revision,
}

impl Unreachable {
    /// Returns when every lease of earlier schedulers has expired; `by_election` is the bound without a record.
    pub(crate) fn lease_expiry_of(&self, id: &BackendServerId, by_election: Moment) -> Moment {
        self.recorded_expiry.get(id).map_or(by_election, |recorded| by_election.min(*recorded))
    }

    /// Adds a backend server that is unreachable and may run something.
    pub(crate) fn add_pending(&mut self, id: &BackendServerId) {
        self.pending.insert(id.clone());
    }

    /// Returns the backend servers that are unreachable and may run something.
    pub(crate) fn pending(&self) -> impl Iterator<Item = &BackendServerId> {
        self.pending.iter()
    }

    /// Removes a backend server that has responded or is no longer tracked.
    pub(crate) fn remove_pending(&mut self, id: &BackendServerId) {
        self.pending.remove(id);
    }

    /// Whether the record in the store may name a backend server.
    pub(crate) fn is_recorded(&self, id: &BackendServerId) -> bool {
        self.recorded.contains(id)
    }

    /// Whether the record in the store may name a backend server that has been reached.
    fn needs_withdrawal(&self) -> bool {
        self.recorded.iter().any(|id| !self.pending.contains(id))
    }
}

impl Scheduler {
    /// Restores the record of an earlier scheduler. Must be called before anything else is restored.
    pub fn restore_unreachable(&mut self, record: &UnreachableRecord, revision: Revision) {
        let expiry = |(id, left): (&BackendServerId, &u64)| (id.clone(), self.elected + Duration::from_millis(*left));
        self.unreachable.recorded_expiry = record.left_ms.iter().map(expiry).collect();
        self.unreachable.provisional_expiry = record.provisional_left_ms.iter().map(expiry).collect();
        self.unreachable.recorded = record.ids().cloned().collect();
        self.unreachable.finally_recorded = record.left_ms.keys().cloned().collect();
        self.unreachable.recorded_at = Some(self.elected);
        self.unreachable.revision = revision;
    }

    /// Records that every earlier scheduler whose leases may last obeyed provisional entries. Earlier versions renew
    /// full leases in spite of them.
    pub fn trust_provisional_entries(&mut self) {
        self.unreachable.trusts_provisional = true;
    }

    /// Lowers the bound where provisional entries apply: leases that depend on witnesses have expired by `expiry`.
    pub(crate) fn limit_provisional_leases(&mut self, expiry: Moment) {
        if !self.unreachable.trusts_provisional {
            return;
        }
        for (id, recorded) in std::mem::take(&mut self.unreachable.provisional_expiry) {
            let bound = recorded.max(expiry);
            if let Some(server) = self.servers.get_mut(&id).filter(|server| !server.has_reported) {
                server.lease_expiry = server.lease_expiry.min(bound);
            }
            self.unreachable.recorded_expiry.insert(id, bound);
        }
    }

    /// Returns when every lease that earlier schedulers can have granted on a backend server has expired.
    pub(crate) fn earlier_lease_expiry(&self, id: &BackendServerId) -> Moment {
        self.unreachable.lease_expiry_of(id, self.earlier_lease_expiry)
    }

    /// Handles the end of all earlier schedulers: each has confirmed that it renews no leases any more, or is known
    /// to have restarted since, the latest of them at `ended`.
    pub fn earlier_terms_ended(&mut self, ended: Moment) {
        self.resolve_witnesses();
        self.limit_earlier_leases(self.timing.lease_expiry(ended));
        self.limit_provisional_leases(self.timing.short_lease_expiry(ended));
    }

    /// Lowers the bound on the leases of earlier schedulers to `expiry`.
    pub(crate) fn limit_earlier_leases(&mut self, expiry: Moment) {
        self.earlier_lease_expiry = self.earlier_lease_expiry.min(expiry);
        for server in self.servers.values_mut().filter(|server| !server.has_reported) {
            server.lease_expiry = server.lease_expiry.min(expiry);
        }
    }

    /// Whether a backend server may be given a lease. The next scheduler may rely on it having none.
    pub fn may_renew(&self, id: &BackendServerId) -> bool {
        !self.unreachable.is_recorded(id)
    }

    /// Whether a backend server may be given the lease that [`Scheduler::lease_now`] returns for the same times. While
    /// only witnesses confirm this scheduler, a provisional entry does not prevent it.
    pub fn may_renew_now(&self, id: &BackendServerId, confirmed: Moment, now: Moment) -> bool {
        self.may_renew(id) || now > confirmed && !self.unreachable.finally_recorded.contains(id)
    }

    /// Returns the record to store now, if any. From here on the backend servers that it names count as named,
    /// whatever the outcome of the write.
    pub fn next_unreachable_write(&mut self, now: Moment) -> Option<UnreachableWrite> {
        let newly_elected = now.since(self.elected) < FIRST_RECORD_DELAY;
        let is_recent = self.unreachable.recorded_at.is_some_and(|at| now.since(at) < RECORD_INTERVAL);
        let record = self.unreachable_leases(now);
        let due = record.ids().next().is_some() && !newly_elected && !is_recent;
        if !due && !self.unreachable.needs_withdrawal() {
            return None;
        }
        self.unreachable.recorded.extend(record.ids().cloned());
        self.unreachable.finally_recorded.extend(record.left_ms.keys().cloned());
        Some(UnreachableWrite { record, replaces: self.unreachable.revision, at: now })
    }

    /// Returns the record with the backend servers that it is to name, and the remaining lease time there in
    /// milliseconds. Those that it may name already are kept while they are unreachable.
    fn unreachable_leases(&self, now: Moment) -> UnreachableRecord {
        let mut record = UnreachableRecord::default();
        for id in &self.unreachable.pending {
            let Some(server) = self.servers.get(id) else { continue };
            let silent = server.contact.failing_since.filter(|_| server.has_reported).map(|since| now.since(since));
            let lost_just_now = silent.is_some_and(|silent| silent < RECORD_UNRESPONSIVE_AFTER);
            if lost_just_now && !self.unreachable.is_recorded(id) {
                continue;
            }
            // One that does not respond for longer than a short lease would lose its runs with such leases too.
            let is_provisional = self.has_stored_witnesses() && silent.is_some_and(|s| s < self.timing.short_lease());
            let entries = if is_provisional { &mut record.provisional_left_ms } else { &mut record.left_ms };
            entries.insert(id.clone(), server.lease_expiry.since(now).millis());
        }
        record
    }

    /// Handles a record that was stored at `revision`: backend servers that it does not name may get leases again.
    pub fn unreachable_stored(&mut self, write: UnreachableWrite, revision: Revision) {
        let before = std::mem::take(&mut self.unreachable.recorded);
        self.unreachable.recorded = write.record.ids().cloned().collect();
        self.unreachable.finally_recorded = write.record.left_ms.into_keys().collect();
        self.unreachable.recorded_at = Some(write.at);
        self.unreachable.revision = revision;
        for id in before {
            if !self.unreachable.is_recorded(&id) {
                self.mark_stale(&id);
                self.plan_requested = true;
            }
        }
    }

    /// Handles a conflict: the store holds another record than expected, since an earlier write of this scheduler
    /// took effect after all.
    pub fn unreachable_revision_found(&mut self, revision: Revision) {
        self.unreachable.revision = revision;
    }
}
