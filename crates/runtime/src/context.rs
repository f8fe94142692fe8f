//! What a scheduling box works with: the outside, and what the box knows of itself.

use std::sync::Arc;

use outside::CoordinationStore;

use crate::{
    platform::{BackendServers, Decoder, Machines, PermitService},
    relay::Peers,
    view::View,
};

/// What a scheduling box works with.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) store: Arc<dyn CoordinationStore>,
    pub(crate) servers: Arc<dyn BackendServers>,
    pub(crate) decoder: Arc<dyn Decoder>,
    /// `None` on a platform without one.
    pub(crate) permit_service: Option<Arc<dyn PermitService>>,
    /// `None` on a platform that has no upkeep.
    pub(crate) machines: Option<Arc<dyn Machines>>,
    pub(crate) view: Arc<View>,
    pub(crate) peers: Arc<Peers>,
}
