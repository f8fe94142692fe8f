//! Many calls that become due at once, made a few at a time.

use std::time::Duration;

use smol::lock::Semaphore;

/// Lets a bounded number of calls be under way. A call's turn is over when it is answered, or after a while: those that get no
/// answer must not hold up the others.
#[derive(Debug)]
pub struct Turns {
    free: Semaphore,
    longest: Duration,
}

impl Turns {
    /// `at_once` calls have their turn at once, each for `longest` at most.
    pub fn new(at_once: usize, longest: Duration) -> Turns {
        Turns { free: Semaphore::new(at_once), longest }
    }

    /// Makes a call in its turn; calls get theirs in the order in which they ask for it.
    pub async fn take<T>(&self, call: impl Future<Output = T>) -> T {
        let mut call = std::pin::pin!(call);
        let turn = self.free.acquire().await;
        let answered = async { Some(call.as_mut().await) };
        let over = async {
            smol::Timer::after(self.longest).await;
            None
        };
        if let Some(answer) = futures_lite::FutureExt::or(answered, over).await {
            return answer;
        }
        drop(turn);
        call.await
    }
}
