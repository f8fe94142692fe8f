//! Selection of the backend servers that the tasks of a step run on.
//!
//! Throughout, `part` selects the part of a backend server's capacity that counts: what is free now, or what is free
//! once runs that are being stopped have ended.

use std::{cmp::Ordering, sync::Arc};

use jobs::{Duration, Resources, Step};
use model::Moment;

use crate::{
    Scheduler,
    candidate::{Candidate, Requirements},
    crashes::{has_crashed_at, is_suspected},
    fleet_capacity::{FleetCapacity, Rack, ServerIndex},
    run_state::GroupId,
    server_capacity::ServerCapacity,
    speed::SpeedClass,
    sums::saturating_sum,
};

/// How long a group waits for a backend server other than those where it failed.
const AVOIDANCE_TIMEOUT: Duration = Duration::from_secs(3);

/// The index of the backend server for each task of a group, by task index.
pub(crate) type Placements = Vec<(u32, ServerIndex)>;

/// Backend servers in the order in which they are filled, each with the number of tasks that it may take.
type FillOrder<'r> = Vec<(ServerIndex, &'r ServerCapacity, u64)>;

/// Tasks that are being placed.
struct Filling<'l> {
    /// Groups that are not placed yet.
    unplaced: &'l mut Vec<usize>,
    placements: Placements,
}

impl Scheduler {
    /// Places independent tasks and removes them from `unplaced`: near their data first, then on backend servers that
    /// are not suspect, then rack by rack on the fullest.
    pub(crate) fn place_tasks(
        &self,
        candidate: &Candidate,
        requirements: &Requirements<'_>,
        fleet: &FleetCapacity,
        part: impl Fn(&ServerCapacity) -> Resources,
        unplaced: &mut Vec<usize>,
        now: Moment,
    ) -> Placements {
        let mut filling = Filling { unplaced, placements: Placements::new() };
        if !self.headroom_allows(candidate, requirements, 0, 1, fleet) {
            return filling.placements;
        }
        if candidate.suspected {
            let may_be_far = self.remote_is_worthwhile(candidate, requirements.step, fleet, now);
            let order = fewest_tasks_first(requirements, fleet, &part, may_be_far);
            self.fill_with_tasks(candidate, requirements, fleet, order, &mut filling, now);
            return filling.placements;
        }
        if requirements.step.best_effort || requirements.step.target.is_some() {
            let order = least_disturbed_first(requirements, fleet, &part, filling.unplaced.len());
            self.fill_with_tasks(candidate, requirements, fleet, order, &mut filling, now);
            return filling.placements;
        }
        let remote_is_worthwhile = self.remote_is_worthwhile(candidate, requirements.step, fleet, now);
        for (near, suspect, speed) in tiers(requirements, fleet) {
            // One task away from its data is enough to end a stall; the other tasks wait for capacity near the data.
            let limited_to_one = !near && !remote_is_worthwhile;
            let is_first_of_stalled = requirements.is_stalled && filling.placements.is_empty();
            if !near && requirements.step.data_rack.is_none() || limited_to_one && !is_first_of_stalled {
                continue;
            }
            let racks = fleet.racks().filter(|(name, _)| is_near(requirements.step, name) == near);
            for (_, rack) in racks.filter(|(_, rack)| rack.may_hold(&requirements.need)) {
                if filling.unplaced.is_empty() {
                    return filling.placements;
                }
                let mut order = fitting_servers(requirements, fleet, rack, &part);
                order.retain(|(_, server, _)| {
                    server.suspect == suspect && speed.is_none_or(|speed| server.speed == speed)
                });
                order.sort_by(|a, b| fullest_first(&part, a.1, b.1));
                if limited_to_one {
                    order.truncate(1);
                    order.iter_mut().for_each(|(_, _, fitting)| *fitting = 1);
                }
                self.fill_with_tasks(candidate, requirements, fleet, order, &mut filling, now);
                if limited_to_one && !filling.placements.is_empty() {
                    return filling.placements;
                }
            }
        }
        filling.placements
    }

    /// Fills backend servers with tasks in the given order, as long as enough headroom stays free.
    fn fill_with_tasks(
        &self,
        candidate: &Candidate,
        requirements: &Requirements<'_>,
        fleet: &FleetCapacity,
        order: FillOrder<'_>,
        filling: &mut Filling<'_>,
        now: Moment,
    ) {
        for (server_index, server, mut fitting) in order {
            let mut skipped = Vec::new();
            let mut examined = 0;
            for &group in filling.unplaced.iter() {
                let placed = filling.placements.len() as u64;
                let has_headroom = self.headroom_allows(candidate, requirements, placed, 1, fleet);
                // One task is enough to end a stall; the other tasks wait until the isolated retry there has ended.
                let has_headroom = has_headroom && !(server.has_isolated_retry && placed > 0);
                if fitting == 0 || !has_headroom {
                    break;
                }
                examined += 1;
                if !requirements.is_stalled && self.avoids(candidate.group(group), server, now) {
                    skipped.push(group);
                    continue;
                }
                filling.placements.push((group as u32, server_index));
                fitting -= 1;
            }
            filling.unplaced.splice(..examined, skipped);
            if filling.unplaced.is_empty() {
                return;
            }
        }
    }

    /// Places a gang; `None` if it has to wait. For an urgent gang, the slowest backend server is as fast as
    /// possible, since a gang ends with its slowest member.
    pub(crate) fn place_gang(
        &self,
        name: GroupId,
        requirements: &Requirements<'_>,
        fleet: &FleetCapacity,
        part: impl Fn(&ServerCapacity) -> Resources,
        now: Moment,
    ) -> Option<Placements> {
        let slowest = fleet.slowest();
        let faster_classes = SpeedClass::ALL.iter().filter(|class| requirements.urgent && **class < slowest);
        let mut faster = faster_classes.filter_map(|class| {
            let part =
                |server: &ServerCapacity| if server.speed <= *class { part(server) } else { Resources::default() };
            self.place_gang_among(name, requirements, fleet, part, now)
        });
        faster.next().or_else(|| self.place_gang_among(name, requirements, fleet, &part, now))
    }

    /// Places a gang in one rack if it fits there, else over several racks if the step allows that; `None` if it has
    /// to wait.
    fn place_gang_among(
        &self,
        name: GroupId,
        requirements: &Requirements<'_>,
        fleet: &FleetCapacity,
        part: impl Fn(&ServerCapacity) -> Resources,
        now: Moment,
    ) -> Option<Placements> {
        let count = u64::from(requirements.step.count);
        let fitting_tasks = self.fitting_by_rack(name, requirements, fleet, &part, now);
        // Work that can wait fills the racks from the first on, so that whole racks stay free for urgent gangs.
        let filling = self.timing.tuning.rack_filling;
        let first = requirements.urgent || !filling;
        let fits = fitting_tasks.iter().filter(|(_, n)| *n >= count).min_by_key(|(_, n)| if first { *n } else { 0 });
        if let Some((rack, _)) = fits {
            return self.fill_with_gang(name, requirements, fleet, &[*rack], part, now);
        }
        let could_fit_one_rack = || {
            let whole = self.fitting_by_rack(name, requirements, fleet, |server| server.capacity, now);
            whole.iter().any(|(_, n)| *n >= count)
        };
        if saturating_sum(fitting_tasks.iter().map(|(_, n)| *n)) < count
            || requirements.step.same_rack && !requirements.is_stalled && could_fit_one_rack()
        {
            return None;
        }
        // Over several racks: those with the least free capacity first, so that whole racks stay free.
        let mut by_free_capacity = fitting_tasks;
        by_free_capacity.sort_by_key(|(_, n)| *n);
        let racks: Vec<&Rack> = by_free_capacity.into_iter().map(|(rack, _)| rack).collect();
        self.fill_with_gang(name, requirements, fleet, &racks, part, now)
    }

    /// Returns how many tasks of the step fit into each rack, in the order of the racks' names.
    fn fitting_by_rack<'r>(
        &self,
        name: GroupId,
        requirements: &Requirements<'_>,
        fleet: &'r FleetCapacity,
        part: impl Fn(&ServerCapacity) -> Resources,
        now: Moment,
    ) -> Vec<(&'r Rack, u64)> {
        let count = |rack| {
            let servers = self.servers_for_gang(name, requirements, fleet, rack, now);
            saturating_sum(servers.map(|(_, server)| requirements.fitting(&server.id, &part(server))))
        };
        fleet.racks().map(|(_, rack)| (rack, count(rack))).collect()
    }

    fn servers_for_gang<'r>(
        &self,
        name: GroupId,
        requirements: &Requirements<'_>,
        fleet: &'r FleetCapacity,
        rack: &'r Rack,
        now: Moment,
    ) -> impl Iterator<Item = (ServerIndex, &'r ServerCapacity)> {
        fleet.in_rack(rack).filter(move |(_, server)| {
            requirements.allows(server) && (requirements.is_stalled || !self.avoids(name, server, now))
        })
    }

    /// Fills racks in the given order. Within a rack, backend servers that are not suspect come first, then the
    /// fullest; a suspected gang takes those with the fewest tasks.
    fn fill_with_gang(
        &self,
        name: GroupId,
        requirements: &Requirements<'_>,
        fleet: &FleetCapacity,
        racks: &[&Rack],
        part: impl Fn(&ServerCapacity) -> Resources,
        now: Moment,
    ) -> Option<Placements> {
        let mut placements = Placements::new();
        let mut indices = 0..requirements.step.count;
        let suspected = is_suspected(self.progress_of(name));
        let neighbours = |server: &ServerCapacity| if suspected { server.tasks } else { 0 };
        for rack in racks {
            let mut order: Vec<(ServerIndex, &ServerCapacity)> =
                self.servers_for_gang(name, requirements, fleet, rack, now).collect();
            order.sort_by(|a, b| {
                let trusted = (neighbours(a.1), a.1.suspect).cmp(&(neighbours(b.1), b.1.suspect));
                trusted.then(fullest_first(&part, a.1, b.1))
            });
            for (server_index, server) in order {
                let n = requirements.fitting(&server.id, &part(server));
                placements.extend(indices.by_ref().take(n as usize).map(|index| (index, server_index)));
            }
        }
        (placements.len() == requirements.step.count as usize).then_some(placements)
    }

    /// Returns whether tasks of a step may go to racks away from their data. They run longer there, so they first
    /// wait for as long as the longer run would cost.
    pub(crate) fn remote_is_worthwhile(
        &self,
        candidate: &Candidate,
        step: &Step,
        fleet: &FleetCapacity,
        now: Moment,
    ) -> bool {
        let Some(rack) = step.data_rack.as_ref().filter(|_| self.timing.tuning.data_rack) else { return true };
        let since = candidate.groups.iter().filter_map(|&group| self.group(candidate.group(group)).ready_since).min();
        let waited = since.map_or(Duration::ZERO, |since| now.since(since));
        let run_time = self.run_time_in_use(candidate.group(0));
        !fleet.has_rack(rack) || waited > run_time.scaled(self.timing.far_factor - 1.0)
    }

    /// Returns whether a group avoids a backend server: the group failed there, or a backend server at that address
    /// crashed under it. Holds until the group has waited for [`AVOIDANCE_TIMEOUT`].
    pub(crate) fn avoids(&self, name: GroupId, server: &ServerCapacity, now: Moment) -> bool {
        let occurrence = self.occurrence(name.occurrence);
        let group = &occurrence.groups[name.step][name.group];
        let progress = &occurrence.progress.groups[name.step][name.group];
        let has_failed_there = group.avoid.contains(&server.id) || has_crashed_at(progress, &server.address);
        has_failed_there && self.may_avoid(name, now)
    }

    /// Returns whether a group avoids any backend server now.
    pub(crate) fn may_avoid(&self, name: GroupId, now: Moment) -> bool {
        let group = self.group(name);
        let waited = group.ready_since.map_or(Duration::ZERO, |since| now.since(since));
        let has_failed_somewhere = !group.avoid.is_empty() || !self.progress_of(name).crashes.is_empty();
        has_failed_somewhere && self.timing.tuning.avoidance && waited < AVOIDANCE_TIMEOUT
    }
}

/// Returns the order in which kinds of backend servers are filled: near ones first, then those that are not suspect,
/// then, for tasks that prefer them, fast ones.
fn tiers(requirements: &Requirements<'_>, fleet: &FleetCapacity) -> Vec<(bool, bool, Option<SpeedClass>)> {
    let speeds = match fleet.slowest() {
        slowest if requirements.prefers_fast && slowest > SpeedClass::Usual => SpeedClass::ALL.map(Some).to_vec(),
        _ => vec![None],
    };
    let mut tiers = Vec::new();
    for (near, suspect) in [(true, false), (true, true), (false, false), (false, true)] {
        tiers.extend(speeds.iter().map(|&speed| (near, suspect, speed)));
    }
    tiers
}

pub(crate) fn is_near(step: &Step, rack: &Arc<str>) -> bool {
    step.data_rack.as_ref().is_none_or(|data| data == rack)
}

/// Returns the backend servers of a rack that one more task of the step fits into.
fn fitting_servers<'r>(
    requirements: &Requirements<'_>,
    fleet: &'r FleetCapacity,
    rack: &'r Rack,
    part: impl Fn(&ServerCapacity) -> Resources,
) -> FillOrder<'r> {
    let fits = |server: &ServerCapacity| part(server).contains(&requirements.need) && requirements.allows(server);
    let fitting = fleet.in_rack(rack).filter(|(_, server)| fits(server));
    fitting
        .map(|(server_index, server)| (server_index, server, requirements.fitting(&server.id, &part(server))))
        .collect()
}

fn fullest_first(part: impl Fn(&ServerCapacity) -> Resources, a: &ServerCapacity, b: &ServerCapacity) -> Ordering {
    let free = |server: &ServerCapacity| {
        let free = part(server);
        (free.accelerators, free.cpu_milli)
    };
    free(a).cmp(&free(b)).then_with(|| a.id.cmp(&b.id))
}

/// Orders backend servers for a task that may crash its backend server: those with the fewest tasks first, ideally
/// empty ones.
fn fewest_tasks_first<'r>(
    requirements: &Requirements<'_>,
    fleet: &'r FleetCapacity,
    part: impl Fn(&ServerCapacity) -> Resources,
    may_be_far: bool,
) -> FillOrder<'r> {
    let near_enough = |rack: &Arc<str>| may_be_far || is_near(requirements.step, rack);
    let racks = fleet.racks().filter(|(name, rack)| rack.may_hold(&requirements.need) && near_enough(name));
    let mut order: FillOrder<'r> =
        racks.flat_map(|(_, rack)| fitting_servers(requirements, fleet, rack, &part)).collect();
    order.sort_by_key(|(_, server, _)| (!is_near(requirements.step, &server.rack), server.tasks, server.suspect));
    order
}

/// Orders backend servers so that best-effort tasks and tasks with a latency target keep apart, and best-effort tasks
/// spread out, since each of them runs on what the others leave over; ties are broken as for any other task.
/// Best-effort tasks take no processors from the counted capacity, so capacity alone would put all `count` of them on
/// one backend server.
fn least_disturbed_first<'r>(
    requirements: &Requirements<'_>,
    fleet: &'r FleetCapacity,
    part: impl Fn(&ServerCapacity) -> Resources,
    count: usize,
) -> FillOrder<'r> {
    let best_effort = requirements.step.best_effort;
    let racks = fleet.racks().filter(|(_, rack)| rack.may_hold(&requirements.need));
    let mut order: FillOrder<'r> =
        racks.flat_map(|(_, rack)| fitting_servers(requirements, fleet, rack, &part)).collect();
    order.sort_by_key(|(_, server, _)| {
        let free = part(server);
        let near = is_near(requirements.step, &server.rack);
        let disturbance = if best_effort { server.serving + server.best_effort } else { server.best_effort };
        (!near, server.suspect, disturbance, &server.rack, free.accelerators, free.cpu_milli)
    });
    let most = if best_effort { count.div_ceil(order.len().max(1)) as u64 } else { u64::MAX };
    for (_, _, fitting) in &mut order {
        *fitting = most.min(*fitting);
    }
    order
}
