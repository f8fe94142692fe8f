//! What a backend server says of what runs, and of what ran.

use derive_more::Display;
use jobs::{Checkpoint, RunNumber, TaskId};
use model::Incarnation;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum CompletionKind {
    /// Well.
    Done,
    /// Through its own fault or the backend server's; counts as an attempt.
    Failed,
    /// On an order.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// Its gang did not come together in time.
    Alone,
}

/// An end that a backend server lists until it is acknowledged.
#[derive(Debug, Clone)]
pub struct Completion {
    /// Counts the backend server's ends, from 1.
    pub serial: u64,
    /// What ended.
    pub task: TaskId,
    /// Which run of it.
    pub run: RunNumber,
    /// How.
    pub kind: CompletionKind,
    /// The latest checkpoint, if the run made one.
    pub checkpoint: Option<Checkpoint>,
}

/// A run that goes on.
#[derive(Debug, Clone)]
pub struct RunningTask {
    /// What runs.
    pub task: TaskId,
    /// Which run of it.
    pub run: RunNumber,
    /// The latest checkpoint, if the run made one.
    pub checkpoint: Option<Checkpoint>,
    /// Share of its work that is done, 0 to 100; of a task that lasts, 100 once it is at work.
    pub percent: u32,
    /// The tail latency, in milliseconds, of what a task with a latency target serves; `None` for any other
    /// task, or where the backend server measures none.
    pub latency_ms: Option<f64>,
}

/// Everything that a backend server lists.
#[derive(Debug, Clone, Default)]
pub struct Listing {
    /// Which life of the backend server tells this; `None` on a platform where each life has an id of its own.
    pub incarnation: Option<Incarnation>,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// Ends that are not acknowledged yet.
    pub completions: Vec<Completion>,
    /// There may be more ends than are listed.
    pub more_completions: bool,
}
