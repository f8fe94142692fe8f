//! Links to backend servers: each is held by one loop of renewals, and given its orders in turn by another.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use model::{BackendServerId, Duration};
use scheduler::{Order, StartReply};
use smol::channel::{Receiver, Sender};

use crate::{
    border::{Hold, HoldReply, Start, StopReply, Target},
    follow::Backoff,
    leader::{Active, Parts},
    measure,
};

/// How long a renewal waits for an end while something runs: also how old a lease gets before it is renewed.
const BUSY_WAIT: Duration = Duration::from_millis(1000);
/// The same while nothing runs.
const IDLE_WAIT: Duration = Duration::from_millis(2000);
/// Ends are acknowledged with the next renewal, which waits this long at most for the store to hold them.
const STORE_WAIT: Duration = Duration::from_millis(400);
/// Orders that wait for one backend server; it is refused more.
const MOST_ORDERS: usize = 1024;

struct Link {
    target: Target,
    orders: Sender<Order>,
    stored: Sender<()>,
    /// Dropping them ends the link.
    _tasks: [smol::Task<()>; 2],
}

/// The links of one scheduler.
pub(crate) struct Links {
    parts: Parts,
    lease: Duration,
    by_id: Mutex<HashMap<BackendServerId, Link>>,
}

impl Links {
    pub(crate) fn new(parts: Parts, lease: Duration) -> Links {
        Links { parts, lease, by_id: Mutex::default() }
    }

    /// Opens a link unless there is one.
    pub(crate) fn open(&self, target: &Target, active: &Arc<Active>) {
        let mut links = self.by_id.lock().expect("no holder panics");
        if links.contains_key(&target.id) {
            return;
        }
        let (orders, order_rx) = smol::channel::bounded(MOST_ORDERS);
        let (stored, stored_rx) = smol::channel::bounded(1);
        let worker = Worker {
            parts: self.parts.clone(),
            lease: self.lease,
            target: target.clone(),
            active: Arc::downgrade(active),
        };
        let tasks = [smol::spawn(hold_loop(worker.clone(), stored_rx)), smol::spawn(order_loop(worker, order_rx))];
        links.insert(target.id.clone(), Link { target: target.clone(), orders, stored, _tasks: tasks });
    }

    /// Closes a link.
    pub(crate) fn close(&self, id: &BackendServerId) {
        let link = self.by_id.lock().expect("no holder panics").remove(id);
        if let Some(link) = link {
            self.parts.servers.forget(&link.target);
        }
    }

    /// Backend servers that were at an address before.
    pub(crate) fn replaced_by(&self, target: &Target) -> Vec<BackendServerId> {
        let links = self.by_id.lock().expect("no holder panics");
        let replaced = links.values().filter(|link| link.target.addr == target.addr && link.target.id != target.id);
        replaced.map(|link| link.target.id.clone()).collect()
    }

    /// Queues an order.
    pub(crate) fn send(&self, order: Order) {
        let (Order::Start { server, task, .. } | Order::Stop { server, task, .. }) = &order;
        let (server, task) = (server.clone(), *task);
        let links = self.by_id.lock().expect("no holder panics");
        let sent = links.get(&server).is_some_and(|link| link.orders.try_send(order).is_ok());
        if !sent {
            log::warn!("job={} event=order_dropped task={task} server={server}", task.occurrence.job);
        }
    }

    /// The store has taken something: ends may be acknowledged now.
    pub(crate) fn tell_stored(&self) {
        for link in self.by_id.lock().expect("no holder panics").values() {
            // A full channel holds the news already.
            let _ = link.stored.try_send(());
        }
    }
}

#[derive(Clone)]
struct Worker {
    parts: Parts,
    lease: Duration,
    target: Target,
    active: std::sync::Weak<Active>,
}

/// What the next renewal carries.
struct NextHold {
    hold: Hold,
    renews: bool,
}

impl Worker {
    fn now(&self) -> model::Moment {
        self.parts.view.clock().now()
    }

    /// `None` once the backend server is of no interest any more.
    fn next_hold(&self, active: &Active, answered: bool) -> Option<NextHold> {
        let id = &self.target.id;
        let now = self.now();
        let mut scheduler = active.lock();
        if !scheduler.knows(id) {
            return None;
        }
        // An unanswered call may have renewed the lease, so one that is out of reach is only asked, not renewed.
        let renews = answered;
        if renews {
            scheduler.lease_sent(id, now);
        }
        let wait = match (answered, scheduler.is_busy(id)) {
            (false, _) => Duration::ZERO,
            (true, true) => BUSY_WAIT,
            (true, false) => IDLE_WAIT,
        };
        let hold = Hold {
            fence: scheduler.fence(),
            acknowledged: scheduler.acknowledged(id),
            lease: renews.then_some(self.lease),
            wait,
        };
        Some(NextHold { hold, renews })
    }
}

async fn hold_loop(worker: Worker, stored: Receiver<()>) {
    let mut backoff = Backoff::new();
    let mut answered = false;
    let id = worker.target.id.clone();
    while let Some(active) = worker.active.upgrade() {
        let Some(next) = worker.next_hold(&active, answered) else { break };
        let _ = stored.try_recv();
        let sent = worker.now();
        match worker.parts.servers.hold(worker.target.clone(), next.hold).await {
            Ok(HoldReply::Listing(listing)) => {
                measure::server_call("hold", "answered");
                answered = true;
                backoff.reset();
                let now = worker.now();
                active.update(|scheduler| scheduler.listing(&id, &listing, sent, now));
                wait_for_store(&active, &id, &stored).await;
            }
            Ok(HoldReply::Fenced) => {
                measure::server_call("hold", "fenced");
                log::info!("event=deposed fence={} why=fenced_by server={id}", active.fence);
                active.depose();
                return;
            }
            Ok(HoldReply::Gone) => {
                measure::server_call("hold", "gone");
                let now = worker.now();
                active.update(|scheduler| scheduler.server_gone(&id, now));
                break;
            }
            Err(e) => {
                measure::server_call("hold", "lost");
                log::debug!("server={id} event=hold_failed renews={} why={e}", next.renews);
                answered = false;
                active.update(|scheduler| scheduler.unanswered(&id));
                backoff.wait().await;
            }
        }
    }
    // The platform may list the same life again: a new link is opened then.
    if let Some(active) = worker.active.upgrade() {
        active.links.close(&id);
    }
}

/// Waits until the ends that were just listed are stored, so that the next renewal acknowledges them.
async fn wait_for_store(active: &Active, id: &BackendServerId, stored: &Receiver<()>) {
    let until = smol::Timer::after(STORE_WAIT.into());
    let taken = async {
        while active.lock().has_pending_ends(id) {
            if stored.recv().await.is_err() {
                return;
            }
        }
    };
    futures_lite::FutureExt::or(taken, async {
        until.await;
    })
    .await;
}

async fn order_loop(worker: Worker, orders: Receiver<Order>) {
    while let Ok(order) = orders.recv().await {
        let Some(active) = worker.active.upgrade() else { return };
        match order {
            Order::Start { task, run, text, saved, .. } => {
                active.lock().lease_sent(&worker.target.id, worker.now());
                let start = Start { fence: active.fence, task, run, text, saved, lease: worker.lease };
                let reply = worker.parts.servers.start(worker.target.clone(), start).await;
                log::info!(
                    "job={} event=start task={task} run={run} server={} fence={} outcome={reply:?}",
                    task.occurrence.job,
                    worker.target.id,
                    active.fence
                );
                measure::server_call("start", start_outcome(reply));
                let now = worker.now();
                active.update(|s| s.start_replied(&worker.target.id, task, run, reply, now));
                if reply == StartReply::Gone {
                    return;
                }
            }
            Order::Stop { task, run, .. } => {
                let reply = worker.parts.servers.stop(worker.target.clone(), active.fence, task, run).await;
                log::info!(
                    "job={} event=stop task={task} run={run} server={} fence={} outcome={reply:?}",
                    task.occurrence.job,
                    worker.target.id,
                    active.fence
                );
                measure::server_call("stop", if reply.is_ok() { "answered" } else { "lost" });
                let now = worker.now();
                match reply {
                    Ok(StopReply::Stopped) => active.update(|s| s.stop_replied(&worker.target.id, task, run, now)),
                    Ok(StopReply::Fenced) => active.depose(),
                    Ok(StopReply::Gone) => active.update(|s| s.server_gone(&worker.target.id, now)),
                    // The scheduler repeats it.
                    Err(_) => {}
                }
            }
        }
    }
}

fn start_outcome(reply: StartReply) -> &'static str {
    match reply {
        StartReply::Started => "started",
        StartReply::NoRoom => "no_room",
        StartReply::Refused => "refused",
        StartReply::Late => "late",
        StartReply::Fenced => "fenced",
        StartReply::Gone => "gone",
        StartReply::Unknown => "lost",
    }
}
