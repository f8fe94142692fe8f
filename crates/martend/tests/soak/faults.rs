//! Faults of a run, drawn from its seed.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use fastrand::Rng;

use crate::{
    boxes::wait_terminated,
    callers::crashes_servers,
    proxy::Mode,
    world::{BOXES, SERVERS, World},
};

/// Link that a proxy impairs.
#[derive(Debug, Clone, Copy)]
enum Link {
    /// Between callers and a box.
    Front(usize),
    /// Between a box and the store.
    Store(usize),
    /// Between all boxes and a backend server.
    Server(usize),
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    /// Kills a box and restarts it.
    Kill(usize),
    /// Kills all boxes at once and restarts them.
    KillAll,
    /// Stops the process of a box and resumes it.
    Pause(usize),
    /// Terminates a box and restarts it.
    Stop(usize),
    /// Terminates and restarts all boxes, one after the other.
    StopInTurn,
    /// Impairs a link.
    Spoil(Link, Mode),
    /// Impairs the links of all boxes to the store.
    SpoilStores(Mode),
    /// Makes the store refuse all requests.
    StoreDown,
    /// Suppresses the events of watches, and then drops their history.
    ForgetHistory,
    /// Crashes a backend server, which starts another incarnation, in some runs sometimes under the same id.
    CrashServer(usize),
    /// Changes the configuration.
    Configure,
    /// Evacuates an availability zone, and ends the evacuation.
    Evacuate(&'static str),
}

/// A fault with its start, relative to the start of the run, and its duration.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlannedFault {
    at: Duration,
    duration: Duration,
    fault: Fault,
}

/// Interval between the starts of faults, in milliseconds: shorter than most faults, so that they overlap.
const INTERVAL_MS: std::ops::Range<u64> = 100..1800;
/// Duration of a fault, in milliseconds: below and above the leases of a run (3 s) and of an election (1.5 s).
const DURATION_MS: std::ops::Range<u64> = 200..5500;

/// Interval between changes of the configuration, in milliseconds: below and above the duration of most tasks.
const CONFIGURE_INTERVAL_MS: std::ops::Range<u64> = 100..3000;

/// Interval at which tasks that crash their backend server are detected.
const CRASH_INTERVAL: Duration = Duration::from_millis(10);

/// Draws the faults of a run of this length.
pub(crate) fn plan(rng: &mut Rng, length: Duration) -> Vec<PlannedFault> {
    let mut planned = Vec::new();
    let mut at = Duration::from_millis(rng.u64(INTERVAL_MS));
    while at < length {
        let drawn = Duration::from_millis(rng.u64(DURATION_MS)).min(length - at);
        let fault = draw_fault(rng);
        // Starts that are in flight may still succeed for a while, so only a long evacuation is checked.
        let duration = if matches!(fault, Fault::Evacuate(_)) { length - at } else { drawn };
        planned.push(PlannedFault { at, duration, fault });
        at += Duration::from_millis(rng.u64(INTERVAL_MS));
    }
    planned
}

fn draw_fault(rng: &mut Rng) -> Fault {
    match rng.u8(..29) {
        0..3 => Fault::Kill(rng.usize(..BOXES)),
        3 => Fault::KillAll,
        4..7 => Fault::Pause(rng.usize(..BOXES)),
        7..9 => Fault::Stop(rng.usize(..BOXES)),
        9 => Fault::StopInTurn,
        10..13 => Fault::Spoil(Link::Store(rng.usize(..BOXES)), draw_mode(rng)),
        13..16 => Fault::Spoil(Link::Server(rng.usize(..SERVERS)), draw_mode(rng)),
        16..18 => Fault::Spoil(Link::Front(rng.usize(..BOXES)), draw_mode(rng)),
        18..21 => Fault::SpoilStores(draw_mode(rng)),
        21 => Fault::StoreDown,
        22 => Fault::ForgetHistory,
        23..26 => Fault::CrashServer(rng.usize(..SERVERS)),
        26 => Fault::Configure,
        _ => Fault::Evacuate(["az-1", "az-2"][rng.usize(..2)]),
    }
}

fn draw_mode(rng: &mut Rng) -> Mode {
    match rng.u8(..5) {
        0 => Mode::Slow(Duration::from_millis(rng.u64(20..600))),
        1 | 2 => Mode::Silent,
        3 => Mode::Mute,
        _ => Mode::Reset,
    }
}

/// Injects the faults concurrently, each at its time, and waits until the last is over.
pub(crate) async fn inject(world: &Arc<World>, planned: Vec<PlannedFault>) {
    let started = Instant::now();
    let tasks: Vec<_> = planned
        .into_iter()
        .map(|planned| {
            let world = Arc::clone(world);
            smol::spawn(async move {
                smol::Timer::at(started + planned.at).await;
                world.log_event(&format!("{:?} for {:?}", planned.fault, planned.duration));
                inject_fault(&world, planned.fault, planned.duration).await;
            })
        })
        .collect();
    for task in tasks {
        task.await;
    }
}

async fn inject_fault(world: &World, fault: Fault, duration: Duration) {
    match fault {
        Fault::Kill(i) => kill(world, &[i], duration).await,
        Fault::KillAll => kill(world, &(0..BOXES).collect::<Vec<_>>(), duration).await,
        Fault::Pause(i) => pause(world, i, duration).await,
        Fault::Stop(i) => stop(world, i).await,
        Fault::StopInTurn => {
            for i in 0..BOXES {
                stop(world, i).await;
            }
        }
        Fault::Spoil(link, mode) => impair(world, &[link], mode, duration).await,
        Fault::SpoilStores(mode) => {
            impair(world, &(0..BOXES).map(Link::Store).collect::<Vec<_>>(), mode, duration).await
        }
        Fault::StoreDown => {
            world.platform.lock().await.set_store_down(true);
            smol::Timer::after(duration).await;
            world.platform.lock().await.set_store_down(false);
        }
        Fault::ForgetHistory => compact_history(world, duration).await,
        Fault::CrashServer(i) => {
            let mut platform = world.platform.lock().await;
            let keeps_id = world.reuses_ids && duration.as_millis() % 2 == 1;
            let crashed = if keeps_id { platform.restart_server(i).await } else { platform.crash_server(i).await };
            crashed.expect("the address is free");
        }
        Fault::Configure => world.configure().await,
        Fault::Evacuate(zone) => {
            world.platform.lock().await.evacuate(zone);
            smol::Timer::after(duration).await;
            world.platform.lock().await.end_evacuation(zone);
        }
    }
}

/// Changes the configuration again and again, until dropped.
pub(crate) async fn change_queues(world: Arc<World>, seed: u64) {
    let mut rng = Rng::with_seed(seed.wrapping_mul(41));
    loop {
        world.configure().await;
        smol::Timer::after(Duration::from_millis(rng.u64(CONFIGURE_INTERVAL_MS))).await;
    }
}

/// Removes the queue that has been changed all the time, and kills all boxes: accepted jobs of the queue must be
/// finished by boxes that have never seen it.
pub(crate) async fn remove_queue_and_lose_boxes(world: &World) {
    if world.has_night() {
        world.configure().await;
    }
    world.log_event("all boxes are killed");
    for a_box in &world.boxes {
        a_box.lock().await.kill();
    }
}

/// Crashes the backend servers that run tasks of jobs marked to crash them, until dropped.
pub(crate) async fn crash_servers(world: Arc<World>) {
    loop {
        smol::Timer::after(CRASH_INTERVAL).await;
        let crashing = world.ledger.all().into_iter().filter(|(_, entry)| crashes_servers(&entry.work));
        for server in crashing.filter_map(|(id, _)| world.oracle.running_on(id)) {
            let mut platform = world.platform.lock().await;
            if let Some(i) = (0..SERVERS).find(|&i| platform.server(i).1 == server) {
                world.log_event(&format!("{server} crashes under a task"));
                platform.crash_server(i).await.expect("the address is free");
            }
        }
    }
}

async fn kill(world: &World, boxes: &[usize], duration: Duration) {
    for &i in boxes {
        world.boxes[i].lock().await.kill();
    }
    smol::Timer::after(duration).await;
    for &i in boxes {
        world.boxes[i].lock().await.start(&world.dir);
    }
}

/// Terminates a box and checks that it ends in order, unless [`World::may_be_late`], then restarts it.
async fn stop(world: &World, i: usize) {
    let termination = world.boxes[i].lock().await.terminate();
    if let Err(what) = wait_terminated(&world.boxes[i], termination).await
        && !world.may_be_late(i, termination.at)
    {
        world.oracle.report_violation(what);
    }
    world.boxes[i].lock().await.start(&world.dir);
}

async fn pause(world: &World, i: usize, duration: Duration) {
    world.record_pause(i, Instant::now() + duration);
    world.boxes[i].lock().await.pause();
    smol::Timer::after(duration).await;
    world.boxes[i].lock().await.resume();
}

async fn impair(world: &World, links: &[Link], mode: Mode, duration: Duration) {
    for &link in links {
        set_mode(world, link, mode).await;
    }
    smol::Timer::after(duration).await;
    for &link in links {
        set_mode(world, link, Mode::Open).await;
    }
}

/// Suppresses the events of watches for at most a second, and then drops the changes of that time.
async fn compact_history(world: &World, duration: Duration) {
    world.platform.lock().await.suppress_watch_events(true);
    smol::Timer::after(duration.min(Duration::from_secs(1))).await;
    let platform = world.platform.lock().await;
    platform.compact_history();
    platform.suppress_watch_events(false);
}

async fn set_mode(world: &World, link: Link, mode: Mode) {
    match link {
        Link::Front(i) => world.boxes[i].lock().await.front.set_mode(mode),
        Link::Store(i) => world.boxes[i].lock().await.store.set_mode(mode),
        Link::Server(i) => world.servers[i].set_mode(mode),
    }
}
