//! Evacuations of availability zones: read before the first start, followed, and asked for by operators.
//!
//! Two may ask: the platform's operators, under a prefix of theirs, and martenscale's own through the box that
//! schedules. Nothing hangs on how soon a watch tells of the former: each write that places a run has as its condition
//! that the evacuations of the availability zones in question stand as the scheduler knows them, and a start leaves only
//! after its write. Their own are written by the scheduling box alone, under its fence.

use std::collections::{BTreeMap, BTreeSet};

use model::{AvailabilityZoneId, Duration, Moment, Revision};
use outside::{Change, Committed, CoordinationStore, Item, Put, Transaction};
use scheduler::{EvacuatedBy, EvacuationError, EvacuationStatus, Scheduler};

use crate::{
    active::Active,
    context::Context,
    evacuation_revisions::EvacuationRevisions,
    follow::{PrefixUpdate, WatchTiming, follow},
    keys, paged_reads,
    platform::Decoder,
};

/// Longest wait of the watch on the platform's evacuations.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// How long a write of an operators' evacuation may take.
const WRITE_LIMIT: Duration = Duration::from_millis(800);

/// What came of operators' wish.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationOutcome {
    /// It is in force, and the store holds it.
    Done,
    /// It may not be.
    Refused(EvacuationError),
    /// Another box schedules.
    NotHere,
    /// The store did not take it, or gave no answer: it may be in force. Asking again is safe.
    Unknown,
}

/// Reads all evacuations, for a new scheduler before its first plan. The returned revision is where the platform's are
/// known to.
pub(crate) async fn restore(cx: &Context, known: &EvacuationRevisions, scheduler: &mut Scheduler) -> Revision {
    let prefix = cx.decoder.evacuations_prefix();
    let platforms = paged_reads::read_all(&*cx.store, &cx.view, &prefix);
    let operators = paged_reads::read_all(&*cx.store, &cx.view, keys::EVACUATIONS);
    let (platforms, operators) = futures_lite::future::zip(platforms, operators).await;
    let now = cx.view.clock().now();
    let own: BTreeSet<AvailabilityZoneId> =
        operators.items.iter().filter_map(|item| keys::evacuated_zone(&item.key)).collect();
    scheduler.set_evacuated(EvacuatedBy::Operators, &own, now);
    take_all(&*cx.decoder, known, scheduler, &platforms.items, now);
    platforms.at
}

/// Follows the platform's evacuations, from where [`restore`] has read to.
pub(crate) async fn follow_platform(cx: Context, active: std::sync::Arc<Active>, from: Revision) {
    let prefix = cx.decoder.evacuations_prefix();
    let on = |seen: PrefixUpdate| {
        let now = cx.view.clock().now();
        active.update(|scheduler| match &seen {
            PrefixUpdate::All(items) => take_all(&*cx.decoder, &active.evacuations, scheduler, items, now),
            PrefixUpdate::Changes(changes) => {
                for change in changes {
                    take_change(&*cx.decoder, &active.evacuations, scheduler, change, now);
                }
            }
        });
    };
    follow(&*cx.store, &cx.view, &prefix, Some(from), WatchTiming::immediate(WATCH_WAIT), on).await;
}

fn take_all(
    decoder: &dyn Decoder,
    known: &EvacuationRevisions,
    scheduler: &mut Scheduler,
    items: &[Item],
    now: Moment,
) {
    let zone = |item: &Item| Some((decoder.evacuated_zone(&item.key)?, item.revision));
    let all: BTreeMap<AvailabilityZoneId, Revision> = items.iter().filter_map(zone).collect();
    scheduler.set_evacuated(EvacuatedBy::Platform, &all.keys().cloned().collect(), now);
    known.replace(all);
}

fn take_change(
    decoder: &dyn Decoder,
    known: &EvacuationRevisions,
    scheduler: &mut Scheduler,
    change: &Change,
    now: Moment,
) {
    let (key, revision) = match change {
        Change::Put(item) => (&item.key, Some(item.revision)),
        Change::Removed { key } => (key, None),
    };
    match decoder.evacuated_zone(key) {
        Some(zone) => take(known, scheduler, &zone, revision, now),
        None => log::error!("event=evacuation_unreadable key={key}"),
    }
}

/// The key of an availability zone stands at a revision, or is not there.
fn take(
    known: &EvacuationRevisions,
    scheduler: &mut Scheduler,
    zone: &AvailabilityZoneId,
    revision: Option<Revision>,
    now: Moment,
) {
    known.set(zone, revision);
    match revision {
        Some(_) => scheduler.evacuate(zone, EvacuatedBy::Platform, now),
        None => scheduler.end_evacuation(zone, EvacuatedBy::Platform),
    }
}

/// The conditions under which runs may be placed in these availability zones.
pub(crate) fn conditions(
    decoder: &dyn Decoder,
    known: &EvacuationRevisions,
    zones: &BTreeSet<AvailabilityZoneId>,
) -> Vec<(String, Revision)> {
    zones.iter().map(|zone| (decoder.evacuation_key(zone), known.revision(zone))).collect()
}

/// A write that placed runs in these availability zones found other items than it expected: what they tell of
/// evacuations is taken in before the watch tells it.
pub(crate) fn apply_conflict(cx: &Context, active: &Active, zones: &BTreeSet<AvailabilityZoneId>, items: &[Item]) {
    let now = cx.view.clock().now();
    for zone in zones {
        let key = cx.decoder.evacuation_key(zone);
        let found = items.iter().find(|item| item.key == key).map(|item| item.revision);
        if found.unwrap_or(Revision(0)) != active.evacuations.revision(zone) {
            active.update(|scheduler| take(&active.evacuations, scheduler, zone, found, now));
        }
    }
}

/// Operators evacuate an availability zone, or take it back, on the box that schedules.
pub(crate) async fn request(
    store: &dyn CoordinationStore,
    active: &Active,
    zone: &AvailabilityZoneId,
    evacuated: bool,
    now: impl Fn() -> Moment,
) -> EvacuationOutcome {
    if evacuated && let Err(why) = active.lock().check_evacuation(zone) {
        return EvacuationOutcome::Refused(why);
    }
    let key = keys::evacuation(zone);
    let mut transaction =
        Transaction { expect: vec![(keys::SCHEDULER.to_owned(), Revision(active.fence.0))], ..Transaction::default() };
    if evacuated {
        transaction.put.push(Put { key, value: b"{}".to_vec(), lease: None });
    } else {
        transaction.remove.push(key);
    }
    match store.commit(transaction, WRITE_LIMIT).await {
        Ok(Committed::Done(_)) => {}
        Ok(Committed::Conflict(_)) => return EvacuationOutcome::NotHere,
        Ok(Committed::LeaseGone) | Err(_) => return EvacuationOutcome::Unknown,
    }
    active.update(|scheduler| {
        if evacuated {
            scheduler.evacuate(zone, EvacuatedBy::Operators, now());
        } else {
            scheduler.end_evacuation(zone, EvacuatedBy::Operators);
        }
    });
    EvacuationOutcome::Done
}

/// How far each evacuation has come, on the box that schedules.
pub(crate) fn status(active: &Active, now: Moment) -> Vec<EvacuationStatus> {
    active.lock().evacuations(now)
}
