//! State that the scheduler keeps of one backend server, for one incarnation of it.
//!
//! A backend server that restarts has another id, or keeps its id and has another incarnation. Nothing that was known
//! of the earlier incarnation applies to the next.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use derive_more::Display;
use jobs::{OccurrenceId, Resources, RunNumber, ServiceId, TaskId};
use model::{AvailabilityZoneId, Duration, Incarnation, Moment};

use crate::{
    completions::Unreadable,
    departures::{RemovedBy, ServerClock},
    health::Health,
    speed::Speed,
};

/// Address of a backend server, at which one incarnation follows another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct ServerAddress(Arc<str>);

impl ServerAddress {
    /// Returns the address as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for ServerAddress {
    fn from(text: &str) -> ServerAddress {
        ServerAddress(Arc::from(text))
    }
}

/// Description that a backend server gives of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerInfo {
    /// Service that the backend server runs.
    pub service: ServiceId,
    /// Availability zone that it is in.
    pub availability_zone: AvailabilityZoneId,
    /// Address that it listens on; the next incarnation has the same.
    pub address: ServerAddress,
    /// Rack that it is in; also one of its labels.
    pub rack: Arc<str>,
    /// Labels that constraints of jobs can select it by.
    pub labels: Vec<Arc<str>>,
    /// Total capacity.
    pub capacity: Resources,
    /// Whether it is draining and takes no new work.
    pub draining: bool,
    /// Shortest time for which it stays, if it is draining and reports that.
    pub remaining: Option<Duration>,
    /// Incarnation that gives this description; `None` on a platform where each incarnation has an id of its own.
    pub incarnation: Option<Incarnation>,
}

/// Completion that must be stored before it may be acknowledged.
#[derive(Debug)]
pub(crate) struct PendingCompletion {
    pub(crate) serial: u64,
    /// Occurrence and version of its progress that include the completion; `None` if nothing needs to be stored.
    pub(crate) stored_with: Option<(OccurrenceId, u64)>,
}

/// Orphaned run: listed by a backend server, but not placed there by the scheduler.
#[derive(Debug)]
pub(crate) struct OrphanedRun {
    pub(crate) run: RunNumber,
    pub(crate) resources: Resources,
    /// When it was first listed.
    pub(crate) since: Moment,
    pub(crate) stop_sent: Moment,
}

/// Signs by which a backend server that has shut down is told apart from one that is unreachable.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    /// When this incarnation first responded to this scheduler.
    pub(crate) first_response: Option<Moment>,
    /// When it last responded to this scheduler.
    pub(crate) last_response: Option<Moment>,
    /// When the first call since its last response failed; `None` while it responds.
    pub(crate) failing_since: Option<Moment>,
    /// Whether its address has refused a connection since `failing_since`.
    pub(crate) refused: bool,
    /// Who removed its entry from the platform's list; `None` while it is listed.
    pub(crate) removed_by: Option<RemovedBy>,
}

/// Backend server as the scheduler tracks it.
#[derive(Debug)]
pub(crate) struct Server {
    /// Description; `None` while it is known only from an earlier scheduler's placements.
    pub(crate) info: Option<ServerInfo>,
    /// Whether the platform lists it.
    pub(crate) listed: bool,
    /// Incarnation that last responded; `None` before the first response, and on a platform where each incarnation
    /// has an id of its own.
    pub(crate) incarnation: Option<Incarnation>,
    /// Capacity taken by the members placed here.
    pub(crate) used: Resources,
    /// Runs placed here.
    pub(crate) members: BTreeMap<TaskId, RunNumber>,
    pub(crate) orphaned_runs: BTreeMap<TaskId, OrphanedRun>,
    /// Whether it has reported what it runs since this scheduler was elected.
    pub(crate) has_reported: bool,
    /// Failed calls since its last response.
    pub(crate) failed_calls: u32,
    pub(crate) contact: Contact,
    /// When the latest call that this incarnation answered was sent; `None` before the first.
    pub(crate) answered_call_sent: Option<Moment>,
    /// Latest reading of the clock of this incarnation; `None` before the first.
    pub(crate) clock: Option<ServerClock>,
    /// Time by which every lease that it was given has expired.
    pub(crate) lease_expiry: Moment,
    /// End of the latest lease that this scheduler gave it, on the scheduler's clock.
    pub(crate) lease_granted_until: Option<Moment>,
    pub(crate) pending_completions: VecDeque<PendingCompletion>,
    /// Highest serial number of the completions received.
    pub(crate) highest_completion: u64,
    /// Highest serial number that may be acknowledged.
    pub(crate) acknowledged_serial: u64,
    /// What of its latest listing could not be read.
    pub(crate) unreadable: Option<Unreadable>,
    /// Whether the incarnation that last responded has announced its departure.
    pub(crate) departing: bool,
    /// Whether it is being drained for maintenance.
    pub(crate) closed_for_maintenance: bool,
    /// Whether its availability zone is being evacuated.
    pub(crate) evacuated: bool,
    /// Time before which it gets no new work, since it refused a start.
    pub(crate) no_starts_before: Moment,
    pub(crate) health: Health,
    pub(crate) speed: Speed,
    /// Whether the next plan evaluates its free capacity again.
    pub(crate) is_stale: bool,
}

impl Server {
    pub(crate) fn new(info: Option<ServerInfo>, lease_expiry: Moment) -> Server {
        Server {
            departing: info.as_ref().is_some_and(|info| info.draining),
            listed: info.is_some(),
            incarnation: None,
            info,
            used: Resources::default(),
            members: BTreeMap::new(),
            orphaned_runs: BTreeMap::new(),
            has_reported: false,
            failed_calls: 0,
            contact: Contact::default(),
            answered_call_sent: None,
            clock: None,
            lease_expiry,
            lease_granted_until: None,
            pending_completions: VecDeque::new(),
            highest_completion: 0,
            acknowledged_serial: 0,
            unreadable: None,
            closed_for_maintenance: false,
            evacuated: false,
            no_starts_before: Moment::ZERO,
            health: Health::default(),
            speed: Speed::default(),
            is_stale: false,
        }
    }

    /// Whether it responds to this scheduler.
    pub(crate) fn is_reachable(&self) -> bool {
        self.has_reported && self.failed_calls == 0
    }

    /// Whether a completion with this serial number may be acknowledged, as far as its latest listing shows: none from
    /// the first on that could not be read.
    pub(crate) fn may_acknowledge(&self, serial: u64) -> bool {
        let up_to = self.unreadable.and_then(|unreadable| unreadable.acknowledge_up_to);
        up_to.is_none_or(|up_to| serial <= up_to)
    }

    /// Whether a completion can be acknowledged only after an occurrence is stored.
    pub(crate) fn awaits_write(&self, id: OccurrenceId) -> bool {
        self.pending_completions
            .iter()
            .any(|completion| completion.stored_with.is_some_and(|(occurrence, _)| occurrence == id))
    }

    /// Returns the capacity that is taken, including by orphaned runs that are being stopped.
    fn allocated(&self) -> Resources {
        let mut allocated = self.used;
        for orphaned_run in self.orphaned_runs.values() {
            allocated.add(&orphaned_run.resources);
        }
        allocated
    }

    /// Returns the capacity that is free now.
    pub(crate) fn free(&self) -> Resources {
        let Some(info) = &self.info else { return Resources::default() };
        let mut free = info.capacity;
        free.remove(&self.allocated());
        free
    }

    /// Whether more capacity is taken than there is, since its capacity has shrunk. A backend server that does not
    /// enforce its capacity would accept further starts all the same.
    pub(crate) fn is_over_capacity(&self) -> bool {
        self.info.as_ref().is_some_and(|info| !info.capacity.contains(&self.allocated()))
    }

    /// Starts the next incarnation under the same id, before its first response: of the earlier one, only what the
    /// platform and operators have set is kept.
    pub(crate) fn begin_incarnation(&mut self) {
        let info = self.info.take();
        *self = Server {
            listed: self.listed,
            departing: false,
            // Whoever responds now has not removed the entry.
            contact: Contact { removed_by: self.contact.removed_by.map(|_| RemovedBy::Unknown), ..Contact::default() },
            closed_for_maintenance: self.closed_for_maintenance,
            evacuated: self.evacuated,
            is_stale: self.is_stale,
            ..Server::new(info, Moment::ZERO)
        };
    }

    /// Sets the incarnation on its first response.
    pub(crate) fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = Some(incarnation);
        self.departing = self.info.as_ref().is_some_and(|info| info.draining) && self.is_as_listed();
    }

    /// Applies the description that the platform lists. A drain announced by an incarnation other than the one that
    /// last responded is not taken for that one's.
    pub(crate) fn update_info(&mut self, info: ServerInfo) {
        if may_be_same_incarnation(info.incarnation, self.incarnation) {
            self.departing = info.draining;
        }
        self.info = Some(info);
        self.listed = true;
        self.contact.removed_by = None;
    }

    /// Whether the incarnation that responds is the one that the platform lists; another one may have a different
    /// capacity and different labels.
    pub(crate) fn is_as_listed(&self) -> bool {
        self.info.as_ref().is_some_and(|info| may_be_same_incarnation(info.incarnation, self.incarnation))
    }

    /// Whether the incarnation that last responded has announced its departure.
    pub(crate) fn has_announced_departure(&self) -> bool {
        self.departing
    }

    /// Whether its process has exited as it had announced, which ends all its runs.
    ///
    /// A refused connection and a missing entry prove nothing, not even together: an outage of the store and a partition
    /// bring about the same. The exit is proven by the backend server having removed its entry itself; the refusal is an
    /// additional check.
    pub(crate) fn has_departed(&self) -> bool {
        let removed_by_itself = self.contact.removed_by == Some(RemovedBy::Server);
        self.has_announced_departure() && removed_by_itself && !self.listed && self.contact.refused
    }

    /// Whether its free capacity can change with time alone.
    pub(crate) fn changes_with_time(&self, now: Moment) -> bool {
        now < self.no_starts_before || self.health.changes_with_time(now)
    }

    /// Whether it is known to be in an availability zone.
    pub(crate) fn is_in(&self, zone: &AvailabilityZoneId) -> bool {
        self.info.as_ref().is_some_and(|info| info.availability_zone == *zone)
    }
}

/// Whether two reports of a backend server may come from the same incarnation. A platform that reports no
/// incarnations gives each an id of its own, so they do if either is unknown.
pub(crate) fn may_be_same_incarnation(one: Option<Incarnation>, other: Option<Incarnation>) -> bool {
    one.zip(other).is_none_or(|(one, other)| one == other)
}
