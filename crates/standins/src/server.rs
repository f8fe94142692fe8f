//! HTTP/1 servers on loopback for the stand-ins.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use backend::{BackendReply, BackendRequest};
use bytes::Bytes;
use hyper::{Response, StatusCode};
use model::Moment;
use net::{
    BoxFuture,
    http::{Call, Handler, json_response, serve_trusted, text_response},
};
use outside::{Clock, ListedBox, StoreReply, StoreRequest, SystemClock};
use smol::{Task, net::TcpListener};

use crate::{CallFault, Faults, KvTable, LeaseTable};

type Body = http_body_util::Full<Bytes>;

/// Interval between the checks of a waiting watch.
const WATCH_INTERVAL: Duration = Duration::from_millis(5);

/// Handle of a served backend server, which stops when the handle is dropped.
pub struct BackendHandle {
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Faults of this stand-in.
    pub faults: Arc<Faults>,
    shared: Arc<BackendShared>,
    _task: Task<()>,
}

impl BackendHandle {
    /// Locks and returns the lease table, with all changes due by now applied.
    pub fn table(&self) -> MutexGuard<'_, LeaseTable> {
        self.shared.table()
    }
}

struct BackendShared {
    table: Mutex<LeaseTable>,
    faults: Arc<Faults>,
    clock: Arc<SystemClock>,
}

impl BackendShared {
    fn table(&self) -> MutexGuard<'_, LeaseTable> {
        let mut table = self.table.lock().expect("no holder panics");
        table.set_fail_tasks(self.faults.fail_tasks(), self.clock.now());
        table.advance(self.clock.now());
        table
    }

    fn now(&self) -> Moment {
        self.clock.now()
    }

    async fn watch(&self, req: BackendRequest) -> BackendReply {
        let BackendRequest::Watch { table: incarnation, since, wait } = &req else {
            return self.table().call(req, self.now());
        };
        let until = self.now() + *wait;
        loop {
            let reply = self.table().call(req.clone(), self.now());
            let BackendReply::Table(update) = &reply else {
                return reply;
            };
            if update.table != *incarnation || update.version != *since || self.now() >= until {
                return reply;
            }
            smol::Timer::after(WATCH_INTERVAL).await;
        }
    }
}

impl Handler for BackendShared {
    fn handle(&self, call: Call) -> BoxFuture<'_, Option<Response<Body>>> {
        Box::pin(async move {
            let fault = admit(&self.faults).await?;
            let req = match read_json::<BackendRequest>(&call) {
                Ok(req) => req,
                Err(res) => return Some(res),
            };
            let reply = self.watch(req).await;
            respond(&self.faults, fault, &reply)
        })
    }
}

/// Serves a lease table on a free port of loopback. Fails if no port can be bound.
pub async fn serve_backend(table: LeaseTable, clock: Arc<SystemClock>) -> std::io::Result<BackendHandle> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let faults = Arc::new(Faults::default());
    let shared = Arc::new(BackendShared { table: Mutex::new(table), faults: Arc::clone(&faults), clock });
    let task = smol::spawn(serve_trusted(listener, Arc::clone(&shared) as Arc<dyn Handler>));
    Ok(BackendHandle { addr, faults, shared, _task: task })
}

/// Handle of the served platform, which stops when the handle is dropped.
pub struct PlatformHandle {
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Faults of this stand-in.
    pub faults: Arc<Faults>,
    shared: Arc<PlatformShared>,
    _task: Task<()>,
}

impl PlatformHandle {
    /// Sets the list of boxes. Has no effect during the fault of a stale list.
    pub fn set_boxes(&self, boxes: Vec<ListedBox>) {
        if !self.faults.stale_list() {
            *self.shared.boxes.lock().expect("no holder panics") = boxes;
        }
    }

    /// Locks and returns the table of the key-value service.
    pub fn store(&self) -> MutexGuard<'_, KvTable> {
        self.shared.store.lock().expect("no holder panics")
    }
}

struct PlatformShared {
    store: Mutex<KvTable>,
    boxes: Mutex<Vec<ListedBox>>,
    faults: Arc<Faults>,
    clock: SystemClock,
}

impl PlatformShared {
    async fn store_call(&self, req: &StoreRequest) -> StoreReply {
        let reply = self.store_once(req);
        let StoreRequest::Watch { key, above, wait } = req else {
            return reply;
        };
        let until = self.clock.now() + *wait;
        let mut reply = reply;
        while self.clock.now() < until && version_of(&reply) <= *above {
            smol::Timer::after(WATCH_INTERVAL).await;
            reply = self.store.lock().expect("no holder panics").peek(key, self.clock.now());
        }
        reply
    }

    fn store_once(&self, req: &StoreRequest) -> StoreReply {
        self.store.lock().expect("no holder panics").call(req, self.clock.now())
    }
}

fn version_of(reply: &StoreReply) -> u64 {
    match reply {
        StoreReply::Found { value: Some(value) } => value.version,
        _ => 0,
    }
}

impl Handler for PlatformShared {
    fn handle(&self, call: Call) -> BoxFuture<'_, Option<Response<Body>>> {
        Box::pin(async move {
            let fault = admit(&self.faults).await?;
            if call.path == outside::LISTING_PATH {
                let boxes = self.boxes.lock().expect("no holder panics").clone();
                return respond(&self.faults, fault, &boxes);
            }
            let req = match read_json::<StoreRequest>(&call) {
                Ok(req) => req,
                Err(res) => return Some(res),
            };
            let reply = self.store_call(&req).await;
            respond(&self.faults, fault, &reply)
        })
    }
}

/// Serves a platform with an empty store and no boxes on a free port of loopback. Fails if no port can be bound.
pub async fn serve_platform() -> std::io::Result<PlatformHandle> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let faults = Arc::new(Faults::default());
    let shared = Arc::new(PlatformShared {
        store: Mutex::default(),
        boxes: Mutex::default(),
        faults: Arc::clone(&faults),
        clock: SystemClock::default(),
    });
    let task = smol::spawn(serve_trusted(listener, Arc::clone(&shared) as Arc<dyn Handler>));
    Ok(PlatformHandle { addr, faults, shared, _task: task })
}

/// Delays a call by the configured time and returns its fault; `None` if the call is to be dropped.
async fn admit(faults: &Faults) -> Option<CallFault> {
    let delay_ms = faults.delay_ms();
    if delay_ms > 0 {
        smol::Timer::after(Duration::from_millis(delay_ms)).await;
    }
    let fault = faults.next_call();
    (fault != CallFault::Down).then_some(fault)
}

/// Returns the response; `None` if it is to be dropped or the stand-in went down during the call.
fn respond(faults: &Faults, fault: CallFault, reply: &impl serde::Serialize) -> Option<Response<Body>> {
    if fault == CallFault::LoseAnswer || faults.is_down() {
        return None;
    }
    Some(json_response(StatusCode::OK, reply))
}

fn read_json<T: serde::de::DeserializeOwned>(call: &Call) -> Result<T, Response<Body>> {
    serde_json::from_slice(&call.body).map_err(|e| text_response(StatusCode::BAD_REQUEST, format!("{e}\n")))
}
