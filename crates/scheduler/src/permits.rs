//! Queues whose steps may run only where an adviser allows it: whom to ask about, and what it has said.
//!
//! The adviser's verdict on a backend server never changes for a step, but its leave is a ticket that holds for a
//! while only. So what is refused is never asked again, and what was allowed is asked again once it is needed.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use jobs::{OccurrenceId, StepId};
use model::{BackendServerId, Duration, Moment};

use crate::{
    Scheduler,
    candidate::{Candidate, Requirements},
    fleet_capacity::FleetCapacity,
    server_capacity::ServerCapacity,
};

/// The adviser's leave for a step on a backend server, opaque to the scheduler.
pub type Permit = Arc<str>;

/// Backend servers that one question names at most: what the users' rules page allows for in a job's objective.
const MOST_ASKED: usize = 30;
/// A ticket is not used for starts in the last part of its time: a start is stored before it is sent.
const TICKET_MARGIN: Duration = Duration::from_millis(300);

/// A question to the adviser.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitRequest {
    /// Which step is to run.
    pub step: StepId,
    /// Where it might.
    pub servers: Vec<BackendServerId>,
    /// How long the answer takes the adviser.
    pub takes: Duration,
    /// How long its tickets hold.
    valid: Duration,
}

/// What the adviser has said of a step on a backend server.
#[derive(Debug, Clone)]
enum Verdict {
    Refused,
    Allowed { permit: Permit, until: Moment },
}

/// What the adviser has said, and what it is to be asked.
#[derive(Debug, Default)]
pub(crate) struct PermitBook {
    verdicts: BTreeMap<StepId, BTreeMap<BackendServerId, Verdict>>,
    /// By the order of the latest plan.
    requests: Vec<PermitRequest>,
    /// The step that the adviser is being asked about.
    asking: Option<StepId>,
}

impl PermitBook {
    /// Questions of an earlier plan that were not asked are dropped: this one tells what is wanted now.
    pub(crate) fn clear_requests(&mut self) {
        self.requests.clear();
    }

    /// Where a step may start now.
    pub(crate) fn allowed(&self, step: StepId, now: Moment) -> BTreeSet<&BackendServerId> {
        let holds = |verdict: &Verdict| matches!(verdict, Verdict::Allowed { until, .. } if now < *until);
        let verdicts = self.verdicts.get(&step).into_iter().flatten();
        verdicts.filter(|(_, verdict)| holds(verdict)).map(|(id, _)| id).collect()
    }

    /// The ticket for a step, also once its time is over.
    pub(crate) fn permit(&self, step: StepId, server: &BackendServerId) -> Option<Permit> {
        match self.verdicts.get(&step)?.get(server)? {
            Verdict::Allowed { permit, .. } => Some(Arc::clone(permit)),
            Verdict::Refused => None,
        }
    }

    /// A backend server did not take a ticket: it has to be asked for again.
    pub(crate) fn permit_refused(&mut self, step: StepId, server: &BackendServerId) {
        if let Some(verdicts) = self.verdicts.get_mut(&step) {
            verdicts.remove(server);
        }
    }

    /// Tickets hold for one life of a backend server, and another one answers there.
    pub(crate) fn remove_permits_for(&mut self, server: &BackendServerId) {
        for verdicts in self.verdicts.values_mut() {
            if matches!(verdicts.get(server), Some(Verdict::Allowed { .. })) {
                verdicts.remove(server);
            }
        }
    }

    /// No step of the occurrence will start again.
    pub(crate) fn remove_occurrence(&mut self, occurrence: OccurrenceId) {
        self.verdicts.retain(|step, _| step.occurrence != occurrence);
    }

    fn is_refused(&self, step: StepId, server: &BackendServerId) -> bool {
        matches!(self.verdicts.get(&step).and_then(|verdicts| verdicts.get(server)), Some(Verdict::Refused))
    }
}

impl Scheduler {
    /// Whether the adviser is to be asked something.
    pub fn has_permit_requests(&self) -> bool {
        self.permits.asking.is_none() && !self.permits.requests.is_empty()
    }

    /// What the adviser is to be asked next: one question at a time, since it answers them in turn.
    pub fn take_permit_request(&mut self) -> Option<PermitRequest> {
        if self.permits.asking.is_some() || self.permits.requests.is_empty() {
            return None;
        }
        let request = self.permits.requests.remove(0);
        self.permits.asking = Some(request.step);
        Some(request)
    }

    /// The adviser left a question without an answer: the next plan asks again, if it still has to.
    pub fn permit_request_failed(&mut self, request: &PermitRequest) {
        log::info!("job={} event=not_advised step={}", request.step.occurrence.job, request.step);
        self.permits.asking = None;
        self.plan_requested = true;
    }

    /// The adviser allows these of the backend servers of a question that was sent at `sent`, and no others.
    pub fn permits_received(
        &mut self,
        request: &PermitRequest,
        allowed: &BTreeMap<BackendServerId, Permit>,
        sent: Moment,
    ) {
        let job = request.step.occurrence.job;
        log::info!(
            "job={job} event=advised step={} asked={} allowed={}",
            request.step,
            request.servers.len(),
            allowed.len()
        );
        self.permits.asking = None;
        self.plan_requested = true;
        if !self.open_jobs.contains(&job) {
            return;
        }
        let until = sent + Duration::from_millis(request.valid.millis().saturating_sub(TICKET_MARGIN.millis()));
        let verdicts = self.permits.verdicts.entry(request.step).or_default();
        for server in &request.servers {
            let verdict = match allowed.get(server) {
                Some(permit) => Verdict::Allowed { permit: Arc::clone(permit), until },
                None => Verdict::Refused,
            };
            verdicts.insert(server.clone(), verdict);
        }
    }

    /// Asks about more backend servers for a candidate that has not been placed whole.
    pub(crate) fn request_permits(&mut self, candidate: &Candidate, fleet: &FleetCapacity, now: Moment) {
        let Some(request) = self.request(candidate, fleet, now) else { return };
        if !request.servers.is_empty() {
            self.permits.requests.push(request);
        }
    }

    fn request(&self, candidate: &Candidate, fleet: &FleetCapacity, now: Moment) -> Option<PermitRequest> {
        let waits = |&group: &usize| self.group(candidate.group(group)).members.is_empty();
        if self.permits.asking == Some(candidate.step_id()) || !candidate.groups.iter().any(waits) {
            return None;
        }
        let queue = &self.jobs[&candidate.occurrence.job].job.queue;
        let permits = self.policy.queues.get(queue)?.permits?;
        let requirements = self.requirements(candidate, now)?;
        let servers = self.to_be_asked(candidate, &requirements, fleet);
        let takes = permits.base + permits.each.scaled(servers.len() as f64);
        Some(PermitRequest { step: candidate.step_id(), servers, takes, valid: permits.valid })
    }

    /// Backend servers without a ticket that holds, the most promising first: those of racks with most room, if the
    /// step has to stay in one, then those with most room themselves.
    fn to_be_asked(
        &self,
        candidate: &Candidate,
        requirements: &Requirements<'_>,
        fleet: &FleetCapacity,
    ) -> Vec<BackendServerId> {
        let step = candidate.step_id();
        let could =
            |server: &ServerCapacity| requirements.could_run(server) && !self.permits.is_refused(step, &server.id);
        let mut free_in_rack: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
        for (_, server) in fleet.iter().filter(|(_, server)| could(server)) {
            *free_in_rack.entry(&server.rack).or_default() +=
                requirements.fitting(&server.id, &server.free_after_stops);
        }
        let unknown = |server: &&ServerCapacity| could(server) && !requirements.allows(server);
        let mut order: Vec<&ServerCapacity> = fleet.iter().map(|(_, server)| server).filter(unknown).collect();
        order.sort_by_key(|server| {
            let in_rack = if requirements.step.same_rack { free_in_rack[&server.rack] } else { 0 };
            let near = requirements.step.data_rack.as_ref().is_none_or(|rack| *rack == server.rack);
            (
                !near,
                std::cmp::Reverse(in_rack),
                std::cmp::Reverse(requirements.fitting(&server.id, &server.free_after_stops)),
                &server.id,
            )
        });
        order.into_iter().take(MOST_ASKED).map(|server| server.id.clone()).collect()
    }
}
