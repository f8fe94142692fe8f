//! Which availability zones the platform evacuates, as far as the scheduling box knows.

use std::{collections::BTreeMap, sync::Mutex};

use model::{AvailabilityZoneId, Revision};

/// The platform's evacuations as they are known: each with the revision of its key.
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

    /// The revision at which an availability zone's key is known to stand; 0 if it is not evacuated.
    pub(crate) fn revision(&self, zone: &AvailabilityZoneId) -> Revision {
        self.revisions.lock().expect("no holder panics").get(zone).copied().unwrap_or(Revision(0))
    }
}
