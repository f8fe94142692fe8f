//! A scheduler one of whose tasks has failed by a fault of the program.
//!
//! A panic ends only the task in which it occurs. The others went on, and so did the renewal of the election: the box
//! stayed elected, and nothing started any more of the jobs whose progress the failed write held.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use common::{KEY, World, start_box_with, until};
use jobs::JobId;
use martend::deployment::read;
use model::{Duration, Revision};
use net::{BoxFuture, http::Client};
use outside::{Committed, CoordinationStore, Item, LeaseId, Page, StoreError, SystemClock, Transaction, Watched};
use runtime::{OptionalServices, RunningBox};
use smol::net::TcpListener;
use users_platform::{decode::PlatformDecoder, servers::HttpBackendServers, store::HttpStore};
use users_platform_standin::{Setup, Work, free_addrs};

const JOB: JobId = JobId(1);
const WORK: Work = Work { tasks: 1, accelerators: 1, work_ms: 50, gang: false };
/// Prefix of the records of progress.
const PROGRESS: &str = "marten/progress/";

/// The platform's store, whose client panics in the first write of progress.
struct StoreThatPanicsOnce {
    inner: HttpStore,
    has_panicked: AtomicBool,
}

impl CoordinationStore for StoreThatPanicsOnce {
    fn get(&self, key: String) -> BoxFuture<'_, Result<Option<Item>, StoreError>> {
        self.inner.get(key)
    }

    fn get_stale(&self, key: String, limit: Duration) -> BoxFuture<'_, Result<Option<Item>, StoreError>> {
        self.inner.get_stale(key, limit)
    }

    fn page(&self, prefix: String, after: Option<String>) -> BoxFuture<'_, Result<Page, StoreError>> {
        self.inner.page(prefix, after)
    }

    fn watch(&self, prefix: String, since: Revision, wait: Duration) -> BoxFuture<'_, Result<Watched, StoreError>> {
        self.inner.watch(prefix, since, wait)
    }

    fn commit(&self, transaction: Transaction, limit: Duration) -> BoxFuture<'_, Result<Committed, StoreError>> {
        let writes_progress = transaction.put.iter().any(|put| put.key.starts_with(PROGRESS));
        assert!(!writes_progress || self.has_panicked.swap(true, Ordering::SeqCst), "the fault of this test");
        self.inner.commit(transaction, limit)
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StoreError>> {
        self.inner.grant_lease(ttl)
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<bool, StoreError>> {
        self.inner.keep_alive(lease)
    }

    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        self.inner.revoke_lease(lease)
    }
}

/// Starts a box in this process whose first write of progress panics. Returns it with the address at which other boxes
/// reach it.
async fn start_faulty_box(world: &World) -> (RunningBox, SocketAddr) {
    let addrs = free_addrs();
    let path = std::env::temp_dir().join(format!("failed-tasks-{}.json", std::process::id()));
    std::fs::write(&path, world.platform.settings("box-f", &addrs, &[])).expect("the temporary directory is writable");
    let settings = read(&path.to_string_lossy()).expect("the settings are valid").runtime;
    let listener = TcpListener::bind(addrs[2]).await.expect("the address is free");
    let inner = HttpStore::new(Client::default(), world.platform.store_addr);
    let store = StoreThatPanicsOnce { inner, has_panicked: AtomicBool::new(false) };
    let servers = Arc::new(HttpBackendServers::default());
    let decoder = Arc::new(PlatformDecoder);
    let clock = Arc::new(SystemClock::default());
    let services = OptionalServices::default();
    (RunningBox::start(settings, listener, store, servers, decoder, services, clock), addrs[2])
}

/// Guards against a box that stays elected after a write of its scheduler has failed by a panic: the jobs of that write
/// were stalled for as long as the box lived.
#[test]
fn a_scheduler_with_a_failed_task_leaves_the_election() {
    smol::block_on(async {
        let setup = Setup { servers: 1, key: KEY.to_owned(), ..Setup::default() };
        let mut world = World::start_on(0, &setup).await;
        let (faulty, peers_addr) = start_faulty_box(&world).await;
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
