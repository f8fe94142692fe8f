//! Where and when groups start.

use jobs::{Resources, Step};
use model::{BackendServerId, Moment};

use crate::{
    Scheduler, candidate::Candidate, fleet_capacity::FleetCapacity, guarantee::Guarantees, placement::Placements,
    server_capacity::ServerCapacity,
};

impl Scheduler {
    /// Places what can start now, and stops what has to make room. `wall_ms` is the time of day.
    pub fn plan(&mut self, now: Moment, wall_ms: u64) {
        self.plan_clocks = (now, wall_ms);
        self.refresh_ready(now);
        let mut guarantees = Guarantees::new(self);
        let candidates = self.candidates(wall_ms, &mut guarantees);
        self.permits.clear_requests();
        if candidates.is_empty() {
            return;
        }
        self.refresh_capacity(now);
        // Planning changes jobs and backend servers besides: the rooms are put back when it is over.
        let mut fleet = std::mem::take(&mut self.fleet);
        for candidate in &candidates {
            if candidate.suspect && self.awaits_isolated_retry(candidate.group(candidate.groups[0]), now) {
                continue;
            }
            if self.step_of(candidate).gang {
                self.plan_gang(candidate, &mut fleet, &guarantees, now);
            } else {
                self.plan_tasks(candidate, &mut fleet, &guarantees, now);
            }
            self.request_permits(candidate, &fleet, now);
        }
        self.fleet = fleet;
    }

    fn step_of(&self, candidate: &Candidate) -> &Step {
        self.step(candidate.group(0))
    }

    /// What of a room a candidate may take now.
    fn free_for(&self, candidate: &Candidate, now: Moment) -> impl Fn(&ServerCapacity) -> Resources + use<> {
        let apart = self.awaits_empty_server(candidate, now);
        move |server| if apart && server.tasks > 0 { Resources::default() } else { server.free }
    }

    /// Starts a gang where it fits. If it is urgent, room is made or kept for it meanwhile.
    fn plan_gang(&mut self, candidate: &Candidate, fleet: &mut FleetCapacity, guarantees: &Guarantees, now: Moment) {
        let name = candidate.group(0);
        let Some(requirements) = self.requirements(candidate, now) else { return };
        let count = u64::from(requirements.step.count);
        if !self.headroom_allows(candidate, &requirements, 0, count, fleet) {
            return;
        }
        let free = self.place_gang(name, &requirements, fleet, self.free_for(candidate, now), now);
        let free_after_stops = if requirements.urgent && free.is_none() {
            // Room that is being made counts as taken, so that nothing slips in and no more is stopped for it.
            self.place_gang(name, &requirements, fleet, |server| server.free_after_stops, now)
        } else {
            None
        };
        let (step, urgent) = (requirements.step.clone(), requirements.urgent);
        if let Some(places) = free {
            fleet.claim(&step, &places);
            if candidate.suspect {
                fleet.close(&places);
            }
            self.place(name, &named(&places, fleet), now);
        } else if let Some(places) = free_after_stops {
            fleet.claim(&step, &places);
        } else if urgent {
            self.preempt_for(candidate, &candidate.groups, fleet, guarantees, now);
            let Some(requirements) = self.requirements(candidate, now) else { return };
            if let Some(places) = self.place_gang(name, &requirements, fleet, |server| server.free_after_stops, now) {
                fleet.claim(&step, &places);
            }
        }
    }

    /// Starts tasks that each run by themselves where they fit. If they are urgent, room is made or kept for the
    /// rest.
    fn plan_tasks(&mut self, candidate: &Candidate, fleet: &mut FleetCapacity, guarantees: &Guarantees, now: Moment) {
        let Some(requirements) = self.requirements(candidate, now) else { return };
        let (step, urgent) = (requirements.step.clone(), requirements.urgent);
        let mut left = candidate.groups.clone();
        let placed = self.place_tasks(candidate, &requirements, fleet, self.free_for(candidate, now), &mut left, now);
        let waiting = if urgent && !left.is_empty() {
            self.place_tasks(candidate, &requirements, fleet, |server| server.free_after_stops, &mut left, now)
        } else {
            Placements::new()
        };
        fleet.claim(&step, &placed);
        if candidate.suspect {
            fleet.close(&placed);
        }
        fleet.claim(&step, &waiting);
        for (group, server) in named(&placed, fleet) {
            self.place(candidate.group(group as usize), &[(group, server)], now);
        }
        if urgent && !left.is_empty() {
            self.preempt_for(candidate, &left, fleet, guarantees, now);
            let Some(requirements) = self.requirements(candidate, now) else { return };
            let coming =
                self.place_tasks(candidate, &requirements, fleet, |server| server.free_after_stops, &mut left, now);
            fleet.claim(&step, &coming);
        }
    }
}

/// Where tasks go, by the names of the backend servers.
fn named(places: &Placements, fleet: &FleetCapacity) -> Vec<(u32, BackendServerId)> {
    places.iter().map(|&(index, slot)| (index, fleet.id(slot).clone())).collect()
}
