//! A running box: its view of the system, its handling of requests, and its part in the election.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, PoisonError},
};

use model::{AvailabilityZoneId, BoxId, CustomerId, Duration};
use net::guard::Guard;
use outside::{Clock, CoordinationStore};
use scheduler::{EvacuationStatus, ShareReport, SpeedSummary, StalledCounts};
use serde::Serialize;
use smol::net::TcpListener;
use wire::relay::relay_server::RelayServer;

use crate::{
    active::ActiveSlot,
    box_list,
    configuration_watch::{self, follow_configuration},
    context::Context,
    election,
    evacuation::{self, EvacuationOutcome},
    platform::{BackendServers, Decoder, Machines, PermitService},
    probe,
    relay::Peers,
    relay_service::RelayService,
    requests::Requests,
    settings::Settings,
    supervised,
    telemetry::{self, MeasuredStore},
    timers::pause,
    view::View,
};

/// Interval at which a box without a connection to the store requests the configuration from other boxes.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of such a request. The response may be a whole configuration of some 100 KB, over a narrow link.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1000);

/// Status of a box. Fields about the scheduler are `None` on a box that does not schedule.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// Id of the box.
    #[serde(rename = "box")]
    pub box_id: BoxId,
    /// Whether new callers should be sent to this box.
    pub ready: bool,
    /// Whether the box is draining.
    pub draining: bool,
    /// Version of the current configuration; `None` before the first one.
    pub configuration_version: Option<u64>,
    /// Time since the latest response of the store, in milliseconds; `None` if there was none.
    pub store_silent_ms: Option<u64>,
    /// Box that schedules, as far as this box knows.
    pub scheduler: Option<BoxId>,
    /// Fencing token of that scheduler.
    pub scheduler_fence: Option<u64>,
    /// Fencing token with which this box schedules; `None` if it does not.
    pub schedules_with_fence: Option<u64>,
    /// Number of jobs with occurrences that run or may still run.
    pub open_jobs: Option<usize>,
    /// Number of tracked backend servers.
    pub servers: Option<usize>,
    /// Number of backend servers that have not responded under this fencing token.
    #[serde(rename = "unheard_servers")]
    pub unresponsive_servers: Option<usize>,
    /// Number of backend servers that this box has links to. Fewer than are tracked if its capacity does not suffice.
    #[serde(rename = "held_servers")]
    pub linked_servers: Option<usize>,
    /// Number of occurrences that could start but are held back, or for which there is no capacity.
    pub waiting: Option<usize>,
    /// Number of stalled occurrences, of which nothing has run for long although something could.
    #[serde(rename = "standing")]
    pub stalled: Option<usize>,
    /// Number of runs that have not ended long after their stop was decided.
    pub overdue_stops: Option<usize>,
    /// Number of occurrences with progress that is not yet stored.
    #[serde(rename = "unstored")]
    pub pending_writes: Option<usize>,
    /// Speeds of the backend servers.
    pub speeds: Option<SpeedSummary>,
    /// Customers' shares of the services that are short of capacity.
    pub shares: Option<Vec<ShareReport>>,
    /// Evacuated availability zones, where nothing starts.
    pub evacuations: Option<Vec<EvacuationStatus>>,
}

/// Services that a platform may offer beside its store and its backend servers.
#[derive(Clone, Default)]
pub struct OptionalServices {
    /// Permit service; `None` on a platform without one.
    pub permit_service: Option<Arc<dyn PermitService>>,
    /// Machines and their maintenance; `None` on a platform that offers no maintenance.
    pub machines: Option<Arc<dyn Machines>>,
}

/// A running box. Dropping it stops all its tasks.
pub struct RunningBox {
    /// Handler of callers' requests.
    pub requests: Arc<Requests>,
    /// View that the box has of the system.
    pub view: Arc<View>,
    /// Guard that all servers of the process share.
    pub guard: Guard,
    active: ActiveSlot,
    store: Arc<dyn CoordinationStore>,
    box_id: BoxId,
    /// Customers with gauges of their shares, also those that the configuration no longer names.
    customers_with_gauges: Mutex<BTreeSet<Option<CustomerId>>>,
    _tasks: Vec<smol::Task<()>>,
}

impl RunningBox {
    /// Starts a box that other boxes reach on `listener`.
    pub fn start(
        settings: Settings,
        listener: TcpListener,
        store: impl CoordinationStore,
        servers: Arc<dyn BackendServers>,
        decoder: Arc<dyn Decoder>,
        optional_services: OptionalServices,
        clock: Arc<dyn Clock>,
    ) -> RunningBox {
        let store: Arc<dyn CoordinationStore> = Arc::new(MeasuredStore(store));
        let view = Arc::new(View::new(clock, settings.store_silence));
        let peers = Arc::new(Peers::default());
        let active = ActiveSlot::default();
        let requests = Arc::new(Requests::new(
            Arc::clone(&store),
            Arc::clone(&view),
            Arc::clone(&peers),
            active.clone(),
            settings.seeds.clone(),
            settings.peers_address,
        ));
        let relay = RelayService {
            requests: Arc::clone(&requests),
            view: Arc::clone(&view),
            active: active.clone(),
            box_id: settings.box_id.clone(),
        };
        let cx = Context {
            store: Arc::clone(&store),
            servers,
            decoder: Arc::clone(&decoder),
            permit_service: optional_services.permit_service,
            machines: optional_services.machines,
            view: Arc::clone(&view),
            peers: Arc::clone(&peers),
            unusable_items: Arc::default(),
        };
        let guard = Guard::new(settings.guard);
        let tasks = vec![
            smol::spawn(net::grpc::serve(listener, RelayServer::new(relay.clone()), guard.clone())),
            supervised::spawn("follow_configuration", {
                let (settings, cx) = (settings.clone(), cx.clone());
                move || follow_configuration(settings.clone(), cx.clone())
            }),
            supervised::spawn("probe", {
                let (store, view) = (Arc::clone(&store), Arc::clone(&view));
                move || probe::run(Arc::clone(&store), Arc::clone(&view))
            }),
            supervised::spawn("follow_leader", {
                let (store, view) = (Arc::clone(&store), Arc::clone(&view));
                move || election::follow_leader(Arc::clone(&store), Arc::clone(&view))
            }),
            supervised::spawn("register_box", {
                let (settings, cx) = (settings.clone(), cx.clone());
                move || box_list::register_box(settings.clone(), cx.clone())
            }),
            supervised::spawn("request_configuration", {
                let cx = cx.clone();
                move || request_configuration(relay.clone(), cx.clone())
            }),
            smol::spawn(election::run(settings.clone(), cx, active.clone())),
        ];
        RunningBox {
            requests,
            view,
            guard,
            active,
            store,
            box_id: settings.box_id,
            customers_with_gauges: Mutex::default(),
            _tasks: tasks,
        }
    }

    /// Returns the status of the box.
    pub fn status(&self) -> Status {
        let leader = self.view.leader();
        let (fence, counts) = self.active.counts().unzip();
        Status {
            box_id: self.box_id.clone(),
            ready: self.view.is_ready(),
            draining: self.view.is_draining(),
            configuration_version: self.view.configuration().map(|current| current.version),
            store_silent_ms: self.view.time_since_store_response().map(Duration::millis),
            scheduler: leader.as_ref().map(|leader| leader.box_id.clone()),
            scheduler_fence: leader.map(|leader| leader.fence.0),
            schedules_with_fence: fence.map(|fence| fence.0),
            open_jobs: counts.map(|counts| counts.open_jobs),
            servers: counts.map(|counts| counts.servers),
            unresponsive_servers: counts.map(|counts| counts.unheard_servers),
            linked_servers: self.active.get().map(|active| active.links.len()),
            waiting: counts.map(|counts| counts.waiting),
            stalled: counts.map(|counts| counts.standing),
            overdue_stops: counts.map(|counts| counts.overdue_stops),
            pending_writes: counts.map(|counts| counts.unstored),
            speeds: self.active.get().map(|active| active.lock().speeds(self.view.clock().now())),
            shares: self.active.get().map(|active| active.lock().shares()),
            evacuations: self.evacuations(),
        }
    }

    /// Returns the progress of each evacuation; `None` on a box that does not schedule.
    pub fn evacuations(&self) -> Option<Vec<EvacuationStatus>> {
        Some(evacuation::status(&*self.active.get()?, self.view.clock().now()))
    }

    /// Starts or ends the evacuation of an availability zone for operators. Idempotent.
    pub async fn request_evacuation(&self, zone: &AvailabilityZoneId, evacuated: bool) -> EvacuationOutcome {
        let Some(active) = self.active.get() else { return EvacuationOutcome::NotHere };
        evacuation::request(&*self.store, &active, zone, evacuated, || self.view.clock().now()).await
    }

    /// Sets the gauges that are derived from the status. Called when metrics are read.
    pub fn set_gauges(&self) {
        telemetry::count_traffic();
        telemetry::count_clients(&self.guard);
        let status = self.status();
        let counts = self.active.counts().map(|(_, counts)| counts);
        let set = |name: &'static str, value: Option<f64>| {
            if let Some(value) = value {
                metrics::gauge!(name).set(value);
            }
        };
        let number = |n: Option<usize>| n.map(|n| n as f64);
        set("martenscale_ready", Some(f64::from(u8::from(status.ready))));
        set("martenscale_configuration_version", status.configuration_version.map(|n| n as f64));
        set("martenscale_store_silence_seconds", status.store_silent_ms.map(|ms| ms as f64 / 1000.0));
        set("martenscale_scheduler_fence", status.scheduler_fence.map(|n| n as f64));
        set("martenscale_schedules", Some(f64::from(u8::from(status.schedules_with_fence.is_some()))));
        set("martenscale_open_jobs", Some(number(status.open_jobs).unwrap_or(0.0)));
        set("martenscale_servers", Some(number(status.servers).unwrap_or(0.0)));
        set("martenscale_unheard_servers", Some(number(status.unresponsive_servers).unwrap_or(0.0)));
        set("martenscale_held_servers", Some(number(status.linked_servers).unwrap_or(0.0)));
        set("martenscale_waiting_occurrences", Some(number(status.waiting).unwrap_or(0.0)));
        set("martenscale_standing_occurrences", Some(number(status.stalled).unwrap_or(0.0)));
        let stalled = counts.map_or_else(StalledCounts::default, |counts| counts.stalled);
        for (wait, number) in stalled.by_wait() {
            metrics::gauge!("martenscale_standing_occurrences_by_wait", "waits_for" => wait).set(number as f64);
        }
        set("martenscale_overdue_stops", Some(number(status.overdue_stops).unwrap_or(0.0)));
        set("martenscale_unstored_occurrences", Some(number(status.pending_writes).unwrap_or(0.0)));
        set("martenscale_speed_spread", Some(status.speeds.as_ref().map_or(0.0, |speeds| speeds.spread)));
        set("martenscale_learned_restored_servers", Some(status.speeds.map_or(0.0, |speeds| speeds.restored as f64)));
        self.set_share_gauges(&status.shares.unwrap_or_default());
        let evacuations = status.evacuations.unwrap_or_default();
        set("martenscale_evacuated_zones", Some(evacuations.len() as f64));
        set("martenscale_evacuated_running_tasks", Some(evacuations.iter().map(|e| e.running_tasks as f64).sum()));
        let missing = |e: &EvacuationStatus| e.guaranteed.saturating_sub(e.accelerators_elsewhere);
        set(
            "martenscale_guarantees_missing_accelerators",
            Some(evacuations.iter().map(missing).max().unwrap_or(0) as f64),
        );
    }

    /// Sets the gauges of all customers' shares: 0 where no service that a customer uses is short of capacity, or where
    /// this box does not schedule.
    fn set_share_gauges(&self, shares: &[ShareReport]) {
        let Some(configuration) = self.view.configuration() else { return };
        let configured = configuration.policy.customers.keys().cloned().map(Some).chain([None]);
        // A panic of an earlier holder leaves the set whole; at worst it lacks customers that are added here.
        let mut customers = self.customers_with_gauges.lock().unwrap_or_else(PoisonError::into_inner);
        customers.extend(configured);
        for customer in customers.iter() {
            // Of several services or priorities, the one counts where the customer takes most beyond its share.
            let excess = |report: &&ShareReport| report.share_used - report.fair_share;
            let reports = shares.iter().filter(|report| report.customer == *customer);
            let (fair, used) = reports
                .max_by(|a, b| excess(a).total_cmp(&excess(b)))
                .map_or((0.0, 0.0), |report| (report.fair_share, report.share_used));
            let label = [("customer", customer.as_ref().map_or("none".to_owned(), ToString::to_string))];
            metrics::gauge!("martenscale_fair_share", &label).set(fair);
            metrics::gauge!("martenscale_share_used", &label).set(used);
        }
    }
}

/// Requests the configuration from other boxes while the store is unreachable.
async fn request_configuration(relay: RelayService, cx: Context) {
    loop {
        pause(REQUEST_INTERVAL).await;
        if relay.view.is_store_reachable() {
            continue;
        }
        let above = relay.view.configuration().map_or(0, |current| current.version);
        for addr in relay.requests.other_boxes() {
            match cx.peers.configuration(addr, above, Duration::ZERO, REQUEST_TIMEOUT).await {
                Some(document) => {
                    relay.view.record_peer_response();
                    if !document.is_empty() {
                        configuration_watch::apply_document(&cx, &document);
                    }
                    break;
                }
                None => relay.requests.mark_unresponsive(addr),
            }
        }
    }
}
