//! The scheduler's state and what changes it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use jobs::{Fence, Job, JobId, JobState, OccurrenceId, Progress, QueueId, TaskId};
use model::{BackendServerId, CustomerId, Duration, Moment, Revision};

use crate::{
    live::{GroupId, JobEntry, Member, Phase, StopReason},
    observe::Observation,
    orders::{Order, StartReply},
    policy::Policy,
    ready::ReadySteps,
    server::{Server, ServerInfo},
    timing::Timing,
};

/// Leases and stops are looked at this often at most: well below their own times.
const LOOK_EVERY: Duration = Duration::from_millis(90);

/// Sizes, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs that are not over.
    pub open_jobs: usize,
    /// Backend servers that are known.
    pub servers: usize,
    /// Backend servers that have not been heard under this fence.
    pub unheard_servers: usize,
    /// Occurrences with changes that the store does not hold.
    pub unstored: usize,
}

/// The state of the active scheduler.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) fence: Fence,
    pub(crate) elected: Moment,
    pub(crate) timing: Timing,
    pub(crate) policy: Policy,
    pub(crate) jobs: BTreeMap<JobId, JobEntry>,
    pub(crate) servers: BTreeMap<BackendServerId, Server>,
    /// Jobs of which something runs or may run.
    pub(crate) open: BTreeSet<JobId>,
    /// Jobs that were cancelled before they came; the store holds a mark that keeps them from coming.
    pub(crate) cancelled_before: BTreeMap<JobId, Moment>,
    /// Occurrences that were touched since the last plan.
    pub(crate) changed: BTreeSet<OccurrenceId>,
    /// What could start.
    pub(crate) ready: BTreeMap<OccurrenceId, ReadySteps>,
    /// Backend servers with ends that wait to be stored.
    pub(crate) with_ends: BTreeSet<BackendServerId>,
    /// Something has happened that may let a group start.
    pub(crate) plan_wanted: bool,
    /// When leases and stops were last looked at.
    last_look: Moment,
    /// Occurrences whose progress the store does not hold as it is.
    pub(crate) dirty: BTreeSet<OccurrenceId>,
    /// Occurrences that may have starts to send since the store took their progress.
    pub(crate) unsent: BTreeSet<OccurrenceId>,
    pub(crate) orders: Vec<Order>,
    pub(crate) observations: Vec<Observation>,
    /// The clocks at the latest plan: this process's own, and the time of day.
    pub(crate) wall: (Moment, u64),
    pub(crate) deposed: bool,
}

impl Scheduler {
    /// A scheduler elected at `elected` with `fence`. It knows nothing yet.
    pub fn new(fence: Fence, elected: Moment, timing: Timing, policy: Policy) -> Scheduler {
        Scheduler {
            fence,
            elected,
            timing,
            policy,
            jobs: BTreeMap::new(),
            open: BTreeSet::new(),
            cancelled_before: BTreeMap::new(),
            changed: BTreeSet::new(),
            ready: BTreeMap::new(),
            with_ends: BTreeSet::new(),
            plan_wanted: false,
            last_look: elected,
            servers: BTreeMap::new(),
            dirty: BTreeSet::new(),
            unsent: BTreeSet::new(),
            orders: Vec::new(),
            observations: Vec::new(),
            wall: (elected, 0),
            deposed: false,
        }
    }

    /// The fencing token.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Whether a backend server obeys a later scheduler.
    pub fn deposed(&self) -> bool {
        self.deposed
    }

    /// The configuration has changed. Queues that it no longer names keep their last policy, for the jobs
    /// that they have taken.
    pub fn set_policy(&mut self, mut policy: Policy) {
        for (queue, old) in std::mem::take(&mut self.policy.queues) {
            policy.queues.entry(queue).or_insert(old);
        }
        self.policy = policy;
        self.plan_wanted = true;
    }

    /// Whether something has happened, since this was last asked, that may let a group start.
    pub fn take_plan_wanted(&mut self) -> bool {
        std::mem::take(&mut self.plan_wanted)
    }

    /// A job that the store holds. Told again, it changes nothing.
    pub fn add_job(&mut self, job: Job) {
        let id = job.id;
        if self.jobs.contains_key(&id) {
            return;
        }
        let entry = JobEntry::new(job);
        let occurrences = (0..entry.occurrences.len() as u32).map(|number| OccurrenceId { job: id, number });
        self.changed.extend(occurrences);
        self.jobs.insert(id, entry);
        self.open.insert(id);
        self.plan_wanted = true;
    }

    /// Progress that the store holds, read by a new scheduler after its jobs.
    pub fn restore(&mut self, id: OccurrenceId, progress: Progress, revision: Revision) {
        let Some(entry) = self.jobs.get_mut(&id.job) else { return };
        let job = Arc::clone(&entry.job);
        let Some(occurrence) = entry.occurrences.get_mut(id.number as usize) else { return };
        let shape = |p: &Progress| p.groups.iter().map(Vec::len).collect::<Vec<_>>();
        if shape(&progress) != shape(&occurrence.progress) {
            log::error!("job={} event=progress_unreadable occurrence={} why=other_shape", id.job, id.number);
            return;
        }
        occurrence.store_revision = revision;
        occurrence.stored_progress = progress.clone();
        occurrence.progress = progress;
        self.changed.insert(id);
        let over = |o: &crate::live::Occurrence| o.progress.failed || o.progress.done();
        if entry.occurrences.iter().all(over) {
            entry.ended.get_or_insert(self.elected);
        }
        self.restore_members(id, &job);
    }

    fn restore_members(&mut self, id: OccurrenceId, job: &Job) {
        let earlier = self.timing.earlier_leases_over(self.elected);
        let occurrence = &mut self.jobs.get_mut(&id.job).expect("it was just restored").occurrences[id.number as usize];
        for (s, step) in occurrence.progress.groups.iter().enumerate() {
            for (g, group) in step.iter().enumerate() {
                let name = GroupId { occurrence: id, step: s, group: g };
                let live = &mut occurrence.groups[s][g];
                live.placed_at = self.elected;
                for placed in &group.placed {
                    let server =
                        self.servers.entry(placed.server.clone()).or_insert_with(|| Server::new(None, earlier));
                    server.used.add(&job.steps[s].counted_need());
                    server.members.insert(name.task(placed.index), group.run);
                    live.members.push(Member {
                        index: placed.index,
                        server: placed.server.clone(),
                        phase: Phase::Restored,
                        settled: Some(self.elected),
                        stop_sent: None,
                        saved: None,
                        percent: 0,
                        advanced: self.elected,
                    });
                }
            }
        }
    }

    /// The caller does not want the job any more; the store holds that.
    pub fn cancel(&mut self, id: JobId, now: Moment) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            self.cancelled_before.entry(id).or_insert(now);
            return;
        };
        if std::mem::replace(&mut entry.cancelled, true) {
            return;
        }
        let over_before = entry.ended.replace(now).is_some();
        let occurrences = (0..entry.occurrences.len() as u32).map(|number| OccurrenceId { job: id, number });
        self.changed.extend(occurrences);
        self.plan_wanted = true;
        log::info!("job={id} event=cancelled fence={}", self.fence);
        for name in self.group_names(id) {
            self.stop_group(name, StopReason::Cancelled, now);
        }
        if !over_before {
            self.observe_end(id, JobState::Cancelled, now);
        }
    }

    /// What a caller may be told, and whose the job is.
    pub fn job(&self, id: JobId) -> Option<(JobState, Option<&CustomerId>, &QueueId)> {
        let entry = self.jobs.get(&id)?;
        Some((entry.state(), entry.job.customer.as_ref(), &entry.job.queue))
    }

    /// How many accepted jobs of a queue have not begun.
    pub fn waiting(&self, queue: &QueueId) -> usize {
        let waits = |entry: &&JobEntry| entry.job.queue == *queue && entry.state() == JobState::Queued;
        self.open.iter().map(|id| &self.jobs[id]).filter(waits).count()
    }

    /// The platform lists a backend server, or its account of itself has changed.
    pub fn server_listed(&mut self, id: BackendServerId, info: ServerInfo, now: Moment) {
        let earlier = self.timing.earlier_leases_over(self.elected);
        let draining = info.draining;
        let server = self.servers.entry(id.clone()).or_insert_with(|| Server::new(None, earlier));
        let was_draining = server.info.as_ref().is_some_and(|old| old.draining);
        server.info = Some(info);
        server.listed = true;
        self.plan_wanted = true;
        if draining && !was_draining {
            log::info!("server={id} event=draining fence={}", self.fence);
            self.evacuate(&id, now);
        }
    }

    /// The platform no longer lists a backend server. It may run on: its runs are over only when its leases are.
    pub fn server_unlisted(&mut self, id: &BackendServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.listed = false;
        }
    }

    /// A backend server's life is over: another life answers in its place.
    pub fn server_gone(&mut self, id: &BackendServerId, now: Moment) {
        let Some(server) = self.servers.get(id) else { return };
        log::info!("server={id} event=gone runs={}", server.members.len());
        self.lapse_members(id, "server_gone", now);
        self.servers.remove(id);
    }

    /// A renewal is about to be sent; from here on its lease counts, whatever comes of the call.
    pub fn lease_sent(&mut self, id: &BackendServerId, now: Moment) {
        let over = self.timing.lease_over(now);
        if let Some(server) = self.servers.get_mut(id) {
            server.lease_over = server.lease_over.max(over);
        }
    }

    /// A backend server left a call without an answer.
    pub fn unanswered(&mut self, id: &BackendServerId) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.unanswered += 1;
        if server.unanswered == 1 {
            log::warn!("server={id} event=unreachable lease_over_at={}", server.lease_over.millis());
        }
    }

    /// Whether a backend server is listed, or may still run something.
    pub fn knows(&self, id: &BackendServerId) -> bool {
        self.servers.contains_key(id)
    }

    /// Highest end that may be acknowledged to a backend server.
    pub fn acknowledged(&self, id: &BackendServerId) -> u64 {
        self.servers.get(id).map_or(0, |server| server.acknowledged)
    }

    /// Whether ends of a backend server wait to be stored.
    pub fn has_pending_ends(&self, id: &BackendServerId) -> bool {
        self.servers.get(id).is_some_and(|server| !server.pending_ends.is_empty())
    }

    /// Whether anything runs, or may run, on a backend server.
    pub fn is_busy(&self, id: &BackendServerId) -> bool {
        self.servers.get(id).is_some_and(|server| !server.members.is_empty() || !server.strays.is_empty())
    }

    /// Sizes, for metrics.
    pub fn counts(&self) -> Counts {
        Counts {
            open_jobs: self.open.len(),
            servers: self.servers.len(),
            unheard_servers: self.servers.values().filter(|server| !server.stocked).count(),
            unstored: self.dirty.len(),
        }
    }

    /// Orders to be sent now.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// Time has passed: lapses what no lease can keep, and repeats stops.
    pub fn tick(&mut self, now: Moment) {
        if now.since(self.last_look) < LOOK_EVERY {
            return;
        }
        self.last_look = now;
        let over: Vec<BackendServerId> = self
            .servers
            .iter()
            .filter(|(_, server)| (server.unanswered > 0 || !server.stocked) && now >= server.lease_over)
            .map(|(id, _)| id.clone())
            .collect();
        for id in over {
            self.lapse_members(&id, "lease_over", now);
            if self.servers.get(&id).is_some_and(|server| !server.listed) {
                log::info!("server={id} event=forgotten why=lease_over");
                self.servers.remove(&id);
            }
        }
        self.repeat_stops(now);
    }

    /// A start was answered, or not.
    pub fn start_replied(
        &mut self,
        server: &BackendServerId,
        task: TaskId,
        run: jobs::RunNumber,
        reply: StartReply,
        now: Moment,
    ) {
        if reply == StartReply::Fenced {
            self.deposed = true;
        }
        if reply == StartReply::Gone {
            self.server_gone(server, now);
            return;
        }
        let Some(name) = self.group_of(task) else { return };
        if self.progress_of(name).run != run {
            return;
        }
        let Some(member) = self.member_mut(name, task.index, server) else { return };
        match reply {
            StartReply::Started => {
                member.phase = Phase::Running;
                member.settled = Some(now);
                member.advanced = now;
            }
            StartReply::Unknown => self.start_unanswered(name, task.index, server, now),
            _ => self.start_refused(name, task, server, reply, now),
        }
    }

    fn start_refused(&mut self, name: GroupId, task: TaskId, server: &BackendServerId, reply: StartReply, now: Moment) {
        log::info!("job={} event=start_refused task={task} server={server} why={reply:?}", task.occurrence.job);
        if let Some(server) = self.servers.get_mut(server) {
            server.not_before = now + self.timing.refused_pause;
        }
        self.remove_member(name, task.index, None, now);
        self.stop_group(name, StopReason::GangBroken, now);
    }

    fn start_unanswered(&mut self, name: GroupId, index: u32, server: &BackendServerId, now: Moment) {
        let most = self.timing.start_tries;
        let stopping = self.group(name).stopping.is_some();
        let Some(member) = self.member_mut(name, index, server) else { return };
        let Phase::Sent { tries } = member.phase else { return };
        if stopping {
            return;
        }
        if tries < most {
            member.phase = Phase::Sent { tries: tries + 1 };
            let order = self.start_order(name, index, server);
            self.orders.push(order);
            return;
        }
        log::info!("job={} event=start_given_up task={} server={server}", name.occurrence.job, name.task(index));
        self.stop_group(name, StopReason::GangBroken, now);
    }

    /// A stop was answered: the run ends, or never begins.
    pub fn stop_replied(&mut self, server: &BackendServerId, task: TaskId, run: jobs::RunNumber, now: Moment) {
        let Some(name) = self.group_of(task) else { return };
        if self.progress_of(name).run != run {
            return;
        }
        if let Some(member) = self.member_mut(name, task.index, server) {
            member.settled = Some(now);
            member.stop_sent = None;
        }
    }

    pub(crate) fn start_order(&self, name: GroupId, index: u32, server: &BackendServerId) -> Order {
        let progress = self.progress_of(name);
        Order::Start {
            server: server.clone(),
            task: name.task(index),
            run: progress.run,
            text: Arc::clone(&self.jobs[&name.occurrence.job].job.text),
            saved: progress.saved.clone(),
        }
    }

    /// Sends the starts whose places the store holds.
    pub(crate) fn send_stored_starts(&mut self) {
        for id in std::mem::take(&mut self.unsent) {
            let Some(entry) = self.jobs.get_mut(&id.job) else { continue };
            let Some(occurrence) = entry.occurrences.get_mut(id.number as usize) else { continue };
            let stored = occurrence.stored_version;
            let mut sent = Vec::new();
            for (s, groups) in occurrence.groups.iter_mut().enumerate() {
                for (g, group) in groups.iter_mut().enumerate() {
                    if group.placed_version > stored {
                        continue;
                    }
                    for member in group.members.iter_mut().filter(|member| member.phase == Phase::Planned) {
                        member.phase = Phase::Sent { tries: 1 };
                        let name = GroupId { occurrence: id, step: s, group: g };
                        sent.push((name, member.index, member.server.clone()));
                    }
                }
            }
            for (name, index, server) in sent {
                let order = self.start_order(name, index, &server);
                self.orders.push(order);
            }
        }
    }
}
