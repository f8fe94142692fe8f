//! Contact with backend servers: listed and unlisted, leases granted, calls failed.

use model::{BackendServerId, Duration, Moment};

use crate::{
    Scheduler,
    departures::{LastWrite, RemovedBy},
    observations::Observation,
    run_state::StopReason,
    server::{Server, ServerInfo},
};

/// How a call to a backend server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// The connection was refused, by the address or by the network.
    Refused,
    /// No response, for any other reason.
    NoResponse,
}

impl Scheduler {
    /// Handles a backend server that the platform lists, new or with a changed description.
    pub fn server_listed(&mut self, id: BackendServerId, info: ServerInfo, now: Moment) {
        let earlier_expiry = self.earlier_lease_expiry(&id);
        let draining = info.draining;
        self.evacuations.record_zone(&info.availability_zone);
        let evacuated = self.evacuations.is_evacuated(&info.availability_zone);
        self.servers.entry(id.clone()).or_insert_with(|| Server::new(None, earlier_expiry));
        let server = self.server_mut(&id).expect("it was just added");
        let was_draining = server.info.as_ref().is_some_and(|old| old.draining);
        server.update_info(info);
        server.evacuated = evacuated;
        self.plan_requested = true;
        self.apply_restored_speed(&id, now);
        self.stop_unordered_if_shrunk(&id, now);
        if draining && !was_draining {
            log::info!("server={id} event=draining fence={}", self.fence);
            self.departures.announced.push((id, now));
        }
    }

    /// Stops runs that were placed on a backend server and not ordered yet, if its capacity has shrunk below what is
    /// placed there. They are then placed anew.
    fn stop_unordered_if_shrunk(&mut self, id: &BackendServerId, now: Moment) {
        if self.servers.get(id).is_some_and(Server::is_over_capacity) {
            self.stop_unsent(id, StopReason::ServerShrunk, now);
        }
    }

    /// Handles a backend server that the platform no longer lists. Unless it has shut down, it may keep running: its
    /// runs have ended only when its leases have expired.
    pub fn server_unlisted(&mut self, id: &BackendServerId, last_write: LastWrite, now: Moment) {
        let clock = self.servers.get(id).filter(|server| server.is_as_listed()).and_then(|server| server.clock);
        let removed_by = RemovedBy::new(last_write, clock, now, self.timing.server_heartbeat);
        log::info!("server={id} event=unlisted removed_by={removed_by} fence={}", self.fence);
        if let Some(server) = self.server_mut(id) {
            server.listed = false;
            server.contact.removed_by = Some(removed_by);
        }
        self.check_departure(id, now);
    }

    /// Ends a backend server: its process has ended, or another incarnation responds at its address under another id.
    pub fn server_ended(&mut self, id: &BackendServerId, now: Moment) {
        self.charge_lapsed(id, now);
        if self.servers.contains_key(id) {
            self.end_incarnation(id, now);
            self.remove_server(id);
        }
    }

    /// Ends what ran in an incarnation of a backend server. Unless its departure was announced, this counts as a
    /// crash.
    pub(crate) fn end_incarnation(&mut self, id: &BackendServerId, now: Moment) {
        let Some(server) = self.servers.get(id) else { return };
        let announced = server.has_announced_departure();
        let silent_ms = server.contact.failing_since.map_or(0, |since| now.since(since).millis());
        log::info!("server={id} event=gone runs={} announced={announced} silent_ms={silent_ms}", server.members.len());
        self.observations.push(Observation::ServerEnded { announced });
        self.record_witness_end(id, now);
        if !announced {
            self.charge_crash(id, now);
        }
        self.lapse_members(id, "server_gone", now);
    }

    pub(crate) fn remove_server(&mut self, id: &BackendServerId) {
        self.mark_stale(id);
        self.reset_speed(id);
        self.servers.remove(id);
        self.isolated_retries.remove(id);
        self.unreachable.remove_pending(id);
        self.departures.evidence.forget(id);
    }

    /// Pauses starts on a backend server that has refused one.
    pub(crate) fn pause_starts(&mut self, id: &BackendServerId, now: Moment) {
        let until = now + self.timing.refused_pause;
        if let Some(server) = self.server_mut(id) {
            server.no_starts_before = until;
        }
    }

    /// Records a renewal that is about to be sent. Its lease counts from here on, whatever the outcome of the call.
    pub fn lease_sent(&mut self, id: &BackendServerId, lease: Duration, now: Moment) {
        let expiry = self.timing.expiry(lease, now);
        if let Some(server) = self.servers.get_mut(id) {
            server.lease_expiry = server.lease_expiry.max(expiry);
            server.lease_granted_until = server.lease_granted_until.max(Some(now + lease));
        }
    }

    /// Returns the lease for a renewal that is about to be sent, of at most `max_lease`. A backend server that has
    /// announced its departure gets a short one while its entry is missing: its exit cannot be proven then, and its runs
    /// are waited for until its lease has expired.
    pub fn lease_for_renewal(&self, id: &BackendServerId, max_lease: Duration) -> Duration {
        let may_leave_unseen = |server: &Server| server.has_announced_departure() && !server.listed;
        if self.servers.get(id).is_some_and(may_leave_unseen) {
            return max_lease.min(self.timing.short_lease());
        }
        max_lease
    }

    /// Returns the lease for a start that is about to be sent, of at most `max_lease`: the rest of the latest renewal
    /// if that is at least half of a lease, else a new one. A full lease with each start would prolong the wait if
    /// the backend server is lost with the start in flight.
    pub fn lease_for_start(&mut self, id: &BackendServerId, max_lease: Duration, now: Moment) -> Duration {
        let lease_granted_until = self.servers.get(id).and_then(|server| server.lease_granted_until);
        let remaining = lease_granted_until.map_or(Duration::ZERO, |to| to.since(now));
        if remaining >= self.timing.lease.scaled(0.5) {
            return remaining;
        }
        self.lease_sent(id, max_lease, now);
        max_lease
    }

    /// Handles a call to a backend server that got no response.
    pub fn call_failed(&mut self, id: &BackendServerId, failure: CallFailure, now: Moment) {
        let Some(server) = self.server_mut(id) else { return };
        server.failed_calls += 1;
        server.contact.refused |= failure == CallFailure::Refused;
        let busy = !server.members.is_empty();
        if server.failed_calls == 1 {
            server.contact.failing_since = Some(now);
            log::warn!("server={id} event=unreachable lease_over_at={}", server.lease_expiry.millis());
            self.mark_changed_on(id);
        }
        if busy {
            self.unreachable.add_pending(id);
        }
        self.check_departure(id, now);
    }

    /// Marks the occurrences placed on a backend server as changed, since whether it responds has changed and thus
    /// whether anything of them runs.
    pub(crate) fn mark_changed_on(&mut self, id: &BackendServerId) {
        let occurrences = self.groups_on(id).into_iter().map(|name| name.occurrence);
        self.changed.extend(occurrences);
    }

    /// Ends a backend server that has shut down. Its runs ended with it, so that no lease has to be waited for.
    fn check_departure(&mut self, id: &BackendServerId, now: Moment) {
        if self.servers.get(id).is_some_and(Server::has_departed) {
            log::info!("server={id} event=left");
            self.server_ended(id, now);
        }
    }

    /// Whether a backend server is listed, or may still run something.
    pub fn tracks_server(&self, id: &BackendServerId) -> bool {
        self.servers.contains_key(id)
    }

    /// Whether a backend server has reported what it runs, in its latest known incarnation.
    pub fn has_reported(&self, id: &BackendServerId) -> bool {
        self.servers.get(id).is_some_and(|server| server.has_reported)
    }

    /// Returns the highest serial number of a completion that may be acknowledged to a backend server; 0 if there is
    /// none.
    pub fn acknowledged_serial(&self, id: &BackendServerId) -> u64 {
        self.servers.get(id).map_or(0, |server| server.acknowledged_serial)
    }

    /// Whether completions of a backend server wait to be stored.
    pub fn has_pending_completions(&self, id: &BackendServerId) -> bool {
        self.servers.get(id).is_some_and(|server| !server.pending_completions.is_empty())
    }

    /// Whether anything runs, or may run, on a backend server.
    pub fn is_busy(&self, id: &BackendServerId) -> bool {
        self.servers.get(id).is_some_and(|server| !server.members.is_empty() || !server.orphaned_runs.is_empty())
    }
}
