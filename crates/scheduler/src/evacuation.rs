//! Evacuated availability zones: nothing starts there until operators end the evacuation.
//!
//! From the moment the scheduler has recorded an evacuation, nothing is placed there and no start is ordered there.
//! Placements that were not ordered are moved elsewhere; an order without a response is not repeated. Runs there
//! continue until they end, since the zone only accepts no more work: moving them would lose the work since their
//! checkpoint. Long-running tasks never end by themselves, so they are moved as soon as their step allows it.

use std::collections::{BTreeMap, BTreeSet};

use model::{AvailabilityZoneId, BackendServerId, Moment};
use serde::Serialize;

use crate::{
    Scheduler,
    run_state::{GroupId, StopReason},
    sums::saturating_sum,
};

/// Who requested an evacuation. If both did, it ends only when both have ended it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum EvacuatedBy {
    /// Operators of the platform; followed even if the capacity left is too small.
    Platform,
    /// Operators of martenscale.
    Operators,
}

/// An evacuated availability zone.
#[derive(Debug, Clone)]
struct Evacuation {
    since: Moment,
    by: BTreeSet<EvacuatedBy>,
}

/// Progress of an evacuation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EvacuationStatus {
    /// Evacuated availability zone.
    pub availability_zone: AvailabilityZoneId,
    /// Who has requested the evacuation.
    pub by: Vec<EvacuatedBy>,
    /// Milliseconds since this scheduler recorded it.
    pub known_ms: u64,
    /// Tasks that run there or may run there.
    pub running_tasks: usize,
    /// Longest remaining time of a run there in milliseconds, by declared durations and reported progress;
    /// long-running tasks do not count.
    pub longest_left_ms: u64,
    /// Accelerators that all customers are guaranteed together.
    pub guaranteed: u64,
    /// Accelerators outside all evacuated availability zones. If there are fewer than `guaranteed`, not all
    /// guarantees can be kept.
    pub accelerators_elsewhere: u64,
}

/// Reason why operators' evacuation is refused.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum EvacuationError {
    /// The availability zone has no listed backend server.
    #[display("no backend server is in availability zone {zone}; allowed are {}", known.join(", "))]
    UnknownZone {
        /// Requested availability zone.
        zone: AvailabilityZoneId,
        /// Availability zones that have backend servers.
        known: Vec<String>,
    },
    /// No other availability zone would be left.
    #[display("{zone} is the last availability zone that is not evacuated; take another one back first")]
    LastZone {
        /// Requested availability zone.
        zone: AvailabilityZoneId,
    },
    /// The remaining capacity cannot hold what customers are guaranteed.
    #[display(
        "without {zone} {left} accelerators are left, and customers are guaranteed {guaranteed}: {} too few",
        guaranteed - left
    )]
    Guarantees {
        /// Requested availability zone.
        zone: AvailabilityZoneId,
        /// Accelerators that would remain outside the evacuated availability zones.
        left: u64,
        /// Accelerators that all customers are guaranteed together.
        guaranteed: u64,
    },
}

/// Evacuated availability zones.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    zones: BTreeMap<AvailabilityZoneId, Evacuation>,
    /// Availability zones that have ever had backend servers.
    known: BTreeSet<AvailabilityZoneId>,
}

impl Evacuations {
    /// Records that an availability zone has a backend server.
    pub(crate) fn record_zone(&mut self, zone: &AvailabilityZoneId) {
        if !self.known.contains(zone) {
            self.known.insert(zone.clone());
        }
    }

    pub(crate) fn is_evacuated(&self, zone: &AvailabilityZoneId) -> bool {
        self.zones.contains_key(zone)
    }
}

impl Scheduler {
    /// Evacuates an availability zone. Idempotent.
    pub fn evacuate(&mut self, zone: &AvailabilityZoneId, by: EvacuatedBy, now: Moment) {
        let new_evacuation = || Evacuation { since: now, by: BTreeSet::new() };
        let was_evacuated = self.evacuations.is_evacuated(zone);
        let is_new_request = self.evacuations.zones.entry(zone.clone()).or_insert_with(new_evacuation).by.insert(by);
        if is_new_request {
            log::warn!("event=evacuation zone={zone} by={by} fence={}", self.fence);
        }
        if !was_evacuated {
            self.close_zone(zone, now);
        }
    }

    /// Ends an availability zone's evacuation for one of those who requested it; does nothing if `by` did not.
    pub fn end_evacuation(&mut self, zone: &AvailabilityZoneId, by: EvacuatedBy) {
        let Some(evacuation) = self.evacuations.zones.get_mut(zone) else { return };
        if !evacuation.by.remove(&by) {
            return;
        }
        let over = evacuation.by.is_empty();
        log::warn!("event=taken_back zone={zone} by={by} over={over} fence={}", self.fence);
        if over {
            self.evacuations.zones.remove(zone);
            self.mark_zone(zone);
            self.plan_requested = true;
        }
    }

    /// Makes the zones that `by` evacuates exactly these.
    pub fn set_evacuated(&mut self, by: EvacuatedBy, zones: &BTreeSet<AvailabilityZoneId>, now: Moment) {
        let known = self.evacuations.zones.iter().filter(|(_, evacuation)| evacuation.by.contains(&by));
        let over: Vec<AvailabilityZoneId> =
            known.map(|(zone, _)| zone).filter(|zone| !zones.contains(zone)).cloned().collect();
        for zone in &over {
            self.end_evacuation(zone, by);
        }
        for zone in zones {
            self.evacuate(zone, by, now);
        }
    }

    /// Checks whether operators may evacuate an availability zone. Fails if it has no backend servers, is the last
    /// one that is not evacuated, or the rest could not hold all guarantees.
    pub fn check_evacuation(&self, zone: &AvailabilityZoneId) -> Result<(), EvacuationError> {
        let known = self.accelerators_by_zone();
        if !known.contains_key(zone) {
            let known = known.keys().map(ToString::to_string).collect();
            return Err(EvacuationError::UnknownZone { zone: zone.clone(), known });
        }
        if known.keys().all(|other| other == zone || self.evacuations.is_evacuated(other)) {
            return Err(EvacuationError::LastZone { zone: zone.clone() });
        }
        let remains = |other: &AvailabilityZoneId| other != zone && !self.evacuations.is_evacuated(other);
        let left = saturating_sum(known.iter().filter(|(other, _)| remains(other)).map(|(_, n)| *n));
        let guaranteed = self.guaranteed();
        if left < guaranteed {
            return Err(EvacuationError::Guarantees { zone: zone.clone(), left, guaranteed });
        }
        Ok(())
    }

    /// Returns the progress of each evacuation.
    pub fn evacuations(&self, now: Moment) -> Vec<EvacuationStatus> {
        let by_zone = self.accelerators_by_zone();
        let others = by_zone.iter().filter(|(zone, _)| !self.evacuations.is_evacuated(zone));
        let elsewhere = saturating_sum(others.map(|(_, n)| *n));
        let status = |(zone, evacuation): (&AvailabilityZoneId, &Evacuation)| {
            let servers = self.servers_in(zone);
            let ends_by_itself = |name: &GroupId| !self.step(*name).long_running;
            let groups = servers.iter().flat_map(|id| self.groups_on(id)).filter(ends_by_itself);
            EvacuationStatus {
                availability_zone: zone.clone(),
                by: evacuation.by.iter().copied().collect(),
                known_ms: now.since(evacuation.since).millis(),
                running_tasks: servers.iter().map(|id| self.servers[id].members.len()).sum(),
                longest_left_ms: groups.map(|name| self.expected_time_left(name, now).millis()).max().unwrap_or(0),
                guaranteed: self.guaranteed(),
                accelerators_elsewhere: elsewhere,
            }
        };
        self.evacuations.zones.iter().map(status).collect()
    }

    /// Returns how many availability zones have ever had backend servers.
    pub fn availability_zones(&self) -> usize {
        self.evacuations.known.len()
    }

    /// Stops long-running tasks in evacuated availability zones as far as their steps allow it.
    pub(crate) fn evacuate_long_running(&mut self, now: Moment) {
        let zones: Vec<AvailabilityZoneId> = self.evacuations.zones.keys().cloned().collect();
        for id in zones.iter().flat_map(|zone| self.servers_in(zone)).collect::<Vec<_>>() {
            for name in self.groups_on(&id) {
                if self.step(name).long_running && self.may_interrupt(name) {
                    self.stop_group(name, StopReason::ZoneEvacuated, now);
                }
            }
        }
    }

    /// Closes an availability zone to new work: placements there that were not ordered are moved elsewhere.
    fn close_zone(&mut self, zone: &AvailabilityZoneId, now: Moment) {
        self.mark_zone(zone);
        for id in self.servers_in(zone) {
            self.stop_unsent(&id, StopReason::ZoneEvacuated, now);
        }
        self.evacuate_long_running(now);
        self.plan_requested = true;
    }

    /// Updates whether each backend server of an availability zone is evacuated.
    fn mark_zone(&mut self, zone: &AvailabilityZoneId) {
        let evacuated = self.evacuations.is_evacuated(zone);
        for id in self.servers_in(zone) {
            if let Some(server) = self.server_mut(&id) {
                server.evacuated = evacuated;
            }
        }
    }

    fn servers_in(&self, zone: &AvailabilityZoneId) -> Vec<BackendServerId> {
        let there = self.servers.iter().filter(|(_, server)| server.is_in(zone));
        there.map(|(id, _)| id.clone()).collect()
    }

    fn accelerators_by_zone(&self) -> BTreeMap<AvailabilityZoneId, u64> {
        let mut by_zone = BTreeMap::new();
        for info in self.servers.values().filter(|server| server.listed).filter_map(|server| server.info.as_ref()) {
            let accelerators: &mut u64 = by_zone.entry(info.availability_zone.clone()).or_insert(0);
            *accelerators = accelerators.saturating_add(info.capacity.accelerators);
        }
        by_zone
    }

    fn guaranteed(&self) -> u64 {
        saturating_sum(self.policy.customers.values().map(|customer| customer.guaranteed_accelerators))
    }
}
