//! A row of a lease table: one lease and the state of its task.

use backend::{Holder, Lease, TaskSpec, TaskState};
use model::{CustomerId, Duration, JobId, LeaseToken, Moment, RequestId};

/// Run time after which a task fails on a backend server that fails every task.
const FAIL_AFTER: Duration = Duration::from_millis(10);

/// A lease, with the state and the timing of its task.
pub(crate) struct Row {
    pub(crate) task: TaskSpec,
    pub(crate) holder: Holder,
    pub(crate) token: LeaseToken,
    pub(crate) state: TaskState,
    /// Version of the table at the last change of this row.
    pub(crate) changed: u64,
    /// Time at which the lease expires.
    pub(crate) until: Moment,
    pub(crate) began: Option<Moment>,
    /// Time at which the task finishes; `None` before its start.
    pub(crate) done_at: Option<Moment>,
    /// Time at which the task stops after a checkpoint; `None` if none is requested.
    pub(crate) stop_at: Option<Moment>,
    pub(crate) ended: Option<Moment>,
    /// Work done before this run, from the checkpoint that it resumed.
    pub(crate) progress: Duration,
    /// Index of the run in the table's record of runs; `None` unless the task is running.
    pub(crate) run: Option<usize>,
    pub(crate) acknowledged: bool,
}

pub(crate) fn request_key(task: &TaskSpec) -> (CustomerId, RequestId) {
    (task.spec.customer.clone(), task.spec.request.clone())
}

/// Change of a row that is due to the passing of time.
pub(crate) enum Event {
    Lapse,
    Stop,
    ServerFault,
    Done,
}

impl Row {
    /// Returns the next change by time and when it is due; `None` once the lease holds no resources. If every task
    /// fails, `fail_since` is the start of that fault.
    pub(crate) fn next_event(&self, fail_since: Option<Moment>) -> Option<(Moment, Event)> {
        if !self.state.holds() {
            return None;
        }
        let mut next = (self.until, Event::Lapse);
        let mut consider = |at: Option<Moment>, event: Event| {
            if let Some(at) = at
                && at < next.0
            {
                next = (at, event);
            }
        };
        consider(self.stop_at, Event::Stop);
        consider(self.done_at, Event::Done);
        if let (Some(since), Some(began)) = (fail_since, self.began) {
            consider(Some(since.max(began + FAIL_AFTER)), Event::ServerFault);
        }
        Some(next)
    }

    /// Returns the lease as a table update lists it.
    pub(crate) fn lease(&self, job: &JobId, now: Moment) -> Lease {
        let spec = &self.task.spec;
        Lease {
            job: job.clone(),
            token: self.token,
            holder: self.holder.clone(),
            customer: spec.customer.clone(),
            request: spec.request.clone(),
            class: spec.class.clone(),
            resources: self.task.resources(),
            members: self.task.members.clone(),
            state: self.state.clone(),
            declared: spec.declared,
            ran_for: self.began.map_or(Duration::ZERO, |began| self.ended.unwrap_or(now).since(began)),
            waited: self.task.waited,
            repeatable: spec.repeatable,
            checkpointable: spec.checkpointable,
            stopping: self.stop_at.is_some(),
            acknowledged: self.acknowledged,
        }
    }
}
