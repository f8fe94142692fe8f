//! Capacity that is kept for gangs that have been overtaken for long enough.

use super::Claimant;
use crate::sums::saturating_sum;

/// Position of waiting work relative to the share of its customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Position {
    /// Its customer holds much less than its share.
    FarBelow,
    /// It lies within the share.
    Within,
    /// It lies beyond the share.
    Beyond,
}

/// Waiting work of a customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Customer of the work.
    pub customer: Claimant,
    /// Position of the work relative to the customer's share.
    pub position: Position,
}

/// Amounts of the scarce resource that are kept for gangs while later work is placed.
///
/// A gang does not fit until enough is free at once, while smaller jobs take what is freed bit by bit. Only the amount
/// that the gang takes is kept, so that little stays idle for a gang that does not fit for other reasons.
#[derive(Debug, Clone, Default)]
pub struct Reservations {
    gangs: Vec<(Claim, u64)>,
}

impl Reservations {
    /// Keeps an amount for a gang that was not placed.
    pub fn add(&mut self, claim: Claim, amount: u64) {
        self.gangs.push((claim, amount));
    }

    /// Returns the amount that is kept from work with this claim: what gangs of its own customer wait for, and those of
    /// other customers that are further below their shares.
    pub fn kept_from(&self, claim: &Claim) -> u64 {
        let is_kept_for = |gang: &Claim| gang.customer == claim.customer || gang.position < claim.position;
        saturating_sum(self.gangs.iter().filter(|(gang, _)| is_kept_for(gang)).map(|(_, amount)| *amount))
    }
}
