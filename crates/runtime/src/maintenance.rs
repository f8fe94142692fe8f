//! Maintenance batches: requested by operators in the store, carried out on the platform's machines, with their
//! progress written back to the store.

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

/// Longest wait of the watch on maintenance requests.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// Interval at which machines are listed while a batch is open. Maintenance takes some seconds (2 s by the platform
/// rules).
const LIST_INTERVAL: Duration = Duration::from_millis(700);
/// Interval of checks for an open batch while there is none.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a write of the progress of a batch.
const WRITE_TIMEOUT: Duration = Duration::from_millis(800);

/// Follows the maintenance requests of operators until it is dropped.
pub(crate) async fn follow_requests(cx: Context, active: Arc<Active>) {
    let prefix = cx.decoder.maintenance_prefix();
    let (tx, rx) = smol::channel::unbounded();
    let on_update = |update: PrefixUpdate| {
        for item in update.written() {
            let _ = tx.try_send(item);
        }
    };
    let apply = async {
        while let Ok(item) = rx.recv().await {
            apply_request(&cx, &active, &item).await;
        }
    };
    let watch = follow(&*cx.store, &cx.view, &prefix, None, WatchTiming::immediate(WATCH_WAIT), on_update);
    futures_lite::FutureExt::or(watch, apply).await;
}

async fn apply_request(cx: &Context, active: &Active, item: &Item) {
    let request: MaintenanceRequest = match cx.decoder.maintenance_request(item) {
        Ok(request) => request,
        Err(e) => {
            cx.unusable_items.report("wave_unreadable", item, &e.why);
            return;
        }
    };
    let progress = read_progress(cx, request.number).await;
    let now = cx.view.clock().now();
    active.update(|scheduler| scheduler.maintenance_requested(request, progress, now));
}

/// Reads the progress that earlier schedulers made with a batch, with retries until the store responds.
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

/// Carries maintenance batches out, until it is dropped.
pub(crate) async fn run(cx: Context, active: Arc<Active>, box_id: BoxId) {
    loop {
        if !active.lock().has_open_maintenance() {
            pause(CHECK_INTERVAL).await;
            continue;
        }
        let Some(machines) = cx.machines.clone() else {
            log::error!("event=machines_missing outcome=waves_wait field=deployment.machines_address");
            return;
        };
        hand_over_due(&cx, &active, &*machines, &box_id).await;
        store_progress(&cx, &active).await;
        pause(LIST_INTERVAL).await;
    }
}

/// Lists the machines, and hands over those that are due for maintenance.
async fn hand_over_due(cx: &Context, active: &Active, machines: &dyn Machines, box_id: &BoxId) {
    let listed = machines.list().await;
    telemetry::count_server_reply("list_machines", &listed);
    let listed = match listed {
        Ok(listed) => listed,
        Err(e) => return log::info!("event=machines_not_listed why={e}"),
    };
    let now = cx.view.clock().now();
    let due = active.update(|scheduler| {
        scheduler.machines_listed(listed.machines, now);
        scheduler.machines_due_for_maintenance(now)
    });
    for (batch, machine) in due {
        // The machine service may not compare fencing tokens, so nothing else would stop a scheduler that resumes after
        // a suspension.
        if !cx.view.may_schedule() {
            return;
        }
        let reply = machines.begin_maintenance(machine.clone(), batch, box_id.clone(), active.fence).await;
        let now = cx.view.clock().now();
        active.update(|scheduler| scheduler.maintenance_replied(batch, &machine, reply, now));
    }
}

/// Stores the progress of batches for the next scheduler and for operators.
async fn store_progress(cx: &Context, active: &Active) {
    let pending = active.lock().pending_maintenance_writes();
    for (number, progress) in pending {
        let (status_key, status) = cx.decoder.maintenance_status(number, progress.succeeded);
        let value = serde_json::to_vec(&progress).expect("our own types always serialize");
        let puts = [(keys::maintenance(number), value), (status_key, status)];
        let transaction = Transaction {
            expect: vec![(keys::SCHEDULER.to_owned(), Revision(active.fence.0))],
            put: puts.into_iter().map(|(key, value)| Put { key, value, lease: None }).collect(),
            remove: Vec::new(),
        };
        match cx.store.commit(transaction, WRITE_TIMEOUT).await {
            Ok(Committed::Done(_)) => active.lock().maintenance_stored(number, &progress),
            outcome => log::info!("event=wave_not_stored number={number} outcome={outcome:?}"),
        }
    }
}
