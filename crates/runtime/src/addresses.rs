//! Which backend servers links lead to, or led to, by address.
//!
//! One address has one life at a time, so a backend server that answers tells that any other one at its address is over. A new scheduler asks this
//! for each backend server, and must not look at all others for it.

use std::{collections::HashMap, net::SocketAddr};

use model::BackendServerId;

/// Backend servers by address.
#[derive(Debug, Default)]
pub struct Addresses {
    /// Those to which links are open: a late entry of a crashed life may name an address beside the one that lives there.
    open: HashMap<SocketAddr, Vec<BackendServerId>>,
    /// The one to which the latest link was closed.
    closed: HashMap<SocketAddr, BackendServerId>,
    closed_at: HashMap<BackendServerId, SocketAddr>,
}

impl Addresses {
    /// A link to a backend server is opened.
    pub fn open(&mut self, id: &BackendServerId, addr: SocketAddr) {
        if let Some(before) = self.closed_at.remove(id)
            && self.closed.get(&before) == Some(id)
        {
            self.closed.remove(&before);
        }
        self.open.entry(addr).or_default().push(id.clone());
    }

    /// The link to a backend server that has moved to another address is given up.
    pub fn move_away(&mut self, id: &BackendServerId, addr: SocketAddr) {
        if let Some(ids) = self.open.get_mut(&addr) {
            ids.retain(|other| other != id);
            if ids.is_empty() {
                self.open.remove(&addr);
            }
        }
    }

    /// The link to a backend server is closed: another life that answers there tells that it has ended.
    pub fn close(&mut self, id: &BackendServerId, addr: SocketAddr) {
        self.move_away(id, addr);
        if let Some(before) = self.closed.insert(addr, id.clone())
            && before != *id
        {
            self.closed_at.remove(&before);
        }
        self.closed_at.insert(id.clone(), addr);
    }

    /// Others than `id` that links to an address lead to, or the latest one led to.
    pub fn others_at(&self, id: &BackendServerId, addr: SocketAddr) -> Vec<BackendServerId> {
        let open = self.open.get(&addr).into_iter().flatten();
        open.chain(self.closed.get(&addr)).filter(|other| *other != id).cloned().collect()
    }
}
