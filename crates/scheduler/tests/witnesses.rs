//! A scheduler that the store does not confirm renews leases only while the witnesses in the store vouch for it, so
//! that its successor need not wait for all the time for which it may.
//!
//! Seen on days of our own: what was lost together with its scheduler ran again 14.5 s after the election. The next
//! scheduler could not know whether the one before lived, cut off with the backend server that it did not reach
//! itself.

mod common;

use common::{Fixture, info, job, job_in, policy, server_id, step, world::World};
use jobs::Fence;
use model::{AvailabilityZoneId, BackendServerId, Duration, Incarnation, Moment, Revision};
use scheduler::{Listing, Scheduler, ServerInfo, Timing, WitnessRecord};

const LIFE: Incarnation = Incarnation(1000);
const BEGUN: Moment = Moment::from_millis(10_000);
/// A job may stand so long after a disturbance (users' rules).
const SOON: Duration = Duration::from_millis(7000);
/// What a scheduler waits for that knows nothing: 8 s of renewals, and a lease of 6 s on the slowest clock.
const LONG: Duration = Duration::from_millis(14_000);

fn after(ms: u64) -> Moment {
    BEGUN + Duration::from_millis(ms)
}

/// A backend server answers a call that was sent a moment before.
fn answers_as(scheduler: &mut Scheduler, i: usize, life: Incarnation, now: Moment) {
    let listing = Listing { incarnation: Some(life), ..Listing::default() };
    scheduler.listing(&server_id(i), &listing, now, now);
}

fn answer(scheduler: &mut Scheduler, servers: impl IntoIterator<Item = usize>, now: Moment) {
    for i in servers {
        answers_as(scheduler, i, LIFE, now);
    }
}

/// A scheduler elected at `BEGUN` that knows of so many backend servers.
fn elected(fence: u64, servers: usize) -> Scheduler {
    let mut scheduler = Scheduler::new(Fence(fence), BEGUN, Timing::default(), policy());
    for i in 0..servers {
        scheduler.server_listed(server_id(i), info(i % 8), BEGUN);
    }
    scheduler
}

/// One that has heard all of them and chosen witnesses, which the store has taken.
fn with_witnesses(servers: usize) -> (Scheduler, WitnessRecord) {
    let mut scheduler = elected(10, servers);
    scheduler.restore_witnesses(None, Revision(0), false);
    answer(&mut scheduler, 0..servers, BEGUN);
    let write = scheduler.next_witness_write(after(1000)).expect("none are stored");
    let note = write.record.clone();
    scheduler.witnesses_stored(write, Revision(20));
    (scheduler, note)
}

fn may_renew(scheduler: &Scheduler, confirmed: Moment, now: Moment) -> bool {
    scheduler.lease_now(confirmed, now).is_some()
}

#[test]
fn a_scheduler_goes_on_while_the_store_is_silent_for_all() {
    let (mut scheduler, _) = with_witnesses(6);
    let confirmed = after(2000);
    assert_eq!(scheduler.lease_now(confirmed, confirmed), Some(Duration::from_secs(6)));
    for ms in (2500..=10_000).step_by(500) {
        answer(&mut scheduler, 0..6, after(ms));
        assert_eq!(scheduler.lease_now(confirmed, after(ms)), Some(Duration::from_secs(3)), "after {ms} ms");
    }
    answer(&mut scheduler, 0..6, after(10_001));
    assert!(!may_renew(&scheduler, confirmed, after(10_001)), "8 s without a word of the store");
}

#[test]
fn one_that_is_cut_off_with_two_thirds_of_the_witnesses_or_fewer_renews_nothing() {
    for (heard, of, may) in
        [(0, 1, false), (1, 1, true), (1, 2, false), (2, 3, false), (3, 3, true), (4, 6, false), (5, 6, true)]
    {
        let (mut scheduler, _) = with_witnesses(of);
        let confirmed = after(2000);
        answer(&mut scheduler, 0..heard, after(5000));
        assert_eq!(may_renew(&scheduler, confirmed, after(5000)), may, "{heard} of {of} have answered");
    }
}

/// A connection may be held and silent, a machine may be suspended: only answers to calls that were sent lately count,
/// however late they come.
#[test]
fn what_was_asked_long_ago_vouches_for_nobody() {
    let (mut scheduler, _) = with_witnesses(3);
    let confirmed = after(2000);
    for i in 0..3 {
        let listing = Listing { incarnation: Some(LIFE), ..Listing::default() };
        scheduler.listing(&server_id(i), &listing, after(3000), after(5500));
    }
    assert!(!may_renew(&scheduler, confirmed, after(5500)));
    answer(&mut scheduler, 0..3, after(5500));
    assert!(may_renew(&scheduler, confirmed, after(7500)));
    assert!(!may_renew(&scheduler, confirmed, after(7501)));
}

/// A witness is one life. Another one under its id knows nothing of who schedules.
#[test]
fn another_life_of_a_witness_vouches_for_nobody() {
    let (mut scheduler, _) = with_witnesses(3);
    answer(&mut scheduler, 0..2, after(5000));
    answers_as(&mut scheduler, 2, Incarnation(4000), after(5000));
    assert!(!may_renew(&scheduler, after(2000), after(5000)));
}

/// Backend servers that joined are no witnesses before the store holds them as such.
#[test]
fn those_that_joined_since_do_not_count() {
    let (mut scheduler, _) = with_witnesses(3);
    for i in 3..8 {
        scheduler.server_listed(server_id(i), info(i), after(1000));
    }
    answer(&mut scheduler, 1..8, after(5000));
    assert!(!may_renew(&scheduler, after(2000), after(5000)), "7 of 8 answer, and 2 of 3 witnesses");
}

#[test]
fn while_a_write_of_witnesses_is_in_doubt_both_sets_must_vouch() {
    let (mut scheduler, first) = with_witnesses(3);
    for i in 3..8 {
        scheduler.server_listed(server_id(i), info(i), after(1000));
    }
    answer(&mut scheduler, 0..8, after(3500));
    let second = scheduler.next_witness_write(after(3500)).expect("there are more to choose from");
    assert_ne!(second.record, first);
    answer(&mut scheduler, 2..8, after(6000));
    assert!(!may_renew(&scheduler, after(2000), after(6000)), "6 of 8 answer, and 1 of 3");
    answer(&mut scheduler, 0..1, after(6000));
    assert!(!may_renew(&scheduler, after(2000), after(6000)), "7 of 8 answer, and 2 of 3");
    scheduler.witnesses_stored(second, Revision(30));
    assert!(may_renew(&scheduler, after(2000), after(6000)), "the store holds the eight alone");
}

#[test]
fn without_witnesses_in_the_store_nobody_goes_on() {
    let mut scheduler = elected(10, 3);
    scheduler.restore_witnesses(None, Revision(0), false);
    answer(&mut scheduler, 0..3, after(3000));
    assert!(!may_renew(&scheduler, after(2000), after(3000)));
    scheduler.next_witness_write(after(3000)).expect("none are stored");
    assert!(!may_renew(&scheduler, after(2000), after(3000)), "the write may not have taken effect");
}

/// Witnesses of an earlier scheduler are not replaced while it may count on them.
#[test]
fn witnesses_stay_until_no_earlier_scheduler_can_count_on_them() {
    let (_, note) = with_witnesses(6);
    let next = |heard: usize| {
        let mut scheduler = elected(11, 9);
        scheduler.restore_witnesses(Some(note.clone()), Revision(20), true);
        answer(&mut scheduler, (6 - heard)..9, after(600));
        scheduler
    };
    assert!(next(1).next_witness_write(after(4000)).is_none(), "five of six may answer another one");
    assert!(next(2).next_witness_write(after(4000)).is_some());
    assert!(next(1).next_witness_write(after(8001)).is_some(), "none goes on for longer");
    let mut told = next(1);
    told.earlier_terms_ended(after(1000));
    assert!(told.next_witness_write(after(4000)).is_some());
}

/// How long a run waits that is placed where nobody answers, if so many of six witnesses answer the new scheduler;
/// `binding` as the store's note of earlier schedulers says.
fn waits(heard: usize, note: &WitnessRecord, binding: bool) -> Duration {
    let mut fixture = Fixture::new(7);
    fixture.submit(job(1, vec![step(1, 1)]));
    let place = fixture.start_all().remove(0).server;
    let witnesses: Vec<BackendServerId> = (0..7).map(server_id).filter(|id| *id != place).collect();
    let silent: Vec<BackendServerId> = witnesses[heard..].to_vec();
    fixture.lose_unnoticed(&place);
    for id in &silent {
        fixture.stop_responding(id);
    }
    fixture.set_stored_witnesses(Some(renamed(note, &witnesses)), binding);
    fixture.elect_next();
    let from = fixture.now;
    while fixture.start_all().is_empty() {
        fixture.advance(50);
        assert!(fixture.now.since(from) < Duration::from_secs(20), "it does not run again");
    }
    fixture.now.since(from)
}

/// The same witnesses under other ids.
fn renamed(note: &WitnessRecord, ids: &[BackendServerId]) -> WitnessRecord {
    let mut text = serde_json::to_string(note).expect("it serializes");
    for (i, id) in ids.iter().enumerate() {
        text = text.replace(&format!("\"{}\"", server_id(i)), &format!("\"new-{id}\""));
    }
    serde_json::from_str(&text.replace("new-", "")).expect("only ids have changed")
}

#[test]
fn a_third_of_the_witnesses_ends_the_wait_for_earlier_renewals() {
    let (_, note) = with_witnesses(6);
    for heard in 2..=6 {
        let waited = waits(heard, &note, true);
        assert!(waited <= SOON, "{heard} of 6 have answered: it runs again after {waited}");
        assert!(waited >= Duration::from_secs(6), "{heard} of 6 have answered: it runs again after {waited}");
    }
}

#[test]
fn the_long_wait_stays_where_fewer_answer() {
    let (_, note) = with_witnesses(6);
    let waited = waits(1, &note, true);
    assert!(waited > LONG, "it runs again after {waited}");
}

/// A scheduler of an earlier version goes on without witnesses.
#[test]
fn the_long_wait_stays_where_an_earlier_scheduler_does_not_go_by_witnesses() {
    let (_, note) = with_witnesses(6);
    let waited = waits(6, &note, false);
    assert!(waited > LONG, "it runs again after {waited}");
}

/// The later the witnesses answer, the later can an earlier scheduler have renewed.
#[test]
fn renewals_are_reckoned_from_when_the_witnesses_have_answered() {
    let timing = Timing::default();
    let at_once = timing.outvoted_lease_expiry(BEGUN, BEGUN);
    assert_eq!(at_once, timing.lease_expiry(BEGUN), "whole leases were given up to the election");
    let late = timing.outvoted_lease_expiry(BEGUN, after(4000));
    assert!(late.since(after(4000)) >= timing.witness_window + timing.unconfirmed_lease);
    assert!(late < timing.earlier_lease_expiry(BEGUN));
}

/// An availability zone that is cut off with its scheduler holds no more witnesses than any other, however many backend servers it has.
#[test]
fn witnesses_are_of_all_availability_zones_alike() {
    let mut scheduler = Scheduler::new(Fence(10), BEGUN, Timing::default(), policy());
    scheduler.restore_witnesses(None, Revision(0), false);
    let zone = |i: usize| -> AvailabilityZoneId { format!("az-{}", i.min(2)).parse().expect("it is a valid id") };
    for i in 0..90 {
        let zone = zone(if i < 20 { i % 2 } else { 2 });
        let info = ServerInfo { availability_zone: zone, ..info(0) };
        scheduler.server_listed(server_id(i), info, BEGUN);
    }
    answer(&mut scheduler, 0..90, BEGUN);
    let write = scheduler.next_witness_write(after(1000)).expect("none are stored");
    let text = serde_json::to_string(&write.record).expect("it serializes");
    let count =
        |range: std::ops::Range<usize>| range.filter(|i| text.contains(&format!("\"{}\"", server_id(*i)))).count();
    assert_eq!((count(0..20), count(20..90)), (20, 10));
}

/// Two schedulers side by side for 14 s, of which each reaches what the other does not: one of them may go on with
/// what it reaches, and the other knows it.
#[test]
fn nothing_runs_twice_however_many_backend_servers_an_earlier_scheduler_reaches() {
    let mut begun_anew = Vec::new();
    for reached_by_old in 0..=8 {
        let mut world = World::new(8, 1);
        world.work_ms = Some(60_000);
        world.advance(1500);
        for id in 1..=4 {
            world.submit(job_in("urgent", id, vec![step(1, 8)]));
        }
        world.advance(4000);
        assert!(world.witnesses.is_some(), "there was time to choose them");
        let begun = world.start_count;
        // Those that run something are the first.
        let mask = (0..reached_by_old).fold(0u8, |mask, i| mask | 1 << i);
        world.elect_concurrent(mask, 0, 14_000);
        world.advance(6900);
        begun_anew.push(world.start_count - begun);
        world.advance(9000);
    }
    // Three backend servers have room for three of them; two are less than a third of the witnesses.
    assert_eq!(
        begun_anew,
        [0, 1, 2, 3, 4, 3, 0, 0, 0],
        "runs that began again in time, by what the earlier one reaches"
    );
}
