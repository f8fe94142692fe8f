//! What the scheduler wants backend servers to do, and what comes of it.

use std::sync::Arc;

use jobs::{RunNumber, Saved, TaskId};
use model::BackendServerId;

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
        saved: Option<Saved>,
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
}

/// What came of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReply {
    /// It runs.
    Started,
    /// It does not run and never will: there is no room.
    NoRoom,
    /// It does not run and never will.
    Refused,
    /// The order came too late; it does not run, but another order for it may come yet.
    Late,
    /// The backend server obeys a later scheduler.
    Fenced,
    /// Another life of the backend server answered: this one is over.
    Gone,
    /// No answer: it may run now or later.
    Unknown,
}
