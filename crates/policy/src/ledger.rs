//! Who uses what on each backend server, and what may be pinned there.
//!
//! The invariant by which every guarantee can be reclaimed: on each backend server, what customers
//! are assigned, plus what work that may not be stopped takes beyond its customer's own share,
//! never exceeds what the worker has. All other work can be stopped.

use std::collections::BTreeMap;

use model::{CustomerId, Member, Resources};

use crate::{Room, Running, cells::Cells};

/// Use by customer on one backend server.
#[derive(Debug, Clone, Copy, Default)]
struct Use {
    all: Resources,
    pinned: Resources,
}

/// Use by backend server and customer.
#[derive(Debug, Clone)]
pub(crate) struct Ledger {
    by_place: Vec<BTreeMap<usize, Use>>,
    totals: BTreeMap<usize, Resources>,
}

impl Ledger {
    /// The use of running gangs.
    pub(crate) fn of(room: &Room, running: &[Running], number: impl Fn(&CustomerId) -> Option<usize>) -> Ledger {
        let mut it = Ledger { by_place: vec![BTreeMap::new(); room.len()], totals: BTreeMap::new() };
        for gang in running {
            // A customer that has left the file keeps its place by a number that nobody has.
            let customer = number(&gang.customer).unwrap_or(usize::MAX);
            it.add(room, customer, &gang.members, &gang.per_task, gang.preemptible());
        }
        it
    }

    /// Adds a gang.
    pub(crate) fn add(
        &mut self,
        room: &Room,
        customer: usize,
        members: &[Member],
        per_task: &Resources,
        preemptible: bool,
    ) {
        for member in members {
            let Some(i) = room.position(&member.server) else { continue };
            let taken = per_task.times(member.tasks);
            let entry = self.by_place[i].entry(customer).or_default();
            entry.all += taken;
            if !preemptible {
                entry.pinned += taken;
            }
            *self.totals.entry(customer).or_default() += taken;
        }
    }

    /// All that a customer uses.
    pub(crate) fn total(&self, customer: usize) -> Resources {
        self.totals.get(&customer).copied().unwrap_or_default()
    }

    /// What a customer uses on a backend server.
    pub(crate) fn used(&self, i: usize, customer: usize) -> Resources {
        self.by_place[i].get(&customer).map_or(Resources::default(), |it| it.all)
    }

    /// How much more work that may not be stopped a customer may place on a backend server.
    pub(crate) fn may_pin(&self, room: &Room, cells: &Cells, i: usize, customer: usize) -> Resources {
        let mut spoken_for = Resources::default();
        for (other, assigned) in &cells.assigned[i] {
            if *other != customer {
                let pinned = self.by_place[i].get(other).map_or(Resources::default(), |it| it.pinned);
                spoken_for += larger(assigned, &pinned);
            }
        }
        for (other, it) in &self.by_place[i] {
            let has_cell = cells.assigned[i].iter().any(|(c, _)| c == other);
            if *other != customer && !has_cell {
                spoken_for += it.pinned;
            }
        }
        if let Some(own) = self.by_place[i].get(&customer) {
            spoken_for += own.pinned;
        }
        room.capacity(i).saturating_sub(&spoken_for)
    }
}

fn larger(a: &Resources, b: &Resources) -> Resources {
    Resources::new(a.accelerators.max(b.accelerators), a.cores.max(b.cores), a.memory_gb.max(b.memory_gb))
}
