//! The faults of a run, drawn from its seed.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use fastrand::Rng;

use crate::{
    boxes::left_in_order,
    callers::crashes_servers,
    proxy::Mode,
    world::{BOXES, SERVERS, World},
};

/// Which link a proxy spoils.
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
    /// A box is killed and starts again.
    Kill(usize),
    /// All boxes are killed at once.
    KillAll,
    /// A box stands still.
    Pause(usize),
    /// A box is told to end and starts again.
    Stop(usize),
    /// All boxes are told to end, one after the other.
    StopInTurn,
    /// A link is spoilt.
    Spoil(Link, Mode),
    /// The links of all boxes to the store are.
    SpoilStores(Mode),
    /// The store refuses everything.
    StoreDown,
    /// Watches hear nothing, and then their history is gone.
    ForgetHistory,
    /// A backend server crashes and begins another life, in some runs under its id at times.
    CrashServer(usize),
    /// The operators change the configuration.
    Configure,
    /// The operators evacuate an availability zone, and take it back.
    Evacuate(&'static str),
}

/// What happens, when, and for how long.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Planned {
    at: Duration,
    lasts: Duration,
    fault: Fault,
}

/// From one fault to the next, in milliseconds: shorter than most of them last, so that they overlap.
const GAP_MS: std::ops::Range<u64> = 100..1800;
/// How long a fault lasts, in milliseconds: below and above a lease (3 s) and an election's (1.5 s).
const LASTS_MS: std::ops::Range<u64> = 200..5500;

/// How soon after its start a task is found that crashes its backend server.
const CRASHES_WITHIN: Duration = Duration::from_millis(10);

/// Draws the faults of a run.
pub(crate) fn plan(rng: &mut Rng, length: Duration) -> Vec<Planned> {
    let mut planned = Vec::new();
    let mut at = Duration::from_millis(rng.u64(GAP_MS));
    while at < length {
        let drawn = Duration::from_millis(rng.u64(LASTS_MS)).min(length - at);
        let fault = fault(rng);
        // An evacuation shows only after the time in which what was under way may still begin.
        let lasts = if matches!(fault, Fault::Evacuate(_)) { length - at } else { drawn };
        planned.push(Planned { at, lasts, fault });
        at += Duration::from_millis(rng.u64(GAP_MS));
    }
    planned
}

fn fault(rng: &mut Rng) -> Fault {
    match rng.u8(..29) {
        0..3 => Fault::Kill(rng.usize(..BOXES)),
        3 => Fault::KillAll,
        4..7 => Fault::Pause(rng.usize(..BOXES)),
        7..9 => Fault::Stop(rng.usize(..BOXES)),
        9 => Fault::StopInTurn,
        10..13 => Fault::Spoil(Link::Store(rng.usize(..BOXES)), mode(rng)),
        13..16 => Fault::Spoil(Link::Server(rng.usize(..SERVERS)), mode(rng)),
        16..18 => Fault::Spoil(Link::Front(rng.usize(..BOXES)), mode(rng)),
        18..21 => Fault::SpoilStores(mode(rng)),
        21 => Fault::StoreDown,
        22 => Fault::ForgetHistory,
        23..26 => Fault::CrashServer(rng.usize(..SERVERS)),
        26 => Fault::Configure,
        _ => Fault::Evacuate(["az-1", "az-2"][rng.usize(..2)]),
    }
}

fn mode(rng: &mut Rng) -> Mode {
    match rng.u8(..5) {
        0 => Mode::Slow(Duration::from_millis(rng.u64(20..600))),
        1 | 2 => Mode::Silent,
        3 => Mode::Mute,
        _ => Mode::Reset,
    }
}

/// Lets the faults happen, each at its time and beside the others, and waits until the last is over.
pub(crate) async fn inject(world: &Arc<World>, planned: Vec<Planned>) {
    let begun = Instant::now();
    let tasks: Vec<_> = planned
        .into_iter()
        .map(|planned| {
            let world = Arc::clone(world);
            smol::spawn(async move {
                smol::Timer::at(begun + planned.at).await;
                world.note(&format!("{:?} for {:?}", planned.fault, planned.lasts));
                happen(&world, planned.fault, planned.lasts).await;
            })
        })
        .collect();
    for task in tasks {
        task.await;
    }
}

async fn happen(world: &World, fault: Fault, lasts: Duration) {
    match fault {
        Fault::Kill(i) => kill(world, &[i], lasts).await,
        Fault::KillAll => kill(world, &(0..BOXES).collect::<Vec<_>>(), lasts).await,
        Fault::Pause(i) => pause(world, i, lasts).await,
        Fault::Stop(i) => stop(world, i).await,
        Fault::StopInTurn => {
            for i in 0..BOXES {
                stop(world, i).await;
            }
        }
        Fault::Spoil(link, mode) => spoil(world, &[link], mode, lasts).await,
        Fault::SpoilStores(mode) => spoil(world, &(0..BOXES).map(Link::Store).collect::<Vec<_>>(), mode, lasts).await,
        Fault::StoreDown => {
            world.platform.lock().await.set_store_down(true);
            smol::Timer::after(lasts).await;
            world.platform.lock().await.set_store_down(false);
        }
        Fault::ForgetHistory => compact_history(world, lasts).await,
        Fault::CrashServer(i) => {
            let mut platform = world.platform.lock().await;
            let keeps_id = world.returns && lasts.as_millis() % 2 == 1;
            let crashed = if keeps_id { platform.restart_server(i).await } else { platform.crash_server(i).await };
            crashed.expect("its address is free again");
        }
        Fault::Configure => world.configure().await,
        Fault::Evacuate(zone) => {
            world.platform.lock().await.evacuate(zone);
            smol::Timer::after(lasts).await;
            world.platform.lock().await.end_evacuation(zone);
        }
    }
}

/// Lets backend servers crash under the jobs that crash them, until it is dropped.
pub(crate) async fn crash_as_told(world: Arc<World>) {
    loop {
        smol::Timer::after(CRASHES_WITHIN).await;
        let crashing = world.ledger.all().into_iter().filter(|(_, entry)| crashes_servers(&entry.work));
        for server in crashing.filter_map(|(id, _)| world.oracle.running_on(id)) {
            let mut platform = world.platform.lock().await;
            if let Some(i) = (0..SERVERS).find(|&i| platform.server(i).1 == server) {
                world.note(&format!("{server} crashes under a task"));
                platform.crash_server(i).await.expect("its address is free again");
            }
        }
    }
}

async fn kill(world: &World, boxes: &[usize], lasts: Duration) {
    for &i in boxes {
        world.boxes[i].lock().await.kill();
    }
    smol::Timer::after(lasts).await;
    for &i in boxes {
        world.boxes[i].lock().await.start(&world.dir);
    }
}

/// A box that is told to end does so in order, unless it is paused or killed meanwhile, which
/// [`World::may_be_late`] knows.
async fn stop(world: &World, i: usize) {
    let told = world.boxes[i].lock().await.tell_to_end();
    if let Err(what) = left_in_order(&world.boxes[i], told).await
        && !world.may_be_late(i, told.at)
    {
        world.oracle.report_violation(what);
    }
    world.boxes[i].lock().await.start(&world.dir);
}

async fn pause(world: &World, i: usize, lasts: Duration) {
    world.note_pause(i, Instant::now() + lasts);
    world.boxes[i].lock().await.pause();
    smol::Timer::after(lasts).await;
    world.boxes[i].lock().await.resume();
}

async fn spoil(world: &World, links: &[Link], mode: Mode, lasts: Duration) {
    for &link in links {
        set(world, link, mode).await;
    }
    smol::Timer::after(lasts).await;
    for &link in links {
        set(world, link, Mode::Open).await;
    }
}

/// Watches hear nothing for a second at most, and then what has changed meanwhile is gone.
async fn compact_history(world: &World, lasts: Duration) {
    world.platform.lock().await.suppress_watch_events(true);
    smol::Timer::after(lasts.min(Duration::from_secs(1))).await;
    let platform = world.platform.lock().await;
    platform.compact_history();
    platform.suppress_watch_events(false);
}

async fn set(world: &World, link: Link, mode: Mode) {
    match link {
        Link::Front(i) => world.boxes[i].lock().await.front.set(mode),
        Link::Store(i) => world.boxes[i].lock().await.store.set(mode),
        Link::Server(i) => world.servers[i].set(mode),
    }
}
