//! Backend servers that fail what others run: they get no new work until a later trial.
//!
//! A job that fails on one backend server only says little; several jobs that fail on one backend
//! server, with no run in between that ended well, close it. A job that fails on several backend
//! servers is at fault itself, and its failures count against none.

use std::collections::{BTreeMap, BTreeSet};

use model::{BackendServerId, Duration, JobId, Moment};

use crate::{EntryBox, Observation};

/// Jobs that must fail in a row before a backend server is closed.
const FAILED_JOBS: usize = 3;
/// Longest time between trials.
const PROBE_MAX: Duration = Duration::from_secs(1800);

/// What is known of failures.
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

    /// Notes a failure; says whether the backend server is closed by it.
    fn failed(&mut self, server: &BackendServerId, job: &JobId, probe_after: Duration, now: Moment) -> bool {
        let places = self.by_job.entry(job.clone()).or_default();
        places.insert(server.clone());
        if places.len() > 1 {
            // The job fails wherever it runs.
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

    /// A gang on these backend servers ended well: what failed there before was not their fault.
    pub(crate) fn succeeded(&mut self, servers: &[BackendServerId]) {
        for server in servers {
            if !self.is_closed(server) {
                self.by_server.remove(server);
            }
        }
    }

    /// Opens those whose time has come, for a trial.
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
