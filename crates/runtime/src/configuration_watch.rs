//! Follows the configuration, in the store or by way of a relay box.
//!
//! The store sends the whole document to each watch. If every box watched the store, the document would occupy its link
//! for as long as there are many boxes and the document is large, and delay all its other responses. So where boxes are
//! many, only the relay boxes that the scheduler has named watch the store, and each of the others waits at one of them
//! for a newer version.
//!
//! A relay confirms its configuration only by its own watch of the store, never by what another box has sent. A box
//! that finds no relay that does so queries the store itself.

use std::net::SocketAddr;

use model::Duration;

use crate::{
    context::Context,
    follow::{PrefixUpdate, PrefixWatcher, WatchTiming},
    settings::Settings,
    timers::pause,
    view::View,
};

/// Longest wait at a relay. If a relay stops responding, this is noticed within this time and [`RELAY_SLACK`].
const RELAY_WAIT: Duration = Duration::from_millis(1000);
/// Added to the wait at a relay: the time for a whole document over a link of 10 Mbit/s.
const RELAY_SLACK: Duration = Duration::from_millis(500);
/// Time that a starting box waits to learn the relay boxes before it queries the store.
const RELAY_BOXES_DELAY: Duration = Duration::from_millis(150);
/// Wait of a watch that only fetches the changes up to now.
const NO_WAIT: Duration = Duration::from_millis(1);

/// Follows the configuration until it is dropped.
pub(crate) async fn follow_configuration(settings: Settings, cx: Context) {
    let key = cx.decoder.configuration_key();
    let mut source = Source::default();
    let mut watcher = PrefixWatcher::new(None);
    pause(RELAY_BOXES_DELAY).await;
    loop {
        let relay = source.relay(&settings, &cx.view);
        if let Some(addr) = relay {
            source.record_result(addr, wait_at_relay(&cx, addr).await);
            continue;
        }
        let timing = WatchTiming::immediate(source.store_wait(settings.watch_wait));
        let mut on_update = |update: PrefixUpdate| apply_update(&cx, &key, update);
        if watcher.step(&*cx.store, &cx.view, &key, timing, &mut on_update).await {
            cx.view.confirm_configuration();
        }
        source.is_store_next = false;
    }
}

/// Selects where the configuration is requested from.
#[derive(Debug, Default)]
struct Source {
    /// Relays in succession that have failed.
    failed: usize,
    /// Index of the current relay in the order of this box.
    relay_index: usize,
    /// Whether the store is queried next.
    is_store_next: bool,
}

impl Source {
    /// Returns the relay to query; `None` for the store.
    fn relay(&self, settings: &Settings, view: &View) -> Option<SocketAddr> {
        let relay_boxes = view.relay_boxes();
        if self.is_store_next || !relay_boxes.is_relayed(&settings.box_id) {
            return None;
        }
        let order = relay_boxes.order_for(&settings.box_id, &settings.availability_zone);
        (!order.is_empty()).then(|| order[self.relay_index % order.len()])
    }

    /// Records the result of a query. After a relay has failed, the store is queried once, then the next relay.
    fn record_result(&mut self, addr: SocketAddr, is_confirmed: bool) {
        if is_confirmed {
            if self.failed > 0 {
                log::info!("event=relay_found addr={addr} failed={}", self.failed);
            }
            self.failed = 0;
        } else {
            if self.failed == 0 {
                log::info!("event=relay_lost addr={addr}");
            }
            self.failed += 1;
            self.relay_index += 1;
            self.is_store_next = true;
        }
    }

    /// Returns the wait of a watch at the store. A box that finds no working relay stays with the store for longer.
    fn store_wait(&self, max_wait: Duration) -> Duration {
        if self.failed == 1 { NO_WAIT } else { max_wait }
    }
}

/// Waits at a relay for a configuration above the current one. Returns whether the relay confirms the configuration
/// that is now current here.
async fn wait_at_relay(cx: &Context, addr: SocketAddr) -> bool {
    let above = cx.view.configuration().map_or(0, |current| current.version);
    let reply = cx.peers.configuration(addr, above, RELAY_WAIT, RELAY_WAIT + RELAY_SLACK).await;
    let Some(document) = reply else { return false };
    cx.view.record_peer_response();
    if !document.is_empty() {
        apply_document(cx, &document);
    }
    cx.view.configuration().is_some()
}

fn apply_update(cx: &Context, key: &str, update: PrefixUpdate) {
    for item in update.written().iter().filter(|item| item.key == key) {
        apply_document(cx, &item.value);
    }
}

/// Decodes and applies a document as the operators wrote it.
pub(crate) fn apply_document(cx: &Context, document: &[u8]) {
    match cx.decoder.configuration(document) {
        Ok(new) => {
            cx.view.update_configuration(new);
        }
        Err(e) => log::error!("event=configuration_unreadable why={e}"),
    }
}
