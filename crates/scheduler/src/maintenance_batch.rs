//! One wave of upkeep: which of its machines are being emptied, which are down, and when one is back.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use derive_more::Display;
use model::{BackendServerId, Duration, Incarnation, Moment};
use serde::{Deserialize, Serialize};

/// Work that cannot go on elsewhere from a checkpoint may end by itself for so long, but no longer than its share of
/// the wave's time.
const EMPTIES_BY_ITSELF: Duration = Duration::from_secs(5);
/// A machine that was handed over counts as down for so long at most, if nothing shows that it is back: far above
/// what an upkeep takes (users: 2 s).
const DOWN_AT_MOST: Duration = Duration::from_secs(30);

/// A machine, whatever backend server lives on it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(transparent)]
pub struct MachineId(Arc<str>);

impl From<&str> for MachineId {
    fn from(name: &str) -> MachineId {
        MachineId(Arc::from(name))
    }
}

/// A machine as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// Its name.
    pub id: MachineId,
    /// It runs; not so while it is being moved or has its upkeep.
    pub up: bool,
    /// The backend server that lives on it.
    pub server: Option<BackendServerId>,
}

/// Upkeep that operators ask for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MaintenanceRequest {
    /// Its number.
    pub number: u64,
    /// Which machines.
    pub machines: Vec<MachineId>,
    /// How long the whole wave may take.
    pub term: Duration,
    /// How many may be down at once.
    pub most_at_once: usize,
}

/// How far a wave has come, as the store remembers it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MaintenanceProgress {
    /// Machines that have begun their upkeep.
    #[serde(rename = "begun")]
    pub started: BTreeSet<MachineId>,
    /// Every machine that remains has.
    pub succeeded: bool,
}

/// What the platform answers to an upkeep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MaintenanceReply {
    /// It has begun, now or before.
    Begun,
    /// Not now: the machine is not up.
    Busy,
    /// Never: there is no such machine, or it is not of the wave.
    Never,
    /// No answer: it may have begun.
    Unknown,
}

/// A machine that is being emptied, or that was handed over and is not known to be back; since when.
#[derive(Debug, Clone)]
pub(crate) struct MachineDrain {
    pub(crate) since: Moment,
    /// The backend server that lives on it before its upkeep.
    pub(crate) server: Option<BackendServerId>,
    /// In which life, when the machine was first about to be handed over: another one may come back under its id.
    pub(crate) incarnation: Option<Incarnation>,
    /// It has been about to be handed over.
    pub(crate) asked: bool,
}

impl MachineDrain {
    pub(crate) fn new(server: Option<BackendServerId>, now: Moment) -> MachineDrain {
        MachineDrain { since: now, server, incarnation: None, asked: false }
    }

    /// Whether another life is on the machine, by the platform's list or by what answers.
    fn is_followed(&self, machine: &Machine, incarnation_of: impl Fn(&BackendServerId) -> Option<Incarnation>) -> bool {
        let heard = machine.server.as_ref().and_then(incarnation_of);
        machine.server != self.server || self.incarnation.zip(heard).is_some_and(|(before, now)| before != now)
    }
}

/// A wave of upkeep: what operators ask for, and how far it has come.
#[derive(Debug)]
pub(crate) struct MaintenanceBatch {
    pub(crate) request: MaintenanceRequest,
    pub(crate) since: Moment,
    pub(crate) progress: MaintenanceProgress,
    /// The store holds `progress` as it is.
    pub(crate) stored: bool,
    /// Machines that are being emptied; an upkeep without an answer leaves its machine here, to be asked for again.
    pub(crate) emptying: BTreeMap<MachineId, MachineDrain>,
    /// Machines that were handed over.
    pub(crate) down: BTreeMap<MachineId, MachineDrain>,
}

impl MaintenanceBatch {
    /// Takes in what the platform lists: machines that are back, and that are gone.
    pub(crate) fn apply_listing(
        &mut self,
        machines: &BTreeMap<MachineId, Machine>,
        incarnation_of: impl Fn(&BackendServerId) -> Option<Incarnation>,
        now: Moment,
    ) {
        self.down.retain(|id, down| {
            let back = machines.get(id).is_none_or(|machine| machine.up && down.is_followed(machine, &incarnation_of));
            !back && now.since(down.since) < DOWN_AT_MOST
        });
        self.emptying.retain(|id, _| machines.contains_key(id));
        let remaining = |id: &&MachineId| machines.contains_key(*id) && !self.progress.started.contains(*id);
        if !self.progress.succeeded && !machines.is_empty() && !self.request.machines.iter().any(|id| remaining(&id)) {
            self.progress.succeeded = true;
            self.stored = false;
        }
    }

    /// How many machines of the wave are down or about to be, by the list or by what was asked for.
    pub(crate) fn count_unavailable(&self, machines: &BTreeMap<MachineId, Machine>) -> usize {
        let asked = |id: &MachineId| self.down.contains_key(id) || self.emptying.contains_key(id);
        let taken = |id: &&MachineId| asked(id) || machines.get(*id).is_some_and(|machine| !machine.up);
        self.request.machines.iter().filter(taken).count()
    }

    /// How long work may take to end by itself on one machine.
    pub(crate) fn patience(&self) -> Duration {
        let turns = self.request.machines.len().div_ceil(self.request.most_at_once.max(1));
        self.request.term.scaled(0.5 / turns.max(1) as f64).min(EMPTIES_BY_ITSELF)
    }
}
