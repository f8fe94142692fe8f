//! Incarnations that follow one another under one backend server id.
//!
//! Each incarnation starts empty: it runs nothing, has accepted no lease and no fencing token, and counts its
//! completions from 1. So state of the earlier incarnation must not be applied to the next. If the two were taken for
//! one, the new completions would have serial numbers that were already received: they would be ignored and
//! acknowledged unseen, and finished work would be done again.

use model::{BackendServerId, Incarnation, Moment};

use crate::{Scheduler, run_state::Member};

impl Scheduler {
    /// Observes the incarnation that responds. If it differs from the one that responded last, that one has ended.
    pub(crate) fn observe_incarnation(&mut self, id: &BackendServerId, incarnation: Incarnation, now: Moment) {
        self.resolve_lapsed(id, incarnation, now);
        let Some(server) = self.servers.get(id) else { return };
        let previous = server.incarnation;
        if previous == Some(incarnation) {
            return;
        }
        match previous {
            Some(previous) => {
                log::info!(
                    "server={id} event=life incarnation={incarnation} after={previous} seen_end={}",
                    server.highest_completion
                );
                self.incarnation_ended(id, previous, now);
            }
            None => {
                self.end_other_incarnations(id, incarnation, now);
                self.check_restored_speed(id, incarnation);
            }
        }
        if let Some(server) = self.server_mut(id) {
            server.set_incarnation(incarnation);
        }
        self.apply_restored_speed(id, now);
    }

    /// Ends an incarnation of a backend server, since another one responds under the same id. Idempotent.
    pub fn incarnation_ended(&mut self, id: &BackendServerId, incarnation: Incarnation, now: Moment) {
        if self.incarnation(id) != Some(incarnation) {
            return;
        }
        self.end_incarnation(id, now);
        self.reset_speed(id);
        self.permits.remove_permits_for(id);
        self.plan_requested = true;
        if let Some(server) = self.server_mut(id) {
            server.begin_incarnation();
        }
    }

    /// Returns the incarnation of a backend server that last responded.
    pub fn incarnation(&self, id: &BackendServerId) -> Option<Incarnation> {
        self.servers.get(id)?.incarnation
    }

    /// Handles the first response of a backend server: runs that an earlier scheduler placed in other incarnations
    /// have ended.
    fn end_other_incarnations(&mut self, id: &BackendServerId, incarnation: Incarnation, now: Moment) {
        let other = |member: &Member| member.incarnation.is_some_and(|placed| placed != incarnation);
        self.charge_crash_if(id, other, now);
        self.lapse_members_if(id, other, "server_gone", now);
    }
}
