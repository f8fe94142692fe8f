//! Deadlines of calls, and the error of a failed call.
//!
//! The error tells whether the request may have taken effect, which decides whether the caller may repeat it.

use derive_more::{Display, Error};
use futures_lite::FutureExt;

/// Error of a call that received no valid reply.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum NetError {
    /// No connection could be established: the request was not sent.
    #[display("cannot connect: {why}")]
    Unsent {
        /// Error that the operating system or `hyper` reported.
        why: String,
    },
    /// Nothing listens at the address: the request was not sent. Either the process that listened there has ended, or a
    /// device of the network refuses the connection in its name.
    #[display("refused: {why}")]
    Refused {
        /// Error that the operating system or `hyper` reported.
        why: String,
    },
    /// No valid reply was received: the request may have taken effect.
    #[display("no reply: {why}")]
    Lost {
        /// Cause of the failure.
        why: String,
    },
}

/// Runs `f` for at most `limit`, and returns [`NetError::Lost`] after that.
pub async fn within<T>(
    limit: std::time::Duration,
    f: impl Future<Output = Result<T, NetError>>,
) -> Result<T, NetError> {
    let expire = async {
        smol::Timer::after(limit).await;
        Err(NetError::Lost { why: format!("timed out after {} ms", limit.as_millis()) })
    };
    f.or(expire).await
}
