//! The stand-ins behind HTTP/1 on loopback.

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
    http::{Call, Handler, json_response, serve, text_response},
};
use outside::{Clock, ListedBox, StoreReply, StoreRequest, SystemClock};
use smol::{Task, net::TcpListener};

use crate::{Faults, KvTable, LeaseTable, StoreFault};

type Body = http_body_util::Full<Bytes>;

/// How often a waiting watch looks again.
const WATCH_STEP: Duration = Duration::from_millis(5);

/// A backend server that runs until this is dropped.
pub struct BackendHandle {
    /// Where it answers.
    pub addr: SocketAddr,
    /// Its faults.
    pub faults: Arc<Faults>,
    shared: Arc<BackendShared>,
    _task: Task<()>,
}

impl BackendHandle {
    /// Its table, brought to the present.
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
        let BackendRequest::Watch { table: life, since, wait } = &req else {
            return self.table().call(req, self.now());
        };
        let until = self.now() + *wait;
        loop {
            let reply = self.table().call(req.clone(), self.now());
            let BackendReply::Table(update) = &reply else {
                return reply;
            };
            if update.table != *life || update.version != *since || self.now() >= until {
                return reply;
            }
            smol::Timer::after(WATCH_STEP).await;
        }
    }
}

impl Handler for BackendShared {
    fn handle(&self, call: Call) -> BoxFuture<'_, Option<Response<Body>>> {
        Box::pin(async move {
            let fault = enter(&self.faults).await?;
            let req = match read_json::<BackendRequest>(&call) {
                Ok(req) => req,
                Err(res) => return Some(res),
            };
            let reply = self.watch(req).await;
            leave(&self.faults, fault, &reply)
        })
    }
}

/// Serves a lease table on a free port of loopback.
pub async fn serve_backend(table: LeaseTable, clock: Arc<SystemClock>) -> std::io::Result<BackendHandle> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let faults = Arc::new(Faults::default());
    let shared = Arc::new(BackendShared { table: Mutex::new(table), faults: Arc::clone(&faults), clock });
    let task = smol::spawn(serve(listener, Arc::clone(&shared) as Arc<dyn Handler>));
    Ok(BackendHandle { addr, faults, shared, _task: task })
}

/// The platform, which runs until this is dropped.
pub struct PlatformHandle {
    /// Where it answers.
    pub addr: SocketAddr,
    /// Its faults.
    pub faults: Arc<Faults>,
    shared: Arc<PlatformShared>,
    _task: Task<()>,
}

impl PlatformHandle {
    /// Sets the list of boxes, unless a fault keeps it as it is.
    pub fn set_boxes(&self, boxes: Vec<ListedBox>) {
        if !self.faults.stale_list() {
            *self.shared.boxes.lock().expect("no holder panics") = boxes;
        }
    }

    /// The key-value service's table.
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
            smol::Timer::after(WATCH_STEP).await;
            reply = self.store.lock().expect("no holder panics").look(key, self.clock.now());
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
            let fault = enter(&self.faults).await?;
            if call.path == outside::LISTING_PATH {
                let boxes = self.boxes.lock().expect("no holder panics").clone();
                return leave(&self.faults, fault, &boxes);
            }
            let req = match read_json::<StoreRequest>(&call) {
                Ok(req) => req,
                Err(res) => return Some(res),
            };
            let reply = self.store_call(&req).await;
            leave(&self.faults, fault, &reply)
        })
    }
}

/// Serves an empty platform on a free port of loopback.
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
    let task = smol::spawn(serve(listener, Arc::clone(&shared) as Arc<dyn Handler>));
    Ok(PlatformHandle { addr, faults, shared, _task: task })
}

/// Waits out slowness; `None` when the call is not to be seen.
async fn enter(faults: &Faults) -> Option<StoreFault> {
    let slow = faults.slow_ms();
    if slow > 0 {
        smol::Timer::after(Duration::from_millis(slow)).await;
    }
    let fault = faults.next_call();
    (fault != StoreFault::Down).then_some(fault)
}

/// The reply, unless it is to be lost or the stand-in went down while the call waited.
fn leave(faults: &Faults, fault: StoreFault, reply: &impl serde::Serialize) -> Option<Response<Body>> {
    if fault == StoreFault::LoseAnswer || faults.is_down() {
        return None;
    }
    Some(json_response(StatusCode::OK, reply))
}

fn read_json<T: serde::de::DeserializeOwned>(call: &Call) -> Result<T, Response<Body>> {
    serde_json::from_slice(&call.body).map_err(|e| text_response(StatusCode::BAD_REQUEST, format!("{e}\n")))
}
