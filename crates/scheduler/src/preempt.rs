//! What is stopped so that an urgent group can start.

use std::{collections::BTreeMap, sync::Arc};

use jobs::{Need, TaskId};
use model::{BackendServerId, Moment};

use crate::{
    Scheduler,
    live::{GroupId, StopReason, weight},
    plan::{Candidate, Room, Rooms},
};

/// Work that a run with checkpoints loses at most, in seconds: what it does between two (users: 0.5 s and 1 s).
const UNSAVED_S: f64 = 0.5;
/// What starting again costs besides, in seconds: stopping, waiting for room and reading the checkpoint.
const RESTART_S: f64 = 0.5;

/// What making room for some tasks on one backend server takes.
#[derive(Debug, Clone, Default)]
struct Offer {
    /// Tasks that would fit.
    tasks: u64,
    /// Core-seconds that would be thrown away.
    waste: f64,
    victims: Vec<GroupId>,
}

impl Scheduler {
    /// Stops the cheapest runs that make room for a group of priority 0.
    pub(crate) fn preempt_for(&mut self, candidate: &Candidate, rooms: &mut Rooms, now: Moment) {
        let name = candidate.name;
        let victims = self.victims(candidate, rooms, now);
        if victims.is_empty() {
            return;
        }
        log::info!(
            "job={} event=preempting victims={} guaranteed={}",
            name.occurrence.job,
            victims.len(),
            candidate.guaranteed
        );
        for victim in &victims {
            self.stop_group(*victim, StopReason::Preempted, now);
            self.free_soon(*victim, rooms);
        }
        if let Some(places) = self.choose(name, rooms, |room| room.soon, now) {
            self.claim(name, &places, rooms);
        }
    }

    fn free_soon(&self, victim: GroupId, rooms: &mut Rooms) {
        let need = self.step(victim).counted_need();
        for member in &self.group(victim).members {
            if let Some(room) = rooms.get_mut(&member.server) {
                room.soon.add(&need);
            }
        }
    }

    fn victims(&self, candidate: &Candidate, rooms: &Rooms, now: Moment) -> Vec<GroupId> {
        let name = candidate.name;
        let step = self.step(name);
        let count = name.indices(step).len() as u64;
        let offers: BTreeMap<&BackendServerId, (Arc<str>, Vec<Offer>)> = rooms
            .iter()
            .filter(|(id, room)| self.allowed(name, id, room) && self.spread_left(name, id) > 0)
            .map(|(id, room)| (id, (Arc::clone(&room.rack), self.offers(candidate, id, room, now))))
            .collect();
        let mut best: Option<(f64, Vec<GroupId>)> = None;
        let mut racks: Vec<Option<Arc<str>>> = offers.values().map(|(rack, _)| Some(Arc::clone(rack))).collect();
        racks.sort();
        racks.dedup();
        if !step.same_rack {
            racks = vec![None];
        }
        for rack in racks {
            let here = offers.values().filter(|(r, _)| rack.as_ref().is_none_or(|rack| rack == r)).map(|(_, o)| o);
            let Some((waste, victims)) = cheapest(here, count) else { continue };
            if best.as_ref().is_none_or(|(least, _)| waste < *least) {
                best = Some((waste, victims));
            }
        }
        best.map(|(_, victims)| victims).unwrap_or_default()
    }

    /// What stopping one, two, ... runs of one backend server would make room for, the cheapest first.
    fn offers(&self, candidate: &Candidate, id: &BackendServerId, room: &Room, now: Moment) -> Vec<Offer> {
        let need = self.step(candidate.name).counted_need();
        let spread = self.spread_left(candidate.name, id);
        let mut victims: Vec<(f64, GroupId, Need)> = Vec::new();
        for task in self.servers[id].members.keys() {
            if let Some((waste, name, freed)) = self.victim(candidate, *task, now) {
                match victims.iter_mut().find(|(_, known, _)| *known == name) {
                    Some((_, _, sum)) => sum.add(&freed),
                    None => victims.push((waste, name, freed)),
                }
            }
        }
        victims.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut free = room.soon;
        let mut offer = Offer { tasks: free.count_of(&need).min(spread), ..Offer::default() };
        let mut offers = vec![offer.clone()];
        for (waste, name, freed) in victims {
            free.add(&freed);
            offer.waste += waste;
            offer.victims.push(name);
            offer.tasks = free.count_of(&need).min(spread);
            offers.push(offer.clone());
        }
        offers
    }

    /// Whether a run may be stopped for the candidate, and what that throws away.
    fn victim(&self, candidate: &Candidate, task: TaskId, now: Moment) -> Option<(f64, GroupId, Need)> {
        let name = self.group_of(task)?;
        let group = self.group(name);
        if group.stopping.is_some() || name.occurrence.job == candidate.name.occurrence.job {
            return None;
        }
        let entry = &self.jobs[&name.occurrence.job];
        let priority = self.policy.queues.get(&entry.job.queue).map_or(u32::MAX, |queue| queue.priority);
        if priority <= candidate.priority && !(candidate.guaranteed && self.beyond_guarantee(name)) {
            return None;
        }
        let step = self.step(name);
        let ran = now.since(group.placed_at).secs_f64();
        let lost = if step.checkpoints { ran.min(UNSAVED_S) } else { ran };
        let waste = weight(&step.need) * (group.members.len() as f64) * (lost + RESTART_S);
        Some((waste, name, step.counted_need()))
    }

    /// Whether a running job of priority 0 holds more than its customer's guarantee covers.
    fn beyond_guarantee(&self, name: GroupId) -> bool {
        let entry = &self.jobs[&name.occurrence.job];
        let Some(customer) = &entry.job.customer else { return true };
        let guaranteed = self.policy.customers.get(customer).map_or(0, |policy| policy.guaranteed_accelerators);
        let held: u64 = self
            .jobs
            .values()
            .filter(|other| other.job.customer.as_ref() == Some(customer))
            .filter(|other| self.policy.queues.get(&other.job.queue).is_some_and(|queue| queue.priority == 0))
            .map(crate::plan::accelerators_running)
            .sum();
        held > guaranteed
    }
}

/// The cheapest runs whose end makes room for `count` tasks.
fn cheapest<'a>(offers: impl Iterator<Item = &'a Vec<Offer>>, count: u64) -> Option<(f64, Vec<GroupId>)> {
    // By what each further task costs, taking a backend server as a whole at its best rate.
    let mut rated: Vec<(f64, &Offer)> = offers
        .filter_map(|offers| {
            let rate = |offer: &Offer| offer.waste / offer.tasks.min(count) as f64;
            let useful = offers.iter().filter(|offer| offer.tasks > 0);
            useful.map(|offer| (rate(offer), offer)).min_by(|a, b| a.0.total_cmp(&b.0))
        })
        .collect();
    rated.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (mut tasks, mut waste, mut victims) = (0, 0.0, Vec::new());
    for (_, offer) in rated {
        if tasks >= count {
            break;
        }
        tasks += offer.tasks;
        waste += offer.waste;
        victims.extend(offer.victims.iter().copied());
    }
    victims.sort();
    victims.dedup();
    (tasks >= count).then_some((waste, victims))
}
