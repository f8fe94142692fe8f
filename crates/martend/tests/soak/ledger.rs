//! Requests of callers and the responses that they received, by job.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::Instant,
};

use jobs::JobId;
use users_platform_standin::Work;

/// State of a submission, as its caller knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Submission {
    /// No response yet.
    Pending,
    /// Accepted at this time.
    Accepted(Instant),
    /// Every attempt was refused, so the job must never run.
    Refused,
    /// No attempt was accepted, and at least one got no response.
    InDoubt,
}

/// State of a cancellation, as the caller knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cancellation {
    /// Not requested.
    None,
    /// Requested, with unknown outcome.
    Requested,
    /// Confirmed at this time.
    Confirmed(Instant),
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Entry {
    pub(crate) work: Work,
    pub(crate) submission: Submission,
    pub(crate) cancellation: Cancellation,
}

/// Submissions and cancellations of all jobs of a run.
#[derive(Default)]
pub(crate) struct Ledger {
    entries: Mutex<BTreeMap<JobId, Entry>>,
}

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<JobId, Entry>> {
        self.entries.lock().expect("no holder panics")
    }

    pub(crate) fn record_job(&self, id: JobId, work: Work) {
        self.lock().insert(id, Entry { work, submission: Submission::Pending, cancellation: Cancellation::None });
    }

    pub(crate) fn record_submission(&self, id: JobId, submission: Submission) {
        if let Some(entry) = self.lock().get_mut(&id) {
            entry.submission = submission;
        }
    }

    pub(crate) fn record_cancellation(&self, id: JobId, cancellation: Cancellation) {
        if let Some(entry) = self.lock().get_mut(&id) {
            entry.cancellation = cancellation;
        }
    }

    pub(crate) fn get(&self, id: JobId) -> Option<Entry> {
        self.lock().get(&id).copied()
    }

    pub(crate) fn all(&self) -> Vec<(JobId, Entry)> {
        self.lock().iter().map(|(id, entry)| (*id, *entry)).collect()
    }
}
