//! Applies the decision on departing backend servers, and reserves free capacity for the groups that it moves.

use model::{BackendServerId, Duration, Moment};

use super::{DepartingRun, Urgency, groups_to_move};
use crate::{
    Scheduler,
    candidate::Candidate,
    fleet_capacity::FleetCapacity,
    run_state::{GroupId, Member, Phase, StopReason},
    run_time::DECLARED_SPREAD,
};

/// Spread of the remaining time by a run's own progress, where run times are not estimated: progress is reported in
/// whole percents and from time to time.
const PROGRESS_SPREAD: f64 = 0.05;
/// Longest time for which capacity is reserved for a group that is being stopped. Stops take a few hundred
/// milliseconds; one that takes longer may have to wait for a lease, and the capacity would lie idle.
const MAX_RESERVATION: Duration = Duration::from_millis(1000);

impl Scheduler {
    /// Decides, for all backend servers that have announced their departure since the latest plan, which runs are
    /// stopped, and stops them.
    pub(crate) fn move_off_departing(&mut self, now: Moment, wall_ms: u64) {
        let announced = std::mem::take(&mut self.departures.announced);
        if announced.is_empty() {
            return;
        }
        let runs: Vec<DepartingRun<GroupId>> =
            announced.iter().flat_map(|(id, at)| self.departing_runs(id, *at, now, wall_ms)).collect();
        if runs.is_empty() {
            return;
        }
        let moving = groups_to_move(&runs);
        log::info!(
            "event=departures fence={} servers={} runs={} moved={}",
            self.fence,
            announced.len(),
            runs.len(),
            moving.len()
        );
        for name in moving {
            self.stop_group(name, StopReason::ServerLeaving, now);
            self.departures.moving.push(name);
        }
    }

    /// Returns the runs on a backend server that has announced its departure at `announced`; none if it does not report
    /// how long it stays.
    fn departing_runs(
        &self,
        id: &BackendServerId,
        announced: Moment,
        now: Moment,
        wall_ms: u64,
    ) -> Vec<DepartingRun<GroupId>> {
        let remaining = self.servers.get(id).and_then(|server| server.info.as_ref()?.remaining);
        let Some(remaining) = remaining else { return Vec::new() };
        let notice = Duration::from_millis(remaining.millis().saturating_sub(now.since(announced).millis()));
        let run = |name: GroupId| {
            let members = &self.group(name).members;
            let (remaining, spread) = self.remaining_with_spread(name, now);
            let is_unordered = |member: &Member| member.server == *id && member.phase == Phase::Planned;
            DepartingRun {
                group: name,
                urgency: self.urgency_after_stop(name, wall_ms),
                remaining: (!self.step(name).long_running).then_some(remaining),
                spread,
                notice,
                is_unordered: members.iter().any(is_unordered),
            }
        };
        self.groups_on(id).into_iter().map(run).collect()
    }

    /// Returns the remaining time of a group's run and its spread. An estimate has its margin included already.
    fn remaining_with_spread(&self, name: GroupId, now: Moment) -> (Duration, f64) {
        if let Some(left) = self.estimated_time_left(name, now) {
            return (left.with_margin, 0.0);
        }
        let has_progress = self.group(name).members.iter().all(|member| member.percent > 0);
        let spread = if has_progress { PROGRESS_SPREAD } else { DECLARED_SPREAD };
        (self.reported_time_left(name, now), spread)
    }

    fn urgency_after_stop(&self, name: GroupId, wall_ms: u64) -> Urgency {
        let candidate = self.candidate_after_stop(name, wall_ms);
        candidate.map_or(Urgency { priority: u32::MAX, too_late: true, deadline_ms: u64::MAX }, |c| c.urgency())
    }

    /// Returns candidates for the groups that are being moved, so that less urgent ones do not take the capacity that
    /// they need as soon as they have stopped.
    pub(crate) fn moving_candidates(&mut self, now: Moment, wall_ms: u64) -> Vec<Candidate> {
        let mut moving = std::mem::take(&mut self.departures.moving);
        moving.retain(|name| {
            let group = self.jobs.contains_key(&name.occurrence.job).then(|| self.group(*name));
            group.is_some_and(|group| {
                let is_moving = group.stopping == Some(StopReason::ServerLeaving) && !group.members.is_empty();
                is_moving && now.since(group.stopped_at) < MAX_RESERVATION
            })
        });
        let candidates = moving.iter().filter_map(|name| self.candidate_after_stop(*name, wall_ms)).collect();
        self.departures.moving = moving;
        candidates
    }

    /// Claims free capacity in this plan for a group that is being moved, if it fits.
    pub(crate) fn reserve_for_move(&self, candidate: &Candidate, fleet: &mut FleetCapacity, now: Moment) {
        let Some(requirements) = self.requirements(candidate, now) else { return };
        let step = requirements.step;
        let placements = if step.gang {
            let allowed = self.headroom_allows(candidate, &requirements, 0, u64::from(step.count), fleet);
            let place = || self.place_gang(candidate.group(0), &requirements, fleet, |server| server.free, now);
            if allowed { place() } else { None }
        } else {
            let mut unplaced = candidate.groups.clone();
            Some(self.place_tasks(candidate, &requirements, fleet, |server| server.free, &mut unplaced, now))
        };
        if let Some(placements) = placements {
            fleet.claim(step, &placements);
        }
    }
}
