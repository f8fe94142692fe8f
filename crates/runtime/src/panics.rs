//! Limits a panic to a part of a task.

use std::panic::AssertUnwindSafe;

use futures_lite::FutureExt;

/// Returns the output of a future; `None` if it panics.
///
/// What the future shares with others must stay usable after a panic at any point: a poisoned lock makes its next
/// holder panic as well.
pub(crate) async fn catch_panic<T>(future: impl Future<Output = T>) -> Option<T> {
    AssertUnwindSafe(future).catch_unwind().await.ok()
}
