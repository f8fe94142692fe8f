//! A scheduling box whose machine is suspended. It resumes with orders in flight and with an election that it may have
//! lost long ago. The orders that it then sends must not start or prolong runs that another scheduler considers ended.
//!
//! The box runs in this process, with a clock that jumps ahead as that of the machine does when it resumes.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration as StdDuration,
};

use common::{KEY, World, until};
use hyper::StatusCode;
use jobs::{Fence, JobId, RunNumber, TaskId};
use martend::deployment::read;
use model::{BoxId, Duration, Moment};
use net::{BoxFuture, NetError, http::Client};
use outside::{Clock, SystemClock};
use runtime::{
    OptionalServices, RunningBox,
    platform::{BackendServers, Heartbeat, HeartbeatReply, Machines, Start, StopReply, Target, ThrottleOrder},
};
use scheduler::{MachineId, MachineList, MaintenanceReply, StartReply};
use smol::{channel, net::TcpListener};
use users_platform::{decode::PlatformDecoder, machines::HttpMachines, servers::HttpBackendServers, store::HttpStore};
use users_platform_standin::{Padding, Setup, Work, free_addrs};

const WORK: Work = Work { tasks: 1, accelerators: 1, work_ms: 20_000, gang: false };
/// Starts to one backend server that are sent while none of them has a response; further ones wait.
const MAX_IN_FLIGHT: usize = 4;
const JOBS: u64 = 6;
/// Duration of the suspension, far longer than a scheduler may continue without confirming its election (8 s).
const SUSPENDED: Duration = Duration::from_secs(30);

/// Clock of the machine, which jumps ahead by the duration of a suspension.
#[derive(Default)]
struct JumpingClock {
    clock: SystemClock,
    ahead_ms: AtomicU64,
}

impl Clock for JumpingClock {
    fn now(&self) -> Moment {
        self.clock.now() + Duration::from_millis(self.ahead_ms.load(Ordering::SeqCst))
    }

    fn wall_ms(&self) -> u64 {
        self.clock.wall_ms() + self.ahead_ms.load(Ordering::SeqCst)
    }
}

/// Backend servers whose starts stay in flight until the gate opens.
struct GatedServers {
    servers: HttpBackendServers,
    gate: channel::Receiver<()>,
    starts: AtomicUsize,
    /// Number of leases that were renewed since the gate opened.
    renewed: AtomicUsize,
}

impl BackendServers for GatedServers {
    fn heartbeat(&self, target: Target, heartbeat: Heartbeat) -> BoxFuture<'_, Result<HeartbeatReply, NetError>> {
        if heartbeat.lease.is_some() && self.gate.is_closed() {
            self.renewed.fetch_add(1, Ordering::SeqCst);
        }
        self.servers.heartbeat(target, heartbeat)
    }

    fn start(&self, target: Target, start: Start) -> BoxFuture<'_, StartReply> {
        Box::pin(async move {
            self.starts.fetch_add(1, Ordering::SeqCst);
            // `recv` returns an error once the gate is closed, which lets the call pass.
            let _ = self.gate.recv().await;
            self.servers.start(target, start).await
        })
    }

    fn stop(
        &self,
        target: Target,
        fence: Fence,
        task: TaskId,
        run: RunNumber,
    ) -> BoxFuture<'_, Result<StopReply, NetError>> {
        self.servers.stop(target, fence, task, run)
    }

    fn throttle(&self, target: Target, order: ThrottleOrder) -> BoxFuture<'_, Result<bool, NetError>> {
        self.servers.throttle(target, order)
    }

    fn remove(&self, target: &Target) {
        self.servers.remove(target);
    }
}

/// Machines whose list is returned once the gate opens.
struct GatedMachines {
    machines: HttpMachines,
    gate: channel::Receiver<()>,
    list_calls: AtomicUsize,
    maintenance_calls: AtomicUsize,
}

impl Machines for GatedMachines {
    fn list(&self) -> BoxFuture<'_, Result<MachineList, NetError>> {
        Box::pin(async move {
            self.list_calls.fetch_add(1, Ordering::SeqCst);
            let _ = self.gate.recv().await;
            self.machines.list().await
        })
    }

    fn begin_maintenance(
        &self,
        machine: MachineId,
        wave: u64,
        holder: BoxId,
        fence: Fence,
    ) -> BoxFuture<'_, MaintenanceReply> {
        self.maintenance_calls.fetch_add(1, Ordering::SeqCst);
        self.machines.begin_maintenance(machine, wave, holder, fence)
    }
}

/// Starts a platform with open jobs, one unreachable backend server and no box.
async fn with_open_jobs() -> World {
    let setup = Setup { servers: 1, key: KEY.to_owned(), ..Setup::default() };
    let mut world = World::start_on(1, &setup).await;
    world.platform.disconnect_server(0).await;
    for id in (1..=JOBS).map(JobId) {
        let answer = world.caller.submit_padded(world.boxes[0].addrs[0], id, WORK, Padding::default()).await;
        assert_eq!(answer.expect("the box responds").status, StatusCode::OK);
    }
    world.boxes.clear();
    world
}

async fn start_in_this_process(
    world: &World,
    servers: Arc<dyn BackendServers>,
    services: OptionalServices,
    clock: Arc<JumpingClock>,
) -> RunningBox {
    let addrs = free_addrs();
    let path = std::env::temp_dir().join(format!("suspended-{}-{}.json", std::process::id(), addrs[0].port()));
    std::fs::write(&path, world.platform.settings("box-s", &addrs, &[])).expect("the temporary directory is writable");
    let settings = read(&path.to_string_lossy()).expect("the settings are valid");
    let listener = TcpListener::bind(settings.runtime.peers_address).await.expect("the address is free");
    let store = HttpStore::new(Client::default(), settings.store_address);
    RunningBox::start(settings.runtime, listener, store, servers, Arc::new(PlatformDecoder), services, clock)
}

#[test]
fn a_resumed_box_sends_no_start_and_renews_no_lease_before_its_election_is_confirmed() {
    smol::block_on(async {
        let mut world = with_open_jobs().await;
        let (open, gate) = channel::bounded::<()>(1);
        let servers = Arc::new(GatedServers {
            servers: HttpBackendServers::default(),
            gate,
            starts: AtomicUsize::new(0),
            renewed: AtomicUsize::new(0),
        });
        let clock = Arc::new(JumpingClock::default());
        let a_box =
            start_in_this_process(&world, servers.clone(), OptionalServices::default(), Arc::clone(&clock)).await;
        world.platform.restore_server(0).await.expect("the address is free");
        let sent = || servers.starts.load(Ordering::SeqCst);
        until("the first starts are in flight", || async { sent() == MAX_IN_FLIGHT }).await;
        // The others wait behind them. The machine is suspended, and resumes while the store is unreachable.
        smol::Timer::after(StdDuration::from_millis(300)).await;
        assert_eq!(sent(), MAX_IN_FLIGHT, "the others wait");
        world.platform.set_store_down(true);
        clock.ahead_ms.store(SUSPENDED.millis(), Ordering::SeqCst);
        open.close();
        until("the box no longer schedules", || async { a_box.status().schedules_with_fence.is_none() }).await;
        smol::Timer::after(StdDuration::from_millis(300)).await;
        assert_eq!(sent(), MAX_IN_FLIGHT, "no start is sent after the suspension");
        assert_eq!(servers.renewed.load(Ordering::SeqCst), 0, "no lease is renewed");
    });
}

#[test]
fn a_resumed_box_hands_over_no_machine_for_maintenance() {
    smol::block_on(async {
        let mut world = World::start(1, 1).await;
        world.boxes.clear();
        world.platform.request_maintenance(1, 1);
        let (open, gate) = channel::bounded::<()>(1);
        let machines = Arc::new(GatedMachines {
            machines: HttpMachines::new(Client::default(), world.platform.machines_addr),
            gate,
            list_calls: AtomicUsize::new(0),
            maintenance_calls: AtomicUsize::new(0),
        });
        let clock = Arc::new(JumpingClock::default());
        let services = OptionalServices { machines: Some(machines.clone()), ..OptionalServices::default() };
        let a_box =
            start_in_this_process(&world, Arc::new(HttpBackendServers::default()), services, Arc::clone(&clock)).await;
        until("the list of machines is requested", || async { machines.list_calls.load(Ordering::SeqCst) == 1 }).await;
        world.platform.set_store_down(true);
        clock.ahead_ms.store(SUSPENDED.millis(), Ordering::SeqCst);
        open.close();
        until("the box no longer schedules", || async { a_box.status().schedules_with_fence.is_none() }).await;
        assert_eq!(machines.maintenance_calls.load(Ordering::SeqCst), 0);
    });
}
