//! Renewal of leases. One call renews all leases of this box on a backend server.

use std::collections::BTreeMap;

use backend::{BackendRequest, Renewal};
use model::{BackendServerId, JobId, Moment};

use crate::{
    Anomaly, Coordinator, Effect,
    job::{Cause, Phase},
};

impl Coordinator {
    /// Renews all leases if the renewal interval has passed.
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
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.needs_renewal()) {
            let go = matches!(job.phase, Phase::Running { .. });
            for member in job.members.iter().filter(|member| !member.has_ended()) {
                let lease = Renewal { job: id.clone(), token: job.token(), go };
                by_server.entry(member.placement.server.clone()).or_default().push(lease);
            }
        }
        by_server
    }

    /// Stops the gang if the backend server of a member that has not ended has not responded for longer than a lease,
    /// counted from `since` at the earliest.
    pub(crate) fn stop_if_member_lost(&mut self, id: &JobId, since: Moment, now: Moment) {
        let job = &self.jobs[id];
        let unresponsive = |server: &BackendServerId| {
            let last = self.last_responses.get(server).copied().unwrap_or(since).max(since);
            now.since(last) > self.limits.lease_ttl
        };
        let lost = job.members.iter().find(|member| !member.has_ended() && unresponsive(&member.placement.server));
        if let Some(member) = lost {
            let server = member.placement.server.clone();
            self.effects.push(Effect::Count(Anomaly::PartialGang));
            self.stop(id, Cause::MemberLost { server }, now);
        }
    }
}
