//! Context shared by the tasks of a box: external systems, and the view of the box.

use std::sync::Arc;

use outside::CoordinationStore;

use crate::{
    platform::{BackendServers, Decoder, Machines, PermitService},
    relay::Peers,
    unusable_items::UnusableItems,
    view::View,
};

/// Context shared by the tasks of a box.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) store: Arc<dyn CoordinationStore>,
    pub(crate) servers: Arc<dyn BackendServers>,
    pub(crate) decoder: Arc<dyn Decoder>,
    /// `None` on a platform without a permit service.
    pub(crate) permit_service: Option<Arc<dyn PermitService>>,
    /// `None` on a platform that offers no maintenance.
    pub(crate) machines: Option<Arc<dyn Machines>>,
    pub(crate) view: Arc<View>,
    pub(crate) peers: Arc<Peers>,
    pub(crate) unusable_items: Arc<UnusableItems>,
}
