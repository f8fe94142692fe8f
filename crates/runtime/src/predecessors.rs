//! Earlier schedulers that may still renew leases, and whether their terms have ended.
//!
//! A scheduler that the store does not confirm continues to renew leases for some seconds. So the runs on a backend
//! server that its successor does not reach count as ended only after that time and one lease. Most earlier schedulers,
//! however, have ended or know that they lost leadership: a box that confirms this, or has restarted since, renews
//! nothing, and only the lease itself has to expire.
//!
//! Each election records, in the transaction that wins it, the schedulers that were elected before and may still renew.
//! A successor has to find all of them to be able to ask all of them.

use std::{net::SocketAddr, sync::Arc};

use jobs::Fence;
use model::{BoxId, Duration, Moment, Revision};
use outside::{Committed, CoordinationStore, Item, Put, StoreError, Transaction};
use serde::{Deserialize, Serialize};

use crate::{
    active::Active,
    context::Context,
    keys,
    timers::{pause, with_timeout},
};

/// Interval between queries to a predecessor.
const QUERY_INTERVAL: Duration = Duration::from_millis(150);
/// Timeout of a query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a write.
const WRITE_TIMEOUT: Duration = Duration::from_millis(800);
/// Most terms that are recorded one by one. With more of them, the successor waits for the longest time that any of
/// them may continue.
const MAX_TERMS: usize = 8;

/// A term of an elected box. Its fencing token is the revision of the election, which is known only after the write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Term {
    #[serde(rename = "box")]
    box_id: BoxId,
    addr: SocketAddr,
    /// `None` for the newest term: its fencing token is the revision of the key that holds the record.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    fence: Option<u64>,
    /// Whether the scheduler renews leases without confirmation of the store only while the witnesses confirm it, each
    /// of them until it has responded to another scheduler. Earlier versions assume that each also counts once it has
    /// ended, so this is set by them only.
    #[serde(default)]
    witnessed: bool,
    /// The same, but witnesses that have ended may no longer count.
    #[serde(default)]
    confirmed_by_remaining: bool,
    /// Whether the scheduler renews no full lease on a backend server that the record of unreachable ones names
    /// provisionally. Earlier versions ignore such entries.
    #[serde(default)]
    obeys_provisional: bool,
}

impl Term {
    fn new(box_id: BoxId, addr: SocketAddr, fence: Option<Fence>) -> Term {
        let fence = fence.map(|fence| fence.0);
        Term { box_id, addr, fence, witnessed: false, confirmed_by_remaining: true, obeys_provisional: true }
    }

    fn depends_on_witnesses(&self) -> bool {
        self.witnessed || self.confirmed_by_remaining
    }
}

/// Record of the elected schedulers, as stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Terms {
    /// Terms, the newest first. The others may still renew leases, or may have done so when the newest was elected.
    terms: Vec<Term>,
    /// Whether there may be earlier terms that are not recorded.
    #[serde(default)]
    incomplete: bool,
}

/// Schedulers that may still renew leases: the boxes, their addresses and their fencing tokens.
pub(crate) type Predecessors = Vec<(BoxId, SocketAddr, Fence)>;

/// Earlier schedulers, as found at an election.
#[derive(Debug, Clone)]
pub(crate) struct EarlierTerms {
    /// Schedulers that may still renew leases; `None` if the record is incomplete.
    pub(crate) predecessors: Option<Predecessors>,
    /// Whether all of them are known and follow the rule about witnesses.
    pub(crate) witnessed: bool,
    /// Whether all of them are known and obey provisional entries in the record of unreachable backend servers.
    pub(crate) obey_provisional: bool,
}

/// The record of terms, as a candidate has read it.
#[derive(Debug, Clone)]
pub(crate) struct StoredTerms {
    terms: Terms,
    /// Revision of the stored record; 0 if there was none.
    revision: Revision,
}

/// Reads the record of earlier terms.
pub(crate) async fn read(store: &dyn CoordinationStore) -> Result<StoredTerms, StoreError> {
    Ok(StoredTerms::of(store.get(keys::TERMS.to_owned()).await?))
}

impl StoredTerms {
    fn of(item: Option<Item>) -> StoredTerms {
        let unknown = Terms { terms: Vec::new(), incomplete: true };
        let Some(item) = item else { return StoredTerms { terms: unknown, revision: Revision(0) } };
        let mut terms: Terms = serde_json::from_slice(&item.value).unwrap_or_else(|e| {
            log::error!("event=terms_unreadable key={} why={e}", item.key);
            unknown
        });
        if let Some(newest) = terms.terms.first_mut() {
            newest.fence.get_or_insert(item.revision.0);
        }
        StoredTerms { terms, revision: item.revision }
    }

    /// Returns the condition and the write with which a candidate adds itself to the record.
    pub(crate) fn add(&self, box_id: &BoxId, addr: SocketAddr) -> ((String, Revision), Put) {
        let mut terms = vec![Term::new(box_id.clone(), addr, None)];
        terms.extend(self.terms.terms.iter().cloned());
        let incomplete = self.terms.incomplete || terms.len() > MAX_TERMS;
        terms.truncate(MAX_TERMS);
        let value = serde_json::to_vec(&Terms { terms, incomplete }).expect("our own types always serialize");
        ((keys::TERMS.to_owned(), self.revision), Put { key: keys::TERMS.to_owned(), value, lease: None })
    }

    /// Returns the earlier schedulers. `newest_observed` is the newest fencing token that the box observed before its
    /// own election.
    pub(crate) fn earlier_terms(&self, newest_observed: Option<Fence>) -> EarlierTerms {
        let predecessors = self.predecessors(newest_observed);
        let witnessed = predecessors.is_some() && self.terms.terms.iter().all(Term::depends_on_witnesses);
        let obey_provisional = predecessors.is_some() && self.terms.terms.iter().all(|term| term.obeys_provisional);
        EarlierTerms { predecessors, witnessed, obey_provisional }
    }

    fn predecessors(&self, newest_observed: Option<Fence>) -> Option<Predecessors> {
        let newest_recorded = self.terms.terms.first().and_then(|term| term.fence);
        let is_complete =
            !self.terms.incomplete && newest_observed.is_none_or(|fence| Some(fence.0) <= newest_recorded);
        let predecessor = |term: &Term| Some((term.box_id.clone(), term.addr, Fence(term.fence?)));
        if is_complete { self.terms.terms.iter().map(predecessor).collect() } else { None }
    }
}

/// Asks all predecessors until their terms have ended, for at most `max_wait`: a scheduler elected after that waits for
/// longer leases than any of them still grants. Then removes them from the record, `kept_for` later: a scheduler that
/// finds the record without them relies on all entries that limit their leases.
pub(crate) async fn await_ended(
    cx: Context,
    active: Arc<Active>,
    own_box: (BoxId, SocketAddr),
    found: Option<Predecessors>,
    max_wait: Duration,
    kept_for: Duration,
) {
    let started = cx.view.clock().now();
    let all_ended = async {
        let Some(predecessors) = found else { return std::future::pending().await };
        let mut ended: Moment = Moment::ZERO;
        for (box_id, addr, fence) in &predecessors {
            ended = ended.max(await_term_end(&cx, box_id, *addr, *fence).await);
        }
        log::info!(
            "event=predecessors_ended fence={} terms={} after_ms={}",
            active.fence,
            predecessors.len(),
            cx.view.clock().now().since(started).millis()
        );
        active.update(|scheduler| scheduler.earlier_terms_ended(ended));
    };
    with_timeout(max_wait, all_ended).await;
    pause(kept_for).await;
    remove_predecessors(&cx, &active, own_box).await;
}

/// Asks a box until it no longer renews leases with a fencing token. Returns the latest time at which it may have done
/// so.
async fn await_term_end(cx: &Context, box_id: &BoxId, addr: SocketAddr, fence: Fence) -> Moment {
    loop {
        if let Some(since) = cx.peers.term_ended(addr, box_id, fence, QUERY_TIMEOUT).await {
            let now = cx.view.clock().now();
            return now - since;
        }
        pause(QUERY_INTERVAL).await;
    }
}

/// Reduces the stored record to the current term, after all earlier ones have ended.
async fn remove_predecessors(cx: &Context, active: &Active, (box_id, addr): (BoxId, SocketAddr)) {
    let terms = Terms { terms: vec![Term::new(box_id, addr, Some(active.fence))], incomplete: false };
    let value = serde_json::to_vec(&terms).expect("our own types always serialize");
    let put = Put { key: keys::TERMS.to_owned(), value, lease: None };
    let expect = vec![(keys::SCHEDULER.to_owned(), Revision(active.fence.0))];
    loop {
        let transaction = Transaction { expect: expect.clone(), put: vec![put.clone()], remove: Vec::new() };
        match cx.store.commit(transaction, WRITE_TIMEOUT).await {
            Ok(Committed::Done(_) | Committed::Conflict(_)) => return,
            Ok(Committed::LeaseGone) | Err(_) => pause(WRITE_TIMEOUT).await,
        }
    }
}
