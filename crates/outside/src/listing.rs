//! Platform's list of live and draining boxes.
//!
//! The list lags. It helps to find peers, but doesn't prove that a box is live or has ended.

use std::net::SocketAddr;

use model::{AvailabilityZoneId, BoxId};
use net::{BoxFuture, NetError};
use serde::{Deserialize, Serialize};

/// Box in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBox {
    /// Identifier of the box.
    pub id: BoxId,
    /// Availability zone of the box.
    pub availability_zone: AvailabilityZoneId,
    /// Address that the box listens on for calls of other boxes.
    pub peer_address: SocketAddr,
    /// Whether the platform is about to remove the box.
    pub leaving: bool,
}

/// Source of the platform's list of boxes.
pub trait Listing: Send + Sync + 'static {
    /// Reads the list, which may be outdated.
    fn list(&self) -> BoxFuture<'static, Result<Vec<ListedBox>, NetError>>;
}
