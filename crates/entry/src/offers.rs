//! Offers of queues to the planner: each box sends its waiting jobs, the whole queue first and the changes
//! after that.

use std::collections::{BTreeMap, BTreeSet};

use lifecycle::Waiting;
use model::{BoxId, Incarnation, JobId, Member, Moment, NotRunReason};
use policy::Queued;

use crate::{EntryBox, PeerReply, PeerRequest, entry_box::Op};

/// Most jobs that one offer adds; the rest follows in later offers.
const MAX_JOBS_PER_OFFER: usize = 256;

/// A planner's copy of another box's queue.
pub(crate) struct ReceivedOffers {
    incarnation: Incarnation,
    seq: u64,
    /// When the last offer arrived; a box with a queue sends one at least every `offer_every`.
    pub(crate) last: Moment,
    pub(crate) jobs: BTreeMap<JobId, (Queued, Moment)>,
}

/// State of this box's offers to the planner.
#[derive(Default)]
pub(crate) struct OwnOffers {
    to: Option<BoxId>,
    seq: u64,
    need_full: bool,
    sent: BTreeSet<JobId>,
    in_flight_until: Option<Moment>,
    last: Option<Moment>,
    changed: bool,
}

/// Converts a waiting job to the form in which it is offered.
pub(crate) fn queued(waiting: Waiting) -> Queued {
    let spec = &waiting.spec;
    Queued {
        job: waiting.job,
        customer: spec.customer.clone(),
        class: spec.class.clone(),
        gang: spec.gang,
        declared: spec.declared,
        waited: waiting.waited,
        repeatable: spec.repeatable,
        checkpointable: spec.checkpointable,
        avoid: waiting.avoid,
    }
}

impl EntryBox {
    /// Makes the next offer contain the whole queue: the planner granted a job that isn't waiting, so its
    /// copy is out of date.
    pub(crate) fn request_full_offer(&mut self) {
        self.own_offers.need_full = true;
        self.own_offers.changed = true;
    }

    pub(crate) fn queue_changed(&mut self) {
        self.own_offers.changed = true;
        self.planning.mark_changed();
    }

    /// Offers the queue to the planner if that is another box, and the queue has changed or an offer is due.
    pub(crate) fn offer_queue(&mut self, now: Moment) {
        let planner = self.view.planner(now).clone();
        if self.own_offers.to.as_ref() != Some(&planner) {
            let seq = self.own_offers.seq;
            self.own_offers =
                OwnOffers { to: Some(planner.clone()), seq, need_full: true, changed: true, ..OwnOffers::default() };
        }
        if planner == self.id.box_id || self.own_offers.in_flight_until.is_some_and(|until| until > now) {
            return;
        }
        let due = self.own_offers.last.is_none_or(|at| now.since(at) >= self.limits.offer_every);
        if !self.own_offers.changed && !due {
            return;
        }
        let waiting: BTreeMap<JobId, Waiting> =
            self.jobs.waiting(now).into_iter().map(|w| (w.job.clone(), w)).collect();
        // A planner with a copy of this queue must be informed that it is empty now.
        if waiting.is_empty() && self.own_offers.sent.is_empty() && !self.own_offers.need_full {
            self.own_offers.changed = false;
            return;
        }
        self.send_offer(&planner, waiting, now);
    }

    fn send_offer(&mut self, planner: &BoxId, mut waiting: BTreeMap<JobId, Waiting>, now: Moment) {
        let full = self.own_offers.need_full;
        if full {
            self.own_offers.sent.clear();
        }
        let removed: Vec<JobId> =
            self.own_offers.sent.iter().filter(|job| !waiting.contains_key(*job)).cloned().collect();
        waiting.retain(|job, _| !self.own_offers.sent.contains(job));
        let mut fresh: Vec<Waiting> = waiting.into_values().collect();
        fresh.sort_by_key(|w| std::cmp::Reverse(w.waited));
        self.own_offers.changed = fresh.len() > MAX_JOBS_PER_OFFER;
        fresh.truncate(MAX_JOBS_PER_OFFER);
        for job in &removed {
            self.own_offers.sent.remove(job);
        }
        self.own_offers.sent.extend(fresh.iter().map(|w| w.job.clone()));
        self.own_offers.seq += 1;
        self.own_offers.need_full = false;
        self.own_offers.in_flight_until = Some(now + self.limits.call);
        self.own_offers.last = Some(now);
        let req = PeerRequest::Offer {
            from: self.id.box_id.clone(),
            incarnation: self.id.incarnation,
            seq: self.own_offers.seq,
            full,
            added: fresh.into_iter().map(queued).collect(),
            removed,
        };
        self.call_peer(Op::Offer, planner, req);
    }

    pub(crate) fn on_offer_reply(&mut self, peer: &BoxId, reply: Option<PeerReply>, _now: Moment) {
        if self.own_offers.to.as_ref() != Some(peer) {
            return;
        }
        self.own_offers.in_flight_until = None;
        if !matches!(reply, Some(PeerReply::Offered { need_full: false })) {
            self.own_offers.need_full = true;
            self.own_offers.changed = true;
        }
    }

    /// Handles another box's offer; returns whether the whole queue is needed.
    #[expect(clippy::too_many_arguments, reason = "they are the fields of one message")]
    pub(crate) fn on_offer(
        &mut self,
        from: BoxId,
        incarnation: Incarnation,
        seq: u64,
        full: bool,
        added: Vec<Queued>,
        removed: Vec<JobId>,
        now: Moment,
    ) -> bool {
        // A later offer has overtaken this one, whose contents are outdated.
        if self.received_offers.get(&from).is_some_and(|o| o.incarnation == incarnation && seq <= o.seq) {
            return false;
        }
        let fits = self.received_offers.get(&from).is_some_and(|o| o.incarnation == incarnation && o.seq + 1 == seq);
        if !full && !fits {
            return true;
        }
        let empty = || ReceivedOffers { incarnation, seq, last: now, jobs: BTreeMap::new() };
        let offered = self.received_offers.entry(from).or_insert_with(empty);
        if full {
            *offered = empty();
        }
        offered.seq = seq;
        offered.last = now;
        for job in &removed {
            offered.jobs.remove(job);
        }
        let any = !added.is_empty() || !removed.is_empty();
        for queued in added {
            let since = now - queued.waited;
            offered.jobs.insert(queued.job.clone(), (queued, since));
        }
        if any {
            self.planning.mark_changed();
        }
        false
    }

    /// Applies the planner's decisions about this box's jobs.
    pub(crate) fn on_grant(&mut self, starts: Vec<(JobId, Vec<Member>)>, refusals: Vec<(JobId, String)>, now: Moment) {
        for (job, members) in starts {
            self.jobs.grant(&job, members, now);
        }
        for (job, why) in refusals {
            self.jobs.refuse(&job, NotRunReason::CanNeverRun { why }, None, now);
        }
    }
}
