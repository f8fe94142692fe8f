//! Real processes of `martend` on a stand-in for the platform, killed, stopped and disconnected from the store.

mod common;

use std::time::Duration;

use common::{KEY, World, start_box, until};
use hyper::StatusCode;
use jobs::JobId;
use users_platform_standin::{Caller, Padding, Setup, Work, free_addrs};

const WORK: Work = Work { tasks: 3, accelerators: 2, work_ms: 300, gang: false };

#[test]
fn jobs_survive_the_scheduler_and_run_once() {
    smol::block_on(async {
        let mut world = World::start(3, 4).await;
        for id in 1..=10 {
            world.submit(JobId(id), WORK).await;
        }
        let scheduler = world.scheduler().await;
        world.boxes[scheduler].child.kill().expect("the process can be killed");
        for id in 11..=20 {
            world.submit(JobId(id), WORK).await;
        }
        let other = (scheduler + 1) % 3;
        world.until_succeeded(other, 1..=20, 3).await;
        assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
        assert_eq!(world.platform.oracle.start_count(), 60, "no task ran twice");
    });
}

#[test]
fn accepted_jobs_survive_all_boxes() {
    smol::block_on(async {
        let mut world = World::start(2, 3).await;
        for id in 1..=6 {
            world.submit(JobId(id), WORK).await;
        }
        for a_box in &mut world.boxes {
            a_box.child.kill().expect("the process can be killed");
        }
        let addrs = free_addrs();
        world.boxes.push(start_box(&world.platform, "box-new", addrs, &[]));
        world.until_ready(2).await;
        world.until_succeeded(2, 1..=6, 3).await;
        assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
    });
}

#[test]
fn jobs_refused_while_the_store_is_down_never_run_and_accepted_ones_survive() {
    smol::block_on(async {
        let world = World::start(2, 2).await;
        world.submit(JobId(1), Work { work_ms: 1500, ..WORK }).await;
        until("the job runs", || async { world.platform.oracle.start_count() == 3 }).await;
        world.platform.set_store_down(true);
        let refused = world.caller.submit(world.boxes[0].addrs[0], JobId(2), WORK).await.expect("the box responds");
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        smol::Timer::after(Duration::from_millis(2500)).await;
        world.platform.set_store_down(false);
        world.until_succeeded(1, 1..=1, 3).await;
        assert_eq!(world.platform.oracle.start_count(), 3, "the refused job does not run");
        assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
    });
}

#[test]
fn a_cancelled_job_stops_and_unknown_keys_are_refused() {
    smol::block_on(async {
        let world = World::start(1, 1).await;
        let addr = world.boxes[0].addrs[0];
        world.submit(JobId(1), Work { work_ms: 30_000, ..WORK }).await;
        until("the job runs", || async { world.platform.oracle.start_count() == 3 }).await;
        let stranger = Caller::new("no-such-key", world.platform.oracle.clone());
        let denied = stranger.state(addr, JobId(1)).await.expect("the box responds");
        assert_eq!(denied.status, StatusCode::UNAUTHORIZED);
        let cancelled = world.caller.cancel(addr, JobId(1)).await.expect("the box responds");
        assert_eq!(cancelled.status, StatusCode::OK);
        world.submit(JobId(2), Work { tasks: 4, accelerators: 2, work_ms: 50, gang: false }).await;
        world.until_succeeded(0, 2..=2, 4).await;
        assert_eq!(world.state(0, JobId(1)).await.map(|answer| answer.state), Some("cancelled".to_owned()));
        let large = world
            .caller
            .submit_padded(addr, JobId(98), WORK, Padding { body: 300_000, text: 0 })
            .await
            .expect("the box responds");
        assert_eq!(large.status, StatusCode::PAYLOAD_TOO_LARGE);
        let unknown = world.caller.state(addr, JobId(99)).await.expect("the box responds");
        assert_eq!(unknown.status, StatusCode::GONE);
    });
}

#[test]
fn a_terminated_box_answers_open_requests_and_hands_over() {
    smol::block_on(async {
        let mut world = World::start(2, 2).await;
        let scheduler = world.scheduler().await;
        world.submit(JobId(1), Work { work_ms: 800, ..WORK }).await;
        world.boxes[scheduler].terminate();
        // It still accepts connections until the load balancer has removed it.
        let answer = world.state(scheduler, JobId(1)).await.expect("the box responds");
        assert_ne!(answer.status, StatusCode::GONE);
        world.until_succeeded(1 - scheduler, 1..=1, 3).await;
        let ended = world.boxes[scheduler].child.wait().expect("the box ends");
        assert!(ended.success(), "{ended}");
        assert_eq!(world.platform.oracle.start_count(), 3);
        assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
    });
}

#[test]
fn a_backend_server_that_recovers_after_its_lease_is_used_again() {
    smol::block_on(async {
        let mut world = World::start(1, 1).await;
        world.submit(JobId(1), Work { tasks: 1, accelerators: 2, work_ms: 500, gang: false }).await;
        until("the job runs", || async { world.platform.oracle.start_count() == 1 }).await;
        world.platform.disconnect_server(0).await;
        // Longer than the lease and its margins, so that the box removes the backend server.
        smol::Timer::after(Duration::from_millis(4500)).await;
        world.platform.restore_server(0).await.expect("the address is free");
        world.until_succeeded(0, 1..=1, 1).await;
        assert_eq!(
            world.platform.oracle.start_count(),
            1,
            "tasks that succeeded while it was disconnected do not run again"
        );
        world.submit(JobId(2), WORK).await;
        world.until_succeeded(0, 2..=2, 3).await;
        assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
    });
}

#[test]
fn jobs_of_a_queue_with_permits_run_only_where_permitted() {
    smol::block_on(async {
        let setup = Setup { servers: 4, key: KEY.to_owned(), permits: true, ..Setup::default() };
        let world = World::start_on(1, &setup).await;
        for id in 1..=4 {
            world.submit(JobId(id), WORK).await;
        }
        // The backend servers refuse a start without the right ticket.
        world.until_succeeded(0, 1..=4, 3).await;
        assert_eq!(world.platform.oracle.start_count(), 12);
        assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
    });
}

#[test]
fn maintenance_reaches_each_machine_once_although_the_scheduler_is_killed() {
    smol::block_on(async {
        let mut world = World::start(2, 5).await;
        world.platform.request_maintenance(7, 2);
        let platform = &world.platform;
        until("the maintenance has started", || async {
            platform.machines.maintenance_counts().iter().sum::<usize>() > 1
        })
        .await;
        let scheduler = world.scheduler().await;
        world.boxes[scheduler].child.kill().expect("the process can be killed");
        let platform = &world.platform;
        let succeeded = || platform.read("status/wave/7").is_some_and(|value| value == br#"{"state":"succeeded"}"#);
        until("the maintenance has succeeded", || async { succeeded() }).await;
        assert_eq!(platform.machines.maintenance_counts(), [1; 5]);
        assert!(platform.machines.max_down() <= 2, "{} were down at once", platform.machines.max_down());
    });
}

#[test]
fn the_last_line_of_a_box_reaches_its_log() {
    smol::block_on(async {
        let mut world = World::start(6, 1).await;
        for a_box in &world.boxes {
            a_box.terminate();
        }
        for a_box in &mut world.boxes {
            assert!(a_box.child.wait().expect("the box ends").success());
            let log = std::fs::read_to_string(&a_box.log).expect("the box has a log");
            assert!(log.lines().last().is_some_and(|line| line.contains("event=ended")), "{log}");
        }
    });
}

#[test]
fn backend_servers_whose_entries_expired_during_a_store_outage_keep_their_runs_and_receive_more() {
    smol::block_on(async {
        let world = World::start(1, 2).await;
        world.submit(JobId(1), Work { work_ms: 4000, ..WORK }).await;
        until("the job runs", || async { world.platform.oracle.start_count() == 3 }).await;
        world.platform.set_store_down(true);
        smol::Timer::after(Duration::from_millis(500)).await;
        world.platform.unlist_all();
        world.platform.set_store_down(false);
        world.submit(JobId(2), WORK).await;
        smol::Timer::after(Duration::from_millis(700)).await;
        world.platform.list_all();
        world.until_succeeded(0, 1..=2, 3).await;
        assert_eq!(world.platform.oracle.start_count(), 6, "no task that ran was started again");
        assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
    });
}

/// Callers' requests must not wait for a watch. This is far below the time for which a watch may miss changes: the
/// platform may deliver none for a second and more, and then drop their history.
const WITHOUT_WATCH_LIMIT: Duration = Duration::from_secs(3);

#[test]
fn jobs_and_cancellations_reach_the_scheduler_although_watches_deliver_nothing() {
    smol::block_on(async {
        let world = World::start(3, 4).await;
        let scheduler = world.scheduler().await;
        let other = (scheduler + 1) % 3;
        world.platform.suppress_watch_events(true);
        let started = std::time::Instant::now();
        let addr = world.boxes[other].addrs[0];
        let accepted = world.caller.submit(addr, JobId(1), Work { work_ms: 30_000, ..WORK }).await;
        assert_eq!(accepted.expect("the box responds").status, StatusCode::OK);
        until("the job runs", || async { world.platform.oracle.running_tasks(JobId(1)) == 3 }).await;
        let cancelled = world.caller.cancel(addr, JobId(1)).await.expect("the box responds");
        assert_eq!(cancelled.status, StatusCode::OK);
        until("none of its tasks runs", || async { world.platform.oracle.running_tasks(JobId(1)) == 0 }).await;
        assert!(started.elapsed() < WITHOUT_WATCH_LIMIT, "it took {:?}", started.elapsed());
        world.platform.suppress_watch_events(false);
        world.submit(JobId(2), WORK).await;
        world.until_succeeded(other, 2..=2, 3).await;
        assert_eq!(world.platform.oracle.start_count(), 6, "nothing was run twice");
        assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
    });
}
