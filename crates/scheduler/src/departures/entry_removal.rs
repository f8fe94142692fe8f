//! Why the entry of a backend server was removed from the platform's list.
//!
//! The platform removes it when the backend server has left, or after three heartbeats without a write, also during an
//! outage of the store. Only the time since the last write tells the two apart, so the removal of an entry that was
//! written recently proves that its backend server has left. How that time is known: `docs/design/0019-departures.md`.

use derive_more::Display;
use model::{Duration, Moment};

/// Longest time between the last write of an entry and its removal, in heartbeats, that proves that the backend server
/// has removed it. At most two writes are overdue by then, also if each is due somewhat early; an entry that lapses lacks
/// three.
const MAX_OWN_REMOVAL_HEARTBEATS: f64 = 2.5;

/// What is known of the latest write of an entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LastWrite {
    /// Time after which it was made, by the scheduler's clock; `None` if unknown.
    pub after: Option<Moment>,
    /// Time at which it was made, in milliseconds by the backend server's clock; `None` if the entry does not tell.
    pub server_clock_ms: Option<u64>,
}

/// Reading of a backend server's clock, which may run slow but not fast.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServerClock {
    pub(crate) clock_ms: u64,
    /// When the call was sent whose response holds the reading, by the scheduler's clock.
    pub(crate) read_after: Moment,
}

impl LastWrite {
    /// Returns the longest time that can have passed since the write; `None` if unknown.
    fn max_age(self, clock: Option<ServerClock>, now: Moment) -> Option<Duration> {
        let by_list = self.after.map(|after| now.since(after));
        let by_clock = self.server_clock_ms.zip(clock).and_then(|(written_ms, clock)| {
            let latest_ms = clock.clock_ms.saturating_add(now.since(clock.read_after).millis());
            latest_ms.checked_sub(written_ms).map(Duration::from_millis)
        });
        by_list.into_iter().chain(by_clock).min()
    }
}

/// Who removed an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub(crate) enum RemovedBy {
    /// The backend server, since it leaves.
    Server,
    /// The backend server, or the platform since the entry was not written for too long.
    Unknown,
}

impl RemovedBy {
    /// Determines who has removed an entry that is found to be missing at `now`. `clock` is a reading of the clock of the
    /// incarnation that has written it.
    pub(crate) fn new(
        last_write: LastWrite,
        clock: Option<ServerClock>,
        now: Moment,
        heartbeat: Duration,
    ) -> RemovedBy {
        let limit = heartbeat.scaled(MAX_OWN_REMOVAL_HEARTBEATS);
        match last_write.max_age(clock, now) {
            Some(age) if age < limit => RemovedBy::Server,
            _ => RemovedBy::Unknown,
        }
    }
}
