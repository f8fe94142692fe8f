//! Where and when groups start.

use std::{collections::BTreeMap, sync::Arc};

use jobs::{Duration, Need, OccurrenceId, Step};
use model::{BackendServerId, Moment};

use crate::{
    Scheduler,
    guarantee::Guarantees,
    live::{GroupId, JobEntry, StopReason},
    policy::ServiceId,
    rooms::{Room, Rooms},
};

/// A job that is later than this many objectives counts for nothing any more and goes behind the others.
const HOPELESSLY_LATE: f64 = 3.0;
/// Below this share in use, nothing that fits is held back (users' rules: half of a service's capacity).
const LITTLE_USED: f64 = 0.55;

/// How long a group waits for another backend server than one where it failed.
const AVOID: Duration = Duration::from_secs(3);

/// Groups of one step that could start.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) occurrence: OccurrenceId,
    pub(crate) step: usize,
    pub(crate) groups: Vec<usize>,
    pub(crate) priority: u32,
    /// Its customer holds a guarantee that covers it.
    pub(crate) guaranteed: bool,
    /// Its tasks run until the job is cancelled, and must run again soon however full the service is.
    pub(crate) long_running: bool,
    hopeless: bool,
    /// Wall-clock milliseconds by which its job should end.
    deadline_ms: u64,
}

impl Candidate {
    pub(crate) fn group(&self, group: usize) -> GroupId {
        GroupId { occurrence: self.occurrence, step: self.step, group }
    }
}

/// What a step's tasks ask of the place that they run at.
pub(crate) struct Wanted<'a> {
    pub(crate) step: &'a Step,
    pub(crate) need: Need,
    pub(crate) service: &'a ServiceId,
    /// It may take the place of others.
    pub(crate) urgent: bool,
    /// It has failed before: one more failure costs much.
    careful: bool,
    /// Tasks of the step that each backend server runs already, if their number there is limited.
    here: BTreeMap<&'a BackendServerId, u64>,
}

impl Wanted<'_> {
    /// Whether a task of the step may run there at all.
    pub(crate) fn allows(&self, room: &Room) -> bool {
        let labelled = self.step.label.as_ref().is_none_or(|label| room.labels.contains(label));
        let trusted = !(self.careful && room.doubtful);
        *self.service == room.service && trusted && labelled && room.capacity.contains(&self.need)
    }

    /// How many more tasks of the step may go there by its spread limit.
    pub(crate) fn spread_left(&self, id: &BackendServerId) -> u64 {
        let Some(most) = self.step.max_per_server else { return u64::MAX };
        u64::from(most).saturating_sub(self.here.get(id).copied().unwrap_or(0))
    }

    /// How many more tasks of the step fit into `room`.
    pub(crate) fn fitting(&self, id: &BackendServerId, room: &Need) -> u64 {
        room.count_of(&self.need).min(self.spread_left(id))
    }
}

/// Where each task of a group goes.
pub(crate) type Places = Vec<(u32, BackendServerId)>;

impl Scheduler {
    /// Places what can start now, and stops what has to make room. `wall_ms` is the time of day.
    pub fn plan(&mut self, now: Moment, wall_ms: u64) {
        self.wall = (now, wall_ms);
        self.refresh_ready(now);
        let mut guarantees = Guarantees::new(self);
        let candidates = self.candidates(wall_ms, &mut guarantees);
        if candidates.is_empty() {
            return;
        }
        let mut rooms = self.rooms(now);
        for candidate in &candidates {
            if self.step_of(candidate).gang {
                self.plan_gang(candidate, &mut rooms, &guarantees, now);
            } else {
                self.plan_tasks(candidate, &mut rooms, &guarantees, now);
            }
        }
    }

    fn step_of(&self, candidate: &Candidate) -> &Step {
        self.step(candidate.group(0))
    }

    fn plan_gang(&mut self, candidate: &Candidate, rooms: &mut Rooms, guarantees: &Guarantees, now: Moment) {
        let name = candidate.group(0);
        let Some(wanted) = self.wanted(candidate) else { return };
        let count = u64::from(wanted.step.count);
        if !wanted.urgent && !self.leaves_headroom(&wanted, 0, count, rooms) {
            return;
        }
        let free = self.choose_gang(name, &wanted, rooms, |room| room.free, now);
        let soon = if wanted.urgent && free.is_none() {
            // Room that is being made counts as taken, so that nothing slips in and no more is stopped for it.
            self.choose_gang(name, &wanted, rooms, |room| room.soon, now)
        } else {
            None
        };
        let (need, urgent) = (wanted.need, wanted.urgent);
        if let Some(places) = free {
            rooms.claim(&need, &places);
            self.place(name, &places, now);
        } else if let Some(places) = soon {
            rooms.claim(&need, &places);
        } else if urgent {
            self.preempt_for(candidate, count, rooms, guarantees, now);
            let Some(wanted) = self.wanted(candidate) else { return };
            if let Some(places) = self.choose_gang(name, &wanted, rooms, |room| room.soon, now) {
                rooms.claim(&need, &places);
            }
        }
    }

    fn plan_tasks(&mut self, candidate: &Candidate, rooms: &mut Rooms, guarantees: &Guarantees, now: Moment) {
        let Some(wanted) = self.wanted(candidate) else { return };
        let (need, urgent) = (wanted.need, wanted.urgent);
        let mut left = candidate.groups.clone();
        let placed = self.choose_tasks(candidate, &wanted, rooms, |room| room.free, &mut left, now);
        let waiting = if urgent && !left.is_empty() {
            self.choose_tasks(candidate, &wanted, rooms, |room| room.soon, &mut left, now)
        } else {
            Places::new()
        };
        rooms.claim(&need, &placed);
        rooms.claim(&need, &waiting);
        for (group, server) in placed {
            self.place(candidate.group(group as usize), &[(group, server)], now);
        }
        if urgent && !left.is_empty() {
            self.preempt_for(candidate, left.len() as u64, rooms, guarantees, now);
            let Some(wanted) = self.wanted(candidate) else { return };
            let coming = self.choose_tasks(candidate, &wanted, rooms, |room| room.soon, &mut left, now);
            rooms.claim(&need, &coming);
        }
    }

    /// Whether enough accelerators stay free for urgent jobs if `count` tasks start beside `taken` that are
    /// about to. While the service is used little, work is never held back for that.
    fn leaves_headroom(&self, wanted: &Wanted<'_>, taken: u64, count: u64, rooms: &Rooms) -> bool {
        let totals = rooms.totals(wanted.service);
        let each = wanted.need.accelerators;
        let asked = (each * (taken + count)) as f64 + totals.all as f64 * self.timing.headroom;
        let used = totals.used + each * taken;
        totals.free as f64 >= asked || (used as f64) < totals.all as f64 * LITTLE_USED
    }

    /// `None` if no configuration has named the job's queue.
    pub(crate) fn wanted(&self, candidate: &Candidate) -> Option<Wanted<'_>> {
        let entry = &self.jobs[&candidate.occurrence.job];
        let queue = self.policy.queues.get(&entry.job.queue)?;
        let step = &entry.job.steps[candidate.step];
        let mut here = BTreeMap::new();
        if step.max_per_server.is_some() {
            let groups = &entry.occurrences[candidate.occurrence.number as usize].groups[candidate.step];
            for member in groups.iter().flat_map(|group| &group.members) {
                *here.entry(&member.server).or_insert(0) += 1;
            }
        }
        let progress = &entry.occurrences[candidate.occurrence.number as usize].progress.groups[candidate.step];
        let careful = progress.iter().any(|group| !group.failed_runs.is_empty());
        let need = step.counted_need();
        let urgent = queue.priority == 0 || step.long_running;
        Some(Wanted { step, need, service: &queue.service, urgent, careful, here })
    }

    /// What could start now, in the order in which it should.
    fn candidates(&mut self, wall_ms: u64, guarantees: &mut Guarantees) -> Vec<Candidate> {
        let mut found = Vec::new();
        for (&occurrence, steps) in &self.ready {
            let entry = &self.jobs[&occurrence.job];
            let Some(queue) = self.policy.queues.get(&entry.job.queue) else { continue };
            let due = entry.job.due_ms(occurrence.number);
            if due > 0 && wall_ms < due + self.timing.due_margin.millis() {
                continue;
            }
            let objective = objective(entry, queue.stretch, queue.objective);
            let from = due.max(entry.job.accepted_ms);
            for (step, groups) in steps {
                found.push(Candidate {
                    occurrence,
                    step: *step,
                    groups: groups.clone(),
                    priority: queue.priority,
                    guaranteed: false,
                    long_running: entry.job.steps[*step].long_running,
                    hopeless: wall_ms > from + objective.scaled(HOPELESSLY_LATE).millis(),
                    deadline_ms: from + objective.millis(),
                });
            }
        }
        found.sort_by_key(|c| (c.priority, c.hopeless, c.deadline_ms, c.occurrence, c.step));
        for candidate in found.iter_mut().filter(|candidate| candidate.priority == 0) {
            let entry = &self.jobs[&candidate.occurrence.job];
            let step = &entry.job.steps[candidate.step];
            let tasks = if step.gang { u64::from(step.count) } else { candidate.groups.len() as u64 };
            candidate.guaranteed = guarantees.take(entry.job.customer.as_ref(), step.need.accelerators * tasks);
        }
        found.sort_by_key(|c| (c.priority, !c.guaranteed));
        found
    }

    /// Places tasks that each run by themselves, taking them out of `left`.
    fn choose_tasks(
        &self,
        candidate: &Candidate,
        wanted: &Wanted<'_>,
        rooms: &Rooms,
        part: impl Fn(&Room) -> Need,
        left: &mut Vec<usize>,
        now: Moment,
    ) -> Places {
        let near = |room: &Room| wanted.step.data_rack.as_ref().is_none_or(|rack| *rack == room.rack);
        let far_is_worth_it = self.far_is_worth_it(candidate, wanted.step, now);
        let mut order: Vec<(&BackendServerId, &Room)> = rooms
            .iter()
            .filter(|(_, room)| part(room).contains(&wanted.need) && wanted.allows(room))
            .filter(|(_, room)| far_is_worth_it || near(room))
            .collect();
        order.sort_by_key(|(_, room)| {
            let free = part(room);
            (!near(room), room.doubtful, &room.rack, free.accelerators, free.cpu_milli)
        });
        let mut places = Places::new();
        for (id, room) in order {
            let mut fitting = wanted.fitting(id, &part(room));
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

    /// A group keeps off backend servers where it failed, unless it has waited for another.
    pub(crate) fn avoids(&self, name: GroupId, id: &BackendServerId, now: Moment) -> bool {
        let group = self.group(name);
        let waited = group.ready_since.map_or(Duration::ZERO, |since| now.since(since));
        group.avoid.contains(id) && waited < AVOID
    }

    /// A task runs longer away from its data: it waits as long as that would cost before it goes there.
    fn far_is_worth_it(&self, candidate: &Candidate, step: &Step, now: Moment) -> bool {
        let Some(rack) = &step.data_rack else { return true };
        let exists = self.servers.values().filter_map(|server| server.info.as_ref()).any(|info| info.rack == *rack);
        let since = candidate.groups.iter().filter_map(|&group| self.group(candidate.group(group)).ready_since).min();
        let waited = since.map_or(Duration::ZERO, |since| now.since(since));
        !exists || waited > step.estimate.scaled(self.timing.far_factor - 1.0)
    }

    fn choose_gang(
        &self,
        name: GroupId,
        wanted: &Wanted<'_>,
        rooms: &Rooms,
        part: impl Fn(&Room) -> Need + Copy,
        now: Moment,
    ) -> Option<Places> {
        let allowed: Vec<(&BackendServerId, &Room)> =
            rooms.iter().filter(|(id, room)| wanted.allows(room) && !self.avoids(name, id, now)).collect();
        let slots_by = |part: &dyn Fn(&Room) -> Need| -> BTreeMap<&Arc<str>, u64> {
            let mut slots = BTreeMap::new();
            for (id, room) in &allowed {
                *slots.entry(&room.rack).or_insert(0) += wanted.fitting(id, &part(room));
            }
            slots
        };
        let count = u64::from(wanted.step.count);
        let slots = slots_by(&part);
        // Work that can wait fills the racks from the first, so that whole racks stay free for what cannot.
        let rank = |rack: &Arc<str>, n: u64| if wanted.urgent { (n, None) } else { (0, Some(Arc::clone(rack))) };
        let fits = slots.iter().filter(|(_, n)| **n >= count).min_by_key(|(rack, n)| rank(rack, **n));
        if let Some((rack, _)) = fits {
            return fill(wanted, &allowed, part, |room| (room.rack == **rack).then_some(0));
        }
        let one_rack_could = slots_by(&|room: &Room| room.capacity).values().any(|&n| n >= count);
        if wanted.step.same_rack && one_rack_could || slots.values().sum::<u64>() < count {
            return None;
        }
        // Over several racks: the fullest first, so that whole racks stay free.
        fill(wanted, &allowed, part, |room| Some(slots[&room.rack]))
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

    /// Moves what cannot end before its backend server leaves.
    pub(crate) fn evacuate(&mut self, id: &BackendServerId, now: Moment) {
        let Some(server) = self.servers.get(id) else { return };
        let Some(remaining) = server.info.as_ref().and_then(|info| info.remaining) else { return };
        let tasks: Vec<jobs::TaskId> = server.members.keys().copied().collect();
        for task in tasks {
            let Some(name) = self.group_of(task) else { continue };
            if self.time_left(name, now) > remaining {
                self.stop_group(name, StopReason::Evacuated, now);
            }
        }
    }
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

fn objective(entry: &JobEntry, stretch: f64, added: Duration) -> Duration {
    entry.chain.scaled(stretch) + added
}
