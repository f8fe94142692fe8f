//! Which runs are moved off backend servers that have announced their departure, and in which order.

use model::Duration;

/// Standard deviations of its remaining time that a run must have left in the notice. Only one in forty then ends too
/// late, which loses the whole run, while a stop keeps its checkpoint. Estimated remaining times have a margin of their
/// own, and come with a spread of 0.
const MARGIN_DEVIATIONS: f64 = 2.0;

/// Order in which groups get capacity; a smaller one goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Priority of the queue.
    pub priority: u32,
    /// Whether the job is so late that it goes behind the others of its priority.
    pub too_late: bool,
    /// Deadline of the job, in wall-clock milliseconds.
    pub deadline_ms: u64,
}

/// Part of a group's run on one backend server that has announced its departure.
#[derive(Debug, Clone, Copy)]
pub struct DepartingRun<G> {
    /// Group that runs there.
    pub group: G,
    /// Order of the group among others.
    pub urgency: Urgency,
    /// Remaining time of the group's run; `None` if it does not end by itself.
    pub remaining: Option<Duration>,
    /// Standard deviation of the logarithm of `remaining`.
    pub spread: f64,
    /// Time until the backend server departs.
    pub notice: Duration,
    /// Whether a start on this backend server was not ordered yet.
    pub is_unordered: bool,
}

impl<G> DepartingRun<G> {
    /// Returns whether the run ends before the backend server departs.
    fn ends_there(&self) -> bool {
        let latest = self.remaining.map(|remaining| remaining.scaled((MARGIN_DEVIATIONS * self.spread).exp()));
        !self.is_unordered && latest.is_some_and(|latest| latest <= self.notice)
    }
}

/// Returns the groups to stop now, so that they start elsewhere as a whole, the most urgent first. The others end where
/// they are.
pub fn groups_to_move<G: Copy + Ord>(runs: &[DepartingRun<G>]) -> Vec<G> {
    let mut moving: Vec<(Urgency, G)> =
        runs.iter().filter(|run| !run.ends_there()).map(|run| (run.urgency, run.group)).collect();
    moving.sort_unstable();
    moving.dedup();
    moving.into_iter().map(|(_, group)| group).collect()
}
