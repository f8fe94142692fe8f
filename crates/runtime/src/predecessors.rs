//! Earlier schedulers that may still renew leases, and whether their terms have ended.
//!
//! A scheduler that the store does not confirm goes on renewing for some seconds, so what runs on a backend server
//! that its successor does not reach is over only that much later, and a lease after it. But most earlier schedulers
//! have ended, or know that they have been deposed: a box that says so, or has begun anew since, renews nothing, and
//! only the lease itself is waited for.
//!
//! Each election writes down, in the transaction that wins it, who was elected before and may renew still: only one
//! who finds all of them can ask all of them.

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

/// From one question to the next.
const ASK_EVERY: Duration = Duration::from_millis(150);
/// Limit of a question.
const ASK_LIMIT: Duration = Duration::from_millis(400);
/// Limit of a write.
const WRITE_LIMIT: Duration = Duration::from_millis(800);
/// More terms than this within the time for which one may go on are not kept apart: the successor waits for all.
const MOST: usize = 8;

/// A box that was elected. Its fence is known only to those that came after it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Term {
    #[serde(rename = "box")]
    box_id: BoxId,
    addr: SocketAddr,
    /// `None` for the newest: the revision of the key that holds it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    fence: Option<u64>,
    /// It renews leases without a word of the store only while the witnesses vouch for it.
    #[serde(default)]
    witnessed: bool,
}

/// Who has been elected, as the store holds it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Terms {
    /// The newest first. Those before it may renew leases still, or may have as it was elected.
    terms: Vec<Term>,
    /// There may be earlier ones that nobody has written down.
    #[serde(default)]
    incomplete: bool,
}

/// Schedulers that may renew leases still: boxes, where they are reached, and their fences.
pub(crate) type Predecessors = Vec<(BoxId, SocketAddr, Fence)>;

/// What is known of earlier schedulers.
#[derive(Debug, Clone)]
pub(crate) struct EarlierTerms {
    /// Who may renew leases still; `None` if that is not known of all.
    pub(crate) predecessors: Option<Predecessors>,
    /// All of them are known, and go by the witnesses.
    pub(crate) witnessed: bool,
}

/// What a candidate has found.
#[derive(Debug, Clone)]
pub(crate) struct StoredTerms {
    terms: Terms,
    /// The store's revision of it; 0 if there was nothing.
    revision: Revision,
}

/// Reads who was elected before.
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

    /// The condition and the write with which a candidate adds itself to them.
    pub(crate) fn add(&self, box_id: &BoxId, addr: SocketAddr) -> ((String, Revision), Put) {
        let mut terms = vec![Term { box_id: box_id.clone(), addr, fence: None, witnessed: true }];
        terms.extend(self.terms.terms.iter().cloned());
        let incomplete = self.terms.incomplete || terms.len() > MOST;
        terms.truncate(MOST);
        let value = serde_json::to_vec(&Terms { terms, incomplete }).expect("our own types always serialize");
        ((keys::TERMS.to_owned(), self.revision), Put { key: keys::TERMS.to_owned(), value, lease: None })
    }

    /// What is known of earlier schedulers. `newest` is the newest fence that the box has known of before its own election.
    pub(crate) fn earlier_terms(&self, newest: Option<Fence>) -> EarlierTerms {
        let predecessors = self.predecessors(newest);
        let witnessed = predecessors.is_some() && self.terms.terms.iter().all(|term| term.witnessed);
        EarlierTerms { predecessors, witnessed }
    }

    fn predecessors(&self, newest: Option<Fence>) -> Option<Predecessors> {
        let written = self.terms.terms.first().and_then(|term| term.fence);
        let complete = !self.terms.incomplete && newest.is_none_or(|newest| Some(newest.0) <= written);
        let known = |term: &Term| Some((term.box_id.clone(), term.addr, Fence(term.fence?)));
        if complete { self.terms.terms.iter().map(known).collect() } else { None }
    }
}

/// Asks all predecessors until their terms have ended, for `longest` at most, since none goes on for longer; then forgets them.
pub(crate) async fn await_ended(
    cx: Context,
    active: Arc<Active>,
    here: (BoxId, SocketAddr),
    found: Option<Predecessors>,
    longest: Duration,
) {
    let begun = cx.view.clock().now();
    let asked = async {
        let Some(predecessors) = found else { return std::future::pending().await };
        let mut ended: Moment = Moment::ZERO;
        for (box_id, addr, fence) in &predecessors {
            ended = ended.max(until_ended(&cx, box_id, *addr, *fence).await);
        }
        log::info!(
            "event=predecessors_ended fence={} terms={} after_ms={}",
            active.fence,
            predecessors.len(),
            cx.view.clock().now().since(begun).millis()
        );
        active.update(|scheduler| scheduler.earlier_terms_ended(ended));
    };
    with_timeout(longest, asked).await;
    forget(&cx, &active, here).await;
}

/// Asks a box until it renews no lease with a fence any more. Returns when it ended to do so at the latest.
async fn until_ended(cx: &Context, box_id: &BoxId, addr: SocketAddr, fence: Fence) -> Moment {
    loop {
        if let Some(since) = cx.peers.term_ended(addr, box_id, fence, ASK_LIMIT).await {
            let now = cx.view.clock().now();
            return now - since;
        }
        pause(ASK_EVERY).await;
    }
}

/// Leaves only this term in the store: no earlier one goes on.
async fn forget(cx: &Context, active: &Active, (box_id, addr): (BoxId, SocketAddr)) {
    let terms =
        Terms { terms: vec![Term { box_id, addr, fence: Some(active.fence.0), witnessed: true }], incomplete: false };
    let value = serde_json::to_vec(&terms).expect("our own types always serialize");
    let put = Put { key: keys::TERMS.to_owned(), value, lease: None };
    let expect = vec![(keys::SCHEDULER.to_owned(), Revision(active.fence.0))];
    loop {
        let transaction = Transaction { expect: expect.clone(), put: vec![put.clone()], remove: Vec::new() };
        match cx.store.commit(transaction, WRITE_LIMIT).await {
            Ok(Committed::Done(_) | Committed::Conflict(_)) => return,
            Ok(Committed::LeaseGone) | Err(_) => pause(WRITE_LIMIT).await,
        }
    }
}
