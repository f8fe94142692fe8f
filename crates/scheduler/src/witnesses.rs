//! Witnesses: backend servers that confirm which scheduler is active. With them a scheduler may renew leases while
//! the store does not respond, and its successor knows when these renewals have ended.
//!
//! A backend server refuses every scheduler with a lower fencing token than the highest that it has seen. The store
//! names a few backend servers as witnesses, each in one incarnation. Without a response from the store, a scheduler
//! renews leases only while more than two thirds of the witnesses have responded to it recently, and grants shorter
//! ones. A scheduler elected after it needs responses from a third of them: from then on the earlier one can count
//! only the rest, so its renewals end when its latest responses are too old.
//!
//! A witness that has ended can confirm no one. It no longer counts if it confirmed the scheduler until it ended: more
//! than two thirds of the others suffice. It may have responded to a later scheduler in between. So that one relies on
//! a response only once the same incarnation has responded again so much later that no earlier scheduler can find it
//! ended in time, and needs a third of those that it has not found ended itself.
//!
//! Two different sets of witnesses prove nothing about each other. So a scheduler replaces the set that it finds in
//! the store only once no earlier scheduler can rely on that set, and while the outcome of a write is unknown, each
//! set that the store may hold has to confirm the scheduler.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use model::{AvailabilityZoneId, BackendServerId, Duration, Incarnation, Moment, Revision};
use serde::{Deserialize, Serialize};

use crate::{Scheduler, server::Server};

/// Most witnesses of a set. More cost more in the store and in calls; with fewer, the loss of one weighs more.
const MAX_WITNESSES: usize = 30;
/// Time after the election before the first choice. By then the reachable backend servers have responded.
const FIRST_CHOICE_DELAY: Duration = Duration::from_millis(500);
/// The same while earlier schedulers may rely on the witnesses in the store. The next scheduler can determine from those
/// when all earlier ones have ended, and could not from others.
const UNRESOLVED_CHOICE_DELAY: Duration = Duration::from_millis(3000);
/// Shortest time between two choices of witnesses.
const CHOICE_INTERVAL: Duration = Duration::from_millis(2000);

/// Record of the witnesses in the store, each with its incarnation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessRecord {
    #[serde(rename = "lives")]
    incarnations: BTreeMap<BackendServerId, Option<Incarnation>>,
    /// How long leases of schedulers before the writer may last if they do not depend on these witnesses, in
    /// milliseconds from the write, so that no two clocks are compared; 0 if there are none.
    #[serde(default, skip_serializing_if = "is_zero")]
    earlier_leases_ms: u64,
}

fn is_zero(ms: &u64) -> bool {
    *ms == 0
}

/// What a witness has shown a new scheduler of the earlier ones that may rely on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Vote {
    /// It first responded at that time. It may have ended since, and an earlier scheduler may know that.
    Responded(Moment),
    /// It first responded at that time, and later again: no earlier scheduler counts it from that time on.
    Final(Moment),
    /// It was found at that time that it has ended.
    Ended(Moment),
}

impl Vote {
    /// Returns the time from which on no earlier scheduler counts the witness as confirming; `None` if it may.
    fn binding_since(self) -> Option<Moment> {
        match self {
            Vote::Responded(_) => None,
            Vote::Final(at) | Vote::Ended(at) => Some(at),
        }
    }
}

/// Write of the witnesses to the store.
#[derive(Debug, Clone)]
pub struct WitnessWrite {
    /// Witnesses to store.
    pub record: WitnessRecord,
    /// Revision in the store that the write replaces; 0 if there is none.
    pub replaces: Revision,
}

/// State that a scheduler keeps of witnesses.
#[derive(Debug, Default)]
pub(crate) struct Witnesses {
    /// Witnesses that earlier schedulers may rely on; `None` if nothing can be concluded from them.
    earlier: Option<WitnessRecord>,
    /// Whether the witnesses that the store held at the election may be replaced.
    earlier_resolved: bool,
    /// What the witnesses of earlier schedulers have shown.
    votes: BTreeMap<BackendServerId, Vote>,
    /// When leases of schedulers that do not depend on these witnesses have expired, by the stored record.
    uncovered_lease_expiry: Moment,
    /// Witnesses that the store is known to have held last.
    stored: Option<WitnessRecord>,
    /// Witnesses of writes with unknown outcome, which the store may hold instead.
    unconfirmed_writes: Vec<WitnessRecord>,
    revision: Revision,
    chosen_at: Option<Moment>,
    /// Incarnation that responded last, and when the call was sent, by backend server.
    responses: BTreeMap<BackendServerId, (Option<Incarnation>, Moment)>,
    /// Incarnations that have ended and confirmed this scheduler until then.
    ended: BTreeSet<(BackendServerId, Option<Incarnation>)>,
}

impl WitnessRecord {
    fn count(&self, fits: impl Fn(&BackendServerId, Option<Incarnation>) -> bool) -> usize {
        self.incarnations.iter().filter(|(id, incarnation)| fits(id, **incarnation)).count()
    }
}

/// Whether `part` is more than two thirds of `whole`, which is impossible if another third responds to another
/// scheduler.
fn is_most(part: usize, whole: usize) -> bool {
    3 * part > 2 * whole
}

impl Witnesses {
    fn possibly_stored(&self) -> impl Iterator<Item = &WitnessRecord> {
        self.stored.iter().chain(&self.unconfirmed_writes)
    }

    /// Whether a response of a backend server matters.
    fn is_relevant(&self, id: &BackendServerId) -> bool {
        self.earlier.iter().chain(self.possibly_stored()).any(|record| record.incarnations.contains_key(id))
    }

    /// Whether a witness has ended and need not confirm this scheduler any more.
    fn has_ended(&self, id: &BackendServerId, incarnation: Option<Incarnation>) -> bool {
        self.ended.contains(&(id.clone(), incarnation))
    }

    /// Returns how many witnesses of a set count: all but those that have ended.
    fn remaining(&self, record: &WitnessRecord) -> usize {
        record.count(|id, incarnation| !self.has_ended(id, incarnation))
    }

    /// Whether each set that the store may hold confirms this scheduler, by responses to calls sent since `since`.
    fn have_confirmed_since(&self, since: Moment) -> bool {
        let has_responded = |id: &BackendServerId, incarnation| {
            let in_time = |(answering, sent): &(_, Moment)| *answering == incarnation && *sent >= since;
            self.responses.get(id).is_some_and(in_time) && !self.has_ended(id, incarnation)
        };
        let confirms = |record: &WitnessRecord| is_most(record.count(has_responded), self.remaining(record));
        self.stored.is_some() && self.possibly_stored().all(confirms)
    }

    /// Whether a set that the store may hold would no longer confirm this scheduler without one of its witnesses.
    fn need_each(&self) -> bool {
        self.possibly_stored().any(|record| {
            let remaining = self.remaining(record);
            !is_most(remaining.saturating_sub(1), remaining)
        })
    }

    /// Records what a response shows of the schedulers that may rely on the witnesses found at the election.
    fn record_vote(
        &mut self,
        id: &BackendServerId,
        incarnation: Option<Incarnation>,
        sent: Moment,
        now: Moment,
        final_after: Duration,
    ) {
        let Some(witness) = self.earlier.as_ref().and_then(|record| record.incarnations.get(id)) else { return };
        let is_witness = *witness == incarnation;
        let vote = match self.votes.get(id) {
            Some(vote @ (Vote::Final(_) | Vote::Ended(_))) => *vote,
            _ if !is_witness => Vote::Ended(now),
            Some(Vote::Responded(first)) if sent >= *first + final_after => Vote::Final(*first),
            Some(vote @ Vote::Responded(_)) => *vote,
            None => Vote::Responded(now),
        };
        self.votes.insert(id.clone(), vote);
    }

    /// Whether a third of the earlier witnesses have responded, in whichever incarnation.
    fn have_third_of_earlier(&self) -> bool {
        self.earlier.as_ref().is_some_and(|record| {
            let all = record.incarnations.len();
            all > 0 && !is_most(all - self.votes.len(), all)
        })
    }

    /// Returns since when no earlier scheduler can count two thirds of the witnesses that have not ended; `None` if one
    /// may. Calls run concurrently, so votes are not recorded in the order of their times.
    fn outvoted_since(&self) -> Option<Moment> {
        let record = self.earlier.as_ref().filter(|record| !record.incarnations.is_empty())?;
        let ended = self.votes.values().filter(|vote| matches!(vote, Vote::Ended(_))).count();
        let bound = self.votes.values().filter(|vote| matches!(vote, Vote::Final(_))).count();
        let remaining = record.incarnations.len() - ended;
        let is_outvoted = !is_most(remaining - bound, remaining);
        is_outvoted.then(|| self.votes.values().filter_map(|vote| vote.binding_since()).max()).flatten()
    }
}

impl Scheduler {
    /// Restores the witnesses that the store has held since this scheduler was elected; `None` if it holds none.
    /// `binding` tells whether every earlier scheduler that may still renew leases depends on them.
    pub fn restore_witnesses(&mut self, record: Option<WitnessRecord>, revision: Revision, binding: bool) {
        self.witnesses.earlier_resolved = revision == Revision(0);
        if binding && revision == Revision(0) {
            // Without witnesses in the store no earlier scheduler may continue.
            self.limit_earlier_leases(self.timing.lease_expiry(self.elected));
        }
        let uncovered = record.as_ref().map_or(0, |record| record.earlier_leases_ms);
        self.witnesses.uncovered_lease_expiry = self.elected + Duration::from_millis(uncovered);
        self.witnesses.earlier = record.clone().filter(|_| binding);
        self.witnesses.stored = record;
        self.witnesses.revision = revision;
    }

    /// Records that no earlier scheduler renews leases any more.
    pub(crate) fn resolve_witnesses(&mut self) {
        self.witnesses.earlier_resolved = true;
        self.witnesses.earlier = None;
    }

    /// Records the response of a backend server that has accepted this scheduler's fencing token, to a call sent at
    /// `sent`.
    pub(crate) fn record_witness_answer(
        &mut self,
        id: &BackendServerId,
        incarnation: Option<Incarnation>,
        sent: Moment,
        now: Moment,
    ) {
        if !self.witnesses.is_relevant(id) {
            return;
        }
        let response = self.witnesses.responses.entry(id.clone()).or_insert((incarnation, sent));
        *response = if response.0 == incarnation { (incarnation, response.1.max(sent)) } else { (incarnation, sent) };
        self.witnesses.record_vote(id, incarnation, sent, now, self.timing.vote_final_after());
        self.witnesses.earlier_resolved |= self.witnesses.have_third_of_earlier();
        if let Some(outvoted) = self.witnesses.outvoted_since() {
            self.witnesses.earlier = None;
            log::info!(
                "event=earlier_outvoted fence={} after_ms={}",
                self.fence,
                outvoted.since(self.elected).millis()
            );
            let expiry = self.timing.outvoted_lease_expiry(self.elected, outvoted);
            let uncovered = self.witnesses.uncovered_lease_expiry;
            self.limit_earlier_leases(expiry.max(uncovered));
            self.limit_provisional_leases(
                self.timing.short_lease_expiry(outvoted + self.timing.witness_window).max(uncovered),
            );
        }
    }

    /// Records that the latest known incarnation of a backend server has ended. If it is a witness that confirmed this
    /// scheduler until recently, the others suffice from now on.
    pub(crate) fn record_witness_end(&mut self, id: &BackendServerId, now: Moment) {
        if !self.is_witness(id) {
            return;
        }
        let Some((incarnation, sent)) = self.witnesses.responses.get(id) else { return };
        let silent = now.since(*sent);
        let counts = silent < self.timing.witness_end_window();
        log::info!("server={id} event=witness_ended silent_ms={} others_suffice={counts}", silent.millis());
        if counts {
            self.witnesses.ended.insert((id.clone(), *incarnation));
        }
    }

    /// Whether the store is known to hold witnesses, so that this scheduler may renew leases without its confirmation.
    pub(crate) fn has_stored_witnesses(&self) -> bool {
        self.witnesses.stored.is_some()
    }

    /// Whether renewals without the store would end with the loss of one witness.
    pub fn needs_each_witness(&self) -> bool {
        self.witnesses.need_each()
    }

    /// Returns from when on a call to a backend server shows that no earlier scheduler counts it as a witness; `None`
    /// if no such call is needed.
    pub fn vote_due(&self, id: &BackendServerId) -> Option<Moment> {
        let Some(Vote::Responded(first)) = self.witnesses.votes.get(id) else { return None };
        self.witnesses.earlier.is_some().then(|| *first + self.timing.vote_final_after())
    }

    /// Returns the lease that a renewal or a start may grant now, if the store last confirmed the election up to
    /// `confirmed`; `None` if none may be granted.
    pub fn lease_now(&self, confirmed: Moment, now: Moment) -> Option<Duration> {
        if now <= confirmed {
            return Some(self.timing.lease);
        }
        let limit = if self.has_runs() { self.timing.unconfirmed_limit() } else { self.timing.unconfirmed_renewal };
        let in_time = now <= confirmed + limit;
        let confirmed_by_witnesses = || self.witnesses.have_confirmed_since(now - self.timing.witness_window);
        (in_time && confirmed_by_witnesses()).then(|| self.timing.short_lease())
    }

    /// Whether anything may run that leases have to be renewed for.
    fn has_runs(&self) -> bool {
        self.servers.values().any(|server| !server.members.is_empty())
    }

    /// Whether a backend server is one of this scheduler's witnesses.
    pub fn is_witness(&self, id: &BackendServerId) -> bool {
        self.witnesses.possibly_stored().any(|record| record.incarnations.contains_key(id))
    }

    /// Returns the witnesses to store now, if the set in the store is to be replaced. From here on the store may hold
    /// them.
    pub fn next_witness_write(&mut self, now: Moment) -> Option<WitnessWrite> {
        // A scheduler elected after that waits for longer leases than any earlier one still grants.
        let earlier_expired = now > self.elected + self.timing.unconfirmed_renewal;
        let is_unresolved = self.witnesses.earlier.is_some();
        let delay = if is_unresolved { UNRESOLVED_CHOICE_DELAY } else { FIRST_CHOICE_DELAY };
        let too_early = now.since(self.elected) < delay;
        let is_recent = self.witnesses.chosen_at.is_some_and(|at| now.since(at) < CHOICE_INTERVAL);
        if too_early || is_recent || !(earlier_expired || self.witnesses.earlier_resolved) {
            return None;
        }
        self.witnesses.earlier_resolved = true;
        self.witnesses.chosen_at = Some(now);
        let uncovered = if earlier_expired { Duration::ZERO } else { self.uncovered_leases(now) };
        let record = WitnessRecord { earlier_leases_ms: uncovered.millis(), ..self.choose_witnesses() };
        if record.incarnations.is_empty() || self.witnesses_suffice(&record) {
            return None;
        }
        self.count_earlier_responses(&record);
        self.witnesses.unconfirmed_writes.push(record.clone());
        Some(WitnessWrite { record, replaces: self.witnesses.revision })
    }

    /// Counts the latest responses of new witnesses from before they were chosen: an idle one may not respond again for
    /// seconds.
    fn count_earlier_responses(&mut self, record: &WitnessRecord) {
        for (id, incarnation) in &record.incarnations {
            if let Some(sent) = self.servers.get(id).and_then(|server| server.answered_call_sent) {
                self.witnesses.responses.entry(id.clone()).or_insert((*incarnation, sent));
            }
        }
    }

    /// Returns for how long leases of earlier schedulers that do not depend on new witnesses may last.
    fn uncovered_leases(&self, now: Moment) -> Duration {
        let of_predecessors = self.witnesses.earlier.as_ref().map_or(Moment::ZERO, |_| self.earlier_lease_expiry);
        of_predecessors.max(self.witnesses.uncovered_lease_expiry).since(now)
    }

    /// Handles witnesses that were stored at `revision`: no other write that replaces the same revision can take
    /// effect.
    pub fn witnesses_stored(&mut self, write: WitnessWrite, revision: Revision) {
        self.witnesses_found(Some(write.record), revision);
    }

    /// Handles a conflict: the store holds these witnesses and not those to be replaced, since an earlier write of
    /// this scheduler took effect after all.
    pub fn witnesses_found(&mut self, record: Option<WitnessRecord>, revision: Revision) {
        self.witnesses.stored = record;
        self.witnesses.unconfirmed_writes.clear();
        self.witnesses.revision = revision;
        let record = &self.witnesses.stored;
        let is_witness = |(id, _): &(BackendServerId, Option<Incarnation>)| {
            record.as_ref().is_some_and(|record| record.incarnations.contains_key(id))
        };
        self.witnesses.ended.retain(is_witness);
    }

    /// Chooses responsive backend servers, from each availability zone in turn.
    fn choose_witnesses(&self) -> WitnessRecord {
        let mut zones: BTreeMap<&AvailabilityZoneId, VecDeque<(&BackendServerId, &Server)>> = BTreeMap::new();
        for (id, server) in self.servers.iter().filter(|(_, server)| can_be_witness(server)) {
            if let Some(info) = &server.info {
                zones.entry(&info.availability_zone).or_default().push_back((id, server));
            }
        }
        let mut incarnations = BTreeMap::new();
        while incarnations.len() < MAX_WITNESSES && zones.values().any(|left| !left.is_empty()) {
            let next = zones.values_mut().filter_map(VecDeque::pop_front).take(MAX_WITNESSES - incarnations.len());
            incarnations.extend(next.map(|(id, server)| (id.clone(), server.incarnation)));
        }
        WitnessRecord { incarnations, ..WitnessRecord::default() }
    }

    /// Whether the set in the store is as good as a new one: at least four fifths of it are responsive in their
    /// incarnations, it has at least three quarters of the new size, and the next scheduler has to wait no longer with it.
    fn witnesses_suffice(&self, new: &WitnessRecord) -> bool {
        let Some(stored) = self.witnesses.stored.as_ref().filter(|_| self.witnesses.unconfirmed_writes.is_empty())
        else {
            return false;
        };
        let is_usable = |(id, incarnation): &(&BackendServerId, &Option<Incarnation>)| {
            self.servers.get(*id).is_some_and(|server| can_be_witness(server) && server.incarnation == **incarnation)
        };
        let usable = stored.incarnations.iter().filter(is_usable).count();
        let waits_no_longer = stored.earlier_leases_ms == 0 || new.earlier_leases_ms > 0;
        let is_large_enough = 4 * stored.incarnations.len() >= 3 * new.incarnations.len();
        5 * usable >= 4 * stored.incarnations.len() && is_large_enough && waits_no_longer
    }
}

fn can_be_witness(server: &Server) -> bool {
    server.is_reachable() && server.listed && !server.has_announced_departure()
}
