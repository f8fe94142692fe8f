//! Follows the configuration: in the store, or by way of a box that does.
//!
//! The store sends each watch the whole document. Sent to every box at once it fills the store's link for as long as
//! the boxes are many and the document is large, and every other answer of the store waits behind it. So where boxes
//! are many, those that the scheduler has named watch the store, and each of the others waits at one of these for what
//! is new.
//!
//! A box that is asked vouches for its configuration only by its own watch of the store, never by what another box has
//! told it. Whoever finds none that does goes to the store itself.

use std::net::SocketAddr;

use model::Duration;

use crate::{
    context::Context,
    follow::{PrefixUpdate, PrefixWatcher, WatchTiming},
    settings::Settings,
    timers::{Backoff, pause},
    view::View,
};

/// Longest wait at another box: what one that falls silent has missed is found out within this and [`RELAY_SLACK`].
const RELAY_WAIT: Duration = Duration::from_millis(1000);
/// Added to the wait at another box: a whole document over a link of 10 Mbit/s.
const RELAY_SLACK: Duration = Duration::from_millis(500);
/// A box that begins waits so long to learn which boxes are named, before it asks the store.
const FIRST_WAIT: Duration = Duration::from_millis(150);
/// Wait of a watch that is only to tell what is new by now.
const NO_WAIT: Duration = Duration::from_millis(1);

/// Follows the configuration until it is dropped.
pub(crate) async fn follow_configuration(settings: Settings, cx: Context) {
    let key = cx.decoder.configuration_key();
    let mut source = Source::default();
    let mut follower = PrefixWatcher { from: None, backoff: Backoff::new() };
    pause(FIRST_WAIT).await;
    loop {
        let relay = source.relay(&settings, &cx.view);
        if let Some(addr) = relay {
            source.take_reply(addr, ask_relay(&cx, addr).await);
            continue;
        }
        let pace = WatchTiming::immediate(source.store_wait(settings.watch_wait));
        let mut on = |seen: PrefixUpdate| take(&cx, &key, seen);
        if follower.step(&*cx.store, &cx.view, &key, pace, &mut on).await {
            cx.view.confirm_configuration();
        }
        source.ask_store = false;
    }
}

/// Where the configuration is asked for.
#[derive(Debug, Default)]
struct Source {
    /// Named boxes that were asked in vain, one after the other.
    failed: usize,
    /// Place of the box that is asked, in this box's order.
    at: usize,
    /// It is the store's turn.
    ask_store: bool,
}

impl Source {
    /// The box to be asked; `None` if the store is.
    fn relay(&self, settings: &Settings, view: &View) -> Option<SocketAddr> {
        let relay_boxes = view.relay_boxes();
        if self.ask_store || !relay_boxes.is_relayed(&settings.box_id) {
            return None;
        }
        let order = relay_boxes.order_for(&settings.box_id, &settings.availability_zone);
        (!order.is_empty()).then(|| order[self.at % order.len()])
    }

    /// After a box that was asked in vain the store is asked once, then the next box.
    fn take_reply(&mut self, addr: SocketAddr, vouched: bool) {
        if vouched {
            if self.failed > 0 {
                log::info!("event=relay_found addr={addr} failed={}", self.failed);
            }
            self.failed = 0;
        } else {
            if self.failed == 0 {
                log::info!("event=relay_lost addr={addr}");
            }
            self.failed += 1;
            self.at += 1;
            self.ask_store = true;
        }
    }

    /// How long the store may let a watch wait: a box that finds none to go through stays with the store for a while.
    fn store_wait(&self, longest: Duration) -> Duration {
        if self.failed == 1 { NO_WAIT } else { longest }
    }
}

/// Waits at another box for a configuration above the known one. Returns whether that box vouches for what is known now.
async fn ask_relay(cx: &Context, addr: SocketAddr) -> bool {
    let above = cx.view.configuration().map_or(0, |known| known.version);
    let asked = cx.peers.configuration(addr, above, RELAY_WAIT, RELAY_WAIT + RELAY_SLACK).await;
    let Some(document) = asked else { return false };
    cx.view.record_peer_response();
    if !document.is_empty() {
        apply_document(cx, &document);
    }
    cx.view.configuration().is_some()
}

fn take(cx: &Context, key: &str, seen: PrefixUpdate) {
    for item in seen.written().iter().filter(|item| item.key == key) {
        apply_document(cx, &item.value);
    }
}

/// Takes in a document as the operators wrote it.
pub(crate) fn apply_document(cx: &Context, document: &[u8]) {
    match cx.decoder.configuration(document) {
        Ok(new) => {
            cx.view.update_configuration(new);
        }
        Err(e) => log::error!("event=configuration_unreadable why={e}"),
    }
}
