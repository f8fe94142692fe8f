//! Backend servers that come back under their ids after a crash.

use jobs::Resources;
use model::{BackendServerId, Incarnation};
use scheduler::{CallFailure, ServerInfo};

use super::{
    events::Event,
    server::FakeServer,
    world::{STEP_MS, World},
};

/// The platform hears of a new life with its first heartbeat, at times only after others have called it.
const LISTED_WITHIN_MS: u64 = 1500;
/// The platform ceases to list a life that has crashed after this.
const LAPSES_AFTER_MS: u64 = 4500;

impl World {
    /// A backend server crashes, and comes back under its id after a while, with another capacity at times. A scheduler whose calls find nothing
    /// meanwhile may not notice anything else.
    pub(crate) fn crash_and_return(&mut self, i: usize, ms: u64) {
        let Some(id) = self.servers.keys().nth(i % self.servers.len()).cloned() else { return };
        if self.servers[&id].leaves_at.is_some() {
            return;
        }
        let FakeServer { info, rate, unguarded, .. } = &self.servers[&id];
        let (info, rate, unguarded) = (info.clone(), *rate, *unguarded);
        self.end_life(&id);
        for leader in 0..self.leaders.len() {
            let how = CallFailure::Refused;
            self.after(STEP_MS, Event::CallFailed { leader, server: id.clone(), how });
        }
        if ms > LAPSES_AFTER_MS {
            for leader in 0..self.leaders.len() {
                self.after(LAPSES_AFTER_MS, Event::Unlisted { leader, server: id.clone() });
            }
        }
        let accelerators = if self.rng.u8(..) < 64 { 4 } else { 8 };
        let incarnation = Some(Incarnation(self.now + ms));
        let info = ServerInfo { incarnation, capacity: Resources { accelerators, ..info.capacity }, ..info };
        let mut server = Box::new(FakeServer::new(id, info, rate));
        server.unguarded = unguarded;
        self.after(ms, Event::Return { server });
    }

    pub(crate) fn on_return(&mut self, mut server: FakeServer) {
        let id = server.id.clone();
        // Its first heartbeat comes later than its first answer, or the other way round.
        server.last_heartbeat = self.now.saturating_sub(self.rng.u64(..LISTED_WITHIN_MS));
        server.listed = false;
        self.servers.insert(id, server);
    }

    /// Whether a life is the one that a backend server leads now; the first word may be of any.
    pub(crate) fn is_life(&self, id: &BackendServerId, life: Option<Incarnation>) -> bool {
        let now = self.servers.get(id).map(|server| server.incarnation);
        life.is_none_or(|life| now == Some(life))
    }
}
