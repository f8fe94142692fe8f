//! Waves of upkeep: machines are emptied and handed to the platform, a few at once, until each had its turn.
//!
//! The platform answers an upkeep that a machine has had already as if it began, so that an answer that was lost is
//! made up for by asking again, and a new scheduler by what the store remembers of the wave.

use std::collections::{BTreeMap, BTreeSet};

use model::{BackendServerId, Moment};

use crate::{
    Scheduler,
    maintenance_batch::{Machine, MachineId, Turn, UpkeepReply, Wave, WaveProgress, WaveRequest},
    run_state::{GroupId, StopReason},
};

/// All waves, and the machines as they were last listed.
#[derive(Debug, Default)]
pub(crate) struct Upkeep {
    waves: BTreeMap<u64, Wave>,
    machines: BTreeMap<MachineId, Machine>,
}

impl Scheduler {
    /// Operators ask for a wave of upkeep; `progress` is what the store remembers of it. Told again, it changes
    /// nothing.
    pub fn wave_asked(&mut self, request: WaveRequest, progress: WaveProgress, now: Moment) {
        if self.upkeep.waves.contains_key(&request.number) {
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
        let wave = Wave { since: now, progress, stored, emptying, down, request };
        self.upkeep.waves.insert(wave.request.number, wave);
    }

    /// Whether some wave is not over, so that the platform's machines should be listed.
    pub fn has_open_waves(&self) -> bool {
        self.upkeep.waves.values().any(|wave| !wave.progress.succeeded || !wave.stored)
    }

    /// The platform has listed its machines; machines of waves are chosen and emptied.
    pub fn machines_listed(&mut self, machines: Vec<Machine>, now: Moment) {
        self.upkeep.machines = machines.into_iter().map(|machine| (machine.id.clone(), machine)).collect();
        let Scheduler { upkeep: Upkeep { waves, machines }, servers, .. } = self;
        let lives = |id: &BackendServerId| servers.get(id).and_then(|server| server.incarnation);
        for wave in waves.values_mut() {
            wave.take_list(machines, lives, now);
        }
        for number in self.upkeep.waves.keys().copied().collect::<Vec<_>>() {
            self.choose_machines(number, now);
        }
        self.close_emptying();
    }

    /// Machines that can be handed over now, each with its wave.
    pub fn due_upkeeps(&mut self, now: Moment) -> Vec<(u64, MachineId)> {
        let mut due = Vec::new();
        for (number, id, patience_over) in self.emptying(now) {
            let up = self.upkeep.machines.get(&id).is_some_and(|machine| machine.up);
            if up && self.empty_machine(&id, patience_over, now) {
                self.note_life(number, &id);
                due.push((number, id));
            }
        }
        due
    }

    /// Notes which life an upkeep ends, unless it has been asked for before: it may have ended that one then.
    fn note_life(&mut self, number: u64, id: &MachineId) {
        let Scheduler { upkeep, servers, .. } = self;
        let Some(turn) = upkeep.waves.get_mut(&number).and_then(|wave| wave.emptying.get_mut(id)) else { return };
        if !std::mem::replace(&mut turn.asked, true) {
            let server = turn.server.as_ref().and_then(|server| servers.get(server));
            turn.incarnation = server.and_then(|server| server.incarnation);
        }
    }

    /// What came of handing a machine over.
    pub fn upkeep_replied(&mut self, number: u64, id: &MachineId, reply: UpkeepReply, now: Moment) {
        log::info!("event=upkeep wave={number} machine={id} fence={} outcome={reply:?}", self.fence);
        let Some(wave) = self.upkeep.waves.get_mut(&number) else { return };
        match reply {
            UpkeepReply::Begun => {
                let turn = wave.emptying.remove(id).unwrap_or_else(|| Turn::new(None, now));
                wave.progress.started.insert(id.clone());
                wave.stored = false;
                wave.down.insert(id.clone(), Turn { since: now, ..turn });
            }
            UpkeepReply::Never => {
                wave.emptying.remove(id);
                wave.request.machines.retain(|other| other != id);
            }
            UpkeepReply::Busy | UpkeepReply::Unknown => {}
        }
        self.close_emptying();
    }

    /// Progress of waves that the store does not hold.
    pub fn unstored_waves(&self) -> Vec<(u64, WaveProgress)> {
        let unstored = self.upkeep.waves.iter().filter(|(_, wave)| !wave.stored);
        unstored.map(|(number, wave)| (*number, wave.progress.clone())).collect()
    }

    /// The store holds the progress of a wave.
    pub fn wave_stored(&mut self, number: u64, progress: &WaveProgress) {
        if let Some(wave) = self.upkeep.waves.get_mut(&number) {
            wave.stored = wave.progress == *progress;
        }
    }

    /// Starts emptying as many more machines of a wave as may be down beside those that are: the idlest first.
    fn choose_machines(&mut self, number: u64, now: Moment) {
        let Some(wave) = self.upkeep.waves.get(&number) else { return };
        let machines = &self.upkeep.machines;
        let taken = wave.count_taken(machines);
        let waits = |id: &&MachineId| {
            machines.get(*id).is_some_and(|machine| machine.up)
                && !wave.progress.started.contains(*id)
                && !wave.emptying.contains_key(*id)
                && !wave.down.contains_key(*id)
        };
        let mut waiting: Vec<&MachineId> = wave.request.machines.iter().filter(waits).collect();
        waiting.sort_by_cached_key(|id| self.members_on(id).len());
        let chosen: Vec<MachineId> =
            waiting.into_iter().take(wave.request.most_at_once.saturating_sub(taken)).cloned().collect();
        let age = now.since(wave.since);
        for id in chosen {
            log::info!("event=emptying wave={number} machine={id} wave_age_ms={}", age.millis());
            let server = self.upkeep.machines.get(&id).and_then(|machine| machine.server.clone());
            if let Some(wave) = self.upkeep.waves.get_mut(&number) {
                wave.emptying.insert(id, Turn::new(server, now));
            }
        }
    }

    /// Backend servers on machines that are being emptied get no new work.
    fn close_emptying(&mut self) {
        let emptying = |id: &MachineId| self.upkeep.waves.values().any(|wave| wave.emptying.contains_key(id));
        let closed: BTreeSet<BackendServerId> =
            self.upkeep.machines.values().filter(|m| emptying(&m.id)).filter_map(|m| m.server.clone()).collect();
        let changed = self.servers.iter().filter(|(id, server)| server.closed != closed.contains(*id));
        for id in changed.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            let server = self.server_mut(&id).expect("it was just seen");
            server.closed = !server.closed;
        }
    }

    /// Machines that are being emptied, each with its wave, and whether work there was given its time to end by itself.
    fn emptying(&self, now: Moment) -> Vec<(u64, MachineId, bool)> {
        let of_wave = |(number, wave): (&u64, &Wave)| {
            let (number, patience) = (*number, wave.patience());
            let in_turn = |(id, turn): (&MachineId, &Turn)| (number, id.clone(), now.since(turn.since) >= patience);
            wave.emptying.iter().map(in_turn).collect::<Vec<_>>()
        };
        self.upkeep.waves.iter().flat_map(of_wave).collect()
    }

    /// Moves what runs on a machine, as far as that may be; whether nothing is left there.
    fn empty_machine(&mut self, id: &MachineId, patience_over: bool, now: Moment) -> bool {
        let members = self.members_on(id);
        let empty = members.is_empty();
        for name in members {
            let step = self.step(name);
            let moves_well = step.checkpoints || step.long_running;
            if (moves_well || patience_over) && self.may_be_absent(name) {
                self.stop_group(name, StopReason::ServerLeaving, now);
            }
        }
        empty
    }

    /// Groups with a member on a machine.
    fn members_on(&self, id: &MachineId) -> Vec<GroupId> {
        let server = self.upkeep.machines.get(id).and_then(|machine| machine.server.as_ref());
        server.map(|id| self.groups_on(id)).unwrap_or_default()
    }
}
