//! One maintenance request: which of its machines are being drained, which are down, and when one is back.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use derive_more::Display;
use model::{BackendServerId, Duration, Incarnation, Moment};
use serde::{Deserialize, Serialize};

/// How long work that cannot resume elsewhere from a checkpoint may take to end by itself, but at most its share of
/// the request's time.
const MAX_WAIT_FOR_COMPLETION: Duration = Duration::from_secs(5);
/// A machine that was handed over counts as down for at most this long if nothing shows that it is back: far longer
/// than maintenance takes (platform: 2 s).
const MAX_DOWN_TIME: Duration = Duration::from_secs(30);

/// Id of a machine, independent of the backend server that runs on it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(transparent)]
pub struct MachineId(Arc<str>);

impl From<&str> for MachineId {
    fn from(name: &str) -> MachineId {
        MachineId(Arc::from(name))
    }
}

/// Machine as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// Id of the machine.
    pub id: MachineId,
    /// Whether it is up; `false` while it is being moved or maintained.
    pub up: bool,
    /// Backend server that runs on it; `None` if there is none.
    pub server: Option<BackendServerId>,
}

/// Operators' request for maintenance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MaintenanceRequest {
    /// Number of the request; unique.
    pub number: u64,
    /// Machines to maintain.
    pub machines: Vec<MachineId>,
    /// Time that the whole request may take.
    pub term: Duration,
    /// How many of the machines may be down at once.
    pub most_at_once: usize,
}

/// Progress of a maintenance request, as stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MaintenanceProgress {
    /// Machines whose maintenance has started.
    #[serde(rename = "begun")]
    pub started: BTreeSet<MachineId>,
    /// Whether maintenance of all machines that still exist has started.
    pub succeeded: bool,
}

/// Response of the platform when a machine is handed over for maintenance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MaintenanceReply {
    /// The maintenance has started, now or earlier.
    Begun,
    /// The machine is not up; retry later.
    Busy,
    /// No such machine exists, or it does not belong to the request.
    Never,
    /// No response; the maintenance may have started.
    Unknown,
}

/// Machine that is being drained, or that was handed over and is not known to be back, with the time since when.
#[derive(Debug, Clone)]
pub(crate) struct MachineDrain {
    pub(crate) since: Moment,
    /// Backend server that runs on it before its maintenance.
    pub(crate) server: Option<BackendServerId>,
    /// Incarnation of that backend server on the first attempt to hand the machine over; another one may return under
    /// its id.
    pub(crate) incarnation: Option<Incarnation>,
    /// Whether there was an attempt to hand it over.
    pub(crate) attempted: bool,
}

impl MachineDrain {
    pub(crate) fn new(server: Option<BackendServerId>, now: Moment) -> MachineDrain {
        MachineDrain { since: now, server, incarnation: None, attempted: false }
    }

    /// Returns whether another incarnation runs on the machine, by the platform's list or by its responses.
    fn has_new_incarnation(
        &self,
        machine: &Machine,
        incarnation_of: impl Fn(&BackendServerId) -> Option<Incarnation>,
    ) -> bool {
        let observed = machine.server.as_ref().and_then(incarnation_of);
        machine.server != self.server || self.incarnation.zip(observed).is_some_and(|(before, now)| before != now)
    }
}

/// Maintenance request and its progress.
#[derive(Debug)]
pub(crate) struct MaintenanceBatch {
    pub(crate) request: MaintenanceRequest,
    pub(crate) since: Moment,
    pub(crate) progress: MaintenanceProgress,
    /// Whether the store holds `progress` as it is.
    pub(crate) stored: bool,
    /// Machines that are being drained; one whose maintenance got no response stays here and is requested again.
    pub(crate) draining: BTreeMap<MachineId, MachineDrain>,
    /// Machines that were handed over.
    pub(crate) down: BTreeMap<MachineId, MachineDrain>,
}

impl MaintenanceBatch {
    /// Applies the platform's list: removes machines that are back or no longer exist, and marks the request as
    /// succeeded once maintenance of all others has started.
    pub(crate) fn apply_listing(
        &mut self,
        machines: &BTreeMap<MachineId, Machine>,
        incarnation_of: impl Fn(&BackendServerId) -> Option<Incarnation>,
        now: Moment,
    ) {
        self.down.retain(|id, down| {
            let is_back =
                machines.get(id).is_none_or(|machine| machine.up && down.has_new_incarnation(machine, &incarnation_of));
            !is_back && now.since(down.since) < MAX_DOWN_TIME
        });
        self.draining.retain(|id, _| machines.contains_key(id));
        let is_remaining = |id: &&MachineId| machines.contains_key(*id) && !self.progress.started.contains(*id);
        if !self.progress.succeeded && !machines.is_empty() && !self.request.machines.iter().any(|id| is_remaining(&id))
        {
            self.progress.succeeded = true;
            self.stored = false;
        }
    }

    /// Returns how many machines of the request are down or about to be, by the list or by what was requested.
    pub(crate) fn count_unavailable(&self, machines: &BTreeMap<MachineId, Machine>) -> usize {
        let is_requested = |id: &MachineId| self.down.contains_key(id) || self.draining.contains_key(id);
        let is_unavailable = |id: &&MachineId| is_requested(id) || machines.get(*id).is_some_and(|machine| !machine.up);
        self.request.machines.iter().filter(is_unavailable).count()
    }

    /// Returns how long work on one machine may take to end by itself.
    pub(crate) fn max_drain_time(&self) -> Duration {
        let rounds = self.request.machines.len().div_ceil(self.request.most_at_once.max(1));
        self.request.term.scaled(0.5 / rounds.max(1) as f64).min(MAX_WAIT_FOR_COMPLETION)
    }
}
