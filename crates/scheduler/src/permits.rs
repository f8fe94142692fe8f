//! Placement permits: some queues' steps may run only where the permit service allows it.
//!
//! Whether a backend server is allowed for a step never changes, but a permit is valid only for a while. So backend
//! servers that were refused are never requested again, and those that were allowed are requested again when needed.

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

/// Permit to run a step on a backend server, issued by the permit service; opaque to the scheduler.
pub type Permit = Arc<str>;

/// Most backend servers in one request: the number that the platform rules allow for in a job's objective.
const MAX_SERVERS_PER_REQUEST: usize = 30;
/// A permit is not used for starts in the last part of its validity, since a start is stored before it is sent.
const PERMIT_MARGIN: Duration = Duration::from_millis(300);

/// Request to the permit service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitRequest {
    /// Step that is to run.
    pub step: StepId,
    /// Backend servers that the step might run on.
    pub servers: Vec<BackendServerId>,
    /// Time that the permit service takes to respond.
    pub takes: Duration,
    /// Validity of its permits.
    valid: Duration,
}

/// Decision of the permit service on a step and a backend server.
#[derive(Debug, Clone)]
enum Decision {
    Refused,
    Allowed { permit: Permit, until: Moment },
}

/// Decisions of the permit service, and the requests to send next.
#[derive(Debug, Default)]
pub(crate) struct PermitBook {
    decisions: BTreeMap<StepId, BTreeMap<BackendServerId, Decision>>,
    /// Requests of the latest plan, in its order.
    requests: Vec<PermitRequest>,
    /// Step of the request in flight.
    in_flight: Option<StepId>,
}

impl PermitBook {
    /// Drops the requests of the previous plan that were not sent; the next plan determines what is needed now.
    pub(crate) fn clear_requests(&mut self) {
        self.requests.clear();
    }

    /// Returns the backend servers with a valid permit for a step.
    pub(crate) fn allowed(&self, step: StepId, now: Moment) -> BTreeSet<&BackendServerId> {
        let is_valid = |decision: &Decision| matches!(decision, Decision::Allowed { until, .. } if now < *until);
        let decisions = self.decisions.get(&step).into_iter().flatten();
        decisions.filter(|(_, decision)| is_valid(decision)).map(|(id, _)| id).collect()
    }

    /// Returns the permit for a step on a backend server, even if it has expired.
    pub(crate) fn permit(&self, step: StepId, server: &BackendServerId) -> Option<Permit> {
        match self.decisions.get(&step)?.get(server)? {
            Decision::Allowed { permit, .. } => Some(Arc::clone(permit)),
            Decision::Refused => None,
        }
    }

    /// Removes a permit that the backend server refused, so that it is requested again.
    pub(crate) fn permit_refused(&mut self, step: StepId, server: &BackendServerId) {
        if let Some(decisions) = self.decisions.get_mut(&step) {
            decisions.remove(server);
        }
    }

    /// Removes the permits for a backend server, since they are valid for one incarnation and another one has
    /// responded.
    pub(crate) fn remove_permits_for(&mut self, server: &BackendServerId) {
        for decisions in self.decisions.values_mut() {
            if matches!(decisions.get(server), Some(Decision::Allowed { .. })) {
                decisions.remove(server);
            }
        }
    }

    /// Removes the decisions for an occurrence that starts no more steps.
    pub(crate) fn remove_occurrence(&mut self, occurrence: OccurrenceId) {
        self.decisions.retain(|step, _| step.occurrence != occurrence);
    }

    fn is_refused(&self, step: StepId, server: &BackendServerId) -> bool {
        matches!(self.decisions.get(&step).and_then(|decisions| decisions.get(server)), Some(Decision::Refused))
    }
}

impl Scheduler {
    /// Returns whether a request is to be sent to the permit service now.
    pub fn has_permit_requests(&self) -> bool {
        self.permits.in_flight.is_none() && !self.permits.requests.is_empty()
    }

    /// Returns the next request, unless one is in flight; the permit service handles one at a time. Its outcome must
    /// be reported before the next request is returned.
    pub fn take_permit_request(&mut self) -> Option<PermitRequest> {
        if self.permits.in_flight.is_some() || self.permits.requests.is_empty() {
            return None;
        }
        let request = self.permits.requests.remove(0);
        self.permits.in_flight = Some(request.step);
        Some(request)
    }

    /// Records that a request got no response. The next plan requests permits again if they are still needed.
    pub fn permit_request_failed(&mut self, request: &PermitRequest) {
        log::info!("job={} event=not_advised step={}", request.step.occurrence.job, request.step);
        self.permits.in_flight = None;
        self.plan_requested = true;
    }

    /// Records the response to a request that was sent at `sent`: the backend servers with a permit; the others are
    /// refused.
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
        self.permits.in_flight = None;
        self.plan_requested = true;
        if !self.open_jobs.contains(&job) {
            return;
        }
        let until = sent + Duration::from_millis(request.valid.millis().saturating_sub(PERMIT_MARGIN.millis()));
        let decisions = self.permits.decisions.entry(request.step).or_default();
        for server in &request.servers {
            let decision = match allowed.get(server) {
                Some(permit) => Decision::Allowed { permit: Arc::clone(permit), until },
                None => Decision::Refused,
            };
            decisions.insert(server.clone(), decision);
        }
    }

    /// Requests permits for further backend servers for a candidate that was not placed completely.
    pub(crate) fn request_permits(&mut self, candidate: &Candidate, fleet: &FleetCapacity, now: Moment) {
        let Some(request) = self.permit_request_for(candidate, fleet, now) else { return };
        // The groups beyond the share of the customer ask for the same permits as those within it.
        let is_repeated = candidate.is_beyond_share && self.permits.requests.iter().any(|r| r.step == request.step);
        if !request.servers.is_empty() && !is_repeated {
            self.permits.requests.push(request);
        }
    }

    fn permit_request_for(&self, candidate: &Candidate, fleet: &FleetCapacity, now: Moment) -> Option<PermitRequest> {
        let is_unplaced = |&group: &usize| self.group(candidate.group(group)).members.is_empty();
        if self.permits.in_flight == Some(candidate.step_id()) || !candidate.groups.iter().any(is_unplaced) {
            return None;
        }
        let queue = &self.jobs[&candidate.occurrence.job].job.queue;
        let permits = self.policy.queues.get(queue)?.permits?;
        let requirements = self.requirements(candidate, now)?;
        let servers = self.servers_to_request(candidate, &requirements, fleet);
        let takes = permits.base + permits.each.scaled(servers.len() as f64);
        Some(PermitRequest { step: candidate.step_id(), servers, takes, valid: permits.valid })
    }

    /// Returns the backend servers without a valid permit, the most promising first: if the step has to stay in one
    /// rack, those of the racks with the most capacity, then those with the most capacity themselves.
    fn servers_to_request(
        &self,
        candidate: &Candidate,
        requirements: &Requirements<'_>,
        fleet: &FleetCapacity,
    ) -> Vec<BackendServerId> {
        let step = candidate.step_id();
        let may_be_allowed =
            |server: &ServerCapacity| requirements.could_run(server) && !self.permits.is_refused(step, &server.id);
        let mut free_in_rack: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
        for (_, server) in fleet.iter().filter(|(_, server)| may_be_allowed(server)) {
            *free_in_rack.entry(&server.rack).or_default() +=
                requirements.fitting(&server.id, &server.free_after_stops);
        }
        let is_undecided = |server: &&ServerCapacity| may_be_allowed(server) && !requirements.allows(server);
        let mut order: Vec<&ServerCapacity> = fleet.iter().map(|(_, server)| server).filter(is_undecided).collect();
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
        order.into_iter().take(MAX_SERVERS_PER_REQUEST).map(|server| server.id.clone()).collect()
    }
}
