//! Planning: decides when groups start and on which backend servers.

use jobs::{Resources, Step};
use model::{BackendServerId, Moment};

use crate::{
    Scheduler, candidate::Candidate, fleet_capacity::FleetCapacity, guarantee::Guarantees, placement::Placements,
    server_capacity::ServerCapacity, sharing::KeptCapacity,
};

impl Scheduler {
    /// Places groups that can start now and stops runs to free capacity for urgent ones. `wall_ms` is the time of day
    /// in milliseconds.
    pub fn plan(&mut self, now: Moment, wall_ms: u64) {
        self.plan_clocks = (now, wall_ms);
        self.move_off_departing(now, wall_ms);
        self.refresh_ready(now);
        let moving = self.moving_candidates(now, wall_ms);
        let mut guarantees = Guarantees::new(self);
        if !self.ready.is_empty() {
            self.refresh_capacity(now);
        }
        let mut candidates = self.candidates(wall_ms, moving, &mut guarantees);
        self.permits.clear_requests();
        if candidates.iter().all(|candidate| candidate.is_moving) {
            return;
        }
        // Planning also changes jobs and backend servers, so the capacities are taken out and put back at the end.
        let mut fleet = std::mem::take(&mut self.fleet);
        let mut kept = KeptCapacity::default();
        for candidate in &mut candidates {
            if candidate.is_moving {
                self.reserve_for_move(candidate, &mut fleet, now);
                continue;
            }
            if candidate.suspected && self.awaits_isolated_retry(candidate.group(candidate.groups[0]), now) {
                continue;
            }
            self.leave_kept_capacity(candidate, &kept, &fleet);
            if candidate.groups.is_empty() {
                continue;
            }
            let claims = fleet.claims();
            if self.step_of(candidate).gang {
                self.plan_gang(candidate, &mut fleet, &guarantees, now);
            } else {
                self.plan_tasks(candidate, &mut fleet, &guarantees, now);
            }
            if fleet.claims() == claims {
                self.keep_capacity_for(candidate, &mut kept);
            }
            self.request_permits(candidate, &fleet, now);
        }
        self.fleet = fleet;
    }

    fn step_of(&self, candidate: &Candidate) -> &Step {
        self.step(candidate.group(0))
    }

    /// Returns the part of a backend server's capacity that a candidate may use now: nothing where the candidate
    /// waits for an empty backend server and tasks run there.
    fn free_for(&self, candidate: &Candidate, now: Moment) -> impl Fn(&ServerCapacity) -> Resources + use<> {
        let needs_empty_server = self.awaits_empty_server(candidate, now);
        move |server| if needs_empty_server && server.tasks > 0 { Resources::default() } else { server.free }
    }

    /// Starts a gang where it fits. For an urgent gang that does not fit, frees capacity or reserves what is being
    /// freed.
    fn plan_gang(&mut self, candidate: &Candidate, fleet: &mut FleetCapacity, guarantees: &Guarantees, now: Moment) {
        let name = candidate.group(0);
        let Some(requirements) = self.requirements(candidate, now) else { return };
        let count = u64::from(requirements.step.count);
        if !self.headroom_allows(candidate, &requirements, 0, count, fleet) {
            return;
        }
        let free = self.place_gang(name, &requirements, fleet, self.free_for(candidate, now), now);
        let free_after_stops = if requirements.urgent && free.is_none() {
            // Capacity that is being freed is claimed, so that no other group takes it and no further run is stopped
            // for this gang.
            self.place_gang(name, &requirements, fleet, |server| server.free_after_stops, now)
        } else {
            None
        };
        let (step, urgent) = (requirements.step.clone(), requirements.urgent);
        if let Some(placements) = free {
            fleet.claim(&step, &placements);
            if candidate.suspected {
                fleet.close(&placements);
            }
            self.place(name, &with_server_ids(&placements, fleet), now);
        } else if let Some(placements) = free_after_stops {
            fleet.claim(&step, &placements);
        } else if urgent {
            self.preempt_for(candidate, &candidate.groups, fleet, guarantees, now);
            let Some(requirements) = self.requirements(candidate, now) else { return };
            if let Some(placements) = self.place_gang(name, &requirements, fleet, |server| server.free_after_stops, now)
            {
                fleet.claim(&step, &placements);
            }
        }
    }

    /// Starts independent tasks where they fit. For urgent tasks that do not fit, frees capacity or reserves what is
    /// being freed.
    fn plan_tasks(&mut self, candidate: &Candidate, fleet: &mut FleetCapacity, guarantees: &Guarantees, now: Moment) {
        let Some(requirements) = self.requirements(candidate, now) else { return };
        let (step, urgent) = (requirements.step.clone(), requirements.urgent);
        let mut unplaced = candidate.groups.clone();
        let placed =
            self.place_tasks(candidate, &requirements, fleet, self.free_for(candidate, now), &mut unplaced, now);
        let waiting = if urgent && !unplaced.is_empty() {
            self.place_tasks(candidate, &requirements, fleet, |server| server.free_after_stops, &mut unplaced, now)
        } else {
            Placements::new()
        };
        fleet.claim(&step, &placed);
        if candidate.suspected {
            fleet.close(&placed);
        }
        fleet.claim(&step, &waiting);
        for (group, server) in with_server_ids(&placed, fleet) {
            self.place(candidate.group(group as usize), &[(group, server)], now);
        }
        if urgent && !unplaced.is_empty() {
            self.preempt_for(candidate, &unplaced, fleet, guarantees, now);
            let Some(requirements) = self.requirements(candidate, now) else { return };
            let after_preemption =
                self.place_tasks(candidate, &requirements, fleet, |server| server.free_after_stops, &mut unplaced, now);
            fleet.claim(&step, &after_preemption);
        }
    }
}

/// Replaces the indices of backend servers in placements by their ids.
fn with_server_ids(placements: &Placements, fleet: &FleetCapacity) -> Vec<(u32, BackendServerId)> {
    placements.iter().map(|&(index, server_index)| (index, fleet.id(server_index).clone())).collect()
}
