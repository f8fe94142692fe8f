//! Availability zones that operators have evacuated: nothing starts there until they are taken back.
//!
//! From the moment the scheduler knows, nothing more is placed or ordered there. What was placed and not ordered is placed
//! anew elsewhere; an order that got no answer is not repeated. What runs there ends there, since the zone only takes
//! no more: moving it would throw away what it has done since its checkpoint. Tasks that never end by themselves are the
//! exception: they go as soon as their step allows.

use std::collections::{BTreeMap, BTreeSet};

use model::{AvailabilityZoneId, BackendServerId, Moment};
use serde::Serialize;

use crate::{
    Scheduler,
    run_state::{GroupId, StopReason},
};

/// Who has asked for an evacuation. One that both have asked for is over only when both have taken it back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum EvacuatedBy {
    /// The platform's operators: it is obeyed whatever it leaves room for.
    Platform,
    /// martenscale's own operators.
    Operators,
}

/// What is known of an evacuated availability zone.
#[derive(Debug, Clone)]
struct Evacuation {
    since: Moment,
    by: BTreeSet<EvacuatedBy>,
}

/// How far an evacuation has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EvacuationStatus {
    /// Which availability zone.
    pub availability_zone: AvailabilityZoneId,
    /// Who has asked for it.
    pub by: Vec<EvacuatedBy>,
    /// For how long this scheduler has known of it.
    pub known_ms: u64,
    /// Tasks that still run there, or may.
    pub running_tasks: usize,
    /// How long the last of them still takes, by what was declared and how far it has come; those that never end by
    /// themselves apart.
    pub longest_left_ms: u64,
    /// Accelerators that customers are guaranteed.
    pub guaranteed: u64,
    /// Accelerators outside of all evacuated availability zones; guarantees cannot all be kept if they are fewer.
    pub accelerators_elsewhere: u64,
}

/// Why operators' evacuation is refused.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum EvacuationError {
    /// No backend server is listed there.
    #[display("no backend server is in availability zone {zone}; allowed are {}", known.join(", "))]
    UnknownZone {
        /// As asked.
        zone: AvailabilityZoneId,
        /// Those that have backend servers.
        known: Vec<String>,
    },
    /// Nothing would be left.
    #[display("{zone} is the last availability zone that is not evacuated; take another one back first")]
    LastZone {
        /// As asked.
        zone: AvailabilityZoneId,
    },
    /// What is left cannot hold what customers are guaranteed.
    #[display(
        "without {zone} {left} accelerators are left, and customers are guaranteed {guaranteed}: {} too few",
        guaranteed - left
    )]
    Guarantees {
        /// As asked.
        zone: AvailabilityZoneId,
        /// Accelerators outside of the evacuated availability zones.
        left: u64,
        /// Accelerators that customers are guaranteed.
        guaranteed: u64,
    },
}

/// The evacuated availability zones.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    zones: BTreeMap<AvailabilityZoneId, Evacuation>,
    /// All that have had backend servers.
    known: BTreeSet<AvailabilityZoneId>,
}

impl Evacuations {
    /// A backend server is there.
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
    /// An availability zone is to be evacuated. Told again, it changes nothing.
    pub fn evacuate(&mut self, zone: &AvailabilityZoneId, by: EvacuatedBy, now: Moment) {
        let anew = || Evacuation { since: now, by: BTreeSet::new() };
        let was_known = self.evacuations.is_evacuated(zone);
        let asked = self.evacuations.zones.entry(zone.clone()).or_insert_with(anew).by.insert(by);
        if asked {
            log::warn!("event=evacuation zone={zone} by={by} fence={}", self.fence);
        }
        if !was_known {
            self.close_zone(zone, now);
        }
    }

    /// An availability zone is taken back by one who has asked for its evacuation.
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

    /// Exactly these availability zones are evacuated by `by`.
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

    /// Whether operators may evacuate an availability zone.
    pub fn check_evacuation(&self, zone: &AvailabilityZoneId) -> Result<(), EvacuationError> {
        let known = self.accelerators_by_zone();
        if !known.contains_key(zone) {
            let known = known.keys().map(ToString::to_string).collect();
            return Err(EvacuationError::UnknownZone { zone: zone.clone(), known });
        }
        if known.keys().all(|other| other == zone || self.evacuations.is_evacuated(other)) {
            return Err(EvacuationError::LastZone { zone: zone.clone() });
        }
        let stays = |other: &AvailabilityZoneId| other != zone && !self.evacuations.is_evacuated(other);
        let left: u64 = known.iter().filter(|(other, _)| stays(other)).map(|(_, n)| n).sum();
        let guaranteed = self.guaranteed();
        if left < guaranteed {
            return Err(EvacuationError::Guarantees { zone: zone.clone(), left, guaranteed });
        }
        Ok(())
    }

    /// How far each evacuation has come.
    pub fn evacuations(&self, now: Moment) -> Vec<EvacuationStatus> {
        let by_zone = self.accelerators_by_zone();
        let elsewhere = by_zone.iter().filter(|(zone, _)| !self.evacuations.is_evacuated(zone)).map(|(_, n)| n).sum();
        let status = |(zone, evacuation): (&AvailabilityZoneId, &Evacuation)| {
            let servers = self.servers_in(zone);
            let ends = |name: &GroupId| !self.step(*name).long_running;
            let groups = servers.iter().flat_map(|id| self.groups_on(id)).filter(ends);
            EvacuationStatus {
                availability_zone: zone.clone(),
                by: evacuation.by.iter().copied().collect(),
                known_ms: now.since(evacuation.since).millis(),
                running_tasks: servers.iter().map(|id| self.servers[id].members.len()).sum(),
                longest_left_ms: groups.map(|name| self.time_left(name, now).millis()).max().unwrap_or(0),
                guaranteed: self.guaranteed(),
                accelerators_elsewhere: elsewhere,
            }
        };
        self.evacuations.zones.iter().map(status).collect()
    }

    /// How many availability zones have had backend servers.
    pub fn availability_zones(&self) -> usize {
        self.evacuations.known.len()
    }

    /// Tasks that last leave evacuated availability zones, as their steps allow.
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

    /// Nothing starts in an availability zone from here on: what was placed there and not ordered is placed anew.
    fn close_zone(&mut self, zone: &AvailabilityZoneId, now: Moment) {
        self.mark_zone(zone);
        for id in self.servers_in(zone) {
            self.stop_unsent(&id, StopReason::ZoneEvacuated, now);
        }
        self.evacuate_long_running(now);
        self.plan_requested = true;
    }

    /// Notes at each backend server of an availability zone whether it is evacuated.
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
            *by_zone.entry(info.availability_zone.clone()).or_insert(0) += info.capacity.accelerators;
        }
        by_zone
    }

    fn guaranteed(&self) -> u64 {
        self.policy.customers.values().map(|customer| customer.guaranteed_accelerators).sum()
    }
}
