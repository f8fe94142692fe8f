//! Quarantine of backend servers that repeatedly fail jobs: they get no new work until a later probe.
//!
//! One failed job says little about its backend server. A server is quarantined once several different jobs
//! have failed on it without a successful run in between. A job that fails on several backend servers is
//! itself at fault, and its failures count against none of them.

use std::collections::{BTreeMap, BTreeSet};

use model::{BackendServerId, Duration, JobId, Moment};

use crate::{EntryBox, Observation};

/// Different jobs that must fail in a row before a backend server is quarantined; 1 after an earlier
/// quarantine.
const FAILED_JOBS: usize = 3;
/// Longest quarantine before the next probe.
const PROBE_MAX: Duration = Duration::from_secs(1800);

/// Recent failures by backend server and by job.
#[derive(Default)]
pub(crate) struct Quarantine {
    by_server: BTreeMap<BackendServerId, Record>,
    by_job: BTreeMap<JobId, BTreeSet<BackendServerId>>,
}

#[derive(Default)]
struct Record {
    failed: BTreeSet<JobId>,
    closed_until: Option<Moment>,
    closings: u32,
}

impl Quarantine {
    pub(crate) fn is_closed(&self, server: &BackendServerId) -> bool {
        self.by_server.get(server).is_some_and(|record| record.closed_until.is_some())
    }

    /// Records a failure; returns whether it quarantines the backend server.
    fn failed(&mut self, server: &BackendServerId, job: &JobId, probe_after: Duration, now: Moment) -> bool {
        let places = self.by_job.entry(job.clone()).or_default();
        places.insert(server.clone());
        if places.len() > 1 {
            // The job is at fault: it fails on more than one backend server.
            for place in places.iter() {
                if let Some(record) = self.by_server.get_mut(place) {
                    record.failed.remove(job);
                }
            }
            return false;
        }
        let record = self.by_server.entry(server.clone()).or_default();
        record.failed.insert(job.clone());
        let limit = if record.closings > 0 { 1 } else { FAILED_JOBS };
        if record.failed.len() < limit || record.closed_until.is_some() {
            return false;
        }
        let wait = Duration::from_millis(probe_after.millis() << record.closings.min(8)).min(PROBE_MAX);
        record.closed_until = Some(now + wait);
        record.closings += 1;
        record.failed.clear();
        true
    }

    /// Records a successful run on these backend servers, which clears their earlier failures.
    pub(crate) fn succeeded(&mut self, servers: &[BackendServerId]) {
        for server in servers {
            if !self.is_closed(server) {
                self.by_server.remove(server);
            }
        }
    }

    /// Releases the backend servers whose quarantine has expired, and returns them.
    fn take_due(&mut self, now: Moment) -> Vec<BackendServerId> {
        let mut due = Vec::new();
        for (id, record) in &mut self.by_server {
            if record.closed_until.is_some_and(|until| until <= now) {
                record.closed_until = None;
                due.push(id.clone());
            }
        }
        due
    }
}

impl EntryBox {
    pub(crate) fn on_run_failed(&mut self, server: &BackendServerId, job: &JobId, now: Moment) {
        self.observe(Observation::Count { name: "run_failed" });
        if self.quarantine.failed(server, job, self.limits.probe_after, now) {
            self.observe(Observation::Quarantine { server: server.clone(), on: true });
        }
    }

    pub(crate) fn tick_quarantine(&mut self, now: Moment) {
        for server in self.quarantine.take_due(now) {
            self.observe(Observation::Quarantine { server, on: false });
            self.planning.mark_dirty();
        }
    }
}
