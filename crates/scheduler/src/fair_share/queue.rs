//! Which part of the waiting work lies within its customer's share.

use super::{AboveShare, Claimant, Shares};

/// What is left of the customers' shares while their waiting work is passed in the order of its deadlines.
#[derive(Debug, Clone)]
pub struct Queue {
    left: Vec<Left>,
}

#[derive(Debug, Clone, Copy)]
struct Left {
    amount: f64,
    /// Whether work of the customer has already gone beyond the share. What comes later in the order goes beyond too,
    /// so that no job overtakes an earlier, larger one of its own customer.
    is_exhausted: bool,
}

impl Queue {
    /// Creates a queue in which nobody has taken anything in addition to what it holds.
    pub fn new(shares: &Shares, above: &AboveShare) -> Queue {
        let left = shares.iter().map(|(customer, share)| {
            let amount = above.limit(customer, share) - share.held as f64;
            Left { amount, is_exhausted: false }
        });
        Queue { left: left.collect() }
    }

    /// Takes an amount that goes before all work of this queue: it has a guarantee, or a higher priority.
    pub fn take(&mut self, customer: Claimant, amount: u64) {
        self.left[customer.0].amount -= amount as f64;
    }

    /// Takes groups of a customer, and returns how many of them lie within its share.
    ///
    /// A group counts as within the share if its customer is below the share before it, however large the group is;
    /// otherwise a gang that is larger than what is left would wait behind everybody although its customer is below
    /// its share.
    pub fn take_groups(&mut self, customer: Claimant, amount_each: u64, groups: usize) -> usize {
        if amount_each == 0 {
            return groups;
        }
        let left = &mut self.left[customer.0];
        let fitting = (left.amount / amount_each as f64).ceil().max(0.0);
        let within = if left.is_exhausted { 0 } else { groups.min(fitting as usize) };
        left.amount -= amount_each as f64 * groups as f64;
        left.is_exhausted |= within < groups;
        within
    }
}
