//! Best-fit placement: the fullest extent that still holds a gang, and in it the fullest workers first.

use std::collections::BTreeSet;

use model::{BackendServerId, Gang, Member, Within};

use crate::FreeCapacity;

/// Places a gang where the least resources stay free, or returns `None` if it does not fit. `free` returns how
/// many of its tasks can be placed on the backend server with the given index.
pub(crate) fn best_fit(
    free_capacity: &FreeCapacity,
    gang: &Gang,
    avoid: &BTreeSet<BackendServerId>,
    free: impl Fn(usize) -> u32,
) -> Option<Vec<Member>> {
    let can_avoid = free_capacity.can_avoid(gang, avoid);
    let fits = |i: usize| if can_avoid && avoid.contains(free_capacity.id(i)) { 0 } else { free(i) };
    match gang.within {
        Within::Worker => best_worker(free_capacity, gang, fits),
        Within::Rack if gang.tasks == 1 => best_worker(free_capacity, gang, fits),
        Within::Rack => best_rack(free_capacity, gang, fits),
        Within::AvailabilityZone if gang.tasks == 1 => best_worker(free_capacity, gang, fits),
        Within::AvailabilityZone => fullest_racks_first(free_capacity, gang, fits),
    }
}

/// Returns what is free on a backend server, in accelerators if the gang needs them and in cores otherwise.
fn amount(free_capacity: &FreeCapacity, gang: &Gang, i: usize) -> u32 {
    let free = free_capacity.free(i);
    if gang.per_task.accelerators > 0 { free.accelerators } else { free.cores }
}

fn rack_amount(free_capacity: &FreeCapacity, gang: &Gang, rack: usize) -> u32 {
    free_capacity.racks()[rack].iter().map(|i| amount(free_capacity, gang, *i)).sum()
}

fn best_worker(free_capacity: &FreeCapacity, gang: &Gang, fits: impl Fn(usize) -> u32) -> Option<Vec<Member>> {
    let racks: Vec<u32> = (0..free_capacity.racks().len()).map(|rack| rack_amount(free_capacity, gang, rack)).collect();
    let best = (0..free_capacity.len())
        .filter(|i| fits(*i) >= gang.tasks)
        .min_by_key(|i| (racks[free_capacity.rack(*i)], amount(free_capacity, gang, *i), *i))?;
    Some(vec![Member { server: free_capacity.id(best).clone(), tasks: gang.tasks }])
}

fn best_rack(free_capacity: &FreeCapacity, gang: &Gang, fits: impl Fn(usize) -> u32) -> Option<Vec<Member>> {
    let holds = |rack: usize| {
        free_capacity.racks()[rack].iter().map(|i| fits(*i)).fold(0u32, |sum, n| sum.saturating_add(n)) >= gang.tasks
    };
    let best = (0..free_capacity.racks().len())
        .filter(|rack| holds(*rack))
        .min_by_key(|rack| (rack_amount(free_capacity, gang, *rack), *rack))?;
    fill(free_capacity, gang, fullest_first(free_capacity, gang, &free_capacity.racks()[best]), fits)
}

fn fullest_racks_first(free_capacity: &FreeCapacity, gang: &Gang, fits: impl Fn(usize) -> u32) -> Option<Vec<Member>> {
    let mut racks: Vec<usize> = (0..free_capacity.racks().len()).collect();
    racks.sort_by_key(|rack| rack_amount(free_capacity, gang, *rack));
    let order = racks.into_iter().flat_map(|rack| fullest_first(free_capacity, gang, &free_capacity.racks()[rack]));
    fill(free_capacity, gang, order.collect(), fits)
}

fn fullest_first(free_capacity: &FreeCapacity, gang: &Gang, servers: &[usize]) -> Vec<usize> {
    let mut order = servers.to_vec();
    order.sort_by_key(|i| (amount(free_capacity, gang, *i), *i));
    order
}

fn fill(
    free_capacity: &FreeCapacity,
    gang: &Gang,
    order: Vec<usize>,
    fits: impl Fn(usize) -> u32,
) -> Option<Vec<Member>> {
    let mut left = gang.tasks;
    let mut members = Vec::new();
    for i in order {
        let tasks = fits(i).min(left);
        if tasks > 0 {
            members.push(Member { server: free_capacity.id(i).clone(), tasks });
            left -= tasks;
        }
        if left == 0 {
            members.sort_by(|a, b| a.server.cmp(&b.server));
            return Some(members);
        }
    }
    None
}
