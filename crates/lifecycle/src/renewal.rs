//! Renewal of leases: one call for all leases of this box on a backend server.

use std::collections::BTreeMap;

use backend::{BackendRequest, Renewal};
use model::{BackendServerId, JobId, Moment};

use crate::{
    Anomaly, Coordinator, Effect,
    job::{Cause, Phase},
};

impl Coordinator {
    /// Renews everything when it is time.
    pub(crate) fn renew_due(&mut self, now: Moment) {
        if now < self.next_renewal {
            return;
        }
        self.next_renewal = now + self.limits.renew_every;
        let ttl = self.limits.lease_ttl;
        for (server, leases) in self.renewals() {
            self.call(&server, BackendRequest::Renew { leases, ttl });
        }
    }

    fn renewals(&self) -> BTreeMap<BackendServerId, Vec<Renewal>> {
        let mut by_server: BTreeMap<BackendServerId, Vec<Renewal>> = BTreeMap::new();
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.is_held()) {
            let go = matches!(job.phase, Phase::Running { .. });
            for part in job.parts.iter().filter(|part| !part.is_over()) {
                let lease = Renewal { job: id.clone(), token: job.token(), go };
                by_server.entry(part.member.server.clone()).or_default().push(lease);
            }
        }
        by_server
    }

    /// A member that has not answered for the length of its lease is lost, and the rest is stopped.
    pub(crate) fn check_contacts(&mut self, id: &JobId, since: Moment, now: Moment) {
        let job = &self.jobs[id];
        let silent = |server: &BackendServerId| {
            let last = self.contacts.get(server).copied().unwrap_or(since).max(since);
            now.since(last) > self.limits.lease_ttl
        };
        let lost = job.parts.iter().find(|part| !part.is_over() && silent(&part.member.server));
        if let Some(part) = lost {
            let server = part.member.server.clone();
            self.effects.push(Effect::Count(Anomaly::PartialGang));
            self.stop(id, Cause::MemberLost { server }, now);
        }
    }
}
