//! Relay boxes: which boxes watch the store on behalf of others, and which of them each box uses.
//!
//! If every box queried the store, its requests would grow with the number of boxes, and responses that list all boxes
//! with the square of it. So only the scheduler reads the list of boxes; it names a few of them as relays, and the
//! other boxes query those.

use std::{collections::BTreeMap, net::SocketAddr};

use model::{AvailabilityZoneId, BoxId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of boxes up to which each of them is a relay.
const MIN_RELAYS: usize = 32;

/// Entry of a box in the list that the store holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedBox {
    /// Address at which other boxes reach the box.
    pub addr: SocketAddr,
    /// Availability zone of the box.
    pub availability_zone: AvailabilityZoneId,
    /// Bandwidth of the link of the box, in Mbit/s.
    pub link_mbps: f64,
}

/// The relay boxes, as the scheduler has chosen them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RelayBoxes {
    /// Number of boxes in the list from which they were chosen.
    #[serde(rename = "of")]
    pub box_count: usize,
    /// The relays by id.
    #[serde(rename = "named")]
    pub relays: BTreeMap<BoxId, ListedBox>,
}

impl RelayBoxes {
    /// Chooses relays from `boxes`: about the square root of their number, so that the traffic from the store to the
    /// relays and that from each relay to other boxes grow alike.
    ///
    /// Uses rendezvous hashing, so that adding or removing one box moves no other. Boxes are weighted by the bandwidth
    /// of their links.
    pub fn choose(boxes: &BTreeMap<BoxId, ListedBox>) -> RelayBoxes {
        let max_relays = MIN_RELAYS.max((boxes.len() as f64).sqrt().ceil() as usize);
        let mut by_rank: Vec<(f64, &BoxId)> =
            boxes.iter().map(|(id, listed)| (listed.rank(&[id.as_str()]), id)).collect();
        by_rank.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(b.1)));
        let relays = by_rank.into_iter().take(max_relays).map(|(_, id)| (id.clone(), boxes[id].clone()));
        RelayBoxes { box_count: boxes.len(), relays: relays.collect() }
    }

    /// Whether a box queries a relay instead of the store. Where boxes are few, all of them are relays; one that is
    /// missing only did not respond when they were chosen, and uses the store.
    pub fn is_relayed(&self, box_id: &BoxId) -> bool {
        self.box_count > MIN_RELAYS && !self.relays.contains_key(box_id)
    }

    /// Returns the relays in the order in which a box tries them: those of its own availability zone first, since
    /// traffic between zones is paid for. Within both groups each box has its own order, in which wide links come first
    /// more often.
    pub fn order_for(&self, box_id: &BoxId, zone: &AvailabilityZoneId) -> Vec<SocketAddr> {
        let others = self.relays.iter().filter(|(id, _)| *id != box_id);
        let mut order: Vec<(bool, f64, &ListedBox)> = others
            .map(|(id, relay)| (relay.availability_zone != *zone, relay.rank(&[box_id.as_str(), id.as_str()]), relay))
            .collect();
        order.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
        order.into_iter().map(|(_, _, relay)| relay.addr).collect()
    }
}

impl ListedBox {
    /// Returns the rank of the box: weighted rendezvous hashing by the bandwidth of its link. The highest ranks are
    /// taken first.
    fn rank(&self, names: &[&str]) -> f64 {
        // Strictly between 0 and 1.
        let drawn = (hash(names) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -self.link_mbps.max(f64::MIN_POSITIVE) / drawn.min(1.0 - f64::EPSILON).ln()
    }
}

/// Hashes names. The result is the same on every box and in every version of the program.
fn hash(parts: &[&str]) -> u64 {
    let mut digest = Sha256::new();
    for part in parts {
        digest.update(part.as_bytes());
        digest.update([0]);
    }
    let first = digest.finalize().first_chunk().copied().expect("a digest has 32 bytes");
    u64::from_be_bytes(first)
}
