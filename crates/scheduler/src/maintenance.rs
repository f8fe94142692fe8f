//! Waves of upkeep: machines are emptied and handed to the platform, a few at once, until each had its turn.
//!
//! The platform answers an upkeep that a machine has had already as if it began, so that an answer that was lost is
//! made up for by asking again, and a new scheduler by what the store remembers of the wave.

use std::collections::{BTreeMap, BTreeSet};

use model::{BackendServerId, Moment};

use crate::{
    Scheduler,
    maintenance_batch::{
        Machine, MachineDrain, MachineId, MaintenanceBatch, MaintenanceProgress, MaintenanceReply, MaintenanceRequest,
    },
    run_state::{GroupId, StopReason},
};

/// All waves, and the machines as they were last listed.
#[derive(Debug, Default)]
pub(crate) struct Maintenance {
    batches: BTreeMap<u64, MaintenanceBatch>,
    machines: BTreeMap<MachineId, Machine>,
}

impl Scheduler {
    /// Operators ask for a wave of upkeep; `progress` is what the store remembers of it. Told again, it changes
    /// nothing.
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
        let (emptying, down) = (BTreeMap::new(), BTreeMap::new());
        let stored = progress.succeeded;
        let batch = MaintenanceBatch { since: now, progress, stored, emptying, down, request };
        self.maintenance.batches.insert(batch.request.number, batch);
    }

    /// Whether some wave is not over, so that the platform's machines should be listed.
    pub fn has_open_maintenance(&self) -> bool {
        self.maintenance.batches.values().any(|batch| !batch.progress.succeeded || !batch.stored)
    }

    /// The platform has listed its machines; machines of waves are chosen and emptied.
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

    /// Machines that can be handed over now, each with its wave.
    pub fn machines_due_for_maintenance(&mut self, now: Moment) -> Vec<(u64, MachineId)> {
        let mut due = Vec::new();
        for (number, id, patience_over) in self.emptying(now) {
            let up = self.maintenance.machines.get(&id).is_some_and(|machine| machine.up);
            if up && self.empty_machine(&id, patience_over, now) {
                self.record_incarnation(number, &id);
                due.push((number, id));
            }
        }
        due
    }

    /// Notes which life an upkeep ends, unless it has been asked for before: it may have ended that one then.
    fn record_incarnation(&mut self, number: u64, id: &MachineId) {
        let Scheduler { maintenance, servers, .. } = self;
        let Some(drain) = maintenance.batches.get_mut(&number).and_then(|batch| batch.emptying.get_mut(id)) else {
            return;
        };
        if !std::mem::replace(&mut drain.asked, true) {
            let server = drain.server.as_ref().and_then(|server| servers.get(server));
            drain.incarnation = server.and_then(|server| server.incarnation);
        }
    }

    /// What came of handing a machine over.
    pub fn maintenance_replied(&mut self, number: u64, id: &MachineId, reply: MaintenanceReply, now: Moment) {
        log::info!("event=upkeep wave={number} machine={id} fence={} outcome={reply:?}", self.fence);
        let Some(batch) = self.maintenance.batches.get_mut(&number) else { return };
        match reply {
            MaintenanceReply::Begun => {
                let drain = batch.emptying.remove(id).unwrap_or_else(|| MachineDrain::new(None, now));
                batch.progress.started.insert(id.clone());
                batch.stored = false;
                batch.down.insert(id.clone(), MachineDrain { since: now, ..drain });
            }
            MaintenanceReply::Never => {
                batch.emptying.remove(id);
                batch.request.machines.retain(|other| other != id);
            }
            MaintenanceReply::Busy | MaintenanceReply::Unknown => {}
        }
        self.update_closed_servers();
    }

    /// Progress of waves that the store does not hold.
    pub fn pending_maintenance_writes(&self) -> Vec<(u64, MaintenanceProgress)> {
        let unstored = self.maintenance.batches.iter().filter(|(_, batch)| !batch.stored);
        unstored.map(|(number, batch)| (*number, batch.progress.clone())).collect()
    }

    /// The store holds the progress of a wave.
    pub fn maintenance_stored(&mut self, number: u64, progress: &MaintenanceProgress) {
        if let Some(batch) = self.maintenance.batches.get_mut(&number) {
            batch.stored = batch.progress == *progress;
        }
    }

    /// Starts emptying as many more machines of a wave as may be down beside those that are: the idlest first.
    fn choose_machines(&mut self, number: u64, now: Moment) {
        let Some(batch) = self.maintenance.batches.get(&number) else { return };
        let machines = &self.maintenance.machines;
        let taken = batch.count_unavailable(machines);
        let waits = |id: &&MachineId| {
            machines.get(*id).is_some_and(|machine| machine.up)
                && !batch.progress.started.contains(*id)
                && !batch.emptying.contains_key(*id)
                && !batch.down.contains_key(*id)
        };
        let mut waiting: Vec<&MachineId> = batch.request.machines.iter().filter(waits).collect();
        waiting.sort_by_cached_key(|id| self.members_on(id).len());
        let chosen: Vec<MachineId> =
            waiting.into_iter().take(batch.request.most_at_once.saturating_sub(taken)).cloned().collect();
        let age = now.since(batch.since);
        for id in chosen {
            log::info!("event=emptying wave={number} machine={id} wave_age_ms={}", age.millis());
            let server = self.maintenance.machines.get(&id).and_then(|machine| machine.server.clone());
            if let Some(batch) = self.maintenance.batches.get_mut(&number) {
                batch.emptying.insert(id, MachineDrain::new(server, now));
            }
        }
    }

    /// Backend servers on machines that are being emptied get no new work.
    fn update_closed_servers(&mut self) {
        let emptying = |id: &MachineId| self.maintenance.batches.values().any(|batch| batch.emptying.contains_key(id));
        let closed: BTreeSet<BackendServerId> =
            self.maintenance.machines.values().filter(|m| emptying(&m.id)).filter_map(|m| m.server.clone()).collect();
        let changed = self.servers.iter().filter(|(id, server)| server.closed_for_maintenance != closed.contains(*id));
        for id in changed.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            let server = self.server_mut(&id).expect("it was just seen");
            server.closed_for_maintenance = !server.closed_for_maintenance;
        }
    }

    /// Machines that are being emptied, each with its wave, and whether work there was given its time to end by itself.
    fn emptying(&self, now: Moment) -> Vec<(u64, MachineId, bool)> {
        let of_wave = |(number, batch): (&u64, &MaintenanceBatch)| {
            let (number, patience) = (*number, batch.patience());
            let in_turn =
                |(id, drain): (&MachineId, &MachineDrain)| (number, id.clone(), now.since(drain.since) >= patience);
            batch.emptying.iter().map(in_turn).collect::<Vec<_>>()
        };
        self.maintenance.batches.iter().flat_map(of_wave).collect()
    }

    /// Moves what runs on a machine, as far as that may be; whether nothing is left there.
    fn empty_machine(&mut self, id: &MachineId, patience_over: bool, now: Moment) -> bool {
        let members = self.members_on(id);
        let empty = members.is_empty();
        for name in members {
            let step = self.step(name);
            let moves_well = step.checkpoints || step.long_running;
            if (moves_well || patience_over) && self.may_interrupt(name) {
                self.stop_group(name, StopReason::ServerLeaving, now);
            }
        }
        empty
    }

    /// Groups with a member on a machine.
    fn members_on(&self, id: &MachineId) -> Vec<GroupId> {
        let server = self.maintenance.machines.get(id).and_then(|machine| machine.server.as_ref());
        server.map(|id| self.groups_on(id)).unwrap_or_default()
    }
}
