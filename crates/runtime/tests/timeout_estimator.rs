//! The timeout of writes, estimated from response times.

use model::Duration;
use runtime::timeout_estimator::TimeoutEstimator;

const MAX_TIMEOUT: Duration = Duration::from_millis(800);

fn estimator_after(responses_ms: &[u64]) -> TimeoutEstimator {
    let mut estimator = TimeoutEstimator::new(MAX_TIMEOUT);
    for &ms in responses_ms {
        estimator.record_response(Duration::from_millis(ms));
    }
    estimator
}

#[test]
fn timeout_is_the_maximum_before_the_first_response() {
    assert_eq!(TimeoutEstimator::new(MAX_TIMEOUT).timeout(), MAX_TIMEOUT);
}

/// With a third of the responses lost, each lost write costs a tenth of a second instead of 0.8 s.
#[test]
fn lost_response_of_a_fast_store_costs_little() {
    let mut estimator = estimator_after(&[5; 20]);
    assert_eq!(estimator.timeout(), Duration::from_millis(100));
    estimator.record_timeout();
    assert_eq!(estimator.timeout(), Duration::from_millis(200));
    estimator.record_response(Duration::from_millis(5));
    assert_eq!(estimator.timeout(), Duration::from_millis(100));
}

/// A store that takes 60 times as long must be waited for, since repeated calls only add to its load.
#[test]
fn timeout_adapts_to_a_slow_store() {
    let mut estimator = estimator_after(&[5; 20]);
    for _ in 0..4 {
        estimator.record_timeout();
    }
    assert!(estimator.timeout() > Duration::from_millis(240), "the first answer comes");
    for _ in 0..10 {
        estimator.record_response(Duration::from_millis(240));
    }
    assert!(estimator.timeout() > Duration::from_millis(300), "{}", estimator.timeout());
}

#[test]
fn timeout_never_exceeds_the_maximum() {
    let mut estimator = estimator_after(&[700; 3]);
    for _ in 0..20 {
        estimator.record_timeout();
    }
    assert_eq!(estimator.timeout(), MAX_TIMEOUT);
}
