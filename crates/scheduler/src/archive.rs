//! Archival of ended jobs: each leaves the submission records for a small record, which answers callers' queries for
//! as long as they are allowed and prevents a late submission from creating the job again.
//!
//! This bounds what a new scheduler must read before it can schedule by the number of open jobs, not of all jobs ever
//! submitted.

use jobs::{EndedJob, JobId, OccurrenceId};
use model::Moment;

use crate::{Scheduler, run_state::JobEntry};

/// Job that can be archived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Archival {
    /// Job to archive.
    pub job: JobId,
    /// Record that replaces the job in the store.
    pub record: EndedJob,
    /// Occurrences whose progress the store holds, which is to be removed.
    pub progress: Vec<OccurrenceId>,
}

/// Job that has been archived.
#[derive(Debug)]
pub(crate) struct Archived {
    pub(crate) record: EndedJob,
    /// Since when the job is known to have ended.
    pub(crate) since: Moment,
}

impl Scheduler {
    /// Returns jobs that can be archived, at most `max_jobs`: nothing of them runs, and the store holds their final
    /// progress.
    pub fn archivable(&self, max_jobs: usize) -> Vec<Archival> {
        let entries = self.finished_jobs.iter().filter_map(|id| Some((*id, self.jobs.get(id)?)));
        let stored = entries.filter(|(_, entry)| is_stored(entry));
        stored.take(max_jobs).map(|(id, entry)| archival(id, entry)).collect()
    }

    /// Handles a job whose record replaces it in the store. `remaining` lists progress that the store still holds.
    pub fn archived(&mut self, archival: Archival, remaining: &[OccurrenceId], now: Moment) {
        let Archival { job: id, record, .. } = archival;
        self.finished_jobs.remove(&id);
        self.orphans.extend(remaining);
        let Some(entry) = self.jobs.remove(&id) else { return };
        for occurrence in entry.occurrence_ids() {
            self.ready.remove(&occurrence);
            self.pending_writes.remove(occurrence);
            self.changed.remove(&occurrence);
            self.unsent_starts.remove(&occurrence);
        }
        self.archived.insert(id, Archived { record, since: entry.ended_at.unwrap_or(now) });
    }

    /// Restores a record that the store holds. Its retention starts at `now`, since the end of the job is not later.
    pub fn restore_ended(&mut self, id: JobId, record: EndedJob, now: Moment) {
        self.archived.entry(id).or_insert(Archived { record, since: now });
    }

    /// Returns progress in the store whose job no longer exists, of at most `max_occurrences`.
    pub fn orphans(&self, max_occurrences: usize) -> Vec<OccurrenceId> {
        self.orphans.iter().take(max_occurrences).copied().collect()
    }

    /// Handles the removal of such progress from the store.
    pub fn orphans_removed(&mut self, removed: &[OccurrenceId]) {
        for id in removed {
            self.orphans.remove(id);
        }
    }
}

/// Whether the store holds the current progress of all occurrences.
fn is_stored(entry: &JobEntry) -> bool {
    entry.occurrences.iter().all(|occurrence| occurrence.stored_version == occurrence.version)
}

fn archival(job: JobId, entry: &JobEntry) -> Archival {
    let stored = entry.occurrence_ids().zip(&entry.occurrences).filter(|(_, state)| state.store_revision.0 > 0);
    Archival { job, record: entry.job.ended(entry.state()), progress: stored.map(|(id, _)| id).collect() }
}
