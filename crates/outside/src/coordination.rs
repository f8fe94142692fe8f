//! The border to a store with revisions, transactions, leases and watches.

use derive_more::{Display, Error};
use model::{Duration, Revision};
use net::BoxFuture;

/// Names a lease of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub struct LeaseId(pub u64);

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The store's revision at which it was last written.
    pub revision: Revision,
}

/// A change that a watch has seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Written.
    Put(Item),
    /// Removed.
    Removed {
        /// The key.
        key: String,
    },
}

/// Some of the items under a prefix, in the order of their keys.
#[derive(Debug, Clone, Default)]
pub struct Page {
    /// The items.
    pub items: Vec<Item>,
    /// The store's revision when the page was read.
    pub at: Revision,
    /// There are more items after the last of these.
    pub more: bool,
}

/// What a watch brought.
#[derive(Debug, Clone)]
pub enum Watched {
    /// Changes, in order; none if the wait was over first.
    Changes {
        /// The changes.
        changes: Vec<Change>,
        /// Where to go on from.
        at: Revision,
    },
    /// The store has forgotten what happened since: read everything again.
    Compacted,
}

/// A write of one key.
#[derive(Debug, Clone)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The key goes when this lease goes.
    pub lease: Option<LeaseId>,
}

/// Writes that take effect together, if everything expected holds.
#[derive(Debug, Clone, Default)]
pub struct Transaction {
    /// Keys and the revision that each must have; 0: it must not exist.
    pub expect: Vec<(String, Revision)>,
    /// Written.
    pub put: Vec<Put>,
    /// Removed.
    pub remove: Vec<String>,
}

/// How a transaction went.
#[derive(Debug, Clone)]
pub enum Committed {
    /// Done, at this revision.
    Done(Revision),
    /// Not done: these are the expected keys that exist, as they stand.
    Conflict(Vec<Item>),
    /// Not done: the lease does not exist.
    LeaseGone,
}

/// Why the store gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum StoreError {
    /// Nothing was done, and nothing of it will be.
    #[display("the store refused: {why}")]
    Refused {
        /// Its words.
        why: String,
    },
    /// It may have been done, or may be done later.
    #[display("the store did not answer: {why}")]
    Lost {
        /// What went wrong.
        why: String,
    },
}

/// The platform's store. Nothing here retries.
pub trait CoordinationStore: Send + Sync + 'static {
    /// Reads a key.
    fn get(&self, key: String) -> BoxFuture<'_, Result<Option<Item>, StoreError>>;
    /// Reads a key within `limit`, at less cost than [`CoordinationStore::get`]: what is told may be seconds old.
    fn get_stale(&self, key: String, limit: Duration) -> BoxFuture<'_, Result<Option<Item>, StoreError>>;
    /// Reads a page of what is under a prefix: from its first key, or from the first key above `after`.
    fn page(&self, prefix: String, after: Option<String>) -> BoxFuture<'_, Result<Page, StoreError>>;
    /// Waits for changes under a prefix after a revision.
    fn watch(&self, prefix: String, since: Revision, wait: Duration) -> BoxFuture<'_, Result<Watched, StoreError>>;
    /// Writes under conditions, within `limit`.
    fn commit(&self, transaction: Transaction, limit: Duration) -> BoxFuture<'_, Result<Committed, StoreError>>;
    /// Makes a lease.
    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StoreError>>;
    /// Renews a lease; `false` if it is over.
    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<bool, StoreError>>;
    /// Ends a lease.
    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;
}
