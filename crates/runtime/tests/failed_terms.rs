//! The delay of a box whose latest terms have failed.

use model::Duration;
use runtime::failed_terms::FailedTerms;

const SHORT_TERM: Duration = Duration::from_secs(1);
const LONG_TERM: Duration = Duration::from_secs(600);

fn delays_ms(failed: &mut FailedTerms, lengths: &[Duration]) -> Vec<u64> {
    let after = |length: &Duration| {
        failed.record_failure(*length);
        failed.delay().millis()
    };
    lengths.iter().map(after).collect()
}

/// Guards against elections at the full rate for as long as every box meets the same fault.
#[test]
fn delay_doubles_with_each_failed_term_up_to_a_bound() {
    let mut failed = FailedTerms::NONE;
    assert_eq!(failed.delay(), Duration::ZERO);
    assert_eq!(delays_ms(&mut failed, &[SHORT_TERM; 6]), [1500, 3000, 6000, 12_000, 12_000, 12_000]);
    assert_eq!(failed.in_a_row(), 6);
}

/// Rare faults of a box that schedules well in between must not keep it out of the election.
#[test]
fn a_term_that_lasted_starts_a_new_series() {
    let mut failed = FailedTerms::NONE;
    assert_eq!(delays_ms(&mut failed, &[SHORT_TERM, SHORT_TERM, LONG_TERM, SHORT_TERM]), [1500, 3000, 1500, 3000]);
    assert_eq!(failed.in_a_row(), 2);
}

/// The time limit of the restore doubles already; a delay that doubled as well would prolong the recovery.
#[test]
fn a_restore_that_took_too_long_does_not_double_the_delay() {
    let mut failed = FailedTerms::NONE;
    failed.record_not_restored();
    failed.record_not_restored();
    assert_eq!(failed.delay(), Duration::from_millis(1500));
    assert_eq!(delays_ms(&mut failed, &[SHORT_TERM, SHORT_TERM]), [1500, 3000]);
    failed.record_not_restored();
    assert_eq!(failed.delay(), Duration::from_millis(3000));
}
