//! Requests the platform's list of machines while a backend server with runs does not respond, and once after an
//! election. The scheduler concludes from it which backend servers have ended.
//!
//! If the list is unavailable or not configured, the runs end with their leases instead.

use std::sync::Arc;

use model::Duration;

use crate::{active::Active, context::Context, telemetry, timers::pause};

/// Interval of checks whether a request is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Requests the list whenever it is due, one request at a time, until it is dropped.
pub(crate) async fn run(cx: Context, active: Arc<Active>) {
    let Some(machines) = cx.machines.clone() else { return };
    let clock = cx.view.clock();
    loop {
        pause(CHECK_INTERVAL).await;
        let requested = clock.now();
        if !active.lock().request_machine_list(requested) {
            continue;
        }
        let list = machines.list().await;
        telemetry::count_server_reply("list_machines", &list);
        let now = clock.now();
        match list {
            Ok(list) => active.update(|scheduler| scheduler.machine_list_received(&list, requested, now)),
            Err(e) => {
                log::info!("event=machines_not_listed fence={} why={e}", active.fence);
                active.lock().machine_list_failed();
            }
        }
    }
}
