//! Requests permits for the scheduler, one request at a time, since the service processes the requests of a box one
//! after the other.

use std::sync::Arc;

use crate::{active::Active, context::Context, telemetry, timers::Backoff};

/// Sends the permit requests of the latest plan, until it is dropped.
pub(crate) async fn run(cx: Context, active: Arc<Active>) {
    let Some(permit_service) = cx.permit_service.clone() else { return no_permit_service(&active).await };
    let mut backoff = Backoff::new();
    loop {
        let next = active.lock().take_permit_request();
        let Some(request) = next else {
            active.permits_requested().await;
            continue;
        };
        let sent = cx.view.clock().now();
        let reply = permit_service.request_permits(request.step, request.servers.clone(), request.takes).await;
        telemetry::count_server_reply("advise", &reply);
        match reply {
            Ok(allowed) => {
                backoff.reset();
                active.update(|scheduler| scheduler.permits_received(&request, &allowed, sent));
            }
            Err(e) => {
                log::info!("job={} event=advice_failed why={e}", request.step.occurrence.job);
                backoff.wait().await;
                active.update(|scheduler| scheduler.permit_request_failed(&request));
            }
        }
    }
}

/// Logs once that no permit service is configured. Jobs of queues that need permits wait.
async fn no_permit_service(active: &Active) {
    active.permits_requested().await;
    log::error!("event=adviser_missing outcome=jobs_wait field=deployment.adviser_address");
}
