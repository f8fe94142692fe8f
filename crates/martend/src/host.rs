//! The task that owns the entry box, and the tasks that do its I/O.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use backend::{Backends, HttpBackend};
use entry::{
    BackendOp, CallerReply, CallerRequest, EntryBox, Identity, Input, Output, PeerReply, PeerRequest, ReplyTo,
};
use model::{BackendServerId, BoxId, Duration, Incarnation, OperatorFile};
use net::{
    NetError,
    admission::{ConnectionLimit, MemoryLimit},
    guard::{Guard, GuardLimits, Server},
};
use outside::{Clock, HttpListing, HttpStore, Listing, Store, SystemClock};
use policy::Planner;
use smol::{
    Task,
    channel::{Receiver, Sender},
    net::TcpListener,
};

use crate::{Settings, http_api::Api, peer_client, peer_client::PeerClients, peer_server::PeerService, telemetry};

/// Interval at which the platform's list of boxes is read.
const LIST_INTERVAL: std::time::Duration = std::time::Duration::from_secs(5);
/// Maximum number of calls in flight to one backend server, not counting the pending watch.
const MAX_BACKEND_CALLS: usize = 64;

/// Limits on the connections of callers, operators and other boxes together.
const GUARD_LIMITS: GuardLimits = GuardLimits { memory: MemoryLimit(16_000_000), connections: ConnectionLimit(1024) };

/// A message to the task that owns the entry box.
pub(crate) enum Event {
    Input(Input),
    BackendReply {
        op: BackendOp,
        server: BackendServerId,
        req: backend::BackendRequest,
        reply: Option<backend::BackendReply>,
    },
    Caller(CallerRequest, Sender<CallerReply>),
    Peer(PeerRequest, Sender<PeerReply>),
    Health(Sender<Health>),
}

/// State that health checks and gauges report.
pub(crate) struct Health {
    pub(crate) ready: bool,
    pub(crate) queues: Vec<(String, String, usize)>,
    pub(crate) revision: u64,
    pub(crate) open_jobs: usize,
}

/// Addresses that a daemon listens on.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Address for callers and operators.
    pub callers: SocketAddr,
    /// Address for other boxes.
    pub peers: SocketAddr,
}

/// Components of a daemon that its creator chooses.
pub struct Parts {
    /// Listener for callers and operators.
    pub callers: TcpListener,
    /// Listener for other boxes.
    pub peers: TcpListener,
    /// Decides where jobs run.
    pub planner: Box<dyn Planner>,
}

/// A running daemon, stopped when this is dropped.
pub struct Daemon {
    /// Addresses that the daemon listens on.
    pub addresses: Addresses,
    events: Sender<Event>,
    host: Task<()>,
    _servers: Vec<Task<()>>,
}

impl Daemon {
    /// Drains the box: it accepts no new work, and finishes its jobs or hands them over.
    pub async fn drain(&self) {
        // A closed channel means that the box has stopped already.
        let _ = self.events.send(Event::Input(Input::Drain)).await;
    }

    /// Waits until the box has drained, or its time limit for draining has passed.
    pub async fn wait_stopped(self) {
        self.host.await;
    }
}

/// Starts a daemon on the listeners in `parts`. Fails if the address of a listener cannot be read.
pub fn start(settings: Settings, parts: Parts) -> std::io::Result<Daemon> {
    let addresses = Addresses { callers: parts.callers.local_addr()?, peers: parts.peers.local_addr()? };
    let (tx, rx) = smol::channel::unbounded();
    let clock = Arc::new(SystemClock::default());
    let identity = Identity {
        box_id: settings.box_id.clone(),
        incarnation: Incarnation(clock.wall_ms()),
        availability_zone: settings.availability_zone.clone(),
    };
    let entry = EntryBox::new(identity, settings.limits, settings.peers.clone(), parts.planner, clock.now());
    let host = Host {
        entry,
        clock,
        box_id: settings.box_id.clone(),
        backends: Arc::new(HttpBackend::default()),
        backend_calls: HashMap::new(),
        store: Arc::new(HttpStore::new(settings.platform_address)),
        peers: PeerClients::default(),
        events: tx.clone(),
        callers: HashMap::new(),
        waiting_peers: HashMap::new(),
        next_reply: 0,
    };
    let listing: Arc<dyn Listing> = Arc::new(HttpListing::new(settings.platform_address));
    let api = Arc::new(Api { events: tx.clone(), box_id: settings.box_id.to_string() });
    let service = wire::peer_server::PeerServer::new(PeerService { events: tx.clone() });
    let guard = Guard::new(GUARD_LIMITS);
    let servers = vec![
        smol::spawn(net::http::serve(parts.callers, api, guard.clone(), Server::Callers)),
        smol::spawn(net::grpc::serve(parts.peers, service, guard)),
        smol::spawn(tick(settings.tick, tx.clone())),
        smol::spawn(read_list(listing, tx.clone())),
    ];
    let host = smol::spawn(host.run(rx, settings.drain));
    Ok(Daemon { addresses, events: tx, host, _servers: servers })
}

async fn tick(every: Duration, events: Sender<Event>) {
    loop {
        smol::Timer::after(every.into()).await;
        if events.send(Event::Input(Input::Tick)).await.is_err() {
            return;
        }
    }
}

async fn read_list(listing: Arc<dyn Listing>, events: Sender<Event>) {
    loop {
        if let Ok(boxes) = listing.list().await
            && events.send(Event::Input(Input::Listed(boxes))).await.is_err()
        {
            return;
        }
        smol::Timer::after(LIST_INTERVAL).await;
    }
}

struct Host {
    entry: EntryBox,
    clock: Arc<SystemClock>,
    box_id: BoxId,
    backends: Arc<HttpBackend>,
    backend_calls: HashMap<BackendServerId, usize>,
    store: Arc<dyn Store>,
    peers: PeerClients,
    events: Sender<Event>,
    callers: HashMap<ReplyTo, Sender<CallerReply>>,
    waiting_peers: HashMap<ReplyTo, Sender<PeerReply>>,
    next_reply: u64,
}

impl Host {
    async fn run(mut self, rx: Receiver<Event>, drain: Duration) {
        let mut drain_deadline = None;
        while let Ok(event) = rx.recv().await {
            if matches!(event, Event::Input(Input::Drain)) {
                log::info!("event=leaving box={} limit={drain}", self.box_id);
                drain_deadline.get_or_insert(self.clock.now() + drain);
            }
            self.handle_event(event);
            let expired = drain_deadline.is_some_and(|at| at <= self.clock.now());
            // Requests that have arrived are handled and answered before the box stops.
            let is_idle = self.callers.is_empty() && rx.is_empty();
            if (self.entry.is_drained() && is_idle) || expired {
                log::info!("event=left box={} open_jobs={}", self.box_id, self.entry.open_jobs());
                return;
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let input = match event {
            Event::Input(input) => input,
            Event::BackendReply { op, server, req, reply } => {
                if op != BackendOp::Watch
                    && let Some(calls) = self.backend_calls.get_mut(&server)
                {
                    *calls = calls.saturating_sub(1);
                }
                Input::BackendReply { op, server, req, reply }
            }
            Event::Caller(req, tx) => {
                let to = self.next_reply_to();
                self.callers.insert(to, tx);
                Input::Caller { to, req }
            }
            Event::Peer(req, tx) => {
                let to = self.next_reply_to();
                self.waiting_peers.insert(to, tx);
                Input::Peer { to, req }
            }
            Event::Health(tx) => {
                // The health check may have timed out.
                let _ = tx.try_send(self.health());
                return;
            }
        };
        for output in self.entry.handle(input, self.clock.now()) {
            self.execute(output);
        }
    }

    fn next_reply_to(&mut self) -> ReplyTo {
        self.next_reply += 1;
        ReplyTo(self.next_reply)
    }

    fn health(&self) -> Health {
        let lengths = self.entry.queue_lengths();
        let status = self.entry.status(self.clock.now());
        Health {
            ready: self.entry.is_ready(),
            queues: lengths.into_iter().map(|((a, b), n)| (a.to_string(), b.to_string(), n)).collect(),
            revision: status.revision.0,
            open_jobs: self.entry.open_jobs(),
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::ToCaller { to, reply } => {
                if let Some(tx) = self.callers.remove(&to) {
                    // The caller may have disconnected; its answer is kept until it is acknowledged.
                    let _ = tx.try_send(reply);
                }
            }
            Output::ToPeer { to, reply } => {
                if let Some(tx) = self.waiting_peers.remove(&to) {
                    // The peer may have disconnected; it will retry.
                    let _ = tx.try_send(reply);
                }
            }
            Output::CallPeer { op, peer, req, limit } => self.call_peer(op, peer, req, limit),
            Output::CallBackend { op, server, req, limit } => self.call_backend(op, server, req, limit),
            Output::CallStore { op, req } => self.call_store(op, req),
            Output::Configured(file) => self.set_addresses(&file),
            Output::Observe(observation) => telemetry::observe(&self.box_id, &observation),
        }
    }

    fn set_addresses(&self, file: &OperatorFile) {
        let addresses = file.backend_servers.values().map(|s| (s.id.clone(), s.address));
        self.backends.set_addresses(addresses.collect());
    }

    fn call_peer(&mut self, op: entry::OpId, peer: BoxId, req: PeerRequest, limit: Duration) {
        let client = self.entry.address_of(&peer).map(|addr| self.peers.client(addr));
        let events = self.events.clone();
        smol::spawn(async move {
            let reply = match client {
                Some(client) => peer_client::call(client, req, limit).await,
                None => None,
            };
            // A closed channel means that the box has stopped and needs no reply.
            let _ = events.send(Event::Input(Input::PeerReply { op, peer, reply })).await;
        })
        .detach();
    }

    fn call_backend(&mut self, op: BackendOp, server: BackendServerId, req: backend::BackendRequest, limit: Duration) {
        let events = self.events.clone();
        let mut refused = false;
        if op != BackendOp::Watch {
            let calls = self.backend_calls.entry(server.clone()).or_default();
            *calls += 1;
            refused = *calls > MAX_BACKEND_CALLS;
        }
        let call = (!refused).then(|| self.backends.call(&server, req.clone(), limit));
        smol::spawn(async move {
            let result = match call {
                Some(call) => call.await,
                None => Err(NetError::Unsent { why: format!("{MAX_BACKEND_CALLS} calls are in flight") }),
            };
            let reply = result.inspect_err(|e| log::debug!("event=backend_call_failed server={server} why={e:?}")).ok();
            // A closed channel means that the box has stopped and needs no reply.
            let _ = events.send(Event::BackendReply { op, server, req, reply }).await;
        })
        .detach();
    }

    fn call_store(&mut self, op: entry::OpId, req: outside::StoreRequest) {
        let events = self.events.clone();
        let call = self.store.call(req);
        smol::spawn(async move {
            let reply = call.await.inspect_err(|e| log::debug!("event=store_call_failed why={e:?}")).ok();
            // A closed channel means that the box has stopped and needs no reply.
            let _ = events.send(Event::Input(Input::StoreReply { op, reply })).await;
        })
        .detach();
    }
}
