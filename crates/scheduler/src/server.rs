//! What the scheduler knows of one backend server, for one life of it.
//!
//! One that starts anew has another id, or comes back under the same: then its incarnation tells its lives apart, and nothing that
//! was known of the earlier life holds for the next.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use derive_more::Display;
use jobs::{OccurrenceId, Resources, RunNumber, TaskId};
use model::{AvailabilityZoneId, Duration, Incarnation, Moment};

use crate::{health::Health, policy::ServiceId, speed::Speed};

/// A backend server that leaves is silent and unlisted within this of each other: 25 ms apart on the users' bench.
/// One that is cut off is unlisted three heartbeats after the last (users: 1.5 s each), so at least 3 s later, and the
/// call that it leaves unanswered is found out within 2.5 s.
const LEAVES_WITHIN: Duration = Duration::from_millis(300);

/// A backend server that answers is heard this often at least: an idle one answers after 2 s. Below the 3 s after
/// which one that is cut off can fall out of the list.
const HEARD_WITHIN: Duration = Duration::from_millis(2500);

/// Where one life of a backend server follows another: its address.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct ServerAddress(Arc<str>);

impl ServerAddress {
    /// The address.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for ServerAddress {
    fn from(text: &str) -> ServerAddress {
        ServerAddress(Arc::from(text))
    }
}

/// A backend server's account of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerInfo {
    /// The service that it runs.
    pub service: ServiceId,
    /// Where it is.
    pub availability_zone: AvailabilityZoneId,
    /// What stays when another life follows it.
    pub address: ServerAddress,
    /// Its rack; one of its labels.
    pub rack: Arc<str>,
    /// What it can be chosen by.
    pub labels: Vec<Arc<str>>,
    /// Its whole room.
    pub capacity: Resources,
    /// It is leaving and takes no new work.
    pub draining: bool,
    /// How long it stays at least, if it is leaving and says so.
    pub remaining: Option<Duration>,
    /// Which of its lives says this; `None` on a platform where each life has an id of its own.
    pub incarnation: Option<Incarnation>,
}

/// An end that must be stored before it may be acknowledged.
#[derive(Debug)]
pub(crate) struct PendingCompletion {
    pub(crate) serial: u64,
    /// The progress, and its version, that holds the end; `None` if nothing is to be stored.
    pub(crate) stored_with: Option<(OccurrenceId, u64)>,
}

/// A run that is listed but belongs to nothing that is wanted.
#[derive(Debug)]
pub(crate) struct OrphanedRun {
    pub(crate) run: RunNumber,
    pub(crate) need: Resources,
    pub(crate) stop_sent: Moment,
}

/// What tells a backend server that has left from one that is out of reach.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    /// When this scheduler last had an answer of it.
    pub(crate) last_response: Option<Moment>,
    /// When the first of the calls without an answer failed; `None` while it answers.
    pub(crate) failing_since: Option<Moment>,
    /// Nothing listened at its address in that time.
    pub(crate) refused: bool,
    /// When the platform ceased to list it; `None` while it does.
    pub(crate) unlisted_at: Option<Moment>,
}

/// A backend server.
#[derive(Debug)]
pub(crate) struct Server {
    /// `None` while only an earlier scheduler's placements tell of it.
    pub(crate) info: Option<ServerInfo>,
    /// The platform's list holds it.
    pub(crate) listed: bool,
    /// Which life was last heard; `None` before that, and on a platform where each life has an id of its own.
    pub(crate) incarnation: Option<Incarnation>,
    /// Taken by members that are placed here.
    pub(crate) used: Resources,
    /// Runs that are placed here.
    pub(crate) members: BTreeMap<TaskId, RunNumber>,
    pub(crate) orphaned_runs: BTreeMap<TaskId, OrphanedRun>,
    /// It has shown what it runs since this scheduler was elected.
    pub(crate) has_reported: bool,
    /// Calls that it left without answer since it last answered one.
    pub(crate) failed_calls: u32,
    pub(crate) contact: Contact,
    /// Every lease that it was given is over by then.
    pub(crate) lease_expiry: Moment,
    /// When this scheduler last gave it a whole lease.
    pub(crate) renewed_to: Option<Moment>,
    pub(crate) pending_completions: VecDeque<PendingCompletion>,
    /// Highest end that was looked at.
    pub(crate) highest_completion: u64,
    /// Highest end that may be acknowledged.
    pub(crate) acknowledged_serial: u64,
    /// The life that was last heard has said that it leaves.
    pub(crate) departing: bool,
    /// It is being emptied for upkeep.
    pub(crate) closed_for_maintenance: bool,
    /// Its availability zone is evacuated.
    pub(crate) evacuated: bool,
    /// It gets no new work before this, since it refused a start.
    pub(crate) not_before: Moment,
    pub(crate) health: Health,
    pub(crate) speed: Speed,
    /// The next plan looks at its room anew.
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
            lease_expiry,
            renewed_to: None,
            pending_completions: VecDeque::new(),
            highest_completion: 0,
            acknowledged_serial: 0,
            closed_for_maintenance: false,
            evacuated: false,
            not_before: Moment::ZERO,
            health: Health::default(),
            speed: Speed::default(),
            is_stale: false,
        }
    }

    /// Whether it answers this scheduler.
    pub(crate) fn is_reachable(&self) -> bool {
        self.has_reported && self.failed_calls == 0
    }

    /// Whether an end waits for an occurrence to be stored.
    pub(crate) fn awaits_write(&self, id: OccurrenceId) -> bool {
        self.pending_completions.iter().any(|end| end.stored_with.is_some_and(|(occurrence, _)| occurrence == id))
    }

    /// Room that is taken, also by what is being stopped.
    fn taken(&self) -> Resources {
        let mut taken = self.used;
        for orphaned_run in self.orphaned_runs.values() {
            taken.add(&orphaned_run.need);
        }
        taken
    }

    /// Room that is free now.
    pub(crate) fn free(&self) -> Resources {
        let Some(info) = &self.info else { return Resources::default() };
        let mut free = info.capacity;
        free.remove(&self.taken());
        free
    }

    /// Whether more is taken than there is: its capacity has shrunk. One that does not guard its capacity would start more all the same.
    pub(crate) fn is_over_capacity(&self) -> bool {
        self.info.as_ref().is_some_and(|info| !info.capacity.contains(&self.taken()))
    }

    /// Begins the next life under the same id, which was not heard yet: of the earlier one only what the platform tells remains.
    pub(crate) fn begin_incarnation(&mut self) {
        let info = self.info.take();
        *self = Server {
            listed: self.listed,
            departing: false,
            contact: Contact { unlisted_at: self.contact.unlisted_at, ..Contact::default() },
            closed_for_maintenance: self.closed_for_maintenance,
            evacuated: self.evacuated,
            is_stale: self.is_stale,
            ..Server::new(info, Moment::ZERO)
        };
    }

    /// A life is heard for the first time.
    pub(crate) fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = Some(incarnation);
        self.departing = self.info.as_ref().is_some_and(|info| info.draining) && self.is_as_listed();
    }

    /// Takes in what the platform lists of it. What another life than the one that was last heard says of leaving is no word of that one.
    pub(crate) fn update_info(&mut self, info: ServerInfo) {
        if may_be_same_incarnation(info.incarnation, self.incarnation) {
            self.departing = info.draining;
        }
        self.info = Some(info);
        self.listed = true;
        self.contact.unlisted_at = None;
    }

    /// Whether the life that answers is the one that the platform lists: another one may have other room and other labels.
    pub(crate) fn is_as_listed(&self) -> bool {
        self.info.as_ref().is_some_and(|info| may_be_same_incarnation(info.incarnation, self.incarnation))
    }

    /// Whether the life that was last heard has said that it leaves.
    pub(crate) fn announced(&self) -> bool {
        self.departing
    }

    /// Whether its process has ended as it had announced, and everything on it with that.
    ///
    /// A backend server that leaves takes its own entry out of the platform's list at the moment at which its
    /// connections close and its port refuses new ones. One that is cut off falls out of the list only after three
    /// heartbeats, long after the first call that it left unanswered, also if what cuts it refuses connections. A
    /// scheduler that has not heard it lately, since it is new or has stood still, cannot tell the two apart.
    pub(crate) fn has_departed(&self) -> bool {
        let Contact {
            last_response: Some(heard),
            failing_since: Some(silent),
            refused: true,
            unlisted_at: Some(unlisted),
        } = self.contact
        else {
            return false;
        };
        let heard_lately = silent.since(heard) < HEARD_WITHIN;
        let apart = silent.since(unlisted).max(unlisted.since(silent));
        self.announced() && heard_lately && !self.listed && apart < LEAVES_WITHIN
    }

    /// Whether time alone can change its room.
    pub(crate) fn changes_with_time(&self, now: Moment) -> bool {
        now < self.not_before || self.health.changes_with_time(now)
    }

    /// Whether it is in an availability zone, as far as it is known.
    pub(crate) fn is_in(&self, zone: &AvailabilityZoneId) -> bool {
        self.info.as_ref().is_some_and(|info| info.availability_zone == *zone)
    }
}

/// Whether two words of a backend server may be of one life: a platform that tells no incarnations has an id for each life.
fn may_be_same_incarnation(one: Option<Incarnation>, other: Option<Incarnation>) -> bool {
    one.zip(other).is_none_or(|(one, other)| one == other)
}
