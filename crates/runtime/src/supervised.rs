//! Tasks of a box that belong to no term. A task that panics is restarted.

use std::time::Instant;

use model::Duration;

use crate::{panics::catch_panic, timers::pause};

/// Pause before a task is first restarted. Doubled with each restart up to [`MAX_PAUSE`], since a task that panics at
/// what it reads from the store reads it again.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause before a restart.
const MAX_PAUSE: Duration = Duration::from_millis(8000);
/// Time without a panic after which the pause starts at [`FIRST_PAUSE`] again.
const RESET_TIME: std::time::Duration = std::time::Duration::from_secs(60);

/// Spawns a task that is restarted after a panic, until it ends or is dropped. `make` makes its future.
pub(crate) fn spawn<F>(task: &'static str, make: impl Fn() -> F + Send + 'static) -> smol::Task<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    smol::spawn(async move {
        let mut next = FIRST_PAUSE;
        let mut begun = Instant::now();
        while catch_panic(make()).await.is_none() {
            if begun.elapsed() >= RESET_TIME {
                next = FIRST_PAUSE;
            }
            pause(next).await;
            log::error!("event=task_restarted task={task} after_ms={}", next.millis());
            next = next.scaled(2.0).min(MAX_PAUSE);
            begun = Instant::now();
        }
    })
}
