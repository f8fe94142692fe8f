//! How long a write may go without an answer before it is made again.

use model::Duration;
use runtime::timeout_estimator::TimeoutEstimator;

const LONGEST: Duration = Duration::from_millis(800);

fn after(answers_ms: &[u64]) -> TimeoutEstimator {
    let mut time = TimeoutEstimator::new(LONGEST);
    for &ms in answers_ms {
        time.record_response(Duration::from_millis(ms));
    }
    time
}

#[test]
fn nothing_is_given_up_early_before_anything_is_known() {
    assert_eq!(TimeoutEstimator::new(LONGEST).timeout(), LONGEST);
}

/// A third of the answers are lost: each such write costs a tenth of a second in place of 0.8.
#[test]
fn a_lost_answer_of_a_quick_store_costs_little() {
    let mut time = after(&[5; 20]);
    assert_eq!(time.timeout(), Duration::from_millis(100));
    time.record_timeout();
    assert_eq!(time.timeout(), Duration::from_millis(200));
    time.record_response(Duration::from_millis(5));
    assert_eq!(time.timeout(), Duration::from_millis(100));
}

/// A store that takes 60 times as long is waited for: calls that are made again would only add to its load.
#[test]
fn a_slow_store_is_waited_for() {
    let mut time = after(&[5; 20]);
    for _ in 0..4 {
        time.record_timeout();
    }
    assert!(time.timeout() > Duration::from_millis(240), "the first answer comes");
    for _ in 0..10 {
        time.record_response(Duration::from_millis(240));
    }
    assert!(time.timeout() > Duration::from_millis(300), "{}", time.timeout());
}

#[test]
fn no_call_may_take_longer_than_the_limit() {
    let mut time = after(&[700; 3]);
    for _ in 0..20 {
        time.record_timeout();
    }
    assert_eq!(time.timeout(), LONGEST);
}
