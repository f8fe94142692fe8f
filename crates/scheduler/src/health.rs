//! Health of a backend server, judged by how its runs end.

use jobs::JobId;
use model::{Duration, Moment};

/// Number of jobs whose tasks must have failed, with no completed work in between, for a backend server to be
/// quarantined.
const QUARANTINE_FAILED_JOBS: usize = 2;
/// Duration of a quarantine; afterwards one task is tried on the backend server.
const QUARANTINE_DURATION: Duration = Duration::from_secs(8);
/// How long a failure makes a backend server suspect, unless work is completed there earlier.
const SUSPECT_DURATION: Duration = Duration::from_secs(6);

/// Health of one backend server.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Jobs that failed here since work was last completed here.
    failed: Vec<JobId>,
    last_failure: Option<Moment>,
    quarantined_until: Option<Moment>,
}

impl Health {
    pub(crate) fn done(&mut self) {
        self.failed.clear();
        self.quarantined_until = None;
    }

    /// Records a failed run. Returns whether the backend server is now quarantined.
    pub(crate) fn failed(&mut self, job: JobId, now: Moment) -> bool {
        if !self.failed.contains(&job) {
            self.failed.push(job);
        }
        self.last_failure = Some(now);
        let is_quarantined = self.failed.len() >= QUARANTINE_FAILED_JOBS;
        if is_quarantined {
            self.quarantined_until = Some(now + QUARANTINE_DURATION);
        }
        is_quarantined
    }

    /// Whether a task failed here recently and no work was completed since.
    pub(crate) fn is_suspect(&self, now: Moment) -> bool {
        let is_recent = self.last_failure.is_some_and(|at| now.since(at) < SUSPECT_DURATION);
        is_recent && !self.failed.is_empty()
    }

    /// Whether time alone can change how far it is trusted.
    pub(crate) fn changes_with_time(&self, now: Moment) -> bool {
        self.is_suspect(now) || self.is_quarantined(now)
    }

    pub(crate) fn is_quarantined(&self, now: Moment) -> bool {
        self.quarantined_until.is_some_and(|until| now < until)
    }
}
