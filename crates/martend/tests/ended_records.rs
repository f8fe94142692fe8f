//! Queries for an ended job while a new scheduler has not read the records of ended jobs yet.
//!
//! A box without the store asked the new scheduler, which did not find the job in memory and did not look into the
//! store, so the caller was told that there is no such job.

mod common;

use std::sync::Arc;

use common::{KEY, World, start_box_with, until};
use hyper::StatusCode;
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
/// Prefix of the records of ended jobs.
const ENDED: &str = "marten/ended/";

/// The platform's store, whose pages of ended jobs never arrive.
struct StoreWithoutEndedPages(HttpStore);

impl CoordinationStore for StoreWithoutEndedPages {
    fn get(&self, key: String) -> BoxFuture<'_, Result<Option<Item>, StoreError>> {
        self.0.get(key)
    }

    fn get_stale(&self, key: String, limit: Duration) -> BoxFuture<'_, Result<Option<Item>, StoreError>> {
        self.0.get_stale(key, limit)
    }

    fn page(&self, prefix: String, after: Option<String>) -> BoxFuture<'_, Result<Page, StoreError>> {
        if prefix == ENDED { Box::pin(std::future::pending()) } else { self.0.page(prefix, after) }
    }

    fn watch(&self, prefix: String, since: Revision, wait: Duration) -> BoxFuture<'_, Result<Watched, StoreError>> {
        self.0.watch(prefix, since, wait)
    }

    fn commit(&self, transaction: Transaction, limit: Duration) -> BoxFuture<'_, Result<Committed, StoreError>> {
        self.0.commit(transaction, limit)
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StoreError>> {
        self.0.grant_lease(ttl)
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<bool, StoreError>> {
        self.0.keep_alive(lease)
    }

    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        self.0.revoke_lease(lease)
    }
}

/// Starts a scheduler in this process that does not get to read the records of ended jobs. Returns it with the address
/// at which other boxes reach it.
async fn start_scheduler(world: &World) -> (RunningBox, std::net::SocketAddr) {
    let addrs = free_addrs();
    let path = std::env::temp_dir().join(format!("ended-records-{}.json", std::process::id()));
    std::fs::write(&path, world.platform.settings("box-s", &addrs, &[])).expect("the temporary directory is writable");
    let settings = read(&path.to_string_lossy()).expect("the settings are valid").runtime;
    let listener = TcpListener::bind(addrs[2]).await.expect("the address is free");
    let store = StoreWithoutEndedPages(HttpStore::new(Client::default(), world.platform.store_addr));
    let servers = Arc::new(HttpBackendServers::default());
    let decoder = Arc::new(PlatformDecoder);
    let clock = Arc::new(SystemClock::default());
    let services = OptionalServices::default();
    (RunningBox::start(settings, listener, store, servers, decoder, services, clock), addrs[2])
}

/// Guards against an accepted job that has ended and is denied.
#[test]
fn a_scheduler_that_has_not_read_an_ended_job_does_not_deny_it() {
    smol::block_on(async {
        let setup = Setup { servers: 1, key: KEY.to_owned(), ..Setup::default() };
        let mut world = World::start_on(1, &setup).await;
        world.submit(JOB, WORK).await;
        until("the job is archived", || async { !world.platform.keys(ENDED).is_empty() }).await;
        world.boxes.clear();
        let (scheduler, peers_addr) = start_scheduler(&world).await;
        until("the box schedules", || async { scheduler.status().schedules_with_fence.is_some() }).await;
        let addrs = free_addrs();
        let unreachable_store = free_addrs()[0];
        let settings = world.platform.settings_via("box-1", &addrs, &[peers_addr], unreachable_store);
        world.boxes.push(start_box_with("box-1", addrs, settings));
        world.until_ready(0).await;
        let answer = world.state(0, JOB).await.expect("the box responds");
        assert_eq!((answer.status, answer.state.as_str()), (StatusCode::OK, "succeeded"));
    });
}
