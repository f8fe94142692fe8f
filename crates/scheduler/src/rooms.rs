//! Room of the backend servers that take work, while a plan is made.

use std::{collections::BTreeMap, sync::Arc};

use jobs::{Need, Step};
use model::{BackendServerId, Moment};

use crate::{
    Scheduler,
    choose::Places,
    policy::ServiceId,
    server::{Server, ServerInfo},
};

/// Room of one backend server.
#[derive(Debug, Clone)]
pub(crate) struct Room {
    pub(crate) service: ServiceId,
    pub(crate) rack: Arc<str>,
    pub(crate) labels: Vec<Arc<str>>,
    pub(crate) capacity: Need,
    /// Free now.
    pub(crate) free: Need,
    /// Free once everything that is being stopped has ended.
    pub(crate) soon: Need,
    /// Best-effort tasks there.
    pub(crate) best_effort: u64,
    /// Tasks with a latency target there.
    pub(crate) serving: u64,
    /// A task failed there lately and none has been done since.
    pub(crate) doubtful: bool,
}

/// Accelerators of a service.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Totals {
    /// Free on backend servers that take work.
    pub(crate) free: u64,
    /// Taken, on any backend server.
    pub(crate) used: u64,
    /// All that are known.
    pub(crate) all: u64,
}

/// Room by backend server.
#[derive(Debug, Default)]
pub(crate) struct Rooms {
    by_server: BTreeMap<BackendServerId, Room>,
    totals: BTreeMap<ServiceId, Totals>,
}

impl Rooms {
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&BackendServerId, &Room)> {
        self.by_server.iter()
    }

    pub(crate) fn get_mut(&mut self, id: &BackendServerId) -> Option<&mut Room> {
        self.by_server.get_mut(id)
    }

    pub(crate) fn totals(&self, service: &ServiceId) -> Totals {
        self.totals.get(service).copied().unwrap_or_default()
    }

    /// Takes room for a task of a step at each place.
    pub(crate) fn claim(&mut self, step: &Step, places: &Places) {
        let need = &step.counted_need();
        for (_, server) in places {
            let room = self.by_server.get_mut(server).expect("places are chosen among the rooms");
            let totals = self.totals.entry(room.service.clone()).or_default();
            totals.free -= room.free.accelerators.min(need.accelerators);
            totals.used += need.accelerators;
            room.free.remove(need);
            room.soon.remove(need);
            room.best_effort += u64::from(step.best_effort);
            room.serving += u64::from(step.target.is_some());
        }
    }
}

impl Scheduler {
    /// Room as it is now, of the backend servers that take work.
    pub(crate) fn rooms(&self, now: Moment) -> Rooms {
        let mut rooms = Rooms::default();
        for (id, server) in &self.servers {
            let Some(info) = &server.info else { continue };
            let totals = rooms.totals.entry(info.service.clone()).or_default();
            totals.used += server.used.accelerators;
            totals.all += info.capacity.accelerators;
            if !server.open(now) || self.timing.tuning.set_aside && server.health.set_aside(now) {
                continue;
            }
            let room = self.room(server, info, now);
            totals.free += room.free.accelerators;
            rooms.by_server.insert(id.clone(), room);
        }
        rooms
    }

    fn room(&self, server: &Server, info: &ServerInfo, now: Moment) -> Room {
        let free = server.free();
        let mut room = Room {
            service: info.service.clone(),
            rack: Arc::clone(&info.rack),
            labels: info.labels.clone(),
            capacity: info.capacity,
            free,
            soon: free,
            best_effort: 0,
            serving: 0,
            doubtful: self.timing.tuning.doubt && server.health.doubtful(now),
        };
        for task in server.members.keys() {
            let Some(name) = self.group_of(*task) else { continue };
            let step = self.step(name);
            room.best_effort += u64::from(step.best_effort);
            room.serving += u64::from(step.target.is_some());
            if self.group(name).stopping.is_some() {
                room.soon.add(&step.counted_need());
            }
        }
        for stray in server.strays.values() {
            room.soon.add(&stray.need);
        }
        room
    }
}
