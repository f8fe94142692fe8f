//! Orders that wait to be sent to one backend server.
//!
//! A backend server may leave an order without a response, which then occupies its time limit. So a stop waits for at
//! most one other order, because a run that should have ended takes capacity and may belong to a cancelled job. And the
//! stop of a run is queued once, however often the scheduler repeats it: repetitions would pile up in front of what is
//! still needed.

use std::{
    collections::{HashSet, VecDeque},
    sync::{Mutex, MutexGuard},
};

use jobs::{RunNumber, TaskId};
use scheduler::Order;
use smol::channel::{Receiver, Sender};

/// Most orders queued for one backend server; further ones are rejected.
const MAX_QUEUED_ORDERS: usize = 1024;

/// A run that a stop concerns.
type Run = (TaskId, RunNumber);

#[derive(Debug, Default)]
struct Queued {
    stops: VecDeque<Order>,
    others: VecDeque<Order>,
    /// Whether the order taken last was a stop.
    took_stop: bool,
    /// Runs with a stop that is queued or in flight.
    stopping: HashSet<Run>,
}

/// Queue of the orders for one backend server. Stops and other orders alternate while there are both; each kind keeps
/// its order.
#[derive(Debug)]
pub struct OrderQueue {
    queued: Mutex<Queued>,
    /// Holds a token when there may be an order.
    signal: (Sender<()>, Receiver<()>),
}

impl Default for OrderQueue {
    fn default() -> OrderQueue {
        OrderQueue { queued: Mutex::default(), signal: smol::channel::bounded(1) }
    }
}

impl OrderQueue {
    fn lock(&self) -> MutexGuard<'_, Queued> {
        self.queued.lock().expect("no holder panics")
    }

    /// Queues an order. The stop of a run that has one queued or in flight is dropped. Returns the order as an error if
    /// the queue is full.
    pub fn push(&self, order: Order) -> Result<(), Order> {
        let mut queued = self.lock();
        if queued.stops.len() + queued.others.len() >= MAX_QUEUED_ORDERS {
            return Err(order);
        }
        match stopped_run(&order) {
            Some(run) if queued.stopping.insert(run) => queued.stops.push_back(order),
            Some(_) => return Ok(()),
            None => queued.others.push_back(order),
        }
        drop(queued);
        // A full channel already holds the token.
        let _ = self.signal.0.try_send(());
        Ok(())
    }

    /// Takes the next order, without waiting.
    pub fn pop(&self) -> Option<Order> {
        let mut queued = self.lock();
        let takes_stop = queued.others.is_empty() || !queued.took_stop && !queued.stops.is_empty();
        queued.took_stop = takes_stop;
        if takes_stop { queued.stops.pop_front() } else { queued.others.pop_front() }
    }

    /// Waits for the next order and takes it.
    pub(crate) async fn next(&self) -> Order {
        loop {
            if let Some(order) = self.pop() {
                return order;
            }
            // The queue holds the sender as well, so the channel never closes.
            let _ = self.signal.1.recv().await;
        }
    }

    /// Records that the stop of a run is no longer in flight, so that the next one is queued.
    pub fn stop_finished(&self, task: TaskId, run: RunNumber) {
        self.lock().stopping.remove(&(task, run));
    }
}

fn stopped_run(order: &Order) -> Option<Run> {
    match order {
        Order::Stop { task, run, .. } => Some((*task, *run)),
        Order::Start { .. } | Order::Throttle { .. } => None,
    }
}
