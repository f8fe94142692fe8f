//! Which customers hold more than their share, with hysteresis.

use super::{Claimant, Share, Shares};

/// Part of its share that a customer above it has to fall short of before it counts as below again. Without it, the
/// end or the start of single tasks would move a customer to the other side with each plan: its share changes as often
/// as others' work ends.
const RETURN_MARGIN: f64 = 0.05;

/// Customers that hold more than their share.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AboveShare {
    /// Whether each customer is above; those that are missing are not.
    customers: Vec<bool>,
}

impl AboveShare {
    /// Updates the set by what customers hold now.
    pub fn update(&mut self, shares: &Shares) {
        let is_above = |(customer, share): (Claimant, &Share)| share.held as f64 > self.limit(customer, share);
        self.customers = shares.iter().map(is_above).collect();
    }

    /// Returns the customers above their share.
    pub fn customers(&self) -> impl Iterator<Item = Claimant> {
        self.customers.iter().enumerate().filter(|(_, is_above)| **is_above).map(|(i, _)| Claimant(i))
    }

    /// Whether a customer is above its share.
    pub fn contains(&self, customer: Claimant) -> bool {
        self.customers.get(customer.0).copied().unwrap_or(false)
    }

    /// Returns up to which amount a customer's work counts as within its share.
    pub fn limit(&self, customer: Claimant, share: &Share) -> f64 {
        // A customer that gets all that it demands has nothing to give back.
        let margin = if self.contains(customer) && !share.is_satisfied() { RETURN_MARGIN } else { 0.0 };
        share.fair * (1.0 - margin)
    }
}
