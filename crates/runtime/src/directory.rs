//! Follows the platform's list of backend servers and passes it on to the scheduler.
//!
//! The list may name several incarnations at one address: a crashed one stays listed for some heartbeats, and its last
//! entry may arrive after the next incarnation has started. So the list decides only which addresses are called; the
//! response shows which incarnation is there ([`crate::link_worker`]).

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use model::{BackendServerId, Duration, Moment};
use outside::{Change, Item};
use scheduler::{LastWrite, ServerInfo};

use crate::{
    active::Active,
    context::Context,
    follow::{Changes, PrefixUpdate, WatchTiming, follow},
    platform::{DecodeError, ListedServer, Target},
};

/// Timing of the watch. Each backend server writes its entry every second or two, so without a pause each watch would
/// return a single change. The pause is short compared with the notice that is given before a drain.
const WATCH: WatchTiming = WatchTiming { wait: Duration::from_secs(2), cooldown: Duration::from_millis(100) };

/// The listed backend servers with their latest entries.
///
/// Each writes its entry every second or two, mostly unchanged. At 3,000 backend servers that is 2,000 entries a
/// second, which are filtered out here before they reach the scheduler.
type Listed = HashMap<BackendServerId, Entry>;

/// Latest entry of a listed backend server.
struct Entry {
    target: Target,
    info: ServerInfo,
    last_write: LastWrite,
}

/// Follows the platform's list of backend servers until it is dropped.
pub(crate) async fn follow_servers(cx: Context, active: Arc<Active>) {
    let prefix = cx.decoder.servers_prefix();
    let mut listed = Listed::new();
    let on_update = |update: PrefixUpdate| match update {
        PrefixUpdate::All(items) => apply_all(&cx, &active, &mut listed, &items),
        PrefixUpdate::Changes(Changes { changes, made_after }) => {
            for change in &changes {
                match change {
                    Change::Put(item) => {
                        if apply_entry(&cx, &active, &mut listed, item, made_after) {
                            log_listed(&cx, &listed, item);
                        }
                    }
                    Change::Removed { key } => remove(&cx, &active, &mut listed, key),
                }
            }
        }
    };
    follow(&*cx.store, &cx.view, &prefix, None, WATCH, on_update).await;
}

fn apply_all(cx: &Context, active: &Arc<Active>, listed: &mut Listed, items: &[Item]) {
    let current: HashSet<BackendServerId> =
        items.iter().filter_map(|item| cx.decoder.server_of_key(&item.key)).collect();
    // Backend servers with runs come first.
    let busy = |item: &&Item| {
        let id = cx.decoder.server_of_key(&item.key);
        id.is_some_and(|id| active.lock().is_busy(&id))
    };
    let (first, mut rest): (Vec<&Item>, Vec<&Item>) = items.iter().partition(busy);
    if !active.links.has_capacity_for(items.len()) {
        // Whole racks, since a gang may need a rack.
        rest.sort_by_cached_key(|item| cx.decoder.server(item).map(|server| server.info.rack).ok());
        log::warn!("event=carries_a_part fence={} listed={}", active.fence, items.len());
    }
    for item in first.into_iter().chain(rest) {
        // The store does not tell when the entry was written, also if it is unchanged.
        apply_entry(cx, active, listed, item, None);
    }
    let removed: Vec<BackendServerId> = listed.keys().filter(|id| !current.contains(id)).cloned().collect();
    for id in removed {
        unlist(cx, active, listed, &id);
    }
}

/// Applies an entry that was written after `written_after`. Returns whether it names a backend server that was not
/// listed before.
fn apply_entry(
    cx: &Context,
    active: &Arc<Active>,
    listed: &mut Listed,
    item: &Item,
    written_after: Option<Moment>,
) -> bool {
    match decode_entry(cx, active, listed, item) {
        Ok(ListedServer { target, info, written_clock_ms }) => {
            let last_write = LastWrite { after: written_after, server_clock_ms: written_clock_ms };
            let id = target.id.clone();
            if let Some(entry) = listed.get_mut(&id).filter(|entry| entry.target == target && entry.info == info) {
                entry.last_write = last_write;
                if active.links.is_open(&id) || !may_open(active, &id) {
                    return false;
                }
            }
            apply_server(cx, active, &target, info.clone());
            listed.insert(id, Entry { target, info, last_write }).is_none()
        }
        Err(e) => {
            cx.unusable_items.report("server_unreadable", item, &e.why);
            false
        }
    }
}

fn log_listed(cx: &Context, listed: &Listed, item: &Item) {
    let server = cx.decoder.server_of_key(&item.key).and_then(|id| listed.get(&id));
    if let Some(Entry { target, .. }) = server {
        let incarnation = target.incarnation.map(|incarnation| incarnation.to_string()).unwrap_or_default();
        log::info!("server={} event=listed incarnation={incarnation}", target.id);
    }
}

/// Decodes an entry. Rejects entries of other writers, which name no service that is configured or that accepted jobs
/// need: they are no backend servers, and above all must not replace another one at its address.
fn decode_entry(cx: &Context, active: &Active, listed: &Listed, item: &Item) -> Result<ListedServer, DecodeError> {
    let server = cx.decoder.server(item)?;
    let service = &server.info.service;
    let is_known = listed.get(&server.target.id).is_some_and(|entry| entry.info.service == *service);
    let is_configured = || cx.view.configuration().is_some_and(|current| current.services.contains(service));
    if is_known || is_configured() || active.lock().uses_service(service) {
        return Ok(server);
    }
    let why = format!("no configuration and no accepted job names the service {service}");
    Err(DecodeError { key: item.key.clone(), why })
}

fn apply_server(cx: &Context, active: &Arc<Active>, target: &Target, info: ServerInfo) {
    let now = cx.view.clock().now();
    active.update(|scheduler| scheduler.server_listed(target.id.clone(), info, now));
    if may_open(active, &target.id) {
        active.links.open(target, active);
    }
}

/// Whether a backend server may have a link. Those with runs need one for renewals, whatever the capacity of the box.
fn may_open(active: &Active, id: &BackendServerId) -> bool {
    active.links.has_capacity() || active.lock().is_busy(id)
}

fn remove(cx: &Context, active: &Arc<Active>, listed: &mut Listed, key: &str) {
    if let Some(id) = cx.decoder.server_of_key(key) {
        unlist(cx, active, listed, &id);
    }
}

fn unlist(cx: &Context, active: &Arc<Active>, listed: &mut Listed, id: &BackendServerId) {
    let last_write = listed.remove(id).map(|entry| entry.last_write).unwrap_or_default();
    let now = cx.view.clock().now();
    active.update(|scheduler| scheduler.server_unlisted(id, last_write, now));
}
