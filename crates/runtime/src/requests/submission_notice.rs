//! Notifies the scheduler of jobs and cancellations that the store has just taken, ahead of the watch of the scheduler.
//!
//! A watch may report nothing for seconds while the store accepts writes as usual (a fault that the platform rules
//! name: before its history is dropped). Jobs submitted meanwhile would wait for it. The scheduler still relies on the
//! watch; a lost notice costs only time.
//!
//! A notice cannot revive a job that ended long ago. The scheduler applies only what the store took after its election;
//! it has itself seen the end of such a job, and remembers ended jobs for longer than [`MAX_NOTICE_AGE`].

use model::{Duration, Revision};

use super::Requests;
use crate::outcome::StoredRequest;

/// Timeout of a notice; it is sent once.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(800);
/// Age, by the clocks of the boxes, above which a job is left to the watch, since a message may be delayed. Far below
/// the time for which ended jobs are remembered, and far above the differences between clocks (the platform rules name
/// jumps of 2 s).
const MAX_NOTICE_AGE: Duration = Duration::from_secs(30);

impl Requests {
    /// Notifies the scheduler, on this box or another, without waiting for the response.
    pub(super) fn notify_scheduler(&self, request: StoredRequest, revision: Revision) {
        let leader = self.view.leader();
        if leader.is_none() {
            log::info!("job={} event=scheduler_not_told what={} why=none_known", request.job(), request.kind());
        }
        let Some(leader) = leader.filter(|leader| leader.addr != self.own_address) else {
            return self.apply_stored(&request, revision);
        };
        let peers = std::sync::Arc::clone(&self.peers);
        smol::spawn(async move {
            if let Err(status) = peers.notify_stored(leader.addr, &request, revision, NOTICE_TIMEOUT).await {
                log::info!(
                    "job={} event=scheduler_not_told what={} box={} why={:?}",
                    request.job(),
                    request.kind(),
                    leader.box_id,
                    status.code()
                );
            }
        })
        .detach();
    }

    /// Applies a notice to the scheduler of this box. Does nothing on a box that does not schedule.
    pub(crate) fn apply_stored(&self, request: &StoredRequest, revision: Revision) {
        match request {
            StoredRequest::Job(job) if self.is_recent(job.accepted_ms) => self.active.add_job(job, revision),
            StoredRequest::Job(job) => log::info!("job={} event=told_late", job.id),
            StoredRequest::Cancelled(id) => self.active.cancel(*id, revision, self.now()),
        }
    }

    fn is_recent(&self, accepted_ms: u64) -> bool {
        self.view.clock().wall_ms().saturating_sub(accepted_ms) < MAX_NOTICE_AGE.millis()
    }
}
