//! Stalled occurrences: nothing of them is known to run although something could, or a long-running task of theirs
//! waits. Records how long each has been stalled and logs what it waits for.

use std::{collections::BTreeMap, fmt};

use jobs::{OccurrenceId, QueueId};
use model::{BackendServerId, Duration, Moment};

use crate::{
    Scheduler,
    candidate::Candidate,
    ready::ReadyStep,
    run_state::{Group, GroupId, Member, Phase},
    server::Server,
};

/// Interval between two checks for stalled occurrences.
const CHECK_INTERVAL: Duration = Duration::from_millis(1000);
/// Occurrences that are stalled for less than this are being placed, stored and ordered.
const STALLED_FOR_LONG: Duration = Duration::from_millis(2000);
/// Most occurrences that one check logs; the gauge counts all.
const MAX_LOG_LINES: usize = 10;

/// Stalled occurrences, with the time since when they are stalled.
#[derive(Debug, Default)]
pub(crate) struct Stalled {
    since: BTreeMap<OccurrenceId, Moment>,
    checked: Moment,
    /// Occurrences that were stalled for at least [`STALLED_FOR_LONG`] at the latest check.
    pub(crate) long: StalledCounts,
}

/// Numbers of stalled occurrences by what they wait for. Where several tasks of an occurrence wait, its first one
/// counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, derive_more::Display)]
#[display("lease={lease} stop={stop} store={store} start={start} placement={placement}")]
pub struct StalledCounts {
    /// A run may be active on an unresponsive backend server until the leases there expire.
    pub lease: usize,
    /// A run is being stopped.
    pub stop: usize,
    /// The placement of a run is not stored yet.
    pub store: usize,
    /// A start order has no reply yet, or its run is not listed yet.
    pub start: usize,
    /// Nothing is placed.
    pub placement: usize,
}

impl StalledCounts {
    /// Returns the number of stalled occurrences.
    pub fn total(&self) -> usize {
        self.by_wait().iter().map(|(_, number)| number).sum()
    }

    /// Returns the numbers with the names of what the occurrences wait for.
    pub fn by_wait(&self) -> [(&'static str, usize); 5] {
        let StalledCounts { lease, stop, store, start, placement } = *self;
        [("lease", lease), ("stop", stop), ("store", store), ("start", start), ("place", placement)]
    }

    fn add(&mut self, wait: Option<&WaitsFor>) {
        let count = match wait {
            Some(WaitsFor::Lease { .. }) => &mut self.lease,
            Some(WaitsFor::Stop { .. }) => &mut self.stop,
            Some(WaitsFor::Store) => &mut self.store,
            Some(WaitsFor::Start { .. }) => &mut self.start,
            Some(WaitsFor::Placement(_) | WaitsFor::QueuePolicy { .. }) | None => &mut self.placement,
        };
        *count += 1;
    }
}

/// What an occurrence waits for.
enum WaitsFor {
    /// A run may be active on an unresponsive backend server until the leases there expire.
    Lease { server: BackendServerId, left: Duration },
    /// A run is being stopped on the backend server.
    Stop { server: BackendServerId },
    /// The placement of a run is not stored yet.
    Store,
    /// The backend server has not responded to the start order, or has not listed the run.
    Start { server: BackendServerId },
    /// A placement.
    Placement(PlacementOptions),
    /// The policy of its queue, which no known configuration names.
    QueuePolicy { queue: QueueId },
}

/// Numbers of backend servers that a task might be placed on.
struct PlacementOptions {
    /// Backend servers with enough free capacity for one task.
    with_room: usize,
    /// Backend servers among those that the task is allowed on.
    allowed: usize,
    /// Backend servers among the allowed ones that the task avoids.
    avoided: usize,
    /// Another reason that holds the task back; `None` if there is none.
    held_back_by: Option<&'static str>,
}

impl fmt::Display for WaitsFor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WaitsFor::Lease { server, left } => write!(f, "lease server={server} left_ms={}", left.millis()),
            WaitsFor::Stop { server } => write!(f, "stop server={server}"),
            WaitsFor::Store => f.write_str("store"),
            WaitsFor::Start { server } => write!(f, "start server={server}"),
            WaitsFor::QueuePolicy { queue } => write!(f, "queue_policy queue={queue}"),
            WaitsFor::Placement(PlacementOptions { with_room, allowed, avoided, held_back_by }) => {
                let held_back_by = held_back_by.unwrap_or("nothing");
                write!(f, "place with_room={with_room} allowed={allowed} avoided={avoided} held_back_by={held_back_by}")
            }
        }
    }
}

impl Scheduler {
    /// Checks which occurrences are stalled, and logs what those wait for that have been stalled for long.
    pub(crate) fn detect_stalled(&mut self, now: Moment) {
        if now.since(self.stalled.checked) < CHECK_INTERVAL {
            return;
        }
        let before = std::mem::take(&mut self.stalled.since);
        let is_stalled = |id: &OccurrenceId| self.is_stalled(*id, now);
        let since: BTreeMap<OccurrenceId, Moment> = self
            .open_occurrences()
            .filter(is_stalled)
            .map(|id| (id, before.get(&id).copied().unwrap_or(now)))
            .collect();
        let long: Vec<(OccurrenceId, Duration)> = since
            .iter()
            .map(|(id, since)| (*id, now.since(*since)))
            .filter(|(_, time)| *time >= STALLED_FOR_LONG)
            .collect();
        for (id, time) in long.iter().take(MAX_LOG_LINES) {
            if let Some(waits_for) = self.waits_for(*id, now) {
                log::info!(
                    "job={} event=stands occurrence={} for_ms={} waits_for={waits_for}",
                    id.job,
                    id.number,
                    time.millis()
                );
            }
        }
        let mut counts = StalledCounts::default();
        for (id, _) in &long {
            counts.add(self.placed_run_wait(*id, now).as_ref());
        }
        if !long.is_empty() {
            log::info!("event=stalled_occurrences number={} {counts}", long.len());
        }
        self.stalled = Stalled { since, checked: now, long: counts };
    }

    fn open_occurrences(&self) -> impl Iterator<Item = OccurrenceId> {
        self.open_jobs.iter().flat_map(|id| self.jobs[id].occurrence_ids())
    }

    /// Returns whether nothing of an occurrence is known to run although something of it is placed or could be, or a
    /// long-running task has waited for [`STALLED_FOR_LONG`] to be placed.
    fn is_stalled(&self, id: OccurrenceId, now: Moment) -> bool {
        let entry = &self.jobs[&id.job];
        let occurrence = self.occurrence(id);
        if entry.cancelled || occurrence.is_finished() || self.wall_ms(now) < entry.job.due_ms(id.number) {
            return false;
        }
        let members = || occurrence.groups.iter().flatten().flat_map(|group| &group.members);
        let is_running = members().any(|member| member.phase == Phase::Running && self.is_responsive(&member.server));
        let is_idle = !is_running && (self.ready.contains_key(&id) || members().next().is_some());
        is_idle || self.has_waiting_long_running(id, now)
    }

    fn has_waiting_long_running(&self, id: OccurrenceId, now: Moment) -> bool {
        let steps = &self.jobs[&id.job].job.steps;
        let ready = self.ready.get(&id).into_iter().flatten().filter(|ready| steps[ready.step].long_running);
        let mut since = ready.filter_map(|ready| self.longest_waiting(id, ready)).filter_map(|(since, _)| since);
        since.any(|since| now.since(since) >= STALLED_FOR_LONG)
    }

    /// Returns the group of a step that has waited longest to be placed, and since when.
    fn longest_waiting(&self, occurrence: OccurrenceId, ready: &ReadyStep) -> Option<(Option<Moment>, usize)> {
        let groups = &self.occurrence(occurrence).groups[ready.step];
        let waiting = ready.groups.iter().chain(&ready.suspected);
        waiting.map(|&group| (groups[group].ready_since, group)).min()
    }

    fn is_responsive(&self, id: &BackendServerId) -> bool {
        self.servers.get(id).is_some_and(Server::is_reachable)
    }

    fn waits_for(&self, id: OccurrenceId, now: Moment) -> Option<WaitsFor> {
        let placement = self.ready.get(&id).and_then(|steps| self.placement_wait(id, steps.first()?, now));
        placement.or_else(|| self.placed_run_wait(id, now))
    }

    /// Returns what the first placed run of an occurrence waits for; `None` if nothing of it is placed.
    fn placed_run_wait(&self, id: OccurrenceId, now: Moment) -> Option<WaitsFor> {
        self.occurrence(id).groups.iter().flatten().find_map(|group| self.run_wait(group, now))
    }

    fn run_wait(&self, group: &Group, now: Moment) -> Option<WaitsFor> {
        let unreachable = group.members.iter().find(|member| !self.is_responsive(&member.server));
        let member: &Member = unreachable.or_else(|| group.members.first())?;
        let server = member.server.clone();
        if unreachable.is_some() {
            let left = self.servers.get(&server).map_or(Duration::ZERO, |server| server.lease_expiry.since(now));
            return Some(WaitsFor::Lease { server, left });
        }
        if group.stopping.is_some() {
            return Some(WaitsFor::Stop { server });
        }
        Some(if member.phase == Phase::Planned { WaitsFor::Store } else { WaitsFor::Start { server } })
    }

    /// Returns why the group of a step that has waited longest is not placed.
    fn placement_wait(&self, occurrence: OccurrenceId, ready: &ReadyStep, now: Moment) -> Option<WaitsFor> {
        let (_, group) = self.longest_waiting(occurrence, ready)?;
        let name = GroupId { occurrence, step: ready.step, group };
        let Some(requirements) = self.requirements(&Candidate::for_diagnosis(name), now) else {
            let queue = self.jobs[&occurrence.job].job.queue.clone();
            return Some(WaitsFor::QueuePolicy { queue });
        };
        let awaits_retry = ready.suspected.contains(&group) && self.awaits_isolated_retry(name, now);
        let no_headroom = !requirements.urgent && !self.leaves_headroom(&requirements, 0, 1, &self.fleet);
        let held_back_by = if awaits_retry { Some("trial") } else { no_headroom.then_some("headroom") };
        let with_room: Vec<_> =
            self.fleet.iter().filter(|(_, server)| server.free.contains(&requirements.need)).collect();
        let allowed: Vec<_> = with_room.iter().filter(|(_, server)| requirements.allows(server)).collect();
        let avoided = allowed.iter().filter(|(_, server)| self.avoids(name, server, now)).count();
        Some(WaitsFor::Placement(PlacementOptions {
            with_room: with_room.len(),
            allowed: allowed.len(),
            avoided,
            held_back_by,
        }))
    }
}
