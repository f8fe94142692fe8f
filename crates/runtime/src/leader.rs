//! The main loop of the elected box: restores the scheduler from the store, then runs the tasks that connect it with
//! the store, the platform and the backend servers.

use std::{sync::Arc, time::Instant};

use jobs::Fence;
use model::{Duration, Moment};
use scheduler::Scheduler;

use crate::{
    active::{Active, ActiveSlot},
    box_list, cleaner,
    context::Context,
    directory, evacuation,
    evacuation_revisions::EvacuationRevisions,
    keys, learned,
    links::Links,
    machine_list, maintenance, permits,
    platform::Target,
    predecessors::{self, EarlierTerms},
    queue_policies,
    settings::Settings,
    stored_record, submissions, telemetry,
    term_tasks::TermTasks,
    timers::{pause, with_timeout},
    unreachable, witnesses, writer,
};

/// Planning interval while no event occurs; jobs with a start time fall due and stop orders are repeated meanwhile.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before planning, so that events in quick succession are planned together.
const PLAN_DELAY: Duration = Duration::from_millis(4);
/// Minimum rest after a plan, as a multiple of the time that it took. On a small box a plan may take long, and other
/// work must go on.
const PLAN_REST_FACTOR: u32 = 3;

/// The reason why scheduling ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeaderExit {
    /// Another scheduler was elected.
    LeadershipLost,
    /// The state of the scheduler could not be read from the store in time.
    NotRestored,
    /// A task of the scheduler has failed.
    TaskFailed,
}

/// Schedules until another scheduler is elected, a task fails, or the future is dropped. Returns [`LeaderExit::NotRestored`] if the
/// state cannot be read from the store within `restore_timeout`.
pub(crate) async fn run(
    settings: &Settings,
    cx: &Context,
    slot: &ActiveSlot,
    fence: Fence,
    earlier: EarlierTerms,
    restore_timeout: Duration,
) -> LeaderExit {
    let Some(configuration) = cx.view.configuration() else { return LeaderExit::NotRestored };
    let clock = cx.view.clock();
    let mut scheduler = Scheduler::new(fence, clock.now(), settings.timing.clone(), configuration.policy.clone());
    let evacuations = EvacuationRevisions::default();
    let mut learned_pages = learned::begin_read(cx, settings.timing.tuning.keep_learned);
    let restored = async {
        // Evacuations come first, since no run may be placed before they are known. The same holds for the records that
        // limit how long to wait for restored runs.
        let evacuations = evacuation::restore(cx, &evacuations, &mut scheduler);
        let records = futures_lite::future::zip(
            stored_record::read(cx, keys::UNREACHABLE),
            stored_record::read(cx, keys::WITNESSES),
        );
        let records = futures_lite::future::zip(records, stored_record::read(cx, keys::QUEUE_POLICIES));
        let (evacuations_at, ((unreachable_item, witnesses_item), queues_item)) =
            futures_lite::future::zip(evacuations, records).await;
        if let Some(item) = queues_item {
            queue_policies::restore(&mut scheduler, &item);
        }
        if let Some(item) = unreachable_item {
            unreachable::restore(&mut scheduler, &item);
        }
        if earlier.obey_provisional {
            scheduler.trust_provisional_entries();
        }
        witnesses::restore(&mut scheduler, witnesses_item.as_ref(), earlier.witnessed);
        Some((evacuations_at, submissions::restore(cx, &mut scheduler).await))
    };
    let expired = async {
        pause(restore_timeout).await;
        None
    };
    let restored = futures_lite::FutureExt::or(restored, expired).await;
    let Some((evacuations_at, submissions_at)) = restored else { return LeaderExit::NotRestored };
    learned_pages.restore_if_read(cx, &mut scheduler).await;
    let links = Links::new(cx.clone(), settings.capacity.servers);
    let active = Arc::new(Active::new(scheduler, evacuations, links));
    log::info!("event=scheduling fence={fence} revision={submissions_at} {:?}", active.lock().counts());
    slot.set(Arc::clone(&active));
    connect_restored_servers(&active);
    let own_box = (settings.box_id.clone(), settings.peers_address);
    let max_wait = settings.timing.unconfirmed_renewal;
    // Earlier versions ignore provisional entries, so the next scheduler must find those terms until their leases end.
    let last_lease = settings.timing.lease_expiry(Moment::ZERO).since(Moment::ZERO);
    let kept_for = if earlier.obey_provisional { Duration::ZERO } else { last_lease };
    let term = TermTasks::new(&active);
    let tasks = [
        term.spawn(predecessors::await_ended(
            cx.clone(),
            Arc::clone(&active),
            own_box,
            earlier.predecessors,
            max_wait,
            kept_for,
        )),
        term.spawn(submissions::follow_submissions(cx.clone(), Arc::clone(&active), submissions_at)),
        term.spawn(evacuation::follow_platform(cx.clone(), Arc::clone(&active), evacuations_at)),
        term.spawn(directory::follow_servers(cx.clone(), Arc::clone(&active))),
        term.spawn(submissions::restore_ended(cx.clone(), Arc::clone(&active))),
        term.spawn(writer::run(cx.clone(), Arc::clone(&active))),
        term.spawn(box_list::publish_relay_boxes(cx.clone(), Arc::clone(&active))),
        term.spawn(unreachable::run(cx.clone(), Arc::clone(&active))),
        term.spawn(witnesses::run(cx.clone(), Arc::clone(&active))),
        term.spawn(queue_policies::run(cx.clone(), Arc::clone(&active))),
        term.spawn(learned::run(cx.clone(), Arc::clone(&active), learned_pages)),
        term.spawn(cleaner::run(cx.clone(), Arc::clone(&active))),
        term.spawn(permits::run(cx.clone(), Arc::clone(&active))),
        term.spawn(machine_list::run(cx.clone(), Arc::clone(&active))),
        term.spawn(maintenance::follow_requests(cx.clone(), Arc::clone(&active))),
        term.spawn(maintenance::run(cx.clone(), Arc::clone(&active), settings.box_id.clone())),
        term.spawn(plan(cx.clone(), Arc::clone(&active), configuration.version)),
        term.spawn(telemetry::log_traffic(fence)),
    ];
    let lost = async {
        active.leadership_lost().await;
        LeaderExit::LeadershipLost
    };
    let failed = async {
        active.task_failed().await;
        LeaderExit::TaskFailed
    };
    let exit = futures_lite::FutureExt::or(lost, failed).await;
    drop(tasks);
    exit
}

/// Opens links to the backend servers of restored runs at their last known addresses, without waiting for the list of
/// the platform. A backend server that is missing from the list may hold completions that no scheduler has stored, and
/// may not respond for long.
fn connect_restored_servers(active: &Arc<Active>) {
    let addresses = active.lock().restored_addresses();
    for (id, address) in addresses {
        match address.as_str().parse() {
            Ok(addr) => {
                let target = Target { id, incarnation: None, addr };
                active.links.record_reached(&target);
                active.links.open(&target, active);
            }
            Err(e) => log::error!("server={id} event=place_unreadable place={address} why={e}"),
        }
    }
}

/// Plans after each relevant event, and otherwise every [`PLAN_INTERVAL`]. Planning takes a quarter of the time at
/// most.
async fn plan(cx: Context, active: Arc<Active>, mut version: u64) {
    let clock = cx.view.clock();
    loop {
        let event = async {
            active.plan_requested().await;
            pause(PLAN_DELAY).await;
        };
        with_timeout(PLAN_INTERVAL, event).await;
        let newer = cx.view.configuration().filter(|newest| newest.version > version);
        let started = Instant::now();
        let (now, wall_ms) = (clock.now(), clock.wall_ms());
        active.clear_plan_request();
        active.update(|scheduler| {
            if let Some(newer) = newer {
                version = newer.version;
                scheduler.set_policy(newer.policy.clone());
            }
            scheduler.tick(now);
            scheduler.plan(now, wall_ms);
            // Changes that planning itself made need no further plan.
            scheduler.take_plan_request();
        });
        let duration = started.elapsed();
        metrics::histogram!("martenscale_plan_seconds").record(duration.as_secs_f64());
        smol::Timer::after(duration * PLAN_REST_FACTOR).await;
    }
}
