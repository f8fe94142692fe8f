//! Which backend servers the tasks of a step go to.
//!
//! `part` tells throughout which part of a backend server's room counts: what is free now, or soon.

use std::{collections::BTreeMap, sync::Arc};

use jobs::{Duration, Need, Step};
use model::{BackendServerId, Moment};

use crate::{
    Scheduler,
    candidate::{Candidate, Wanted},
    live::GroupId,
    rooms::{Room, Rooms},
};

/// How long a group waits for another backend server than one where it failed.
const AVOID: Duration = Duration::from_secs(3);

/// Where each task of a group goes.
pub(crate) type Places = Vec<(u32, BackendServerId)>;

impl Scheduler {
    /// Places tasks that each run by themselves, taking them out of `left`.
    pub(crate) fn choose_tasks(
        &self,
        candidate: &Candidate,
        wanted: &Wanted<'_>,
        rooms: &Rooms,
        part: impl Fn(&Room) -> Need,
        left: &mut Vec<usize>,
        now: Moment,
    ) -> Places {
        let mut places = Places::new();
        let order = self.order_for_tasks(candidate, wanted, rooms, &part, now);
        // Best-effort tasks take no processors by their count, so room alone would heap them on one backend server.
        let most = if wanted.step.best_effort { left.len().div_ceil(order.len().max(1)) as u64 } else { u64::MAX };
        for (id, room) in order {
            let mut fitting = wanted.fitting(id, &part(room)).min(most);
            let mut skipped = Vec::new();
            while fitting > 0 && !left.is_empty() {
                let taken = places.len() as u64;
                if !wanted.urgent && !self.leaves_headroom(wanted, taken, 1, rooms) {
                    break;
                }
                let group = left.remove(0);
                if self.avoids(candidate.group(group), id, now) {
                    skipped.push(group);
                    continue;
                }
                places.push((group as u32, id.clone()));
                fitting -= 1;
            }
            left.splice(0..0, skipped);
        }
        places
    }

    /// Backend servers that may take tasks which each run by themselves: near their data first, then trusted
    /// ones, then the fullest.
    fn order_for_tasks<'r>(
        &self,
        candidate: &Candidate,
        wanted: &Wanted<'_>,
        rooms: &'r Rooms,
        part: impl Fn(&Room) -> Need,
        now: Moment,
    ) -> Vec<(&'r BackendServerId, &'r Room)> {
        let near = |room: &Room| wanted.step.data_rack.as_ref().is_none_or(|rack| *rack == room.rack);
        let far_is_worth_it = self.far_is_worth_it(candidate, wanted.step, now);
        let mut order: Vec<(&BackendServerId, &Room)> = rooms
            .iter()
            .filter(|(id, room)| part(room).contains(&wanted.need) && wanted.allows(id, room))
            .filter(|(_, room)| far_is_worth_it || near(room))
            .collect();
        order.sort_by_key(|(_, room)| {
            let free = part(room);
            let disturbance = disturbance(wanted.step, room);
            (!near(room), room.doubtful, disturbance, &room.rack, free.accelerators, free.cpu_milli)
        });
        order
    }

    /// Places a gang: in one rack if it fits there; else over several, if it may be. `None` if it must wait.
    pub(crate) fn choose_gang(
        &self,
        name: GroupId,
        wanted: &Wanted<'_>,
        rooms: &Rooms,
        part: impl Fn(&Room) -> Need,
        now: Moment,
    ) -> Option<Places> {
        let allowed: Vec<(&BackendServerId, &Room)> =
            rooms.iter().filter(|(id, room)| wanted.allows(id, room) && !self.avoids(name, id, now)).collect();
        let count = u64::from(wanted.step.count);
        let slots = slots_by_rack(wanted, &allowed, &part);
        // Work that can wait fills the racks from the first, so that whole racks stay free for what cannot.
        let filling = self.timing.tuning.rack_filling;
        let rank =
            |rack: &Arc<str>, n: u64| if wanted.urgent || !filling { (n, None) } else { (0, Some(Arc::clone(rack))) };
        let fits = slots.iter().filter(|(_, n)| **n >= count).min_by_key(|(rack, n)| rank(rack, **n));
        if let Some((rack, _)) = fits {
            return fill(wanted, &allowed, part, |room| (room.rack == **rack).then_some(0));
        }
        let one_rack_could = slots_by_rack(wanted, &allowed, |room| room.capacity).values().any(|&n| n >= count);
        if wanted.step.same_rack && one_rack_could || slots.values().sum::<u64>() < count {
            return None;
        }
        // Over several racks: the fullest first, so that whole racks stay free.
        fill(wanted, &allowed, part, |room| Some(slots[&room.rack]))
    }

    /// A task runs longer away from its data: it waits as long as that would cost before it goes there.
    fn far_is_worth_it(&self, candidate: &Candidate, step: &Step, now: Moment) -> bool {
        let Some(rack) = step.data_rack.as_ref().filter(|_| self.timing.tuning.data_rack) else { return true };
        let exists = self.servers.values().filter_map(|server| server.info.as_ref()).any(|info| info.rack == *rack);
        let since = candidate.groups.iter().filter_map(|&group| self.group(candidate.group(group)).ready_since).min();
        let waited = since.map_or(Duration::ZERO, |since| now.since(since));
        !exists || waited > step.estimate.scaled(self.timing.far_factor - 1.0)
    }

    /// A group keeps off backend servers where it failed, unless it has waited for another.
    pub(crate) fn avoids(&self, name: GroupId, id: &BackendServerId, now: Moment) -> bool {
        let group = self.group(name);
        let waited = group.ready_since.map_or(Duration::ZERO, |since| now.since(since));
        self.timing.tuning.avoidance && group.avoid.contains(id) && waited < AVOID
    }
}

/// How much a task of the step and what runs there would get into each other's way: best-effort tasks and tasks with
/// a latency target keep apart, and the former spread out, since each lives on what the others leave.
fn disturbance(step: &Step, room: &Room) -> u64 {
    match step {
        Step { best_effort: true, .. } => room.serving + room.best_effort,
        Step { target: Some(_), .. } => room.best_effort,
        _ => 0,
    }
}

/// How many tasks of the step fit into each rack.
fn slots_by_rack<'r>(
    wanted: &Wanted<'_>,
    allowed: &[(&'r BackendServerId, &'r Room)],
    part: impl Fn(&Room) -> Need,
) -> BTreeMap<&'r Arc<str>, u64> {
    let mut slots = BTreeMap::new();
    for (id, room) in allowed {
        *slots.entry(&room.rack).or_insert(0) += wanted.fitting(id, &part(room));
    }
    slots
}

/// Fills backend servers in the order of `rank`, then the fullest first; `None` leaves one out.
fn fill(
    wanted: &Wanted<'_>,
    allowed: &[(&BackendServerId, &Room)],
    part: impl Fn(&Room) -> Need,
    rank: impl Fn(&Room) -> Option<u64>,
) -> Option<Places> {
    let mut order: Vec<_> = allowed.iter().filter_map(|(id, room)| rank(room).map(|rank| (rank, *id, *room))).collect();
    order.sort_by_key(|(rank, id, room)| {
        let free = part(room);
        (*rank, room.doubtful, free.accelerators, free.cpu_milli, *id)
    });
    let mut places = Places::new();
    let mut indices = 0..wanted.step.count;
    for (_, id, room) in order {
        let n = wanted.fitting(id, &part(room));
        places.extend(indices.by_ref().take(n as usize).map(|index| (index, id.clone())));
    }
    (places.len() == wanted.step.count as usize).then_some(places)
}
