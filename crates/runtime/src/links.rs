//! Links to backend servers, one for each that is listed: opened, closed and given orders.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use model::{BackendServerId, Moment};
use net::CallLimiter;
use scheduler::Order;
use smol::channel::Sender;

use crate::{
    active::Active,
    addresses::Addresses,
    context::Context,
    link_worker::{Worker, heartbeat_loop, order_loop},
    platform::Target,
};

/// Orders that wait for one backend server; it is refused more. The channel has no bound of its own, since one that has
/// allocates room for all at once, for each backend server.
const MOST_ORDERS: usize = 1024;

/// So many backend servers are called for the first time at once: a new scheduler finds all of them to be called, and
/// a box that begins everywhere at once does nothing else meanwhile: the renewal of its election would come too late,
/// and the next box would do the same.
const FIRST_CALLS: usize = 48;
/// How long one that does not answer holds up the others.
const FIRST_TURN: std::time::Duration = std::time::Duration::from_millis(60);

/// An open link: its loops, and how they are reached.
struct Link {
    target: Target,
    orders: Sender<Order>,
    /// Takes a token when more ends may be acknowledged.
    stored: Sender<()>,
    /// Dropping them ends the link.
    _tasks: [smol::Task<()>; 2],
}

/// The links of one scheduler.
pub(crate) struct Links {
    cx: Context,
    /// Most links, but for those to backend servers that run something.
    most: usize,
    table: Mutex<Table>,
    first_calls: Arc<CallLimiter>,
}

#[derive(Default)]
struct Table {
    by_id: HashMap<BackendServerId, Link>,
    addresses: Addresses,
}

impl Links {
    pub(crate) fn new(cx: Context, most: usize) -> Links {
        Links { cx, most, table: Mutex::default(), first_calls: Arc::new(CallLimiter::new(FIRST_CALLS, FIRST_TURN)) }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().expect("no holder panics")
    }

    /// Whether the box can carry one more backend server.
    pub(crate) fn has_capacity(&self) -> bool {
        self.lock().by_id.len() < self.most
    }

    /// Whether it can carry so many in all.
    pub(crate) fn has_capacity_for(&self, servers: usize) -> bool {
        servers <= self.most
    }

    /// How many links there are.
    pub(crate) fn len(&self) -> usize {
        self.lock().by_id.len()
    }

    /// Opens a link unless there is one. A backend server that comes back under its id may do so at another address.
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
        let (orders, order_rx) = smol::channel::unbounded();
        let (stored, stored_rx) = smol::channel::bounded(1);
        let worker = Worker {
            cx: self.cx.clone(),
            target: target.clone(),
            active: Arc::downgrade(active),
            first_calls: Arc::clone(&self.first_calls),
        };
        let tasks = [smol::spawn(heartbeat_loop(worker.clone(), stored_rx)), smol::spawn(order_loop(worker, order_rx))];
        table.by_id.insert(target.id.clone(), Link { target: target.clone(), orders, stored, _tasks: tasks });
    }

    /// Whether there is a link.
    pub(crate) fn is_open(&self, id: &BackendServerId) -> bool {
        self.lock().by_id.contains_key(id)
    }

    /// Closes a link.
    pub(crate) fn close(&self, id: &BackendServerId) {
        let mut table = self.lock();
        if let Some(link) = table.by_id.remove(id) {
            self.cx.servers.remove(&link.target);
            table.addresses.close(id, link.target.addr);
        }
    }

    /// Backend servers that were at an address before.
    pub(crate) fn previous_at_address(&self, target: &Target) -> Vec<BackendServerId> {
        self.lock().addresses.others_at(&target.id, target.addr)
    }

    /// Queues an order, or gives it back: there is no link, or too many orders wait there.
    pub(crate) fn send(&self, order: Order) -> Result<(), Order> {
        let (server, task) = order.subject();
        let table = self.lock();
        let link = table.by_id.get(server).filter(|link| link.orders.len() < MOST_ORDERS);
        let Some(link) = link else {
            log::warn!("job={} event=order_dropped task={task} server={server}", task.occurrence.job);
            return Err(order);
        };
        link.orders.try_send(order).map_err(smol::channel::TrySendError::into_inner)
    }

    /// The time on the box's own clock.
    pub(crate) fn now(&self) -> Moment {
        self.cx.view.clock().now()
    }

    /// The store has taken something, so that more ends may be acknowledged to these backend servers.
    pub(crate) fn notify_stored(&self, ids: &[BackendServerId]) {
        let table = self.lock();
        for link in ids.iter().filter_map(|id| table.by_id.get(id)) {
            // A full channel holds the news already.
            let _ = link.stored.try_send(());
        }
    }
}
