//! When to request the platform's list of machines: once after an election, and while a backend server with runs does
//! not respond.

use model::{Duration, Moment};

use super::evidence::{MAX_LIST_LAG, MIN_SILENCE, MachineList};

/// Time after an election within which reachable backend servers respond for the first time.
const FIRST_RESPONSES: Duration = Duration::from_millis(1000);
/// Time after an election at which the list is requested once. By then the backend servers that respond have done so
/// long enough ago to be listed, so that the list shows where each of them runs.
const TERM_LIST_DELAY: Duration = Duration::from_millis(FIRST_RESPONSES.millis() + MAX_LIST_LAG.millis());
/// Shortest time between two requests, at up to [`MACHINES_AT_SHORTEST_INTERVAL`] machines; with more, it grows in
/// proportion. Short beside the leases that are waited for otherwise, so that proofs by two lists in a row come soon.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(300);
const MACHINES_AT_SHORTEST_INTERVAL: usize = 1000;
/// Most pages read per second: a tenth of the reads that the platform allows (60 a second).
const MAX_PAGES_PER_SECOND: u64 = 6;
/// Longest time between two requests while they fail. The service may be overloaded, and leases expire within seconds
/// in any case.
const LONGEST_INTERVAL_AFTER_FAILURES: Duration = Duration::from_secs(5);

/// State of the requests of one scheduler.
#[derive(Debug)]
pub(crate) struct ListRequests {
    /// When the latest request was sent.
    last: Option<Moment>,
    /// Shortest time between two requests now.
    interval: Duration,
    /// Whether the list after the election has been received.
    has_term_list: bool,
}

impl Default for ListRequests {
    fn default() -> ListRequests {
        ListRequests { last: None, interval: SHORTEST_INTERVAL, has_term_list: false }
    }
}

impl ListRequests {
    /// Returns whether a request is due, for a scheduler elected at `elected`; `silent_since` is since when a backend
    /// server with runs has not responded.
    pub(crate) fn is_due(&self, elected: Moment, silent_since: Option<Moment>, now: Moment) -> bool {
        let is_needed = silent_since.is_some_and(|since| now >= since + MIN_SILENCE);
        let awaits_term_list = !self.has_term_list && now >= elected + TERM_LIST_DELAY;
        (is_needed || awaits_term_list) && self.last.is_none_or(|last| now >= last + self.interval)
    }

    /// Records that a request is sent.
    pub(crate) fn sent(&mut self, now: Moment) {
        self.last = Some(now);
    }

    /// Records a list that was received, which determines how often the next ones may be requested.
    pub(crate) fn received(&mut self, list: &MachineList, requested: Moment, elected: Moment) {
        // An incomplete list shows machines too, and an entry that cannot be decoded stays so.
        self.has_term_list |= requested >= elected + TERM_LIST_DELAY;
        let by_machines =
            SHORTEST_INTERVAL.millis() * list.machines.len() as u64 / MACHINES_AT_SHORTEST_INTERVAL as u64;
        let by_pages = (list.pages as u64 * 1000).div_ceil(MAX_PAGES_PER_SECOND);
        self.interval = SHORTEST_INTERVAL.max(Duration::from_millis(by_machines.max(by_pages)));
    }

    /// Records a request that failed: the next ones are sent less often.
    pub(crate) fn failed(&mut self) {
        let longest = LONGEST_INTERVAL_AFTER_FAILURES.max(self.interval);
        self.interval = self.interval.scaled(2.0).min(longest);
    }
}
