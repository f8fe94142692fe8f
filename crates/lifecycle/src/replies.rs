//! Handling of replies from backend servers.

use backend::{Answer, BackendReply, BackendRequest, Holder, Refusal, Renewal, TaskState};
use model::{BackendServerId, JobId, LeaseToken, Moment, Outcome};

use crate::{
    Anomaly, Coordinator, Effect,
    job::{Cause, Phase},
};

impl Coordinator {
    /// Handles the reply to the request of an [`Effect::Call`]. `reply` is `None` if none was received: the request may
    /// or may not have taken effect, and the time limit of the step applies.
    pub fn on_reply(
        &mut self,
        server: &BackendServerId,
        req: &BackendRequest,
        reply: Option<BackendReply>,
        now: Moment,
    ) {
        let Some(reply) = reply else { return };
        self.last_responses.insert(server.clone(), now);
        match (req, reply) {
            (BackendRequest::Renew { leases, .. }, BackendReply::Renewed { results }) => {
                for (lease, result) in leases.iter().zip(results) {
                    self.on_renewed(server, lease, result, now);
                }
            }
            (BackendRequest::Stop { job, token }, BackendReply::Stopped { ran, remembers }) => {
                // A lease table that is younger than the attempt can't confirm that nothing ran.
                let began = self.jobs.get(job).map_or(now, |it| it.attempt_started);
                let ran = ran || remembers < now.since(began);
                self.on_stopped(server, job, *token, ran, now);
            }
            (BackendRequest::Fetch { job }, BackendReply::Answer(answer)) => self.on_answer(job, answer, now),
            (BackendRequest::Describe { job }, BackendReply::Described { task, .. }) => self.on_described(job, *task),
            (BackendRequest::Adopt { job, token, .. }, reply) => self.on_adopted(server, job, *token, reply, now),
            (
                BackendRequest::Reserve { job, token, .. }
                | BackendRequest::Start { job, token, .. }
                | BackendRequest::Stop { job, token },
                reply,
            ) => self.on_step(server, job, *token, reply, now),
            _ => {}
        }
    }

    /// Whether a reply belongs to the current attempt; a stale one is counted.
    fn is_current(&mut self, job: &JobId, token: LeaseToken) -> bool {
        let current = self.jobs.get(job).is_some_and(|it| it.token() == token && !it.has_ended());
        if !current {
            self.effects.push(Effect::Count(Anomaly::StaleReply));
        }
        current
    }

    fn on_step(&mut self, server: &BackendServerId, job: &JobId, token: LeaseToken, reply: BackendReply, now: Moment) {
        if !self.is_current(job, token) {
            return;
        }
        match reply {
            BackendReply::Ok { state } => self.on_state(server, job, state, now),
            BackendReply::Refused(refusal) => self.on_refused(job, refusal, now),
            _ => {}
        }
    }

    fn on_renewed(
        &mut self,
        server: &BackendServerId,
        lease: &Renewal,
        result: Result<TaskState, Refusal>,
        now: Moment,
    ) {
        if !self.is_current(&lease.job, lease.token) {
            return;
        }
        match result {
            Ok(state) => self.on_state(server, &lease.job, state, now),
            Err(Refusal::UnknownLease) => {
                // The backend server lost the lease in a restart, and nothing of the job runs there.
                self.on_state(server, &lease.job, TaskState::Lapsed { ran: true }, now);
            }
            Err(refusal) => self.on_refused(&lease.job, refusal, now),
        }
    }

    /// Records the state of a member and acts on it. Within an attempt states only move forward, so an earlier one is
    /// ignored.
    pub(crate) fn on_state(&mut self, server: &BackendServerId, id: &JobId, state: TaskState, now: Moment) {
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        let Some(member) = job.member_mut(server) else { return };
        if member.state.as_ref().is_some_and(|old| state_rank(old) > state_rank(&state)) {
            return;
        }
        member.state = Some(state.clone());
        match state {
            TaskState::Failed { why } => {
                self.report_failed_run(id, server);
                self.stop_if_running(id, Cause::TaskFailed { why }, now);
            }
            TaskState::Stopped { .. } => self.stop_if_running(id, Cause::Preempted, now),
            TaskState::Lapsed { .. } => {
                self.stop_if_running(id, Cause::MemberLost { server: server.clone() }, now);
            }
            _ => self.advance_commit(id, now),
        }
        if matches!(self.jobs.get(id).map(|job| &job.phase), Some(Phase::Stopping { .. })) {
            self.try_complete_stop(id, now);
        }
    }

    fn stop_if_running(&mut self, id: &JobId, cause: Cause, now: Moment) {
        match self.jobs[id].phase {
            Phase::Reserving { .. } => self.abandon_reservations(id, now),
            Phase::Starting { .. } => self.stop(id, Cause::StartFailed, now),
            Phase::Running { .. } => self.stop(id, cause, now),
            _ => {}
        }
    }

    fn on_refused(&mut self, id: &JobId, refusal: Refusal, now: Moment) {
        let too_young = matches!(refusal, Refusal::TooYoung { .. });
        if let Refusal::Stale { seen, holder } = refusal
            && seen > self.jobs[id].token()
        {
            return self.on_superseded(id, seen, holder, now);
        }
        match self.jobs[id].phase {
            Phase::Reserving { .. } => self.abandon_reservations(id, now),
            Phase::Starting { .. } => self.stop(id, Cause::StartFailed, now),
            _ => {}
        }
        if too_young && self.jobs.contains_key(id) {
            self.effects.push(Effect::TicketTooOld { job: id.clone() });
        }
    }

    /// Handles a newer token: another box has adopted the job or fenced its ticket.
    pub(crate) fn on_superseded(&mut self, id: &JobId, seen: LeaseToken, holder: Option<Holder>, now: Moment) {
        match holder {
            Some(holder) if seen != LeaseToken::FENCE && holder != self.me => self.moved(id, holder, now),
            _ => self.on_fenced(id, now),
        }
    }

    /// Handles a fenced ticket, under which nothing can run any more. The box that fenced it decides on a request that
    /// may run only once; any other request continues under a new ticket.
    fn on_fenced(&mut self, id: &JobId, now: Moment) {
        let job = self.jobs.get_mut(id).expect("the caller has read the job");
        let ran = job.ran || job.go_sent || job.adopted;
        if job.spec.repeatable {
            job.ran = ran;
            job.run_known &= !ran;
            job.adopted = true;
            return self.requeue(id, now);
        }
        if ran {
            let why = "its ticket was fenced by a box that took this one for dead".to_owned();
            return self.end(id, Outcome::Unknown { why }, now);
        }
        job.phase = Phase::Void { at: now };
        self.effects.push(Effect::Moved { job: id.clone() });
    }

    fn on_stopped(&mut self, server: &BackendServerId, job: &JobId, token: LeaseToken, ran: bool, now: Moment) {
        if !self.is_current(job, token) {
            return;
        }
        let it = self.jobs.get_mut(job).expect("a current job is tracked");
        let Some(member) = it.member_mut(server) else { return };
        member.stopped = true;
        let is_unreported = member.state.as_ref().is_none_or(TaskState::holds);
        if is_unreported {
            member.state = Some(TaskState::Stopped { ran, checkpointed: false });
        }
        self.try_complete_stop(job, now);
    }

    fn on_answer(&mut self, id: &JobId, answer: Answer, now: Moment) {
        let Some(job) = self.jobs.get(id) else { return };
        if !matches!(job.phase, Phase::Fetching { .. }) {
            return self.effects.push(Effect::Count(Anomaly::StaleReply));
        }
        let expected = match &job.members[0].state {
            Some(TaskState::Finished { digest, .. }) => digest,
            _ => return,
        };
        if answer.job != *id || answer.token.attempt != job.attempt {
            return self.effects.push(Effect::Count(Anomaly::ForeignAnswer));
        }
        if !answer.is_whole() || answer.digest != *expected {
            return self.effects.push(Effect::Count(Anomaly::DamagedAnswer));
        }
        self.end(id, Outcome::Done { answer: answer.text, digest: answer.digest }, now);
    }
}

/// Returns the position of a state in the order in which a lease passes through them.
fn state_rank(state: &TaskState) -> u8 {
    match state {
        TaskState::Reserved => 0,
        TaskState::Armed => 1,
        TaskState::Running => 2,
        _ => 3,
    }
}
