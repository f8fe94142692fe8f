//! Revisions of the keys by which the platform evacuates availability zones, as the scheduler knows them.

use std::{collections::BTreeMap, sync::Mutex};

use model::{AvailabilityZoneId, Revision};

/// The platform's evacuated availability zones, each with the revision of its key. Writes that place runs are
/// conditional on these revisions.
#[derive(Debug, Default)]
pub(crate) struct EvacuationRevisions {
    revisions: Mutex<BTreeMap<AvailabilityZoneId, Revision>>,
}

impl EvacuationRevisions {
    pub(crate) fn set(&self, zone: &AvailabilityZoneId, revision: Option<Revision>) {
        let mut revisions = self.revisions.lock().expect("no holder panics");
        match revision {
            Some(revision) => revisions.insert(zone.clone(), revision),
            None => revisions.remove(zone),
        };
    }

    pub(crate) fn replace(&self, all: BTreeMap<AvailabilityZoneId, Revision>) {
        *self.revisions.lock().expect("no holder panics") = all;
    }

    /// Returns the known revision of the key of an availability zone; 0 if the zone is not evacuated.
    pub(crate) fn revision(&self, zone: &AvailabilityZoneId) -> Revision {
        self.revisions.lock().expect("no holder panics").get(zone).copied().unwrap_or(Revision(0))
    }
}
