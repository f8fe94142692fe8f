//! What callers have asked for and were told, job by job.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::Instant,
};

use jobs::JobId;
use users_platform_standin::Work;

/// What came of handing a job in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Handed {
    /// Not answered yet.
    Asking,
    /// It was accepted then.
    Accepted(Instant),
    /// Every try was refused: it must never run.
    Refused,
    /// Some try was left without an answer, and none was accepted.
    Doubtful,
}

/// What came of cancelling it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cancelled {
    No,
    /// It may have been.
    Asked,
    /// It was told then.
    Told(Instant),
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Entry {
    pub(crate) work: Work,
    pub(crate) handed: Handed,
    pub(crate) cancelled: Cancelled,
}

/// All jobs of a run.
#[derive(Default)]
pub(crate) struct Ledger {
    entries: Mutex<BTreeMap<JobId, Entry>>,
}

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<JobId, Entry>> {
        self.entries.lock().expect("no holder panics")
    }

    pub(crate) fn begin(&self, id: JobId, work: Work) {
        self.lock().insert(id, Entry { work, handed: Handed::Asking, cancelled: Cancelled::No });
    }

    pub(crate) fn handed(&self, id: JobId, handed: Handed) {
        if let Some(entry) = self.lock().get_mut(&id) {
            entry.handed = handed;
        }
    }

    pub(crate) fn cancelled(&self, id: JobId, cancelled: Cancelled) {
        if let Some(entry) = self.lock().get_mut(&id) {
            entry.cancelled = cancelled;
        }
    }

    pub(crate) fn get(&self, id: JobId) -> Option<Entry> {
        self.lock().get(&id).copied()
    }

    pub(crate) fn all(&self) -> Vec<(JobId, Entry)> {
        self.lock().iter().map(|(id, entry)| (*id, *entry)).collect()
    }
}
