//! Pauses: between tries of a call, and until something happens.

use model::Duration;

/// Pause after a failed call, doubled up to [`LONGEST_PAUSE`], each time with half of it drawn at random.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// A box that is cut off looks this often whether it still is.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Waits between tries of a call.
pub(crate) struct Backoff {
    pause: Duration,
}

impl Backoff {
    pub(crate) fn new() -> Backoff {
        Backoff { pause: FIRST_PAUSE }
    }

    pub(crate) fn reset(&mut self) {
        self.pause = FIRST_PAUSE;
    }

    pub(crate) async fn wait(&mut self) {
        self.wait_at_most(LONGEST_PAUSE).await;
    }

    /// Waits, but no longer than what is left of the caller's time.
    pub(crate) async fn wait_at_most(&mut self, left: Duration) {
        let next = self.next();
        pause(next.min(left)).await;
    }

    /// How long to wait before the next try.
    pub(crate) fn next(&mut self) -> Duration {
        let next = self.pause.scaled(0.5 + fastrand::f64() / 2.0);
        self.pause = self.pause.scaled(2.0).min(LONGEST_PAUSE);
        next
    }
}

/// Lets time pass.
pub(crate) async fn pause(time: Duration) {
    smol::Timer::after(time.into()).await;
}

/// Waits for an event, but no longer than `limit`.
pub(crate) async fn with_timeout(limit: Duration, event: impl Future<Output = ()>) {
    futures_lite::FutureExt::or(event, pause(limit)).await;
}
