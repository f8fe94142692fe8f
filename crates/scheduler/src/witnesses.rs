//! Backend servers that witness who schedules, so that a scheduler may renew leases without a word of the store and
//! its successor knows when that has ended.
//!
//! A backend server refuses whoever has a lower fence than it has seen. The store holds a few of them as witnesses,
//! each in one life. Without a word of the store, a scheduler renews only while more than two thirds of them have
//! answered it lately, and gives shorter leases. One elected after it needs a third of them: once these have answered,
//! the earlier one can count no more than the rest, so its renewals end when its latest answers are too old.
//!
//! Two sets of witnesses prove nothing about each other. So a scheduler replaces those that it finds in the store only
//! once no earlier one can count on them any more, and while a write is in doubt, each set that the store may hold has
//! to vouch for it.

use std::collections::{BTreeMap, VecDeque};

use model::{AvailabilityZoneId, BackendServerId, Duration, Incarnation, Moment, Revision};
use serde::{Deserialize, Serialize};

use crate::{Scheduler, server::Server};

/// Most witnesses: what each costs in the store and in calls, against how much the loss of one weighs.
const MOST: usize = 30;
/// A new scheduler has heard by then what answers.
const FIRST_AFTER: Duration = Duration::from_millis(500);
/// From one choice of witnesses to the next.
const CHOSEN_EVERY: Duration = Duration::from_millis(2000);

/// Backend servers that witness who schedules, as the store holds them, each with its life.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessRecord {
    #[serde(rename = "lives")]
    incarnations: BTreeMap<BackendServerId, Option<Incarnation>>,
}

/// Witnesses that are to be stored.
#[derive(Debug, Clone)]
pub struct WitnessWrite {
    /// Who.
    pub record: WitnessRecord,
    /// The store's revision of those that they replace; 0 if there are none.
    pub replaces: Revision,
}

/// What a scheduler knows of witnesses.
#[derive(Debug, Default)]
pub(crate) struct Witnesses {
    /// Earlier schedulers may count on these; `None` if nothing follows from them.
    earlier: Option<WitnessRecord>,
    /// No earlier scheduler can count on what the store held at the election.
    settled: bool,
    /// Those that the store is known to have held last.
    held: Option<WitnessRecord>,
    /// Those that it may hold in their place.
    unconfirmed_writes: Vec<WitnessRecord>,
    revision: Revision,
    chosen_at: Option<Moment>,
    /// The life that answered last, and when the call was sent.
    answers: BTreeMap<BackendServerId, (Option<Incarnation>, Moment)>,
    /// When the latest of them came. Calls are answered side by side, so they are not taken in by their times.
    latest: Moment,
}

impl WitnessRecord {
    /// Whether more than two thirds of them fit: with a third of them elsewhere this cannot be.
    fn most(&self, fits: impl Fn(&BackendServerId, Option<Incarnation>) -> bool) -> bool {
        let fitting = self.incarnations.iter().filter(|(id, incarnation)| fits(id, **incarnation)).count();
        3 * fitting > 2 * self.incarnations.len()
    }
}

impl Witnesses {
    fn may_be_held(&self) -> impl Iterator<Item = &WitnessRecord> {
        self.held.iter().chain(&self.unconfirmed_writes)
    }

    /// Whether anything follows from an answer of a backend server.
    fn concern(&self, id: &BackendServerId) -> bool {
        self.earlier.iter().chain(self.may_be_held()).any(|record| record.incarnations.contains_key(id))
    }

    /// Whether each set that the store may hold vouches for this scheduler by answers to calls sent since then.
    fn vouch(&self, since: Moment) -> bool {
        let answered = |id: &BackendServerId, incarnation| {
            self.answers.get(id).is_some_and(|(answering, sent)| *answering == incarnation && *sent >= since)
        };
        self.held.is_some() && self.may_be_held().all(|record| record.most(answered))
    }

    /// Whether so many have answered this scheduler that no earlier one can count most of them.
    fn outvote_earlier(&self) -> bool {
        let unheard = |id: &BackendServerId, _| !self.answers.contains_key(id);
        self.earlier.as_ref().is_some_and(|record| !record.incarnations.is_empty() && !record.most(unheard))
    }
}

impl Scheduler {
    /// Takes over the witnesses that the store has held since this scheduler was elected; `None` if it holds none.
    /// `binding` tells whether every earlier scheduler that may renew leases still goes by them.
    pub fn restore_witnesses(&mut self, record: Option<WitnessRecord>, revision: Revision, binding: bool) {
        self.witnesses.settled = revision == Revision(0);
        if binding && revision == Revision(0) {
            // Without witnesses in the store nobody may go on.
            self.limit_earlier_leases(self.timing.lease_expiry(self.elected));
        }
        self.witnesses.earlier = record.clone().filter(|_| binding);
        self.witnesses.held = record;
        self.witnesses.revision = revision;
    }

    /// No earlier scheduler renews leases any more.
    pub(crate) fn resolve_witnesses(&mut self) {
        self.witnesses.settled = true;
    }

    /// A backend server has answered under this scheduler's fence, on a call sent at `sent`.
    pub(crate) fn record_witness_answer(
        &mut self,
        id: &BackendServerId,
        incarnation: Option<Incarnation>,
        sent: Moment,
        now: Moment,
    ) {
        if !self.witnesses.concern(id) {
            return;
        }
        self.witnesses.latest = self.witnesses.latest.max(now);
        let heard = self.witnesses.answers.entry(id.clone()).or_insert((incarnation, sent));
        *heard = if heard.0 == incarnation { (incarnation, heard.1.max(sent)) } else { (incarnation, sent) };
        if self.witnesses.outvote_earlier() {
            self.witnesses.earlier = None;
            self.witnesses.settled = true;
            let outvoted = self.witnesses.latest;
            log::info!(
                "event=earlier_outvoted fence={} after_ms={}",
                self.fence,
                outvoted.since(self.elected).millis()
            );
            self.limit_earlier_leases(self.timing.outvoted_lease_expiry(self.elected, outvoted));
        }
    }

    /// The lease that a renewal or a start may carry now, for a scheduler that the store has confirmed up to
    /// `confirmed`; `None` if it must carry none.
    pub fn lease_now(&self, confirmed: Moment, now: Moment) -> Option<Duration> {
        if now <= confirmed {
            return Some(self.timing.lease);
        }
        let in_time = now <= confirmed + self.timing.unconfirmed_renewal;
        let vouched = || self.witnesses.vouch(now - self.timing.witness_window);
        (in_time && vouched()).then(|| self.timing.lease.min(self.timing.unconfirmed_lease))
    }

    /// Whether a backend server is one of those that vouch for this scheduler.
    pub fn is_witness(&self, id: &BackendServerId) -> bool {
        self.witnesses.may_be_held().any(|record| record.incarnations.contains_key(id))
    }

    /// The witnesses that should be stored now, if others than the store holds. From here on the store may hold them.
    pub fn next_witness_write(&mut self, now: Moment) -> Option<WitnessWrite> {
        let over = now > self.elected + self.timing.unconfirmed_renewal;
        let early = now.since(self.elected) < FIRST_AFTER;
        let fresh = self.witnesses.chosen_at.is_some_and(|at| now.since(at) < CHOSEN_EVERY);
        if early || fresh || !(over || self.witnesses.settled) {
            return None;
        }
        self.witnesses.settled = true;
        self.witnesses.earlier = None;
        self.witnesses.chosen_at = Some(now);
        let record = self.choose_witnesses();
        if record.incarnations.is_empty() || self.witnesses_suffice(&record) {
            return None;
        }
        self.witnesses.unconfirmed_writes.push(record.clone());
        Some(WitnessWrite { record, replaces: self.witnesses.revision })
    }

    /// The store has taken witnesses, at `revision`: no other write that replaces the same can take effect.
    pub fn witnesses_stored(&mut self, write: WitnessWrite, revision: Revision) {
        self.witnesses_found(Some(write.record), revision);
    }

    /// The store holds these, and not those that were to be replaced: an earlier write of ours took effect after all.
    pub fn witnesses_found(&mut self, record: Option<WitnessRecord>, revision: Revision) {
        self.witnesses.held = record;
        self.witnesses.unconfirmed_writes.clear();
        self.witnesses.revision = revision;
    }

    /// Backend servers that answer, of each availability zone in turn.
    fn choose_witnesses(&self) -> WitnessRecord {
        let mut zones: BTreeMap<&AvailabilityZoneId, VecDeque<(&BackendServerId, &Server)>> = BTreeMap::new();
        for (id, server) in self.servers.iter().filter(|(_, server)| may_witness(server)) {
            if let Some(info) = &server.info {
                zones.entry(&info.availability_zone).or_default().push_back((id, server));
            }
        }
        let mut incarnations = BTreeMap::new();
        while incarnations.len() < MOST && zones.values().any(|left| !left.is_empty()) {
            let next = zones.values_mut().filter_map(VecDeque::pop_front).take(MOST - incarnations.len());
            incarnations.extend(next.map(|(id, server)| (id.clone(), server.incarnation)));
        }
        WitnessRecord { incarnations }
    }

    /// Whether those in the store are as good as a new choice: nearly all of them answer, and they are about as many.
    fn witnesses_suffice(&self, new: &WitnessRecord) -> bool {
        let Some(held) = self.witnesses.held.as_ref().filter(|_| self.witnesses.unconfirmed_writes.is_empty()) else {
            return false;
        };
        let good = |(id, incarnation): &(&BackendServerId, &Option<Incarnation>)| {
            self.servers.get(*id).is_some_and(|server| may_witness(server) && server.incarnation == **incarnation)
        };
        let good = held.incarnations.iter().filter(good).count();
        5 * good >= 4 * held.incarnations.len() && 4 * held.incarnations.len() >= 3 * new.incarnations.len()
    }
}

fn may_witness(server: &Server) -> bool {
    server.is_reachable() && server.listed && !server.announced()
}
