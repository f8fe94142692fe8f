//! Lives of a backend server that follow one another under one id.
//!
//! Each life begins with nothing: it runs nothing, has given no lease, has seen no fence, and counts its ends from 1. So what is known of the life
//! before must not be held against it. Taken for one with the life before, its ends were not looked at, since they had numbers that were
//! known, and were acknowledged unseen; work that was done was done again.

use model::{BackendServerId, Incarnation, Moment};

use crate::{Scheduler, run_state::Member};

impl Scheduler {
    /// A life of a backend server answers. If it is another one than the one that answered last, that one is over.
    pub(crate) fn observe_incarnation(&mut self, id: &BackendServerId, incarnation: Incarnation, now: Moment) {
        self.resolve_lapsed(id, incarnation, now);
        let Some(server) = self.servers.get(id) else { return };
        let known = server.incarnation;
        if known == Some(incarnation) {
            return;
        }
        match known {
            Some(known) => {
                log::info!(
                    "server={id} event=life incarnation={incarnation} after={known} seen_end={}",
                    server.highest_completion
                );
                self.incarnation_ended(id, known, now);
            }
            None => self.end_other_incarnations(id, incarnation, now),
        }
        if let Some(server) = self.server_mut(id) {
            server.set_incarnation(incarnation);
        }
    }

    /// A life of a backend server is over, and another one answers under its id. Told again, it changes nothing.
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

    /// Which life of a backend server was last heard.
    pub fn incarnation(&self, id: &BackendServerId) -> Option<Incarnation> {
        self.servers.get(id)?.incarnation
    }

    /// The first word of a backend server: what an earlier scheduler placed in other lives of it is over.
    fn end_other_incarnations(&mut self, id: &BackendServerId, incarnation: Incarnation, now: Moment) {
        let other = |member: &Member| member.incarnation.is_some_and(|placed| placed != incarnation);
        self.charge_crash_if(id, other, now);
        self.lapse_members_if(id, other, "server_gone", now);
    }
}
