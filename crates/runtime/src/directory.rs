//! Keeps the scheduler's backend servers as the platform lists them.
//!
//! The list may name several lives at one address: a crashed one is listed for some heartbeats more, and what it has
//! written may come late, after the next life is at work. So the list tells only whom to call; who answers there tells
//! which life it is ([`crate::link_worker`]).

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use model::{BackendServerId, Duration};
use outside::{Change, Item};

use crate::{
    active::Active,
    context::Context,
    follow::{PrefixUpdate, WatchTiming, follow},
    platform::{DecodeError, ListedServer},
};

/// How backend servers are watched. Each writes its entry every second or two, so that without a rest a watch would bring one change at a
/// time. The rest is short beside the time that a drain is told ahead.
const WATCH: WatchTiming = WatchTiming { wait: Duration::from_secs(2), cooldown: Duration::from_millis(100) };

/// The backend servers that are listed, as they were last told of.
///
/// Each tells of itself every second or two, mostly without news: 2,000 entries a second at 3,000 backend servers, which the
/// scheduler need not hear of.
type Listed = HashMap<BackendServerId, ListedServer>;

/// Follows the platform's list of backend servers.
pub(crate) async fn follow_servers(cx: Context, active: Arc<Active>) {
    let prefix = cx.decoder.servers_prefix();
    let mut listed = Listed::new();
    let on = |seen: PrefixUpdate| match seen {
        PrefixUpdate::All(items) => take_all(&cx, &active, &mut listed, &items),
        PrefixUpdate::Changes(changes) => {
            for change in &changes {
                match change {
                    Change::Put(item) => {
                        if take(&cx, &active, &mut listed, item) {
                            tell_new(&cx, &listed, item);
                        }
                    }
                    Change::Removed { key } => remove(&cx, &active, &mut listed, key),
                }
            }
        }
    };
    follow(&*cx.store, &cx.view, &prefix, None, WATCH, on).await;
}

fn take_all(cx: &Context, active: &Arc<Active>, listed: &mut Listed, items: &[Item]) {
    let there: HashSet<BackendServerId> = items.iter().filter_map(|item| cx.decoder.server_of_key(&item.key)).collect();
    // What runs is heard of first.
    let busy = |item: &&Item| {
        let id = cx.decoder.server_of_key(&item.key);
        id.is_some_and(|id| active.lock().is_busy(&id))
    };
    let (first, mut rest): (Vec<&Item>, Vec<&Item>) = items.iter().partition(busy);
    if !active.links.has_capacity_for(items.len()) {
        // Whole racks, of which a gang may ask for one.
        rest.sort_by_cached_key(|item| cx.decoder.server(item).map(|server| server.info.rack).ok());
        log::warn!("event=carries_a_part fence={} listed={}", active.fence, items.len());
    }
    for item in first.into_iter().chain(rest) {
        take(cx, active, listed, item);
    }
    let gone: Vec<BackendServerId> = listed.keys().filter(|id| !there.contains(id)).cloned().collect();
    for id in gone {
        listed.remove(&id);
        unlist(cx, active, &id);
    }
}

/// Returns whether the entry names a backend server that was not listed before.
fn take(cx: &Context, active: &Arc<Active>, listed: &mut Listed, item: &Item) -> bool {
    match read(cx, listed, item) {
        Ok(server) => {
            let id = server.target.id.clone();
            if listed.get(&id) == Some(&server) && (active.links.is_open(&id) || !may_open(active, &id)) {
                return false;
            }
            take_server(cx, active, server.clone());
            listed.insert(id, server).is_none()
        }
        Err(e) => {
            log::error!("event=server_unreadable why={e}");
            false
        }
    }
}

fn tell_new(cx: &Context, listed: &Listed, item: &Item) {
    let server = cx.decoder.server_of_key(&item.key).and_then(|id| listed.get(&id));
    if let Some(ListedServer { target, .. }) = server {
        let incarnation = target.incarnation.map(|incarnation| incarnation.to_string()).unwrap_or_default();
        log::info!("server={} event=listed incarnation={incarnation}", target.id);
    }
}

/// Reads an entry, unless it comes from another writer: that one names no backend server, and above all none that
/// would have taken the place of another one at its address.
fn read(cx: &Context, listed: &Listed, item: &Item) -> Result<ListedServer, DecodeError> {
    let server = cx.decoder.server(item)?;
    let service = &server.info.service;
    let known = listed.get(&server.target.id).is_some_and(|known| known.info.service == *service);
    let configured = || cx.view.configuration().is_some_and(|known| known.services.contains(service));
    if known || configured() {
        return Ok(server);
    }
    Err(DecodeError { key: item.key.clone(), why: format!("no configuration names the service {service}") })
}

fn take_server(cx: &Context, active: &Arc<Active>, server: ListedServer) {
    let now = cx.view.clock().now();
    let ListedServer { target, info } = server;
    active.update(|scheduler| scheduler.server_listed(target.id.clone(), info, now));
    if may_open(active, &target.id) {
        active.links.open(&target, active);
    }
}

/// Whether a backend server may have a link: what it runs must be renewed, however many the box carries.
fn may_open(active: &Active, id: &BackendServerId) -> bool {
    active.links.has_capacity() || active.lock().is_busy(id)
}

fn remove(cx: &Context, active: &Arc<Active>, listed: &mut Listed, key: &str) {
    if let Some(id) = cx.decoder.server_of_key(key) {
        listed.remove(&id);
        unlist(cx, active, &id);
    }
}

fn unlist(cx: &Context, active: &Arc<Active>, id: &BackendServerId) {
    log::info!("server={id} event=unlisted");
    let now = cx.view.clock().now();
    active.update(|scheduler| scheduler.server_unlisted(id, now));
}
