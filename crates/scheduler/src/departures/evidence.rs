//! Evidence from the platform's lists of machines that an incarnation of a backend server has ended.
//!
//! The list names the machines and the backend server on each. One that is cut off stays listed with its machine; one
//! that has ended does not. A list proves nothing about a backend server that has responded since the list was
//! requested, nor about an incarnation that may have started too recently to be listed.

use std::collections::{BTreeMap, BTreeSet};

use model::{BackendServerId, Duration, Incarnation, Moment};

use crate::maintenance_batch::{Machine, MachineId};

/// Time without a response after which a list may prove an end. A connection that broke is open again sooner.
pub(crate) const MIN_SILENCE: Duration = Duration::from_millis(150);
/// Longest assumed delay until the list shows a backend server that has started. A list requested earlier may lack it or
/// show the earlier state of its machine, so it proves nothing. The platform states no bound; the source of this one is
/// in `docs/design/0019-departures.md`.
pub(crate) const MAX_LIST_LAG: Duration = Duration::from_millis(1000);
/// Complete lists in a row that must lack a backend server whose machine is missing or unknown. The pages of one list
/// are not a snapshot, so an entry that moves between pages while they are read may be missing from it.
const LISTS_FOR_MISSING_MACHINE: u32 = 2;

/// The platform's list of machines, as received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MachineList {
    /// Machines of all pages.
    pub machines: Vec<Machine>,
    /// Whether every page was received and every entry could be decoded.
    pub complete: bool,
    /// Number of pages that were read.
    pub pages: usize,
}

/// What a scheduler has observed of a backend server by itself, as of when a list is received.
#[derive(Debug, Clone)]
pub struct Observed {
    /// Backend server that was observed.
    pub id: BackendServerId,
    /// Incarnation that last responded; `None` before the first response, and on a platform where each incarnation has
    /// an id of its own.
    pub incarnation: Option<Incarnation>,
    /// When that incarnation first responded to this scheduler.
    pub first_response: Option<Moment>,
    /// When the latest call that it answered was sent.
    pub answered_call_sent: Option<Moment>,
    /// When the first call since its last response failed; `None` while it responds.
    pub failing_since: Option<Moment>,
    /// Whether anything is placed on it. Before its first response, that was placed before the election.
    pub has_runs: bool,
}

/// How a list proves that an incarnation has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum Proof {
    /// Its machine is listed without it.
    MachineWithoutIt,
    /// Its machine is no longer listed.
    MachineMissing,
    /// It has not responded since the election, and no machine is listed with it.
    NeverListed,
}

/// What a list shows about a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// This incarnation has ended.
    Ended {
        /// Machine that it ran on; `None` if it was never listed.
        machine: Option<MachineId>,
        /// How that is known.
        proof: Proof,
    },
    /// An earlier list lacked it, but it has responded since or is listed again: that list was false.
    Contradicted {
        /// Machine that it was listed on before.
        machine: MachineId,
    },
}

/// Machine on which a backend server was listed.
#[derive(Debug, Clone)]
struct Sighting {
    machine: MachineId,
    /// Incarnation that the sighting counts for.
    incarnation: Option<Incarnation>,
    /// When the list was requested.
    requested: Moment,
    /// When the first list since the sighting that lacks the backend server was received.
    missing_since: Option<Moment>,
}

/// Complete lists in a row that lack a backend server since it stopped responding.
#[derive(Debug, Clone, Copy)]
struct Absence {
    failing_since: Moment,
    lists: u32,
}

/// What the lists have shown so far.
#[derive(Debug, Default)]
pub struct Evidence {
    sightings: BTreeMap<BackendServerId, Sighting>,
    absences: BTreeMap<BackendServerId, Absence>,
}

/// Whether a list agrees with the backend servers that respond, and so must be listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Plausibility {
    /// It names at least half of them.
    OfThisFleet,
    /// None responds, so that it may be a list of other machines.
    Unknown,
    /// It lacks more of them than it names: it is a list of other machines, or the service has lost what is registered.
    /// That it lacks another backend server means nothing.
    LacksMost,
}

/// A list that can be searched. A machine may be listed twice with different contents, since pages are not a snapshot;
/// a backend server counts as listed if any entry names it.
struct Index<'a> {
    machine_of: BTreeMap<&'a BackendServerId, &'a MachineId>,
    machines: BTreeSet<&'a MachineId>,
}

impl<'a> Index<'a> {
    fn new(list: &'a MachineList) -> Index<'a> {
        let named = |machine: &'a Machine| Some((machine.server.as_ref()?, &machine.id));
        Index {
            machine_of: list.machines.iter().filter_map(named).collect(),
            machines: list.machines.iter().map(|machine| &machine.id).collect(),
        }
    }

    /// Compares the list with the backend servers that it must name because they respond.
    fn plausibility(&self, requested: Moment, servers: &[Observed]) -> Plausibility {
        let must_be_listed = |server: &&Observed| {
            let is_old = server.first_response.is_some_and(|first| requested >= first + MAX_LIST_LAG);
            is_old && server.failing_since.is_none()
        };
        let (named, lacking): (Vec<_>, Vec<_>) =
            servers.iter().filter(must_be_listed).partition(|server| self.machine_of.contains_key(&server.id));
        match (named.len(), lacking.len()) {
            (named, lacking) if lacking > named => Plausibility::LacksMost,
            (0, _) => Plausibility::Unknown,
            _ => Plausibility::OfThisFleet,
        }
    }
}

impl Evidence {
    /// Applies a list that was requested at `requested` and received at `now`, by a scheduler elected at `elected` that
    /// tracks `servers`. Returns what it shows of them, if anything.
    pub fn apply_list(
        &mut self,
        list: &MachineList,
        requested: Moment,
        now: Moment,
        elected: Moment,
        servers: &[Observed],
    ) -> Vec<(BackendServerId, Verdict)> {
        let index = Index::new(list);
        let plausibility = index.plausibility(requested, servers);
        let shows_absences = list.complete && plausibility != Plausibility::LacksMost;
        let is_of_this_fleet = plausibility == Plausibility::OfThisFleet;
        let mut verdicts = Vec::new();
        for server in servers {
            let verdict = match index.machine_of.get(&server.id) {
                Some(machine) => self.record_sighting(server, machine, requested, elected),
                None if shows_absences => {
                    self.record_missing(server, &index, is_of_this_fleet, requested, now, elected)
                }
                None => None,
            };
            verdicts.extend(verdict.map(|verdict| (server.id.clone(), verdict)));
        }
        verdicts
    }

    /// Removes what is known of a backend server that is no longer tracked.
    pub(crate) fn forget(&mut self, id: &BackendServerId) {
        self.sightings.remove(id);
        self.absences.remove(id);
    }

    /// Records that a list names a backend server, so that it may still run. Returns [`Verdict::Contradicted`] if an
    /// earlier list lacked it.
    fn record_sighting(
        &mut self,
        server: &Observed,
        machine: &MachineId,
        requested: Moment,
        elected: Moment,
    ) -> Option<Verdict> {
        self.absences.remove(&server.id);
        let earlier = self.sightings.remove(&server.id).filter(|sighting| sighting.incarnation == server.incarnation);
        let known_since = server.first_response.unwrap_or(elected);
        if requested >= known_since + MAX_LIST_LAG {
            let machine = machine.clone();
            let sighting = Sighting { machine, incarnation: server.incarnation, requested, missing_since: None };
            self.sightings.insert(server.id.clone(), sighting);
        }
        let earlier = earlier.filter(|sighting| sighting.missing_since.is_some())?;
        Some(Verdict::Contradicted { machine: earlier.machine })
    }

    /// Records that a complete list does not name a backend server. Returns whether that proves its end, or shows that an
    /// earlier list was false.
    fn record_missing(
        &mut self,
        server: &Observed,
        index: &Index<'_>,
        is_of_this_fleet: bool,
        requested: Moment,
        now: Moment,
        elected: Moment,
    ) -> Option<Verdict> {
        let sighting = self.sightings.get_mut(&server.id).filter(|sighting| sighting.incarnation == server.incarnation);
        if sighting.as_ref().is_some_and(|sighting| requested <= sighting.requested) {
            return None;
        }
        let is_false =
            |sighting: &Sighting| sighting.missing_since.is_some_and(|at| server.answered_call_sent > Some(at));
        if let Some(machine) = sighting.as_ref().filter(|sighting| is_false(sighting)).map(|s| s.machine.clone()) {
            // Until a list names it again, no list proves anything about it.
            self.forget(&server.id);
            return Some(Verdict::Contradicted { machine });
        }
        let machine = sighting.map(|sighting| {
            sighting.missing_since.get_or_insert(now);
            sighting.machine.clone()
        });
        if server.first_response.is_none() && !server.has_runs {
            // It may have joined just now and not be listed yet.
            return None;
        }
        let failing_since = server.failing_since.filter(|since| requested >= *since + MIN_SILENCE)?;
        let proof = match &machine {
            // Rules 1 to 3 of docs/design/0019-departures.md.
            Some(machine) if index.machines.contains(machine) => Proof::MachineWithoutIt,
            Some(_) => Proof::MachineMissing,
            None if server.first_response.is_none() && requested >= elected + MAX_LIST_LAG => Proof::NeverListed,
            None => return None,
        };
        let is_proven = proof == Proof::MachineWithoutIt
            || is_of_this_fleet && self.count_absence(&server.id, failing_since) >= LISTS_FOR_MISSING_MACHINE;
        is_proven.then_some(Verdict::Ended { machine, proof })
    }

    /// Counts a list that lacks a backend server. Returns the number of such lists in a row since it stopped
    /// responding.
    fn count_absence(&mut self, id: &BackendServerId, failing_since: Moment) -> u32 {
        let absence = self.absences.entry(id.clone()).or_insert(Absence { failing_since, lists: 0 });
        if absence.failing_since != failing_since {
            *absence = Absence { failing_since, lists: 0 };
        }
        absence.lists += 1;
        absence.lists
    }
}
