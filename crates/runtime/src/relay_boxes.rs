//! Boxes that the others go through: which they are, and who goes through which.
//!
//! What every box asks of the store grows with the number of boxes, and what it is told of all others with the square. So the scheduler alone
//! reads the list of boxes, and names a few of them; the others ask those.

use std::{collections::BTreeMap, net::SocketAddr};

use model::{AvailabilityZoneId, BoxId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Where there are no more boxes than this, each of them is named.
const LEAST: usize = 32;

/// A box, as it lists itself in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedBox {
    /// Where other boxes reach it.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub availability_zone: AvailabilityZoneId,
    /// What its link carries, in Mbit/s.
    pub link_mbps: f64,
}

/// The boxes that the others go through, as the scheduler names them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RelayBoxes {
    /// Of so many boxes in all.
    #[serde(rename = "of")]
    pub box_count: usize,
    /// By id.
    #[serde(rename = "named")]
    pub relays: BTreeMap<BoxId, ListedBox>,
}

impl RelayBoxes {
    /// Names some of `boxes`: about the square root of their number, so that what the store sends to them, and each of them to the rest, grows alike.
    ///
    /// Rendezvous hashing: one that comes or goes moves no other. Wide links are named more often, by their width.
    pub fn choose(boxes: &BTreeMap<BoxId, ListedBox>) -> RelayBoxes {
        let most = LEAST.max((boxes.len() as f64).sqrt().ceil() as usize);
        let mut by_rank: Vec<(f64, &BoxId)> =
            boxes.iter().map(|(id, listed)| (listed.rank(&[id.as_str()]), id)).collect();
        by_rank.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(b.1)));
        let relays = by_rank.into_iter().take(most).map(|(_, id)| (id.clone(), boxes[id].clone()));
        RelayBoxes { box_count: boxes.len(), relays: relays.collect() }
    }

    /// Whether a box asks one that is named, in place of the store. Where boxes are few, one that is not named was only silent as it was asked.
    pub fn is_relayed(&self, here: &BoxId) -> bool {
        self.box_count > LEAST && !self.relays.contains_key(here)
    }

    /// Whom a box asks first, second and so on: those of its own availability zone before the others, since bytes between zones are
    /// paid for; among them each box has an order of its own, in which wide links come first more often.
    pub fn order_for(&self, here: &BoxId, zone: &AvailabilityZoneId) -> Vec<SocketAddr> {
        let others = self.relays.iter().filter(|(id, _)| *id != here);
        let mut order: Vec<(bool, f64, &ListedBox)> = others
            .map(|(id, relay)| (relay.availability_zone != *zone, relay.rank(&[here.as_str(), id.as_str()]), relay))
            .collect();
        order.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
        order.into_iter().map(|(_, _, relay)| relay.addr).collect()
    }
}

impl ListedBox {
    /// The higher, the sooner it is taken: weighted rendezvous hashing, by the width of its link.
    fn rank(&self, names: &[&str]) -> f64 {
        // Above 0 and below 1.
        let drawn = (hash(names) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -self.link_mbps.max(f64::MIN_POSITIVE) / drawn.min(1.0 - f64::EPSILON).ln()
    }
}

/// The same on each box and in each version of the program.
fn hash(parts: &[&str]) -> u64 {
    let mut digest = Sha256::new();
    for part in parts {
        digest.update(part.as_bytes());
        digest.update([0]);
    }
    let first = digest.finalize().first_chunk().copied().expect("a digest has 32 bytes");
    u64::from_be_bytes(first)
}
