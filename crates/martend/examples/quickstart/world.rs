//! Boxes and stand-ins in one process.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};

use backend::ServerInfo;
use hyper::Method;
use martend::{Daemon, Parts, RawLimits, RawSettings, Settings};
use model::{AvailabilityZoneId, BackendServerId, OperatorFile, RackId, Revision};
use net::http::Client;
use outside::{ListedBox, SystemClock};
use smol::net::TcpListener;
use standins::{BackendHandle, Checkpoints, LeaseTable, PlatformHandle, serve_backend, serve_platform};

/// Number of boxes in each availability zone.
const BOXES_PER_ZONE: usize = 2;
/// Duration of a lease, in milliseconds; short, as a run takes less than a minute.
pub(crate) const LEASE_MS: u64 = 3000;

/// Number of tasks of the gang that measures fragmentation.
const LARGE_GANG: u32 = 16;

type Error = Box<dyn std::error::Error>;

/// A box in this process.
pub(crate) struct RunningBox {
    pub(crate) name: String,
    pub(crate) callers: SocketAddr,
    daemon: Option<Daemon>,
}

/// The boxes and stand-ins of a run.
pub(crate) struct World {
    pub(crate) file: OperatorFile,
    pub(crate) boxes: Vec<RunningBox>,
    pub(crate) servers: Vec<(BackendServerId, BackendHandle)>,
    pub(crate) disconnected: Mutex<Vec<BackendServerId>>,
    pub(crate) platform: PlatformHandle,
    pub(crate) clock: Arc<SystemClock>,
}

impl World {
    pub(crate) async fn start() -> Result<World, Error> {
        let clock = Arc::new(SystemClock::default());
        let platform = serve_platform().await?;
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/tsehay.json");
        let mut file: OperatorFile = model::from_json(&std::fs::read(path)?)?;
        let mut servers = Vec::new();
        let checkpoints = Checkpoints::default();
        for entry in file.backend_servers.values_mut() {
            let info = ServerInfo {
                id: entry.id.clone(),
                availability_zone: entry.availability_zone.clone(),
                resources: entry.resources,
                leaving: false,
                revision: Revision(0),
            };
            let table = LeaseTable::new(info, 1, Checkpoints::clone(&checkpoints), model::Moment::ZERO);
            let handle = serve_backend(table, Arc::clone(&clock)).await?;
            entry.address = handle.addr;
            servers.push((entry.id.clone(), handle));
        }
        let boxes = start_boxes(&file, &platform).await?;
        Ok(World { file, boxes, servers, disconnected: Mutex::default(), platform, clock })
    }

    /// Applies the file through the first box and waits until it is in force at all boxes.
    pub(crate) async fn apply(&self) -> Result<Revision, Error> {
        let client = Client::default();
        let body = serde_json::json!({ "apply": "quickstart-1", "base": 0, "file": self.file }).to_string();
        let addr = self.boxes[0].callers;
        let limit = Duration::from_secs(10);
        let reply = client.call(addr, Method::PUT, "/v1/configuration", body.into(), limit).await?;
        if !reply.status.is_success() {
            return Err(String::from_utf8_lossy(&reply.body).into_owned().into());
        }
        while !self.is_everywhere(&client, Revision(1)).await {
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        Ok(Revision(1))
    }

    async fn is_everywhere(&self, client: &Client, revision: Revision) -> bool {
        for it in &self.boxes {
            let reply = client.call(it.callers, Method::GET, "/v1/status", Default::default(), Duration::from_secs(5));
            let status = reply.await.ok().and_then(|r| r.json::<entry::StatusReport>().ok());
            let matches = |status: entry::StatusReport| {
                status.revision >= revision && status.backend_servers.iter().all(|s| s.revision >= revision && s.open)
            };
            if !status.is_some_and(matches) {
                return false;
            }
        }
        true
    }

    pub(crate) fn first_box(&self) -> &str {
        &self.boxes[0].name
    }

    pub(crate) fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.boxes.iter().map(|it| it.callers).collect()
    }

    /// Ends the box that plans for the first availability zone, without draining it.
    pub(crate) fn end_one_box(&mut self) -> String {
        let it = &mut self.boxes[0];
        it.daemon = None;
        it.name.clone()
    }

    /// Returns the share of accelerators that are free in racks with too few of them for a gang of 16.
    pub(crate) fn fragmentation(&self) -> f64 {
        let mut free: BTreeMap<(&AvailabilityZoneId, &RackId), u32> = BTreeMap::new();
        for (id, handle) in &self.servers {
            let entry = &self.file.backend_servers[id];
            *free.entry((&entry.availability_zone, &entry.rack)).or_default() += handle.table().free().accelerators;
        }
        let all: u32 = self.file.backend_servers.values().map(|s| s.resources.accelerators).sum();
        let useless: u32 = free.values().map(|n| n % LARGE_GANG).sum();
        f64::from(useless) / f64::from(all)
    }

    /// Reconnects the backend server that was disconnected.
    pub(crate) fn reconnect_server(&self) -> String {
        let disconnected = self.disconnected.lock().expect("no holder panics").pop();
        let server = self.servers.iter().find(|(id, _)| Some(id) == disconnected.as_ref());
        if let Some((_, handle)) = server {
            handle.faults.set_down(false);
        }
        disconnected.map(|id| id.to_string()).unwrap_or_default()
    }

    /// Disconnects a backend server, one with running tasks if there is one.
    pub(crate) fn disconnect_one_server(&self) -> String {
        let busy = self.servers.iter().find(|(_, handle)| handle.table().free().accelerators < 4);
        let (id, handle) = busy.unwrap_or(&self.servers[3]);
        handle.faults.set_down(true);
        self.disconnected.lock().expect("no holder panics").push(id.clone());
        id.to_string()
    }
}

async fn start_boxes(file: &OperatorFile, platform: &PlatformHandle) -> Result<Vec<RunningBox>, Error> {
    let mut zones: Vec<AvailabilityZoneId> =
        file.backend_servers.values().map(|s| s.availability_zone.clone()).collect();
    zones.sort();
    zones.dedup();
    let mut listeners = Vec::new();
    let mut listed = Vec::new();
    for zone in &zones {
        for n in 1..=BOXES_PER_ZONE {
            let callers = TcpListener::bind("127.0.0.1:0").await?;
            let peers = TcpListener::bind("127.0.0.1:0").await?;
            let name = format!("{zone}-box-{n}");
            listed.push(ListedBox {
                id: name.parse()?,
                availability_zone: zone.clone(),
                peer_address: peers.local_addr()?,
                leaving: false,
            });
            listeners.push((name, zone.clone(), callers, peers));
        }
    }
    platform.set_boxes(listed.clone());
    let mut boxes = Vec::new();
    for (name, zone, callers, peers) in listeners {
        let settings = settings(&name, &zone, &callers, &peers, platform, listed.clone())?;
        let addr = callers.local_addr()?;
        let planner = Box::new(policy::CellPlanner::new(zone.clone()));
        let daemon = martend::start(settings, Parts { callers, peers, planner })?;
        boxes.push(RunningBox { name, callers: addr, daemon: Some(daemon) });
    }
    Ok(boxes)
}

fn settings(
    name: &str,
    zone: &AvailabilityZoneId,
    callers: &TcpListener,
    peers: &TcpListener,
    platform: &PlatformHandle,
    listed: Vec<ListedBox>,
) -> Result<Settings, Error> {
    let limits = RawLimits {
        lease_ttl_ms: Some(LEASE_MS),
        renew_every_ms: Some(LEASE_MS / 3),
        heartbeat_every_ms: Some(100),
        dead_after_ms: Some(600),
        steady_after_ms: Some(500),
        adopt_after_ms: Some(300),
        checkpoint_ms: Some(500),
        watch_ms: Some(2000),
        tick_ms: Some(20),
        ..RawLimits::default()
    };
    let raw = RawSettings {
        box_id: name.parse()?,
        availability_zone: zone.clone(),
        callers_address: callers.local_addr()?,
        peers_address: peers.local_addr()?,
        platform_address: platform.addr,
        peers: listed,
        log: Default::default(),
        limits,
    };
    Ok(Settings::try_from(raw)?)
}
