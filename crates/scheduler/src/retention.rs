//! Jobs that are over and no longer asked for.

use jobs::JobId;
use model::Moment;

use crate::Scheduler;

impl Scheduler {
    /// Jobs whose end can no longer be asked for, at most `most`: the store can drop their records, and the marks of
    /// those that were cancelled before they came.
    pub fn expired_records(&self, now: Moment, most: usize) -> Vec<JobId> {
        let old = |since: Moment| now.since(since) > self.timing.keep_ended;
        let records = self.archived.iter().filter(|(_, ended)| old(ended.since)).map(|(id, _)| *id);
        let marks = self.cancelled_before_submission.iter().filter(|(_, since)| old(**since)).map(|(id, _)| *id);
        records.chain(marks).take(most).collect()
    }

    /// The store holds nothing of these jobs any more.
    pub fn remove_records(&mut self, forgotten: &[JobId]) {
        for id in forgotten {
            self.archived.remove(id);
            self.cancelled_before_submission.remove(id);
        }
    }
}
