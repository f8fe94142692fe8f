//! Guarantees as placeable shapes: every gang of every guarantee has a *cell*, a placement assigned to it.
//!
//! As in HiveD (Zhao et al., OSDI 2020), a guarantee names shapes rather than counts, and its cells are fixed, so
//! that other customers can only borrow them.

use std::{collections::BTreeSet, sync::Arc};

use derive_more::{Display, Error};
use model::{AvailabilityZoneId, CustomerId, Gang, Member, OperatorFile, Resources, ServerMode};

use crate::{FreeCapacity, Server, place::best_fit};

/// The first gang of a guarantee that can't be placed beside the other guarantees of a file.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display(
    "customers.{customer}.guarantees: gang {number} of {gangs}, {gang}, has no place in {availability_zone}: \
     {placed} of {total} accelerators are taken by guarantees before it, and no {} has room for it", gang.within
)]
pub struct GuaranteeError {
    /// Customer that the guarantee belongs to.
    pub customer: CustomerId,
    /// Availability zone that the guarantee is for.
    pub availability_zone: AvailabilityZoneId,
    /// Shape of the gang without a placement.
    pub gang: Gang,
    /// Number of the gang within the guarantee, from 1.
    pub number: u32,
    /// Number of gangs of the guarantee.
    pub gangs: u32,
    /// Accelerators taken by guarantees that were placed before it.
    pub placed: u32,
    /// Accelerators of all active backend servers in the availability zone.
    pub total: u32,
}

/// One guaranteed gang and its placement.
#[derive(Debug, Clone)]
pub(crate) struct Cell {
    pub(crate) customer: usize,
    pub(crate) gang: Gang,
    pub(crate) members: Vec<Member>,
}

/// All cells of an availability zone.
#[derive(Debug, Clone)]
pub(crate) struct Cells {
    file: Arc<OperatorFile>,
    open: Vec<bool>,
    pub(crate) cells: Vec<Cell>,
    /// Number of guaranteed gangs without a placement, for instance while backend servers are closed.
    pub(crate) unplaced: usize,
    /// Resources assigned to each customer, by backend server.
    pub(crate) assigned: Vec<Vec<(usize, Resources)>>,
}

impl Cells {
    /// Whether these cells were computed for the same file and the same open backend servers.
    pub(crate) fn is_valid_for(&self, file: &Arc<OperatorFile>, servers: &[Server]) -> bool {
        Arc::ptr_eq(&self.file, file) && self.open.iter().copied().eq(servers.iter().map(|s| s.open))
    }

    /// Places all guarantees of an availability zone. Large gangs come first, since small ones fit into the gaps.
    pub(crate) fn place(file: &Arc<OperatorFile>, zone: &AvailabilityZoneId, servers: &[Server]) -> Cells {
        let mut free_capacity = FreeCapacity::empty(servers);
        let mut guaranteed: Vec<(usize, Gang)> = Vec::new();
        for (n, customer) in file.customers.values().enumerate() {
            for guarantee in customer.guarantees.iter().filter(|g| g.availability_zone == *zone) {
                guaranteed.extend((0..guarantee.gangs).map(|_| (n, guarantee.gang)));
            }
        }
        guaranteed.sort_by_key(|(n, gang)| (std::cmp::Reverse(gang.total().accelerators), *n));
        let mut it = Cells {
            file: Arc::clone(file),
            open: servers.iter().map(|s| s.open).collect(),
            cells: Vec::new(),
            unplaced: 0,
            assigned: vec![Vec::new(); servers.len()],
        };
        for (customer, gang) in guaranteed {
            let free = |i: usize| free_capacity.fits(i, &gang.per_task);
            match best_fit(&free_capacity, &gang, &BTreeSet::new(), free) {
                Some(members) => {
                    free_capacity.take(&members, &gang.per_task);
                    it.assign(&free_capacity, customer, &members, &gang);
                    it.cells.push(Cell { customer, gang, members });
                }
                None => it.unplaced += 1,
            }
        }
        it
    }

    fn assign(&mut self, free_capacity: &FreeCapacity, customer: usize, members: &[Member], gang: &Gang) {
        for member in members {
            let Some(i) = free_capacity.position(&member.server) else { continue };
            let share = gang.per_task.times(member.tasks);
            match self.assigned[i].iter_mut().find(|(c, _)| *c == customer) {
                Some((_, sum)) => *sum += share,
                None => self.assigned[i].push((customer, share)),
            }
        }
    }

    /// Returns the resources assigned to a customer on a backend server.
    pub(crate) fn assigned_to(&self, i: usize, customer: usize) -> Resources {
        self.assigned[i].iter().find(|(c, _)| *c == customer).map_or(Resources::default(), |(_, share)| *share)
    }

    /// Returns the cells of a customer that hold at least this many tasks of at least this size.
    pub(crate) fn for_gang(&self, customer: usize, tasks: u32, per_task: Resources) -> impl Iterator<Item = &Cell> {
        let holds = move |cell: &&Cell| cell.gang.tasks >= tasks && cell.gang.per_task.contains(&per_task);
        self.cells.iter().filter(move |cell| cell.customer == customer).filter(holds)
    }
}

/// Checks that all guarantees of a file can be placed at once, with every active backend server open and empty.
///
/// Returns the first gang that can't be placed as the error.
pub fn check_guarantees(file: &OperatorFile) -> Result<(), GuaranteeError> {
    let file = Arc::new(file.clone());
    let zones: BTreeSet<&AvailabilityZoneId> =
        file.customers.values().flat_map(|c| &c.guarantees).map(|g| &g.availability_zone).collect();
    zones.into_iter().try_for_each(|zone| check_zone(&file, zone))
}

fn check_zone(file: &Arc<OperatorFile>, zone: &AvailabilityZoneId) -> Result<(), GuaranteeError> {
    let here = file.backend_servers.values().filter(|s| s.availability_zone == *zone && s.mode == ServerMode::Active);
    let servers: Vec<Server> =
        here.map(|s| Server { id: s.id.clone(), rack: s.rack.clone(), resources: s.resources, open: true }).collect();
    let cells = Cells::place(file, zone, &servers);
    if cells.unplaced == 0 {
        return Ok(());
    }
    Err(first_unplaced(file, zone, &servers, &cells))
}

fn first_unplaced(file: &OperatorFile, zone: &AvailabilityZoneId, servers: &[Server], cells: &Cells) -> GuaranteeError {
    let placed = cells.cells.iter().map(|cell| cell.gang.total().accelerators).sum();
    let total = servers.iter().map(|s| s.resources.accelerators).sum();
    for (n, customer) in file.customers.values().enumerate() {
        for guarantee in customer.guarantees.iter().filter(|g| g.availability_zone == *zone) {
            let same = |cell: &&Cell| cell.customer == n && cell.gang == guarantee.gang;
            let have = cells.cells.iter().filter(same).count() as u32;
            if have < guarantee.gangs {
                return GuaranteeError {
                    customer: customer.id.clone(),
                    availability_zone: zone.clone(),
                    gang: guarantee.gang,
                    number: have + 1,
                    gangs: guarantee.gangs,
                    placed,
                    total,
                };
            }
        }
    }
    unreachable!("a cell is missing only if a guarantee has fewer cells than gangs")
}
