//! Calls that take turns.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use net::Turns;

const AT_ONCE: usize = 8;
const CALLS: usize = 100;

#[test]
fn no_more_are_under_way_than_have_their_turn() {
    let turns = Turns::new(AT_ONCE, Duration::from_secs(60));
    let (under_way, most, answered) = (Cell::new(0), Cell::new(0), Cell::new(0));
    let call = async || {
        under_way.set(under_way.get() + 1);
        most.set(most.get().max(under_way.get()));
        smol::Timer::after(Duration::from_millis(2)).await;
        under_way.set(under_way.get() - 1);
        answered.set(answered.get() + 1);
    };
    let ex = smol::LocalExecutor::new();
    let calls: Vec<_> = (0..CALLS).map(|_| ex.spawn(turns.take(call()))).collect();
    smol::block_on(ex.run(async {
        for call in calls {
            call.await;
        }
    }));
    assert_eq!((most.get(), answered.get()), (AT_ONCE, CALLS));
}

#[test]
fn calls_without_an_answer_hold_up_the_others_for_their_turn_only() {
    let turns = Turns::new(AT_ONCE, Duration::from_millis(5));
    let begun = Cell::new(0);
    let silent = async || {
        begun.set(begun.get() + 1);
        std::future::pending::<()>().await;
    };
    let ex = smol::LocalExecutor::new();
    let _silent: Vec<_> = (0..CALLS).map(|_| ex.spawn(turns.take(silent()))).collect();
    let asked = Instant::now();
    smol::block_on(ex.run(async {
        while begun.get() < CALLS {
            smol::Timer::after(Duration::from_millis(1)).await;
        }
        turns.take(async {}).await;
    }));
    // 100 calls without an answer, 8 at once, 5 ms each: 65 ms. Far below the minute that a call may take in all.
    assert!(asked.elapsed() < Duration::from_secs(20), "{:?}", asked.elapsed());
}
