//! Adoption of gangs: by the planner if their holder, the box that renewed their leases, has terminated, and by any box
//! if it has itself abandoned them.

use std::collections::BTreeMap;

use backend::{Holder, Lease, TaskState};
use model::{BackendServerId, JobId, Moment};

use crate::{EntryBox, Observation};

impl EntryBox {
    /// Adopts gangs that this process held and abandoned and, if this box is the planner, gangs whose holder
    /// has terminated.
    pub(crate) fn adopt_orphans(&mut self, now: Moment) {
        // Liveness changes with heartbeats, so a more frequent check finds nothing new.
        let every = self.limits.membership.heartbeat_every;
        if self.orphans_checked_at.is_some_and(|at| now.since(at) < every) {
            return;
        }
        self.orphans_checked_at = Some(now);
        let may_adopt_from_others =
            *self.view.planner(now) == self.id.box_id && self.view.can_detect_failures(now) && !self.draining;
        let orphans: Vec<(JobId, BTreeMap<BackendServerId, Lease>)> = self
            .replicas
            .by_job()
            .into_iter()
            .filter(|(_, leases)| leases.values().any(|lease| is_worth_adopting(lease)))
            .filter(|(_, leases)| {
                let newest = leases.values().max_by_key(|lease| lease.token);
                newest.is_some_and(|l| {
                    self.has_abandoned(l) || (may_adopt_from_others && self.has_terminated(&l.holder, now))
                })
            })
            .map(|(job, leases)| {
                let leases = leases.into_iter().map(|(id, lease)| (id.clone(), lease.clone())).collect();
                (job.clone(), leases)
            })
            .collect();
        for (job, leases) in orphans {
            let before = self.jobs.open_jobs();
            self.jobs.adopt(&job, &leases, now);
            if self.jobs.open_jobs() > before {
                self.observe(Observation::Adopting { job });
            }
        }
    }

    /// Returns whether this process holds the lease but no longer tracks the job. That is so if it gave up the gang
    /// because a member did not respond, while that member kept its lease.
    fn has_abandoned(&self, lease: &Lease) -> bool {
        let is_mine = lease.holder == *self.jobs.holder();
        is_mine && self.jobs.view(&lease.job).is_none_or(|view| view.stage == lifecycle::Stage::Void)
    }

    /// Returns whether the incarnation that holds a lease has terminated: a newer incarnation of the box is known, or
    /// no heartbeat has come for `adopt_after` plus `dead_after`.
    fn has_terminated(&self, holder: &Holder, now: Moment) -> bool {
        if holder.box_id == self.id.box_id {
            return holder.incarnation < self.id.incarnation;
        }
        if self.view.is_live_incarnation(&holder.box_id, holder.incarnation, self.id.incarnation, now) {
            return false;
        }
        match self.view.peers().get(&holder.box_id) {
            Some(status) if status.incarnation > holder.incarnation => true,
            Some(status) => {
                now.since(status.last_heartbeat) > self.limits.adopt_after + self.limits.membership.dead_after
            }
            // No heartbeat was received from this box. Once this process has run long enough to detect failures, that
            // means that the box terminated before this process started.
            None => self.view.can_detect_failures(now),
        }
    }
}

fn is_worth_adopting(lease: &Lease) -> bool {
    lease.state.holds() || (matches!(lease.state, TaskState::Finished { .. }) && !lease.acknowledged)
}
