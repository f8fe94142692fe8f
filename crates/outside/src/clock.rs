//! Clocks, behind a trait so that tests run in virtual time.

use std::time::{SystemTime, UNIX_EPOCH};

use model::Moment;
use rustix::time::{ClockId, clock_gettime};

/// Source of monotonic and wall-clock time.
pub trait Clock: Send + Sync + 'static {
    /// Returns the monotonic time since an origin of this process.
    fn now(&self) -> Moment;

    /// Returns the wall-clock milliseconds since the Unix epoch, for incarnations and logs only.
    fn wall_ms(&self) -> u64;
}

/// Clocks of the machine.
///
/// `now` includes time during which the machine was suspended, unlike the clock behind [`std::time::Instant`]: with
/// that one, a scheduler that resumes from suspension would assume that its election had just been confirmed.
#[derive(Debug)]
pub struct SystemClock {
    origin_ms: u64,
}

impl Default for SystemClock {
    fn default() -> SystemClock {
        SystemClock { origin_ms: since_boot_ms() }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Moment {
        Moment::from_millis(since_boot_ms() - self.origin_ms)
    }

    fn wall_ms(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
    }
}

/// Returns the milliseconds since the machine booted, including those during which it was suspended.
fn since_boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1000 + time.tv_nsec as u64 / 1_000_000
}
