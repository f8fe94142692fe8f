//! Links to backend servers, one for each that is listed: opened, closed and given orders.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use model::{BackendServerId, Duration};
use net::Turns;
use scheduler::Order;
use smol::channel::Sender;

use crate::{
    active::Active,
    border::Target,
    leader::Parts,
    link_worker::{Worker, hold_loop, order_loop},
};

/// Orders that wait for one backend server; it is refused more. The channel has no bound of its own, since one that has
/// allocates room for all at once: a backend server cost a process 141 KB with it, and costs 30 KB without.
const MOST_ORDERS: usize = 1024;

/// So many backend servers are called for the first time at once: a new scheduler finds all of them to be called, and a box that
/// begins everywhere at once does nothing else meanwhile. With 3,000 on a quarter of a core, the renewal of its election came too late
/// (1 s), and one box after another was elected and lost it, for 6 s after a loss of all boxes.
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
    parts: Parts,
    /// How long each renewal keeps what runs.
    lease: Duration,
    by_id: Mutex<HashMap<BackendServerId, Link>>,
    /// Whom links that were closed led to: another life that answers there tells that the one before has ended.
    closed: Mutex<HashMap<SocketAddr, BackendServerId>>,
    first_calls: Arc<Turns>,
}

impl Links {
    pub(crate) fn new(parts: Parts, lease: Duration) -> Links {
        Links {
            parts,
            lease,
            by_id: Mutex::default(),
            closed: Mutex::default(),
            first_calls: Arc::new(Turns::new(FIRST_CALLS, FIRST_TURN)),
        }
    }

    /// Opens a link unless there is one. A backend server that comes back under its id may do so at another address.
    pub(crate) fn open(&self, target: &Target, active: &Arc<Active>) {
        let mut links = self.by_id.lock().expect("no holder panics");
        if links.get(&target.id).is_some_and(|link| link.target.addr == target.addr) {
            return;
        }
        self.closed.lock().expect("no holder panics").retain(|_, id| *id != target.id);
        if let Some(moved) = links.remove(&target.id) {
            self.parts.servers.forget(&moved.target);
        }
        let (orders, order_rx) = smol::channel::unbounded();
        let (stored, stored_rx) = smol::channel::bounded(1);
        let worker = Worker {
            parts: self.parts.clone(),
            lease: self.lease,
            target: target.clone(),
            active: Arc::downgrade(active),
            first_calls: Arc::clone(&self.first_calls),
        };
        let tasks = [smol::spawn(hold_loop(worker.clone(), stored_rx)), smol::spawn(order_loop(worker, order_rx))];
        links.insert(target.id.clone(), Link { target: target.clone(), orders, stored, _tasks: tasks });
    }

    /// Whether there is a link.
    pub(crate) fn is_open(&self, id: &BackendServerId) -> bool {
        self.by_id.lock().expect("no holder panics").contains_key(id)
    }

    /// Closes a link.
    pub(crate) fn close(&self, id: &BackendServerId) {
        let link = self.by_id.lock().expect("no holder panics").remove(id);
        if let Some(link) = link {
            self.parts.servers.forget(&link.target);
            self.closed.lock().expect("no holder panics").insert(link.target.addr, link.target.id);
        }
    }

    /// Backend servers that were at an address before.
    pub(crate) fn replaced_by(&self, target: &Target) -> Vec<BackendServerId> {
        let links = self.by_id.lock().expect("no holder panics");
        let replaced = links.values().filter(|link| link.target.addr == target.addr && link.target.id != target.id);
        let closed = self.closed.lock().expect("no holder panics").get(&target.addr).cloned();
        replaced.map(|link| link.target.id.clone()).chain(closed.filter(|id| *id != target.id)).collect()
    }

    /// Queues an order.
    pub(crate) fn send(&self, order: Order) {
        let (server, task) = order.subject();
        let server = server.clone();
        let links = self.by_id.lock().expect("no holder panics");
        let has_room = |link: &&Link| link.orders.len() < MOST_ORDERS;
        let sent = links.get(&server).filter(has_room).is_some_and(|link| link.orders.try_send(order).is_ok());
        if !sent {
            log::warn!("job={} event=order_dropped task={task} server={server}", task.occurrence.job);
        }
    }

    /// The store has taken something, so that more ends may be acknowledged to these backend servers.
    pub(crate) fn tell_stored(&self, ids: &[BackendServerId]) {
        let links = self.by_id.lock().expect("no holder panics");
        for link in ids.iter().filter_map(|id| links.get(id)) {
            // A full channel holds the news already.
            let _ = link.stored.try_send(());
        }
    }
}
