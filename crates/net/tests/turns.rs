//! Limit on concurrent calls.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use net::CallLimiter;

const SLOTS: usize = 8;
const CALLS: usize = 100;

#[test]
fn no_more_calls_are_in_flight_than_there_are_slots() {
    let limiter = CallLimiter::new(SLOTS, Duration::from_secs(60));
    let (in_flight, most, completed) = (Cell::new(0), Cell::new(0), Cell::new(0));
    let call = async || {
        in_flight.set(in_flight.get() + 1);
        most.set(most.get().max(in_flight.get()));
        smol::Timer::after(Duration::from_millis(2)).await;
        in_flight.set(in_flight.get() - 1);
        completed.set(completed.get() + 1);
    };
    let ex = smol::LocalExecutor::new();
    let calls: Vec<_> = (0..CALLS).map(|_| ex.spawn(limiter.run(call()))).collect();
    smol::block_on(ex.run(async {
        for call in calls {
            call.await;
        }
    }));
    assert_eq!((most.get(), completed.get()), (SLOTS, CALLS));
}

#[test]
fn calls_without_a_response_delay_others_only_by_their_slot_limit() {
    let limiter = CallLimiter::new(SLOTS, Duration::from_millis(5));
    let started = Cell::new(0);
    let unanswered = async || {
        started.set(started.get() + 1);
        std::future::pending::<()>().await;
    };
    let ex = smol::LocalExecutor::new();
    let _unanswered: Vec<_> = (0..CALLS).map(|_| ex.spawn(limiter.run(unanswered()))).collect();
    let begin = Instant::now();
    smol::block_on(ex.run(async {
        while started.get() < CALLS {
            smol::Timer::after(Duration::from_millis(1)).await;
        }
        limiter.run(async {}).await;
    }));
    // 100 calls without a response, 8 at a time, 5 ms each: 65 ms, far below the minute that a whole call may take.
    assert!(begin.elapsed() < Duration::from_secs(20), "{:?}", begin.elapsed());
}
