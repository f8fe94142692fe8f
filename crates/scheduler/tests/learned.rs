//! What a scheduler has learned survives a change of scheduler, whatever happens to the stored pages.
//!
//! Guards against urgent gangs that run on slow backend servers after an election, because the new scheduler has not
//! measured any speed yet.

mod common;

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD as BASE64};
use common::{
    fleet::{Fleet, a_third_slow, train},
    gang,
    learned::{Conflict, wall_ms},
    server_id,
};
use jobs::Fence;
use model::{Duration, Revision};
use scheduler::{LearnedPage, Scheduler, SpeedSummary, Timing, Tuning};

const SERVERS: usize = 12;
const HOUR_MS: u64 = 3_600_000;

/// Returns a fleet whose scheduler has learned and stored that a third of it is slow.
fn stored_fleet() -> Fleet {
    let mut fleet = Fleet::new(&a_third_slow(SERVERS));
    train(&mut fleet, 3);
    advance(&mut fleet, 30_000);
    assert!(!fleet.fixture.learned.writes.is_empty());
    fleet
}

/// Lets time pass in which the scheduler stores what it has learned.
fn advance(fleet: &mut Fleet, ms: u64) {
    (0..ms / 500).for_each(|_| fleet.fixture.advance(500));
}

fn summary(fleet: &Fleet) -> SpeedSummary {
    fleet.fixture.scheduler.speeds(fleet.fixture.now)
}

/// Elects a scheduler that finds the stored pages changed.
fn elect_with(fleet: &mut Fleet, change: impl Fn(&mut serde_json::Value)) -> SpeedSummary {
    fleet.fixture.learned.corrupt(|value| {
        let mut page = serde_json::from_slice(value).expect("the page is JSON");
        change(&mut page);
        *value = serde_json::to_vec(&page).expect("it is JSON");
    });
    fleet.fixture.elect_next();
    summary(fleet)
}

#[test]
fn urgent_gangs_avoid_slow_servers_from_the_first_plan_of_a_new_scheduler() {
    let mut fleet = stored_fleet();
    for _ in 0..3 {
        fleet.fixture.elect_next();
        let restored = summary(&fleet);
        assert!(restored.in_use && restored.known == SERVERS && restored.restored == SERVERS, "{restored:?}");
        let servers = fleet.run("urgent", gang(8, 8), 1.0);
        assert!(fleet.slowest(&servers) < 1.0, "{servers:?}");
        assert_eq!(summary(&fleet).restored, SERVERS - servers.len(), "those measured again are no longer restored");
    }
}

/// Compares with a scheduler that keeps nothing: it must take slow backend servers, or the test above shows nothing.
#[test]
fn a_scheduler_without_the_pages_takes_slow_servers() {
    let mut fleet = stored_fleet();
    fleet.fixture.learned.corrupt(Vec::clear);
    fleet.fixture.elect_next();
    assert_eq!((summary(&fleet).known, summary(&fleet).in_use), (0, false));
    let servers = fleet.run("urgent", gang(8, 8), 1.0);
    assert!(fleet.slowest(&servers) > 1.0, "{servers:?}");
}

/// The scheduler is lost after it has decided to write and before the store has the page: nothing else is lost.
#[test]
fn a_scheduler_lost_before_its_write_leaves_the_earlier_page() {
    let mut fleet = stored_fleet();
    let before = fleet.fixture.learned.pages();
    for factor in fleet.factors.values_mut() {
        *factor = 2.4 - *factor;
    }
    train(&mut fleet, 12);
    let now = fleet.fixture.now + Duration::from_secs(10);
    let write = fleet.fixture.scheduler.next_learned_write(now, wall_ms(now));
    assert!(write.is_some(), "the swapped speeds are worth a write");
    drop(write);
    fleet.fixture.elect_next();
    assert_eq!(fleet.fixture.learned.pages(), before);
    assert_eq!(summary(&fleet).restored, SERVERS);
}

/// A scheduler that was cut off while another was elected must not replace what the later one has stored.
#[test]
fn a_deposed_scheduler_cannot_write() {
    let mut fleet = Fleet::new(&a_third_slow(SERVERS));
    train(&mut fleet, 3);
    let now = fleet.fixture.now + Duration::from_secs(10);
    let write = fleet.fixture.scheduler.next_learned_write(now, wall_ms(now)).expect("nothing is stored");
    let deposed = fleet.fixture.scheduler.fence();
    fleet.fixture.learned.elect(Fence(deposed.0 + 1));
    assert_eq!(fleet.fixture.learned.commit(deposed, &write, now), Err(Conflict::Deposed));
    assert!(fleet.fixture.learned.pages().is_empty());
}

/// The response to a write is lost: the write is repeated with the revision that it expected, and on a conflict with
/// the revision found. With another revision it would fail for good.
#[test]
fn a_write_without_a_response_is_repeated_until_its_outcome_is_known() {
    for took_effect in [false, true] {
        let mut fleet = Fleet::new(&a_third_slow(SERVERS));
        train(&mut fleet, 3);
        let fixture = &mut fleet.fixture;
        let mut offer = || {
            fixture.now = fixture.now + Duration::from_secs(6);
            let now = fixture.now;
            (fixture.scheduler.next_learned_write(now, wall_ms(now)).expect("the page is not stored yet"), now)
        };
        let (first, _) = offer();
        let (second, at) = offer();
        assert_eq!((second.page, second.replaces), (first.page, first.replaces));
        let fence = fleet.fixture.scheduler.fence();
        if took_effect {
            let stored = fleet.fixture.learned.commit(fence, &first, at).expect("it is the first");
            assert_eq!(fleet.fixture.learned.commit(fence, &second, at), Err(Conflict::Found(stored)));
            fleet.fixture.scheduler.learned_revision_found(second.page, stored);
        }
        advance(&mut fleet, 40_000);
        let writes = fleet.fixture.learned.writes.len();
        advance(&mut fleet, 40_000);
        assert_eq!(fleet.fixture.learned.writes.len(), writes, "all is stored");
        fleet.fixture.elect_next();
        assert_eq!(summary(&fleet).restored, SERVERS);
    }
}

/// The store is away or slow when a scheduler begins: the pages arrive while it schedules. What it has measured by then
/// stays.
#[test]
fn pages_that_arrive_late_do_not_replace_measurements() {
    let mut fleet = stored_fleet();
    let pages = fleet.fixture.learned.pages();
    fleet.fixture.learned.corrupt(Vec::clear);
    fleet.fixture.elect_next();
    fleet.run("urgent", common::step(8, 8), 1.0);
    let measured = summary(&fleet).known;
    let before: Vec<f64> = (0..SERVERS).map(|i| fleet.report(i).factor).collect();
    let now = fleet.fixture.now;
    let later = pages.into_iter().map(|page| LearnedPage { revision: Revision(page.revision.0 + 1), ..page });
    fleet.fixture.scheduler.restore_learned(later.collect(), now, wall_ms(now));
    let after = summary(&fleet);
    assert!(measured > 0 && after.in_use, "{after:?}");
    assert_eq!((after.known, after.restored), (SERVERS, SERVERS - measured), "{before:?}");
}

/// A page that was cut short, belongs to a later version or is too large is dropped, and written anew.
#[test]
fn pages_that_cannot_be_decoded_are_dropped_and_replaced() {
    let truncate = |value: &mut Vec<u8>| value.truncate(value.len() / 2);
    let later_version = |value: &mut Vec<u8>| *value = br#"{"v":2,"rows":[]}"#.to_vec();
    let too_large = |value: &mut Vec<u8>| value.extend(vec![b' '; 300 * 1024]);
    let binary = |value: &mut Vec<u8>| *value = vec![0xff; 100];
    for (i, change) in [&truncate as &dyn Fn(&mut Vec<u8>), &later_version, &too_large, &binary].into_iter().enumerate()
    {
        let mut fleet = stored_fleet();
        fleet.fixture.learned.corrupt(change);
        fleet.fixture.elect_next();
        assert_eq!(summary(&fleet).known, 0, "{i}");
        train(&mut fleet, 3);
        advance(&mut fleet, 30_000);
        fleet.fixture.elect_next();
        assert_eq!(summary(&fleet).restored, SERVERS, "{i}");
    }
}

/// One page is lost, and the others are used.
#[test]
fn a_page_that_cannot_be_decoded_does_not_affect_the_others() {
    let fleet = stored_fleet();
    let mut pages = fleet.fixture.learned.pages();
    assert!(pages.len() > 1);
    pages[0].value.truncate(10);
    let now = fleet.fixture.now;
    let mut next = Scheduler::new(Fence(20), now, Timing::default(), common::policy());
    (0..SERVERS).for_each(|i| next.server_listed(server_id(i), common::info(i), now));
    next.restore_learned(pages, now, wall_ms(now));
    let restored = next.speeds(now).restored;
    assert!(restored > 0 && restored < SERVERS, "{restored}");
}

/// Columns of different lengths would assign speeds to other backend servers.
#[test]
fn pages_whose_columns_differ_in_length_are_dropped() {
    for column in ["runs", "ids", "incarnations", "logs"] {
        let mut fleet = stored_fleet();
        let shorten = |page: &mut serde_json::Value| page[column] = "".into();
        assert_eq!(elect_with(&mut fleet, shorten).known, 0, "{column}");
    }
}

/// A false entry, of a factor that no backend server has, would move the mean of the fleet and the classes of all.
#[test]
fn entries_out_of_bounds_are_dropped() {
    let mut fleet = stored_fleet();
    let no_runs = |page: &mut serde_json::Value| {
        let runs = page["runs"].as_str().expect("it is a column").len();
        page["runs"] = format!("{}9", "8".repeat(runs - 1)).into();
    };
    let pages = fleet.fixture.learned.pages().len();
    assert_eq!(elect_with(&mut fleet, no_runs).restored, SERVERS - pages, "the last of each page");

    let mut fleet = stored_fleet();
    // Byte 0x7f is a logarithm of 2.54, a factor of 12.7. The first entry of each page stays.
    let absurd = |page: &mut serde_json::Value| {
        let mut logs = BASE64.decode(page["logs"].as_str().expect("it is a column")).expect("it is encoded");
        logs[1..].fill(0x7f);
        page["logs"] = BASE64.encode(logs).into();
    };
    assert_eq!(elect_with(&mut fleet, absurd).known, pages);
}

/// Whatever the store holds, reading it must neither end the scheduler nor bring in factors beyond sane bounds.
#[test]
fn damaged_pages_do_no_harm() {
    let fleet = stored_fleet();
    let pages = fleet.fixture.learned.pages();
    let now = fleet.fixture.now;
    let mut rng = fastrand::Rng::with_seed(7);
    for round in 0..3000 {
        let mut damaged = pages.clone();
        for page in &mut damaged {
            for _ in 0..=rng.usize(..3) {
                let at = rng.usize(..page.value.len());
                page.value[at] = if rng.bool() { rng.u8(..) } else { rng.u8(b' '..=b'~') };
            }
        }
        let mut next = Scheduler::new(Fence(20), now, Timing::default(), common::policy());
        next.restore_learned(damaged, now, wall_ms(now));
        (0..SERVERS).for_each(|i| next.server_listed(server_id(i), common::info(i), now));
        for i in 0..SERVERS {
            let factor = next.speed(&server_id(i), now).expect("it is tracked").factor;
            assert!((1.0 / 70.0..70.0).contains(&factor), "round {round}: {factor}");
        }
    }
}

/// A backend server that the platform lists long after the election has been away: its speed is measured anew.
#[test]
fn restored_speeds_do_not_wait_for_their_servers_for_long() {
    let fleet = stored_fleet();
    let elected = fleet.fixture.now;
    let mut next = Scheduler::new(Fence(20), elected, Timing::default(), common::policy());
    next.restore_learned(fleet.fixture.learned.pages(), elected, wall_ms(elected));
    for (i, after_s) in [0, 59, 60, 300].into_iter().enumerate() {
        next.server_listed(server_id(i), common::info(i), elected + Duration::from_secs(after_s));
    }
    assert_eq!(next.speeds(elected).restored, 2);
}

/// The next incarnation under an id may be on another machine.
#[test]
fn the_speed_of_another_incarnation_is_dropped() {
    let mut fleet = stored_fleet();
    fleet.fixture.crash_and_restart(&server_id(1));
    fleet.fixture.elect_next();
    let restored = summary(&fleet);
    assert_eq!(restored.restored, SERVERS - 1, "{restored:?}");
    assert_eq!(fleet.report(1).runs, 0);
}

/// Confidence falls with age, and with a time of writing that cannot be right: clocks of boxes may jump.
#[test]
fn old_pages_count_for_fewer_runs() {
    let mut fleet = Fleet::new(&a_third_slow(SERVERS));
    train(&mut fleet, 12);
    advance(&mut fleet, 30_000);
    let now = wall_ms(fleet.fixture.now);
    let ages = [(now, 4), (now - HOUR_MS, 2), (now - 2 * HOUR_MS, 1), (now - 1000 * HOUR_MS, 1), (0, 1)];
    for (written_ms, runs) in ages.into_iter().chain([(now + 10 * HOUR_MS, 1), (u64::MAX, 1)]) {
        let summary = elect_with(&mut fleet, |page| page["at"] = written_ms.into());
        assert_eq!(summary.restored, SERVERS);
        assert_eq!(fleet.report(1).runs, runs, "written at {written_ms}");
    }
}

/// New measurements outweigh restored ones: a speed that changed with the scheduler is followed within a few runs.
#[test]
fn a_restored_speed_that_is_wrong_is_soon_corrected() {
    let mut fleet = stored_fleet();
    fleet.fixture.elect_next();
    for factor in fleet.factors.values_mut() {
        *factor = if *factor > 1.0 { 0.7 } else { 1.7 };
    }
    train(&mut fleet, 8);
    for i in 0..SERVERS {
        let factor = fleet.report(i).factor;
        assert!(if i % 3 == 1 { factor < 1.0 } else { factor > 0.95 }, "{i}: {factor}");
    }
}

/// Equal speeds: whatever the declared durations, nothing is written.
#[test]
fn nothing_is_written_about_equal_backend_servers() {
    let mut fleet = Fleet::new(&[1.0; SERVERS]);
    for _ in 0..4 {
        train(&mut fleet, 3);
        advance(&mut fleet, 20_000);
    }
    assert!(fleet.fixture.learned.writes.is_empty());
}

/// A steady fleet: once all is stored, further measurements of the same speeds are not, until the pages have lost
/// half of their weight by age.
#[test]
fn nothing_is_written_where_nothing_changes() {
    let mut fleet = stored_fleet();
    for _ in 0..4 {
        train(&mut fleet, 3);
        advance(&mut fleet, 20_000);
    }
    let writes = fleet.fixture.learned.writes.len();
    for _ in 0..4 {
        train(&mut fleet, 3);
        advance(&mut fleet, 20_000);
    }
    assert_eq!(fleet.fixture.learned.writes.len(), writes);
    let pages = fleet.fixture.learned.pages().len();
    fleet.fixture.now = fleet.fixture.now + Duration::from_millis(HOUR_MS);
    train(&mut fleet, 1);
    advance(&mut fleet, 60_000);
    assert_eq!(fleet.fixture.learned.writes.len(), writes + pages, "each page is renewed once");
}

#[test]
fn the_mean_duration_of_stops_is_restored() {
    let mut fleet = stored_fleet();
    let stop_ms = |fleet: &Fleet| {
        let page = fleet.fixture.learned.pages().pop().expect("one is stored");
        serde_json::from_slice::<serde_json::Value>(&page.value).expect("it is JSON")["stop_ms"].as_u64()
    };
    assert_eq!(stop_ms(&fleet), Some(300), "none was measured");
    elect_with(&mut fleet, |page| page["stop_ms"] = 900.into());
    // The next scheduler stores the mean with the next change.
    for factor in fleet.factors.values_mut() {
        *factor = 2.4 - *factor;
    }
    train(&mut fleet, 12);
    advance(&mut fleet, 40_000);
    assert!(stop_ms(&fleet).is_some_and(|ms| ms > 890), "{:?}", stop_ms(&fleet));
}

/// With the setting off, a scheduler neither reads nor writes what is learned.
#[test]
fn nothing_is_kept_with_the_setting_off() {
    let mut fleet = stored_fleet();
    let (now, pages) = (fleet.fixture.now, fleet.fixture.learned.pages());
    let tuning = Tuning { keep_learned: false, ..Tuning::default() };
    let timing = Timing { tuning, ..Timing::default() };
    let mut next = Scheduler::new(Fence(20), now, timing.clone(), common::policy());
    next.restore_learned(pages, now, wall_ms(now));
    (0..SERVERS).for_each(|i| next.server_listed(server_id(i), common::info(i), now));
    assert_eq!(next.speeds(now).known, 0);

    fleet = Fleet::new(&a_third_slow(SERVERS));
    fleet.fixture = common::Fixture::with_timing(SERVERS, timing);
    train(&mut fleet, 3);
    advance(&mut fleet, 30_000);
    assert!(summary(&fleet).in_use && fleet.fixture.learned.writes.is_empty());
}
