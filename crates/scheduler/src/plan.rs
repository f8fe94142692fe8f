//! Where and when groups start.

use std::{collections::BTreeMap, sync::Arc};

use jobs::{Duration, JobId, Need, Step};
use model::{BackendServerId, CustomerId, Moment};

use crate::{
    Scheduler,
    live::{GroupId, JobEntry},
    policy::ServiceId,
};

/// A job that is later than this many objectives counts for nothing any more and goes behind the others.
const HOPELESSLY_LATE: f64 = 3.0;

/// Below this share in use, nothing that fits is held back (users' rules: half of a service's capacity).
const LITTLE_USED: f64 = 0.55;

/// A group that could start.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) name: GroupId,
    pub(crate) priority: u32,
    /// Its customer holds a guarantee that covers it.
    pub(crate) guaranteed: bool,
    hopeless: bool,
    /// Wall-clock milliseconds by which its job should end.
    deadline_ms: u64,
}

/// Room of one backend server while a plan is made.
#[derive(Debug, Clone)]
pub(crate) struct Room {
    pub(crate) service: ServiceId,
    pub(crate) rack: Arc<str>,
    pub(crate) labels: Vec<Arc<str>>,
    pub(crate) capacity: Need,
    /// Free now.
    pub(crate) free: Need,
    /// Free once everything that is being stopped has ended.
    pub(crate) soon: Need,
    pub(crate) doubtful: bool,
}

pub(crate) type Rooms = BTreeMap<BackendServerId, Room>;
/// Where each task of a group goes.
pub(crate) type Places = Vec<(u32, BackendServerId)>;

impl Scheduler {
    /// Places what can start now, and stops what has to make room. `wall_ms` is the time of day.
    pub fn plan(&mut self, now: Moment, wall_ms: u64) {
        let candidates = self.candidates(now, wall_ms);
        if candidates.is_empty() {
            return;
        }
        let mut rooms = self.rooms(now);
        for candidate in &candidates {
            self.plan_one(candidate, &mut rooms, now);
        }
    }

    fn plan_one(&mut self, candidate: &Candidate, rooms: &mut Rooms, now: Moment) {
        let name = candidate.name;
        if candidate.priority > 0 && !self.leaves_headroom(name, rooms) {
            return;
        }
        if let Some(places) = self.choose(name, rooms, |room| room.free, now) {
            self.claim(name, &places, rooms);
            self.place(name, &places, now);
            return;
        }
        if candidate.priority > 0 {
            return;
        }
        // Room that is being made counts as taken, so that nothing slips in and nothing more is stopped for it.
        if let Some(places) = self.choose(name, rooms, |room| room.soon, now) {
            self.claim(name, &places, rooms);
            return;
        }
        self.preempt_for(candidate, rooms, now);
    }

    /// Whether enough accelerators stay free for urgent jobs if the group starts. While the service is used
    /// little, work is never held back for that.
    fn leaves_headroom(&self, name: GroupId, rooms: &Rooms) -> bool {
        let step = self.step(name);
        let need = step.need.accelerators * name.indices(step).len() as u64;
        let free: u64 =
            rooms.values().filter(|room| self.serves(name, &room.service)).map(|room| room.free.accelerators).sum();
        let (used, all) = self.accelerators_used(name);
        let wanted = need as f64 + all as f64 * self.timing.headroom;
        free as f64 >= wanted || (used as f64) < all as f64 * LITTLE_USED
    }

    /// Accelerators of the group's service that are used, and all of them.
    fn accelerators_used(&self, name: GroupId) -> (u64, u64) {
        let (mut used, mut all) = (0, 0);
        for server in self.servers.values() {
            let Some(info) = server.info.as_ref().filter(|info| self.serves(name, &info.service)) else { continue };
            used += server.used.accelerators;
            all += info.capacity.accelerators;
        }
        (used, all)
    }

    fn serves(&self, name: GroupId, service: &ServiceId) -> bool {
        let queue = &self.jobs[&name.occurrence.job].job.queue;
        self.policy.queues.get(queue).is_some_and(|queue| queue.service == *service)
    }

    pub(crate) fn claim(&self, name: GroupId, places: &Places, rooms: &mut Rooms) {
        let need = self.step(name).counted_need();
        for (_, server) in places {
            let room = rooms.get_mut(server).expect("places are chosen among the rooms");
            room.free.remove(&need);
            room.soon.remove(&need);
        }
    }

    fn candidates(&mut self, now: Moment, wall_ms: u64) -> Vec<Candidate> {
        let mut found = Vec::new();
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        let mut guarantees = self.guarantees_left();
        for id in ids {
            self.job_candidates(id, now, wall_ms, &mut found);
        }
        found.sort_by_key(|c| (c.priority, c.hopeless, c.deadline_ms, c.name));
        for candidate in &mut found {
            candidate.guaranteed = candidate.priority == 0 && self.take_guarantee(candidate.name, &mut guarantees);
        }
        found.sort_by_key(|c| (c.priority, !c.guaranteed));
        found
    }

    fn job_candidates(&mut self, id: JobId, now: Moment, wall_ms: u64, found: &mut Vec<Candidate>) {
        let entry = &self.jobs[&id];
        if entry.cancelled {
            return;
        }
        let Some(queue) = self.policy.queues.get(&entry.job.queue) else { return };
        let (priority, objective) = (queue.priority, objective(entry, queue.stretch, queue.objective));
        let mut ready = Vec::new();
        for (number, occurrence) in entry.occurrences.iter().enumerate() {
            let due = entry.job.due_ms(number as u32);
            if occurrence.progress.failed || (due > 0 && wall_ms < due + self.timing.due_margin.millis()) {
                continue;
            }
            let from = due.max(entry.job.accepted_ms);
            for (s, step) in entry.job.steps.iter().enumerate() {
                if !step.after.iter().all(|&earlier| occurrence.progress.step_done(earlier)) {
                    continue;
                }
                for (g, progress) in occurrence.progress.groups[s].iter().enumerate() {
                    let live = &occurrence.groups[s][g];
                    if progress.done || !live.members.is_empty() || now < live.not_before {
                        continue;
                    }
                    let occurrence = jobs::OccurrenceId { job: id, number: number as u32 };
                    ready.push((GroupId { occurrence, step: s, group: g }, from));
                }
            }
        }
        for (name, from) in ready {
            self.group_mut(name).ready_since.get_or_insert(now);
            found.push(Candidate {
                name,
                priority,
                guaranteed: false,
                hopeless: wall_ms > from + objective.scaled(HOPELESSLY_LATE).millis(),
                deadline_ms: from + objective.millis(),
            });
        }
    }

    /// Accelerators that each customer's guarantee still covers beside its running jobs of priority 0.
    pub(crate) fn guarantees_left(&self) -> BTreeMap<CustomerId, u64> {
        let mut left: BTreeMap<CustomerId, u64> =
            self.policy.customers.iter().map(|(id, policy)| (id.clone(), policy.guaranteed_accelerators)).collect();
        for entry in self.jobs.values() {
            let urgent = self.policy.queues.get(&entry.job.queue).is_some_and(|queue| queue.priority == 0);
            let Some(customer) = entry.job.customer.as_ref().filter(|_| urgent) else { continue };
            let Some(left) = left.get_mut(customer) else { continue };
            *left = left.saturating_sub(accelerators_running(entry));
        }
        left
    }

    fn take_guarantee(&self, name: GroupId, left: &mut BTreeMap<CustomerId, u64>) -> bool {
        let step = self.step(name);
        let need = step.need.accelerators * name.indices(step).len() as u64;
        let customer = self.jobs[&name.occurrence.job].job.customer.as_ref();
        let Some(left) = customer.and_then(|customer| left.get_mut(customer)) else { return false };
        if *left < need {
            return false;
        }
        *left -= need;
        true
    }

    fn rooms(&self, now: Moment) -> Rooms {
        let mut rooms = Rooms::new();
        for (id, server) in &self.servers {
            let Some(info) = server.info.as_ref().filter(|_| server.open(now)) else { continue };
            if server.health.set_aside(now) {
                continue;
            }
            let free = server.free();
            let mut soon = free;
            for task in server.members.keys() {
                let Some(name) = self.group_of(*task) else { continue };
                if self.group(name).stopping.is_some() {
                    soon.add(&self.step(name).counted_need());
                }
            }
            for stray in server.strays.values() {
                soon.add(&stray.need);
            }
            let room = Room {
                service: info.service.clone(),
                rack: Arc::clone(&info.rack),
                labels: info.labels.clone(),
                capacity: info.capacity,
                free,
                soon,
                doubtful: server.health.doubtful(),
            };
            rooms.insert(id.clone(), room);
        }
        rooms
    }

    /// Whether a task of the step may run there at all.
    pub(crate) fn allowed(&self, name: GroupId, id: &BackendServerId, room: &Room) -> bool {
        let step = self.step(name);
        let serves = self.serves(name, &room.service);
        let labelled = step.label.as_ref().is_none_or(|label| room.labels.contains(label));
        serves && labelled && room.capacity.contains(&step.counted_need()) && !self.group(name).avoid.contains(id)
    }

    /// How many more tasks of the step may go there by its spread limit.
    pub(crate) fn spread_left(&self, name: GroupId, id: &BackendServerId) -> u64 {
        let Some(most) = self.step(name).max_per_server else { return u64::MAX };
        let occurrence = &self.jobs[&name.occurrence.job].occurrences[name.occurrence.number as usize];
        let here = occurrence.groups[name.step].iter().flat_map(|group| &group.members);
        u64::from(most).saturating_sub(here.filter(|member| member.server == *id).count() as u64)
    }

    /// Chooses places for a group among the rooms, by the part of their room that `part` gives.
    pub(crate) fn choose(
        &self,
        name: GroupId,
        rooms: &Rooms,
        part: impl Fn(&Room) -> Need + Copy,
        now: Moment,
    ) -> Option<Places> {
        let step = self.step(name);
        if !step.gang {
            return self.choose_one(name, step, rooms, part, now);
        }
        self.choose_gang(name, step, rooms, part)
    }

    fn choose_one(
        &self,
        name: GroupId,
        step: &Step,
        rooms: &Rooms,
        part: impl Fn(&Room) -> Need,
        now: Moment,
    ) -> Option<Places> {
        let need = step.counted_need();
        let far_is_worth_it = self.far_is_worth_it(name, step, now);
        let near = |room: &Room| step.data_rack.as_ref().is_none_or(|rack| *rack == room.rack);
        let best = rooms
            .iter()
            .filter(|(id, room)| part(room).contains(&need) && self.allowed(name, id, room))
            .filter(|(id, room)| (far_is_worth_it || near(room)) && self.spread_left(name, id) > 0)
            .min_by_key(|(_, room)| {
                let left = part(room);
                (!near(room), room.doubtful, &room.rack, left.accelerators, left.cpu_milli)
            })?;
        Some(vec![(name.group as u32, best.0.clone())])
    }

    /// A task runs longer away from its data: it waits as long as that would cost before it goes there.
    fn far_is_worth_it(&self, name: GroupId, step: &Step, now: Moment) -> bool {
        let Some(rack) = &step.data_rack else { return true };
        let exists = self.servers.values().filter_map(|server| server.info.as_ref()).any(|info| info.rack == *rack);
        let waited = self.group(name).ready_since.map_or(Duration::ZERO, |since| now.since(since));
        !exists || waited > step.estimate.scaled(self.timing.far_factor - 1.0)
    }

    fn choose_gang(
        &self,
        name: GroupId,
        step: &Step,
        rooms: &Rooms,
        part: impl Fn(&Room) -> Need + Copy,
    ) -> Option<Places> {
        let need = step.counted_need();
        let slots_by = |part: &dyn Fn(&Room) -> Need| -> BTreeMap<Arc<str>, u64> {
            let mut slots = BTreeMap::new();
            for (id, room) in rooms.iter().filter(|(id, room)| self.allowed(name, id, room)) {
                let n = part(room).count_of(&need).min(self.spread_left(name, id));
                *slots.entry(Arc::clone(&room.rack)).or_insert(0) += n;
            }
            slots
        };
        let count = u64::from(step.count);
        let slots = slots_by(&part);
        // Work that can wait fills the racks from the first, so that whole racks stay free for what cannot.
        let urgent = self.priority(name) == 0;
        let rank = |rack: &Arc<str>, n: u64| if urgent { (n, None) } else { (0, Some(Arc::clone(rack))) };
        let fits = slots.iter().filter(|(_, n)| **n >= count).min_by_key(|(rack, n)| rank(rack, **n));
        if let Some((rack, _)) = fits {
            let rack = Arc::clone(rack);
            return self.fill(name, step, rooms, part, |room| if room.rack == rack { 0 } else { u64::MAX });
        }
        let one_rack_could = slots_by(&|room: &Room| room.capacity).values().any(|&n| n >= count);
        if step.same_rack && one_rack_could || slots.values().sum::<u64>() < count {
            return None;
        }
        // Over several racks: the fullest first, so that whole racks stay free.
        self.fill(name, step, rooms, part, |room| slots[&room.rack])
    }

    fn priority(&self, name: GroupId) -> u32 {
        let queue = &self.jobs[&name.occurrence.job].job.queue;
        self.policy.queues.get(queue).map_or(u32::MAX, |queue| queue.priority)
    }

    /// Fills backend servers in the order of `rank`, then the fullest first; `u64::MAX` leaves one out.
    pub(crate) fn fill(
        &self,
        name: GroupId,
        step: &Step,
        rooms: &Rooms,
        part: impl Fn(&Room) -> Need,
        rank: impl Fn(&Room) -> u64,
    ) -> Option<Places> {
        let need = step.counted_need();
        let mut order: Vec<(&BackendServerId, &Room)> =
            rooms.iter().filter(|(id, room)| rank(room) < u64::MAX && self.allowed(name, id, room)).collect();
        order.sort_by_key(|(id, room)| {
            let left = part(room);
            (rank(room), room.doubtful, left.accelerators, left.cpu_milli, (*id).clone())
        });
        let mut places = Places::new();
        let mut indices = name.indices(step);
        for (id, room) in order {
            let n = part(room).count_of(&need).min(self.spread_left(name, id));
            places.extend(indices.by_ref().take(n as usize).map(|index| (index, id.clone())));
        }
        (places.len() == step.count as usize).then_some(places)
    }

    /// How long a group's run has left, by what was declared and how far it has come.
    pub(crate) fn time_left(&self, name: GroupId, now: Moment) -> Duration {
        let group = self.group(name);
        let declared = self.step(name).estimate;
        let ran = now.since(group.placed_at);
        let percent = group.members.iter().map(|member| member.percent).min().unwrap_or(0);
        if percent == 0 {
            return Duration::from_millis(declared.millis().saturating_sub(ran.millis()));
        }
        ran.scaled(f64::from(100 - percent.min(100)) / f64::from(percent))
    }
}

fn objective(entry: &JobEntry, stretch: f64, added: Duration) -> Duration {
    entry.chain().scaled(stretch) + added
}

/// Accelerators that a job's members hold, the ones that are being stopped included.
pub(crate) fn accelerators_running(entry: &JobEntry) -> u64 {
    let mut sum = 0;
    for occurrence in &entry.occurrences {
        for (step, groups) in entry.job.steps.iter().zip(&occurrence.groups) {
            let members: usize = groups.iter().map(|group| group.members.len()).sum();
            sum += step.need.accelerators * members as u64;
        }
    }
    sum
}
