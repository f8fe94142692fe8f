//! Runs on backend servers that announce their departure. Guards against runs that are lost because they did not end in
//! time, against runs that are stopped although they would have, and against urgent groups that find the capacity taken
//! by others that were stopped at the same time.

mod common;

use common::{Fixture, gang, info, job_in, server_id, step};
use jobs::{Job, Step};
use model::Duration;
use scheduler::{
    CompletionKind, Order, ServerInfo,
    departures::{DepartingRun, Urgency, groups_to_move},
};

/// Returns a run with 1 s left by its own progress.
fn run(group: u32, notice_ms: u64) -> DepartingRun<u32> {
    DepartingRun {
        group,
        urgency: Urgency { priority: 1, too_late: false, deadline_ms: 10_000 },
        remaining: Some(Duration::from_secs(1)),
        spread: 0.05,
        notice: Duration::from_millis(notice_ms),
        is_unordered: false,
    }
}

#[test]
fn a_run_stays_if_it_ends_in_time_with_a_margin_by_its_spread() {
    assert!(groups_to_move(&[run(1, 1110)]).is_empty());
    assert_eq!(groups_to_move(&[run(1, 1050)]), [1]);
    let uncertain = DepartingRun { spread: 0.45, ..run(1, 2000) };
    assert_eq!(groups_to_move(&[uncertain]), [1], "by the declared duration alone it may take 2.5 times as long");
    assert!(groups_to_move(&[DepartingRun { notice: Duration::from_millis(2500), ..uncertain }]).is_empty());
}

#[test]
fn a_run_that_lasts_or_was_not_ordered_yet_is_moved() {
    let lasting = DepartingRun { remaining: None, ..run(1, 600_000) };
    let unordered = DepartingRun { is_unordered: true, ..run(2, 600_000) };
    assert_eq!(groups_to_move(&[lasting, unordered]), [1, 2]);
}

#[test]
fn a_gang_is_moved_once_if_any_of_its_backend_servers_departs_too_soon() {
    assert_eq!(groups_to_move(&[run(1, 5000), run(1, 500), run(1, 400)]), [1]);
}

#[test]
fn the_most_urgent_groups_are_moved_first() {
    let of = |group, priority, too_late, deadline_ms| DepartingRun {
        urgency: Urgency { priority, too_late, deadline_ms },
        ..run(group, 0)
    };
    let runs = [of(1, 1, false, 5000), of(2, 0, true, 1000), of(3, 0, false, 9000), of(4, 0, false, 8000)];
    assert_eq!(groups_to_move(&runs), [4, 3, 2, 1]);
}

fn announce_departure(fixture: &mut Fixture, i: usize, remaining_ms: u64) {
    let remaining = Some(Duration::from_millis(remaining_ms));
    let now = fixture.now;
    fixture.scheduler.server_listed(server_id(i), ServerInfo { draining: true, remaining, ..info(i) }, now);
}

fn long(step: Step) -> Step {
    Step { estimate: Duration::from_secs(60), ..step }
}

fn whole_server(queue: &str, id: u64) -> Job {
    job_in(queue, id, vec![long(step(1, 8))])
}

/// Two backend servers depart at once, and the free one has room for one of the two runs. The run that can wait has
/// stopped first.
#[test]
fn capacity_is_kept_for_the_more_urgent_of_the_groups_that_are_moved() {
    let mut fixture = Fixture::new(1);
    fixture.submit(whole_server("archive", 1));
    let waiting = fixture.start_all().remove(0);
    fixture.add_server(1);
    fixture.submit(whole_server("urgent", 2));
    let urgent = fixture.start_all().remove(0);
    fixture.add_server(2);
    announce_departure(&mut fixture, 0, 2000);
    announce_departure(&mut fixture, 1, 2000);
    assert!(fixture.start_all().is_empty());
    let stopped: Vec<_> = fixture.stops.iter().map(|order: &Order| order.subject().1).collect();
    assert_eq!(stopped, [urgent.task, waiting.task]);
    fixture.complete(&waiting, CompletionKind::Stopped);
    assert!(fixture.start_all().is_empty(), "the urgent one is still being stopped");
    fixture.complete(&urgent, CompletionKind::Stopped);
    let again = fixture.start_all();
    assert_eq!(again.len(), 1);
    assert_eq!((again[0].task, &again[0].server), (urgent.task, &server_id(2)));
}

/// Capacity must not stay reserved for a run whose stop gets no response.
#[test]
fn capacity_is_kept_for_a_second_at_most() {
    let mut fixture = Fixture::new(1);
    fixture.submit(whole_server("archive", 1));
    let waiting = fixture.start_all().remove(0);
    fixture.add_server(1);
    fixture.submit(whole_server("urgent", 2));
    fixture.start_all();
    fixture.add_server(2);
    announce_departure(&mut fixture, 0, 2000);
    announce_departure(&mut fixture, 1, 2000);
    fixture.start_all();
    fixture.complete(&waiting, CompletionKind::Stopped);
    fixture.advance(1100);
    let again = fixture.start_all();
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].task, waiting.task);
}

/// A backend server that departs takes no start, however long it stays.
#[test]
fn a_group_that_was_placed_and_not_started_is_placed_elsewhere() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job_in("urgent", 1, vec![gang(2, 4)]));
    let now = fixture.now;
    fixture.scheduler.plan(now, now.millis());
    for i in 0..2 {
        announce_departure(&mut fixture, i, 600_000);
    }
    fixture.add_server(2);
    let started = fixture.start_all();
    assert_eq!(started.len(), 2);
    assert!(started.iter().all(|start| start.server == server_id(2)), "{started:?}");
}
