//! Guarantees as placeable shapes: every gang of every guarantee has a place of its own.

use std::collections::BTreeSet;

use derive_more::{Display, Error};
use model::{AvailabilityZoneId, CustomerId, Gang, OperatorFile, ServerMode};

use crate::{Room, Server};

/// Why the guarantees of a file cannot all be held at once.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display(
    "customers.{customer}.guarantees: gang {number} of {gangs}, {gang}, has no place in {availability_zone}: \
     {placed} guaranteed accelerators of {total} are placed before it, and no {} has room for it", gang.within
)]
pub struct GuaranteeError {
    /// Whose.
    pub customer: CustomerId,
    /// Where.
    pub availability_zone: AvailabilityZoneId,
    /// The shape.
    pub gang: Gang,
    /// Which of the guarantee's gangs, from 1.
    pub number: u32,
    /// How many the guarantee has.
    pub gangs: u32,
    /// Accelerators of guarantees that were placed before it.
    pub placed: u32,
    /// Accelerators of the availability zone.
    pub total: u32,
}

/// Checks that all guarantees of a file have places at once.
pub fn check_guarantees(file: &OperatorFile) -> Result<(), GuaranteeError> {
    let zones: BTreeSet<&AvailabilityZoneId> =
        file.customers.values().flat_map(|c| &c.guarantees).map(|g| &g.availability_zone).collect();
    for zone in zones {
        check_zone(file, zone)?;
    }
    Ok(())
}

fn check_zone(file: &OperatorFile, zone: &AvailabilityZoneId) -> Result<(), GuaranteeError> {
    let here = file.backend_servers.values().filter(|s| s.availability_zone == *zone && s.mode == ServerMode::Active);
    let servers: Vec<Server> =
        here.map(|s| Server { id: s.id.clone(), rack: s.rack.clone(), resources: s.resources, open: true }).collect();
    let total = servers.iter().map(|s| s.resources.accelerators).sum();
    let mut room = Room::empty(&servers);
    let mut placed = 0;
    for customer in file.customers.values() {
        for guarantee in customer.guarantees.iter().filter(|g| g.availability_zone == *zone) {
            for number in 1..=guarantee.gangs {
                let Some(members) = room.first_fit(&guarantee.gang, &BTreeSet::new()) else {
                    return Err(GuaranteeError {
                        customer: customer.id.clone(),
                        availability_zone: zone.clone(),
                        gang: guarantee.gang,
                        number,
                        gangs: guarantee.gangs,
                        placed,
                        total,
                    });
                };
                room.take(&members, &guarantee.gang.per_task);
                placed += guarantee.gang.total().accelerators;
            }
        }
    }
    Ok(())
}
