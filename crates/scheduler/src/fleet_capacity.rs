//! Capacities of all backend servers, kept between plans and refreshed only where something has changed.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use jobs::{Resources, ServiceId, Step};
use model::{BackendServerId, Moment};

use crate::{
    Scheduler,
    placement::Placements,
    server::Server,
    server_capacity::{ServerCapacity, Totals},
    speed::SpeedClass,
};

/// Index of a backend server's capacity while plans are made; it stays the same for as long as the backend server is
/// known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct ServerIndex(usize);

/// Backend servers of one rack, ordered by id.
#[derive(Debug, Default)]
pub(crate) struct Rack {
    servers: Vec<ServerIndex>,
    /// Upper bound, for each kind of resource, of what is free after stops on any of them.
    bound: Resources,
}

/// Capacities of all backend servers.
///
/// Between plans only those are recomputed that may have changed.
#[derive(Debug, Default)]
pub(crate) struct FleetCapacity {
    /// Capacities by index; `None` for unused indices.
    by_index: Vec<Option<ServerCapacity>>,
    index_of: HashMap<BackendServerId, ServerIndex>,
    free_indices: Vec<ServerIndex>,
    racks: BTreeMap<Arc<str>, Rack>,
    totals: BTreeMap<ServiceId, Totals>,
    /// Number of backend servers in each speed class.
    speeds: BTreeMap<SpeedClass, usize>,
    /// Backend servers whose capacity the latest plan has claimed or freed in part.
    claimed: Vec<ServerIndex>,
}

impl FleetCapacity {
    /// Returns the backend servers that take work, by rack and then by id.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (ServerIndex, &ServerCapacity)> {
        self.racks.values().flat_map(|rack| self.in_rack(rack))
    }

    /// Returns the racks, by name.
    pub(crate) fn racks(&self) -> impl Iterator<Item = (&Arc<str>, &Rack)> {
        self.racks.iter()
    }

    /// Returns the backend servers of a rack that take work, by id.
    pub(crate) fn in_rack<'r>(&'r self, rack: &'r Rack) -> impl Iterator<Item = (ServerIndex, &'r ServerCapacity)> {
        rack.servers.iter().filter_map(|&index| self.open_server(index).map(|server| (index, server)))
    }

    /// Returns the slowest speed class that any backend server is in.
    pub(crate) fn slowest(&self) -> SpeedClass {
        let in_use = self.speeds.iter().rev().find(|(_, count)| **count > 0);
        in_use.map_or_else(SpeedClass::default, |(class, _)| *class)
    }

    /// Returns whether a rack has backend servers.
    pub(crate) fn has_rack(&self, name: &Arc<str>) -> bool {
        self.racks.contains_key(name)
    }

    fn open_server(&self, index: ServerIndex) -> Option<&ServerCapacity> {
        self.by_index[index.0].as_ref().filter(|server| server.accepts_work)
    }

    pub(crate) fn id(&self, index: ServerIndex) -> &BackendServerId {
        &self.by_index[index.0].as_ref().expect("a plan removes no backend servers").id
    }

    pub(crate) fn totals(&self, service: &ServiceId) -> Totals {
        self.totals.get(service).copied().unwrap_or_default()
    }

    /// Returns how often this plan has claimed or freed capacity so far.
    pub(crate) fn claims(&self) -> usize {
        self.claimed.len()
    }

    /// Claims capacity for one task of the step at each placement.
    pub(crate) fn claim(&mut self, step: &Step, placements: &Placements) {
        let need = &step.counted_resources();
        for &(_, index) in placements {
            let server = self.by_index[index.0].as_mut().expect("placements are chosen among the backend servers");
            let totals = self.totals.entry(server.service.clone()).or_default();
            totals.remove(server);
            server.free.remove(need);
            server.update_used_after_stops(|used_after_stops| used_after_stops.add(need));
            server.used.add(need);
            server.tasks += 1;
            server.best_effort += u64::from(step.best_effort);
            server.serving += u64::from(step.target.is_some());
            totals.add(server);
            self.claimed.push(index);
        }
    }

    /// Excludes the backend servers from further placements of this plan.
    pub(crate) fn close(&mut self, placements: &Placements) {
        for &(_, index) in placements {
            let server = self.by_index[index.0].as_mut().expect("placements are chosen among the backend servers");
            let totals = self.totals.entry(server.service.clone()).or_default();
            totals.remove(server);
            server.accepts_work = false;
            totals.add(server);
        }
    }

    /// Counts resources of a run that is being stopped on a backend server as free after stops.
    pub(crate) fn release_after_stops(&mut self, id: &BackendServerId, need: &Resources) {
        let Some(&index) = self.index_of.get(id) else { return };
        let Some(server) = self.by_index[index.0].as_mut() else { return };
        server.update_used_after_stops(|used_after_stops| used_after_stops.remove(need));
        if let Some(rack) = self.racks.get_mut(&server.rack) {
            rack.bound = rack.bound.max(&server.free_after_stops);
        }
        self.claimed.push(index);
    }

    /// Returns the backend servers whose capacities the plan has changed, which must be refreshed before the next.
    fn take_claimed(&mut self) -> Vec<BackendServerId> {
        let claimed = std::mem::take(&mut self.claimed);
        claimed.into_iter().filter_map(|index| Some(self.by_index[index.0].as_ref()?.id.clone())).collect()
    }

    /// Sets the capacity of a backend server, or removes it.
    pub(crate) fn set(&mut self, id: &BackendServerId, server: Option<ServerCapacity>) {
        if let Some(&index) = self.index_of.get(id) {
            self.replace(index, server);
        } else if let Some(server) = server {
            let index = self.free_indices.pop().unwrap_or(ServerIndex(self.by_index.len()));
            self.by_index.resize_with(self.by_index.len().max(index.0 + 1), || None);
            self.index_of.insert(id.clone(), index);
            self.insert(index, server);
        }
    }

    fn replace(&mut self, index: ServerIndex, server: Option<ServerCapacity>) {
        let Some(old) = self.by_index[index.0].take() else { return };
        self.totals.entry(old.service.clone()).or_default().remove(&old);
        *self.speeds.entry(old.speed).or_default() -= 1;
        match server {
            Some(server) if server.rack == old.rack => self.put(index, server),
            Some(server) => {
                self.remove_from_rack(index, &old);
                self.insert(index, server);
            }
            None => {
                self.remove_from_rack(index, &old);
                self.index_of.remove(&old.id);
                self.free_indices.push(index);
            }
        }
    }

    fn insert(&mut self, index: ServerIndex, server: ServerCapacity) {
        let by_index = &self.by_index;
        let rack = self.racks.entry(Arc::clone(&server.rack)).or_default();
        let at =
            rack.servers.partition_point(|other| by_index[other.0].as_ref().is_some_and(|other| other.id < server.id));
        rack.servers.insert(at, index);
        self.put(index, server);
    }

    fn put(&mut self, index: ServerIndex, server: ServerCapacity) {
        self.totals.entry(server.service.clone()).or_default().add(&server);
        *self.speeds.entry(server.speed).or_default() += 1;
        self.by_index[index.0] = Some(server);
    }

    fn remove_from_rack(&mut self, index: ServerIndex, server: &ServerCapacity) {
        let Some(rack) = self.racks.get_mut(&server.rack) else { return };
        rack.servers.retain(|&other| other != index);
        if rack.servers.is_empty() {
            self.racks.remove(&server.rack);
        }
    }

    fn update_rack_bound(&mut self, name: &Arc<str>) {
        let by_index = &self.by_index;
        let Some(rack) = self.racks.get_mut(name) else { return };
        let free_after_stops =
            rack.servers.iter().filter_map(|index| by_index[index.0].as_ref()).map(|server| server.free_after_stops);
        rack.bound =
            free_after_stops.fold(Resources::default(), |bound, free_after_stops| bound.max(&free_after_stops));
    }
}

impl Rack {
    /// Returns whether a task with these resources may fit onto one of the backend servers, now or after stops.
    pub(crate) fn may_hold(&self, need: &Resources) -> bool {
        self.bound.contains(need)
    }
}

impl Scheduler {
    /// Returns a backend server for changes; the next plan recomputes its capacity.
    pub(crate) fn server_mut(&mut self, id: &BackendServerId) -> Option<&mut Server> {
        let server = self.servers.get_mut(id)?;
        if !std::mem::replace(&mut server.is_stale, true) {
            self.stale_servers.push(id.clone());
        }
        Some(server)
    }

    /// Makes the next plan recompute the capacity of a backend server.
    pub(crate) fn mark_stale(&mut self, id: &BackendServerId) {
        let _ = self.server_mut(id);
    }

    /// Recomputes the capacities of backend servers that have changed, that the previous plan has claimed, or that
    /// change with time.
    pub(crate) fn refresh_capacity(&mut self, now: Moment) {
        let mut fleet = std::mem::take(&mut self.fleet);
        let mut stale = std::mem::take(&mut self.stale_servers);
        stale.extend(std::mem::take(&mut self.time_dependent));
        stale.extend(fleet.take_claimed());
        stale.sort();
        stale.dedup();
        let mut racks = Vec::new();
        for id in &stale {
            if let Some(server) = self.servers.get_mut(id) {
                server.is_stale = false;
                if server.changes_with_time(now) {
                    self.time_dependent.push(id.clone());
                }
            }
            let server = self.server_capacity(id, now);
            racks.extend(server.as_ref().map(|server| Arc::clone(&server.rack)));
            fleet.set(id, server);
        }
        racks.sort();
        racks.dedup();
        for rack in &racks {
            fleet.update_rack_bound(rack);
        }
        self.fleet = fleet;
    }
}

impl FleetCapacity {
    /// Compares with other capacities and returns a description of the first difference.
    pub(crate) fn check_same(&self, other: &FleetCapacity) -> Result<(), String> {
        let server = |fleet: &FleetCapacity, id| {
            fleet.index_of.get(id).and_then(|index: &ServerIndex| fleet.by_index[index.0].clone())
        };
        for id in self.index_of.keys().chain(other.index_of.keys()) {
            let (cached, recomputed) = (server(self, id), server(other, id));
            if cached != recomputed {
                return Err(format!("{id}: cached {cached:?}, recomputed {recomputed:?}"));
            }
        }
        let (cached, recomputed) = (self.totals_in_use(), other.totals_in_use());
        let order = |fleet: &FleetCapacity| fleet.iter().map(|(_, server)| server.id.clone()).collect::<Vec<_>>();
        if cached != recomputed || order(self) != order(other) {
            return Err(format!("totals or order: cached {cached:?}, recomputed {recomputed:?}"));
        }
        Ok(())
    }

    fn totals_in_use(&self) -> BTreeMap<&ServiceId, Totals> {
        self.totals.iter().filter(|(_, totals)| **totals != Totals::default()).map(|(id, t)| (id, *t)).collect()
    }
}
