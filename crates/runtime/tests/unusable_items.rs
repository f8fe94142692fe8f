//! Log lines on items that cannot be used. Guards against a log that fills up with one item, which each read of its
//! prefix returns again.

use model::Revision;
use outside::Item;
use runtime::UnusableItems;

fn item(key: &str, revision: u64) -> Item {
    Item { key: key.to_owned(), value: vec![b'x'; 1000], revision: Revision(revision) }
}

#[test]
fn each_revision_of_an_item_is_logged_once() {
    let items = UnusableItems::default();
    let long = "why ".repeat(100_000);
    assert!(items.report("odd", &item("a", 1), &long));
    assert!(!items.report("odd", &item("a", 1), &long));
    assert!(items.report("odd", &item("b", 1), &long));
    assert!(items.report("odd", &item("a", 2), &long), "it was written again");
    assert!(!items.report("odd", &item("a", 2), &long));
    assert!(!items.report("odd", &item("b", 1), &long));
}

#[test]
fn any_number_of_items_takes_bounded_memory() {
    let items = UnusableItems::default();
    for i in 0..100_000 {
        assert!(items.report("odd", &item(&format!("{i}"), 1), &"why"));
    }
    assert!(format!("{items:?}").len() < 100_000, "not all keys are kept");
}
