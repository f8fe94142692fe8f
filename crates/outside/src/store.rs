//! Trait and messages of the platform's key-value service.

use model::Duration;
use net::{BoxFuture, NetError};
use serde::{Deserialize, Serialize};

/// Key with its value and version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned {
    /// Key of the value.
    pub key: String,
    /// Value, up to 1 MB.
    pub value: String,
    /// Version, which starts at 1 and rises with each write of the key.
    pub version: u64,
}

/// Request to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum StoreRequest {
    /// Reads a key.
    Get {
        /// Key to read.
        key: String,
    },
    /// Writes a key that must not exist.
    Create {
        /// Key to write.
        key: String,
        /// Value to write.
        value: String,
        /// Time after which the platform removes the key; `None` to keep it.
        ttl: Option<Duration>,
    },
    /// Writes a key that must have a given version.
    CompareAndSwap {
        /// Key to write.
        key: String,
        /// Version that the key must have.
        version: u64,
        /// New value.
        value: String,
        /// Time after which the platform removes the key; `None` to keep it.
        ttl: Option<Duration>,
    },
    /// Reads all keys with a prefix.
    List {
        /// Prefix of the keys.
        prefix: String,
    },
    /// Waits up to `wait` until a key has a version above `above`.
    Watch {
        /// Key to watch.
        key: String,
        /// Version that the caller already has; 0 for none.
        above: u64,
        /// Longest time that the service waits for the change.
        wait: Duration,
    },
}

/// Reply of the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum StoreReply {
    /// Reply to `Get` and `Watch`.
    Found {
        /// Current value; `None` if the key doesn't exist.
        value: Option<Versioned>,
    },
    /// Reply to `Create` and `CompareAndSwap` after the key was written.
    Written {
        /// New version of the key.
        version: u64,
    },
    /// Reply to `Create` and `CompareAndSwap` if the condition didn't hold and nothing was written.
    Conflict {
        /// Current value; `None` if the key doesn't exist.
        value: Option<Versioned>,
    },
    /// Reply to `List`.
    Listed {
        /// Values of all keys with the prefix.
        values: Vec<Versioned>,
    },
}

/// Key-value service of the platform. A request that fails with [`NetError::Lost`] may have taken effect.
pub trait Store: Send + Sync + 'static {
    /// Sends one request, which counts towards the platform's limits.
    fn call(&self, req: StoreRequest) -> BoxFuture<'static, Result<StoreReply, NetError>>;
}
