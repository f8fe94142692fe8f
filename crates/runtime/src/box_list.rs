//! The list of boxes in the store: each box writes its own entry, and the scheduler chooses the relay boxes from the
//! list.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use model::{BoxId, Duration, Revision};
use outside::{Committed, Item, Put, Transaction};

use crate::{
    active::Active,
    context::Context,
    keys, paged_reads,
    relay_boxes::{ListedBox, RelayBoxes},
    settings::Settings,
    timers::{Backoff, pause},
    view::View,
};

/// Timeout of a write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a new scheduler first reads the list. When all boxes start together, most of them are listed by then.
const FIRST_READ_DELAY: Duration = Duration::from_millis(1000);
/// Interval at which it reads the list afterwards.
const READ_INTERVAL: Duration = Duration::from_secs(15);
/// Timeout of the query that checks whether a box responds before it becomes a relay.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// Writes the entry of this box, with retries until the store has taken it.
pub(crate) async fn register_box(settings: Settings, cx: Context) {
    let entry = ListedBox {
        addr: settings.peers_address,
        availability_zone: settings.availability_zone.clone(),
        link_mbps: settings.link_mbps,
    };
    let value = serde_json::to_vec(&entry).expect("our own types always serialize");
    let put = Put { key: keys::member_box(&settings.box_id), value, lease: None };
    let mut backoff = Backoff::new();
    loop {
        let transaction = Transaction { put: vec![put.clone()], ..Transaction::default() };
        match cx.store.commit(transaction, WRITE_TIMEOUT).await {
            Ok(_) => return,
            Err(e) => log::debug!("event=box_not_listed why={e}"),
        }
        backoff.wait().await;
    }
}

/// Applies the stored choice of relay boxes to the view.
pub(crate) fn apply_relay_boxes(view: &View, item: &Item) {
    match serde_json::from_slice(&item.value) {
        Ok(relay_boxes) => view.set_relay_boxes(relay_boxes),
        Err(e) => log::error!("event=relay_boxes_unreadable revision={} why={e}", item.revision),
    }
}

/// Chooses relay boxes and stores the choice, until it is dropped.
pub(crate) async fn publish_relay_boxes(cx: Context, active: Arc<Active>) {
    let mut unresponsive = BTreeSet::new();
    pause(FIRST_READ_DELAY).await;
    loop {
        if let Ok(listed) = paged_reads::read_once(&*cx.store, keys::BOXES).await {
            let boxes = boxes(&listed.items);
            let choice = choose_responsive(&cx, &boxes, &mut unresponsive).await;
            if choice != *cx.view.relay_boxes() {
                store(&cx, &active, choice).await;
            }
        }
        pause(READ_INTERVAL).await;
    }
}

/// Chooses relays among the boxes that respond, since the list also holds boxes that no longer exist. A box that does
/// not respond now is tried again in the next round.
async fn choose_responsive(
    cx: &Context,
    boxes: &BTreeMap<BoxId, ListedBox>,
    unresponsive: &mut BTreeSet<BoxId>,
) -> RelayBoxes {
    let candidates = |unresponsive: &BTreeSet<BoxId>| {
        boxes
            .iter()
            .filter(|(id, _)| !unresponsive.contains(*id))
            .map(|(id, listed)| (id.clone(), listed.clone()))
            .collect()
    };
    let choice = RelayBoxes::choose(&candidates(unresponsive));
    unresponsive.clear();
    let mut queries = Vec::new();
    for (id, relay) in &choice.relays {
        let (peers, addr, id) = (Arc::clone(&cx.peers), relay.addr, id.clone());
        queries.push(smol::spawn(async move { (peers.is_responsive(addr, QUERY_TIMEOUT).await, id) }));
    }
    for query in queries {
        let (has_responded, id) = query.await;
        if !has_responded {
            unresponsive.insert(id);
        }
    }
    RelayBoxes { box_count: boxes.len(), ..RelayBoxes::choose(&candidates(unresponsive)) }
}

async fn store(cx: &Context, active: &Active, choice: RelayBoxes) {
    let value = serde_json::to_vec(&choice).expect("our own types always serialize");
    let transaction = Transaction {
        expect: vec![(keys::SCHEDULER.to_owned(), Revision(active.fence.0))],
        put: vec![Put { key: keys::RELAY_BOXES.to_owned(), value, lease: None }],
        remove: Vec::new(),
    };
    match cx.store.commit(transaction, WRITE_TIMEOUT).await {
        Ok(Committed::Done(_)) => {
            log::info!("event=relay_boxes named={} of={}", choice.relays.len(), choice.box_count);
            cx.view.set_relay_boxes(choice);
        }
        outcome => log::info!("event=relay_boxes_not_stored outcome={outcome:?}"),
    }
}

fn boxes(items: &[Item]) -> BTreeMap<BoxId, ListedBox> {
    let entry = |item: &Item| {
        let id = item.key.strip_prefix(keys::BOXES)?.parse().ok()?;
        let listed = serde_json::from_slice(&item.value).ok()?;
        Some((id, listed))
    };
    items.iter().filter_map(entry).collect()
}
