//! One box: its beliefs, its requests, and its part in the election.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use model::{BoxId, Duration};
use outside::{Change, Clock, CoordinationStore, Item, Put, Transaction};
use smol::net::TcpListener;
use wire::relay::relay_server::RelayServer;

use crate::{
    border::{BackendServers, Decoder},
    election,
    follow::{Backoff, Seen, follow},
    keys,
    leader::{ActiveSlot, Parts},
    relay::{Peers, RelayService},
    requests::Requests,
    settings::Settings,
    view::View,
};

/// How often the list of boxes is read.
const BOXES_EVERY: Duration = Duration::from_secs(15);
/// How often a box that does not reach the store asks another for the configuration.
const ASK_EVERY: Duration = Duration::from_millis(500);
/// Limit of such a question.
const ASK_LIMIT: Duration = Duration::from_millis(400);
/// Limit of a write that only tells where a box is.
const WRITE_LIMIT: Duration = Duration::from_secs(1);

/// A box at work; dropping it ends all that it does.
pub struct Node {
    /// Takes callers' requests.
    pub requests: Arc<Requests>,
    /// What the box believes.
    pub view: Arc<View>,
    _tasks: Vec<smol::Task<()>>,
}

impl Node {
    /// Starts a box that other boxes reach on `listener`.
    pub fn start(
        settings: Settings,
        listener: TcpListener,
        store: Arc<dyn CoordinationStore>,
        servers: Arc<dyn BackendServers>,
        decoder: Arc<dyn Decoder>,
        clock: Arc<dyn Clock>,
    ) -> Node {
        let view = Arc::new(View::new(clock, settings.store_silence));
        let peers = Arc::new(Peers::default());
        let active = ActiveSlot::default();
        let requests = Arc::new(Requests::new(
            Arc::clone(&store),
            Arc::clone(&view),
            Arc::clone(&peers),
            active.clone(),
            settings.seeds.clone(),
            settings.peers_address,
        ));
        let relay =
            RelayService { requests: Arc::clone(&requests), view: Arc::clone(&view), decoder: Arc::clone(&decoder) };
        let parts =
            Parts { store: Arc::clone(&store), servers, decoder: Arc::clone(&decoder), view: Arc::clone(&view) };
        let wait = settings.watch_wait;
        let tasks = vec![
            smol::spawn(net::grpc::serve(listener, RelayServer::new(relay.clone()))),
            smol::spawn(follow_configuration(parts.clone(), wait)),
            smol::spawn(election::follow_leader(Arc::clone(&store), Arc::clone(&view))),
            smol::spawn(keep_boxes(settings.clone(), parts.clone())),
            smol::spawn(ask_for_configuration(relay, peers)),
            smol::spawn(election::run(settings, parts, active)),
        ];
        Node { requests, view, _tasks: tasks }
    }
}

async fn follow_configuration(parts: Parts, wait: Duration) {
    let key = parts.decoder.configuration_key();
    let on = |seen: Seen| {
        let items: Vec<Item> = match seen {
            Seen::All(items) => items,
            Seen::Changes(changes) => changes.into_iter().filter_map(written).collect(),
        };
        for item in items.iter().filter(|item| item.key == key) {
            match parts.decoder.configuration(&item.value) {
                Ok(new) => {
                    parts.view.take_configuration(new);
                }
                Err(e) => log::error!("event=configuration_unreadable revision={} why={e}", item.revision),
            }
        }
    };
    follow(&*parts.store, &parts.view, &key, None, wait, on).await;
}

fn written(change: Change) -> Option<Item> {
    match change {
        Change::Put(item) => Some(item),
        Change::Removed { .. } => None,
    }
}

/// Tells where this box is, and reads where the others are.
async fn keep_boxes(settings: Settings, parts: Parts) {
    let here = settings.peers_address.to_string().into_bytes();
    let put = Put { key: keys::member_box(&settings.box_id), value: here, lease: None };
    let mut backoff = Backoff::new();
    loop {
        let transaction = Transaction { put: vec![put.clone()], ..Transaction::default() };
        match parts.store.commit(transaction, WRITE_LIMIT).await {
            Ok(_) => break,
            Err(e) => log::debug!("event=box_not_listed why={e}"),
        }
        backoff.wait().await;
    }
    loop {
        if let Ok(snapshot) = parts.store.range(keys::BOXES.to_owned()).await {
            parts.view.set_boxes(boxes(&snapshot.items));
        }
        smol::Timer::after(BOXES_EVERY.into()).await;
    }
}

fn boxes(items: &[Item]) -> BTreeMap<BoxId, SocketAddr> {
    let entry = |item: &Item| {
        let id = item.key.strip_prefix(keys::BOXES)?.parse().ok()?;
        let addr = std::str::from_utf8(&item.value).ok()?.parse().ok()?;
        Some((id, addr))
    };
    items.iter().filter_map(entry).collect()
}

/// While the store is out of reach, asks other boxes for the configuration.
async fn ask_for_configuration(relay: RelayService, peers: Arc<Peers>) {
    loop {
        smol::Timer::after(ASK_EVERY.into()).await;
        if relay.view.reaches_store() {
            continue;
        }
        let above = relay.view.configuration().map_or(0, |known| known.version);
        for addr in relay.requests.others() {
            match peers.configuration(addr, above, ASK_LIMIT).await {
                Some(document) => {
                    relay.view.peer_answered();
                    if !document.is_empty() {
                        relay.take_document(&document);
                    }
                    break;
                }
                None => relay.requests.note_silent(addr),
            }
        }
    }
}
