//! Which customers hold more than their share, with hysteresis.

use std::collections::BTreeSet;

use super::{Claimant, Share, Shares};

/// Part of its share that a customer above it has to fall short of before it counts as below again. Without it, the
/// end or the start of single tasks would move a customer to the other side with each plan: its share changes as often
/// as others' work ends.
const RETURN_MARGIN: f64 = 0.05;

/// Customers that hold more than their share.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AboveShare {
    customers: BTreeSet<Claimant>,
}

impl AboveShare {
    /// Updates the set by what customers hold now.
    pub fn update(&mut self, shares: &Shares) {
        let is_above = |(customer, share): &(&Claimant, &Share)| {
            let limit = self.limit(customer, share);
            share.held as f64 > limit
        };
        self.customers = shares.iter().filter(is_above).map(|(customer, _)| customer.clone()).collect();
    }

    /// Returns the customers above their share.
    pub fn customers(&self) -> &BTreeSet<Claimant> {
        &self.customers
    }

    /// Returns up to which amount a customer's work counts as within its share.
    pub fn limit(&self, customer: &Claimant, share: &Share) -> f64 {
        // A customer that gets all that it demands has nothing to give back.
        let margin = if self.customers.contains(customer) && !share.is_satisfied() { RETURN_MARGIN } else { 0.0 };
        share.fair * (1.0 - margin)
    }
}
