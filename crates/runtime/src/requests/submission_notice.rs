//! What the store has just taken is told to the scheduler by the box that had it stored, ahead of the scheduler's watch.
//!
//! A watch may hear nothing for seconds while the store takes writes as ever (users' kinds: before its history is
//! dropped). Jobs that were handed in meanwhile would wait for it. The watch stays what the scheduler relies on; what
//! is told here and lost costs nothing but time.
//!
//! Nothing is taken for new that is long over: the scheduler takes in only what the store took after its election, of which it
//! has seen the end itself if there was one, and it remembers ends for longer than [`TOLD_WITHIN`].

use model::{Duration, Revision};

use super::Requests;
use crate::outcome::StoredRequest;

/// How long the scheduler may take to answer; it is told once.
const TELL_LIMIT: Duration = Duration::from_millis(800);
/// A job that was accepted longer ago, by boxes' clocks, is left to the watch: a message may be held up on its way. Far below
/// the time for which ends are remembered, and far above what clocks differ by (users: clocks jump by 2 s).
const TOLD_WITHIN: Duration = Duration::from_secs(30);

impl Requests {
    /// Tells the scheduler, here or on another box, without waiting for its answer.
    pub(super) fn notify_scheduler(&self, taken: StoredRequest, since: Revision) {
        let leader = self.view.leader().filter(|leader| leader.addr != self.here);
        let Some(leader) = leader else { return self.apply_stored(&taken, since) };
        let peers = std::sync::Arc::clone(&self.peers);
        smol::spawn(async move {
            if let Err(status) = peers.notify_stored(leader.addr, &taken, since, TELL_LIMIT).await {
                log::debug!("event=scheduler_not_told box={} why={status}", leader.box_id);
            }
        })
        .detach();
    }

    /// Takes in what another box, or this one, has had stored; nothing happens on a box that does not schedule.
    pub(crate) fn apply_stored(&self, taken: &StoredRequest, since: Revision) {
        match taken {
            StoredRequest::Job(job) if self.is_recent(job.accepted_ms) => self.active.add_job(job, since),
            StoredRequest::Job(job) => log::info!("job={} event=told_late", job.id),
            StoredRequest::Cancelled(id) => self.active.cancel(*id, since, self.now()),
        }
    }

    fn is_recent(&self, accepted_ms: u64) -> bool {
        self.view.clock().wall_ms().saturating_sub(accepted_ms) < TOLD_WITHIN.millis()
    }
}
