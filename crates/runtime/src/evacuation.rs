//! Evacuations of availability zones: restored before the first start, then followed, and requested by operators.
//!
//! There are two sources: the operators of the platform, under a prefix of theirs, and those of martenscale, through
//! the box that schedules. Correctness does not depend on how soon the watch reports the former: each write that places
//! a run is conditional on the known revisions of the evacuation keys of its availability zones, and a start is sent
//! only after that write. The latter are written by the scheduling box alone, under its fencing token.

use std::collections::{BTreeMap, BTreeSet};

use model::{AvailabilityZoneId, Duration, Moment, Revision};
use outside::{Change, Committed, CoordinationStore, Item, Put, Transaction};
use scheduler::{EvacuatedBy, EvacuationError, EvacuationStatus, Scheduler};

use crate::{
    active::Active,
    context::Context,
    evacuation_revisions::EvacuationRevisions,
    follow::{Changes, PrefixUpdate, WatchTiming, follow},
    keys, paged_reads,
    platform::Decoder,
};

/// Longest wait of the watch on the platform's evacuations.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Timeout of a write of an evacuation by operators.
const WRITE_TIMEOUT: Duration = Duration::from_millis(800);

/// Outcome of a request to start or end an evacuation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationOutcome {
    /// The change is in force, and the store holds it.
    Done,
    /// The change is not allowed.
    Refused(EvacuationError),
    /// Another box schedules.
    NotHere,
    /// The store rejected the write or did not respond; the change may be in force. Repeating the request is safe.
    Unknown,
}

/// Restores all evacuations for a new scheduler, before its first plan. Returns the revision up to which those of the
/// platform have been read.
pub(crate) async fn restore(cx: &Context, revisions: &EvacuationRevisions, scheduler: &mut Scheduler) -> Revision {
    let prefix = cx.decoder.evacuations_prefix();
    let platform_zones = paged_reads::read_all(&*cx.store, &cx.view, &prefix);
    let operator_zones = paged_reads::read_all(&*cx.store, &cx.view, keys::EVACUATIONS);
    let (platform_zones, operator_zones) = futures_lite::future::zip(platform_zones, operator_zones).await;
    let now = cx.view.clock().now();
    let operator_evacuated: BTreeSet<AvailabilityZoneId> =
        operator_zones.items.iter().filter_map(|item| keys::evacuated_zone(&item.key)).collect();
    scheduler.set_evacuated(EvacuatedBy::Operators, &operator_evacuated, now);
    apply_all(&*cx.decoder, revisions, scheduler, &platform_zones.items, now);
    platform_zones.at
}

/// Follows the platform's evacuations from the revision that [`restore`] returned, until it is dropped.
pub(crate) async fn follow_platform(cx: Context, active: std::sync::Arc<Active>, from: Revision) {
    let prefix = cx.decoder.evacuations_prefix();
    let on_update = |update: PrefixUpdate| {
        let now = cx.view.clock().now();
        active.update(|scheduler| match &update {
            PrefixUpdate::All(items) => apply_all(&*cx.decoder, &active.evacuations, scheduler, items, now),
            PrefixUpdate::Changes(Changes { changes, .. }) => {
                for change in changes {
                    apply_change(&*cx.decoder, &active.evacuations, scheduler, change, now);
                }
            }
        });
    };
    follow(&*cx.store, &cx.view, &prefix, Some(from), WatchTiming::immediate(WATCH_WAIT), on_update).await;
}

fn apply_all(
    decoder: &dyn Decoder,
    revisions: &EvacuationRevisions,
    scheduler: &mut Scheduler,
    items: &[Item],
    now: Moment,
) {
    let zone = |item: &Item| Some((decoder.evacuated_zone(&item.key)?, item.revision));
    let all: BTreeMap<AvailabilityZoneId, Revision> = items.iter().filter_map(zone).collect();
    scheduler.set_evacuated(EvacuatedBy::Platform, &all.keys().cloned().collect(), now);
    revisions.replace(all);
}

fn apply_change(
    decoder: &dyn Decoder,
    revisions: &EvacuationRevisions,
    scheduler: &mut Scheduler,
    change: &Change,
    now: Moment,
) {
    let (key, revision) = match change {
        Change::Put(item) => (&item.key, Some(item.revision)),
        Change::Removed { key } => (key, None),
    };
    match decoder.evacuated_zone(key) {
        Some(zone) => apply_revision(revisions, scheduler, &zone, revision, now),
        None => log::error!("event=evacuation_unreadable key={key}"),
    }
}

/// Applies the revision of the key of an availability zone; `None` if the key does not exist.
fn apply_revision(
    revisions: &EvacuationRevisions,
    scheduler: &mut Scheduler,
    zone: &AvailabilityZoneId,
    revision: Option<Revision>,
    now: Moment,
) {
    revisions.set(zone, revision);
    match revision {
        Some(_) => scheduler.evacuate(zone, EvacuatedBy::Platform, now),
        None => scheduler.end_evacuation(zone, EvacuatedBy::Platform),
    }
}

/// Returns the conditions of a write that places runs in these availability zones.
pub(crate) fn conditions(
    decoder: &dyn Decoder,
    revisions: &EvacuationRevisions,
    zones: &BTreeSet<AvailabilityZoneId>,
) -> Vec<(String, Revision)> {
    zones.iter().map(|zone| (decoder.evacuation_key(zone), revisions.revision(zone))).collect()
}

/// Applies the evacuations that a conflict has shown: a write that places runs in these availability zones found other
/// revisions than expected, before the watch has reported them.
pub(crate) fn apply_conflict(cx: &Context, active: &Active, zones: &BTreeSet<AvailabilityZoneId>, items: &[Item]) {
    let now = cx.view.clock().now();
    for zone in zones {
        let key = cx.decoder.evacuation_key(zone);
        let found = items.iter().find(|item| item.key == key).map(|item| item.revision);
        if found.unwrap_or(Revision(0)) != active.evacuations.revision(zone) {
            active.update(|scheduler| apply_revision(&active.evacuations, scheduler, zone, found, now));
        }
    }
}

/// Starts or ends an evacuation for operators, on the box that schedules.
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
    match store.commit(transaction, WRITE_TIMEOUT).await {
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

/// Returns the progress of each evacuation, on the box that schedules.
pub(crate) fn status(active: &Active, now: Moment) -> Vec<EvacuationStatus> {
    active.lock().evacuations(now)
}
