//! Maintenance of machines that operators request: machines are drained and handed to the platform a few at a time.
//!
//! If a machine has already had its maintenance, the platform responds as if it started now. A lost response is
//! therefore recovered by repeating the request, and a new scheduler continues from the stored progress.

use std::collections::{BTreeMap, BTreeSet};

use model::{BackendServerId, Moment};

use crate::{
    Scheduler,
    maintenance_batch::{
        Machine, MachineDrain, MachineId, MaintenanceBatch, MaintenanceProgress, MaintenanceReply, MaintenanceRequest,
    },
    run_state::{GroupId, StopReason},
};

/// All maintenance requests, and the machines as they were last listed.
#[derive(Debug, Default)]
pub(crate) struct Maintenance {
    batches: BTreeMap<u64, MaintenanceBatch>,
    machines: BTreeMap<MachineId, Machine>,
}

impl Scheduler {
    /// Adds operators' request for maintenance; `progress` is what the store holds of it. Idempotent.
    pub fn maintenance_requested(&mut self, request: MaintenanceRequest, progress: MaintenanceProgress, now: Moment) {
        if self.maintenance.batches.contains_key(&request.number) {
            return;
        }
        log::info!(
            "event=wave number={} machines={} begun={}",
            request.number,
            request.machines.len(),
            progress.started.len()
        );
        let (draining, down) = (BTreeMap::new(), BTreeMap::new());
        let stored = progress.succeeded;
        let batch = MaintenanceBatch { since: now, progress, stored, draining, down, request };
        self.maintenance.batches.insert(batch.request.number, batch);
    }

    /// Returns whether any request is unfinished or not yet stored, so that the platform's machines should be listed.
    pub fn has_open_maintenance(&self) -> bool {
        self.maintenance.batches.values().any(|batch| !batch.progress.succeeded || !batch.stored)
    }

    /// Updates the machines by the platform's list, and chooses and drains machines of each request.
    pub fn machines_listed(&mut self, machines: Vec<Machine>, now: Moment) {
        self.maintenance.machines = machines.into_iter().map(|machine| (machine.id.clone(), machine)).collect();
        let Scheduler { maintenance: Maintenance { batches, machines }, servers, .. } = self;
        let incarnation_of = |id: &BackendServerId| servers.get(id).and_then(|server| server.incarnation);
        for batch in batches.values_mut() {
            batch.apply_listing(machines, incarnation_of, now);
        }
        for number in self.maintenance.batches.keys().copied().collect::<Vec<_>>() {
            self.choose_machines(number, now);
        }
        self.update_closed_servers();
    }

    /// Returns the machines that can be handed over now, each with the number of its request.
    pub fn machines_due_for_maintenance(&mut self, now: Moment) -> Vec<(u64, MachineId)> {
        let mut due = Vec::new();
        for (number, id, drain_time_over) in self.draining_machines(now) {
            let up = self.maintenance.machines.get(&id).is_some_and(|machine| machine.up);
            if up && self.drain_machine(&id, drain_time_over, now) {
                self.record_incarnation(number, &id);
                due.push((number, id));
            }
        }
        due
    }

    /// Records which incarnation the maintenance ends, on the first attempt to hand a machine over: that attempt may
    /// succeed without a response.
    fn record_incarnation(&mut self, number: u64, id: &MachineId) {
        let Scheduler { maintenance, servers, .. } = self;
        let Some(drain) = maintenance.batches.get_mut(&number).and_then(|batch| batch.draining.get_mut(id)) else {
            return;
        };
        if !std::mem::replace(&mut drain.attempted, true) {
            let server = drain.server.as_ref().and_then(|server| servers.get(server));
            drain.incarnation = server.and_then(|server| server.incarnation);
        }
    }

    /// Handles the result of handing a machine over.
    pub fn maintenance_replied(&mut self, number: u64, id: &MachineId, reply: MaintenanceReply, now: Moment) {
        log::info!("event=upkeep wave={number} machine={id} fence={} outcome={reply:?}", self.fence);
        let Some(batch) = self.maintenance.batches.get_mut(&number) else { return };
        match reply {
            MaintenanceReply::Begun => {
                let drain = batch.draining.remove(id).unwrap_or_else(|| MachineDrain::new(None, now));
                batch.progress.started.insert(id.clone());
                batch.stored = false;
                batch.down.insert(id.clone(), MachineDrain { since: now, ..drain });
            }
            MaintenanceReply::Never => {
                batch.draining.remove(id);
                batch.request.machines.retain(|other| other != id);
            }
            MaintenanceReply::Busy | MaintenanceReply::Unknown => {}
        }
        self.update_closed_servers();
    }

    /// Returns the progress of requests that is not yet stored.
    pub fn pending_maintenance_writes(&self) -> Vec<(u64, MaintenanceProgress)> {
        let unstored = self.maintenance.batches.iter().filter(|(_, batch)| !batch.stored);
        unstored.map(|(number, batch)| (*number, batch.progress.clone())).collect()
    }

    /// Records that the store holds this progress of a request.
    pub fn maintenance_stored(&mut self, number: u64, progress: &MaintenanceProgress) {
        if let Some(batch) = self.maintenance.batches.get_mut(&number) {
            batch.stored = batch.progress == *progress;
        }
    }

    /// Starts to drain as many more machines as may be down in addition to those that are, those with the fewest
    /// groups first.
    fn choose_machines(&mut self, number: u64, now: Moment) {
        let Some(batch) = self.maintenance.batches.get(&number) else { return };
        let machines = &self.maintenance.machines;
        let taken = batch.count_unavailable(machines);
        let is_waiting = |id: &&MachineId| {
            machines.get(*id).is_some_and(|machine| machine.up)
                && !batch.progress.started.contains(*id)
                && !batch.draining.contains_key(*id)
                && !batch.down.contains_key(*id)
        };
        let mut waiting: Vec<&MachineId> = batch.request.machines.iter().filter(is_waiting).collect();
        waiting.sort_by_cached_key(|id| self.groups_on_machine(id).len());
        let chosen: Vec<MachineId> =
            waiting.into_iter().take(batch.request.most_at_once.saturating_sub(taken)).cloned().collect();
        let age = now.since(batch.since);
        for id in chosen {
            log::info!("event=emptying wave={number} machine={id} wave_age_ms={}", age.millis());
            let server = self.maintenance.machines.get(&id).and_then(|machine| machine.server.clone());
            if let Some(batch) = self.maintenance.batches.get_mut(&number) {
                batch.draining.insert(id, MachineDrain::new(server, now));
            }
        }
    }

    /// Closes backend servers to new work while their machines are being drained, and opens the others.
    fn update_closed_servers(&mut self) {
        let is_draining =
            |id: &MachineId| self.maintenance.batches.values().any(|batch| batch.draining.contains_key(id));
        let closed: BTreeSet<BackendServerId> = self
            .maintenance
            .machines
            .values()
            .filter(|m| is_draining(&m.id))
            .filter_map(|m| m.server.clone())
            .collect();
        let changed = self.servers.iter().filter(|(id, server)| server.closed_for_maintenance != closed.contains(*id));
        for id in changed.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            let server = self.server_mut(&id).expect("it was just seen");
            server.closed_for_maintenance = !server.closed_for_maintenance;
        }
    }

    /// Returns the machines that are being drained, each with the number of its request and whether the time for work
    /// to end by itself is over.
    fn draining_machines(&self, now: Moment) -> Vec<(u64, MachineId, bool)> {
        let drains_of = |(number, batch): (&u64, &MaintenanceBatch)| {
            let (number, max_drain_time) = (*number, batch.max_drain_time());
            let with_number = |(id, drain): (&MachineId, &MachineDrain)| {
                (number, id.clone(), now.since(drain.since) >= max_drain_time)
            };
            batch.draining.iter().map(with_number).collect::<Vec<_>>()
        };
        self.maintenance.batches.iter().flat_map(drains_of).collect()
    }

    /// Stops what may be moved off a machine; returns whether nothing runs there.
    fn drain_machine(&mut self, id: &MachineId, drain_time_over: bool, now: Moment) -> bool {
        let members = self.groups_on_machine(id);
        let empty = members.is_empty();
        for name in members {
            let step = self.step(name);
            let can_be_moved = step.checkpoints || step.long_running;
            if (can_be_moved || drain_time_over) && self.may_interrupt(name) {
                self.stop_group(name, StopReason::ServerLeaving, now);
            }
        }
        empty
    }

    /// Returns the groups with a task on a machine.
    fn groups_on_machine(&self, id: &MachineId) -> Vec<GroupId> {
        let server = self.maintenance.machines.get(id).and_then(|machine| machine.server.as_ref());
        server.map(|id| self.groups_on(id)).unwrap_or_default()
    }
}
