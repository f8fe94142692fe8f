//! Backend servers that are lost, in the simulated cluster with its list of machines: how long a job waits for the lease
//! of one that has ended, and that one which is only cut off keeps its runs.

mod common;

use common::{Fixture, events::Event, info, job, job_in, server_id, step, world::World};
use model::{BackendServerId, Duration, Moment};
use scheduler::{CallFailure, Machine, MachineId, MachineList, Observation, Scheduler, ServerInfo, Timing, Tuning};

/// Work of a run, longer than all waits of these tests.
const WORK_MS: u64 = 30_000;

/// Returns a cluster in which one task runs, and its backend server.
fn with_run(list_available: bool) -> (World, BackendServerId) {
    let mut world = World::new(8, 1);
    (world.machines.available, world.machines.faulty) = (list_available, false);
    world.work_ms = Some(WORK_MS);
    world.advance(4000);
    world.submit(job_in("urgent", 1, vec![step(1, 4)]));
    world.advance(1000);
    let place = world.servers.values().find(|server| !server.running.is_empty());
    let id = place.expect("the task runs").id.clone();
    (world, id)
}

/// Returns the time until the task starts again, up to 20 s.
fn time_to_restart(world: &mut World) -> u64 {
    let (before, started) = (world.now, world.start_count);
    while world.start_count == started && world.now < before + 20_000 {
        world.advance(10);
    }
    world.now - before
}

/// Without the list, the run waits for the backend server that replaces the crashed one, or for the lease.
#[test]
fn a_run_on_a_crashed_backend_server_starts_again_within_a_second() {
    let wait = |list_available| {
        let (mut world, id) = with_run(list_available);
        world.after(0, Event::Crash { server: id });
        time_to_restart(&mut world)
    };
    let (with, without) = (wait(true), wait(false));
    assert!(with <= 1100, "{with} ms");
    assert!(without >= 3000, "{without} ms without the list");
}

/// The scheduler is lost together with a backend server: its successor has no earlier list to compare with.
#[test]
fn a_run_lost_together_with_the_scheduler_starts_again_soon() {
    let wait = |list_available| {
        let (mut world, id) = with_run(list_available);
        world.kill_leaders();
        world.server_mut(&id).leaves_at = Some(world.now);
        world.advance(100);
        world.elect();
        time_to_restart(&mut world)
    };
    let (with, without) = (wait(true), wait(false));
    assert!(with <= 2500, "{with} ms");
    assert!(without >= 6000, "{without} ms without the list");
}

#[test]
fn a_backend_server_that_is_cut_off_keeps_its_run_for_its_lease() {
    for refuses in [false, true] {
        let (mut world, id) = with_run(true);
        let server = world.server_mut(&id);
        (server.cut_until, server.cut_refuses) = (u64::MAX, refuses);
        let wait = time_to_restart(&mut world);
        assert!(wait >= 5000, "it started elsewhere after {wait} ms");
    }
}

/// The same across an election, after which no list has named it yet.
#[test]
fn a_backend_server_that_is_cut_off_keeps_its_run_across_an_election() {
    let (mut world, id) = with_run(true);
    world.kill_leaders();
    world.server_mut(&id).cut_until = u64::MAX;
    world.elect();
    let wait = time_to_restart(&mut world);
    assert!(wait >= 6000, "it started elsewhere after {wait} ms");
}

fn machines(rows: &[(usize, Option<usize>)]) -> MachineList {
    let machine = |(machine, server): &(usize, Option<usize>)| Machine {
        id: MachineId::from(format!("m-{machine}").as_str()),
        up: server.is_some(),
        server: server.map(server_id),
    };
    MachineList { machines: rows.iter().map(machine).collect(), complete: true, pages: 1 }
}

fn receive(fixture: &mut Fixture, list: &MachineList) {
    let now = fixture.now;
    fixture.scheduler.machine_list_received(list, now, now);
}

/// Returns two backend servers that were listed on their machines, the first with a task.
fn listed_run() -> Fixture {
    let mut fixture = Fixture::new(1);
    fixture.submit(job(1, vec![step(1, 4)]));
    assert_eq!(fixture.start_all().len(), 1);
    fixture.add_server(1);
    for _ in 0..20 {
        fixture.advance(100);
    }
    receive(&mut fixture, &machines(&[(0, Some(0)), (1, Some(1))]));
    fixture.scheduler.take_observations();
    fixture
}

fn stop_responding(fixture: &mut Fixture) {
    let now = fixture.now;
    fixture.scheduler.call_failed(&server_id(0), CallFailure::Refused, now);
    fixture.now = now + Duration::from_millis(200);
}

/// Guards against a task that crashes backend servers without limit because the list shows the crash first, and
/// against a job that is abandoned for departures.
#[test]
fn a_proven_crash_is_charged_and_a_departure_is_not() {
    for announced in [false, true] {
        let mut fixture = listed_run();
        if announced {
            let now = fixture.now;
            fixture.scheduler.server_listed(server_id(0), ServerInfo { draining: true, ..info(0) }, now);
        }
        stop_responding(&mut fixture);
        receive(&mut fixture, &machines(&[(0, None), (1, Some(1))]));
        let seen = fixture.scheduler.take_observations();
        assert!(seen.contains(&Observation::EndedByMachineList));
        let charged = seen.iter().any(|seen| matches!(seen, Observation::CrashedUnderTask { .. }));
        assert_eq!(charged, !announced);
        assert_eq!(fixture.start_all().len(), 1, "the task starts elsewhere at once");
    }
}

#[test]
fn a_false_list_ends_nothing_while_the_backend_server_responds() {
    let mut fixture = listed_run();
    for server in [Some(7), None, Some(0), Some(7)] {
        receive(&mut fixture, &machines(&[(0, server), (1, Some(1))]));
        fixture.advance(300);
        assert!(fixture.start_all().is_empty());
    }
    // It was contradicted, so it also proves nothing once calls fail.
    stop_responding(&mut fixture);
    receive(&mut fixture, &machines(&[(0, Some(7)), (1, Some(1))]));
    assert!(fixture.start_all().is_empty());
}

#[test]
fn without_the_setting_the_list_is_neither_requested_nor_used() {
    let tuning = Tuning { machine_list: false, ..Tuning::default() };
    let mut fixture = Fixture::with_timing(1, Timing { tuning, ..Timing::default() });
    fixture.submit(job(1, vec![step(1, 4)]));
    fixture.start_all();
    fixture.add_server(1);
    fixture.advance(2000);
    receive(&mut fixture, &machines(&[(0, Some(0)), (1, Some(1))]));
    stop_responding(&mut fixture);
    let now = fixture.now;
    assert!(!fixture.scheduler.request_machine_list(now));
    receive(&mut fixture, &machines(&[(0, None), (1, Some(1))]));
    assert!(fixture.start_all().is_empty());
}

/// Returns the times of requests within some seconds, each answered at once by `answer`, since a backend server has
/// stopped responding.
fn request_times(fixture: &mut Fixture, seconds: u64, answer: impl Fn(&mut Scheduler, Moment)) -> Vec<u64> {
    let from = fixture.now;
    let mut times = Vec::new();
    for ms in (0..seconds * 1000).step_by(10) {
        let now = from + Duration::from_millis(ms);
        if fixture.scheduler.request_machine_list(now) {
            times.push(ms);
            answer(&mut fixture.scheduler, now);
        }
    }
    times
}

/// Guards against reads that use up the rate which the platform allows.
#[test]
fn the_list_is_requested_only_while_a_backend_server_with_runs_does_not_respond() {
    let mut fixture = listed_run();
    let answer = |pages| {
        move |scheduler: &mut Scheduler, now| {
            let list = MachineList { pages, ..machines(&[(0, Some(0)), (1, Some(1))]) };
            scheduler.machine_list_received(&list, now, now);
        }
    };
    let mut elected = Fixture::new(2);
    assert_eq!(request_times(&mut elected, 8, answer(1)), [2000], "once after the election");
    assert!(request_times(&mut fixture, 5, answer(1)).is_empty(), "it was received already");
    let now = fixture.now;
    fixture.scheduler.call_failed(&server_id(1), CallFailure::Refused, now);
    assert!(request_times(&mut fixture, 5, answer(1)).is_empty(), "nothing runs there");
    fixture.scheduler.call_failed(&server_id(0), CallFailure::Refused, now);
    assert_eq!(request_times(&mut fixture, 1, answer(1)), [150, 450, 750]);
    fixture.now = fixture.now + Duration::from_secs(10);
    let many_pages = request_times(&mut fixture, 10, answer(12));
    assert!(many_pages.len() <= 6, "12 pages each, at 6 pages a second: {many_pages:?}");
}

#[test]
fn an_unavailable_list_is_requested_less_often() {
    let mut fixture = listed_run();
    let now = fixture.now;
    fixture.scheduler.call_failed(&server_id(0), CallFailure::Refused, now);
    let times = request_times(&mut fixture, 30, |scheduler, _| scheduler.machine_list_failed());
    assert_eq!(times[..4], [150, 750, 1950, 4350]);
    assert!(times.len() <= 10, "{times:?}");
}
