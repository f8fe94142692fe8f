//! A box that has won an election, but has not received the store's response when a later scheduler asks whether that
//! term has ended.
//!
//! The box confirmed that it had, so that the later scheduler waits for no lease of it. Then the store's response
//! arrived, and the box started to schedule and to renew leases.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration as StdDuration,
};

use common::{KEY, World, until};
use martend::deployment::read;
use model::{Duration, Revision};
use net::{BoxFuture, grpc::Channel as GrpcChannel, http::Client};
use outside::{Committed, CoordinationStore, Item, LeaseId, Page, StoreError, SystemClock, Transaction, Watched};
use runtime::{OptionalServices, RunningBox};
use smol::{channel, net::TcpListener};
use users_platform::{decode::PlatformDecoder, servers::HttpBackendServers, store::HttpStore};
use users_platform_standin::{BoxAddrs, Setup, free_addrs};
use wire::relay::{TermEndedReply, TermEndedRequest, relay_client::RelayClient};

const BOX: &str = "box-s";
const SCHEDULER_KEY: &str = "marten/scheduler";
/// Timeout of a call.
const CALL_TIMEOUT: StdDuration = StdDuration::from_secs(5);

/// The platform's store, which holds back its first response to an election.
struct LateStore {
    store: HttpStore,
    is_first: AtomicBool,
    /// Receives the fencing token of that election.
    won: channel::Sender<u64>,
    /// Closed to release the response.
    gate: channel::Receiver<()>,
}

impl CoordinationStore for LateStore {
    fn get(&self, key: String) -> BoxFuture<'_, Result<Option<Item>, StoreError>> {
        self.store.get(key)
    }

    fn get_stale(&self, key: String, limit: Duration) -> BoxFuture<'_, Result<Option<Item>, StoreError>> {
        self.store.get_stale(key, limit)
    }

    fn page(&self, prefix: String, after: Option<String>) -> BoxFuture<'_, Result<Page, StoreError>> {
        self.store.page(prefix, after)
    }

    fn watch(&self, prefix: String, since: Revision, wait: Duration) -> BoxFuture<'_, Result<Watched, StoreError>> {
        self.store.watch(prefix, since, wait)
    }

    fn commit(&self, transaction: Transaction, limit: Duration) -> BoxFuture<'_, Result<Committed, StoreError>> {
        Box::pin(async move {
            let is_election = transaction.put.iter().any(|put| put.key == SCHEDULER_KEY);
            let result = self.store.commit(transaction, limit).await;
            if let Ok(Committed::Done(revision)) = &result
                && is_election
                && self.is_first.swap(false, Ordering::SeqCst)
            {
                self.won.send(revision.0).await.expect("the test waits for it");
                // `recv` returns an error once the gate is closed, which releases the response.
                let _ = self.gate.recv().await;
            }
            result
        })
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

async fn start_in_this_process(world: &World, addrs: &BoxAddrs, store: LateStore) -> RunningBox {
    let path = std::env::temp_dir().join(format!("renounced-{}-{}.json", std::process::id(), addrs[0].port()));
    std::fs::write(&path, world.platform.settings(BOX, addrs, &[])).expect("the temporary directory is writable");
    let settings = read(&path.to_string_lossy()).expect("the settings are valid").runtime;
    let listener = TcpListener::bind(settings.peers_address).await.expect("the address is free");
    let (servers, decoder) = (Arc::new(HttpBackendServers::default()), Arc::new(PlatformDecoder));
    let clock = Arc::new(SystemClock::default());
    RunningBox::start(settings, listener, store, servers, decoder, OptionalServices::default(), clock)
}

/// Asks a box whether its term with this fencing token has ended, as a later scheduler does.
async fn query_term_ended(addrs: &BoxAddrs, fence: u64) -> TermEndedReply {
    let origin = format!("http://{}", addrs[2]).parse().expect("an address makes a valid origin");
    let mut client = RelayClient::with_origin(GrpcChannel::new(addrs[2], CALL_TIMEOUT), origin);
    let reply = client.term_ended(TermEndedRequest { r#box: BOX.to_owned(), fence }).await;
    reply.expect("the box responds").into_inner()
}

#[test]
fn a_box_does_not_start_a_term_that_it_has_confirmed_as_ended() {
    smol::block_on(async {
        let world = World::start_on(0, &Setup { servers: 1, key: KEY.to_owned(), ..Setup::default() }).await;
        let (won, elected) = channel::bounded(1);
        let (open, gate) = channel::bounded::<()>(1);
        let store = HttpStore::new(Client::default(), world.platform.store_addr);
        let addrs = free_addrs();
        let late = LateStore { store, is_first: AtomicBool::new(true), won, gate };
        let a_box = start_in_this_process(&world, &addrs, late).await;
        let fence = elected.recv().await.expect("the box is elected");
        assert!(query_term_ended(&addrs, fence).await.ended, "it does not schedule yet");
        open.close();
        // It stands for election again once the lease of that election has expired.
        let schedules = || a_box.status().schedules_with_fence;
        until("the box schedules", || async { schedules().is_some() }).await;
        assert!(schedules() > Some(fence), "it schedules with {:?} after confirming the end of {fence}", schedules());
    });
}
