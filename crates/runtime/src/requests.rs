//! Callers' requests: stored here, or by way of another box.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use jobs::{Job, JobId, JobState, Progress, QueueId};
use model::{CustomerId, Duration, Moment, Revision};
use outside::{Committed, CoordinationStore, Item, Put, StoreError, Transaction};

use crate::{follow::Backoff, keys, leader::ActiveSlot, measure, relay::Peers, view::View};

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

/// What became of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored, now or by an earlier submission.
    Accepted,
    /// It is not stored and never will be by this submission.
    Refused,
    /// Another job has the same id.
    OtherJob,
    /// It may be stored, or be stored later.
    Unknown,
}

/// What became of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The store holds that the job is not wanted.
    Cancelled,
    /// There is no such job, and a submission that is under way will not make one.
    NoSuchJob,
    /// Another customer's job.
    NotYours,
    /// Nothing was done.
    Refused,
    /// It may have been done.
    Unknown,
}

/// How a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateOutcome {
    /// It is known.
    Found(JobState),
    /// There is none.
    NoSuchJob,
    /// Another customer's job.
    NotYours,
    /// No one who knows could be asked.
    Unavailable,
}

/// Takes callers' requests.
pub struct Requests {
    store: Arc<dyn CoordinationStore>,
    view: Arc<View>,
    peers: Arc<Peers>,
    active: ActiveSlot,
    seeds: Vec<SocketAddr>,
    here: SocketAddr,
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
    fn relays(&self) -> Vec<SocketAddr> {
        if self.view.reaches_store() || self.view.reaches_peer() { self.others() } else { Vec::new() }
    }

    /// Other boxes worth asking, the scheduler first.
    pub(crate) fn others(&self) -> Vec<SocketAddr> {
        let mut others: Vec<SocketAddr> = self.view.boxes();
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

    pub(crate) fn note_silent(&self, addr: SocketAddr) {
        let until = self.now() + SILENT_PEER_PAUSE;
        self.silent.lock().expect("no holder panics").insert(addr, until);
    }

    /// Takes a job, within `limit`.
    pub async fn submit(&self, job: &Job, limit: Duration) -> SubmitOutcome {
        let outcome = self.submit_anywhere(job, limit).await;
        measure::request("submit", &outcome);
        outcome
    }

    async fn submit_anywhere(&self, job: &Job, limit: Duration) -> SubmitOutcome {
        let until = self.now() + limit;
        let mut doubt = false;
        if self.view.reaches_store() {
            match self.submit_here(job, limit.min(STORE_LIMIT)).await {
                SubmitOutcome::Refused => {}
                SubmitOutcome::Unknown => doubt = true,
                settled => return settled,
            }
        }
        for addr in self.relays() {
            let left = until.since(self.now()).min(RELAY_LIMIT);
            if left < ASK_LIMIT {
                break;
            }
            match self.peers.submit(addr, job, left).await {
                SubmitOutcome::Refused => {}
                SubmitOutcome::Unknown => {
                    doubt = true;
                    self.note_silent(addr);
                }
                settled => {
                    log::info!("job={} event=accepted by={addr}", job.id);
                    return settled;
                }
            }
        }
        let outcome = if doubt { SubmitOutcome::Unknown } else { SubmitOutcome::Refused };
        log::info!(
            "job={} event=not_accepted outcome={outcome:?} store_reached={} store_silent_ms={}",
            job.id,
            self.view.reaches_store(),
            self.view.store_age().map_or(-1, |age| age.millis() as i64)
        );
        outcome
    }

    /// Stores a job from this box, within `limit`.
    pub(crate) async fn submit_here(&self, job: &Job, limit: Duration) -> SubmitOutcome {
        let key = keys::job(job.id);
        let put = Put {
            key: key.clone(),
            value: serde_json::to_vec(job).expect("our own types always serialize"),
            lease: None,
        };
        // A cancellation that came first keeps a late write from making the job after all.
        let expect = vec![(key.clone(), Revision(0)), (keys::cancel(job.id), Revision(0))];
        let transaction = Transaction { expect, put: vec![put], remove: Vec::new() };
        match self.commit(transaction, limit).await {
            Ok(Committed::Done(revision)) => {
                let config = self.view.configuration().map_or(0, |known| known.version);
                log::info!("job={} event=accepted revision={revision} queue={} config={config}", job.id, job.queue);
                self.active.add_job(job);
                SubmitOutcome::Accepted
            }
            Ok(Committed::Conflict(items)) => known_job(job, &items, &key),
            Ok(Committed::LeaseGone) => SubmitOutcome::Refused,
            Err(StoreError::Refused { .. }) => SubmitOutcome::Refused,
            Err(StoreError::Lost { .. }) => SubmitOutcome::Unknown,
        }
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
                    self.view.store_answered();
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

    /// Cancels a job, within `limit`.
    pub async fn cancel(&self, id: JobId, customer: Option<&CustomerId>, limit: Duration) -> CancelOutcome {
        let until = self.now() + limit;
        let mut outcome = CancelOutcome::Refused;
        if self.view.reaches_store() {
            outcome = self.cancel_here(id, customer, limit.min(STORE_LIMIT)).await;
        }
        for addr in self.relays() {
            let left = until.since(self.now()).min(RELAY_LIMIT);
            if left < ASK_LIMIT || !matches!(outcome, CancelOutcome::Refused | CancelOutcome::Unknown) {
                break;
            }
            let relayed = self.peers.cancel(addr, id, customer, left).await;
            if relayed == CancelOutcome::Unknown {
                self.note_silent(addr);
            }
            if relayed != CancelOutcome::Refused {
                outcome = relayed;
            }
        }
        log::info!("job={id} event=cancel_requested outcome={outcome:?}");
        measure::request("cancel", &outcome);
        outcome
    }

    /// Stores from this box that a job is not wanted, within `limit`.
    pub(crate) async fn cancel_here(&self, id: JobId, customer: Option<&CustomerId>, limit: Duration) -> CancelOutcome {
        let until = self.now() + limit;
        let mut backoff = Backoff::new();
        let job = loop {
            match self.store.get(keys::job(id)).await {
                Ok(item) => break item.and_then(|item| serde_json::from_slice::<Job>(&item.value).ok()),
                Err(_) if self.now() >= until => return CancelOutcome::Refused,
                Err(_) => backoff.wait_at_most(until.since(self.now())).await,
            }
        };
        if job.as_ref().is_some_and(|job| !may_see(job.customer.as_ref(), customer)) {
            return CancelOutcome::NotYours;
        }
        let key = keys::cancel(id);
        let put = Put { key: key.clone(), value: Vec::new(), lease: None };
        // A job that is not there may be on its way: the mark keeps it from being made.
        let mut expect = vec![(key, Revision(0))];
        if job.is_none() {
            expect.push((keys::job(id), Revision(0)));
        }
        let transaction = Transaction { expect, put: vec![put], remove: Vec::new() };
        let left = until.since(self.now());
        match self.commit(transaction, left).await {
            Ok(Committed::Done(_)) => {
                self.active.cancel(id, self.now());
                if job.is_some() { CancelOutcome::Cancelled } else { CancelOutcome::NoSuchJob }
            }
            Ok(Committed::Conflict(items)) if items.iter().any(|item| item.key == keys::cancel(id)) => {
                CancelOutcome::Cancelled
            }
            Ok(Committed::Conflict(_) | Committed::LeaseGone) => CancelOutcome::Unknown,
            Err(StoreError::Refused { .. }) => CancelOutcome::Refused,
            Err(StoreError::Lost { .. }) => CancelOutcome::Unknown,
        }
    }

    /// Tells how a job stands, within `limit`.
    pub async fn state(&self, id: JobId, customer: Option<&CustomerId>, limit: Duration) -> StateOutcome {
        let outcome = self.state_anywhere(id, customer, limit).await;
        measure::request("state", &outcome);
        if outcome == StateOutcome::Unavailable {
            log::info!("job={id} event=state_unavailable store={}", self.view.reaches_store());
        }
        outcome
    }

    async fn state_anywhere(&self, id: JobId, customer: Option<&CustomerId>, limit: Duration) -> StateOutcome {
        let until = self.now() + limit;
        let here = self.state_in_memory(id, customer);
        if settled(here) {
            return here;
        }
        if let Some(leader) = self.view.leader().filter(|leader| leader.addr != self.here) {
            let asked = self.peers.state(leader.addr, id, customer, true, ASK_LIMIT.min(limit)).await;
            if settled(asked) {
                return asked;
            }
        }
        if self.view.reaches_store() {
            let stored = self.state_in_store(id, customer).await;
            if stored != StateOutcome::Unavailable {
                return stored;
            }
        }
        for addr in self.others() {
            let left = until.since(self.now()).min(ASK_LIMIT);
            if left == Duration::ZERO {
                break;
            }
            let asked = self.peers.state(addr, id, customer, false, left).await;
            if asked != StateOutcome::Unavailable {
                return asked;
            }
            self.note_silent(addr);
        }
        StateOutcome::Unavailable
    }

    pub(crate) fn state_in_memory(&self, id: JobId, customer: Option<&CustomerId>) -> StateOutcome {
        self.active.state(id, |owner| may_see(owner, customer))
    }

    pub(crate) async fn state_in_store(&self, id: JobId, customer: Option<&CustomerId>) -> StateOutcome {
        match self.read_state(id, customer).await {
            Ok(outcome) => outcome,
            Err(e) => {
                log::info!("job={id} event=state_unread why={e}");
                StateOutcome::Unavailable
            }
        }
    }

    async fn read_state(&self, id: JobId, customer: Option<&CustomerId>) -> Result<StateOutcome, StoreError> {
        let Some(item) = self.store.get(keys::job(id)).await? else { return Ok(StateOutcome::NoSuchJob) };
        let Ok(job) = serde_json::from_slice::<Job>(&item.value) else { return Ok(StateOutcome::Unavailable) };
        if !may_see(job.customer.as_ref(), customer) {
            return Ok(StateOutcome::NotYours);
        }
        let cancelled = self.store.get(keys::cancel(id)).await?.is_some();
        let stored = self.store.range(keys::progress_of_job(id)).await?;
        let mut all = vec![Progress::new(&job); job.occurrences() as usize];
        for item in stored.items {
            let number = keys::occurrence(&item.key).map(|occurrence| occurrence.number as usize);
            let progress = serde_json::from_slice(&item.value).ok();
            if let (Some(slot), Some(progress)) = (number.and_then(|n| all.get_mut(n)), progress) {
                *slot = progress;
            }
        }
        Ok(StateOutcome::Found(Progress::job_state(all.iter(), cancelled)))
    }

    /// Counts the accepted jobs of a queue that have not begun; `None` if the scheduler cannot be asked.
    pub async fn waiting(&self, queue: &QueueId, limit: Duration) -> Option<u64> {
        if let Some(waiting) = self.waiting_in_memory(queue) {
            return Some(waiting);
        }
        let leader = self.view.leader()?;
        self.peers.waiting(leader.addr, queue, limit.min(RELAY_LIMIT)).await
    }

    pub(crate) fn waiting_in_memory(&self, queue: &QueueId) -> Option<u64> {
        self.active.waiting(queue)
    }
}

fn settled(outcome: StateOutcome) -> bool {
    matches!(outcome, StateOutcome::Found(_) | StateOutcome::NotYours)
}

/// Jobs of open queues belong to no one, and anyone may ask for them.
fn may_see(owner: Option<&CustomerId>, asks: Option<&CustomerId>) -> bool {
    owner.is_none() || owner == asks
}

fn known_job(job: &Job, items: &[Item], key: &str) -> SubmitOutcome {
    let Some(item) = items.iter().find(|item| item.key == *key) else {
        // Cancelled before it came: it is not made any more.
        return SubmitOutcome::Refused;
    };
    match serde_json::from_slice::<Job>(&item.value) {
        Ok(known) if known.same_work(job) && known.customer == job.customer => SubmitOutcome::Accepted,
        Ok(_) => SubmitOutcome::OtherJob,
        Err(e) => {
            log::error!("job={} event=job_unreadable why={e}", job.id);
            SubmitOutcome::Unknown
        }
    }
}
