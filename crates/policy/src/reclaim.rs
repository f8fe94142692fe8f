//! Selects preemption victims: the cheapest set of running gangs whose stop lets another gang fit.

use model::{Gang, Member, Resources, Within};

use crate::{FreeCapacity, Running, place::best_fit};

/// Seconds of work lost per accelerator by stopping a gang, even with a checkpoint.
const RESTART_COST_SECS: f64 = 30.0;

/// Returns the work lost by stopping a gang, in accelerator-seconds. A gang without checkpoints also
/// repeats all that it has run so far.
pub(crate) fn cost(gang: &Running) -> f64 {
    let accelerators = f64::from(gang.members.iter().map(|m| m.tasks).sum::<u32>() * weight(&gang.per_task));
    let redone = if gang.checkpointable { 0.0 } else { gang.ran_for.secs_f64() };
    accelerators * (RESTART_COST_SECS + redone)
}

fn weight(per_task: &Resources) -> u32 {
    per_task.accelerators.max(1)
}

/// A set of gangs to stop, and the placement that this makes possible.
pub(crate) struct Reclaim {
    /// Indices into the list of candidates.
    pub(crate) victims: Vec<usize>,
    pub(crate) members: Vec<Member>,
    cost: f64,
}

/// Returns the cheapest set of candidates whose end lets a gang fit, or `None` if no set does.
///
/// Only backend servers for which `usable` returns true count. `free_capacity` holds the resources that are free
/// now or will be once gangs that are already stopping have ended.
pub(crate) fn cheapest(
    free_capacity: &FreeCapacity,
    candidates: &[&Running],
    gang: &Gang,
    usable: &dyn Fn(usize) -> bool,
) -> Option<Reclaim> {
    let extents: Vec<Vec<usize>> = match gang.within {
        Within::AvailabilityZone => vec![(0..free_capacity.len()).collect()],
        Within::Rack => free_capacity.racks().to_vec(),
        Within::Worker => (0..free_capacity.len()).map(|i| vec![i]).collect(),
    };
    let mut best: Option<Reclaim> = None;
    for extent in extents {
        let found = cheapest_in(free_capacity, candidates, gang, &extent, usable);
        if let Some(found) = found
            && best.as_ref().is_none_or(|best| found.cost < best.cost)
        {
            best = Some(found);
        }
    }
    best
}

fn cheapest_in(
    free_capacity: &FreeCapacity,
    candidates: &[&Running],
    gang: &Gang,
    extent: &[usize],
    usable: &dyn Fn(usize) -> bool,
) -> Option<Reclaim> {
    let inside = |i: usize| usable(i) && extent.contains(&i);
    // Accelerators (or tasks without them) that a candidate frees in this extent.
    let gain = |it: &Running| -> u32 {
        let here = it.members.iter().filter(|m| free_capacity.position(&m.server).is_some_and(inside));
        here.map(|m| m.tasks * weight(&it.per_task)).sum()
    };
    let mut order: Vec<(usize, f64)> = candidates
        .iter()
        .enumerate()
        .filter(|(_, it)| gain(it) > 0)
        .map(|(n, it)| (n, cost(it) / f64::from(gain(it))))
        .collect();
    order.sort_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)));
    let mut later = free_capacity.clone();
    let count = |later: &FreeCapacity| {
        extent.iter().filter(|i| inside(**i)).map(|i| later.fits(*i, &gang.per_task)).fold(0u32, u32::saturating_add)
    };
    let mut victims = Vec::new();
    let mut next = order.into_iter();
    while count(&later) < gang.tasks {
        let (n, _) = next.next()?;
        later.give(&candidates[n].members, &candidates[n].per_task);
        victims.push(n);
    }
    drop_unneeded_victims(&mut victims, &mut later, candidates, |later| count(later) >= gang.tasks);
    let free = |i: usize| if inside(i) { later.fits(i, &gang.per_task) } else { 0 };
    let members = best_fit(&later, gang, &Default::default(), free)?;
    let cost = victims.iter().map(|n| cost(candidates[*n])).sum();
    Some(Reclaim { victims, members, cost })
}

/// Removes victims that are not needed, the most expensive first.
fn drop_unneeded_victims(
    victims: &mut Vec<usize>,
    later: &mut FreeCapacity,
    candidates: &[&Running],
    enough: impl Fn(&FreeCapacity) -> bool,
) {
    let mut order = victims.clone();
    order.sort_by(|a, b| cost(candidates[*b]).total_cmp(&cost(candidates[*a])));
    for n in order {
        let it = candidates[n];
        let mut without = later.clone();
        without.take(&it.members, &it.per_task);
        if enough(&without) {
            *later = without;
            victims.retain(|v| *v != n);
        }
    }
}
