//! Clocks, as a trait so that tests run in virtual time.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use model::Moment;

/// Gives the time.
pub trait Clock: Send + Sync + 'static {
    /// Monotonic time since an origin of this process.
    fn now(&self) -> Moment;

    /// Wall-clock milliseconds since 1970, for incarnations and logs only.
    fn wall_ms(&self) -> u64;
}

/// The machine's clocks.
#[derive(Debug)]
pub struct SystemClock {
    origin: Instant,
}

impl Default for SystemClock {
    fn default() -> SystemClock {
        SystemClock { origin: Instant::now() }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Moment {
        Moment::from_millis(self.origin.elapsed().as_millis() as u64)
    }

    fn wall_ms(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
    }
}
