//! Adoption: this box takes over the running gangs of a box that has failed.
//!
//! Only gangs of which all members are armed, running or finished are taken over. The leases of a gang that was
//! still being reserved expire; the callers of its box submit the request again, which fences the ticket.

use std::{collections::BTreeMap, sync::Arc};

use backend::{BackendReply, BackendRequest, Lease, Refusal, TaskSpec, TaskState};
use model::{BackendServerId, Epoch, JobId, JobSpec, LeaseToken, Moment};

use crate::{
    Coordinator,
    job::{Cause, GangMember, Job, Phase},
};

impl Coordinator {
    /// Starts to take over a job, given the leases of its members by backend server. Does nothing if this
    /// coordinator already manages the job, if a member is not known to be armed, running or finished, or if the
    /// request is managed here under another ticket.
    pub fn adopt(&mut self, id: &JobId, leases: &BTreeMap<BackendServerId, Lease>, now: Moment) {
        let Some(first) = leases.values().next() else { return };
        if self.is_managed_here(id) || !first.members.iter().all(|m| leases.get(&m.server).is_some_and(is_adoptable)) {
            return;
        }
        let name = (first.customer.clone(), first.request.clone());
        if self.by_request.get(&name).is_some_and(|other| other != id && self.is_managed_here(other)) {
            // The request continues here under another ticket; this gang ends when its leases expire.
            return;
        }
        let newest = leases.values().map(|lease| lease.token).max().unwrap_or_default();
        let mut job = Job::new(Arc::new(spec_from_lease(first)), now - first.ran_for);
        job.attempt = newest.attempt;
        job.epoch = newest.epoch.next();
        job.adopted = true;
        job.described = false;
        job.ran = leases.values().any(|lease| lease.state.ran());
        job.started = Some(now);
        job.members = first.members.iter().cloned().map(GangMember::new).collect();
        let limits = self.limits;
        job.phase = Phase::Adopting { send_at: now, until: now + limits.lease_ttl };
        self.by_request.insert(name, id.clone());
        self.jobs.insert(id.clone(), job);
        self.tick_adopting(id, now);
    }

    /// Whether this coordinator manages a job or has recorded its end, rather than having released it.
    fn is_managed_here(&self, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(|job| !matches!(job.phase, Phase::Moved { .. } | Phase::Void { .. }))
    }

    pub(crate) fn tick_adopting(&mut self, id: &JobId, now: Moment) {
        self.finish_adoption(id, now);
        let resend = now + self.limits.resend_every;
        // After the call above the job may have been queued again under another ticket.
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Phase::Adopting { send_at, until } = &mut job.phase else { return };
        if *until <= now {
            let server = job.members.iter().find(|p| p.state.is_none()).map(|p| p.placement.server.clone());
            let server = server.unwrap_or_else(|| job.members[0].placement.server.clone());
            return self.stop(id, Cause::MemberLost { server }, now);
        }
        if *send_at <= now {
            *send_at = resend;
            self.send_adoptions(id);
        }
    }

    fn send_adoptions(&mut self, id: &JobId) {
        let ttl = self.limits.lease_ttl;
        let job = &self.jobs[id];
        let token = job.token();
        let open: Vec<_> =
            job.members.iter().filter(|p| p.state.is_none()).map(|p| p.placement.server.clone()).collect();
        let first = job.members[0].placement.server.clone();
        for server in open {
            let holder = self.me.clone();
            self.call(&server, BackendRequest::Adopt { job: id.clone(), token, holder, ttl });
        }
        self.call(&first, BackendRequest::Describe { job: id.clone() });
    }

    pub(crate) fn on_adopted(
        &mut self,
        server: &BackendServerId,
        id: &JobId,
        token: LeaseToken,
        reply: BackendReply,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.token() != token || !matches!(job.phase, Phase::Adopting { .. }) {
            return;
        }
        match reply {
            BackendReply::Ok { state } => {
                if let Some(member) = job.member_mut(server) {
                    member.state = Some(state);
                }
                self.finish_adoption(id, now);
            }
            BackendReply::Refused(Refusal::Stale { seen, holder }) => {
                let tie = seen.attempt == token.attempt && seen.epoch == token.epoch;
                if tie && holder.as_ref().is_some_and(|it| self.me < *it) {
                    return self.adopt_again(id, seen.epoch, now);
                }
                self.on_superseded(id, seen, holder, now);
            }
            // The member has no such lease or has not come as far, so the gang is not whole.
            BackendReply::Refused(_) => self.stop(id, Cause::MemberLost { server: server.clone() }, now),
            _ => {}
        }
    }

    /// Resolves concurrent adoptions by two boxes: the one with the lower id retries with an epoch above the other's.
    fn adopt_again(&mut self, id: &JobId, seen: Epoch, now: Moment) {
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        job.epoch = seen.next();
        for member in &mut job.members {
            member.state = None;
        }
        self.send_adoptions(id);
        self.tick_adopting(id, now);
    }

    fn finish_adoption(&mut self, id: &JobId, now: Moment) {
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        if !matches!(job.phase, Phase::Adopting { .. }) || job.members.iter().any(|p| p.state.is_none()) {
            return;
        }
        let bad = job.members.iter().find_map(|p| match &p.state {
            Some(TaskState::Failed { why }) => Some(Cause::TaskFailed { why: why.clone() }),
            Some(TaskState::Stopped { .. }) => Some(Cause::Preempted),
            Some(TaskState::Lapsed { .. }) => Some(Cause::MemberLost { server: p.placement.server.clone() }),
            _ => None,
        });
        if let Some(cause) = bad {
            job.go_sent = job.ran;
            return self.stop(id, cause, now);
        }
        self.go(id, now);
        self.advance_commit(id, now);
    }

    pub(crate) fn on_described(&mut self, id: &JobId, task: TaskSpec) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.adopted && !job.has_ended() {
            job.spec = Arc::new(task.spec);
            job.described = true;
        }
    }
}

fn is_adoptable(lease: &Lease) -> bool {
    matches!(lease.state, TaskState::Armed | TaskState::Running | TaskState::Finished { .. })
}

/// Returns the part of a request that a lease line contains, for use until the whole request has been read.
fn spec_from_lease(lease: &Lease) -> JobSpec {
    let tasks: u32 = lease.members.iter().map(|m| m.tasks).sum();
    let here = lease.members.first().map_or(1, |m| m.tasks);
    let per_task = model::Resources::new(
        lease.resources.accelerators / here.max(1),
        lease.resources.cores / here.max(1),
        lease.resources.memory_gb / here.max(1),
    );
    JobSpec {
        customer: lease.customer.clone(),
        request: lease.request.clone(),
        class: lease.class.clone(),
        gang: model::Gang { tasks, per_task, within: model::Within::AvailabilityZone },
        declared: lease.declared,
        deadline: None,
        repeatable: lease.repeatable,
        checkpointable: lease.checkpointable,
        payload: String::new(),
    }
}
