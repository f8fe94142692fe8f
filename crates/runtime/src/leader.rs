//! What the elected box does: it joins the scheduler with the store and the backend servers.

use std::sync::{Arc, Mutex, MutexGuard};

use jobs::{Fence, Job, JobId, Progress, QueueId};
use model::{CustomerId, Duration, Moment, Revision};
use outside::{Change, CoordinationStore, Item, Snapshot, StoreError};
use scheduler::{Counts, Scheduler};
use smol::channel::{Receiver, Sender};

use crate::{
    border::{BackendServers, Decoder},
    directory,
    follow::{Backoff, Seen, follow},
    keys::{self, Intake},
    links::Links,
    measure,
    requests::StateOutcome,
    settings::Settings,
    view::View,
    writer,
};

/// Longest wait of the watches that only the scheduler keeps.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// The plan is looked at this often when nothing happens: timed jobs fall due, stops are repeated.
const PLAN_EVERY: Duration = Duration::from_millis(100);
/// Events that come within this time are planned together.
const PLAN_AFTER: Duration = Duration::from_millis(4);

/// After a plan, at least so many times as long goes to other things: on a small box a plan may take long.
const PLAN_REST: u32 = 3;

/// What a scheduling box works with.
#[derive(Clone)]
pub(crate) struct Parts {
    pub(crate) store: Arc<dyn CoordinationStore>,
    pub(crate) servers: Arc<dyn BackendServers>,
    pub(crate) decoder: Arc<dyn Decoder>,
    pub(crate) view: Arc<View>,
}

/// A scheduler at work.
pub(crate) struct Active {
    scheduler: Mutex<Scheduler>,
    pub(crate) fence: Fence,
    pub(crate) links: Links,
    plan: (Sender<()>, Receiver<()>),
    write: (Sender<()>, Receiver<()>),
    deposed: (Sender<()>, Receiver<()>),
}

impl Active {
    fn new(scheduler: Scheduler, links: Links) -> Active {
        Active {
            fence: scheduler.fence(),
            scheduler: Mutex::new(scheduler),
            links,
            plan: smol::channel::bounded(1),
            write: smol::channel::bounded(1),
            deposed: smol::channel::bounded(1),
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
        let (plan, write) = (scheduler.take_plan_wanted(), scheduler.has_unstored());
        let deposed = scheduler.deposed();
        drop(scheduler);
        for order in orders {
            self.links.send(order);
        }
        measure::observe(observations);
        // A full channel holds the news already.
        if plan {
            let _ = self.plan.0.try_send(());
        }
        if write {
            let _ = self.write.0.try_send(());
        }
        if deposed {
            self.depose();
        }
        result
    }

    /// Another scheduler has been elected.
    pub(crate) fn depose(&self) {
        let _ = self.deposed.0.try_send(());
    }

    /// Waits until something may have to be written.
    pub(crate) async fn changed(&self) {
        let _ = self.write.1.recv().await;
    }
}

/// The scheduler of this box, while it is elected and has read what the store holds.
#[derive(Clone, Default)]
pub(crate) struct ActiveSlot {
    active: Arc<Mutex<Option<Arc<Active>>>>,
}

impl ActiveSlot {
    fn get(&self) -> Option<Arc<Active>> {
        self.active.lock().expect("no holder panics").clone()
    }

    fn set(&self, active: Arc<Active>) {
        self.active.lock().expect("no holder panics").replace(active);
    }

    pub(crate) fn clear(&self) {
        self.active.lock().expect("no holder panics").take();
    }

    pub(crate) fn add_job(&self, job: &Job) {
        if let Some(active) = self.get() {
            active.update(|scheduler| scheduler.add_job(job.clone()));
        }
    }

    pub(crate) fn cancel(&self, id: JobId, now: Moment) {
        if let Some(active) = self.get() {
            active.update(|scheduler| scheduler.cancel(id, now));
        }
    }

    pub(crate) fn state(&self, id: JobId, may_see: impl Fn(Option<&CustomerId>) -> bool) -> StateOutcome {
        let Some(active) = self.get() else { return StateOutcome::Unavailable };
        let scheduler = active.lock();
        match scheduler.job(id) {
            None => StateOutcome::NoSuchJob,
            Some((_, owner, _)) if !may_see(owner) => StateOutcome::NotYours,
            Some((state, _, _)) => StateOutcome::Found(state),
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

/// Schedules until another is elected, or until it is dropped.
pub(crate) async fn run(settings: &Settings, parts: &Parts, slot: &ActiveSlot, fence: Fence) {
    let Some(configuration) = parts.view.configuration() else { return };
    let clock = parts.view.clock();
    let mut scheduler = Scheduler::new(fence, clock.now(), settings.timing.clone(), configuration.policy.clone());
    let known_to = restore(parts, &mut scheduler).await;
    let links = Links::new(parts.clone(), settings.timing.lease);
    let active = Arc::new(Active::new(scheduler, links));
    log::info!("event=scheduling fence={fence} revision={known_to} {:?}", active.lock().counts());
    slot.set(Arc::clone(&active));
    let tasks = [
        smol::spawn(follow_intake(parts.clone(), Arc::clone(&active), known_to)),
        smol::spawn(directory::follow_servers(parts.clone(), Arc::clone(&active))),
        smol::spawn(writer::run(parts.clone(), Arc::clone(&active))),
        smol::spawn(plan(parts.clone(), Arc::clone(&active), configuration.version)),
    ];
    let _ = active.deposed.1.recv().await;
    drop(tasks);
}

/// Reads what the store holds. The returned revision is where the intake is known to.
async fn restore(parts: &Parts, scheduler: &mut Scheduler) -> Revision {
    let intake = read(parts, keys::INTAKE).await;
    let mut cancelled = Vec::new();
    for item in &intake.items {
        match keys::intake(&item.key) {
            Some(Intake::Job(id)) => add_job(scheduler, id, item),
            Some(Intake::Cancel(id)) => cancelled.push(id),
            None => log::warn!("event=key_unknown key={}", item.key),
        }
    }
    for item in read(parts, keys::PROGRESS).await.items {
        let progress: Result<Progress, _> = serde_json::from_slice(&item.value);
        match (keys::occurrence(&item.key), progress) {
            (Some(id), Ok(progress)) => scheduler.restore(id, progress, item.revision),
            (_, Err(e)) => log::error!("event=progress_unreadable key={} why={e}", item.key),
            (None, _) => log::warn!("event=key_unknown key={}", item.key),
        }
    }
    for id in cancelled {
        scheduler.cancel(id, parts.view.clock().now());
    }
    intake.at
}

async fn read(parts: &Parts, prefix: &str) -> Snapshot {
    let mut backoff = Backoff::new();
    loop {
        let result: Result<Snapshot, StoreError> = parts.store.range(prefix.to_owned()).await;
        match result {
            Ok(snapshot) => return snapshot,
            Err(e) => {
                log::info!("event=read_failed prefix={prefix} why={e}");
                backoff.wait().await;
            }
        }
    }
}

fn add_job(scheduler: &mut Scheduler, id: JobId, item: &Item) {
    match serde_json::from_slice::<Job>(&item.value) {
        Ok(job) => scheduler.add_job(job),
        Err(e) => log::error!("job={id} event=job_unreadable why={e}"),
    }
}

async fn follow_intake(parts: Parts, active: Arc<Active>, from: Revision) {
    let on = |seen: Seen| {
        let items: Vec<Item> = match seen {
            Seen::All(items) => items,
            Seen::Changes(changes) => changes
                .into_iter()
                .filter_map(|change| match change {
                    Change::Put(item) => Some(item),
                    Change::Removed { .. } => None,
                })
                .collect(),
        };
        active.update(|scheduler| take_intake(scheduler, &items, parts.view.clock().now()));
    };
    follow(&*parts.store, &parts.view, keys::INTAKE, Some(from), WATCH_WAIT, on).await;
}

fn take_intake(scheduler: &mut Scheduler, items: &[Item], now: Moment) {
    for item in items {
        if let Some(Intake::Job(id)) = keys::intake(&item.key)
            && scheduler.job(id).is_none()
        {
            add_job(scheduler, id, item);
        }
    }
    for item in items {
        if let Some(Intake::Cancel(id)) = keys::intake(&item.key) {
            scheduler.cancel(id, now);
        }
    }
}

/// Plans whenever something has happened, and now and then; at most a quarter of the time goes into it.
async fn plan(parts: Parts, active: Arc<Active>, mut version: u64) {
    let clock = parts.view.clock();
    loop {
        let happened = async {
            let _ = active.plan.1.recv().await;
            smol::Timer::after(PLAN_AFTER.into()).await;
        };
        let tick = async {
            smol::Timer::after(PLAN_EVERY.into()).await;
        };
        futures_lite::FutureExt::or(happened, tick).await;
        let newer = parts.view.configuration().filter(|newest| newest.version > version);
        let begun = std::time::Instant::now();
        let (now, wall_ms) = (clock.now(), clock.wall_ms());
        let _ = active.plan.1.try_recv();
        active.update(|scheduler| {
            if let Some(newer) = newer {
                version = newer.version;
                scheduler.set_policy(newer.policy.clone());
            }
            scheduler.tick(now);
            scheduler.plan(now, wall_ms);
            // Planning's own changes are no reason to plan again.
            scheduler.take_plan_wanted();
        });
        let took = begun.elapsed();
        metrics::histogram!("martenscale_plan_seconds").record(took.as_secs_f64());
        smol::Timer::after(took * PLAN_REST).await;
    }
}
