//! The platform's list of live and leaving boxes, which lags: a hint for finding peers, never proof.

use std::net::SocketAddr;

use model::{AvailabilityZoneId, BoxId};
use net::{BoxFuture, NetError};
use serde::{Deserialize, Serialize};

/// A box in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBox {
    /// Its id.
    pub id: BoxId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZoneId,
    /// Where it takes calls of other boxes.
    pub peer_address: SocketAddr,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}

/// The platform's list.
pub trait Listing: Send + Sync + 'static {
    /// The list as it stands, perhaps some time ago.
    fn list(&self) -> BoxFuture<'static, Result<Vec<ListedBox>, NetError>>;
}
