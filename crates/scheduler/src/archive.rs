//! Jobs that are over leave the intake for a small record, which answers callers' questions for as long as they may
//! ask and keeps a late submission from making the job again.
//!
//! So what a new scheduler must read before it can schedule is bounded by the jobs that are open, not by all that
//! were ever handed in.

use jobs::{EndedJob, JobId, OccurrenceId};
use model::Moment;

use crate::{Scheduler, run_state::JobEntry};

/// A job that can leave the intake.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Archival {
    /// The job.
    pub job: JobId,
    /// What is kept of it.
    pub record: EndedJob,
    /// Occurrences of which the store holds progress.
    pub progress: Vec<OccurrenceId>,
}

/// A job that has left the intake.
#[derive(Debug)]
pub(crate) struct Archived {
    pub(crate) record: EndedJob,
    /// Since when it is known to be over.
    pub(crate) since: Moment,
}

impl Scheduler {
    /// Jobs that can leave the intake, at most `most`: nothing of them runs, and the store holds how they ended.
    pub fn archivable(&self, most: usize) -> Vec<Archival> {
        let entries = self.finished_jobs.iter().filter_map(|id| Some((*id, self.jobs.get(id)?)));
        let stored = entries.filter(|(_, entry)| is_stored(entry));
        stored.take(most).map(|(id, entry)| archival(id, entry)).collect()
    }

    /// The store holds the record of a job in place of the job. `rest` is progress that it still holds.
    pub fn archived(&mut self, archival: Archival, rest: &[OccurrenceId], now: Moment) {
        let Archival { job: id, record, .. } = archival;
        self.finished_jobs.remove(&id);
        self.orphans.extend(rest);
        let Some(entry) = self.jobs.remove(&id) else { return };
        for occurrence in entry.occurrence_ids() {
            self.ready.remove(&occurrence);
            self.pending_writes.remove(occurrence);
            self.changed.remove(&occurrence);
            self.unsent_starts.remove(&occurrence);
        }
        self.archived.insert(id, Archived { record, since: entry.ended_at.unwrap_or(now) });
    }

    /// A record that the store holds, read by a new scheduler, for which its job ends now at the latest.
    pub fn restore_ended(&mut self, id: JobId, record: EndedJob, now: Moment) {
        self.archived.entry(id).or_insert(Archived { record, since: now });
    }

    /// Progress in the store that belongs to no job any more, at most `most`.
    pub fn orphans(&self, most: usize) -> Vec<OccurrenceId> {
        self.orphans.iter().take(most).copied().collect()
    }

    /// The store no longer holds such progress.
    pub fn orphans_removed(&mut self, removed: &[OccurrenceId]) {
        for id in removed {
            self.orphans.remove(id);
        }
    }
}

/// Whether the store holds the progress as it is.
fn is_stored(entry: &JobEntry) -> bool {
    entry.occurrences.iter().all(|occurrence| occurrence.stored_version == occurrence.version)
}

fn archival(job: JobId, entry: &JobEntry) -> Archival {
    let held = entry.occurrence_ids().zip(&entry.occurrences).filter(|(_, state)| state.store_revision.0 > 0);
    Archival { job, record: entry.job.ended(entry.state()), progress: held.map(|(id, _)| id).collect() }
}
