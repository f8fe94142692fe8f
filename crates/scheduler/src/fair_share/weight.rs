//! Weight of a customer's share.

/// Weight of a customer's fair share relative to those of other customers: positive and finite.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Weight(f64);

impl Weight {
    /// Creates a weight; `None` unless it is positive and finite.
    pub fn new(weight: f64) -> Option<Weight> {
        (weight.is_finite() && weight > 0.0).then_some(Weight(weight))
    }

    /// Returns the weight as a number.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl Default for Weight {
    fn default() -> Weight {
        Weight(1.0)
    }
}
