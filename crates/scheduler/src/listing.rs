//! Listings of backend servers: confirms runs, stops orphaned ones and detects lost ones.

use std::collections::BTreeMap;

use jobs::{RunNumber, TaskId};
use model::{BackendServerId, Moment};

use crate::{
    Scheduler,
    completions::{Listing, RunningTask, Unreadable},
    departures::ServerClock,
    observations::Observation,
    orders::Order,
    run_state::{Member, Phase, StopReason},
    server::OrphanedRun,
};

impl Scheduler {
    /// Processes the listing of a backend server, returned by a call sent at `sent`.
    ///
    /// Listings of one backend server must be passed in the order in which their calls were sent.
    pub fn listing(&mut self, id: &BackendServerId, listing: &Listing, sent: Moment, now: Moment) {
        if !self.servers.contains_key(id) {
            return;
        }
        match listing.incarnation {
            Some(incarnation) => self.observe_incarnation(id, incarnation, now),
            None => drop(self.lapsed.remove(id)),
        }
        let Some(server) = self.servers.get(id) else { return };
        if !server.is_reachable() {
            self.mark_stale(id);
            self.mark_changed_on(id);
        }
        let Some(server) = self.servers.get_mut(id) else { return };
        if server.failed_calls > 0 {
            log::info!("server={id} event=reachable_again after_calls={}", server.failed_calls);
            self.plan_requested = true;
        }
        if !server.has_reported {
            self.plan_requested = true;
            // From here on it refuses earlier schedulers, which can have renewed its lease up to now.
            server.has_reported = true;
            server.lease_expiry = self.timing.lease_expiry(now);
        }
        self.unreachable.remove_pending(id);
        server.failed_calls = 0;
        server.contact.first_response.get_or_insert(now);
        server.contact.last_response = Some(now);
        server.answered_call_sent = server.answered_call_sent.max(Some(sent));
        server.clock = listing.clock_ms.map(|clock_ms| ServerClock { clock_ms, read_after: sent }).or(server.clock);
        server.contact.failing_since = None;
        server.contact.refused = false;
        self.record_witness_answer(id, listing.incarnation, sent, now);
        self.plan_requested |= !listing.completions.is_empty();
        let had_unreadable = self.record_unreadable(id, listing);
        for completion in &listing.completions {
            self.receive_completion(id, completion, now);
        }
        self.stop_orphaned_runs(id, listing, now);
        for running in &listing.running {
            self.confirm_run(id, running, now);
        }
        if !listing.more_completions && listing.unreadable.is_none() {
            self.remove_lost_runs(id, listing, sent, now);
        }
        self.update_isolated_retries(id);
        self.throttle_best_effort(id, now);
        if had_unreadable || !listing.completions.is_empty() {
            self.acknowledge_stored(id);
        }
    }

    /// Records what of a listing could not be read, and logs it if that has changed. Returns whether there was anything
    /// in the listing before.
    ///
    /// The completions of held jobs are kept back like those that cannot be read. A full listing is acknowledged all the
    /// same: the backend server could not report any other completion while it waits for these.
    fn record_unreadable(&mut self, id: &BackendServerId, listing: &Listing) -> bool {
        let before_held = self.before_held_completions(listing);
        let before_unreadable = listing.unreadable.and_then(|unreadable| unreadable.acknowledge_up_to);
        let acknowledge_up_to =
            before_held.into_iter().chain(before_unreadable).min().filter(|_| !listing.more_completions);
        let Some(server) = self.servers.get_mut(id) else { return false };
        let unreadable = (listing.unreadable.is_some() || before_held.is_some()).then_some(Unreadable {
            rows: listing.unreadable.map_or(0, |unreadable| unreadable.rows),
            acknowledge_up_to,
        });
        let before = std::mem::replace(&mut server.unreadable, unreadable);
        let rows = |unreadable: Option<Unreadable>| unreadable.map_or(0, |unreadable| unreadable.rows);
        if rows(before) != rows(unreadable) {
            log::error!("server={id} event=rows_unreadable rows={} before={}", rows(unreadable), rows(before));
        }
        before.is_some()
    }

    /// Confirms that a run is where it was placed.
    fn confirm_run(&mut self, id: &BackendServerId, running: &RunningTask, now: Moment) {
        let Some(name) = self.group_of(running.task) else { return };
        if self.progress_of(name).run != running.run {
            return;
        }
        let Some(member) = self.member_mut(name, running.task.index, id) else { return };
        member.percent = running.percent;
        member.percent_at = now;
        member.latency_ms = running.latency_ms;
        if running.checkpoint.is_some() {
            member.checkpoint = running.checkpoint.clone();
        }
        match member.phase {
            Phase::Restored | Phase::Sent { .. } => {
                member.phase = Phase::Running;
                member.confirmed_at.get_or_insert(now);
                self.record_start(name, running.task.index, running.run);
                self.record_run_started(name, id);
            }
            Phase::Planned | Phase::Running => {}
        }
        self.measure_progress(name, id, running, now);
        self.record_progress(name, id, running, now);
    }

    /// Stops orphaned runs. Their capacity counts as taken until they are no longer listed.
    fn stop_orphaned_runs(&mut self, id: &BackendServerId, listing: &Listing, now: Moment) {
        let orphaned: Vec<(TaskId, RunNumber)> = listing
            .running
            .iter()
            .filter(|running| !self.is_expected(id, running))
            .map(|running| (running.task, running.run))
            .collect();
        let retry = self.timing.stop_retry;
        let server = self.servers.get_mut(id).expect("the caller checked that the server is tracked");
        if orphaned.is_empty() && server.orphaned_runs.is_empty() {
            return;
        }
        let full_capacity = server.info.as_ref().map(|info| info.capacity).unwrap_or_default();
        let mut before = std::mem::take(&mut server.orphaned_runs);
        let mut orphaned_runs = BTreeMap::new();
        for (task, run) in orphaned {
            // A run of a job that is no longer tracked may take the whole capacity.
            let of_group = self.group_of(task).map(|name| self.step(name).counted_resources());
            let resources = of_group.or_else(|| self.held_resources(task)).unwrap_or(full_capacity);
            let is_held = self.is_held(task.occurrence.job);
            let earlier = before.remove(&task).filter(|earlier| earlier.run == run);
            let orphaned_run = match earlier {
                Some(orphaned_run) if is_held || orphaned_run.stop_sent + retry > now => orphaned_run,
                None if is_held => OrphanedRun { run, resources, since: now, stop_sent: Moment::ZERO },
                earlier => {
                    log::info!("job={} event=stray_stopped task={task} run={run} server={id}", task.occurrence.job);
                    self.orders.push(Order::Stop { server: id.clone(), task, run });
                    let since = earlier.map_or(now, |earlier| earlier.since);
                    OrphanedRun { run, resources, since, stop_sent: now }
                }
            };
            orphaned_runs.insert(task, orphaned_run);
        }
        if listing.unreadable.is_some() {
            before.append(&mut orphaned_runs);
            orphaned_runs = before;
        }
        self.server_mut(id).expect("the caller checked that the server is tracked").orphaned_runs = orphaned_runs;
    }

    fn is_expected(&self, id: &BackendServerId, running: &RunningTask) -> bool {
        let Some(name) = self.group_of(running.task) else { return false };
        let placed = |member: &Member| member.index == running.task.index && member.server == *id;
        self.progress_of(name).run == running.run && self.group(name).members.iter().any(placed)
    }

    /// Removes runs that the listing lacks although it would have to show them if they still ran.
    fn remove_lost_runs(&mut self, id: &BackendServerId, listing: &Listing, sent: Moment, now: Moment) {
        let server = &self.servers[id];
        let listed = |task: &TaskId| listing.running.iter().any(|running| running.task == *task);
        let missing: Vec<TaskId> = server.members.keys().filter(|task| !listed(task)).copied().collect();
        for task in missing {
            let Some(name) = self.group_of(task) else { continue };
            let Some(member) = self.member_mut(name, task.index, id) else { continue };
            if member.confirmed_at.is_some_and(|confirmed| confirmed < sent) {
                log::info!("job={} event=not_listed task={task} server={id}", task.occurrence.job);
                self.observations.push(Observation::RunLost { why: "not_listed" });
                self.remove_member(name, task.index, None, now);
                self.stop_group(name, StopReason::GangBroken, now);
                self.abandon_if_starts_used_up(name, task.index, now);
            }
        }
    }
}
