//! A box on a platform that keeps its state: combines the runtime with the adapter for that platform.

mod cached_page;
mod operators;
mod settings;

use std::{sync::Arc, time::Duration as StdDuration};

use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use net::{
    AllTraffic, Purpose,
    guard::Server,
    http::{Client, ServerLimits, serve, serve_until},
};
use outside::{Clock, SystemClock};
use runtime::{
    OptionalServices, RunningBox,
    platform::{Machines, PermitService},
};
use smol::net::TcpListener;
use users_platform::{
    caller_api::{CallerApi, Readiness},
    decode::PlatformDecoder,
    machines::HttpMachines,
    pending_requests::PendingRequests,
    permits::HttpPermitService,
    servers::HttpBackendServers,
    store::HttpStore,
};

use self::operators::OperatorApi;

pub use cached_page::CachedPage;
pub use settings::{DeploymentSettings, RawDeployment, has_deployment_settings, read};

/// Time for which a draining box still accepts connections: the load balancer checks every second, and removes a box
/// after two failed checks (platform protocol).
const ACCEPT_WHILE_DRAINING: StdDuration = StdDuration::from_millis(2300);
/// Part of the drain time that is reserved for an orderly exit.
const EXIT_MARGIN: StdDuration = StdDuration::from_millis(500);

/// Runs a box until SIGTERM or SIGINT, then drains it. On SIGHUP, reads the log level from the settings file at `path`
/// again.
///
/// Fails if an address cannot be bound or the signal handlers cannot be installed.
pub async fn run(settings: DeploymentSettings, path: &str) -> std::io::Result<()> {
    let peers = TcpListener::bind(settings.runtime.peers_address).await?;
    let callers = TcpListener::bind(settings.callers_address).await?;
    let readiness = TcpListener::bind(settings.readiness_address).await?;
    let metrics = TcpListener::bind(settings.metrics_address).await?;
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
    log::info!(
        "event=started box={} availability_zone={}",
        settings.runtime.box_id,
        settings.runtime.availability_zone
    );
    let this_box = Arc::new(RunningBox::start(
        settings.runtime.clone(),
        peers,
        HttpStore::new(Client::new(Purpose::Store), settings.store_address),
        Arc::new(HttpBackendServers::with_order_connections(settings.runtime.capacity.order_connections)),
        Arc::new(PlatformDecoder),
        optional_services(&settings),
        Arc::clone(&clock),
    ));
    let pending = PendingRequests::default();
    let front = CallerApi {
        requests: Arc::clone(&this_box.requests),
        view: Arc::clone(&this_box.view),
        clock,
        pending: pending.clone(),
    };
    let (accepting, stop) = smol::channel::bounded::<()>(1);
    let guard = || this_box.guard.clone();
    let limits = ServerLimits::default();
    let serving = smol::spawn(serve_until(callers, Arc::new(front), guard(), Server::Callers, limits, stop));
    let readiness_handler = Arc::new(Readiness { view: Arc::clone(&this_box.view) });
    let metrics_handler = Arc::new(OperatorApi::new(Arc::clone(&this_box)));
    let _handlers = [
        smol::spawn(serve(readiness, readiness_handler, guard(), Server::Readiness)),
        smol::spawn(serve(metrics, metrics_handler, guard(), Server::Metrics)),
    ];
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => reload(path),
            _ => break,
        }
    }
    drain(&this_box, &settings, &pending, accepting, serving).await;
    log::info!("event=ended box={} {AllTraffic}", settings.runtime.box_id);
    Ok(())
}

/// Returns clients of the platform's permit service and machine service, where the settings give an address.
fn optional_services(settings: &DeploymentSettings) -> OptionalServices {
    let permit_service = |addr| Arc::new(HttpPermitService::new(Client::default(), addr)) as Arc<dyn PermitService>;
    let machines = |addr| Arc::new(HttpMachines::new(Client::default(), addr)) as Arc<dyn Machines>;
    OptionalServices {
        permit_service: settings.adviser_address.map(permit_service),
        machines: settings.machines_address.map(machines),
    }
}

/// Drains the box: stops accepting connections after a delay and lets open ones finish, within the grace period.
async fn drain(
    this_box: &RunningBox,
    settings: &DeploymentSettings,
    pending: &PendingRequests,
    accepting: smol::channel::Sender<()>,
    serving: smol::Task<()>,
) {
    log::info!("event=leaving box={}", settings.runtime.box_id);
    this_box.view.start_draining();
    smol::Timer::after(ACCEPT_WHILE_DRAINING).await;
    accepting.close();
    let remaining = StdDuration::from(settings.grace).saturating_sub(ACCEPT_WHILE_DRAINING + EXIT_MARGIN);
    let expire = async {
        smol::Timer::after(remaining).await;
        log::warn!("event=left_open why=grace_over requests={}", pending.number());
    };
    serving.or(expire).await;
}

/// Reads the settings file again. Only the log level takes effect; other settings apply from the next start.
fn reload(path: &str) {
    match read(path) {
        Ok(settings) => {
            log::set_max_level(settings.log_level);
            log::info!("event=reloaded log_level={}", settings.log_level);
        }
        Err(why) => log::error!("event=reload_failed why={why:?} outcome=settings_stay"),
    }
}
