//! Submission of jobs: a write to the store, by this box or by another.

use jobs::{EndedJob, Job};
use model::{Duration, Revision};
use outside::{Committed, Item, Put, StoreError, Transaction};

use super::{QUERY_TIMEOUT, RELAY_TIMEOUT, Requests, STORE_WRITE_TIMEOUT};
use crate::{
    keys,
    outcome::{StoredRequest, SubmitOutcome},
    telemetry,
};

impl Requests {
    /// Stores a job, here or by way of another box, within `limit`.
    pub async fn submit(&self, job: &Job, limit: Duration) -> SubmitOutcome {
        let started = self.now();
        let outcome = self.submit_anywhere(job, limit).await;
        telemetry::record_request("submit", &outcome, self.now().since(started));
        outcome
    }

    async fn submit_anywhere(&self, job: &Job, limit: Duration) -> SubmitOutcome {
        let until = self.now() + limit;
        let mut may_be_stored = false;
        if self.view.is_store_reachable() {
            match self.submit_to_store(job, limit.min(STORE_WRITE_TIMEOUT)).await {
                SubmitOutcome::Refused => {}
                SubmitOutcome::Unknown => may_be_stored = true,
                outcome => return outcome,
            }
        }
        for addr in self.relay_candidates() {
            let remaining = until.since(self.now()).min(RELAY_TIMEOUT);
            if remaining < QUERY_TIMEOUT {
                break;
            }
            match self.peers.submit(addr, job, remaining).await {
                SubmitOutcome::Refused => {}
                SubmitOutcome::Unknown => {
                    may_be_stored = true;
                    self.mark_unresponsive(addr);
                }
                outcome => {
                    log::info!("job={} event=accepted by={addr}", job.id);
                    return outcome;
                }
            }
        }
        let outcome = if may_be_stored { SubmitOutcome::Unknown } else { SubmitOutcome::Refused };
        log::info!(
            "job={} event=not_accepted outcome={outcome:?} store_reached={} store_silent_ms={}",
            job.id,
            self.view.is_store_reachable(),
            self.view.time_since_store_response().map_or(-1, |age| age.millis() as i64)
        );
        outcome
    }

    /// Writes a job to the store from this box, within `limit`.
    pub(crate) async fn submit_to_store(&self, job: &Job, limit: Duration) -> SubmitOutcome {
        let key = keys::job(job.id);
        let put = Put {
            key: key.clone(),
            value: serde_json::to_vec(job).expect("our own types always serialize"),
            lease: None,
        };
        // A cancellation that came first, or the record of an ended job, prevents a late write from creating the job
        // again.
        let absent = [key.clone(), keys::cancel(job.id), keys::ended(job.id)];
        let expect = absent.map(|key| (key, Revision(0))).to_vec();
        let transaction = Transaction { expect, put: vec![put], remove: Vec::new() };
        match self.commit(transaction, limit).await {
            Ok(Committed::Done(revision)) => {
                let config = self.view.configuration().map_or(0, |current| current.version);
                log::info!("job={} event=accepted revision={revision} queue={} config={config}", job.id, job.queue);
                self.notify_scheduler(StoredRequest::Job(job.clone()), revision);
                SubmitOutcome::Accepted
            }
            Ok(Committed::Conflict(items)) => conflict_outcome(job, &items),
            Ok(Committed::LeaseGone) => SubmitOutcome::Refused,
            Err(StoreError::Refused { .. }) => SubmitOutcome::Refused,
            Err(StoreError::Lost { .. }) => SubmitOutcome::Unknown,
        }
    }
}

/// Returns the outcome of a conflict with an earlier submission or cancellation.
fn conflict_outcome(job: &Job, items: &[Item]) -> SubmitOutcome {
    let find = |key: String| items.iter().find(|item| item.key == key);
    let is_same = if let Some(item) = find(keys::job(job.id)) {
        serde_json::from_slice::<Job>(&item.value)
            .map(|stored| stored.same_work(job) && stored.customer == job.customer)
    } else if let Some(item) = find(keys::ended(job.id)) {
        let is_same = |ended: EndedJob| ended.work == job.work_digest() && ended.customer == job.customer;
        serde_json::from_slice::<EndedJob>(&item.value).map(is_same)
    } else {
        // Cancelled before its submission: it is not stored any more.
        return SubmitOutcome::Refused;
    };
    match is_same {
        Ok(true) => SubmitOutcome::Accepted,
        Ok(false) => SubmitOutcome::OtherJob,
        Err(e) => {
            log::error!("job={} event=job_unreadable why={e}", job.id);
            SubmitOutcome::Unknown
        }
    }
}
