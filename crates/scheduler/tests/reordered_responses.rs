//! Responses of witnesses that reach the scheduler out of order.
//!
//! Guards against counting the end of an earlier scheduler's renewals from the response that is delivered last rather
//! than from the latest one.

mod common;

use common::{Fixture, job, server_id, step};
use model::{BackendServerId, Duration, Incarnation};
use scheduler::{Listing, WitnessRecord};

fn witnesses(ids: &[BackendServerId]) -> WitnessRecord {
    let lives: Vec<String> = ids.iter().map(|id| format!("\"{id}\":1000")).collect();
    serde_json::from_str(&format!("{{\"lives\":{{{}}}}}", lives.join(","))).expect("it is a valid record")
}

/// Two call loops read the clock before they wait for the scheduler's lock. Whichever comes first, an earlier scheduler
/// counts a witness until it has responded to the new one.
#[test]
fn the_latest_of_the_responses_that_outvote_an_earlier_scheduler_counts() {
    let mut fixture = Fixture::new(7);
    fixture.submit(job(1, vec![step(1, 1)]));
    let server = fixture.start_all().remove(0).server;
    let ids: Vec<BackendServerId> = (0..7).map(server_id).filter(|id| *id != server).collect();
    fixture.lose_unnoticed(&server);
    for id in &ids {
        fixture.stop_responding(id);
    }
    fixture.set_stored_witnesses(Some(witnesses(&ids)), true);
    fixture.elect_next();
    let elected = fixture.now;
    let listing = Listing { incarnation: Some(Incarnation(1000)), ..Listing::default() };
    let (early, late) = (elected + Duration::from_millis(1000), elected + Duration::from_millis(7000));
    fixture.now = late;
    fixture.scheduler.listing(&ids[0], &listing, late, late);
    fixture.scheduler.listing(&ids[1], &listing, early, early);
    fixture.add_server(20);
    while fixture.start_all().is_empty() {
        fixture.advance(50);
        assert!(fixture.now.since(elected) < Duration::from_secs(20), "it does not run again");
    }
    let after = fixture.now.since(late);
    assert!(
        after >= Duration::from_millis(5000),
        "renewed up to 2 s after {late:?}, for 3 s; restarted {after} after it"
    );
}
