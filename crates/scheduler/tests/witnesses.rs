//! Witnesses: a scheduler that the store does not confirm renews leases only while the stored witnesses confirm it, so
//! that its successor need not wait for all renewals that it may make.
//!
//! Guards against a run that restarts only 14.5 s after an election because it was lost together with its scheduler:
//! the next one could not determine whether the earlier one was alive, cut off with the backend server that it did not
//! reach itself.

mod common;

use common::{Fixture, info, job, job_in, policy, server_id, step, world::World};
use jobs::Fence;
use model::{AvailabilityZoneId, BackendServerId, Duration, Incarnation, Moment, Revision};
use scheduler::{Listing, Scheduler, ServerInfo, Timing, WitnessRecord};

const INCARNATION: Incarnation = Incarnation(1000);
const ELECTED: Moment = Moment::from_millis(10_000);
/// Maximum time for which a job may be stalled after a disturbance (platform rules).
const STALL_LIMIT_AFTER_DISTURBANCE: Duration = Duration::from_millis(7000);
/// Wait of a scheduler without stored records: 8 s of renewals, and a lease of 6 s on the slowest clock.
const FULL_WAIT: Duration = Duration::from_millis(14_000);

fn after(ms: u64) -> Moment {
    ELECTED + Duration::from_millis(ms)
}

/// Delivers the response to a call that was just sent.
fn respond_as(scheduler: &mut Scheduler, i: usize, incarnation: Incarnation, now: Moment) {
    let listing = Listing { incarnation: Some(incarnation), ..Listing::default() };
    scheduler.listing(&server_id(i), &listing, now, now);
}

fn respond(scheduler: &mut Scheduler, servers: impl IntoIterator<Item = usize>, now: Moment) {
    for i in servers {
        respond_as(scheduler, i, INCARNATION, now);
    }
}

/// Returns a scheduler elected at `ELECTED` that tracks so many backend servers.
fn elected(fence: u64, servers: usize) -> Scheduler {
    let mut scheduler = Scheduler::new(Fence(fence), ELECTED, Timing::default(), policy());
    for i in 0..servers {
        scheduler.server_listed(server_id(i), info(i % 8), ELECTED);
    }
    scheduler
}

/// Returns a scheduler that has received responses of all of them and stored its witnesses.
fn with_witnesses(servers: usize) -> (Scheduler, WitnessRecord) {
    let mut scheduler = elected(10, servers);
    scheduler.restore_witnesses(None, Revision(0), false);
    respond(&mut scheduler, 0..servers, ELECTED);
    let write = scheduler.next_witness_write(after(1000)).expect("none are stored");
    let record = write.record.clone();
    scheduler.witnesses_stored(write, Revision(20));
    (scheduler, record)
}

fn may_renew(scheduler: &Scheduler, confirmed: Moment, now: Moment) -> bool {
    scheduler.lease_now(confirmed, now).is_some()
}

#[test]
fn a_scheduler_renews_while_the_store_responds_to_no_one() {
    let (mut scheduler, _) = with_witnesses(6);
    let confirmed = after(2000);
    assert_eq!(scheduler.lease_now(confirmed, confirmed), Some(Duration::from_secs(6)));
    for ms in (2500..=10_000).step_by(500) {
        respond(&mut scheduler, 0..6, after(ms));
        assert_eq!(scheduler.lease_now(confirmed, after(ms)), Some(Duration::from_secs(3)), "after {ms} ms");
    }
    respond(&mut scheduler, 0..6, after(10_001));
    assert!(!may_renew(&scheduler, confirmed, after(10_001)), "8 s without a reply of the store");
}

#[test]
fn a_scheduler_cut_off_with_at_most_two_thirds_of_the_witnesses_renews_nothing() {
    for (responded, of, may) in
        [(0, 1, false), (1, 1, true), (1, 2, false), (2, 3, false), (3, 3, true), (4, 6, false), (5, 6, true)]
    {
        let (mut scheduler, _) = with_witnesses(of);
        let confirmed = after(2000);
        respond(&mut scheduler, 0..responded, after(5000));
        assert_eq!(may_renew(&scheduler, confirmed, after(5000)), may, "{responded} of {of} have responded");
    }
}

/// Only responses to recent calls count, however late they arrive: a connection may hang, or a machine be suspended.
#[test]
fn responses_to_old_calls_confirm_no_scheduler() {
    let (mut scheduler, _) = with_witnesses(3);
    let confirmed = after(2000);
    for i in 0..3 {
        let listing = Listing { incarnation: Some(INCARNATION), ..Listing::default() };
        scheduler.listing(&server_id(i), &listing, after(3000), after(5500));
    }
    assert!(!may_renew(&scheduler, confirmed, after(5500)));
    respond(&mut scheduler, 0..3, after(5500));
    assert!(may_renew(&scheduler, confirmed, after(7500)));
    assert!(!may_renew(&scheduler, confirmed, after(7501)));
}

/// A witness is one incarnation; another one under its id has accepted no scheduler.
#[test]
fn another_incarnation_of_a_witness_confirms_no_scheduler() {
    let (mut scheduler, _) = with_witnesses(3);
    respond(&mut scheduler, 0..2, after(5000));
    respond_as(&mut scheduler, 2, Incarnation(4000), after(5000));
    assert!(!may_renew(&scheduler, after(2000), after(5000)));
}

/// Backend servers that joined become witnesses only once the store holds them as such.
#[test]
fn backend_servers_that_joined_since_do_not_count() {
    let (mut scheduler, _) = with_witnesses(3);
    for i in 3..8 {
        scheduler.server_listed(server_id(i), info(i), after(1000));
    }
    respond(&mut scheduler, 1..8, after(5000));
    assert!(!may_renew(&scheduler, after(2000), after(5000)), "7 of 8 respond, and 2 of 3 witnesses");
}

#[test]
fn while_a_write_of_witnesses_has_an_unknown_outcome_both_sets_must_confirm() {
    let (mut scheduler, first) = with_witnesses(3);
    for i in 3..8 {
        scheduler.server_listed(server_id(i), info(i), after(1000));
    }
    respond(&mut scheduler, 0..8, after(3500));
    let second = scheduler.next_witness_write(after(3500)).expect("there are more to choose from");
    assert_ne!(second.record, first);
    respond(&mut scheduler, 2..8, after(6000));
    assert!(!may_renew(&scheduler, after(2000), after(6000)), "6 of 8 respond, and 1 of 3");
    respond(&mut scheduler, 0..1, after(6000));
    assert!(!may_renew(&scheduler, after(2000), after(6000)), "7 of 8 respond, and 2 of 3");
    scheduler.witnesses_stored(second, Revision(30));
    assert!(may_renew(&scheduler, after(2000), after(6000)), "the store holds the eight alone");
}

#[test]
fn without_stored_witnesses_no_unconfirmed_scheduler_renews() {
    let mut scheduler = elected(10, 3);
    scheduler.restore_witnesses(None, Revision(0), false);
    respond(&mut scheduler, 0..3, after(3000));
    assert!(!may_renew(&scheduler, after(2000), after(3000)));
    scheduler.next_witness_write(after(3000)).expect("none are stored");
    assert!(!may_renew(&scheduler, after(2000), after(3000)), "the write may not have taken effect");
}

/// Witnesses of an earlier scheduler are not replaced while it may rely on them.
#[test]
fn witnesses_stay_until_no_earlier_scheduler_can_rely_on_them() {
    let (_, record) = with_witnesses(6);
    let next = |responded: usize| {
        let mut scheduler = elected(11, 9);
        scheduler.restore_witnesses(Some(record.clone()), Revision(20), true);
        respond(&mut scheduler, (6 - responded)..9, after(600));
        scheduler
    };
    assert!(next(1).next_witness_write(after(4000)).is_none(), "five of six may respond to another scheduler");
    assert!(next(2).next_witness_write(after(4000)).is_some());
    assert!(next(1).next_witness_write(after(8001)).is_some(), "none renews for longer");
    let mut next_scheduler = next(1);
    next_scheduler.earlier_terms_ended(after(1000));
    assert!(next_scheduler.next_witness_write(after(4000)).is_some());
}

/// Returns how long a run on an unreachable backend server waits to run again if so many of six witnesses respond to
/// the new scheduler; `binding` says whether earlier schedulers renew by witnesses only.
fn wait_until_rerun(responded: usize, record: &WitnessRecord, binding: bool) -> Duration {
    let mut fixture = Fixture::new(7);
    fixture.submit(job(1, vec![step(1, 1)]));
    let server = fixture.start_all().remove(0).server;
    let witnesses: Vec<BackendServerId> = (0..7).map(server_id).filter(|id| *id != server).collect();
    let unresponsive: Vec<BackendServerId> = witnesses[responded..].to_vec();
    fixture.lose_unnoticed(&server);
    for id in &unresponsive {
        fixture.stop_responding(id);
    }
    fixture.set_stored_witnesses(Some(renamed(record, &witnesses)), binding);
    fixture.elect_next();
    let from = fixture.now;
    while fixture.start_all().is_empty() {
        fixture.advance(50);
        assert!(fixture.now.since(from) < Duration::from_secs(20), "it does not run again");
    }
    fixture.now.since(from)
}

/// Returns the same witnesses under other ids.
fn renamed(record: &WitnessRecord, ids: &[BackendServerId]) -> WitnessRecord {
    let mut text = serde_json::to_string(record).expect("it serializes");
    for (i, id) in ids.iter().enumerate() {
        text = text.replace(&format!("\"{}\"", server_id(i)), &format!("\"new-{id}\""));
    }
    serde_json::from_str(&text.replace("new-", "")).expect("only ids have changed")
}

#[test]
fn a_third_of_the_witnesses_ends_the_wait_for_earlier_renewals() {
    let (_, record) = with_witnesses(6);
    for responded in 2..=6 {
        let waited = wait_until_rerun(responded, &record, true);
        assert!(
            waited <= STALL_LIMIT_AFTER_DISTURBANCE,
            "{responded} of 6 have responded: it runs again after {waited}"
        );
        assert!(waited >= Duration::from_secs(6), "{responded} of 6 have responded: it runs again after {waited}");
    }
}

#[test]
fn the_full_wait_remains_if_fewer_respond() {
    let (_, record) = with_witnesses(6);
    let waited = wait_until_rerun(1, &record, true);
    assert!(waited > FULL_WAIT, "it runs again after {waited}");
}

/// A scheduler of an earlier version renews without witnesses.
#[test]
fn the_full_wait_remains_if_an_earlier_scheduler_does_not_renew_by_witnesses() {
    let (_, record) = with_witnesses(6);
    let waited = wait_until_rerun(6, &record, false);
    assert!(waited > FULL_WAIT, "it runs again after {waited}");
}

/// The later the witnesses respond, the later an earlier scheduler can have renewed.
#[test]
fn renewals_are_counted_from_the_responses_of_the_witnesses() {
    let timing = Timing::default();
    let at_once = timing.outvoted_lease_expiry(ELECTED, ELECTED);
    assert_eq!(at_once, timing.lease_expiry(ELECTED), "whole leases were granted up to the election");
    let late = timing.outvoted_lease_expiry(ELECTED, after(4000));
    assert!(late.since(after(4000)) >= timing.witness_window + timing.unconfirmed_lease);
    assert!(late < timing.earlier_lease_expiry(ELECTED));
}

/// A partitioned availability zone holds no more witnesses than any other, however many backend servers it has.
#[test]
fn witnesses_are_balanced_over_availability_zones() {
    let mut scheduler = Scheduler::new(Fence(10), ELECTED, Timing::default(), policy());
    scheduler.restore_witnesses(None, Revision(0), false);
    let zone = |i: usize| -> AvailabilityZoneId { format!("az-{}", i.min(2)).parse().expect("it is a valid id") };
    for i in 0..90 {
        let zone = zone(if i < 20 { i % 2 } else { 2 });
        let info = ServerInfo { availability_zone: zone, ..info(0) };
        scheduler.server_listed(server_id(i), info, ELECTED);
    }
    respond(&mut scheduler, 0..90, ELECTED);
    let write = scheduler.next_witness_write(after(1000)).expect("none are stored");
    let text = serde_json::to_string(&write.record).expect("it serializes");
    let count =
        |range: std::ops::Range<usize>| range.filter(|i| text.contains(&format!("\"{}\"", server_id(*i)))).count();
    assert_eq!((count(0..20), count(20..90)), (20, 10));
}

/// Two schedulers run side by side for 14 s, each reaching what the other does not: only one may continue with what it
/// reaches, and the other can tell.
#[test]
fn nothing_runs_twice_however_many_backend_servers_an_earlier_scheduler_reaches() {
    let mut restarted_runs = Vec::new();
    for reached_by_old in 0..=8 {
        let mut world = World::new(8, 1);
        world.work_ms = Some(60_000);
        world.advance(1500);
        for id in 1..=4 {
            world.submit(job_in("urgent", id, vec![step(1, 8)]));
        }
        world.advance(4000);
        assert!(world.witnesses.is_some(), "there was time to choose them");
        let starts_before = world.start_count;
        // The first ones run something.
        let mask = (0..reached_by_old).fold(0u8, |mask, i| mask | 1 << i);
        world.elect_concurrent(mask, 0, 14_000);
        world.advance(6900);
        restarted_runs.push(world.start_count - starts_before);
        world.advance(9000);
    }
    // Three backend servers have capacity for three runs; two are less than a third of the witnesses.
    assert_eq!(
        restarted_runs,
        [0, 1, 2, 3, 4, 3, 0, 0, 0],
        "runs restarted in time, by the number of backend servers that the earlier scheduler reaches"
    );
}
