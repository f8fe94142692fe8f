//! A box on the users' platform: the runtime joined with the platform's adapter.

mod operators;
mod settings;

use std::{sync::Arc, time::Duration as StdDuration};

use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use net::{
    AllTraffic, Purpose,
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
    permits::HttpPermitService,
    servers::HttpBackendServers,
    store::HttpStore,
};

use self::operators::OperatorApi;

pub use settings::{DeploymentSettings, RawDeployment, has_deployment_settings, read};

/// A box that leaves goes on taking connections for so long: the balancer asks every second, and takes a box
/// out after two misses (users' protocol page).
const STILL_TAKES: StdDuration = StdDuration::from_millis(2300);
/// Kept back from the time that a leaving box has, to end in order.
const END_MARGIN: StdDuration = StdDuration::from_millis(500);
/// Most callers' connections: below the descriptors that a box has at the users (4,100).
const MOST_CONNECTIONS: usize = 3000;

/// Runs a box until it is told to end. `path` is read again on SIGHUP.
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
    let front = CallerApi { requests: Arc::clone(&this_box.requests), view: Arc::clone(&this_box.view), clock };
    let (taking, stop) = smol::channel::bounded::<()>(1);
    let limits = ServerLimits { connections: MOST_CONNECTIONS, ..ServerLimits::default() };
    let serving = smol::spawn(serve_until(callers, Arc::new(front), Purpose::Callers, limits, stop));
    let _handlers = [
        smol::spawn(serve(readiness, Arc::new(Readiness { view: Arc::clone(&this_box.view) }))),
        smol::spawn(serve(metrics, Arc::new(OperatorApi { this_box: Arc::clone(&this_box) }))),
    ];
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => reload(path),
            _ => break,
        }
    }
    leave(&this_box, &settings, taking, serving).await;
    log::info!("event=ended box={} {AllTraffic}", settings.runtime.box_id);
    Ok(())
}

/// The platform's adviser and machines, if the settings name them.
fn optional_services(settings: &DeploymentSettings) -> OptionalServices {
    let permit_service = |addr| Arc::new(HttpPermitService::new(Client::default(), addr)) as Arc<dyn PermitService>;
    let machines = |addr| Arc::new(HttpMachines::new(Client::default(), addr)) as Arc<dyn Machines>;
    OptionalServices {
        permit_service: settings.adviser_address.map(permit_service),
        machines: settings.machines_address.map(machines),
    }
}

/// Takes no new work, lets what is under way end, and gives up the election at once.
async fn leave(
    this_box: &RunningBox,
    settings: &DeploymentSettings,
    taking: smol::channel::Sender<()>,
    serving: smol::Task<()>,
) {
    log::info!("event=leaving box={}", settings.runtime.box_id);
    this_box.view.start_draining();
    smol::Timer::after(STILL_TAKES).await;
    taking.close();
    let rest = StdDuration::from(settings.grace).saturating_sub(STILL_TAKES + END_MARGIN);
    let expire = async {
        smol::Timer::after(rest).await;
        log::warn!("event=left_open why=grace_over");
    };
    serving.or(expire).await;
}

/// Only the level of logs can change while a box runs; the rest holds from its next start.
fn reload(path: &str) {
    match read(path) {
        Ok(settings) => {
            log::set_max_level(settings.log_level);
            log::info!("event=reloaded log_level={}", settings.log_level);
        }
        Err(why) => log::error!("event=reload_failed why={why:?} outcome=settings_stay"),
    }
}
