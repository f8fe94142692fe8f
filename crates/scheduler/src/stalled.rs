//! Jobs that stand: nothing of them runs although something could, as far as the scheduler knows. For how long, and what each waits for.

use std::{collections::BTreeMap, fmt};

use jobs::OccurrenceId;
use model::{BackendServerId, Duration, Moment};

use crate::{
    Scheduler,
    candidate::Candidate,
    ready::ReadyStep,
    run_state::{Group, GroupId, Member, Phase},
    server::Server,
};

/// How often is looked which jobs stand.
const LOOK_EVERY: Duration = Duration::from_millis(1000);
/// What stands for less is on its way: it is being placed, stored and ordered.
const ON_ITS_WAY: Duration = Duration::from_millis(2000);
/// Most lines of one look; the gauge counts the others.
const MOST_LINES: usize = 10;

/// Since when occurrences stand.
#[derive(Debug, Default)]
pub(crate) struct Stalled {
    since: BTreeMap<OccurrenceId, Moment>,
    looked: Moment,
    /// How many stood for long at the latest look.
    pub(crate) long: usize,
}

/// What an occurrence waits for.
enum WaitsFor {
    /// Something of it may run on a backend server that does not answer, until its leases are over.
    Lease { server: BackendServerId, left: Duration },
    /// A run is being stopped there.
    Stop { server: BackendServerId },
    /// The store has to take where a run goes.
    Store,
    /// A backend server has not answered the order to start a run, or has not listed it.
    Start { server: BackendServerId },
    /// A place.
    Place(Places),
}

/// Backend servers that a task might go to.
struct Places {
    /// There is room for one of them.
    with_room: usize,
    /// These of them may be taken.
    allowed: usize,
    /// It keeps off these of those.
    avoided: usize,
    /// What else holds it back, if anything.
    held_back_by: Option<&'static str>,
}

impl fmt::Display for WaitsFor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WaitsFor::Lease { server, left } => write!(f, "lease server={server} left_ms={}", left.millis()),
            WaitsFor::Stop { server } => write!(f, "stop server={server}"),
            WaitsFor::Store => f.write_str("store"),
            WaitsFor::Start { server } => write!(f, "start server={server}"),
            WaitsFor::Place(Places { with_room, allowed, avoided, held_back_by }) => {
                let held_back_by = held_back_by.unwrap_or("nothing");
                write!(f, "place with_room={with_room} allowed={allowed} avoided={avoided} held_back_by={held_back_by}")
            }
        }
    }
}

impl Scheduler {
    /// Looks which occurrences stand, and tells what those wait for that have stood for long.
    pub(crate) fn detect_stalled(&mut self, now: Moment) {
        if now.since(self.stalled.looked) < LOOK_EVERY {
            return;
        }
        let before = std::mem::take(&mut self.stalled.since);
        let is_stalled = |id: &OccurrenceId| self.is_stalled(*id, now);
        let since: BTreeMap<OccurrenceId, Moment> = self
            .open_occurrences()
            .filter(is_stalled)
            .map(|id| (id, before.get(&id).copied().unwrap_or(now)))
            .collect();
        let long: Vec<(OccurrenceId, Duration)> =
            since.iter().map(|(id, since)| (*id, now.since(*since))).filter(|(_, time)| *time >= ON_ITS_WAY).collect();
        for (id, time) in long.iter().take(MOST_LINES) {
            if let Some(waits_for) = self.waits_for(*id, now) {
                log::info!(
                    "job={} event=stands occurrence={} for_ms={} waits_for={waits_for}",
                    id.job,
                    id.number,
                    time.millis()
                );
            }
        }
        self.stalled = Stalled { since, looked: now, long: long.len() };
    }

    fn open_occurrences(&self) -> impl Iterator<Item = OccurrenceId> {
        self.open_jobs.iter().flat_map(|id| self.jobs[id].occurrence_ids())
    }

    /// Whether nothing of an occurrence is known to run, and something of it is placed or could be.
    fn is_stalled(&self, id: OccurrenceId, now: Moment) -> bool {
        let entry = &self.jobs[&id.job];
        let occurrence = self.occurrence(id);
        if entry.cancelled || occurrence.is_finished() || self.wall_ms(now) < entry.job.due_ms(id.number) {
            return false;
        }
        let members = || occurrence.groups.iter().flatten().flat_map(|group| &group.members);
        let runs = members().any(|member| member.phase == Phase::Running && self.answers(&member.server));
        !runs && (self.ready.contains_key(&id) || members().next().is_some())
    }

    fn answers(&self, id: &BackendServerId) -> bool {
        self.servers.get(id).is_some_and(Server::is_reachable)
    }

    fn waits_for(&self, id: OccurrenceId, now: Moment) -> Option<WaitsFor> {
        let place = self.ready.get(&id).and_then(|steps| self.waits_for_place(id, steps.first()?, now));
        let groups = || self.occurrence(id).groups.iter().flatten();
        place.or_else(|| groups().find_map(|group| self.waits_for_run(group, now)))
    }

    fn waits_for_run(&self, group: &Group, now: Moment) -> Option<WaitsFor> {
        let lost = group.members.iter().find(|member| !self.answers(&member.server));
        let member: &Member = lost.or_else(|| group.members.first())?;
        let server = member.server.clone();
        if lost.is_some() {
            let left = self.servers.get(&server).map_or(Duration::ZERO, |server| server.lease_expiry.since(now));
            return Some(WaitsFor::Lease { server, left });
        }
        if group.stopping.is_some() {
            return Some(WaitsFor::Stop { server });
        }
        Some(if member.phase == Phase::Planned { WaitsFor::Store } else { WaitsFor::Start { server } })
    }

    /// What keeps the first group that could start from its place.
    fn waits_for_place(&self, occurrence: OccurrenceId, ready: &ReadyStep, now: Moment) -> Option<WaitsFor> {
        let group = *ready.groups.first().or(ready.suspects.first())?;
        let name = GroupId { occurrence, step: ready.step, group };
        let requirements = self.requirements(&Candidate::for_diagnosis(name), now)?;
        let has_isolated_retry = ready.groups.is_empty() && self.awaits_isolated_retry(name, now);
        let no_headroom = !requirements.urgent && !self.leaves_headroom(&requirements, 0, 1, &self.fleet);
        let held_back_by = if has_isolated_retry { Some("trial") } else { no_headroom.then_some("headroom") };
        let with_room: Vec<_> =
            self.fleet.iter().filter(|(_, server)| server.free.contains(&requirements.need)).collect();
        let allowed: Vec<_> = with_room.iter().filter(|(_, server)| requirements.allows(server)).collect();
        let avoided = allowed.iter().filter(|(_, server)| self.avoids(name, server, now)).count();
        Some(WaitsFor::Place(Places { with_room: with_room.len(), allowed: allowed.len(), avoided, held_back_by }))
    }
}
