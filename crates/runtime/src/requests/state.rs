//! Queries: the state of a job, and the number of waiting jobs of a queue.
//!
//! The scheduler has the newest state. The store has it as of the latest write, and answers while no scheduler is
//! reached.

use jobs::{EndedJob, Job, JobId, Progress, QueueId};
use model::{CustomerId, Duration};
use outside::StoreError;

use super::{QUERY_TIMEOUT, RELAY_TIMEOUT, Requests, may_see};
use crate::{keys, outcome::StateOutcome, paged_reads, telemetry};

impl Requests {
    /// Returns the state of a job, within `limit`.
    pub async fn state(&self, id: JobId, customer: Option<&CustomerId>, limit: Duration) -> StateOutcome {
        let started = self.now();
        let outcome = self.state_anywhere(id, customer, limit).await;
        let took = self.now().since(started);
        telemetry::record_request("state", &outcome, took);
        match outcome {
            StateOutcome::Unavailable => log::info!(
                "job={id} event=state_unavailable store={} took_ms={}",
                self.view.is_store_reachable(),
                took.millis()
            ),
            StateOutcome::NoSuchJob => {
                log::info!("job={id} event=state_not_found took_ms={}", took.millis());
            }
            StateOutcome::Found(_) | StateOutcome::NotYours => {}
        }
        outcome
    }

    async fn state_anywhere(&self, id: JobId, customer: Option<&CustomerId>, limit: Duration) -> StateOutcome {
        let until = self.now() + limit;
        let local = self.state_in_memory(id, customer);
        if is_final(local) {
            return local;
        }
        if let Some(leader) = self.view.leader().filter(|leader| leader.addr != self.own_address) {
            let remote = self.peers.state(leader.addr, id, customer, true, QUERY_TIMEOUT.min(limit)).await;
            if is_final(remote) {
                return remote;
            }
        }
        if self.view.is_store_reachable() {
            let stored = self.state_in_store(id, customer).await;
            if stored != StateOutcome::Unavailable {
                return stored;
            }
        }
        for addr in self.other_boxes() {
            let remaining = until.since(self.now()).min(QUERY_TIMEOUT);
            if remaining == Duration::ZERO {
                break;
            }
            let remote = self.peers.state(addr, id, customer, false, remaining).await;
            if remote == StateOutcome::NoSuchJob {
                log::info!("job={id} event=state_not_found_by box={addr}");
            }
            if remote != StateOutcome::Unavailable {
                return remote;
            }
            self.mark_unresponsive(addr);
        }
        StateOutcome::Unavailable
    }

    /// Returns the state from the memory of this box, or else from the store.
    pub(crate) async fn state_here(&self, id: JobId, customer: Option<&CustomerId>) -> StateOutcome {
        let local = self.state_in_memory(id, customer);
        if is_final(local) { local } else { self.state_in_store(id, customer).await }
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
        // The job is read last: if it is still there, what was read before has not been archived with it.
        let stored = paged_reads::read_once(&*self.store, &keys::progress_of_job(id)).await?;
        let cancelled = self.store.get(keys::cancel(id)).await?.is_some();
        let Some(item) = self.store.get(keys::job(id)).await? else { return self.read_ended(id, customer).await };
        let Ok(job) = serde_json::from_slice::<Job>(&item.value) else { return Ok(StateOutcome::Unavailable) };
        if !may_see(job.customer.as_ref(), customer) {
            return Ok(StateOutcome::NotYours);
        }
        let mut all = vec![Progress::new(&job); job.occurrences() as usize];
        for item in stored.items {
            let number = keys::occurrence(&item.key).map(|occurrence| occurrence.number as usize);
            let Some(slot) = number.and_then(|n| all.get_mut(n)) else { continue };
            let Ok(progress) = serde_json::from_slice::<Progress>(&item.value) else {
                return Ok(StateOutcome::Unavailable);
            };
            if !progress.fits(&job) {
                return Ok(StateOutcome::Unavailable);
            }
            *slot = progress;
        }
        Ok(StateOutcome::Found(Progress::job_state(all.iter(), cancelled)))
    }

    /// Reads the state from the record of an ended job.
    async fn read_ended(&self, id: JobId, customer: Option<&CustomerId>) -> Result<StateOutcome, StoreError> {
        let Some(item) = self.store.get(keys::ended(id)).await? else { return Ok(StateOutcome::NoSuchJob) };
        let Ok(ended) = serde_json::from_slice::<EndedJob>(&item.value) else { return Ok(StateOutcome::Unavailable) };
        let is_visible = may_see(ended.customer.as_ref(), customer);
        Ok(if is_visible { StateOutcome::Found(ended.state) } else { StateOutcome::NotYours })
    }

    /// Counts the accepted jobs of a queue that have not started; `None` if the scheduler cannot be reached.
    pub async fn waiting(&self, queue: &QueueId, limit: Duration) -> Option<u64> {
        if let Some(waiting) = self.waiting_in_memory(queue) {
            return Some(waiting);
        }
        let leader = self.view.leader()?;
        self.peers.waiting(leader.addr, queue, limit.min(RELAY_TIMEOUT)).await
    }

    pub(crate) fn waiting_in_memory(&self, queue: &QueueId) -> Option<u64> {
        self.active.waiting(queue)
    }
}

/// Whether an outcome is final. A scheduler that does not know a job may only not have received it yet, or not have
/// read the record of its end, so that answer is not.
fn is_final(outcome: StateOutcome) -> bool {
    matches!(outcome, StateOutcome::Found(_) | StateOutcome::NotYours)
}
