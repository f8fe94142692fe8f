//! Whether a backend server can be trusted with work, learned from how its runs end.

use jobs::JobId;
use model::{Duration, Moment};

/// A backend server is set aside once tasks of this many jobs failed on it with nothing done between.
const FAILED_JOBS: usize = 2;
/// How long it is set aside before one task is tried on it.
const QUARANTINE: Duration = Duration::from_secs(8);
/// How long a failure makes a backend server doubtful, unless something is done there before.
const DOUBT: Duration = Duration::from_secs(6);

/// What the ends of one backend server tell.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Jobs that failed here since something was last done here.
    failed: Vec<JobId>,
    last_failure: Option<Moment>,
    quarantined_until: Option<Moment>,
}

impl Health {
    pub(crate) fn done(&mut self) {
        self.failed.clear();
        self.quarantined_until = None;
    }

    /// Returns whether this sets the backend server aside.
    pub(crate) fn failed(&mut self, job: JobId, now: Moment) -> bool {
        if !self.failed.contains(&job) {
            self.failed.push(job);
        }
        self.last_failure = Some(now);
        let aside = self.failed.len() >= FAILED_JOBS;
        if aside {
            self.quarantined_until = Some(now + QUARANTINE);
        }
        aside
    }

    /// Whether a task failed here lately and none has been done since.
    pub(crate) fn is_suspect(&self, now: Moment) -> bool {
        let lately = self.last_failure.is_some_and(|at| now.since(at) < DOUBT);
        lately && !self.failed.is_empty()
    }

    /// Whether time alone can change whether it is trusted.
    pub(crate) fn changes_with_time(&self, now: Moment) -> bool {
        self.is_suspect(now) || self.is_quarantined(now)
    }

    pub(crate) fn is_quarantined(&self, now: Moment) -> bool {
        self.quarantined_until.is_some_and(|until| now < until)
    }
}
