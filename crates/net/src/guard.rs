//! Guard over the memory and the connections of all servers of a process, which clients could otherwise use up.

use std::{
    collections::HashMap,
    fmt,
    net::IpAddr,
    os::fd::AsFd,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use rustix::net::sockopt;
use smol::{
    channel::{Receiver, Sender, bounded},
    net::{TcpListener, TcpStream},
};

use crate::{
    Purpose,
    account::Account,
    admission::{Admission, ConnectionId, ConnectionLimit, Decision, Held, MemoryLimit, Phase},
};

/// Memory of an open connection apart from what it receives and sends: buffers, state and task, in bytes.
pub const CONNECTION_BYTES: usize = 32 * 1024;
/// Receive buffer of an accepted socket, in bytes: what has arrived and has not been read takes memory too.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;
/// Send buffer of an accepted socket, in bytes: what the client has not read takes memory too.
const SEND_BUFFER_BYTES: usize = 64 * 1024;
/// Delay after a failed accept, which gives time for file descriptors to be freed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Connections to be closed whose tasks may still run when another one is accepted. Each holds its descriptor until
/// then.
const MAX_CLOSING: usize = 16;
/// Interval at which an accept checks whether connections to be closed have been closed.
const CLOSING_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Number of these checks, after which the accept goes on.
const MAX_CLOSING_POLLS: usize = 100;
/// Shortest time between two log lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Server of a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum Server {
    /// For callers.
    Callers,
    /// For other boxes.
    Peers,
    /// For readiness checks.
    Readiness,
    /// For operators.
    Metrics,
}

impl Server {
    /// All servers, in the order of their counters.
    pub const ALL: [Server; 4] = [Server::Callers, Server::Peers, Server::Readiness, Server::Metrics];

    /// Returns the purpose under which the traffic of the server is counted.
    pub(crate) fn purpose(self) -> Purpose {
        match self {
            Server::Callers => Purpose::Callers,
            Server::Peers => Purpose::Boxes,
            Server::Readiness | Server::Metrics => Purpose::Other,
        }
    }
}

/// Why a connection was closed or a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// Closed to make room for others.
    Evicted,
    /// Refused for lack of room.
    Refused,
    /// Refused since its body is too long.
    TooLarge,
    /// Closed since its client stopped sending or reading.
    Stalled,
}

impl Reason {
    /// All reasons, in the order of their counters.
    pub const ALL: [Reason; 4] = [Reason::Evicted, Reason::Refused, Reason::TooLarge, Reason::Stalled];
}

/// Limits on the sums over all connections of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GuardLimits {
    /// Most memory that connections hold together.
    pub memory: MemoryLimit,
    /// Most connections that are open at the same time.
    pub connections: ConnectionLimit,
}

impl GuardLimits {
    /// Limits that nothing reaches, for servers whose clients are all trusted.
    pub const NONE: GuardLimits =
        GuardLimits { memory: MemoryLimit(usize::MAX / 2), connections: ConnectionLimit(usize::MAX / 2) };
}

/// Guard that the servers of a process share. Cheap to clone.
#[derive(Clone)]
pub struct Guard(Arc<Shared>);

struct Shared {
    limits: GuardLimits,
    state: Mutex<State>,
    started: Instant,
    /// Evicted connections whose tasks have not ended yet.
    closing: AtomicUsize,
    counters: [[AtomicU64; Reason::ALL.len()]; Server::ALL.len()],
    report: Mutex<Report>,
}

struct State {
    admission: Admission,
    open: HashMap<ConnectionId, OpenConnection>,
    opened: u64,
}

/// What the guard needs to close a connection. Dropping it tells the connection's task.
struct OpenConnection {
    server: Server,
    body: Arc<Mutex<Vec<u8>>>,
    _alive: Sender<()>,
}

/// Events since the last log line, in the order of [`Reason::ALL`].
#[derive(Default)]
struct Report {
    logged: Option<Instant>,
    counts: [u64; Reason::ALL.len()],
}

impl fmt::Debug for Guard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Guard").field("limits", &self.0.limits).field("held", &self.held()).finish()
    }
}

impl Guard {
    /// Creates a guard with these limits.
    pub fn new(limits: GuardLimits) -> Guard {
        let admission = Admission::new(limits.memory, limits.connections);
        Guard(Arc::new(Shared {
            limits,
            state: Mutex::new(State { admission, open: HashMap::new(), opened: 0 }),
            started: Instant::now(),
            closing: AtomicUsize::new(0),
            counters: Default::default(),
            report: Mutex::default(),
        }))
    }

    /// Returns the limits.
    pub fn limits(&self) -> GuardLimits {
        self.0.limits
    }

    /// Returns what all connections hold together.
    pub fn held(&self) -> Held {
        self.lock().admission.held()
    }

    /// Returns how often connections to a server were closed or refused for a reason.
    pub fn count(&self, server: Server, reason: Reason) -> u64 {
        self.0.counters[server as usize][reason as usize].load(Ordering::Relaxed)
    }

    /// Makes a socket, and those that a listener accepts from now on, buffer little, unless there is no limit.
    pub(crate) fn limit_socket_buffers(&self, socket: impl AsFd) {
        if self.0.limits == GuardLimits::NONE {
            return;
        }
        let receive = sockopt::set_socket_recv_buffer_size(&socket, RECEIVE_BUFFER_BYTES);
        let send = sockopt::set_socket_send_buffer_size(&socket, SEND_BUFFER_BYTES);
        if let Err(e) = receive.and(send) {
            // The buffers then have the size that the system chooses.
            log::debug!("event=socket_buffer_not_set why={e}");
        }
    }

    /// Accepts the next connection that there is room for. Others are closed on arrival.
    pub(crate) async fn accept(&self, listener: &TcpListener, server: Server) -> Accepted {
        loop {
            let Ok((stream, addr)) = listener.accept().await else {
                // Most likely no file descriptors are left: wait until some are closed.
                smol::Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            // It may have been opened before its listener was limited.
            self.limit_socket_buffers(&stream);
            self.wait_closed().await;
            if let Some((account, evicted)) = self.open(server, addr.ip()) {
                return Accepted { stream, account: Arc::new(account), evicted };
            }
        }
    }

    /// Waits until most of the evicted connections have been closed, as each holds a descriptor until then.
    async fn wait_closed(&self) {
        for _ in 0..MAX_CLOSING_POLLS {
            if self.0.closing.load(Ordering::Relaxed) <= MAX_CLOSING {
                return;
            }
            smol::Timer::after(CLOSING_POLL_INTERVAL).await;
        }
    }

    fn open(&self, server: Server, client: IpAddr) -> Option<(Account, Receiver<()>)> {
        let now = self.now();
        let mut state = self.lock();
        state.opened += 1;
        let id = ConnectionId(state.opened);
        let decision = state.admission.open(id, client, CONNECTION_BYTES, now);
        let Some(freed) = self.carry_out(&mut state, decision) else {
            drop(state);
            self.report(server, Reason::Refused, client);
            return None;
        };
        let (alive, evicted) = bounded(1);
        let body = Arc::default();
        state.open.insert(id, OpenConnection { server, body: Arc::clone(&body), _alive: alive });
        drop(state);
        self.report_evicted(freed);
        Some((Account::new(self.clone(), id, server, client, body), evicted))
    }

    /// Lets a connection hold `bytes` more, and closes others if it must. Returns whether it may.
    pub(crate) fn reserve(&self, id: ConnectionId, bytes: usize) -> bool {
        self.decide(|admission| admission.reserve(id, bytes))
    }

    /// Lets a connection process its request with `bytes` more. Returns whether it may.
    pub(crate) fn process(&self, id: ConnectionId, bytes: usize) -> bool {
        self.decide(|admission| admission.process(id, bytes))
    }

    fn decide(&self, decide: impl FnOnce(&mut Admission) -> Decision) -> bool {
        let mut state = self.lock();
        let decision = decide(&mut state.admission);
        let evicted = self.carry_out(&mut state, decision);
        drop(state);
        evicted.map(|evicted| self.report_evicted(evicted)).is_some()
    }

    pub(crate) fn release(&self, id: ConnectionId, bytes: usize) {
        self.lock().admission.release(id, bytes);
    }

    pub(crate) fn set_phase(&self, id: ConnectionId, phase: Phase) {
        self.lock().admission.set_phase(id, phase);
    }

    pub(crate) fn close(&self, id: ConnectionId) {
        let mut state = self.lock();
        state.admission.close(id);
        if state.open.remove(&id).is_none() {
            self.0.closing.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Returns the time since the guard was created.
    pub(crate) fn now(&self) -> Duration {
        self.0.started.elapsed()
    }

    /// Closes the connections that a decision gives up, frees their bodies at once, and returns their servers; `None`
    /// if the decision is a refusal.
    fn carry_out(&self, state: &mut State, decision: Decision) -> Option<Vec<Server>> {
        let Decision::Granted(ids) = decision else { return None };
        let evicted: Vec<_> = ids.iter().filter_map(|id| state.open.remove(id)).collect();
        self.0.closing.fetch_add(evicted.len(), Ordering::Relaxed);
        let close = |connection: OpenConnection| {
            *connection.body.lock().expect("no holder panics") = Vec::new();
            connection.server
        };
        Some(evicted.into_iter().map(close).collect())
    }

    fn report_evicted(&self, servers: Vec<Server>) {
        for server in servers {
            self.count_up(server, Reason::Evicted);
        }
    }

    /// Counts an event, and logs all since the last line if that is long enough ago.
    pub(crate) fn report(&self, server: Server, reason: Reason, client: IpAddr) {
        self.count_up(server, reason);
        self.log(server, client);
    }

    fn count_up(&self, server: Server, reason: Reason) {
        self.0.counters[server as usize][reason as usize].fetch_add(1, Ordering::Relaxed);
        self.0.report.lock().expect("no holder panics").counts[reason as usize] += 1;
    }

    /// Logs what has been counted since the last line, with the server and the client of the newest event.
    pub(crate) fn log(&self, server: Server, client: IpAddr) {
        let mut report = self.0.report.lock().expect("no holder panics");
        let is_early = report.logged.is_some_and(|logged| logged.elapsed() < REPORT_INTERVAL);
        if is_early || report.counts.iter().all(|count| *count == 0) {
            return;
        }
        let [evicted, refused, too_large, stalled] = std::mem::take(&mut report.counts);
        report.logged = Some(Instant::now());
        drop(report);
        let Held { bytes, connections } = self.held();
        log::warn!(
            "event=clients_limited held_bytes={bytes} connections={connections} evicted={evicted} refused={refused} \
             too_large={too_large} stalled={stalled} server={server} client={client}"
        );
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.state.lock().expect("no holder panics")
    }
}

/// Connection that there is room for.
pub(crate) struct Accepted {
    pub(crate) stream: TcpStream,
    pub(crate) account: Arc<Account>,
    /// Closed when the connection is to be closed to make room for others.
    pub(crate) evicted: Receiver<()>,
}
