//! Queues that the operators change or remove while accepted jobs have work left, beside losses of boxes.
//!
//! A scheduler had the policy of a removed queue in memory alone. The next one began with the newest configuration, and
//! never started the rest of the jobs that had been accepted on the queue, with all backend servers idle.

mod common;

use std::time::{Duration, Instant};

use common::{World, start_box, until};
use hyper::StatusCode;
use jobs::JobId;
use users_platform_standin::{Caller, Queue, Work, free_addrs};

const BOXES: usize = 3;
const JOB: JobId = JobId(1);
/// Each task takes a whole backend server, and there is one: the second task starts when the first is done.
const WORK: Work = Work { tasks: 2, accelerators: 8, work_ms: 1500, gang: false };
const NIGHT: Queue = Queue { name: "night", service: "desk" };
/// A queue on a service that has no backend servers.
const ELSEWHERE: Queue = Queue { name: "elsewhere", service: "elsewhere" };
/// Time after the last fault within which a job must proceed: the platform counts as calm after 4 s, and then no job
/// may be stalled for 3 s (platform rules).
const PROCEEDS_WITHIN: Duration = Duration::from_secs(7);

/// Starts boxes and one backend server, with a configuration that has the queues `desk` and `night`.
async fn start() -> World {
    let world = World::start(BOXES, 1).await;
    configure(&world, 2, &[Queue::DESK, NIGHT]).await;
    world
}

/// Changes the configuration, and waits until all boxes have it.
async fn configure(world: &World, version: u64, queues: &[Queue]) {
    world.platform.configure_queues(version, queues);
    for i in 0..world.boxes.len() {
        until("the box has the configuration", || async { world.configuration_version(i).await == Some(version) })
            .await;
    }
}

async fn submit(world: &World, queue: Queue) {
    world.submit_as(&world.caller.of_queue(queue), JOB, WORK).await;
}

/// Starts as [`start`] does, and lets a job of `night` run its first task.
async fn start_with_running_job() -> World {
    let world = start().await;
    submit(&world, NIGHT).await;
    until_started(&world, 1).await;
    world
}

async fn until_started(world: &World, starts: usize) {
    until("the task starts", || async { world.platform.oracle.start_count() == starts }).await;
}

fn send_signal(world: &World, i: usize, signal: &str) {
    let pid = world.boxes[i].child.id().to_string();
    let status = std::process::Command::new("kill").args([signal, &pid]).status();
    assert!(status.expect("kill can be run").success());
}

async fn kill_scheduler(world: &mut World) {
    let scheduler = world.scheduler().await;
    drop(world.boxes.remove(scheduler));
}

/// Checks that the job proceeds soon after the last fault, and that its caller sees it end by way of another queue.
async fn check_finished(world: &World, last_fault: Instant, other: &Caller) {
    until_started(world, WORK.tasks as usize).await;
    assert!(last_fault.elapsed() < PROCEEDS_WITHIN, "the second task started after {:?}", last_fault.elapsed());
    let addr = world.boxes[0].addrs[0];
    until("the job has succeeded", || async {
        other.state(addr, JOB).await.is_ok_and(|answer| answer.state == "succeeded")
    })
    .await;
    assert_eq!(world.platform.oracle.done_tasks(JOB), WORK.tasks as usize);
    assert_eq!(world.platform.oracle.start_count(), WORK.tasks as usize, "no task ran again");
    assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
}

/// Guards against a job that is left when its queue is removed and its scheduler is killed then.
#[test]
fn a_job_of_a_removed_queue_is_finished_by_the_next_scheduler() {
    smol::block_on(async {
        let mut world = start_with_running_job().await;
        configure(&world, 3, &[Queue::DESK]).await;
        let last_fault = Instant::now();
        kill_scheduler(&mut world).await;
        check_finished(&world, last_fault, &world.caller).await;
    });
}

/// Guards against a job that is left when all boxes are lost after its queue was removed, so that no process has ever
/// seen the queue.
#[test]
fn a_job_of_a_removed_queue_is_finished_by_boxes_that_never_saw_the_queue() {
    smol::block_on(async {
        let mut world = start_with_running_job().await;
        configure(&world, 3, &[Queue::DESK]).await;
        let last_fault = Instant::now();
        world.boxes.clear();
        for i in 0..BOXES {
            world.boxes.push(start_box(&world.platform, &format!("box-new-{i}"), free_addrs(), &[]));
        }
        check_finished(&world, last_fault, &world.caller).await;
    });
}

/// Guards against a job that is left when its queue is added and removed again while the scheduler hangs, so that no
/// scheduler has ever planned with the queue.
#[test]
fn a_job_of_a_queue_that_no_scheduler_has_seen_is_started() {
    smol::block_on(async {
        let mut world = World::start(BOXES, 1).await;
        let hanging = world.scheduler().await;
        send_signal(&world, hanging, "-STOP");
        world.platform.configure_queues(2, &[Queue::DESK, NIGHT]);
        let other = world.boxes[(hanging + 1) % BOXES].addrs[0];
        let caller = world.caller.of_queue(NIGHT);
        until("the job is accepted", || async {
            caller.submit(other, JOB, WORK).await.is_ok_and(|answer| answer.status == StatusCode::OK)
        })
        .await;
        world.platform.configure_queues(3, &[Queue::DESK]);
        let last_fault = Instant::now();
        drop(world.boxes.remove(hanging));
        // The leases of the lost scheduler have expired before its successor is elected; both tasks follow.
        let first = Duration::from_millis(WORK.work_ms);
        check_finished(&world, last_fault + first, &world.caller).await;
    });
}

/// Guards against a job that is left when its queue is removed together with the service: the next scheduler took the
/// backend servers for entries of other writers, since no configuration named their service.
#[test]
fn a_job_of_a_removed_queue_and_service_is_finished_by_the_next_scheduler() {
    smol::block_on(async {
        let mut world = start_with_running_job().await;
        configure(&world, 3, &[ELSEWHERE]).await;
        let last_fault = Instant::now();
        kill_scheduler(&mut world).await;
        check_finished(&world, last_fault, &world.caller.of_queue(ELSEWHERE)).await;
    });
}

/// Guards against a job that is left when a backend server of a removed service starts anew.
#[test]
fn a_job_of_a_removed_queue_and_service_is_finished_on_a_new_backend_server() {
    smol::block_on(async {
        let mut world = start_with_running_job().await;
        configure(&world, 3, &[ELSEWHERE]).await;
        let last_fault = Instant::now();
        world.platform.crash_server(0).await.expect("its address is free");
        until("the job has succeeded", || async { world.platform.oracle.done_tasks(JOB) == WORK.tasks as usize }).await;
        let limit = PROCEEDS_WITHIN + Duration::from_millis(2 * WORK.work_ms);
        assert!(last_fault.elapsed() < limit, "it took {:?}", last_fault.elapsed());
        assert_eq!(world.platform.oracle.violations(), Vec::<String>::new());
    });
}

/// Guards against a job that waits for a service without backend servers, since the next scheduler knows its queue only
/// as it was when the job was accepted, and not as it was moved to another service later.
#[test]
fn a_job_is_finished_on_the_service_that_its_queue_had_last() {
    smol::block_on(async {
        let mut world = start().await;
        let moved = Queue { service: ELSEWHERE.service, ..NIGHT };
        configure(&world, 3, &[Queue::DESK, moved]).await;
        submit(&world, moved).await;
        configure(&world, 4, &[Queue::DESK, NIGHT]).await;
        until_started(&world, 1).await;
        let has_last_version = |record: Vec<u8>| String::from_utf8_lossy(&record).contains("\"c\":4");
        until("the policy is stored", || async { world.platform.read("marten/queues").is_some_and(has_last_version) })
            .await;
        configure(&world, 5, &[Queue::DESK]).await;
        let last_fault = Instant::now();
        kill_scheduler(&mut world).await;
        check_finished(&world, last_fault, &world.caller).await;
    });
}
