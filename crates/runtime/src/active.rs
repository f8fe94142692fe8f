//! The scheduler of a box at work, and the place where the box's requests find it.

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicBool, Ordering},
};

use jobs::{Fence, Job, JobId, QueueId};
use model::{CustomerId, Moment, Revision};
use scheduler::{Counts, Order, Scheduler, StartReply};
use smol::channel::{Receiver, Sender};

use crate::{evacuation_revisions::EvacuationRevisions, links::Links, outcome::StateOutcome, telemetry};

/// A channel for one token: a full one holds the news already.
type Signal = (Sender<()>, Receiver<()>);

/// A scheduler at work.
pub(crate) struct Active {
    scheduler: Mutex<Scheduler>,
    pub(crate) fence: Fence,
    pub(crate) links: Links,
    pub(crate) evacuations: EvacuationRevisions,
    /// Holds a token when something may let a group start.
    plan: Signal,
    /// Holds a token when the adviser is to be asked.
    ask: Signal,
    /// Holds a token when something is to be stored.
    write: Signal,
    /// Holds a token when another scheduler has been elected.
    deposed: Signal,
    /// Its term is over: what goes on of it gives no more orders.
    ended: AtomicBool,
}

impl Active {
    pub(crate) fn new(scheduler: Scheduler, evacuations: EvacuationRevisions, links: Links) -> Active {
        Active {
            fence: scheduler.fence(),
            scheduler: Mutex::new(scheduler),
            links,
            evacuations,
            plan: smol::channel::bounded(1),
            ask: smol::channel::bounded(1),
            write: smol::channel::bounded(1),
            deposed: smol::channel::bounded(1),
            ended: AtomicBool::new(false),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Scheduler> {
        self.scheduler.lock().expect("no holder panics")
    }

    /// Changes the scheduler, then sends what it wants sent and has the changes stored and planned.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut Scheduler) -> T) -> T {
        let mut scheduler = self.lock();
        let result = change(&mut scheduler);
        let (orders, observations) = (scheduler.take_orders(), scheduler.take_observations());
        let (plan, write) = (scheduler.take_plan_request(), scheduler.has_pending_writes());
        let (ask, deposed) = (scheduler.has_permit_requests(), scheduler.lost_leadership());
        drop(scheduler);
        let dropped: Vec<Order> = orders.into_iter().filter_map(|order| self.links.send(order).err()).collect();
        telemetry::record_observations(observations);
        if plan {
            let _ = self.plan.0.try_send(());
        }
        if ask {
            let _ = self.ask.0.try_send(());
        }
        if write {
            let _ = self.write.0.try_send(());
        }
        if deposed {
            self.lose_leadership();
        }
        self.fail_dropped_starts(dropped);
        result
    }

    /// A start that was dropped has begun nothing, and nobody answers it. Stops are repeated anyway.
    fn fail_dropped_starts(&self, dropped: Vec<Order>) {
        for order in dropped {
            if let Order::Start { server, task, run, .. } = order {
                let now = self.links.now();
                self.update(|scheduler| scheduler.start_replied(&server, task, run, StartReply::Refused, now));
            }
        }
    }

    /// Whether what the store took at a revision is told by this scheduler's watch, and not by what it has read before.
    fn watches(&self, revision: Revision) -> bool {
        revision.0 > self.fence.0
    }

    /// Whether its term is over.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Another scheduler has been elected.
    /// Returns whether that is news.
    pub(crate) fn lose_leadership(&self) -> bool {
        self.deposed.0.try_send(()).is_ok()
    }

    /// Waits until another scheduler has been elected.
    pub(crate) async fn leadership_lost(&self) {
        let _ = self.deposed.1.recv().await;
    }

    /// Waits until something may let a group start.
    pub(crate) async fn plan_requested(&self) {
        let _ = self.plan.1.recv().await;
    }

    /// A plan is about to be made: what has happened up to now is no reason for another.
    pub(crate) fn clear_plan_request(&self) {
        let _ = self.plan.1.try_recv();
    }

    /// Waits until the adviser is to be asked.
    pub(crate) async fn permits_requested(&self) {
        let _ = self.ask.1.recv().await;
    }

    /// Waits until something may have to be written.
    pub(crate) async fn write_requested(&self) {
        let _ = self.write.1.recv().await;
    }
}

/// The scheduler of this box, while it is elected and has read what the store holds.
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
            active.ended.store(true, Ordering::SeqCst);
        }
    }

    /// The store holds a job since a revision. A scheduler that was elected later has read it, or what has become of it.
    pub(crate) fn add_job(&self, job: &Job, since: Revision) {
        if let Some(active) = self.get().filter(|active| active.watches(since)) {
            active.update(|scheduler| scheduler.add_job(job.clone()));
        }
    }

    /// The store holds since a revision that a job is cancelled.
    pub(crate) fn cancel(&self, id: JobId, since: Revision, now: Moment) {
        if let Some(active) = self.get().filter(|active| active.watches(since)) {
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

    /// The fence and the sizes of the scheduler, if this box has one.
    pub(crate) fn counts(&self) -> Option<(Fence, Counts)> {
        let active = self.get()?;
        let counts = active.lock().counts();
        Some((active.fence, counts))
    }

    pub(crate) fn waiting(&self, queue: &QueueId) -> Option<u64> {
        Some(self.get()?.lock().waiting(queue) as u64)
    }
}
