//! Callers' requests: stored here, or by way of another box.

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

/// One try of a write: above what a slow store takes (60 times its 4 ms).
const WRITE_LIMIT: Duration = Duration::from_millis(450);
/// A write is not tried with less time than this left: about what a slow store's answer takes.
const SHORTEST_TRY: Duration = Duration::from_millis(250);
/// All tries of a write from here. A caller has 3 s in all and may do better at another box: it is told in time.
const STORE_LIMIT: Duration = Duration::from_millis(900);
/// One try of a question to another box.
const ASK_LIMIT: Duration = Duration::from_millis(400);
/// One try of a write by way of another box, which may need two tries of its own.
const RELAY_LIMIT: Duration = Duration::from_millis(950);
/// A box that did not answer is left out for this long.
const SILENT_PEER_PAUSE: Duration = Duration::from_millis(1500);
/// So many other boxes are asked for one request.
const MOST_PEERS: usize = 3;

/// Takes callers' requests.
pub struct Requests {
    store: Arc<dyn CoordinationStore>,
    view: Arc<View>,
    peers: Arc<Peers>,
    active: ActiveSlot,
    seeds: Vec<SocketAddr>,
    /// Where other boxes reach this one.
    here: SocketAddr,
    /// Boxes that did not answer, and until when they are left out.
    silent: Mutex<HashMap<SocketAddr, Moment>>,
}

impl Requests {
    pub(crate) fn new(
        store: Arc<dyn CoordinationStore>,
        view: Arc<View>,
        peers: Arc<Peers>,
        active: ActiveSlot,
        seeds: Vec<SocketAddr>,
        here: SocketAddr,
    ) -> Requests {
        Requests { store, view, peers, active, seeds, here, silent: Mutex::default() }
    }

    fn now(&self) -> Moment {
        self.view.clock().now()
    }

    /// Other boxes to send a write to: none if none of them reaches the store either, as far as is known.
    fn relay_candidates(&self) -> Vec<SocketAddr> {
        if self.view.is_store_reachable() || self.view.is_peer_reachable() { self.other_boxes() } else { Vec::new() }
    }

    /// Other boxes worth asking, the scheduler first.
    pub(crate) fn other_boxes(&self) -> Vec<SocketAddr> {
        let mut others: Vec<SocketAddr> = self.view.relay_boxes().relays.values().map(|relay| relay.addr).collect();
        others.extend(&self.seeds);
        fastrand::shuffle(&mut others);
        if let Some(leader) = self.view.leader() {
            others.insert(0, leader.addr);
        }
        let now = self.now();
        let silent = self.silent.lock().expect("no holder panics");
        let mut seen = Vec::new();
        for addr in others {
            let resting = silent.get(&addr).is_some_and(|until| now < *until);
            if addr != self.here && !resting && !seen.contains(&addr) {
                seen.push(addr);
            }
        }
        seen.truncate(MOST_PEERS);
        seen
    }

    pub(crate) fn mark_unresponsive(&self, addr: SocketAddr) {
        let until = self.now() + SILENT_PEER_PAUSE;
        self.silent.lock().expect("no holder panics").insert(addr, until);
    }

    /// Repeats a conditional write until it is answered or time is up. The error is `Lost` if any try may
    /// have taken effect or may yet.
    async fn commit(&self, transaction: Transaction, limit: Duration) -> Result<Committed, StoreError> {
        let until = self.now() + limit;
        let mut backoff = Backoff::new();
        let mut error = StoreError::Refused { why: "no time is left".to_owned() };
        loop {
            let left = until.since(self.now());
            // A try that is cut short would only leave its outcome in doubt.
            if left < SHORTEST_TRY {
                return Err(error);
            }
            match self.store.commit(transaction.clone(), left.min(WRITE_LIMIT)).await {
                Ok(committed) => {
                    self.view.record_store_response();
                    return Ok(committed);
                }
                Err(e @ StoreError::Lost { .. }) => error = e,
                // A refusal of this try says nothing of an earlier one that was lost.
                Err(e) if matches!(error, StoreError::Refused { .. }) => error = e,
                Err(_) => {}
            }
            backoff.wait_at_most(until.since(self.now())).await;
        }
    }
}

/// Jobs of open queues belong to no one, and anyone may ask for them.
fn may_see(owner: Option<&CustomerId>, asks: Option<&CustomerId>) -> bool {
    owner.is_none() || owner == asks
}
