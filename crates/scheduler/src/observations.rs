//! Events of jobs and backend servers, for metrics.

use jobs::{JobState, QueueId};
use model::{CustomerId, Duration, Moment};

use crate::{
    Scheduler,
    run_state::{GroupId, JobEntry},
};

/// Event to be counted in metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Observation {
    /// The first task of a job was placed.
    Started {
        /// Customer that the job belongs to; `None` if the job names none.
        customer: Option<CustomerId>,
        /// Queue of the job.
        queue: QueueId,
        /// Time since the job was accepted.
        after: Duration,
    },
    /// A backend server has started a run of one of a job's tasks.
    RunStarted {
        /// Customer that the job belongs to; `None` if the job names none.
        customer: Option<CustomerId>,
        /// Queue of the job.
        queue: QueueId,
        /// Time since the run was placed: for storing the placement and for the order to the backend server.
        after: Duration,
    },
    /// A job has ended: nothing of it runs or will run.
    Ended {
        /// Customer that the job belongs to; `None` if the job names none.
        customer: Option<CustomerId>,
        /// Queue of the job.
        queue: QueueId,
        /// Final state of the job.
        state: JobState,
        /// Time since the job was accepted.
        after: Duration,
    },
    /// A run was stopped.
    Stopped {
        /// Reason, as in the log.
        why: String,
    },
    /// A run that was being stopped is known to have ended, however it ended.
    StopEnded {
        /// Reason of the stop, as in the log.
        why: String,
        /// Time since the stop was decided.
        after: Duration,
    },
    /// An incarnation of a backend server has ended.
    ServerEnded {
        /// Whether it had announced its departure; otherwise it has crashed or was taken away.
        announced: bool,
    },
    /// The platform's list of machines proved that a backend server has ended.
    EndedByMachineList,
    /// A backend server has crashed while a task ran there.
    CrashedUnderTask {
        /// Whether the run is not known to have outlived its start.
        early: bool,
    },
    /// A task was abandoned, and its occurrence has failed.
    TaskAbandoned {
        /// What the task has used up: `attempts_used` or `crashes`.
        why: &'static str,
    },
    /// A completion was listed although its serial number had been acknowledged.
    CompletionRedelivered,
    /// A run is done whose run time had been predicted.
    RunTimeError {
        /// What the prediction rested on: `declared`, `siblings` or `progress`.
        source: &'static str,
        /// |log(actual/predicted)|, in thousandths.
        thousandths: u32,
    },
    /// A run has ended without a completion.
    RunLost {
        /// How that is known: `server_gone`, `lease_over` or `not_listed`.
        why: &'static str,
    },
}

impl Scheduler {
    /// Returns and removes the observations since the last call.
    pub fn take_observations(&mut self) -> Vec<Observation> {
        std::mem::take(&mut self.observations)
    }

    /// Returns the time of day in milliseconds since 1970, extrapolated from the clock readings of the latest plan.
    pub(crate) fn wall_ms(&self, now: Moment) -> u64 {
        let (at, wall_ms) = self.plan_clocks;
        wall_ms.saturating_add(now.since(at).millis())
    }

    pub(crate) fn time_since_accepted(&self, entry: &JobEntry, now: Moment) -> Duration {
        Duration::from_millis(self.wall_ms(now).saturating_sub(entry.job.accepted_ms))
    }

    pub(crate) fn observe_job_start(&mut self, id: jobs::JobId, now: Moment) {
        let Some(entry) = self.jobs.get(&id) else { return };
        let (customer, queue) = (entry.job.customer.clone(), entry.job.queue.clone());
        let after = self.time_since_accepted(entry, now);
        self.observations.push(Observation::Started { customer, queue, after });
    }

    pub(crate) fn observe_run_start(&mut self, name: GroupId, now: Moment) {
        let after = now.since(self.group(name).placed_at);
        let Some(entry) = self.jobs.get(&name.occurrence.job) else { return };
        let (customer, queue) = (entry.job.customer.clone(), entry.job.queue.clone());
        self.observations.push(Observation::RunStarted { customer, queue, after });
    }

    pub(crate) fn observe_job_end(&mut self, id: jobs::JobId, state: JobState, now: Moment) {
        let Some(entry) = self.jobs.get(&id) else { return };
        let (customer, queue) = (entry.job.customer.clone(), entry.job.queue.clone());
        let after = self.time_since_accepted(entry, now);
        log::info!("job={id} event=over state={state} after_ms={} queue={queue}", after.millis());
        self.observations.push(Observation::Ended { customer, queue, state, after });
    }
}
