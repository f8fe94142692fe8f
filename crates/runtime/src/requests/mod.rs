//! Handling of callers' requests: written to the store by this box, or relayed to another one.
//!
//! A request fails over to other boxes while this one does not reach the store.

mod cancel;
mod state;
mod submission_notice;
mod submit;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use model::{CustomerId, Duration, Moment};
use outside::{Committed, CoordinationStore, StoreError, Transaction};

use crate::{active::ActiveSlot, relay::Peers, timers::Backoff, view::View};

/// Timeout of one attempt to write; above the response time of a slow store (60 times 4 ms).
const WRITE_TIMEOUT: Duration = Duration::from_millis(450);
/// Shortest remaining time for which a write is attempted: about the response time of a slow store.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(250);
/// Time limit of all attempts of a write by this box. A caller waits 3 s in all and may succeed at another box, so it
/// must be answered early enough.
const STORE_WRITE_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout of one query to another box.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of one write relayed by another box, which may need two attempts of its own.
const RELAY_TIMEOUT: Duration = Duration::from_millis(950);
/// Time for which a box that did not respond is skipped.
const UNRESPONSIVE_PEER_PAUSE: Duration = Duration::from_millis(1500);
/// Most other boxes that are tried for one request.
const MAX_PEERS: usize = 3;

/// Handler of callers' requests.
pub struct Requests {
    store: Arc<dyn CoordinationStore>,
    view: Arc<View>,
    peers: Arc<Peers>,
    active: ActiveSlot,
    seeds: Vec<SocketAddr>,
    /// Address at which other boxes reach this one.
    own_address: SocketAddr,
    /// Boxes that did not respond, and the time until which they are skipped.
    unresponsive: Mutex<HashMap<SocketAddr, Moment>>,
}

impl Requests {
    pub(crate) fn new(
        store: Arc<dyn CoordinationStore>,
        view: Arc<View>,
        peers: Arc<Peers>,
        active: ActiveSlot,
        seeds: Vec<SocketAddr>,
        own_address: SocketAddr,
    ) -> Requests {
        Requests { store, view, peers, active, seeds, own_address, unresponsive: Mutex::default() }
    }

    fn now(&self) -> Moment {
        self.view.clock().now()
    }

    /// Returns other boxes to relay a write to; none if, as far as is known, no other box reaches the store either.
    fn relay_candidates(&self) -> Vec<SocketAddr> {
        if self.view.is_store_reachable() || self.view.is_peer_reachable() { self.other_boxes() } else { Vec::new() }
    }

    /// Returns other boxes to try, the scheduler first, without those that did not respond recently.
    pub(crate) fn other_boxes(&self) -> Vec<SocketAddr> {
        let mut others: Vec<SocketAddr> = self.view.relay_boxes().relays.values().map(|relay| relay.addr).collect();
        others.extend(&self.seeds);
        fastrand::shuffle(&mut others);
        if let Some(leader) = self.view.leader() {
            others.insert(0, leader.addr);
        }
        let now = self.now();
        let unresponsive = self.unresponsive.lock().expect("no holder panics");
        let mut candidates = Vec::new();
        for addr in others {
            let skipped = unresponsive.get(&addr).is_some_and(|until| now < *until);
            if addr != self.own_address && !skipped && !candidates.contains(&addr) {
                candidates.push(addr);
            }
        }
        candidates.truncate(MAX_PEERS);
        candidates
    }

    pub(crate) fn mark_unresponsive(&self, addr: SocketAddr) {
        let until = self.now() + UNRESPONSIVE_PEER_PAUSE;
        self.unresponsive.lock().expect("no holder panics").insert(addr, until);
    }

    /// Repeats a conditional write until the store responds or time is up. Returns [`StoreError::Lost`] if any attempt
    /// may have taken effect or may still do so.
    async fn commit(&self, transaction: Transaction, limit: Duration) -> Result<Committed, StoreError> {
        let until = self.now() + limit;
        let mut backoff = Backoff::new();
        let mut error = StoreError::Refused { why: "no time is left".to_owned() };
        loop {
            let remaining = until.since(self.now());
            // An attempt with too little time would only have an unknown outcome.
            if remaining < MIN_ATTEMPT_TIME {
                return Err(error);
            }
            match self.store.commit(transaction.clone(), remaining.min(WRITE_TIMEOUT)).await {
                Ok(committed) => {
                    self.view.record_store_response();
                    return Ok(committed);
                }
                Err(e @ StoreError::Lost { .. }) => error = e,
                // A rejection of this attempt says nothing about an earlier one that was lost.
                Err(e) if matches!(error, StoreError::Refused { .. }) => error = e,
                Err(_) => {}
            }
            backoff.wait_at_most(until.since(self.now())).await;
        }
    }
}

/// Whether a customer may see a job. Jobs of open queues have no owner, and everyone may see them.
fn may_see(owner: Option<&CustomerId>, customer: Option<&CustomerId>) -> bool {
    owner.is_none() || owner == customer
}
