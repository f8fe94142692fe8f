//! Asks the adviser for the scheduler, one question at a time, since it answers a box's questions in turn.

use std::sync::Arc;

use crate::{active::Active, context::Context, telemetry, timers::Backoff};

/// Asks whatever the latest plan wants to know, until it is dropped.
pub(crate) async fn run(cx: Context, active: Arc<Active>) {
    let Some(permit_service) = cx.permit_service.clone() else { return no_permit_service(&active).await };
    let mut backoff = Backoff::new();
    loop {
        let next = active.lock().take_permit_request();
        let Some(question) = next else {
            active.permits_requested().await;
            continue;
        };
        let sent = cx.view.clock().now();
        let answer = permit_service.request_permits(question.step, question.servers.clone(), question.takes).await;
        telemetry::count_server_reply("advise", &answer);
        match answer {
            Ok(allowed) => {
                backoff.reset();
                active.update(|scheduler| scheduler.permits_received(&question, &allowed, sent));
            }
            Err(e) => {
                log::info!("job={} event=advice_failed why={e}", question.step.occurrence.job);
                backoff.wait().await;
                active.update(|scheduler| scheduler.permit_request_failed(&question));
            }
        }
    }
}

/// Jobs of queues that need advice wait where the settings name no adviser; that is said once.
async fn no_permit_service(active: &Active) {
    active.permits_requested().await;
    log::error!("event=adviser_missing outcome=jobs_wait field=deployment.adviser_address");
}
