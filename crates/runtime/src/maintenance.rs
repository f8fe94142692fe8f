//! Waves of upkeep: read from the store, carried out on the platform's machines, and told of in the store.

use std::sync::Arc;

use model::{BoxId, Duration, Revision};
use outside::{Committed, Item, Put, Transaction};
use scheduler::{MaintenanceProgress, MaintenanceRequest};

use crate::{
    active::Active,
    context::Context,
    follow::{PrefixUpdate, WatchTiming, follow},
    keys,
    platform::Machines,
    telemetry,
    timers::{Backoff, pause},
};

/// Longest wait of the watch on waves.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// While a wave is open, machines are listed this often: an upkeep takes some seconds (users: 2 s).
const LIST_EVERY: Duration = Duration::from_millis(700);
/// While none is, one is looked for this often.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// How long a write of a wave's progress may take.
const WRITE_LIMIT: Duration = Duration::from_millis(800);

/// Follows the waves that operators ask for.
pub(crate) async fn follow_requests(cx: Context, active: Arc<Active>) {
    let prefix = cx.decoder.maintenance_prefix();
    let (tx, rx) = smol::channel::unbounded();
    let on = |seen: PrefixUpdate| {
        for item in seen.written() {
            let _ = tx.try_send(item);
        }
    };
    let take = async {
        while let Ok(item) = rx.recv().await {
            apply_request(&cx, &active, &item).await;
        }
    };
    let watch = follow(&*cx.store, &cx.view, &prefix, None, WatchTiming::immediate(WATCH_WAIT), on);
    futures_lite::FutureExt::or(watch, take).await;
}

async fn apply_request(cx: &Context, active: &Active, item: &Item) {
    let request: MaintenanceRequest = match cx.decoder.maintenance_request(item) {
        Ok(request) => request,
        Err(e) => return log::error!("event=wave_unreadable why={e}"),
    };
    let progress = read_progress(cx, request.number).await;
    let now = cx.view.clock().now();
    active.update(|scheduler| scheduler.maintenance_requested(request, progress, now));
}

/// What an earlier scheduler has done of a wave, read for as long as it takes.
async fn read_progress(cx: &Context, number: u64) -> MaintenanceProgress {
    let mut backoff = Backoff::new();
    loop {
        match cx.store.get(keys::maintenance(number)).await {
            Ok(None) => return MaintenanceProgress::default(),
            Ok(Some(item)) => match serde_json::from_slice(&item.value) {
                Ok(progress) => return progress,
                Err(e) => {
                    log::error!("event=wave_progress_unreadable key={} why={e}", item.key);
                    return MaintenanceProgress::default();
                }
            },
            Err(e) => {
                log::info!("event=read_failed key={} why={e}", keys::maintenance(number));
                backoff.wait().await;
            }
        }
    }
}

/// Carries waves out, until it is dropped.
pub(crate) async fn run(cx: Context, active: Arc<Active>, box_id: BoxId) {
    loop {
        if !active.lock().has_open_maintenance() {
            pause(LOOK_EVERY).await;
            continue;
        }
        let Some(machines) = cx.machines.clone() else {
            log::error!("event=machines_missing outcome=waves_wait field=deployment.machines_address");
            return;
        };
        hand_over_due(&cx, &active, &*machines, &box_id).await;
        store_progress(&cx, &active).await;
        pause(LIST_EVERY).await;
    }
}

/// Lists the machines, and hands over those that are due.
async fn hand_over_due(cx: &Context, active: &Active, machines: &dyn Machines, box_id: &BoxId) {
    let listed = machines.list().await;
    telemetry::count_server_reply("list_machines", &listed);
    let listed = match listed {
        Ok(listed) => listed,
        Err(e) => return log::info!("event=machines_not_listed why={e}"),
    };
    let now = cx.view.clock().now();
    let due = active.update(|scheduler| {
        scheduler.machines_listed(listed, now);
        scheduler.machines_due_for_maintenance(now)
    });
    for (wave, machine) in due {
        // The keeper of the machines may not compare fencing tokens, so nothing else would hold up a scheduler that has woken.
        if !cx.view.may_schedule() {
            return;
        }
        let reply = machines.begin_maintenance(machine.clone(), wave, box_id.clone(), active.fence).await;
        let now = cx.view.clock().now();
        active.update(|scheduler| scheduler.maintenance_replied(wave, &machine, reply, now));
    }
}

/// Stores how far waves have come, for the next scheduler and for operators.
async fn store_progress(cx: &Context, active: &Active) {
    let unstored = active.lock().pending_maintenance_writes();
    for (number, progress) in unstored {
        let (status_key, status) = cx.decoder.maintenance_status(number, progress.succeeded);
        let value = serde_json::to_vec(&progress).expect("our own types always serialize");
        let puts = [(keys::maintenance(number), value), (status_key, status)];
        let transaction = Transaction {
            expect: vec![(keys::SCHEDULER.to_owned(), Revision(active.fence.0))],
            put: puts.into_iter().map(|(key, value)| Put { key, value, lease: None }).collect(),
            remove: Vec::new(),
        };
        match cx.store.commit(transaction, WRITE_LIMIT).await {
            Ok(Committed::Done(_)) => active.lock().maintenance_stored(number, &progress),
            outcome => log::info!("event=wave_not_stored number={number} outcome={outcome:?}"),
        }
    }
}
