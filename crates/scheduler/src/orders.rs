//! Orders to backend servers, and their outcomes.

use std::sync::Arc;

use jobs::{Checkpoint, RunNumber, TaskId};
use model::BackendServerId;

use crate::permits::Permit;

/// Order to a backend server.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    /// Starts a run. Idempotent.
    Start {
        /// Backend server that is to run the task.
        server: BackendServerId,
        /// Task to run.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
        /// Text of the job, as submitted.
        text: Arc<str>,
        /// Checkpoint to resume from; `None` to start from the beginning.
        checkpoint: Option<Checkpoint>,
        /// Permit to run there, if the queue requires one.
        permit: Option<Permit>,
    },
    /// Stops a run, or prevents its start if that is still to come. Idempotent.
    Stop {
        /// Backend server that the run was placed on.
        server: BackendServerId,
        /// Task whose run is stopped.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
    },
    /// Throttles a run to a share of its full speed. Idempotent.
    Throttle {
        /// Backend server that the run was placed on.
        server: BackendServerId,
        /// Task whose run is throttled.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
        /// Share of its full speed, 0 to 100.
        percent: u32,
    },
}

impl Order {
    /// Returns the backend server and the task that the order concerns.
    pub fn subject(&self) -> (&BackendServerId, TaskId) {
        match self {
            Order::Start { server, task, .. }
            | Order::Stop { server, task, .. }
            | Order::Throttle { server, task, .. } => (server, *task),
        }
    }
}

/// Outcome of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReply {
    /// The task runs on the backend server.
    Started,
    /// It has run or was stopped: an earlier order for it had been received. Its completion is listed.
    Over,
    /// It does not run and never will: the free capacity does not suffice.
    NoRoom,
    /// It does not run and never will, for another reason.
    Refused,
    /// It does not run and never will: its permit is not valid.
    NoTicket,
    /// The order came too late. It does not run, but another order for it may still be accepted.
    Late,
    /// The backend server has accepted the fencing token of a later scheduler.
    Fenced,
    /// Another incarnation of the backend server responded: the one addressed has ended.
    Gone,
    /// No response: it may run now or later.
    Unknown,
}
