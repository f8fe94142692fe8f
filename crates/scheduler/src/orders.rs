//! What the scheduler wants backend servers to do, and what comes of it.

use std::sync::Arc;

use jobs::{Checkpoint, RunNumber, TaskId};
use model::BackendServerId;

use crate::permits::Permit;

/// An order to a backend server.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    /// Start a run; safe to send twice.
    Start {
        /// Where.
        server: BackendServerId,
        /// What.
        task: TaskId,
        /// Which run of it.
        run: RunNumber,
        /// The job's text.
        text: Arc<str>,
        /// Where to go on from.
        checkpoint: Option<Checkpoint>,
        /// The adviser's leave to run there, if the queue needs one.
        permit: Option<Permit>,
    },
    /// Stop a run, and never start it; safe to send twice.
    Stop {
        /// Where.
        server: BackendServerId,
        /// What.
        task: TaskId,
        /// Which run of it.
        run: RunNumber,
    },
    /// Let a run work at a share of its speed; safe to send twice.
    Throttle {
        /// Where.
        server: BackendServerId,
        /// What.
        task: TaskId,
        /// Which run of it.
        run: RunNumber,
        /// Share of its speed, 0 to 100.
        percent: u32,
    },
}

impl Order {
    /// The backend server and the task that it is about.
    pub fn subject(&self) -> (&BackendServerId, TaskId) {
        match self {
            Order::Start { server, task, .. }
            | Order::Stop { server, task, .. }
            | Order::Throttle { server, task, .. } => (server, *task),
        }
    }
}

/// What came of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReply {
    /// It runs.
    Started,
    /// It has run, or was stopped: an earlier order for it had gone through. How it ended is listed.
    Over,
    /// It does not run and never will: there is no room.
    NoRoom,
    /// It does not run and never will.
    Refused,
    /// It does not run and never will: the ticket does not hold.
    NoTicket,
    /// The order came too late; it does not run, but another order for it may come yet.
    Late,
    /// The backend server obeys a later scheduler.
    Fenced,
    /// Another life of the backend server answered: this one is over.
    Gone,
    /// No answer: it may run now or later.
    Unknown,
}
