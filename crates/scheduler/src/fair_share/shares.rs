//! Division of a scarce resource by weighted max-min fairness.

use jobs::Resources;

use super::{Claimant, ResourceKind, Weight};

/// What one customer holds and wants of a service.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Demand {
    /// Weight of the customer.
    pub weight: Weight,
    /// Accelerators that are guaranteed to the customer and that it holds or wants.
    pub guaranteed: u64,
    /// Resources of its tasks that are placed.
    pub held: Resources,
    /// Resources of its tasks that are ready and wait.
    pub wanted: Resources,
}

impl Demand {
    fn total(&self) -> Resources {
        let mut total = self.held;
        total.add(&self.wanted);
        total
    }
}

/// Resources of a service that are free for the customers' work. What they hold comes in addition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Free resources.
    pub free: Resources,
}

/// Share of one customer, in units of the scarce resource.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// What is the customer's by fairness; at most what it demands.
    pub fair: f64,
    /// What its placed tasks take.
    pub held: u64,
    /// What its placed and waiting tasks take.
    pub demand: u64,
}

/// Part of its share below which a customer counts as far below it. The ends of others' runs raise what it holds too
/// slowly for a large gang, so capacity is kept for it from all who hold more of their shares.
const FAR_BELOW: f64 = 0.5;

impl Share {
    /// Whether the customer holds much less than its share.
    pub fn is_far_below(&self) -> bool {
        (self.held as f64) < self.fair * FAR_BELOW
    }

    /// Whether the customer gets all that it demands.
    pub fn is_satisfied(&self) -> bool {
        self.fair >= self.demand as f64
    }
}

/// Fair shares of the scarcest resource of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Shares {
    kind: ResourceKind,
    capacity: u64,
    by_customer: Vec<Share>,
}

impl Shares {
    /// Divides a service between customers; `None` if all that they want is free.
    ///
    /// Guarantees are covered first, the rest is divided by weighted max-min fairness: nobody gets more than it
    /// demands, and what one customer leaves is divided between the others.
    pub fn divide(capacity: &Capacity, demands: &[Demand]) -> Option<Shares> {
        let mut total_demand = Resources::default();
        let mut total_capacity = capacity.free;
        for demand in demands {
            total_demand.add(&demand.total());
            total_capacity.add(&demand.held);
        }
        let kind = ResourceKind::scarcest(&total_demand, &total_capacity)?;
        let capacity = kind.of(&total_capacity);
        Some(Shares { kind, capacity, by_customer: divide(kind, capacity, demands) })
    }

    /// Returns the scarce resource.
    pub fn kind(&self) -> ResourceKind {
        self.kind
    }

    /// Returns the amount of the scarce resource that is divided.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Returns the share of a customer.
    pub fn of(&self, customer: Claimant) -> &Share {
        &self.by_customer[customer.0]
    }

    /// Returns the shares of all customers.
    pub fn iter(&self) -> impl Iterator<Item = (Claimant, &Share)> {
        self.by_customer.iter().enumerate().map(|(i, share)| (Claimant(i), share))
    }
}

fn divide(kind: ResourceKind, capacity: u64, demands: &[Demand]) -> Vec<Share> {
    let demand: Vec<u64> = demands.iter().map(|demand| kind.of(&demand.total())).collect();
    // Guarantees are for accelerators only.
    let floor = |i: usize| if kind == ResourceKind::Accelerators { demands[i].guaranteed.min(demand[i]) } else { 0 };
    let mut fair: Vec<f64> = (0..demands.len()).map(|i| floor(i) as f64).collect();
    let guaranteed: f64 = fair.iter().sum();
    let capacity = capacity as f64;
    if guaranteed > capacity {
        // Backend servers are missing, and not even the guarantees fit.
        fair.iter_mut().for_each(|fair| *fair *= capacity / guaranteed);
    } else {
        let more: Vec<f64> = demand.iter().zip(&fair).map(|(demand, fair)| *demand as f64 - fair).collect();
        let weights: Vec<f64> = demands.iter().map(|demand| demand.weight.get()).collect();
        let filled = max_min(capacity - guaranteed, &more, &weights);
        fair.iter_mut().zip(filled).for_each(|(fair, filled)| *fair += filled);
    }
    let share = |i: usize| Share { fair: fair[i], held: kind.of(&demands[i].held), demand: demand[i] };
    (0..demands.len()).map(share).collect()
}

/// Divides an amount by weighted max-min fairness, by raising all shares in proportion to their weights until the
/// wanted amount is reached.
fn max_min(amount: f64, wanted: &[f64], weights: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..wanted.len()).filter(|&i| wanted[i] > 0.0).collect();
    // By logarithms, since the ratio of a demand to a very small weight may be too large for a number.
    let level = |i: usize| wanted[i].ln() - weights[i].ln();
    order.sort_unstable_by(|&a, &b| level(a).total_cmp(&level(b)).then(a.cmp(&b)));
    // Sums from the end, since subtracting from a total would leave rounding errors of the largest weights.
    let mut weights_from = vec![0.0; order.len() + 1];
    for (position, &i) in order.iter().enumerate().rev() {
        weights_from[position] = weights_from[position + 1] + weights[i];
    }
    let mut rest = amount;
    let mut shares = vec![0.0; wanted.len()];
    for (position, &i) in order.iter().enumerate() {
        let share = (rest * (weights[i] / weights_from[position])).min(wanted[i]);
        shares[i] = share;
        rest = (rest - share).max(0.0);
    }
    shares
}
