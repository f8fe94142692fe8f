//! What the scheduler has seen happen to jobs, for metrics.

use jobs::{JobState, QueueId};
use model::{CustomerId, Duration, Moment};

use crate::{
    Scheduler,
    run_state::{GroupId, JobEntry},
};

/// Something that happened to a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Observation {
    /// Its first task was placed.
    Started {
        /// Whose it is.
        customer: Option<CustomerId>,
        /// Its queue.
        queue: QueueId,
        /// Since it was accepted.
        after: Duration,
    },
    /// A backend server has begun a run of one of its tasks.
    RunStarted {
        /// Whose it is.
        customer: Option<CustomerId>,
        /// Its queue.
        queue: QueueId,
        /// Since the run was placed: the store took its place, and the backend server its order.
        after: Duration,
    },
    /// Nothing of it runs or will run.
    Ended {
        /// Whose it is.
        customer: Option<CustomerId>,
        /// Its queue.
        queue: QueueId,
        /// How.
        state: JobState,
        /// Since it was accepted.
        after: Duration,
    },
    /// A run was stopped.
    Stopped {
        /// Why.
        why: String,
    },
    /// A backend server's life is over.
    ServerEnded {
        /// It had said that it would leave; else it has crashed or was taken away.
        announced: bool,
    },
    /// A backend server has crashed while a task ran there.
    CrashedUnderTask {
        /// The run is not known to have outlived its start.
        early: bool,
    },
    /// A task is given up, and its occurrence has failed.
    TaskAbandoned {
        /// What it has used up: `attempts_used` or `crashes`.
        why: &'static str,
    },
    /// An end was listed that counts as taken in already, since its serial number had been acknowledged.
    CompletionRedelivered,
    /// A run is over without a word of how it ended.
    RunLost {
        /// How that is known: `server_gone`, `lease_over` or `not_listed`.
        why: &'static str,
    },
}

impl Scheduler {
    /// What has happened since this was last asked.
    pub fn take_observations(&mut self) -> Vec<Observation> {
        std::mem::take(&mut self.observations)
    }

    /// The time of day, in milliseconds since 1970, by the clock readings of the latest plan.
    pub(crate) fn wall_ms(&self, now: Moment) -> u64 {
        let (at, wall_ms) = self.plan_clocks;
        wall_ms + now.since(at).millis()
    }

    pub(crate) fn age(&self, entry: &JobEntry, now: Moment) -> Duration {
        Duration::from_millis(self.wall_ms(now).saturating_sub(entry.job.accepted_ms))
    }

    pub(crate) fn observe_start(&mut self, id: jobs::JobId, now: Moment) {
        let Some(entry) = self.jobs.get(&id) else { return };
        let (customer, queue) = (entry.job.customer.clone(), entry.job.queue.clone());
        let after = self.age(entry, now);
        self.observations.push(Observation::Started { customer, queue, after });
    }

    pub(crate) fn observe_run_start(&mut self, name: GroupId, now: Moment) {
        let after = now.since(self.group(name).placed_at);
        let Some(entry) = self.jobs.get(&name.occurrence.job) else { return };
        let (customer, queue) = (entry.job.customer.clone(), entry.job.queue.clone());
        self.observations.push(Observation::RunStarted { customer, queue, after });
    }

    pub(crate) fn observe_end(&mut self, id: jobs::JobId, state: JobState, now: Moment) {
        let Some(entry) = self.jobs.get(&id) else { return };
        let (customer, queue) = (entry.job.customer.clone(), entry.job.queue.clone());
        let after = self.age(entry, now);
        log::info!("job={id} event=over state={state} after_ms={} queue={queue}", after.millis());
        self.observations.push(Observation::Ended { customer, queue, state, after });
    }
}
