//! Crashes of backend servers, charged to the tasks that ran there, and tasks that are abandoned because of them.
//!
//! A crashed backend server does not list completions of its runs. The scheduler detects a crash when another
//! incarnation responds at the same address although no departure was announced. The crash is charged to each task
//! that ran there and stored with the task's progress before the task can be placed again, so that it counts for
//! every scheduler. A run that is cut off from the scheduler, or whose lease expires, is not charged: its fate is
//! unknown.
//!
//! Most tasks on a crashed backend server did not cause the crash. The task that does cause crashes can be told apart
//! because it never survives its start.

use std::{collections::BTreeMap, sync::Arc};

use jobs::{Crash, GroupProgress, RunNumber, Start, TaskId};
use model::{BackendServerId, Duration, Incarnation, Moment};

use crate::{
    Scheduler,
    candidate::Candidate,
    headroom::STALL_LIMIT,
    observations::Observation,
    run_state::{Group, GroupId, IsolatedRetry, Member, Phase},
    server::ServerAddress,
};

/// A run that its backend server still lists this long after the start has survived its start. Tasks that crash their
/// backend server were observed on the platform to do so 10 ms after they start.
const START_SURVIVED_AFTER: Duration = Duration::from_secs(2);
/// An isolated retry that is still listed this long after the start is stable. A quarter of [`START_SURVIVED_AFTER`],
/// and many times what it takes such tasks to crash their backend server.
const RETRY_STABLE_AFTER: Duration = Duration::from_millis(500);
/// Crashes during the start after which a task is abandoned. The platform rules allow this after two crashes, and
/// forbid three further starts after three. Three, since two backend servers occasionally fail by chance under a task
/// of some hours when 14,000 tasks run; two starts remain for crashes that the scheduler could not detect.
const MAX_EARLY_CRASHES: usize = 3;
/// How many of those crashes must have hit a run that is known to have started (platform rules: two). A start without
/// a response, or one placed by an earlier scheduler, may never have reached the backend server, and a job must not
/// be abandoned for crashes that did not hit its runs.
const MIN_CONFIRMED_CRASHES: usize = 2;
/// Crashes in total, whether or not the task had survived its start, after which its starts are limited (platform
/// rules).
const CRASHES_BEFORE_LIMIT: usize = 3;
/// Starts of a task after that many crashes (platform rules). Once they have crashed or failed, the task is abandoned.
const MAX_STARTS_AFTER_CRASHES: usize = 2;
/// Starts of a task that are stored: those that may use up the limit, and the one at work.
const STORED_STARTS: usize = MAX_STARTS_AFTER_CRASHES + 1;

/// Time within which a crashed backend server responds again on the platform.
const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// How long runs are remembered whose leases expired. A crashed backend server recovers within seconds (platform
/// protocol) or has been replaced.
const LAPSED_RETENTION: Duration = Duration::from_secs(120);

/// Runs that were lost when their leases expired. Whether their backend servers crashed is known only if another
/// incarnation responds at their address; on some deployments that takes longer than a lease of 6 s.
#[derive(Debug, Default)]
pub(crate) struct LapsedLeases {
    by_server: BTreeMap<BackendServerId, LapsedRuns>,
}

/// Runs that were lost with the leases of one incarnation of a backend server.
#[derive(Debug)]
struct LapsedRuns {
    since: Moment,
    incarnation: Option<Incarnation>,
    runs: Vec<(GroupId, Crash)>,
}

impl LapsedLeases {
    pub(crate) fn remove_expired(&mut self, now: Moment) {
        self.by_server.retain(|_, lapsed| now.since(lapsed.since) < LAPSED_RETENTION);
    }

    /// Removes and returns the runs recorded for a backend server.
    pub(crate) fn remove(&mut self, id: &BackendServerId) -> Vec<(GroupId, Crash)> {
        self.by_server.remove(id).map_or_else(Vec::new, |lapsed| lapsed.runs)
    }
}

/// Returns whether a group is suspected: a backend server crashed during its start. Its runs are then isolated
/// retries until one survives its start, so that another crash affects nothing else and tasks that ran beside it by
/// chance are soon cleared.
pub(crate) fn is_suspected(progress: &GroupProgress) -> bool {
    progress.crashes.iter().any(|crash| crash.early)
}

/// Returns whether one more crash during the start may abandon a group. Its run shares a backend server neither with
/// another isolated retry nor with a stalled job.
pub(crate) fn is_last_attempt(progress: &GroupProgress) -> bool {
    progress.crashes.iter().filter(|crash| crash.early).count() + 1 >= MAX_EARLY_CRASHES
}

/// Returns whether a backend server at this address has crashed under a group, so that the machine may be faulty.
pub(crate) fn has_crashed_at(progress: &GroupProgress, address: &ServerAddress) -> bool {
    progress.crashes.iter().any(|crash| *crash.address == *address.as_str())
}

impl Group {
    /// Returns whether its run is known to have survived its start. `last_response` is the time of the latest
    /// response from one of its backend servers.
    pub(crate) fn survived_start(&self, last_response: Option<Moment>) -> bool {
        self.known_run_time(last_response) >= Some(START_SURVIVED_AFTER)
    }

    fn known_run_time(&self, last_response: Option<Moment>) -> Option<Duration> {
        self.members.iter().map(|member| member.known_run_time(last_response)).min().flatten()
    }
}

impl Scheduler {
    /// Charges a crash of a backend server to all runs there.
    pub(crate) fn charge_crash(&mut self, id: &BackendServerId, now: Moment) {
        self.charge_crash_if(id, |_| true, now);
    }

    /// Charges a crash of a backend server to some of the runs there.
    pub(crate) fn charge_crash_if(&mut self, id: &BackendServerId, which: impl Fn(&Member) -> bool, now: Moment) {
        for (name, crash) in self.crashes_to_charge(id, which) {
            self.charge(name, crash, id, now);
        }
    }

    /// Records the runs of a backend server whose leases have expired while it is unknown whether it crashed.
    pub(crate) fn record_lapsed(&mut self, id: &BackendServerId, now: Moment) {
        let runs = self.crashes_to_charge(id, |_| true);
        let Some(server) = self.servers.get(id) else { return };
        if !runs.is_empty() && !server.has_announced_departure() {
            let lapsed = LapsedRuns { since: now, incarnation: server.incarnation, runs };
            self.lapsed.by_server.insert(id.clone(), lapsed);
        }
    }

    /// Charges a crash to the recorded runs of a backend server, since another incarnation responds at its address.
    pub(crate) fn charge_lapsed(&mut self, id: &BackendServerId, now: Moment) {
        for (name, crash) in self.lapsed.remove(id) {
            if self.jobs.contains_key(&name.occurrence.job) {
                self.charge(name, crash, id, now);
            }
        }
    }

    /// Resolves the recorded runs of a backend server that responds again: another incarnation means that it crashed.
    pub(crate) fn resolve_lapsed(&mut self, id: &BackendServerId, incarnation: Incarnation, now: Moment) {
        let Some(lapsed) = self.lapsed.by_server.get(id) else { return };
        if lapsed.incarnation.is_some_and(|earlier| earlier != incarnation) {
            self.charge_lapsed(id, now);
        } else {
            self.lapsed.remove(id);
        }
    }

    /// Returns the crashes that would be charged if a backend server crashed now: one for each run that may have
    /// started there.
    fn crashes_to_charge(&self, id: &BackendServerId, which: impl Fn(&Member) -> bool) -> Vec<(GroupId, Crash)> {
        let Some(server) = self.servers.get(id) else { return Vec::new() };
        let charged = |(task, run): (&TaskId, &RunNumber)| {
            let name = self.group_of(*task)?;
            let group = self.group(name);
            let is_charged = |member: &&Member| member.index == task.index && member.server == *id && which(member);
            let member = group.members.iter().find(is_charged)?;
            let early = !group.survived_start(server.contact.last_response);
            let address = server.info.as_ref().map_or_else(|| Arc::from(""), |info| Arc::from(info.address.as_str()));
            let is_recorded = |start: &Start| start.index == task.index && start.run == *run;
            let started = member.phase == Phase::Running || self.progress_of(name).starts.iter().any(is_recorded);
            let crash = Crash { index: task.index, run: *run, started, early, address };
            (member.phase != Phase::Planned).then_some((name, crash))
        };
        server.members.iter().filter_map(charged).collect()
    }

    fn charge(&mut self, name: GroupId, crash: Crash, id: &BackendServerId, now: Moment) {
        let Crash { index, run, early, .. } = crash;
        let job = name.occurrence.job;
        let is_recorded = |other: &Crash| other.index == index && other.run == run;
        let progress = self.progress_of(name);
        let is_over = progress.done || self.occurrence(name.occurrence).is_finished() || self.jobs[&job].cancelled;
        if is_over || progress.crashes.iter().any(is_recorded) {
            return;
        }
        let task = name.task(index);
        log::warn!("job={job} event=crashed_under task={task} run={run} server={id} early={early}");
        self.observations.push(Observation::CrashedUnderTask { early });
        if !early && self.step(name).long_running {
            // It was serving, so it does not crash its backend server on start; over months, unrelated crashes would
            // add up.
            self.update_progress(name, |progress| {
                progress.crashes.retain(|crash| crash.index != index);
                progress.starts.retain(|start| start.index != index);
            });
            return;
        }
        self.update_progress(name, |progress| progress.crashes.push(crash));
        if self.has_reached_crash_limit(name, index) {
            self.fail_occurrence(name, "crashes", now);
        }
    }

    /// Returns whether a suspected group has to wait for another one of its job. Before the last attempt, only one
    /// isolated retry of a job runs at a time, since the job fails if it crashes its backend server. The first retry
    /// after a crash does not wait, since most suspected tasks did not cause the crash.
    pub(crate) fn awaits_isolated_retry(&self, name: GroupId, now: Moment) -> bool {
        let is_undecided = |member: &Member| self.may_reveal_crash(&member.server, now);
        let has_isolated_retry = |other: &GroupId| {
            let group = self.group(*other);
            group.isolated_retry.is_some() && group.members.iter().any(is_undecided)
        };
        is_last_attempt(self.progress_of(name)) && self.group_ids(name.occurrence.job).iter().any(has_isolated_retry)
    }

    /// Returns whether a backend server responds, or has been unresponsive for so short a time that it may have
    /// crashed and its next incarnation has not responded yet.
    fn may_reveal_crash(&self, id: &BackendServerId, now: Moment) -> bool {
        let Some(server) = self.servers.get(id) else { return false };
        let unresponsive_for = || now.since(server.contact.failing_since.unwrap_or(self.elected));
        server.is_reachable() || unresponsive_for() < RECOVERY_TIME
    }

    /// Returns whether a suspected group waits for an empty backend server before its last attempt: after two crashes
    /// the next run is likely to crash the tasks beside it too.
    pub(crate) fn awaits_empty_server(&self, candidate: &Candidate, now: Moment) -> bool {
        let name = candidate.group(candidate.groups[0]);
        let waited = self.group(name).ready_since.map_or(Duration::ZERO, |since| now.since(since));
        candidate.suspected && is_last_attempt(self.progress_of(name)) && waited < STALL_LIMIT
    }

    /// Starts the isolated retry of a suspected group whose run was placed, or was found by a new scheduler.
    pub(crate) fn begin_isolated_retry(&mut self, name: GroupId) {
        let isolated_retry = is_suspected(self.progress_of(name)).then_some(IsolatedRetry::Started);
        self.group_mut(name).isolated_retry = isolated_retry;
        if isolated_retry.is_some() {
            for id in self.servers_of(name) {
                self.isolated_retries.insert(id, IsolatedRetry::Started);
            }
        }
    }

    /// Ends or advances the isolated retries on a backend server that has responded.
    pub(crate) fn update_isolated_retries(&mut self, id: &BackendServerId) {
        if !self.isolated_retries.contains_key(id) {
            return;
        }
        let last_response = self.servers.get(id).and_then(|server| server.contact.last_response);
        for name in self.groups_on(id) {
            let group = self.group(name);
            let Some(isolated_retry) = group.isolated_retry else { continue };
            let is_stable = group.known_run_time(last_response) >= Some(RETRY_STABLE_AFTER)
                && !is_last_attempt(self.progress_of(name));
            let now = match isolated_retry {
                _ if group.survived_start(last_response) => None,
                IsolatedRetry::Started if is_stable => Some(IsolatedRetry::Stable),
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

    /// Recomputes the isolated retry that restricts a backend server, so that it takes other work again where
    /// possible.
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

    /// Returns the least advanced isolated retry on a backend server.
    pub(crate) fn isolated_retry_on(&self, id: &BackendServerId) -> Option<IsolatedRetry> {
        self.groups_on(id).into_iter().filter_map(|name| self.group(name).isolated_retry).min()
    }

    /// Records the start of a task under which a backend server has crashed. It is stored, so that a scheduler that is
    /// elected before the next crash is detected knows that the run had started.
    pub(crate) fn record_start(&mut self, name: GroupId, index: u32, run: RunNumber) {
        let progress = self.progress_of(name);
        let start = Start { index, run };
        if !progress.crashes.iter().any(|crash| crash.index == index) || progress.starts.contains(&start) {
            return;
        }
        self.update_progress(name, |progress| {
            progress.starts.push(start);
            let mut excess = progress.starts.iter().filter(|start| start.index == index).count();
            progress.starts.retain(|start| {
                let is_excess = start.index == index && excess > STORED_STARTS;
                excess -= usize::from(is_excess);
                !is_excess
            });
        });
    }

    /// Handles the end of a run that has neither succeeded nor failed: after three crashes it has used up a start,
    /// since its backend server may have crashed undetected.
    pub(crate) fn abandon_if_starts_used_up(&mut self, name: GroupId, index: u32, now: Moment) {
        let is_over = self.progress_of(name).done
            || self.occurrence(name.occurrence).is_finished()
            || self.jobs[&name.occurrence.job].cancelled;
        if !is_over && self.has_reached_crash_limit(name, index) {
            self.fail_occurrence(name, "crashes", now);
        }
    }

    /// Whether a task is abandoned because of crashes.
    fn has_reached_crash_limit(&self, name: GroupId, index: u32) -> bool {
        let progress = self.progress_of(name);
        let crashes = || progress.crashes.iter().filter(|crash| crash.index == index);
        let early = crashes().filter(|crash| crash.early).count();
        let early_confirmed = crashes().filter(|crash| crash.early && crash.started).count();
        if early >= MAX_EARLY_CRASHES && early_confirmed >= MIN_CONFIRMED_CRASHES {
            return true;
        }
        let mut crashed_runs: Vec<RunNumber> = crashes().map(|crash| crash.run).collect();
        crashed_runs.sort_unstable();
        let Some(limiting) = crashed_runs.get(CRASHES_BEFORE_LIMIT - 1) else { return false };
        let mut used = crashed_runs.clone();
        used.extend(&progress.failed_runs);
        // Starts that ended otherwise count only where crashes are certain: a job must not be abandoned because its
        // runs were stopped or cut off.
        if crashes().filter(|crash| crash.started).count() >= MIN_CONFIRMED_CRASHES {
            let is_at_work = |run| run == progress.run && self.group(name).members.iter().any(|m| m.index == index);
            let ended = |start: &&Start| start.index == index && !is_at_work(start.run);
            used.extend(progress.starts.iter().filter(ended).map(|start| start.run));
        }
        used.retain(|run| run > limiting);
        used.sort_unstable();
        used.dedup();
        used.len() >= MAX_STARTS_AFTER_CRASHES
    }

    /// Whether a task of a group is abandoned because of crashes.
    pub(crate) fn has_crashed_too_often(&self, name: GroupId) -> bool {
        let mut indices = self.progress_of(name).crashes.iter().map(|crash| crash.index);
        indices.any(|index| self.has_reached_crash_limit(name, index))
    }
}
