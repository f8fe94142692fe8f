//! Best-fit placement: prefers the racks, and within them the backend servers, with the least free resources that
//! still have room for the gang.

use std::collections::BTreeSet;

use model::{BackendServerId, Gang, Member, Within};

use crate::FreeCapacity;

/// Places a gang where the least resources stay free, or returns `None` if it does not fit. `max_tasks` returns how
/// many tasks of the gang fit on the backend server with the given index. Backend servers in `avoid` get none of its
/// tasks, unless the others don't have room for the whole gang: then `avoid` is ignored.
pub(crate) fn best_fit(
    free_capacity: &FreeCapacity,
    gang: &Gang,
    avoid: &BTreeSet<BackendServerId>,
    max_tasks: impl Fn(usize) -> u32,
) -> Option<Vec<Member>> {
    let can_avoid = free_capacity.can_avoid(gang, avoid);
    let allowed_tasks = |i: usize| if can_avoid && avoid.contains(free_capacity.id(i)) { 0 } else { max_tasks(i) };
    match gang.within {
        Within::Worker => best_server(free_capacity, gang, allowed_tasks),
        Within::Rack if gang.tasks == 1 => best_server(free_capacity, gang, allowed_tasks),
        Within::Rack => best_rack(free_capacity, gang, allowed_tasks),
        Within::AvailabilityZone if gang.tasks == 1 => best_server(free_capacity, gang, allowed_tasks),
        Within::AvailabilityZone => place_across_racks(free_capacity, gang, allowed_tasks),
    }
}

/// Returns what is free on a backend server, in accelerators if the gang needs them and in cores otherwise.
fn free_units(free_capacity: &FreeCapacity, gang: &Gang, i: usize) -> u32 {
    let free = free_capacity.free(i);
    if gang.per_task.accelerators > 0 { free.accelerators } else { free.cores }
}

fn free_units_of_rack(free_capacity: &FreeCapacity, gang: &Gang, rack: usize) -> u32 {
    free_capacity.racks()[rack].iter().map(|i| free_units(free_capacity, gang, *i)).sum()
}

fn best_server(free_capacity: &FreeCapacity, gang: &Gang, allowed_tasks: impl Fn(usize) -> u32) -> Option<Vec<Member>> {
    let racks: Vec<u32> =
        (0..free_capacity.racks().len()).map(|rack| free_units_of_rack(free_capacity, gang, rack)).collect();
    let best = (0..free_capacity.len())
        .filter(|i| allowed_tasks(*i) >= gang.tasks)
        .min_by_key(|i| (racks[free_capacity.rack(*i)], free_units(free_capacity, gang, *i), *i))?;
    Some(vec![Member { server: free_capacity.id(best).clone(), tasks: gang.tasks }])
}

fn best_rack(free_capacity: &FreeCapacity, gang: &Gang, allowed_tasks: impl Fn(usize) -> u32) -> Option<Vec<Member>> {
    let holds = |rack: usize| {
        free_capacity.racks()[rack].iter().map(|i| allowed_tasks(*i)).fold(0u32, |sum, n| sum.saturating_add(n))
            >= gang.tasks
    };
    let best = (0..free_capacity.racks().len())
        .filter(|rack| holds(*rack))
        .min_by_key(|rack| (free_units_of_rack(free_capacity, gang, *rack), *rack))?;
    fill(free_capacity, gang, fullest_first(free_capacity, gang, &free_capacity.racks()[best]), allowed_tasks)
}

fn place_across_racks(
    free_capacity: &FreeCapacity,
    gang: &Gang,
    allowed_tasks: impl Fn(usize) -> u32,
) -> Option<Vec<Member>> {
    let mut racks: Vec<usize> = (0..free_capacity.racks().len()).collect();
    racks.sort_by_key(|rack| free_units_of_rack(free_capacity, gang, *rack));
    let order = racks.into_iter().flat_map(|rack| fullest_first(free_capacity, gang, &free_capacity.racks()[rack]));
    fill(free_capacity, gang, order.collect(), allowed_tasks)
}

fn fullest_first(free_capacity: &FreeCapacity, gang: &Gang, servers: &[usize]) -> Vec<usize> {
    let mut order = servers.to_vec();
    order.sort_by_key(|i| (free_units(free_capacity, gang, *i), *i));
    order
}

fn fill(
    free_capacity: &FreeCapacity,
    gang: &Gang,
    order: Vec<usize>,
    allowed_tasks: impl Fn(usize) -> u32,
) -> Option<Vec<Member>> {
    let mut left = gang.tasks;
    let mut members = Vec::new();
    for i in order {
        let tasks = allowed_tasks(i).min(left);
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
