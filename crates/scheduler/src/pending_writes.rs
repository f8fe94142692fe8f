//! Occurrences whose progress is to be stored, in the order of their changes.

use std::collections::BTreeMap;

use jobs::OccurrenceId;

/// Occurrences whose current progress is not stored yet.
///
/// The one that has waited longest goes first, so that each is stored within one round over all that wait. In the
/// order of their ids, jobs that change with every write would delay the others, and accelerators would stay reserved
/// for starts that wait for their write.
#[derive(Debug, Default)]
pub(crate) struct PendingWrites {
    by_position: BTreeMap<u64, OccurrenceId>,
    positions: BTreeMap<OccurrenceId, u64>,
    next_position: u64,
}

impl PendingWrites {
    /// Adds an occurrence that has changed. One that already waits keeps its position.
    pub(crate) fn insert(&mut self, id: OccurrenceId) {
        if self.positions.contains_key(&id) {
            return;
        }
        self.positions.insert(id, self.next_position);
        self.by_position.insert(self.next_position, id);
        self.next_position += 1;
    }

    /// Removes an occurrence.
    pub(crate) fn remove(&mut self, id: OccurrenceId) {
        if let Some(position) = self.positions.remove(&id) {
            self.by_position.remove(&position);
        }
    }

    /// Moves an occurrence to the end: it was stored, but has changed since.
    pub(crate) fn requeue(&mut self, id: OccurrenceId) {
        self.remove(id);
        self.insert(id);
    }

    /// Returns the occurrences, the one that has waited longest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = OccurrenceId> {
        self.by_position.values().copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.positions.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }
}
