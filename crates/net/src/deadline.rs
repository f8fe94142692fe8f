//! Deadlines on futures, and the error that a failed call ends in.

use derive_more::{Display, Error};
use futures_lite::FutureExt;

/// Why a call brought no reply.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum NetError {
    /// No connection could be made: the request did not leave this process.
    #[display("cannot connect: {why}")]
    Unsent {
        /// The system's words.
        why: String,
    },
    /// Nothing listens at the address: the request did not leave this process, and the one that listened has ended,
    /// or the network says so for it.
    #[display("refused: {why}")]
    Refused {
        /// The system's words.
        why: String,
    },
    /// The request may have taken effect.
    #[display("no reply: {why}")]
    Lost {
        /// What went wrong.
        why: String,
    },
}

/// Runs `f` for at most `limit`; the request may have taken effect when that passes.
pub async fn within<T>(
    limit: std::time::Duration,
    f: impl Future<Output = Result<T, NetError>>,
) -> Result<T, NetError> {
    let expire = async {
        smol::Timer::after(limit).await;
        Err(NetError::Lost { why: format!("nothing came within {} ms", limit.as_millis()) })
    };
    f.or(expire).await
}
