//! Which page is worth a write, and when.

use std::collections::BTreeMap;

use model::{BackendServerId, Duration, Incarnation, Moment, Revision};

use crate::{
    learned::record::{HALF_LIFE_MS, PAGES, page_of},
    speed::{CLASS_DISTANCE, SpeedClass},
};

/// Time after an election in which much is learned: within it a scheduler measures most of the fleet again.
const FIRST_PERIOD: Duration = Duration::from_secs(10);
/// Shortest time between two comparisons, and so between two writes, in that period.
const FIRST_INTERVAL: Duration = Duration::from_secs(1);
/// The same later. A scheduler that is lost has learned little in this time that is not stored.
const INTERVAL: Duration = Duration::from_secs(5);
/// Change of a logarithm that is worth a write: a smaller one moves no backend server from the mean into another class.
const MIN_LOG_CHANGE: f64 = CLASS_DISTANCE;

/// Speed of a backend server as it is known now.
#[derive(Debug, Clone)]
pub(super) struct KnownSpeed<'a> {
    pub(super) id: &'a BackendServerId,
    pub(super) incarnation: Option<Incarnation>,
    pub(super) log_factor: f64,
    pub(super) class: SpeedClass,
    /// When it was last measured; `None` if it is only restored.
    pub(super) measured_at: Option<Moment>,
}

/// Speed of a backend server as a page in the store has it.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct StoredEntry {
    pub(super) incarnation: Option<Incarnation>,
    pub(super) log_factor: f64,
    /// `None` if an earlier scheduler stored it.
    pub(super) class: Option<SpeedClass>,
}

/// A page in the store, as far as it is known.
#[derive(Debug, Clone, Default)]
pub(super) struct PageState {
    pub(super) revision: Revision,
    /// When it was written, in milliseconds since 1970; 0 if there is none.
    pub(super) written_ms: u64,
    /// When this scheduler wrote it; `None` if an earlier one did.
    pub(super) stored_at: Option<Moment>,
    pub(super) entries: BTreeMap<BackendServerId, StoredEntry>,
}

impl PageState {
    /// Whether a page that was read replaces what is known; one that this scheduler has written is later.
    pub(super) fn accepts(&self, revision: Revision) -> bool {
        self.stored_at.is_none() && revision >= self.revision
    }

    /// Whether a successor would find a speed here that differs by more than a little.
    fn is_changed(&self, known: &KnownSpeed<'_>) -> bool {
        let stored = self.entries.get(known.id).filter(|stored| stored.incarnation == known.incarnation);
        let Some(stored) = stored else {
            return known.class != SpeedClass::Usual || known.log_factor.abs() > MIN_LOG_CHANGE;
        };
        stored.class.is_some_and(|class| class != known.class)
            || (known.log_factor - stored.log_factor).abs() > MIN_LOG_CHANGE
    }

    /// Whether a measurement that the page does not include would restore the confidence that it has lost by age.
    fn is_outdated(&self, known: &KnownSpeed<'_>, wall_ms: u64) -> bool {
        let is_old = self.written_ms > 0 && wall_ms.saturating_sub(self.written_ms) >= HALF_LIFE_MS;
        is_old && known.measured_at.is_some_and(|at| Some(at) > self.stored_at)
    }
}

/// Whether the pages are to be compared with what is known.
pub(super) fn is_due(elected: Moment, compared_at: Option<Moment>, now: Moment) -> bool {
    let interval = if now.since(elected) < FIRST_PERIOD { FIRST_INTERVAL } else { INTERVAL };
    now.since(compared_at.unwrap_or(elected)) >= interval
}

/// Returns the page with the most changes that matter; `None` if no page has any.
pub(super) fn page_to_write<'a>(
    pages: &[PageState],
    known: impl Iterator<Item = KnownSpeed<'a>>,
    wall_ms: u64,
) -> Option<u32> {
    let mut changes = [0_usize; PAGES as usize];
    for speed in known {
        let page = page_of(speed.id) as usize;
        let state = &pages[page];
        changes[page] += usize::from(state.is_changed(&speed) || state.is_outdated(&speed, wall_ms));
    }
    let most = (0..PAGES).max_by_key(|page| changes[*page as usize])?;
    (changes[most as usize] > 0).then_some(most)
}
