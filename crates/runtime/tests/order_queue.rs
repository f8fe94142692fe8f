//! Guards against stops that wait behind other orders to a backend server that leaves orders without a response.

use jobs::{JobId, OccurrenceId, RunNumber, TaskId};
use model::BackendServerId;
use runtime::order_queue::OrderQueue;
use scheduler::Order;

const RUN: RunNumber = RunNumber(1);

fn server() -> BackendServerId {
    "i-1".parse().expect("it is a valid id")
}

fn task(index: u32) -> TaskId {
    TaskId { occurrence: OccurrenceId { job: JobId(1), number: 0 }, step: 0, index }
}

fn stop(index: u32) -> Order {
    Order::Stop { server: server(), task: task(index), run: RUN }
}

fn throttle(index: u32) -> Order {
    Order::Throttle { server: server(), task: task(index), run: RUN, percent: 50 }
}

fn queue(orders: impl IntoIterator<Item = Order>) -> OrderQueue {
    let queue = OrderQueue::default();
    orders.into_iter().for_each(|order| queue.push(order).expect("the queue has room"));
    queue
}

/// Takes all orders and returns their indices, those of stops as negative numbers.
fn drain(queue: &OrderQueue) -> Vec<i64> {
    let index = |order: Order| {
        let index = i64::from(order.subject().1.index);
        if matches!(order, Order::Stop { .. }) { -index } else { index }
    };
    std::iter::from_fn(|| queue.pop()).map(index).collect()
}

#[test]
fn a_stop_waits_for_one_other_order_at_most() {
    let queue = queue((1..=3).map(throttle).chain((4..=6).map(stop)));
    assert_eq!(drain(&queue), [-4, 1, -5, 2, -6, 3]);
}

#[test]
fn other_orders_are_not_held_back_by_stops_without_end() {
    let queue = queue((1..=4).map(stop).chain([throttle(5), throttle(6)]));
    assert_eq!(drain(&queue), [-1, 5, -2, 6, -3, -4]);
}

#[test]
fn a_repeated_stop_is_dropped_until_the_earlier_one_is_finished() {
    let queue = queue([stop(1), stop(2), stop(1)]);
    assert_eq!(drain(&queue), [-1, -2]);
    queue.push(stop(1)).expect("the queue has room");
    assert_eq!(drain(&queue), [0_i64; 0], "the earlier one is in flight");
    queue.stop_finished(task(1), RUN);
    queue.push(stop(1)).expect("the queue has room");
    assert_eq!(drain(&queue), [-1]);
}

#[test]
fn a_full_queue_rejects_orders() {
    let queue = OrderQueue::default();
    let rejected = (0..2000).map(throttle).filter(|order| queue.push(order.clone()).is_err()).count();
    assert_eq!(rejected + drain(&queue).len(), 2000);
    assert!(rejected > 0, "memory per backend server is bounded");
}
