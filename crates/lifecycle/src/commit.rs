//! Gang commit: the steps reserve, start and go, and reading the answer of a finished gang.

use backend::{BackendRequest, Renewal, TaskSpec, TaskState};
use model::{JobId, Member, Moment};

use crate::{
    Coordinator, Effect,
    job::{Cause, GangMember, Job, Phase},
};

impl Coordinator {
    /// Begins an attempt with the first step: reserves resources on every member.
    pub(crate) fn reserve(&mut self, id: &JobId, members: Vec<Member>, now: Moment) {
        let ticket_age = self.ticket_age(id, now);
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        job.attempt = job.attempt.next();
        job.go_sent = false;
        job.attempt_started = now;
        job.members = members.iter().cloned().map(GangMember::new).collect();
        job.phase = Phase::Reserving { until: now + self.limits.reserve_wait };
        let calls: Vec<_> = (0..members.len())
            .map(|index| {
                let task = TaskSpec {
                    spec: (*job.spec).clone(),
                    members: members.clone(),
                    index,
                    resume: job.resume,
                    waited: now.since(job.submitted),
                };
                let req = BackendRequest::Reserve {
                    job: id.clone(),
                    token: job.token(),
                    holder: self.me.clone(),
                    task,
                    ttl: self.limits.reserve_ttl,
                    ticket_age,
                };
                Effect::Call { server: members[index].server.clone(), req }
            })
            .collect();
        self.effects.extend(calls);
        self.effects.push(Effect::QueueChanged);
    }

    /// Releases reservations and queues the job again. No start has been sent, so the attempt can never run.
    pub(crate) fn abandon_reservations(&mut self, id: &JobId, now: Moment) {
        self.send_stops(id);
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        job.failed_commits += 1;
        let unresponsive = job.members.iter().filter(|member| member.state.is_none());
        job.unresponsive = unresponsive.map(|member| member.placement.server.clone()).collect();
        self.requeue(id, now);
    }

    /// Takes the next step of the commit once every member has confirmed the current one; requests the answer once
    /// every member has finished.
    pub(crate) fn advance_commit(&mut self, id: &JobId, now: Moment) {
        let job = &self.jobs[id];
        match &job.phase {
            Phase::Reserving { .. } if job.all(|s| *s == TaskState::Reserved) => self.start(id, now),
            Phase::Starting { .. } if job.all(has_confirmed_start) => self.go(id, now),
            Phase::Running { .. } if job.all(|s| matches!(s, TaskState::Finished { .. })) => self.fetch_answer(id, now),
            _ => {}
        }
    }

    fn start(&mut self, id: &JobId, now: Moment) {
        let ttl = self.limits.lease_ttl;
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        job.phase = Phase::Starting { until: now + self.limits.start_wait };
        let token = job.token();
        for placement in job.placements() {
            self.call(&placement.server, BackendRequest::Start { job: id.clone(), token, ttl });
        }
    }

    /// Sends `go`, the last step, to every member. The caller has checked that each is at least armed.
    pub(crate) fn go(&mut self, id: &JobId, now: Moment) {
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        job.phase = Phase::Running { since: now, resend_at: now + self.limits.resend_every };
        job.go_sent = true;
        job.ran = true;
        job.failed_commits = 0;
        if job.started.is_none() {
            job.started = Some(now);
            let delay = now.since(job.submitted);
            self.effects.push(Effect::Started { job: id.clone(), delay });
        }
        self.send_go(id);
    }

    /// Sends `go` again to members that have not confirmed it, if that is due.
    pub(crate) fn resend_go(&mut self, id: &JobId, now: Moment) {
        let resend = now + self.limits.resend_every;
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        if let Phase::Running { resend_at, .. } = &mut job.phase
            && *resend_at <= now
        {
            *resend_at = resend;
            self.send_go(id);
        }
    }

    /// Sends `go` (a renewal with `go` set) to the members of a job that have not confirmed `go`.
    pub(crate) fn send_go(&mut self, id: &JobId) {
        let ttl = self.limits.lease_ttl;
        let job = &self.jobs[id];
        let lease = Renewal { job: id.clone(), token: job.token(), go: true };
        for server in not_running(job) {
            self.call(&server, BackendRequest::Renew { leases: vec![lease.clone()], ttl });
        }
    }

    /// Requests the answer of a finished gang from its first member.
    pub(crate) fn fetch_answer(&mut self, id: &JobId, now: Moment) {
        let resend_at = now + self.limits.resend_every;
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        let until = match job.phase {
            Phase::Fetching { until, .. } => until,
            _ => now + self.limits.fetch_wait,
        };
        job.phase = Phase::Fetching { resend_at, until };
        let server = job.members[0].placement.server.clone();
        self.call(&server, BackendRequest::Fetch { job: id.clone() });
    }

    /// Requests the answer again, or ends the attempt if `until` has passed.
    pub(crate) fn refetch_answer(&mut self, id: &JobId, until: Moment, now: Moment) {
        if until <= now {
            let why = "the backend server that keeps the answer does not give it".to_owned();
            return self.stop(id, Cause::AnswerLost { why }, now);
        }
        self.fetch_answer(id, now);
    }
}

fn has_confirmed_start(state: &TaskState) -> bool {
    matches!(state, TaskState::Armed | TaskState::Running)
}

fn not_running(job: &Job) -> Vec<model::BackendServerId> {
    let go_unconfirmed = |member: &&GangMember| matches!(member.state, None | Some(TaskState::Armed));
    job.members.iter().filter(go_unconfirmed).map(|member| member.placement.server.clone()).collect()
}
