//! Questions: how a job stands, and how many wait.

use jobs::{EndedJob, Job, JobId, Progress, QueueId};
use model::{CustomerId, Duration};
use outside::StoreError;

use super::{ASK_LIMIT, RELAY_LIMIT, Requests, may_see};
use crate::{keys, outcome::StateOutcome, paged_reads, telemetry};

impl Requests {
    /// Tells how a job stands, within `limit`.
    pub async fn state(&self, id: JobId, customer: Option<&CustomerId>, limit: Duration) -> StateOutcome {
        let outcome = self.state_anywhere(id, customer, limit).await;
        telemetry::count_request("state", &outcome);
        if outcome == StateOutcome::Unavailable {
            log::info!("job={id} event=state_unavailable store={}", self.view.is_store_reachable());
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
        if self.view.is_store_reachable() {
            let stored = self.state_in_store(id, customer).await;
            if stored != StateOutcome::Unavailable {
                return stored;
            }
        }
        for addr in self.other_boxes() {
            let left = until.since(self.now()).min(ASK_LIMIT);
            if left == Duration::ZERO {
                break;
            }
            let asked = self.peers.state(addr, id, customer, false, left).await;
            if asked != StateOutcome::Unavailable {
                return asked;
            }
            self.mark_unresponsive(addr);
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
        // The job comes last: if it stands there, what was read of it before has not gone with it to the archive.
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
            let progress = serde_json::from_slice(&item.value).ok();
            if let (Some(slot), Some(progress)) = (number.and_then(|n| all.get_mut(n)), progress) {
                *slot = progress;
            }
        }
        Ok(StateOutcome::Found(Progress::job_state(all.iter(), cancelled)))
    }

    /// Reads the record of a job that has left the intake.
    async fn read_ended(&self, id: JobId, customer: Option<&CustomerId>) -> Result<StateOutcome, StoreError> {
        let Some(item) = self.store.get(keys::ended(id)).await? else { return Ok(StateOutcome::NoSuchJob) };
        let Ok(ended) = serde_json::from_slice::<EndedJob>(&item.value) else { return Ok(StateOutcome::Unavailable) };
        let seen = may_see(ended.customer.as_ref(), customer);
        Ok(if seen { StateOutcome::Found(ended.state) } else { StateOutcome::NotYours })
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

/// Whether no one need be asked besides: a scheduler that knows of no such job may only not have heard of it yet.
fn settled(outcome: StateOutcome) -> bool {
    matches!(outcome, StateOutcome::Found(_) | StateOutcome::NotYours)
}
