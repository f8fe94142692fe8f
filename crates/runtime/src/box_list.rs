//! The list of boxes in the store: each writes where it is, and the scheduler names those that the others go through.

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

/// Limit of a write.
const WRITE_LIMIT: Duration = Duration::from_secs(1);
/// A new scheduler looks at the list after this: where all boxes begin together, most of them stand in it by then.
const FIRST_LOOK: Duration = Duration::from_millis(1000);
/// How often it looks afterwards.
const LOOK_EVERY: Duration = Duration::from_secs(15);
/// How long a box that is to be named may take to answer.
const ASK_LIMIT: Duration = Duration::from_millis(400);

/// Writes where this box is, for as long as it takes.
pub(crate) async fn register_box(settings: Settings, cx: Context) {
    let here = ListedBox {
        addr: settings.peers_address,
        availability_zone: settings.availability_zone.clone(),
        link_mbps: settings.link_mbps,
    };
    let value = serde_json::to_vec(&here).expect("our own types always serialize");
    let put = Put { key: keys::member_box(&settings.box_id), value, lease: None };
    let mut backoff = Backoff::new();
    loop {
        let transaction = Transaction { put: vec![put.clone()], ..Transaction::default() };
        match cx.store.commit(transaction, WRITE_LIMIT).await {
            Ok(_) => return,
            Err(e) => log::debug!("event=box_not_listed why={e}"),
        }
        backoff.wait().await;
    }
}

/// Takes in which boxes are named.
pub(crate) fn apply_relay_boxes(view: &View, item: &Item) {
    match serde_json::from_slice(&item.value) {
        Ok(relay_boxes) => view.set_relay_boxes(relay_boxes),
        Err(e) => log::error!("event=relay_boxes_unreadable revision={} why={e}", item.revision),
    }
}

/// Names boxes for as long as this one schedules.
pub(crate) async fn publish_relay_boxes(cx: Context, active: Arc<Active>) {
    let mut silent = BTreeSet::new();
    pause(FIRST_LOOK).await;
    loop {
        if let Ok(listed) = paged_reads::read_once(&*cx.store, keys::BOXES).await {
            let boxes = boxes(&listed.items);
            let choice = answering(&cx, &boxes, &mut silent).await;
            if choice != *cx.view.relay_boxes() {
                store(&cx, &active, choice).await;
            }
        }
        pause(LOOK_EVERY).await;
    }
}

/// Boxes that answer: the list also holds those that have gone. One that is silent now is tried again at the next look.
async fn answering(cx: &Context, boxes: &BTreeMap<BoxId, ListedBox>, silent: &mut BTreeSet<BoxId>) -> RelayBoxes {
    let left = |silent: &BTreeSet<BoxId>| {
        boxes.iter().filter(|(id, _)| !silent.contains(*id)).map(|(id, listed)| (id.clone(), listed.clone())).collect()
    };
    let choice = RelayBoxes::choose(&left(silent));
    silent.clear();
    let mut asked = Vec::new();
    for (id, relay) in &choice.relays {
        let (peers, addr, id) = (Arc::clone(&cx.peers), relay.addr, id.clone());
        asked.push(smol::spawn(async move { (peers.is_answering(addr, ASK_LIMIT).await, id) }));
    }
    for question in asked {
        let (answers, id) = question.await;
        if !answers {
            silent.insert(id);
        }
    }
    RelayBoxes { box_count: boxes.len(), ..RelayBoxes::choose(&left(silent)) }
}

async fn store(cx: &Context, active: &Active, choice: RelayBoxes) {
    let value = serde_json::to_vec(&choice).expect("our own types always serialize");
    let transaction = Transaction {
        expect: vec![(keys::SCHEDULER.to_owned(), Revision(active.fence.0))],
        put: vec![Put { key: keys::RELAY_BOXES.to_owned(), value, lease: None }],
        remove: Vec::new(),
    };
    match cx.store.commit(transaction, WRITE_LIMIT).await {
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
