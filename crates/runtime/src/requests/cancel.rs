//! Cancellation of jobs: a mark in the store, which this box or another writes.

use jobs::{EndedJob, Job, JobId};
use model::{CustomerId, Duration, Moment, Revision};
use outside::{Committed, Item, Put, StoreError, Transaction};

use super::{QUERY_TIMEOUT, RELAY_TIMEOUT, Requests, STORE_WRITE_TIMEOUT, may_see};
use crate::{
    keys,
    outcome::{CancelOutcome, StoredRequest},
    telemetry,
    timers::Backoff,
};

impl Requests {
    /// Cancels a job, here or by way of another box, within `limit`.
    pub async fn cancel(&self, id: JobId, customer: Option<&CustomerId>, limit: Duration) -> CancelOutcome {
        let started = self.now();
        let until = started + limit;
        let mut outcome = CancelOutcome::Refused;
        if self.view.is_store_reachable() {
            outcome = self.cancel_in_store(id, customer, limit.min(STORE_WRITE_TIMEOUT)).await;
        }
        for addr in self.relay_candidates() {
            let remaining = until.since(self.now()).min(RELAY_TIMEOUT);
            if remaining < QUERY_TIMEOUT || !matches!(outcome, CancelOutcome::Refused | CancelOutcome::Unknown) {
                break;
            }
            let relayed = self.peers.cancel(addr, id, customer, remaining).await;
            if relayed == CancelOutcome::Unknown {
                self.mark_unresponsive(addr);
            }
            if relayed != CancelOutcome::Refused {
                outcome = relayed;
            }
        }
        log::info!("job={id} event=cancel_requested outcome={outcome:?}");
        telemetry::record_request("cancel", &outcome, self.now().since(started));
        outcome
    }

    /// Writes the cancellation mark of a job from this box, within `limit`.
    pub(crate) async fn cancel_in_store(
        &self,
        id: JobId,
        customer: Option<&CustomerId>,
        limit: Duration,
    ) -> CancelOutcome {
        let until = self.now() + limit;
        let Ok(job) = self.read_job(id, until).await else { return CancelOutcome::Refused };
        if job.as_ref().is_some_and(|job| !may_see(job.customer.as_ref(), customer)) {
            return CancelOutcome::NotYours;
        }
        let key = keys::cancel(id);
        let put = Put { key: key.clone(), value: Vec::new(), lease: None };
        // A job that is not there may have a submission in flight: the mark keeps it from being stored.
        let mut expect = vec![(key, Revision(0)), (keys::ended(id), Revision(0))];
        if job.is_none() {
            expect.push((keys::job(id), Revision(0)));
        }
        let transaction = Transaction { expect, put: vec![put], remove: Vec::new() };
        let remaining = until.since(self.now());
        match self.commit(transaction, remaining).await {
            Ok(Committed::Done(revision)) => {
                self.notify_scheduler(StoredRequest::Cancelled(id), revision);
                if job.is_some() { CancelOutcome::Cancelled } else { CancelOutcome::NoSuchJob }
            }
            Ok(Committed::Conflict(items)) => conflict_outcome(id, &items, customer),
            Ok(Committed::LeaseGone) => CancelOutcome::Unknown,
            Err(StoreError::Refused { .. }) => CancelOutcome::Refused,
            Err(StoreError::Lost { .. }) => CancelOutcome::Unknown,
        }
    }

    /// Reads a job, with retries until the store responds or `until` has passed.
    async fn read_job(&self, id: JobId, until: Moment) -> Result<Option<Job>, StoreError> {
        let mut backoff = Backoff::new();
        loop {
            match self.store.get(keys::job(id)).await {
                Ok(item) => return Ok(item.and_then(|item| serde_json::from_slice(&item.value).ok())),
                Err(e) if self.now() >= until => return Err(e),
                Err(_) => backoff.wait_at_most(until.since(self.now())).await,
            }
        }
    }
}

/// Returns the outcome of a conflict: the job is already cancelled, has ended, or was stored meanwhile.
fn conflict_outcome(id: JobId, items: &[Item], customer: Option<&CustomerId>) -> CancelOutcome {
    if items.iter().any(|item| item.key == keys::cancel(id)) {
        return CancelOutcome::Cancelled;
    }
    let Some(item) = items.iter().find(|item| item.key == keys::ended(id)) else { return CancelOutcome::Unknown };
    match serde_json::from_slice::<EndedJob>(&item.value) {
        Ok(ended) if may_see(ended.customer.as_ref(), customer) => CancelOutcome::Cancelled,
        Ok(_) => CancelOutcome::NotYours,
        Err(e) => {
            log::error!("job={id} event=job_unreadable why={e}");
            CancelOutcome::Unknown
        }
    }
}
