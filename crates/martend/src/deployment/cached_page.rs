//! A page that is rendered at most once per interval.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Page with the time at which it was rendered.
pub struct CachedPage {
    /// Age up to which the page is returned again.
    max_age: Duration,
    /// `None` before the first page.
    last: Mutex<Option<(Instant, String)>>,
}

impl CachedPage {
    /// Creates a cache without a page.
    pub fn new(max_age: Duration) -> CachedPage {
        CachedPage { max_age, last: Mutex::default() }
    }

    /// Returns the last page, or renders a new one if it is too old. Concurrent calls wait for one rendering.
    pub fn get(&self, render: impl FnOnce() -> String) -> String {
        let mut last = self.lock();
        match &*last {
            Some((rendered, page)) if rendered.elapsed() < self.max_age => page.clone(),
            _ => {
                let page = render();
                *last = Some((Instant::now(), page.clone()));
                page
            }
        }
    }

    /// A panic while a page is rendered leaves the last one whole.
    fn lock(&self) -> MutexGuard<'_, Option<(Instant, String)>> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
