//! Sums of amounts from outside, which may be as large as their types allow.

/// Returns the sum, or the largest number if it is larger.
pub(crate) fn saturating_sum(amounts: impl Iterator<Item = u64>) -> u64 {
    amounts.fold(0, u64::saturating_add)
}
