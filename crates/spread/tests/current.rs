//! The revision in force never decreases, whatever the order in which documents arrive.

use model::{OperatorFile, Revision};
use proptest::prelude::*;
use spread::{Current, Document, Taken};

fn document(revision: u64) -> String {
    let file: OperatorFile = model::from_json(
        br#"{"weights":{"completion_time":1,"fragmentation":1},"classes":[{"id":"c","queue_limit":1}],
            "customers":[{"id":"a","share":1}],"backend_servers":[]}"#,
    )
    .expect("the file is well formed");
    Document { revision: Revision(revision), history: Vec::new(), file }.to_text()
}

#[test]
fn an_older_document_is_dropped() {
    let mut current = Current::default();
    assert_eq!(current.take(&document(5)), Ok(Taken::InForce));
    assert_eq!(current.take(&document(4)), Ok(Taken::Older));
    assert_eq!(current.revision(), Revision(5));
}

#[test]
fn a_document_that_cannot_be_read_changes_nothing() {
    let mut current = Current::default();
    current.take(&document(5)).expect("the document is well formed");
    assert!(current.take("{}").is_err());
    assert_eq!(current.revision(), Revision(5));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_highest_revision_wins(revisions in proptest::collection::vec(1u64..50, 1..20)) {
        let mut current = Current::default();
        let mut last = Revision(0);
        for revision in &revisions {
            current.take(&document(*revision)).expect("the document is well formed");
            prop_assert!(current.revision() >= last);
            last = current.revision();
        }
        prop_assert_eq!(last.0, revisions.into_iter().max().unwrap_or(0));
    }
}
