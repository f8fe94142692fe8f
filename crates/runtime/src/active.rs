//! The scheduler of an elected box, and the slot in which the handlers of requests find it.
//!
//! All changes of the scheduler go through [`Active::update`], which sends the resulting orders and wakes the tasks
//! that plan, write and request permits.

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicBool, Ordering},
};

use jobs::{Fence, Job, JobId, QueueId};
use model::{CustomerId, Moment, Revision};
use scheduler::{Counts, Order, Scheduler, StartReply};
use smol::channel::{Receiver, Sender};

use crate::{evacuation_revisions::EvacuationRevisions, links::Links, outcome::StateOutcome, telemetry};

/// A channel with room for one token. Sending to a full channel fails, which is harmless: the signal is already
/// pending.
type Signal = (Sender<()>, Receiver<()>);

/// A running scheduler with its links.
pub(crate) struct Active {
    scheduler: Mutex<Scheduler>,
    pub(crate) fence: Fence,
    pub(crate) links: Links,
    pub(crate) evacuations: EvacuationRevisions,
    /// Holds a token when a plan is needed, because something may now start.
    plan: Signal,
    /// Holds a token when there are permit requests.
    permits: Signal,
    /// Holds a token when there are pending writes.
    write: Signal,
    /// Holds a token when another scheduler has been elected.
    lost_leadership: Signal,
    /// Holds a token when a task of this scheduler has failed.
    task_failed: Signal,
    /// Whether the term of this scheduler has ended. Tasks that still run must give no more orders.
    term_ended: AtomicBool,
    /// Whether leases may be granted, as of the latest call.
    grants_leases: AtomicBool,
}

impl Active {
    pub(crate) fn new(scheduler: Scheduler, evacuations: EvacuationRevisions, links: Links) -> Active {
        Active {
            fence: scheduler.fence(),
            scheduler: Mutex::new(scheduler),
            links,
            evacuations,
            plan: smol::channel::bounded(1),
            permits: smol::channel::bounded(1),
            write: smol::channel::bounded(1),
            lost_leadership: smol::channel::bounded(1),
            task_failed: smol::channel::bounded(1),
            term_ended: AtomicBool::new(false),
            grants_leases: AtomicBool::new(true),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Scheduler> {
        self.scheduler.lock().expect("no holder panics")
    }

    /// Applies a change to the scheduler, sends the resulting orders, and requests writes, permits and a plan as
    /// needed.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut Scheduler) -> T) -> T {
        let mut scheduler = self.lock();
        let result = change(&mut scheduler);
        let (orders, observations) = (scheduler.take_orders(), scheduler.take_observations());
        let (needs_plan, needs_write) = (scheduler.take_plan_request(), scheduler.has_pending_writes());
        let (needs_permits, lost_leadership) = (scheduler.has_permit_requests(), scheduler.lost_leadership());
        drop(scheduler);
        let dropped: Vec<Order> = orders.into_iter().filter_map(|order| self.links.send(order).err()).collect();
        telemetry::record_observations(observations);
        if needs_plan {
            let _ = self.plan.0.try_send(());
        }
        if needs_permits {
            let _ = self.permits.0.try_send(());
        }
        if needs_write {
            let _ = self.write.0.try_send(());
        }
        if lost_leadership {
            self.lose_leadership();
        }
        self.fail_dropped_starts(dropped);
        result
    }

    /// Reports dropped start orders as refused, since no backend server will reply to them. Stop orders are repeated by
    /// the scheduler.
    fn fail_dropped_starts(&self, dropped: Vec<Order>) {
        for order in dropped {
            if let Order::Start { server, task, run, .. } = order {
                let now = self.links.now();
                self.update(|scheduler| scheduler.start_replied(&server, task, run, StartReply::Refused, now));
            }
        }
    }

    /// Whether a revision is later than the election, so that the watch of this scheduler reports it. Earlier ones were
    /// read when the scheduler was restored.
    fn is_after_election(&self, revision: Revision) -> bool {
        revision.0 > self.fence.0
    }

    /// Whether the term of this scheduler has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.term_ended.load(Ordering::SeqCst)
    }

    /// Records whether leases may be granted. Returns whether that has changed.
    pub(crate) fn set_grants_leases(&self, grants: bool) -> bool {
        self.grants_leases.swap(grants, Ordering::SeqCst) != grants
    }

    /// Records that another scheduler has been elected. Returns whether this was not yet recorded.
    pub(crate) fn lose_leadership(&self) -> bool {
        self.lost_leadership.0.try_send(()).is_ok()
    }

    /// Waits until another scheduler has been elected.
    pub(crate) async fn leadership_lost(&self) {
        let _ = self.lost_leadership.1.recv().await;
    }

    /// Records that a task of this scheduler has failed.
    pub(crate) fn report_failed_task(&self) {
        let _ = self.task_failed.0.try_send(());
    }

    /// Waits until a task of this scheduler has failed.
    pub(crate) async fn task_failed(&self) {
        let _ = self.task_failed.1.recv().await;
    }

    /// Waits until a plan is needed.
    pub(crate) async fn plan_requested(&self) {
        let _ = self.plan.1.recv().await;
    }

    /// Clears the request for a plan. Called before planning, which covers all events up to then.
    pub(crate) fn clear_plan_request(&self) {
        let _ = self.plan.1.try_recv();
    }

    /// Waits until there may be permit requests.
    pub(crate) async fn permits_requested(&self) {
        let _ = self.permits.1.recv().await;
    }

    /// Waits until there may be pending writes.
    pub(crate) async fn write_requested(&self) {
        let _ = self.write.1.recv().await;
    }
}

/// The scheduler of this box: set while the box is elected and the state has been restored.
#[derive(Clone, Default)]
pub(crate) struct ActiveSlot {
    active: Arc<Mutex<Option<Arc<Active>>>>,
}

impl ActiveSlot {
    pub(crate) fn get(&self) -> Option<Arc<Active>> {
        self.active.lock().expect("no holder panics").clone()
    }

    pub(crate) fn set(&self, active: Arc<Active>) {
        self.active.lock().expect("no holder panics").replace(active);
    }

    pub(crate) fn clear(&self) {
        if let Some(active) = self.active.lock().expect("no holder panics").take() {
            active.term_ended.store(true, Ordering::SeqCst);
        }
    }

    /// Adds a job that the store took at a revision. Does nothing if the scheduler was elected after that: it has then
    /// read the job, or the record of its end.
    pub(crate) fn add_job(&self, job: &Job, revision: Revision) {
        if let Some(active) = self.get().filter(|active| active.is_after_election(revision)) {
            active.update(|scheduler| scheduler.add_job(job.clone()));
        }
    }

    /// Cancels a job by a cancellation that the store took at a revision.
    pub(crate) fn cancel(&self, id: JobId, revision: Revision, now: Moment) {
        if let Some(active) = self.get().filter(|active| active.is_after_election(revision)) {
            active.update(|scheduler| scheduler.cancel(id, now));
        }
    }

    pub(crate) fn state(&self, id: JobId, may_see: impl Fn(Option<&CustomerId>) -> bool) -> StateOutcome {
        let Some(active) = self.get() else { return StateOutcome::Unavailable };
        let scheduler = active.lock();
        match scheduler.job_status(id) {
            None => StateOutcome::NoSuchJob,
            Some((_, owner)) if !may_see(owner) => StateOutcome::NotYours,
            Some((state, _)) => StateOutcome::Found(state),
        }
    }

    /// Returns the fencing token and the counts of the scheduler; `None` if this box does not schedule.
    pub(crate) fn counts(&self) -> Option<(Fence, Counts)> {
        let active = self.get()?;
        let counts = active.lock().counts();
        Some((active.fence, counts))
    }

    pub(crate) fn waiting(&self, queue: &QueueId) -> Option<u64> {
        Some(self.get()?.lock().waiting(queue) as u64)
    }
}
