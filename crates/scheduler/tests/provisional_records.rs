//! Provisional entries in the record of unreachable backend servers, without a network.
//!
//! Guards against a run that is lost with a silent store although its backend server responds again: named in the
//! record, it got no lease until the record was withdrawn. And against the price that must not be paid for it: a next
//! scheduler that relies on such an entry while a short lease granted in spite of it may last.

mod common;

use common::{Fixture, job_in, step, world::World};
use model::{BackendServerId, Duration, Moment};
use scheduler::{CallFailure, Timing};

/// Runs one job on one of four backend servers, all of them witnesses, and makes its backend server unresponsive
/// for `silent_ms`.
fn silent_for(silent_ms: u64) -> (Fixture, BackendServerId) {
    let mut fixture = Fixture::new(4);
    // Witnesses are chosen once no scheduler from before the election can renew leases.
    (0..90).for_each(|_| fixture.advance(100));
    fixture.submit(job_in("urgent", 1, vec![step(1, 8)]));
    let id = fixture.start_all().remove(0).server;
    fixture.advance(100);
    fixture.stop_responding(&id);
    for _ in 0..silent_ms / 100 {
        fixture.advance(100);
    }
    (fixture, id)
}

/// Returns whether the backend server may be renewed while the store confirms the election, and while it does not.
fn may_renew(fixture: &Fixture, id: &BackendServerId) -> (bool, bool) {
    let now = fixture.now;
    let before = now - Duration::from_millis(1);
    (fixture.scheduler.may_renew_now(id, now, now), fixture.scheduler.may_renew_now(id, before, now))
}

#[test]
fn a_provisional_entry_prevents_full_leases_only() {
    let (fixture, id) = silent_for(500);
    assert_eq!(may_renew(&fixture, &id), (true, true), "not recorded yet");
    let (fixture, id) = silent_for(2000);
    assert_eq!(may_renew(&fixture, &id), (false, true), "recorded provisionally");
    let (fixture, id) = silent_for(5000);
    assert_eq!(may_renew(&fixture, &id), (false, false), "recorded");
}

/// A write without a response may take effect later: from then on the entry counts as final.
#[test]
fn an_entry_counts_as_final_from_the_first_write_on() {
    let (mut fixture, id) = silent_for(2000);
    fixture.now = fixture.now + Duration::from_millis(2500);
    fixture.scheduler.call_failed(&id, CallFailure::NoResponse, fixture.now);
    fixture.scheduler.next_unreachable_write(fixture.now).expect("the last one is a second old");
    assert_eq!(may_renew(&fixture, &id), (false, false));
}

/// Returns how long after the election the job starts again. The other backend servers respond
/// throughout, so that the witnesses prove the end of the earlier scheduler about 5.4 s after the election.
fn restarts_after(silent_ms: u64, trusted: bool, binding: bool) -> Duration {
    let (mut fixture, _) = silent_for(silent_ms);
    fixture.trusts_provisional = trusted;
    fixture.witnesses_binding = binding;
    fixture.elect_next();
    let elected = fixture.now;
    while fixture.now.since(elected) < Duration::from_secs(20) {
        fixture.advance(100);
        if !fixture.start_all().is_empty() {
            return fixture.now.since(elected);
        }
    }
    panic!("it does not start again");
}

#[test]
fn the_next_scheduler_relies_on_a_provisional_entry_only_with_its_own_proof() {
    let timing = Timing::default();
    let short = timing.outvoted_lease_expiry(Moment::ZERO, Moment::ZERO).since(Moment::ZERO);
    let by_election = timing.earlier_lease_expiry(Moment::ZERO).since(Moment::ZERO);
    // The witnesses respond at the election. Short leases sent 2 s later last for 3 s on the slowest clock.
    let last_short_lease = Duration::from_millis(5361);
    let trusted = restarts_after(2500, true, true);
    assert!(trusted >= last_short_lease && trusted < short, "{trusted}");
    let untrusted = restarts_after(2500, false, true);
    assert!(untrusted >= short && untrusted < by_election, "{untrusted}");
    assert!(restarts_after(2500, true, false) >= by_election, "no proof by witnesses");
    assert!(restarts_after(5000, false, false) < short, "a final entry needs no proof");
}

/// Where all earlier schedulers have ended, their last short lease may have been sent just before.
#[test]
fn the_next_scheduler_relies_on_a_provisional_entry_once_all_earlier_terms_have_ended() {
    let last_short_lease = Duration::from_millis(3361);
    for (trusted, at_least, at_most) in [(true, last_short_lease, 4500), (false, Duration::from_millis(6422), 6600)] {
        let (mut fixture, _) = silent_for(2500);
        fixture.trusts_provisional = trusted;
        fixture.elect_next();
        let elected = fixture.now;
        fixture.scheduler.earlier_terms_ended(elected);
        while fixture.start_all().is_empty() {
            fixture.advance(100);
        }
        let waited = fixture.now.since(elected);
        assert!(waited >= at_least && waited <= Duration::from_millis(at_most), "{waited}, trusted: {trusted}");
    }
}

/// A scheduler without the store renews short leases on a backend server that it has recorded provisionally and that
/// responds again, while its successor reaches only an idle one. The world panics if the task runs on both.
#[test]
fn a_provisional_entry_starts_no_task_beside_a_run_that_an_earlier_scheduler_renews() {
    for (seed, cut_ms) in [(1, 1500), (2, 2000), (3, 2500), (5, 3000)] {
        let mut world = World::new(7, seed);
        world.work_ms = Some(60_000);
        world.advance(1500);
        world.submit(job_in("urgent", 1, vec![step(1, 8)]));
        world.advance(4000);
        let at = |world: &World| world.servers.values().position(|server| !server.running.is_empty());
        let busy = at(&world).expect("it runs");
        world.cut(busy, cut_ms, false);
        world.advance(cut_ms - 100);
        assert!(world.unreachable.is_some(), "recorded");
        let reached_by_new = 1 << ((busy + 1) % 7);
        world.elect_concurrent(!reached_by_new, 0, 14_000);
        world.advance(9000);
        assert_eq!(at(&world), Some(busy), "the earlier scheduler renews its lease, cut for {cut_ms} ms");
        world.advance(12_000);
        assert!(at(&world).is_some(), "it runs again");
    }
}
