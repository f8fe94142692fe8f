//! Batched writes of progress to the store.

use std::collections::{BTreeMap, BTreeSet};

use jobs::{OccurrenceId, Progress};
use model::{AvailabilityZoneId, BackendServerId, Revision};

use crate::{Scheduler, run_state::Phase};

/// Write of one occurrence's progress.
#[derive(Debug, Clone)]
pub struct ProgressWrite {
    /// Occurrence that the progress belongs to.
    pub occurrence: OccurrenceId,
    /// Version of the progress in memory that is written.
    pub version: u64,
    /// Progress to store.
    pub progress: Progress,
    /// Revision in the store that the write replaces; 0 if the store holds none.
    pub replaces: Revision,
}

/// Writes that take effect together or not at all.
#[derive(Debug, Clone, Default)]
pub struct WriteBatch {
    /// Writes of the batch, at least one.
    pub writes: Vec<ProgressWrite>,
    /// Availability zones in which the batch places runs that were not ordered yet. The batch must not be stored if
    /// one of them has been evacuated in the meantime.
    pub placement_zones: BTreeSet<AvailabilityZoneId>,
}

/// Most tasks whose progress goes into one batch, unless a single occurrence has more. Their progress takes some 40
/// KB in the store's format, which a link of 10 Mbit/s transfers in 35 ms, far below the time limit of a write.
const MAX_BATCH_TASKS: usize = 500;

impl Scheduler {
    /// Whether progress is to be stored, including progress in flight.
    pub fn has_pending_writes(&self) -> bool {
        !self.pending_writes.is_empty()
    }

    /// Returns the next batch to store, with at most `max_writes` writes; `None` if nothing is left to send.
    ///
    /// Several batches may be in flight, but each occurrence is in only one of them. So the writes of an occurrence
    /// follow one another, and a batch without a response delays no other. After [`Scheduler::batch_failed`], the
    /// occurrences of a batch are offered again. This makes up for a write with unknown outcome: either it took
    /// effect, which the next write detects by its conflict, or the next write makes its condition false.
    pub fn next_write_batch(&mut self, max_writes: usize) -> Option<WriteBatch> {
        let mut tasks = 0;
        let mut writes: Vec<ProgressWrite> = Vec::new();
        let sendable = self.pending_writes.iter().filter(|id| !self.writes_in_flight.contains(id));
        for write in sendable.filter_map(|id| self.progress_write(id)).take(max_writes) {
            tasks += write.progress.groups.iter().map(Vec::len).sum::<usize>();
            if tasks > MAX_BATCH_TASKS && !writes.is_empty() {
                break;
            }
            writes.push(write);
        }
        if writes.is_empty() {
            return None;
        }
        let placement_zones = writes.iter().flat_map(|write| self.placement_zones(write.occurrence)).collect();
        self.writes_in_flight.extend(writes.iter().map(|write| write.occurrence));
        Some(WriteBatch { writes, placement_zones })
    }

    /// Handles a batch that was not stored, or whose outcome is unknown.
    pub fn batch_failed(&mut self, batch: &WriteBatch) {
        for write in &batch.writes {
            self.writes_in_flight.remove(&write.occurrence);
        }
    }

    /// Returns the availability zones where an occurrence has members that were not ordered yet.
    fn placement_zones(&self, id: OccurrenceId) -> impl Iterator<Item = AvailabilityZoneId> {
        let members = self.occurrence(id).groups.iter().flatten().flat_map(|group| &group.members);
        let planned = members.filter(|member| member.phase == Phase::Planned);
        let zone = |id: &BackendServerId| Some(self.servers.get(id)?.info.as_ref()?.availability_zone.clone());
        planned.filter_map(move |member| zone(&member.server))
    }

    fn progress_write(&self, id: OccurrenceId) -> Option<ProgressWrite> {
        let occurrence = self.find_occurrence(id)?;
        Some(ProgressWrite {
            occurrence: id,
            version: occurrence.version,
            progress: occurrence.progress.clone(),
            replaces: occurrence.store_revision,
        })
    }

    /// Handles a batch that was stored at `revision`. Returns the backend servers to which more completions can be
    /// acknowledged now.
    pub fn batch_stored(&mut self, batch: WriteBatch, revision: Revision) -> Vec<BackendServerId> {
        let mut acknowledged = Vec::new();
        for write in batch.writes {
            let id = write.occurrence;
            self.writes_in_flight.remove(&id);
            self.write_stored(write, revision);
            acknowledged.extend(self.acknowledge_stored_with(id));
        }
        self.send_stored_starts();
        acknowledged
    }

    fn write_stored(&mut self, write: ProgressWrite, revision: Revision) {
        let id = write.occurrence;
        let Some(occurrence) = self.find_occurrence_mut(id) else { return };
        occurrence.store_revision = revision;
        occurrence.stored_version = write.version;
        occurrence.stored_progress = write.progress;
        if occurrence.version == write.version {
            self.pending_writes.remove(id);
        } else {
            self.pending_writes.requeue(id);
        }
        self.unsent_starts.insert(id);
    }

    /// Handles a conflict: the store holds other revisions than the batch expected, since an earlier write of this
    /// scheduler took effect after all.
    pub fn stored_revisions_found(&mut self, revisions: &BTreeMap<OccurrenceId, Revision>) {
        for (&id, &revision) in revisions {
            if let Some(occurrence) = self.find_occurrence_mut(id) {
                occurrence.store_revision = revision;
            }
        }
    }
}
