//! Choosing which gangs to stop so that another fits: the cheapest set that frees its shape.

use model::{Gang, Member, Resources, Within};

use crate::{Room, Running, place::best_fit};

/// Seconds of work that stopping costs per accelerator, even with a checkpoint.
const RESTART_COST: f64 = 30.0;

/// What stopping a gang loses, in accelerator-seconds.
pub(crate) fn cost(gang: &Running) -> f64 {
    let accelerators = f64::from(gang.members.iter().map(|m| m.tasks).sum::<u32>() * weight(&gang.per_task));
    let redone = if gang.checkpointable { 0.0 } else { gang.ran_for.secs_f64() };
    accelerators * (RESTART_COST + redone)
}

fn weight(per_task: &Resources) -> u32 {
    per_task.accelerators.max(1)
}

/// A set of gangs to stop, and the place that this opens.
pub(crate) struct Reclaim {
    /// Indices into the list of candidates that was given.
    pub(crate) victims: Vec<usize>,
    pub(crate) members: Vec<Member>,
    cost: f64,
}

/// The cheapest set of candidates whose end lets a gang fit. `usable` says which backend servers
/// count; `room` has free what is free now or soon anyway.
pub(crate) fn cheapest(
    room: &Room,
    candidates: &[&Running],
    gang: &Gang,
    usable: &dyn Fn(usize) -> bool,
) -> Option<Reclaim> {
    let extents: Vec<Vec<usize>> = match gang.within {
        Within::AvailabilityZone => vec![(0..room.len()).collect()],
        Within::Rack => room.racks().to_vec(),
        Within::Worker => (0..room.len()).map(|i| vec![i]).collect(),
    };
    let mut best: Option<Reclaim> = None;
    for extent in extents {
        let found = cheapest_in(room, candidates, gang, &extent, usable);
        if let Some(found) = found
            && best.as_ref().is_none_or(|best| found.cost < best.cost)
        {
            best = Some(found);
        }
    }
    best
}

fn cheapest_in(
    room: &Room,
    candidates: &[&Running],
    gang: &Gang,
    extent: &[usize],
    usable: &dyn Fn(usize) -> bool,
) -> Option<Reclaim> {
    let inside = |i: usize| usable(i) && extent.contains(&i);
    // What a candidate frees in this extent, per cost.
    let gain = |it: &Running| -> u32 {
        let here = it.members.iter().filter(|m| room.position(&m.server).is_some_and(inside));
        here.map(|m| m.tasks * weight(&it.per_task)).sum()
    };
    let mut order: Vec<(usize, f64)> = candidates
        .iter()
        .enumerate()
        .filter(|(_, it)| gain(it) > 0)
        .map(|(n, it)| (n, cost(it) / f64::from(gain(it))))
        .collect();
    order.sort_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)));
    let mut later = room.clone();
    let count = |later: &Room| {
        extent.iter().filter(|i| inside(**i)).map(|i| later.fits(*i, &gang.per_task)).fold(0u32, u32::saturating_add)
    };
    let mut victims = Vec::new();
    let mut next = order.into_iter();
    while count(&later) < gang.tasks {
        let (n, _) = next.next()?;
        later.give(&candidates[n].members, &candidates[n].per_task);
        victims.push(n);
    }
    spare(&mut victims, &mut later, candidates, |later| count(later) >= gang.tasks);
    let free = |i: usize| if inside(i) { later.fits(i, &gang.per_task) } else { 0 };
    let members = best_fit(&later, gang, &Default::default(), free)?;
    let cost = victims.iter().map(|n| cost(candidates[*n])).sum();
    Some(Reclaim { victims, members, cost })
}

/// Lets go of victims that turned out not to be needed, the dearest first.
fn spare(victims: &mut Vec<usize>, later: &mut Room, candidates: &[&Running], enough: impl Fn(&Room) -> bool) {
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
