//! The platform's key-value service.

use model::Duration;
use net::{BoxFuture, NetError};
use serde::{Deserialize, Serialize};

/// A value with its key and version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned {
    /// The key.
    pub key: String,
    /// The value, to 1 MB.
    pub value: String,
    /// Rises with each write of the key, from 1.
    pub version: u64,
}

/// A request to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum StoreRequest {
    /// Reads a key.
    Get {
        /// The key.
        key: String,
    },
    /// Writes a key that must not exist.
    Create {
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// After this long the platform removes the key; `None` for never.
        ttl: Option<Duration>,
    },
    /// Writes a key that must stand at a version.
    CompareAndSwap {
        /// The key.
        key: String,
        /// The version it must have.
        version: u64,
        /// The new value.
        value: String,
        /// After this long the platform removes the key; `None` for never.
        ttl: Option<Duration>,
    },
    /// Reads every key that begins so.
    List {
        /// The beginning.
        prefix: String,
    },
    /// Waits up to `wait` for a key to be above a version.
    Watch {
        /// The key.
        key: String,
        /// The version known, 0 for none.
        above: u64,
        /// How long the call may wait.
        wait: Duration,
    },
}

/// The service's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum StoreReply {
    /// To `Get` and `Watch`.
    Found {
        /// What stands there.
        value: Option<Versioned>,
    },
    /// To `Create` and `CompareAndSwap`: written.
    Written {
        /// The version it has now.
        version: u64,
    },
    /// To `Create` and `CompareAndSwap`: not written.
    Conflict {
        /// What stands there instead.
        value: Option<Versioned>,
    },
    /// To `List`.
    Listed {
        /// All that begin so.
        values: Vec<Versioned>,
    },
}

/// The platform's key-value service. An error of [`NetError::Lost`] may have taken effect.
pub trait Store: Send + Sync + 'static {
    /// Makes one call, which the platform counts.
    fn call(&self, req: StoreRequest) -> BoxFuture<'static, Result<StoreReply, NetError>>;
}
