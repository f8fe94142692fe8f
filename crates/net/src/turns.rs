//! Limit on concurrent calls, for many calls that become due at the same time.

use std::time::Duration;

use smol::lock::Semaphore;

/// Limits the number of calls in flight. A call occupies a slot until it completes, but not longer than a time limit,
/// so that calls without a response don't delay the others. After that it continues without a slot.
#[derive(Debug)]
pub struct CallLimiter {
    slots: Semaphore,
    slot_limit: Duration,
}

impl CallLimiter {
    /// Creates a limit of `slots` concurrent calls, each of which occupies its slot for at most `slot_limit`.
    pub fn new(slots: usize, slot_limit: Duration) -> CallLimiter {
        CallLimiter { slots: Semaphore::new(slots), slot_limit }
    }

    /// Runs `call` after a slot is free. Slots are assigned in the order of the calls to this method.
    pub async fn run<T>(&self, call: impl Future<Output = T>) -> T {
        let mut call = std::pin::pin!(call);
        let slot = self.slots.acquire().await;
        let completed = async { Some(call.as_mut().await) };
        let expired = async {
            smol::Timer::after(self.slot_limit).await;
            None
        };
        if let Some(output) = futures_lite::FutureExt::or(completed, expired).await {
            return output;
        }
        drop(slot);
        call.await
    }
}
