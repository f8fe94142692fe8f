//! The delay of a box whose latest terms have failed, so that any other candidate is elected first.

use model::Duration;

/// Additional delay after a first failed term.
const FIRST_DELAY: Duration = Duration::from_millis(1500);
/// Longest additional delay. A fault that every box meets must not fill the store with elections, and the fleet must
/// not stay without a scheduler for long once the cause is gone.
const MAX_DELAY: Duration = Duration::from_millis(12_000);
/// Length of a term that shows that the box can schedule: a failure after it starts a new series.
const LASTING_TERM: Duration = Duration::from_secs(60);

/// The latest terms of a box that have failed in a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FailedTerms {
    /// Terms in a row that a fault of the program has ended.
    in_a_row: u32,
    /// Delay before the next candidacy.
    delay: Duration,
}

impl FailedTerms {
    /// No term has failed.
    pub const NONE: FailedTerms = FailedTerms { in_a_row: 0, delay: Duration::ZERO };

    /// Records that a fault of the program has ended a term of some length. Doubles the delay with each in a row.
    pub fn record_failure(&mut self, length: Duration) {
        if length >= LASTING_TERM {
            *self = FailedTerms::NONE;
        }
        self.delay = if self.in_a_row == 0 { FIRST_DELAY } else { self.delay.scaled(2.0).min(MAX_DELAY) };
        self.in_a_row = self.in_a_row.saturating_add(1);
    }

    /// Records that a term ended since the state could not be restored in time. Does not double the delay, since the
    /// time limit of the restore doubles.
    pub fn record_not_restored(&mut self) {
        self.delay = self.delay.max(FIRST_DELAY);
    }

    /// Returns the number of terms in a row that a fault of the program has ended.
    pub fn in_a_row(&self) -> u32 {
        self.in_a_row
    }

    /// Returns the additional delay before the next candidacy.
    pub fn delay(&self) -> Duration {
        self.delay
    }
}
