//! One row of a lease table.

use backend::{Holder, Lease, TaskSpec, TaskState};
use model::{CustomerId, Duration, JobId, LeaseToken, Moment, RequestId};

/// A task on a backend server that fails everything fails after this long.
const FAIL_AFTER: Duration = Duration::from_millis(10);
/// A lease and what its task does.
pub(crate) struct Row {
    pub(crate) task: TaskSpec,
    pub(crate) holder: Holder,
    pub(crate) token: LeaseToken,
    pub(crate) state: TaskState,
    pub(crate) changed: u64,
    pub(crate) until: Moment,
    pub(crate) began: Option<Moment>,
    pub(crate) done_at: Option<Moment>,
    pub(crate) stop_at: Option<Moment>,
    pub(crate) ended: Option<Moment>,
    pub(crate) progress: Duration,
    pub(crate) run: Option<usize>,
    pub(crate) acknowledged: bool,
}

pub(crate) fn request_name(task: &TaskSpec) -> (CustomerId, RequestId) {
    (task.spec.customer.clone(), task.spec.request.clone())
}

/// What happens to a row by time alone.
pub(crate) enum Event {
    Lapse,
    Stop,
    BadServer,
    Done,
}

impl Row {
    /// What happens next, and when.
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
            consider(Some(since.max(began + FAIL_AFTER)), Event::BadServer);
        }
        Some(next)
    }

    /// The row as it stands in the table.
    pub(crate) fn line(&self, job: &JobId, now: Moment) -> Lease {
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
