//! Quarantine of backend servers that repeatedly fail jobs: they get no new work for a time. Afterwards one failure
//! quarantines them again, for twice as long, up to `MAX_QUARANTINE`, until a run succeeds.
//!
//! One failed job says little about its backend server. A server is quarantined once several different jobs
//! have failed on it without a successful run in between. A job that fails on several backend servers is
//! itself at fault, and its failures count against none of them.

use std::collections::{BTreeMap, BTreeSet};

use model::{BackendServerId, Duration, JobId, Moment};

use crate::{EntryBox, Observation};

/// Number of different jobs that must fail in a row for the first quarantine of a backend server. After a quarantine,
/// one failed job suffices until a run succeeds.
const FAILED_JOBS_TO_QUARANTINE: usize = 3;
/// Longest duration of one quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(1800);

/// Recent failures by backend server and by job.
#[derive(Default)]
pub(crate) struct Quarantine {
    by_server: BTreeMap<BackendServerId, Record>,
    /// Backend servers on which each job has failed.
    failed_on: BTreeMap<JobId, BTreeSet<BackendServerId>>,
}

#[derive(Default)]
struct Record {
    failed: BTreeSet<JobId>,
    quarantined_until: Option<Moment>,
    quarantines: u32,
}

impl Quarantine {
    pub(crate) fn is_quarantined(&self, server: &BackendServerId) -> bool {
        self.by_server.get(server).is_some_and(|record| record.quarantined_until.is_some())
    }

    /// Records a failure; returns whether a quarantine of the backend server begins.
    fn record_failure(&mut self, server: &BackendServerId, job: &JobId, probe_after: Duration, now: Moment) -> bool {
        let servers = self.failed_on.entry(job.clone()).or_default();
        servers.insert(server.clone());
        if servers.len() > 1 {
            // The job fails on several backend servers, so none of its failures counts against them.
            for other in servers.iter() {
                if let Some(record) = self.by_server.get_mut(other) {
                    record.failed.remove(job);
                }
            }
            return false;
        }
        let record = self.by_server.entry(server.clone()).or_default();
        record.failed.insert(job.clone());
        let limit = if record.quarantines > 0 { 1 } else { FAILED_JOBS_TO_QUARANTINE };
        if record.failed.len() < limit || record.quarantined_until.is_some() {
            return false;
        }
        let wait = Duration::from_millis(probe_after.millis() << record.quarantines.min(8)).min(MAX_QUARANTINE);
        record.quarantined_until = Some(now + wait);
        record.quarantines += 1;
        record.failed.clear();
        true
    }

    /// Records a successful run: forgets the failures and past quarantines of these backend servers, except those in
    /// quarantine now.
    pub(crate) fn record_success(&mut self, servers: &[BackendServerId]) {
        for server in servers {
            if !self.is_quarantined(server) {
                self.by_server.remove(server);
            }
        }
    }

    /// Releases the backend servers whose quarantine has expired, and returns them.
    fn release_due(&mut self, now: Moment) -> Vec<BackendServerId> {
        let mut due = Vec::new();
        for (id, record) in &mut self.by_server {
            if record.quarantined_until.is_some_and(|until| until <= now) {
                record.quarantined_until = None;
                due.push(id.clone());
            }
        }
        due
    }
}

impl EntryBox {
    pub(crate) fn on_run_failed(&mut self, server: &BackendServerId, job: &JobId, now: Moment) {
        self.observe(Observation::Count { name: "run_failed" });
        if self.quarantine.record_failure(server, job, self.limits.probe_after, now) {
            self.observe(Observation::Quarantine { server: server.clone(), on: true });
        }
    }

    pub(crate) fn tick_quarantine(&mut self, now: Moment) {
        for server in self.quarantine.release_due(now) {
            self.observe(Observation::Quarantine { server, on: false });
            self.planning.mark_changed();
        }
    }
}
