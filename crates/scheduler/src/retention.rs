//! Removal of ended jobs whose outcome can no longer be queried.

use jobs::JobId;
use model::Moment;

use crate::Scheduler;

impl Scheduler {
    /// Returns jobs whose retention has expired, at most `max_jobs`. Their records can be removed from the store, and
    /// so can the marks of jobs that were cancelled before they were submitted.
    pub fn expired_records(&self, now: Moment, max_jobs: usize) -> Vec<JobId> {
        let has_expired = |since: Moment| now.since(since) > self.timing.keep_ended;
        let records = self.archived.iter().filter(|(_, ended)| has_expired(ended.since)).map(|(id, _)| *id);
        let marks =
            self.cancelled_before_submission.iter().filter(|(_, since)| has_expired(**since)).map(|(id, _)| *id);
        records.chain(marks).take(max_jobs).collect()
    }

    /// Handles the removal of these jobs from the store.
    pub fn remove_records(&mut self, removed: &[JobId]) {
        for id in removed {
            self.archived.remove(id);
            self.cancelled_before_submission.remove(id);
        }
    }
}
