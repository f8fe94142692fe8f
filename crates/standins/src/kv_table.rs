//! Stand-in of the platform's key-value service: a table in memory and virtual time.

use std::collections::BTreeMap;

use model::{Duration, Moment};
use outside::{StoreReply, StoreRequest, Versioned};

/// Longest value, in bytes, by the platform's rules. A longer one is refused as a conflict.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Keys and values with their versions. A version is the number of writes to the whole table, so that a key that
/// expired and is created again never has an earlier version.
#[derive(Debug, Default)]
pub struct KvTable {
    entries: BTreeMap<String, Entry>,
    last_version: u64,
    /// Numbers of write calls and of read calls.
    pub calls: (u64, u64),
}

#[derive(Debug, Clone)]
struct Entry {
    value: String,
    version: u64,
    expires: Option<Moment>,
}

impl KvTable {
    /// Carries out one request. A `Watch` returns the current value at once; waiting is up to the caller.
    pub fn call(&mut self, req: &StoreRequest, now: Moment) -> StoreReply {
        self.entries.retain(|_, e| e.expires.is_none_or(|at| at > now));
        match req {
            StoreRequest::Get { key } | StoreRequest::Watch { key, .. } => {
                self.calls.1 += 1;
                StoreReply::Found { value: self.get(key) }
            }
            StoreRequest::List { prefix } => {
                self.calls.1 += 1;
                let keys = self.entries.keys().filter(|k| k.starts_with(prefix.as_str()));
                StoreReply::Listed { values: keys.filter_map(|k| self.get(k)).collect() }
            }
            StoreRequest::Create { key, value, ttl } => {
                self.calls.0 += 1;
                match self.get(key) {
                    None => self.write(key, value, *ttl, now),
                    found => StoreReply::Conflict { value: found },
                }
            }
            StoreRequest::CompareAndSwap { key, version, value, ttl } => {
                self.calls.0 += 1;
                match self.get(key) {
                    Some(found) if found.version == *version => self.write(key, value, *ttl, now),
                    found => StoreReply::Conflict { value: found },
                }
            }
        }
    }

    /// Returns the value of a key without counting a call, for a watch that is waiting.
    pub fn peek(&mut self, key: &str, now: Moment) -> StoreReply {
        self.entries.retain(|_, e| e.expires.is_none_or(|at| at > now));
        StoreReply::Found { value: self.get(key) }
    }

    fn get(&self, key: &str) -> Option<Versioned> {
        let entry = self.entries.get(key)?;
        Some(Versioned { key: key.to_owned(), value: entry.value.clone(), version: entry.version })
    }

    fn write(&mut self, key: &str, value: &str, ttl: Option<Duration>, now: Moment) -> StoreReply {
        if value.len() > MAX_VALUE_BYTES {
            return StoreReply::Conflict { value: self.get(key) };
        }
        self.last_version += 1;
        let entry = Entry { value: value.to_owned(), version: self.last_version, expires: ttl.map(|ttl| now + ttl) };
        self.entries.insert(key.to_owned(), entry);
        StoreReply::Written { version: self.last_version }
    }
}
