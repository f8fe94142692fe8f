//! Removal of ended jobs whose outcome can no longer be queried.

use jobs::JobId;
use model::Moment;

use crate::Scheduler;

impl Scheduler {
    /// Returns jobs whose retention has expired, at most `most`. Their records can be removed from the store, and so
    /// can the marks of jobs that were cancelled before they were submitted.
    pub fn expired_records(&self, now: Moment, most: usize) -> Vec<JobId> {
        let old = |since: Moment| now.since(since) > self.timing.keep_ended;
        let records = self.archived.iter().filter(|(_, ended)| old(ended.since)).map(|(id, _)| *id);
        let marks = self.cancelled_before_submission.iter().filter(|(_, since)| old(**since)).map(|(id, _)| *id);
        records.chain(marks).take(most).collect()
    }

    /// Handles the removal of these jobs from the store.
    pub fn remove_records(&mut self, forgotten: &[JobId]) {
        for id in forgotten {
            self.archived.remove(id);
            self.cancelled_before_submission.remove(id);
        }
    }
}
