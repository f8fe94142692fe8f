//! A scheduler or a box one of whose tasks has failed by a fault of the program.
//!
//! A panic ends only the task in which it occurs. The others went on, and so did the renewal of the election: the box
//! stayed elected, and nothing started any more of the jobs whose progress the failed write held.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Instant,
};

use common::{KEY, World, start_box_with, until};
use jobs::JobId;
use martend::deployment::read;
use model::{AvailabilityZoneId, BackendServerId, Duration, Revision};
use net::{BoxFuture, http::Client};
use outside::{Committed, CoordinationStore, Item, LeaseId, Page, StoreError, SystemClock, Transaction, Watched};
use runtime::{
    Configuration, OptionalServices, RunningBox,
    platform::{DecodeError, Decoder, ListedServer},
};
use scheduler::MaintenanceRequest;
use smol::net::TcpListener;
use users_platform::{decode::PlatformDecoder, servers::HttpBackendServers, store::HttpStore};
use users_platform_standin::{Setup, Work, free_addrs};

const JOB: JobId = JobId(1);
const WORK: Work = Work { tasks: 1, accelerators: 1, work_ms: 50, gang: false };
/// Delays after the first two of three failed terms: 1.5 s and twice as long.
const ELAPSED_OF_THREE: std::time::Duration = std::time::Duration::from_millis(4500);
/// Prefix of the records of progress.
const PROGRESS: &str = "marten/progress/";

/// Prefix of the records of submissions, which a new scheduler reads first.
const SUBMISSIONS: &str = "marten/in/";

/// Call on the store that panics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The first write of progress.
    WriteOfProgress,
    /// The first read of the submissions, by a scheduler that restores its state.
    ReadOfSubmissions,
    /// The first grant of a lease, by a candidate.
    GrantOfLease,
    /// Every read of the submissions.
    EachReadOfSubmissions,
    /// The second decoding of a configuration.
    SecondConfiguration,
}

/// The platform's store, whose client panics in one call.
struct FaultyStore {
    inner: HttpStore,
    fault: Fault,
    has_panicked: AtomicBool,
    /// When a read of the submissions was begun.
    reads: Arc<Mutex<Vec<Instant>>>,
}

impl FaultyStore {
    /// Panics at the first call that meets the fault.
    fn check(&self, met: Option<Fault>) {
        let is_met = met == Some(self.fault);
        assert!(!is_met || self.has_panicked.swap(true, Ordering::SeqCst), "the fault of this test");
    }
}

impl CoordinationStore for FaultyStore {
    fn get(&self, key: String) -> BoxFuture<'_, Result<Option<Item>, StoreError>> {
        self.inner.get(key)
    }

    fn get_stale(&self, key: String, limit: Duration) -> BoxFuture<'_, Result<Option<Item>, StoreError>> {
        self.inner.get_stale(key, limit)
    }

    fn page(&self, prefix: String, after: Option<String>) -> BoxFuture<'_, Result<Page, StoreError>> {
        if prefix == SUBMISSIONS {
            self.reads.lock().expect("no holder panics").push(Instant::now());
            self.check(Some(Fault::ReadOfSubmissions));
            assert!(self.fault != Fault::EachReadOfSubmissions, "the fault of this test");
        }
        self.inner.page(prefix, after)
    }

    fn watch(&self, prefix: String, since: Revision, wait: Duration) -> BoxFuture<'_, Result<Watched, StoreError>> {
        self.inner.watch(prefix, since, wait)
    }

    fn commit(&self, transaction: Transaction, limit: Duration) -> BoxFuture<'_, Result<Committed, StoreError>> {
        let writes_progress = transaction.put.iter().any(|put| put.key.starts_with(PROGRESS));
        self.check(writes_progress.then_some(Fault::WriteOfProgress));
        self.inner.commit(transaction, limit)
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StoreError>> {
        self.check(Some(Fault::GrantOfLease));
        self.inner.grant_lease(ttl)
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<bool, StoreError>> {
        self.inner.keep_alive(lease)
    }

    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        self.inner.revoke_lease(lease)
    }
}

/// The platform's decoder, which panics at the second configuration.
struct FaultyDecoder {
    fault: Fault,
    configurations: AtomicUsize,
}

impl Decoder for FaultyDecoder {
    fn configuration_key(&self) -> String {
        PlatformDecoder.configuration_key()
    }

    fn configuration(&self, document: &[u8]) -> Result<Configuration, DecodeError> {
        let earlier = self.configurations.fetch_add(1, Ordering::SeqCst);
        assert!(self.fault != Fault::SecondConfiguration || earlier != 1, "the fault of this test");
        PlatformDecoder.configuration(document)
    }

    fn servers_prefix(&self) -> String {
        PlatformDecoder.servers_prefix()
    }

    fn server(&self, item: &Item) -> Result<ListedServer, DecodeError> {
        PlatformDecoder.server(item)
    }

    fn maintenance_prefix(&self) -> String {
        PlatformDecoder.maintenance_prefix()
    }

    fn maintenance_request(&self, item: &Item) -> Result<MaintenanceRequest, DecodeError> {
        PlatformDecoder.maintenance_request(item)
    }

    fn maintenance_status(&self, number: u64, succeeded: bool) -> (String, Vec<u8>) {
        PlatformDecoder.maintenance_status(number, succeeded)
    }

    fn evacuations_prefix(&self) -> String {
        PlatformDecoder.evacuations_prefix()
    }

    fn evacuation_key(&self, zone: &AvailabilityZoneId) -> String {
        PlatformDecoder.evacuation_key(zone)
    }

    fn evacuated_zone(&self, key: &str) -> Option<AvailabilityZoneId> {
        PlatformDecoder.evacuated_zone(key)
    }

    fn server_of_key(&self, key: &str) -> Option<BackendServerId> {
        PlatformDecoder.server_of_key(key)
    }
}

/// A box in this process with a fault.
struct FaultyBox {
    running: RunningBox,
    /// Address at which other boxes reach it.
    peers_addr: SocketAddr,
    /// When its schedulers have read the submissions.
    reads: Arc<Mutex<Vec<Instant>>>,
    decoder: Arc<FaultyDecoder>,
}

async fn start_faulty_box(world: &World, fault: Fault) -> FaultyBox {
    let addrs = free_addrs();
    let path = std::env::temp_dir().join(format!("failed-tasks-{}-{fault:?}.json", std::process::id()));
    std::fs::write(&path, world.platform.settings("box-f", &addrs, &[])).expect("the temporary directory is writable");
    let settings = read(&path.to_string_lossy()).expect("the settings are valid").runtime;
    let listener = TcpListener::bind(addrs[2]).await.expect("the address is free");
    let inner = HttpStore::new(Client::default(), world.platform.store_addr);
    let reads = Arc::<Mutex<Vec<Instant>>>::default();
    let store = FaultyStore { inner, fault, has_panicked: AtomicBool::new(false), reads: Arc::clone(&reads) };
    let servers = Arc::new(HttpBackendServers::default());
    let decoder = Arc::new(FaultyDecoder { fault, configurations: AtomicUsize::new(0) });
    let clock = Arc::new(SystemClock::default());
    let services = OptionalServices::default();
    let running = RunningBox::start(
        settings,
        listener,
        store,
        servers,
        Arc::clone(&decoder) as Arc<dyn Decoder>,
        services,
        clock,
    );
    FaultyBox { running, peers_addr: addrs[2], reads, decoder }
}

/// Guards against a box that stays elected after a write of its scheduler has failed by a panic: the jobs of that write
/// were stalled for as long as the box lived.
#[test]
fn a_scheduler_with_a_failed_task_leaves_the_election() {
    smol::block_on(async {
        let setup = Setup { servers: 1, key: KEY.to_owned(), ..Setup::default() };
        let mut world = World::start_on(0, &setup).await;
        let FaultyBox { running: faulty, peers_addr, .. } = start_faulty_box(&world, Fault::WriteOfProgress).await;
        until("the box schedules", || async { faulty.status().schedules_with_fence.is_some() }).await;
        let addrs = free_addrs();
        let settings = world.platform.settings("box-1", &addrs, &[peers_addr]);
        world.boxes.push(start_box_with("box-1", addrs, settings));
        world.until_ready(0).await;
        world.submit(JOB, WORK).await;
        until("the job has succeeded", || async {
            world.state(0, JOB).await.is_some_and(|answer| answer.state == "succeeded")
        })
        .await;
    });
}

/// Guards against a box whose part in the election ends by a panic while its scheduler restores its state: it was never
/// elected again, and a lone box scheduled nothing any more.
#[test]
fn a_box_whose_restore_has_panicked_is_elected_again() {
    assert_elected_again_after(Fault::ReadOfSubmissions);
}

/// Guards against the same where the panic occurs in the candidacy.
#[test]
fn a_box_whose_candidacy_has_panicked_is_elected_again() {
    assert_elected_again_after(Fault::GrantOfLease);
}

/// Asserts that a lone box schedules after a fault, and that a job runs under it.
fn assert_elected_again_after(fault: Fault) {
    smol::block_on(async {
        let setup = Setup { servers: 1, key: KEY.to_owned(), ..Setup::default() };
        let mut world = World::start_on(0, &setup).await;
        let FaultyBox { running: faulty, peers_addr, .. } = start_faulty_box(&world, fault).await;
        until("the box schedules", || async { faulty.status().schedules_with_fence.is_some() }).await;
        let fence = faulty.status().schedules_with_fence;
        let addrs = free_addrs();
        let settings = world.platform.settings("box-1", &addrs, &[peers_addr]);
        world.boxes.push(start_box_with("box-1", addrs, settings));
        world.until_ready(0).await;
        world.submit(JOB, WORK).await;
        until("the job has succeeded", || async {
            world.state(0, JOB).await.is_some_and(|answer| answer.state == "succeeded")
        })
        .await;
        assert_eq!(faulty.status().schedules_with_fence, fence, "the job ran under the box that had failed");
    });
}

/// Guards against elections at the full rate for as long as a fault meets every scheduler.
#[test]
fn elections_slow_down_while_each_restore_panics() {
    smol::block_on(async {
        let setup = Setup { servers: 1, key: KEY.to_owned(), ..Setup::default() };
        let world = World::start_on(0, &setup).await;
        let faulty = start_faulty_box(&world, Fault::EachReadOfSubmissions).await;
        let reads = || faulty.reads.lock().expect("no holder panics").clone();
        until("three restores have failed", || async { reads().len() >= 3 }).await;
        let elapsed = reads()[2].duration_since(reads()[0]);
        assert!(elapsed >= ELAPSED_OF_THREE, "three failed after {elapsed:?}");
        drop(faulty.running);
    });
}

/// Guards against a box that keeps an old configuration for as long as it lives, since the task that follows the
/// configuration has ended by a panic.
#[test]
fn a_box_follows_the_configuration_after_a_panic() {
    smol::block_on(async {
        let setup = Setup { servers: 1, key: KEY.to_owned(), ..Setup::default() };
        let world = World::start_on(0, &setup).await;
        let faulty = start_faulty_box(&world, Fault::SecondConfiguration).await;
        let version = || faulty.running.status().configuration_version;
        until("the box has a configuration", || async { version().is_some() }).await;
        let first = version().expect("it has one");
        world.platform.configure(first + 1);
        until("the configuration has been decoded", || async {
            faulty.decoder.configurations.load(Ordering::SeqCst) >= 2
        })
        .await;
        world.platform.configure(first + 2);
        until("the box follows the next version", || async { version() == Some(first + 2) }).await;
    });
}
