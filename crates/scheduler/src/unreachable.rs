//! Backend servers that no scheduler has reached lately, told from one scheduler to the next.
//!
//! What runs on a lost backend server is over only when every lease is that an earlier scheduler can have given. A new
//! scheduler reckons them from its own election, so each election would begin that wait anew. But one that does not
//! reach a backend server gives it no lease, whether it never has reached it or has lost it: it notes in the store how
//! long leases have left there, and the next goes on from that.
//!
//! A backend server that the note may name is given no lease and no work until the note is withdrawn: the next scheduler relies on
//! it. A write without an answer may take effect later, so each has as its condition the revision that the one before left.

use std::collections::{BTreeMap, BTreeSet};

use model::{BackendServerId, Duration, Moment, Revision};
use serde::{Deserialize, Serialize};

use crate::Scheduler;

/// A new scheduler reaches what answers within this; only what is left is worth a write.
const FIRST_NOTE_AFTER: Duration = Duration::from_millis(1000);
/// A backend server that answered before is noted once it has been silent for so long: one whose connection broke
/// answers again sooner, and must not wait for a note to be withdrawn.
const NOTED_AFTER: Duration = Duration::from_millis(1000);
/// What the next scheduler is told to wait is at most this much too long.
const NOTE_EVERY: Duration = Duration::from_millis(1000);

/// Backend servers that a scheduler has not reached, as the store holds them: how long leases of earlier schedulers
/// have left there at most.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreachableRecord {
    /// In milliseconds from the write, so that no two clocks are compared.
    left_ms: BTreeMap<BackendServerId, u64>,
}

/// A note that is to be stored.
#[derive(Debug, Clone)]
pub struct UnreachableWrite {
    /// What.
    pub record: UnreachableRecord,
    /// The store's revision of the note that it replaces; 0 if there is none.
    pub replaces: Revision,
    at: Moment,
}

/// What a scheduler knows of the note in the store.
#[derive(Debug, Default)]
pub(crate) struct Unreachable {
    /// Backend servers with runs, and not reached.
    waiting: BTreeSet<BackendServerId>,
    /// Backend servers that the note in the store may name.
    named: BTreeSet<BackendServerId>,
    /// When leases are over by an earlier scheduler's note.
    noted_over: BTreeMap<BackendServerId, Moment>,
    /// When the note that the store holds was drawn up.
    noted_at: Option<Moment>,
    revision: Revision,
}

impl Unreachable {
    /// When every lease that earlier schedulers can have given is over, if it is `by_election` without a note.
    pub(crate) fn lease_expiry_of(&self, id: &BackendServerId, by_election: Moment) -> Moment {
        self.noted_over.get(id).map_or(by_election, |noted| by_election.min(*noted))
    }

    /// A run may go on there, and it is not reached.
    pub(crate) fn add_pending(&mut self, id: &BackendServerId) {
        self.waiting.insert(id.clone());
    }

    /// It has answered, or is not known any more.
    pub(crate) fn remove_pending(&mut self, id: &BackendServerId) {
        self.waiting.remove(id);
    }

    /// Whether the note in the store may name it.
    pub(crate) fn is_recorded(&self, id: &BackendServerId) -> bool {
        self.named.contains(id)
    }

    /// Whether the note may name one that has been reached.
    fn is_to_be_withdrawn(&self) -> bool {
        self.named.iter().any(|id| !self.waiting.contains(id))
    }
}

impl Scheduler {
    /// Takes over the note of an earlier scheduler, before anything else is restored.
    pub fn restore_unreachable(&mut self, record: &UnreachableRecord, revision: Revision) {
        let over = |(id, left): (&BackendServerId, &u64)| (id.clone(), self.elected + Duration::from_millis(*left));
        self.unreachable.noted_over = record.left_ms.iter().map(over).collect();
        self.unreachable.named = record.left_ms.keys().cloned().collect();
        self.unreachable.noted_at = Some(self.elected);
        self.unreachable.revision = revision;
    }

    /// When every lease that earlier schedulers can have given a backend server is over.
    pub(crate) fn earlier_lease_expiry(&self, id: &BackendServerId) -> Moment {
        self.unreachable.lease_expiry_of(id, self.earlier_lease_expiry)
    }

    /// Every earlier scheduler has said that it renews no lease any more, or is known to have begun anew since: the
    /// latest of them at `ended`.
    pub fn earlier_terms_ended(&mut self, ended: Moment) {
        self.resolve_witnesses();
        self.limit_earlier_leases(self.timing.lease_expiry(ended));
    }

    /// Every lease that an earlier scheduler can have given is over by then, and may be over sooner.
    pub(crate) fn limit_earlier_leases(&mut self, over: Moment) {
        self.earlier_lease_expiry = self.earlier_lease_expiry.min(over);
        for server in self.servers.values_mut().filter(|server| !server.has_reported) {
            server.lease_expiry = server.lease_expiry.min(over);
        }
    }

    /// Whether a backend server may be given a lease: the next scheduler may have been told that it was given none.
    pub fn may_renew(&self, id: &BackendServerId) -> bool {
        !self.unreachable.is_recorded(id)
    }

    /// The note that should be stored now, if any. The backend servers that it names count as named from here on,
    /// whatever comes of the write.
    pub fn next_unreachable_write(&mut self, now: Moment) -> Option<UnreachableWrite> {
        let new = now.since(self.elected) < FIRST_NOTE_AFTER;
        let fresh = self.unreachable.noted_at.is_some_and(|at| now.since(at) < NOTE_EVERY);
        let record = UnreachableRecord { left_ms: self.unreachable_leases(now) };
        let due = !record.left_ms.is_empty() && !new && !fresh;
        if !due && !self.unreachable.is_to_be_withdrawn() {
            return None;
        }
        let newly: Vec<BackendServerId> =
            record.left_ms.keys().filter(|id| !self.unreachable.is_recorded(id)).cloned().collect();
        self.unreachable.named.extend(newly);
        Some(UnreachableWrite { record, replaces: self.unreachable.revision, at: now })
    }

    /// What the note is to name, with how long leases have left there in milliseconds: also what it names already, for
    /// as long as that is not reached.
    fn unreachable_leases(&self, now: Moment) -> BTreeMap<BackendServerId, u64> {
        let left = |id: &BackendServerId| {
            let server = self.servers.get(id)?;
            let lost_just_now = server.contact.failing_since.is_some_and(|since| now.since(since) < NOTED_AFTER);
            let named = !server.has_reported || !lost_just_now || self.unreachable.is_recorded(id);
            named.then(|| (id.clone(), server.lease_expiry.since(now).millis()))
        };
        self.unreachable.waiting.iter().filter_map(left).collect()
    }

    /// The store has taken a note, at `revision`: what it does not name may be given leases again.
    pub fn unreachable_stored(&mut self, write: UnreachableWrite, revision: Revision) {
        let before = std::mem::take(&mut self.unreachable.named);
        self.unreachable.named = write.record.left_ms.into_keys().collect();
        self.unreachable.noted_at = Some(write.at);
        self.unreachable.revision = revision;
        for id in before {
            if !self.unreachable.is_recorded(&id) {
                self.mark_stale(&id);
                self.plan_requested = true;
            }
        }
    }

    /// The store holds another note than was to be replaced: an earlier write of ours took effect after all.
    pub fn unreachable_revision_found(&mut self, revision: Revision) {
        self.unreachable.revision = revision;
    }
}
