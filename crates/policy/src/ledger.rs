//! Use of each backend server by customer, and how much work may be pinned there.
//!
//! Pinned work can't be preempted. One invariant makes every guarantee reclaimable: on each backend server,
//! the resources assigned to customers, plus the resources of pinned work beyond its customer's own share,
//! never exceed those of the worker. All other work can be stopped.

use std::collections::BTreeMap;

use model::{CustomerId, Member, Resources};

use crate::{FreeCapacity, Running, cells::Cells};

/// One customer's use of one backend server.
#[derive(Debug, Clone, Copy, Default)]
struct Use {
    all: Resources,
    /// The part of `all` whose work can't be preempted.
    pinned: Resources,
}

/// Use by backend server and customer.
#[derive(Debug, Clone)]
pub(crate) struct Ledger {
    by_server: Vec<BTreeMap<usize, Use>>,
    totals: BTreeMap<usize, Resources>,
}

impl Ledger {
    /// Records the use of running gangs.
    pub(crate) fn of(
        free_capacity: &FreeCapacity,
        running: &[Running],
        customer_index: impl Fn(&CustomerId) -> Option<usize>,
    ) -> Ledger {
        let mut it = Ledger { by_server: vec![BTreeMap::new(); free_capacity.len()], totals: BTreeMap::new() };
        for gang in running {
            // Use by customers that are no longer in the file is recorded under an index that no customer has.
            let customer = customer_index(&gang.customer).unwrap_or(usize::MAX);
            it.add(free_capacity, customer, &gang.members, &gang.per_task, gang.preemptible());
        }
        it
    }

    /// Adds a gang.
    pub(crate) fn add(
        &mut self,
        free_capacity: &FreeCapacity,
        customer: usize,
        members: &[Member],
        per_task: &Resources,
        preemptible: bool,
    ) {
        for member in members {
            let Some(i) = free_capacity.position(&member.server) else { continue };
            let taken = per_task.times(member.tasks);
            let entry = self.by_server[i].entry(customer).or_default();
            entry.all += taken;
            if !preemptible {
                entry.pinned += taken;
            }
            *self.totals.entry(customer).or_default() += taken;
        }
    }

    /// Returns what a customer uses in the whole availability zone.
    pub(crate) fn total(&self, customer: usize) -> Resources {
        self.totals.get(&customer).copied().unwrap_or_default()
    }

    /// Returns what a customer uses on a backend server.
    pub(crate) fn used(&self, i: usize, customer: usize) -> Resources {
        self.by_server[i].get(&customer).map_or(Resources::default(), |it| it.all)
    }

    /// Returns how much more work that can't be preempted a customer may place on a backend server.
    pub(crate) fn pinnable(&self, free_capacity: &FreeCapacity, cells: &Cells, i: usize, customer: usize) -> Resources {
        let mut committed = Resources::default();
        for (other, assigned) in &cells.assigned[i] {
            if *other != customer {
                let pinned = self.by_server[i].get(other).map_or(Resources::default(), |it| it.pinned);
                committed += larger(assigned, &pinned);
            }
        }
        for (other, it) in &self.by_server[i] {
            let has_cell = cells.assigned[i].iter().any(|(c, _)| c == other);
            if *other != customer && !has_cell {
                committed += it.pinned;
            }
        }
        if let Some(own) = self.by_server[i].get(&customer) {
            committed += own.pinned;
        }
        free_capacity.capacity(i).saturating_sub(&committed)
    }
}

fn larger(a: &Resources, b: &Resources) -> Resources {
    Resources::new(a.accelerators.max(b.accelerators), a.cores.max(b.cores), a.memory_gb.max(b.memory_gb))
}
