//! Reports of a backend server: runs in progress and completions.

use derive_more::Display;
use jobs::{Checkpoint, RunNumber, TaskId};
use model::Incarnation;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum CompletionKind {
    /// It completed its work.
    Done,
    /// It failed, through its own fault or the backend server's; counts as an attempt.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// Its gang was not complete in time.
    Alone,
    /// In a way that this version does not know. It has not done its work.
    Other,
}

/// Completion of a run; a backend server lists it until it is acknowledged.
#[derive(Debug, Clone)]
pub struct Completion {
    /// Serial number among the backend server's completions, from 1.
    pub serial: u64,
    /// Task that was run.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// How the run ended.
    pub kind: CompletionKind,
    /// Latest checkpoint; `None` if the run made none.
    pub checkpoint: Option<Checkpoint>,
}

/// Run in progress.
#[derive(Debug, Clone)]
pub struct RunningTask {
    /// Task that is run.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// Latest checkpoint; `None` if the run has made none.
    pub checkpoint: Option<Checkpoint>,
    /// Share of its work that is done, 0 to 100; for a long-running task, 100 once it is in service.
    pub percent: u32,
    /// Tail latency, in milliseconds, of the requests that a task with a latency target serves; `None` for any other
    /// task, or if the backend server does not measure it.
    pub latency_ms: Option<f64>,
}

/// Listing of a backend server.
#[derive(Debug, Clone, Default)]
pub struct Listing {
    /// Incarnation that returned the listing; `None` on a platform where each incarnation has an id of its own.
    pub incarnation: Option<Incarnation>,
    /// Reading of its clock in milliseconds; `None` if it reports none.
    pub clock_ms: Option<u64>,
    /// Runs in progress.
    pub running: Vec<RunningTask>,
    /// Completions that have not been acknowledged.
    pub completions: Vec<Completion>,
    /// Whether there may be more completions than are listed.
    pub more_completions: bool,
    /// What could not be read; `None` if all was.
    pub unreadable: Option<Unreadable>,
}

/// Rows of a listing that could not be read. Any run that is not listed may be one of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unreadable {
    /// Number of the rows.
    pub rows: usize,
    /// Highest serial number before the first completion that could not be read; `None` if all completions were read.
    pub acknowledge_up_to: Option<u64>,
}
