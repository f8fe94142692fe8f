//! Learned speeds in the store: a new scheduler applies them, never waits for them, and writes them only while it is
//! elected.

mod common;

use std::{
    sync::{Arc, Mutex},
    time::Duration as StdDuration,
};

use common::{KEY, World, start_box, until};
use jobs::JobId;
use martend::deployment::read;
use model::{Duration, Revision};
use net::{BoxFuture, http::Client};
use outside::{Committed, CoordinationStore, Item, LeaseId, Page, StoreError, SystemClock, Transaction, Watched};
use runtime::{OptionalServices, RunningBox};
use smol::net::TcpListener;
use users_platform::{decode::PlatformDecoder, servers::HttpBackendServers, store::HttpStore};
use users_platform_standin::{Setup, Work, free_addrs};

const BOX: &str = "box-s";
const SERVERS: usize = 6;
const PAGES: &str = "marten/learned/";
const SCHEDULER_KEY: &str = "marten/scheduler";
const WORK: Work = Work { tasks: SERVERS as u32, accelerators: 4, work_ms: 300, gang: false };

/// What happens to reads of the pages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reads {
    Answered,
    /// Answered later than everything else that a new scheduler reads.
    Slow,
    /// The first ones fail.
    Fail,
}

/// The platform's store, with faults in reads of the pages, and a record of the writes of pages.
struct FaultyStore {
    store: HttpStore,
    reads: Reads,
    failures: Arc<Mutex<usize>>,
    writes: Arc<Mutex<Vec<Transaction>>>,
}

impl CoordinationStore for FaultyStore {
    fn get(&self, key: String) -> BoxFuture<'_, Result<Option<Item>, StoreError>> {
        self.store.get(key)
    }

    fn get_stale(&self, key: String, limit: Duration) -> BoxFuture<'_, Result<Option<Item>, StoreError>> {
        self.store.get_stale(key, limit)
    }

    fn page(&self, prefix: String, after: Option<String>) -> BoxFuture<'_, Result<Page, StoreError>> {
        Box::pin(async move {
            if prefix == PAGES && self.reads == Reads::Slow {
                smol::Timer::after(StdDuration::from_secs(3)).await;
            }
            if prefix == PAGES && self.reads == Reads::Fail {
                let mut failures = self.failures.lock().expect("no holder panics");
                *failures += 1;
                if *failures < 10 {
                    return Err(StoreError::Lost { why: "the test drops it".to_owned() });
                }
            }
            self.store.page(prefix, after).await
        })
    }

    fn watch(&self, prefix: String, since: Revision, wait: Duration) -> BoxFuture<'_, Result<Watched, StoreError>> {
        self.store.watch(prefix, since, wait)
    }

    fn commit(&self, transaction: Transaction, limit: Duration) -> BoxFuture<'_, Result<Committed, StoreError>> {
        if transaction.put.iter().any(|put| put.key.starts_with(PAGES)) {
            self.writes.lock().expect("no holder panics").push(transaction.clone());
        }
        self.store.commit(transaction, limit)
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StoreError>> {
        self.store.grant_lease(ttl)
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<bool, StoreError>> {
        self.store.keep_alive(lease)
    }

    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        self.store.revoke_lease(lease)
    }
}

/// Stores a page that says that every second backend server is slow.
fn store_page(world: &World) {
    let ids: Vec<&str> = (0..SERVERS).map(|i| world.platform.server(i).1).collect();
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("it is after 1970");
    let page = serde_json::json!({
        "v": 1, "at": now.as_millis() as u64, "stop_ms": 200, "prefix": "", "id_bytes": 0, "ids": ids.join(" "),
        "born": 0, "born_bytes": 0, "incarnations": "",
        // Logarithms of 0.6 and -0.6.
        "logs": "HuIe4h7i", "runs": "888888",
    });
    world.platform.write("marten/learned/0", page.to_string().as_bytes());
}

async fn start(world: &World, reads: Reads) -> (RunningBox, Arc<Mutex<Vec<Transaction>>>) {
    let addrs = free_addrs();
    let path = std::env::temp_dir().join(format!("learned-{}-{}.json", std::process::id(), addrs[0].port()));
    std::fs::write(&path, world.platform.settings(BOX, &addrs, &[])).expect("the temporary directory is writable");
    let settings = read(&path.to_string_lossy()).expect("the settings are valid").runtime;
    let listener = TcpListener::bind(settings.peers_address).await.expect("the address is free");
    let (servers, decoder) = (Arc::new(HttpBackendServers::default()), Arc::new(PlatformDecoder));
    let writes = Arc::default();
    let store = FaultyStore {
        store: HttpStore::new(Client::default(), world.platform.store_addr),
        reads,
        failures: Arc::default(),
        writes: Arc::clone(&writes),
    };
    let clock = Arc::new(SystemClock::default());
    let a_box = RunningBox::start(settings, listener, store, servers, decoder, OptionalServices::default(), clock);
    (a_box, writes)
}

fn restored(a_box: &RunningBox) -> Option<usize> {
    a_box.status().speeds.map(|speeds| speeds.restored)
}

fn setup() -> Setup {
    Setup { servers: SERVERS, key: KEY.to_owned(), ..Setup::default() }
}

#[test]
fn a_new_scheduler_applies_stored_speeds() {
    smol::block_on(async {
        let world = World::start_on(0, &setup()).await;
        store_page(&world);
        let (a_box, _) = start(&world, Reads::Answered).await;
        until("the speeds are restored", || async { restored(&a_box) == Some(SERVERS) }).await;
        assert!(a_box.status().speeds.is_some_and(|speeds| speeds.in_use));
    });
}

/// Reads that are slow or fail must not delay scheduling; the pages are applied once they have been read.
#[test]
fn a_new_scheduler_does_not_wait_for_the_pages() {
    for reads in [Reads::Slow, Reads::Fail] {
        smol::block_on(async {
            let world = World::start_on(0, &setup()).await;
            store_page(&world);
            let (a_box, _) = start(&world, reads).await;
            until("it schedules", || async { a_box.status().schedules_with_fence.is_some() }).await;
            assert_eq!(restored(&a_box), Some(0), "{reads:?}");
            until("the speeds are restored", || async { restored(&a_box) == Some(SERVERS) }).await;
        });
    }
}

/// A scheduler that was deposed must not replace what its successor has stored, so each write names the election.
#[test]
fn pages_are_written_under_the_fencing_token() {
    smol::block_on(async {
        let mut world = World::start_on(0, &setup()).await;
        store_page(&world);
        let (a_box, writes) = start(&world, Reads::Answered).await;
        until("the speeds are restored", || async { restored(&a_box) == Some(SERVERS) }).await;
        let fence = a_box.status().schedules_with_fence.expect("it schedules");
        // Another box takes the jobs of callers.
        world.boxes.push(start_box(&world.platform, "box-1", free_addrs(), &[]));
        world.until_ready(0).await;
        // The backend servers are equally fast, so that the restored speeds change.
        let mut job = 0;
        while writes.lock().expect("no holder panics").is_empty() {
            job += 1;
            assert!(job < 50, "nothing is written");
            world.submit(JobId(job), WORK).await;
            until("the job has ended", || async { world.platform.oracle.running_tasks(JobId(job)) == 0 }).await;
            smol::Timer::after(StdDuration::from_millis(500)).await;
        }
        for write in writes.lock().expect("no holder panics").iter() {
            let keys: Vec<&str> = write.put.iter().map(|put| put.key.as_str()).collect();
            assert!(write.expect.contains(&(SCHEDULER_KEY.to_owned(), Revision(fence))), "{write:?}");
            assert!(write.expect.iter().any(|(key, _)| keys == [key.as_str()]), "{write:?}");
        }
    });
}
