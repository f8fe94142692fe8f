//! Links of the scheduler to backend servers, one for each that is listed. A link sends heartbeats and orders; see
//! [`crate::link_worker`].

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use model::{BackendServerId, Moment};
use net::CallLimiter;
use scheduler::Order;
use smol::{channel::Sender, lock::Semaphore};

use crate::{
    active::Active,
    addresses::Addresses,
    context::Context,
    link_worker::{Worker, heartbeat_loop, order_loop},
    order_queue::OrderQueue,
    platform::Target,
    term_tasks::TermTasks,
};

/// Concurrent first calls to backend servers. A new scheduler has to call all of them, and a box that calls all at once
/// does nothing else meanwhile: the renewal of its election would come too late, and the next elected box would fail in
/// the same way.
const MAX_FIRST_CALLS: usize = 48;
/// Most orders, to all backend servers, that wait for a response beside a later one. Each occupies a connection, and so
/// a descriptor.
const MAX_UNANSWERED_ORDERS: usize = 128;
/// Longest time for which an unresponsive backend server blocks the first calls of others.
const FIRST_CALL_TURN: std::time::Duration = std::time::Duration::from_millis(60);

/// An open link: what its loops take from, and the loops themselves.
struct Link {
    target: Target,
    orders: Arc<OrderQueue>,
    /// Receives a token when more completions may be acknowledged.
    stored: Sender<()>,
    /// Dropping the tasks closes the link.
    _tasks: [smol::Task<()>; 2],
}

/// The links of a scheduler.
pub(crate) struct Links {
    cx: Context,
    /// Most links. Links to backend servers with runs are opened beyond it.
    max_links: usize,
    table: Mutex<Table>,
    first_calls: Arc<CallLimiter>,
    unanswered: Arc<Semaphore>,
}

#[derive(Default)]
struct Table {
    by_id: HashMap<BackendServerId, Link>,
    addresses: Addresses,
    /// Address at which each backend server was last reached, by this scheduler or by the one that placed its runs.
    reached: HashMap<BackendServerId, SocketAddr>,
}

impl Links {
    pub(crate) fn new(cx: Context, max_links: usize) -> Links {
        Links {
            cx,
            max_links,
            table: Mutex::default(),
            first_calls: Arc::new(CallLimiter::new(MAX_FIRST_CALLS, FIRST_CALL_TURN)),
            unanswered: Arc::new(Semaphore::new(MAX_UNANSWERED_ORDERS)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().expect("no holder panics")
    }

    /// Whether the box has capacity for one more link.
    pub(crate) fn has_capacity(&self) -> bool {
        self.lock().by_id.len() < self.max_links
    }

    /// Whether the box has capacity for this many links in total.
    pub(crate) fn has_capacity_for(&self, servers: usize) -> bool {
        servers <= self.max_links
    }

    /// Returns the number of open links.
    pub(crate) fn len(&self) -> usize {
        self.lock().by_id.len()
    }

    /// Opens a link unless there is one to the same address. A backend server that returns under its id may have
    /// another address; its earlier link is closed then.
    pub(crate) fn open(&self, target: &Target, active: &Arc<Active>) {
        let mut table = self.lock();
        if table.by_id.get(&target.id).is_some_and(|link| link.target.addr == target.addr) {
            return;
        }
        if let Some(moved) = table.by_id.remove(&target.id) {
            self.cx.servers.remove(&moved.target);
            table.addresses.move_away(&target.id, moved.target.addr);
        }
        table.addresses.open(&target.id, target.addr);
        let orders = Arc::new(OrderQueue::default());
        let (stored, stored_rx) = smol::channel::bounded(1);
        let worker = Worker {
            cx: self.cx.clone(),
            target: target.clone(),
            active: Arc::downgrade(active),
            first_calls: Arc::clone(&self.first_calls),
            unanswered: Arc::clone(&self.unanswered),
        };
        let term = TermTasks::new(active);
        let tasks = [
            term.spawn(heartbeat_loop(worker.clone(), stored_rx)),
            term.spawn(order_loop(worker, term.clone(), Arc::clone(&orders))),
        ];
        table.by_id.insert(target.id.clone(), Link { target: target.clone(), orders, stored, _tasks: tasks });
    }

    /// Whether there is a link to a backend server.
    pub(crate) fn is_open(&self, id: &BackendServerId) -> bool {
        self.lock().by_id.contains_key(id)
    }

    /// Closes the link to a backend server, if there is one.
    pub(crate) fn close(&self, id: &BackendServerId) {
        let mut table = self.lock();
        if let Some(link) = table.by_id.remove(id) {
            self.cx.servers.remove(&link.target);
            table.addresses.close(id, link.target.addr);
        }
    }

    /// Records that a backend server was reached at the address of `target`.
    pub(crate) fn record_reached(&self, target: &Target) {
        self.lock().reached.insert(target.id.clone(), target.addr);
    }

    /// Returns the address at which a backend server was last reached, if that is not the address of `target`. Its entry
    /// may then be that of an earlier incarnation, and a response of another process there says nothing about it.
    pub(crate) fn reached_elsewhere(&self, target: &Target) -> Option<SocketAddr> {
        self.lock().reached.get(&target.id).copied().filter(|addr| *addr != target.addr)
    }

    /// Removes what is known of a backend server that has ended.
    pub(crate) fn forget(&self, id: &BackendServerId) {
        self.lock().reached.remove(id);
    }

    /// Returns other backend servers that are or were linked at the address of `target`.
    pub(crate) fn previous_at_address(&self, target: &Target) -> Vec<BackendServerId> {
        self.lock().addresses.others_at(&target.id, target.addr)
    }

    /// Queues an order. Returns it as an error if there is no link or its queue is full.
    pub(crate) fn send(&self, order: Order) -> Result<(), Order> {
        let table = self.lock();
        let rejected = match table.by_id.get(order.subject().0) {
            Some(link) => link.orders.push(order),
            None => Err(order),
        };
        rejected.inspect_err(|order| {
            let (server, task) = order.subject();
            log::warn!("job={} event=order_dropped task={task} server={server}", task.occurrence.job);
        })
    }

    /// Returns the time by the clock of the box.
    pub(crate) fn now(&self) -> Moment {
        self.cx.view.clock().now()
    }

    /// Notifies the links of backend servers whose completions have been stored, so that they are acknowledged.
    pub(crate) fn notify_stored(&self, ids: &[BackendServerId]) {
        let table = self.lock();
        for link in ids.iter().filter_map(|id| table.by_id.get(id)) {
            // A full channel already holds the notification.
            let _ = link.stored.try_send(());
        }
    }
}
