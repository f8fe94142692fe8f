//! Backend servers that crash under tasks, and tasks that are given up for it.
//!
//! A backend server that crashes lists no end of what it ran: that it has crashed is known once another life answers at its
//! address and it had not said that it leaves. The crash is charged to each task that it ran, and stored with the task's progress before
//! the task can be placed again, so that it counts whoever schedules. A run that is cut off, or whose lease is over, costs nothing:
//! nobody knows what became of it.
//!
//! Most tasks that lie on a crashed backend server have nothing to do with it. What tells them from the one that has: a task that crashes
//! whatever starts it never outlives its start.

use std::{collections::BTreeMap, sync::Arc};

use jobs::{Crash, GroupProgress, RunNumber, TaskId};
use model::{BackendServerId, Duration, Incarnation, Moment};

use crate::{
    Scheduler,
    candidate::Candidate,
    headroom::STALL_LIMIT,
    observations::Observation,
    run_state::{Group, GroupId, IsolatedRetry, Member, Phase},
    server::ServerAddress,
};

/// A run that its backend server still lists this long after its start has outlived it. Seen on the users' platform: such
/// tasks take their backend server down 10 ms after they begin.
const OUTLIVES: Duration = Duration::from_secs(2);
/// A run on trial that is still listed this long after its start goes well: a quarter of the time, and many times what such tasks take.
const GOES_WELL: Duration = Duration::from_millis(500);
/// So many crashes under one task that has not outlived its start, and the task is given up (users' rules: it may be
/// after two, and it must not start three times more after three). Three, since two backend servers fail by chance
/// under a task of some hours now and then, at 14,000 tasks: two starts are left for crashes that nobody could learn
/// of.
const EARLY_CRASHES: usize = 3;
/// So many of them must have struck a run that is known to have begun. A start that got no answer, or that an earlier
/// scheduler placed, may never have reached the backend server, and a job must not be given up by crashes that struck
/// nothing of it (users' rules: two).
const KNOWN_TO_HAVE_BEGUN: usize = 2;
/// The same for all crashes under a task that ends by itself, whatever it had outlived: the last start that the rule
/// allows has been used up by then.
const CRASHES: usize = 5;

/// A crashed backend server of the users answers again within this.
const BACK_WITHIN: Duration = Duration::from_secs(4);

/// How long it is remembered what ran where a lease was over. A crashed backend server is back after some seconds (users'
/// protocol page), or has been replaced.
const REMEMBERED: Duration = Duration::from_secs(120);

/// Runs that were lost with their lease. Whether their backend servers had crashed is known only if another life answers in their
/// place: on some deployments that takes longer than a lease of 6 s.
#[derive(Debug, Default)]
pub(crate) struct LapsedLeases {
    by_server: BTreeMap<BackendServerId, LapsedRuns>,
}

/// What was lost with the leases of one life of a backend server.
#[derive(Debug)]
struct LapsedRuns {
    since: Moment,
    incarnation: Option<Incarnation>,
    runs: Vec<(GroupId, Crash)>,
}

impl LapsedLeases {
    pub(crate) fn remove_expired(&mut self, now: Moment) {
        self.by_server.retain(|_, lapsed| now.since(lapsed.since) < REMEMBERED);
    }

    /// The backend server is there after all, or another life is in its place: what it is remembered for.
    pub(crate) fn remove(&mut self, id: &BackendServerId) -> Vec<(GroupId, Crash)> {
        self.by_server.remove(id).map_or_else(Vec::new, |lapsed| lapsed.runs)
    }
}

/// Whether a backend server has crashed under a group as it began. It then runs by itself until it has outlived its start: the next
/// crash strikes nothing else, and what lay beside it by chance is soon known to be innocent.
pub(crate) fn is_suspect(progress: &GroupProgress) -> bool {
    progress.crashes.iter().any(|crash| crash.early)
}

/// Whether one more crash as it begins may give a group up. Its run shares a backend server with nothing else that is
/// on trial, and with nothing that stands.
pub(crate) fn is_last_attempt(progress: &GroupProgress) -> bool {
    progress.crashes.iter().filter(|crash| crash.early).count() + 1 >= EARLY_CRASHES
}

/// Whether a backend server has crashed under a group at a place: the machine may be at fault.
pub(crate) fn has_crashed_at(progress: &GroupProgress, address: &ServerAddress) -> bool {
    progress.crashes.iter().any(|crash| *crash.address == *address.as_str())
}

impl Group {
    /// Whether its run is known to have outlived its start on backend servers of which one was last heard at `heard`.
    pub(crate) fn survived_start(&self, heard: Option<Moment>) -> bool {
        self.known_run_time(heard) >= Some(OUTLIVES)
    }

    fn known_run_time(&self, heard: Option<Moment>) -> Option<Duration> {
        self.members.iter().map(|member| member.known_run_time(heard)).min().flatten()
    }
}

impl Scheduler {
    /// A backend server has crashed: what it ran is charged with it.
    pub(crate) fn charge_crash(&mut self, id: &BackendServerId, now: Moment) {
        self.charge_crash_if(id, |_| true, now);
    }

    /// The same for some of what it ran.
    pub(crate) fn charge_crash_if(&mut self, id: &BackendServerId, which: impl Fn(&Member) -> bool, now: Moment) {
        for (name, crash) in self.under_crash(id, which) {
            self.charge(name, crash, id, now);
        }
    }

    /// The leases of a backend server are over, and nothing tells whether it has crashed.
    pub(crate) fn record_lapsed(&mut self, id: &BackendServerId, now: Moment) {
        let runs = self.under_crash(id, |_| true);
        let Some(server) = self.servers.get(id) else { return };
        if !runs.is_empty() && !server.has_announced_departure() {
            let lapsed = LapsedRuns { since: now, incarnation: server.incarnation, runs };
            self.lapsed.by_server.insert(id.clone(), lapsed);
        }
    }

    /// Another life answers in place of a backend server whose leases were over: it had crashed.
    pub(crate) fn charge_lapsed(&mut self, id: &BackendServerId, now: Moment) {
        for (name, crash) in self.lapsed.remove(id) {
            if self.jobs.contains_key(&name.occurrence.job) {
                self.charge(name, crash, id, now);
            }
        }
    }

    /// A backend server answers again after its leases were over: if in another life, it had crashed.
    pub(crate) fn resolve_lapsed(&mut self, id: &BackendServerId, incarnation: Incarnation, now: Moment) {
        let Some(lapsed) = self.lapsed.by_server.get(id) else { return };
        if lapsed.incarnation.is_some_and(|earlier| earlier != incarnation) {
            self.charge_lapsed(id, now);
        } else {
            self.lapsed.remove(id);
        }
    }

    /// What a crash of a backend server now would be charged to: each run that may have begun there.
    fn under_crash(&self, id: &BackendServerId, which: impl Fn(&Member) -> bool) -> Vec<(GroupId, Crash)> {
        let Some(server) = self.servers.get(id) else { return Vec::new() };
        let charged = |(task, run): (&TaskId, &RunNumber)| {
            let name = self.group_of(*task)?;
            let group = self.group(name);
            let here = |member: &&Member| member.index == task.index && member.server == *id && which(member);
            let member = group.members.iter().find(here)?;
            let early = !group.survived_start(server.contact.last_response);
            let address = server.info.as_ref().map_or_else(|| Arc::from(""), |info| Arc::from(info.address.as_str()));
            let started = member.phase == Phase::Running;
            let crash = Crash { index: task.index, run: *run, started, early, address };
            (member.phase != Phase::Planned).then_some((name, crash))
        };
        server.members.iter().filter_map(charged).collect()
    }

    fn charge(&mut self, name: GroupId, crash: Crash, id: &BackendServerId, now: Moment) {
        let Crash { index, run, early, .. } = crash;
        let job = name.occurrence.job;
        let known = |other: &Crash| other.index == index && other.run == run;
        let progress = self.progress_of(name);
        let over = progress.done || self.occurrence(name.occurrence).is_finished() || self.jobs[&job].cancelled;
        if over || progress.crashes.iter().any(known) {
            return;
        }
        let task = name.task(index);
        log::warn!("job={job} event=crashed_under task={task} run={run} server={id} early={early}");
        self.observations.push(Observation::CrashedUnderTask { early });
        if !early && self.step(name).long_running {
            // It was at work: it does not crash what starts it, and over months chance crashes add up.
            self.update_progress(name, |progress| progress.crashes.retain(|crash| crash.index != index));
            return;
        }
        self.update_progress(name, |progress| progress.crashes.push(crash));
        if self.has_crashed_enough(name, index) {
            self.fail_occurrence(name, "crashes", now);
        }
    }

    /// Whether a suspect has to wait for another of its job. Before its last try only one at a time is on trial: if it crashes its
    /// backend server, the job has failed. The first try after a crash is not held up, since most suspects are bystanders.
    pub(crate) fn awaits_isolated_retry(&self, name: GroupId, now: Moment) -> bool {
        let goes_on = |member: &Member| self.may_tell_of_crash(&member.server, now);
        let has_isolated_retry = |other: &GroupId| {
            let group = self.group(*other);
            group.isolated_retry.is_some() && group.members.iter().any(goes_on)
        };
        is_last_attempt(self.progress_of(name)) && self.group_ids(name.occurrence.job).iter().any(has_isolated_retry)
    }

    /// Whether a backend server answers, or is silent for so short that it may have crashed and its next life is not there yet.
    fn may_tell_of_crash(&self, id: &BackendServerId, now: Moment) -> bool {
        let Some(server) = self.servers.get(id) else { return false };
        let silent = || now.since(server.contact.failing_since.unwrap_or(self.elected));
        server.is_reachable() || silent() < BACK_WITHIN
    }

    /// Whether a suspect waits for an empty backend server before its last try: after two crashes it is likely that
    /// the next one takes along what runs there.
    pub(crate) fn awaits_empty_server(&self, candidate: &Candidate, now: Moment) -> bool {
        let name = candidate.group(candidate.groups[0]);
        let waited = self.group(name).ready_since.map_or(Duration::ZERO, |since| now.since(since));
        candidate.suspect && is_last_attempt(self.progress_of(name)) && waited < STALL_LIMIT
    }

    /// A run of a group is placed, or is found by a new scheduler: that of a suspect is on trial.
    pub(crate) fn begin_isolated_retry(&mut self, name: GroupId) {
        let isolated_retry = is_suspect(self.progress_of(name)).then_some(IsolatedRetry::Started);
        self.group_mut(name).isolated_retry = isolated_retry;
        if isolated_retry.is_some() {
            for id in self.servers_of(name) {
                self.isolated_retries.insert(id, IsolatedRetry::Started);
            }
        }
    }

    /// A backend server was heard: trials there of what has outlived its start end, and others have come further.
    pub(crate) fn update_isolated_retries(&mut self, id: &BackendServerId) {
        if !self.isolated_retries.contains_key(id) {
            return;
        }
        let heard = self.servers.get(id).and_then(|server| server.contact.last_response);
        for name in self.groups_on(id) {
            let group = self.group(name);
            let Some(isolated_retry) = group.isolated_retry else { continue };
            let goes_well = group.known_run_time(heard) >= Some(GOES_WELL) && !is_last_attempt(self.progress_of(name));
            let now = match isolated_retry {
                _ if group.survived_start(heard) => None,
                IsolatedRetry::Started if goes_well => Some(IsolatedRetry::Stable),
                isolated_retry => Some(isolated_retry),
            };
            if now != Some(isolated_retry) {
                self.group_mut(name).isolated_retry = now;
                self.servers_of(name).iter().for_each(|id| self.refresh_isolated_retry(id));
            }
        }
    }

    fn servers_of(&self, name: GroupId) -> Vec<BackendServerId> {
        self.group(name).members.iter().map(|member| member.server.clone()).collect()
    }

    /// Lets other work onto a backend server again as far as the trials allow it that are left there.
    pub(crate) fn refresh_isolated_retry(&mut self, id: &BackendServerId) {
        let Some(before) = self.isolated_retries.get(id).copied() else { return };
        let now = self.isolated_retry_on(id);
        if now == Some(before) {
            return;
        }
        match now {
            Some(isolated_retry) => self.isolated_retries.insert(id.clone(), isolated_retry),
            None => self.isolated_retries.remove(id),
        };
        self.mark_stale(id);
        self.plan_requested = true;
    }

    /// The trial on a backend server that has come least far.
    pub(crate) fn isolated_retry_on(&self, id: &BackendServerId) -> Option<IsolatedRetry> {
        self.groups_on(id).into_iter().filter_map(|name| self.group(name).isolated_retry).min()
    }

    fn has_crashed_enough(&self, name: GroupId, index: u32) -> bool {
        let crashes = self.progress_of(name).crashes.iter().filter(|crash| crash.index == index);
        let (early, late): (Vec<&Crash>, Vec<&Crash>) = crashes.partition(|crash| crash.early);
        let started = early.iter().filter(|crash| crash.started).count();
        early.len() >= EARLY_CRASHES && started >= KNOWN_TO_HAVE_BEGUN || early.len() + late.len() >= CRASHES
    }
}
