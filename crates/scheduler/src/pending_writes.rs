//! Occurrences that wait to be stored, in the order in which they came to.

use std::collections::BTreeMap;

use jobs::OccurrenceId;

/// Occurrences whose progress the store does not hold as it is.
///
/// The one that has waited longest goes first, so that each is stored within one round of all that wait. In the order
/// of their names, jobs that change with every write would hold up the others, and accelerators would stand reserved for starts that wait for their
/// write.
#[derive(Debug, Default)]
pub(crate) struct PendingWrites {
    by_turn: BTreeMap<u64, OccurrenceId>,
    turns: BTreeMap<OccurrenceId, u64>,
    next: u64,
}

impl PendingWrites {
    /// An occurrence has changed. One that waits already keeps its turn.
    pub(crate) fn insert(&mut self, id: OccurrenceId) {
        if self.turns.contains_key(&id) {
            return;
        }
        self.turns.insert(id, self.next);
        self.by_turn.insert(self.next, id);
        self.next += 1;
    }

    /// It waits no more.
    pub(crate) fn remove(&mut self, id: OccurrenceId) {
        if let Some(turn) = self.turns.remove(&id) {
            self.by_turn.remove(&turn);
        }
    }

    /// It was stored, but has changed since.
    pub(crate) fn requeue(&mut self, id: OccurrenceId) {
        self.remove(id);
        self.insert(id);
    }

    /// By turn.
    pub(crate) fn iter(&self) -> impl Iterator<Item = OccurrenceId> {
        self.by_turn.values().copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.turns.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }
}
