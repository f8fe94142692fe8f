//! Writes of progress to the store, many in one call.

use std::collections::{BTreeMap, BTreeSet};

use jobs::{OccurrenceId, Progress};
use model::{AvailabilityZoneId, BackendServerId, Revision};

use crate::{Scheduler, run_state::Phase};

/// One occurrence's progress as it is to be stored.
#[derive(Debug, Clone)]
pub struct ProgressWrite {
    /// Whose.
    pub occurrence: OccurrenceId,
    /// The version of the progress in memory that this is.
    pub version: u64,
    /// The progress.
    pub progress: Progress,
    /// The store's revision of what it replaces; 0 if there is nothing yet.
    pub replaces: Revision,
}

/// Writes that take effect together or not at all.
#[derive(Debug, Clone, Default)]
pub struct WriteBatch {
    /// At least one.
    pub writes: Vec<ProgressWrite>,
    /// Availability zones where the batch places runs that were not ordered yet: it is worth nothing if one of them has
    /// been evacuated meanwhile.
    pub placement_zones: BTreeSet<AvailabilityZoneId>,
}

/// Tasks whose progress goes into one batch, unless a single occurrence has more: some 40 KB as the store takes
/// them, which a link of 10 Mbit/s carries in 35 ms, far within the limit of a write.
const MOST_TASKS: usize = 500;

impl Scheduler {
    /// Whether something is to be stored.
    pub fn has_pending_writes(&self) -> bool {
        !self.pending_writes.is_empty()
    }

    /// What should be stored next, at most `most` entries; `None` if everything is stored.
    ///
    /// Several batches may be under way, each occurrence in one of them: the writes of one follow each other, and one that gets no answer holds up no
    /// other. What is in a batch is given again once [`Scheduler::batch_failed`] is told of it, so that a write without an answer is made up for by
    /// the next: either it took effect, which the next finds by its conflict, or the next makes its condition false.
    pub fn next_write_batch(&mut self, most: usize) -> Option<WriteBatch> {
        let mut tasks = 0;
        let mut writes: Vec<ProgressWrite> = Vec::new();
        let free = self.pending_writes.iter().filter(|id| !self.writes_in_flight.contains(id));
        for entry in free.filter_map(|id| self.entry(id)).take(most) {
            tasks += entry.progress.groups.iter().map(Vec::len).sum::<usize>();
            if tasks > MOST_TASKS && !writes.is_empty() {
                break;
            }
            writes.push(entry);
        }
        if writes.is_empty() {
            return None;
        }
        let placement_zones = writes.iter().flat_map(|entry| self.placement_zones(entry.occurrence)).collect();
        self.writes_in_flight.extend(writes.iter().map(|entry| entry.occurrence));
        Some(WriteBatch { writes, placement_zones })
    }

    /// A batch was not stored, or nothing is known of it.
    pub fn batch_failed(&mut self, batch: &WriteBatch) {
        for entry in &batch.writes {
            self.writes_in_flight.remove(&entry.occurrence);
        }
    }

    /// Where an occurrence has members that were not ordered yet.
    fn placement_zones(&self, id: OccurrenceId) -> impl Iterator<Item = AvailabilityZoneId> {
        let members = self.occurrence(id).groups.iter().flatten().flat_map(|group| &group.members);
        let planned = members.filter(|member| member.phase == Phase::Planned);
        let zone = |id: &BackendServerId| Some(self.servers.get(id)?.info.as_ref()?.availability_zone.clone());
        planned.filter_map(move |member| zone(&member.server))
    }

    fn entry(&self, id: OccurrenceId) -> Option<ProgressWrite> {
        let occurrence = self.known_occurrence(id)?;
        Some(ProgressWrite {
            occurrence: id,
            version: occurrence.version,
            progress: occurrence.progress.clone(),
            replaces: occurrence.store_revision,
        })
    }

    /// A batch is in the store, at `revision`. Returns the backend servers to which more ends can be acknowledged now.
    pub fn batch_stored(&mut self, batch: WriteBatch, revision: Revision) -> Vec<BackendServerId> {
        let mut acknowledged = Vec::new();
        for entry in batch.writes {
            let id = entry.occurrence;
            self.writes_in_flight.remove(&id);
            self.entry_stored(entry, revision);
            acknowledged.extend(self.acknowledge_stored_with(id));
        }
        self.send_stored_starts();
        acknowledged
    }

    fn entry_stored(&mut self, entry: ProgressWrite, revision: Revision) {
        let id = entry.occurrence;
        let Some(occurrence) = self.known_occurrence_mut(id) else { return };
        occurrence.store_revision = revision;
        occurrence.stored_version = entry.version;
        occurrence.stored_progress = entry.progress;
        if occurrence.version == entry.version {
            self.pending_writes.remove(id);
        } else {
            self.pending_writes.requeue(id);
        }
        self.unsent_starts.insert(id);
    }

    /// The store holds other revisions than the batch expected: an earlier write of ours took effect after all.
    pub fn stored_revisions_found(&mut self, revisions: &BTreeMap<OccurrenceId, Revision>) {
        for (&id, &revision) in revisions {
            if let Some(occurrence) = self.known_occurrence_mut(id) {
                occurrence.store_revision = revision;
            }
        }
    }
}
