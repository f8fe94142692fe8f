//! Jobs that are over and no longer asked for.

use jobs::{JobId, OccurrenceId};
use model::Moment;

use crate::Scheduler;

/// A job that can be removed from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forgettable {
    /// The job, or the id of one that was cancelled before it came.
    pub job: JobId,
    /// Occurrences of which the store may hold progress.
    pub occurrences: Vec<OccurrenceId>,
}

impl Scheduler {
    /// Jobs whose end can no longer be asked for, at most `most`.
    pub fn forgettable(&self, now: Moment, most: usize) -> Vec<Forgettable> {
        let keep = self.timing.keep_ended;
        let old = |since: &Moment| now.since(*since) > keep;
        let over =
            self.jobs.iter().filter(|(id, entry)| entry.ended.as_ref().is_some_and(old) && !self.open.contains(id));
        let jobs = over.map(|(id, entry)| Forgettable { job: *id, occurrences: entry.occurrence_ids().collect() });
        let orphans = self.cancelled_before.iter().filter(|(_, since)| old(since));
        let orphans = orphans.map(|(id, _)| Forgettable { job: *id, occurrences: Vec::new() });
        jobs.chain(orphans).take(most).collect()
    }

    /// The store holds nothing of these jobs any more.
    pub fn forget(&mut self, forgotten: &[Forgettable]) {
        for Forgettable { job, occurrences } in forgotten {
            self.jobs.remove(job);
            self.cancelled_before.remove(job);
            for occurrence in occurrences {
                self.ready.remove(occurrence);
                self.dirty.remove(occurrence);
                self.advice.forget(*occurrence);
            }
        }
    }
}
