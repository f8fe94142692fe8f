//! The learned state as it is stored, and what of it still counts when it is read.

use model::{BackendServerId, Incarnation, Moment};
use sha2::{Digest, Sha256};

use crate::speed::{PRIOR_PRECISION, RUN_PRECISION, Speed};

/// Number of pages. A few, so that a scheduler stores all of them within its first ten seconds; more than one, so that
/// a change on a large fleet rewrites a part only.
pub(super) const PAGES: u32 = 4;
/// Most entries of a page, so that a damaged page cannot exhaust memory. All pages together hold as many backend servers
/// as the largest box schedules.
pub(super) const MAX_ENTRIES: usize = 3000;
/// Largest logarithm of a factor that is stored or believed: a factor of 8. Platforms have backend servers that take
/// two or three times as long, and a false entry beyond that would distort the mean of the fleet.
pub(super) const MAX_LOG_FACTOR: f64 = 2.08;
/// Most runs that a stored speed counts for.
pub(super) const MAX_STORED_RUNS: u32 = 8;
/// Most runs that a restored speed counts for: enough to tell classes apart (two standard errors are 0.17), and
/// outweighed by as many new runs.
const MAX_RESTORED_RUNS: f64 = 4.0;
/// Age at which a restored speed counts half. A page of a steady fleet is written once in this time, and its successor
/// must still tell fast backend servers from slow ones by it.
pub(super) const HALF_LIFE_MS: u64 = 3_600_000;
/// Age from which on all pages count as equally old, and assumed age of one whose time of writing cannot be right. A
/// restored speed then counts for one run.
const MAX_AGE_MS: u64 = 2 * HALF_LIFE_MS;

/// Stored speed of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Entry {
    pub(super) id: BackendServerId,
    /// Incarnation that was measured; `None` on a platform where each has an id of its own.
    pub(super) incarnation: Option<Incarnation>,
    /// Logarithm of the ratio of a run's duration there to that on the mean of the fleet. What is learned by itself
    /// drifts with the declared durations of all jobs, so that pages of different times would not fit together.
    pub(super) log_factor: f64,
    /// Number of runs that it counts for, from 1 to [`MAX_STORED_RUNS`].
    pub(super) runs: u32,
}

/// Content of a page.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct PageRecord {
    /// When it was written, in milliseconds since 1970.
    pub(super) written_ms: u64,
    /// Mean duration of stops, in milliseconds.
    pub(super) stop_ms: u64,
    pub(super) entries: Vec<Entry>,
}

/// Restored speed of a backend server that is not identified yet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct RestoredSpeed {
    pub(super) incarnation: Option<Incarnation>,
    log_factor: f64,
    precision: f64,
    runs: u32,
}

impl RestoredSpeed {
    /// Returns what a stored entry still says, given the share that its page counts for.
    ///
    /// The precision falls, and the factor is drawn towards 1 as if fewer runs had been measured. A factor that kept
    /// its value with less precision behind it would make backend servers look more different than they are.
    pub(super) fn new(entry: &Entry, share: f64) -> RestoredSpeed {
        let stored = f64::from(entry.runs) * RUN_PRECISION;
        let kept = stored.min(MAX_RESTORED_RUNS * RUN_PRECISION) * share;
        let measured = entry.log_factor * (stored + PRIOR_PRECISION) / stored;
        let precision = kept + PRIOR_PRECISION;
        let runs = (kept / RUN_PRECISION).round().max(1.0) as u32;
        RestoredSpeed { incarnation: entry.incarnation, log_factor: measured * kept / precision, precision, runs }
    }

    pub(super) fn speed(&self, now: Moment) -> Speed {
        Speed::restored(self.log_factor, self.precision, self.runs, now)
    }
}

/// Returns the page of a backend server. Stable across versions and processes.
pub(super) fn page_of(id: &BackendServerId) -> u32 {
    let digest = Sha256::digest(id.to_string().as_bytes());
    u32::from(digest[0]) % PAGES
}

/// Returns the share of its precision that a page still counts for. A page from the future counts as old, since one of
/// the two clocks must be wrong.
pub(super) fn share_of_age(written_ms: u64, wall_ms: u64) -> f64 {
    let age_ms = wall_ms.checked_sub(written_ms).map_or(MAX_AGE_MS, |age| age.min(MAX_AGE_MS));
    0.5_f64.powf(age_ms as f64 / HALF_LIFE_MS as f64)
}
