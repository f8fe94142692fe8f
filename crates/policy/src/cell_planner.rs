//! The planner in production use: cells for guarantees, borrowing of unused cells, shadow reservations for large
//! gangs.

use std::{collections::BTreeMap, sync::Arc};

use model::{AvailabilityZoneId, CustomerId};

use crate::{
    Decision, Planner, Queued, Snapshot,
    cells::Cells,
    estimate::{Estimates, Finished},
    order::{OrderFactors, key},
    round::Round,
};

/// Number of waiting jobs that one round considers, in order; the rest waits for a later round.
const MAX_JOBS_PER_ROUND: usize = 4096;

/// Planner for one availability zone.
#[derive(Debug)]
pub struct CellPlanner {
    zone: AvailabilityZoneId,
    estimates: Estimates,
    cells: Option<Arc<Cells>>,
}

impl CellPlanner {
    /// Returns a planner that has no estimates yet.
    pub fn new(zone: AvailabilityZoneId) -> CellPlanner {
        CellPlanner { zone, estimates: Estimates::default(), cells: None }
    }

    fn cells(&mut self, snapshot: &Snapshot) -> Arc<Cells> {
        match &self.cells {
            Some(cells) if cells.is_valid_for(&snapshot.file, &snapshot.servers) => Arc::clone(cells),
            _ => {
                let cells = Arc::new(Cells::place(&snapshot.file, &self.zone, &snapshot.servers));
                self.cells = Some(Arc::clone(&cells));
                cells
            }
        }
    }
}

impl Planner for CellPlanner {
    fn plan(&mut self, snapshot: &Snapshot) -> Vec<Decision> {
        let cells = self.cells(snapshot);
        let customer_indices: BTreeMap<&CustomerId, usize> =
            snapshot.file.customers.keys().enumerate().map(|(n, id)| (id, n)).collect();
        let mut round = Round::new(snapshot, &cells, &self.estimates, &customer_indices);
        for queued in ordered(snapshot, &round) {
            round.consider(queued);
        }
        round.decisions
    }

    fn learn(&mut self, it: &Finished) {
        self.estimates.learn(it);
    }
}

fn ordered<'a>(snapshot: &'a Snapshot, round: &Round<'_>) -> Vec<&'a Queued> {
    let shares: f64 = snapshot.file.customers.values().map(|c| f64::from(c.share)).sum();
    let used = f64::from(round.used_accelerators().max(1));
    let factors = |queued: &Queued| {
        let customer = snapshot.file.customers.get(&queued.customer);
        let share = customer.map_or(1.0, |c| f64::from(c.share)) / shares.max(1.0);
        OrderFactors {
            precedence: round.precedence(queued),
            waited: queued.waited,
            likely: round.likely(queued),
            tasks: queued.gang.tasks,
            use_over_share: f64::from(round.accelerators_of(&queued.customer)) / used / share,
        }
    };
    let weights = &snapshot.file.weights;
    let mut order: Vec<_> = snapshot.queue.iter().map(|queued| (key(&factors(queued), weights), queued)).collect();
    order.sort_by(|((precedence, score), queued), ((other_precedence, other_score), other)| {
        precedence.cmp(other_precedence).then(score.total_cmp(other_score)).then_with(|| queued.job.cmp(&other.job))
    });
    order.into_iter().take(MAX_JOBS_PER_ROUND).map(|(_, queued)| queued).collect()
}
