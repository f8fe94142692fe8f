//! Log lines on items of the store that cannot be used.
//!
//! Other writers may leave such an item for long, and it is read again with each read of its prefix. It is logged once
//! for each revision, and shortened, since it may be long.

use std::{
    collections::HashMap,
    fmt::Display,
    sync::{Mutex, MutexGuard},
};

use model::Revision;
use outside::Item;

/// Most keys that are remembered. Beyond that all are forgotten, and lines may repeat; the logger bounds their number.
const MAX_KEYS: usize = 1024;
/// Most characters of a key and of a reason in a line.
const MAX_CHARS: usize = 120;

/// The items that have been logged, each with its revision.
#[derive(Debug, Default)]
pub struct UnusableItems {
    logged: Mutex<HashMap<String, Revision>>,
}

impl UnusableItems {
    /// Logs an item as an error with the name `event`, unless this revision was logged before. Returns whether it was
    /// logged.
    pub fn report(&self, event: &'static str, item: &Item, why: &impl Display) -> bool {
        let mut logged = self.lock();
        if logged.get(&item.key) == Some(&item.revision) {
            return false;
        }
        if logged.len() >= MAX_KEYS {
            logged.clear();
        }
        logged.insert(item.key.clone(), item.revision);
        drop(logged);
        metrics::counter!("martenscale_unusable_items_total", "event" => event).increment(1);
        let (key, why) = (shortened(&item.key), shortened(why));
        log::error!("event={event} key={key:?} revision={} bytes={} why={why:?}", item.revision, item.value.len());
        true
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Revision>> {
        self.logged.lock().expect("no holder panics")
    }
}

fn shortened(text: &(impl Display + ?Sized)) -> String {
    text.to_string().chars().take(MAX_CHARS).collect()
}
