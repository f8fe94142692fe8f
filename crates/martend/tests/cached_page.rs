//! The cached page of metrics.

use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    time::Duration,
};

use martend::deployment::CachedPage;

/// Guards against metrics that fail for the rest of the life of the process, once a rendering has met the poisoned lock
/// of a scheduler that failed.
#[test]
fn a_page_is_rendered_after_a_rendering_that_panicked() {
    let cache = CachedPage::new(Duration::ZERO);
    let failed = catch_unwind(AssertUnwindSafe(|| cache.get(|| panic!("the fault of this test"))));
    assert!(failed.is_err());
    assert_eq!(cache.get(|| "page".to_owned()), "page");
}

/// A client that requests the page without pause must not take the time of other work.
#[test]
fn a_page_is_not_rendered_again_within_its_age() {
    let cache = CachedPage::new(Duration::from_secs(3600));
    assert_eq!(cache.get(|| "first".to_owned()), "first");
    assert_eq!(cache.get(|| "second".to_owned()), "first");
}
