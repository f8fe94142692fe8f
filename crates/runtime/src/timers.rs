//! Timers: backoff between attempts of a call, pauses and timeouts.

use model::Duration;

/// Pause after a first failed call. Doubled after each further failure up to [`MAX_PAUSE`]; half of each pause is
/// random.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between attempts: a box without a connection retries this often.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Exponential backoff with jitter.
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
        self.wait_at_most(MAX_PAUSE).await;
    }

    /// Waits for the next pause, but at most for `remaining`, the time that the caller has left.
    pub(crate) async fn wait_at_most(&mut self, remaining: Duration) {
        let next = self.next();
        pause(next.min(remaining)).await;
    }

    /// Returns the pause before the next attempt, and doubles the following one.
    pub(crate) fn next(&mut self) -> Duration {
        let next = self.pause.scaled(0.5 + fastrand::f64() / 2.0);
        self.pause = self.pause.scaled(2.0).min(MAX_PAUSE);
        next
    }
}

/// Waits for a duration.
pub(crate) async fn pause(time: Duration) {
    smol::Timer::after(time.into()).await;
}

/// Waits for an event, for at most `limit`.
pub(crate) async fn with_timeout(limit: Duration, event: impl Future<Output = ()>) {
    futures_lite::FutureExt::or(event, pause(limit)).await;
}
