//! What the elected box does: it joins the scheduler with the store and the backend servers.

use std::{sync::Arc, time::Instant};

use jobs::Fence;
use model::Duration;
use scheduler::Scheduler;

use crate::{
    active::{Active, ActiveSlot},
    box_list, cleaner,
    context::Context,
    directory, evacuation,
    evacuation_revisions::EvacuationRevisions,
    links::Links,
    maintenance, permits,
    platform::Target,
    predecessors::{self, EarlierTerms},
    settings::Settings,
    submissions, telemetry,
    timers::{pause, with_timeout},
    unreachable, witnesses, writer,
};

/// The plan is looked at this often when nothing happens: timed jobs fall due, stops are repeated.
const PLAN_EVERY: Duration = Duration::from_millis(100);
/// Events that come within this time are planned together.
const PLAN_AFTER: Duration = Duration::from_millis(4);
/// After a plan, at least so many times as long goes to other things: on a small box a plan may take long.
const PLAN_REST: u32 = 3;

/// How scheduling ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeaderExit {
    /// Another is elected.
    LeadershipLost,
    /// What must be read first did not come within the time for it.
    NotRestored,
}

/// Schedules until another is elected, or until it is dropped; gives up if it cannot begin within `restore_limit`.
pub(crate) async fn run(
    settings: &Settings,
    cx: &Context,
    slot: &ActiveSlot,
    fence: Fence,
    earlier: EarlierTerms,
    restore_limit: Duration,
) -> LeaderExit {
    let Some(configuration) = cx.view.configuration() else { return LeaderExit::NotRestored };
    let clock = cx.view.clock();
    let mut scheduler = Scheduler::new(fence, clock.now(), settings.timing.clone(), configuration.policy.clone());
    let evacuations = EvacuationRevisions::default();
    let restored = async {
        // Evacuations first: nothing may be placed before they are known. So with what limits the wait for runs that are restored.
        let evacuations = evacuation::restore(cx, &evacuations, &mut scheduler);
        let notes = futures_lite::future::zip(unreachable::read(cx), witnesses::read(cx));
        let (evacuations_to, (note, vouching)) = futures_lite::future::zip(evacuations, notes).await;
        if let Some(item) = note {
            unreachable::restore(&mut scheduler, &item);
        }
        witnesses::restore(&mut scheduler, vouching.as_ref(), earlier.witnessed);
        Some((evacuations_to, submissions::restore(cx, &mut scheduler).await))
    };
    let expired = async {
        pause(restore_limit).await;
        None
    };
    let restored = futures_lite::FutureExt::or(restored, expired).await;
    let Some((evacuations_to, known_to)) = restored else { return LeaderExit::NotRestored };
    let links = Links::new(cx.clone(), settings.capacity.servers);
    let active = Arc::new(Active::new(scheduler, evacuations, links));
    log::info!("event=scheduling fence={fence} revision={known_to} {:?}", active.lock().counts());
    slot.set(Arc::clone(&active));
    connect_restored_servers(&active);
    let here = (settings.box_id.clone(), settings.peers_address);
    let longest = settings.timing.unconfirmed_renewal;
    let tasks = [
        smol::spawn(predecessors::await_ended(cx.clone(), Arc::clone(&active), here, earlier.predecessors, longest)),
        smol::spawn(submissions::follow_submissions(cx.clone(), Arc::clone(&active), known_to)),
        smol::spawn(evacuation::follow_platform(cx.clone(), Arc::clone(&active), evacuations_to)),
        smol::spawn(directory::follow_servers(cx.clone(), Arc::clone(&active))),
        smol::spawn(submissions::restore_ended(cx.clone(), Arc::clone(&active))),
        smol::spawn(writer::run(cx.clone(), Arc::clone(&active))),
        smol::spawn(box_list::publish_relay_boxes(cx.clone(), Arc::clone(&active))),
        smol::spawn(unreachable::run(cx.clone(), Arc::clone(&active))),
        smol::spawn(witnesses::run(cx.clone(), Arc::clone(&active))),
        smol::spawn(cleaner::run(cx.clone(), Arc::clone(&active))),
        smol::spawn(permits::run(cx.clone(), Arc::clone(&active))),
        smol::spawn(maintenance::follow_requests(cx.clone(), Arc::clone(&active))),
        smol::spawn(maintenance::run(cx.clone(), Arc::clone(&active), settings.box_id.clone())),
        smol::spawn(plan(cx.clone(), Arc::clone(&active), configuration.version)),
        smol::spawn(telemetry::log_traffic(fence)),
    ];
    active.leadership_lost().await;
    drop(tasks);
    LeaderExit::LeadershipLost
}

/// Calls the backend servers with restored runs where they were reached before, without waiting for the platform's
/// list: one that has fallen out of it may hold ends that no scheduler has stored, and may not answer for long.
fn connect_restored_servers(active: &Arc<Active>) {
    let places = active.lock().restored_addresses();
    for (id, place) in places {
        match place.as_str().parse() {
            Ok(addr) => active.links.open(&Target { id, incarnation: None, addr }, active),
            Err(e) => log::error!("server={id} event=place_unreadable place={place} why={e}"),
        }
    }
}

/// Plans whenever something has happened, and now and then; at most a quarter of the time goes into it.
async fn plan(cx: Context, active: Arc<Active>, mut version: u64) {
    let clock = cx.view.clock();
    loop {
        let happened = async {
            active.plan_requested().await;
            pause(PLAN_AFTER).await;
        };
        with_timeout(PLAN_EVERY, happened).await;
        let newer = cx.view.configuration().filter(|newest| newest.version > version);
        let begun = Instant::now();
        let (now, wall_ms) = (clock.now(), clock.wall_ms());
        active.clear_plan_request();
        active.update(|scheduler| {
            if let Some(newer) = newer {
                version = newer.version;
                scheduler.set_policy(newer.policy.clone());
            }
            scheduler.tick(now);
            scheduler.plan(now, wall_ms);
            // Planning's own changes are no reason to plan again.
            scheduler.take_plan_request();
        });
        let took = begun.elapsed();
        metrics::histogram!("martenscale_plan_seconds").record(took.as_secs_f64());
        smol::Timer::after(took * PLAN_REST).await;
    }
}
