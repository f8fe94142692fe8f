//! Index of backend servers by the address of their current or latest link.
//!
//! Only one incarnation at a time has an address, so a response of a backend server shows that all others at its
//! address have ended. A new scheduler looks these up once for each backend server, which must not require a scan of
//! all of them.

use std::{collections::HashMap, net::SocketAddr};

use model::BackendServerId;

/// Backend servers with open or closed links, by address.
#[derive(Debug, Default)]
pub struct Addresses {
    /// Backend servers with open links. There may be several at one address, since a late entry of a crashed
    /// incarnation may name the address of its successor.
    open: HashMap<SocketAddr, Vec<BackendServerId>>,
    /// Backend server whose link to the address was closed last.
    closed: HashMap<SocketAddr, BackendServerId>,
    closed_at: HashMap<BackendServerId, SocketAddr>,
}

impl Addresses {
    /// Records that a link to a backend server was opened.
    pub fn open(&mut self, id: &BackendServerId, addr: SocketAddr) {
        if let Some(previous) = self.closed_at.remove(id)
            && self.closed.get(&previous) == Some(id)
        {
            self.closed.remove(&previous);
        }
        self.open.entry(addr).or_default().push(id.clone());
    }

    /// Removes the open link of a backend server that has moved to another address, without recording it as closed
    /// there.
    pub fn move_away(&mut self, id: &BackendServerId, addr: SocketAddr) {
        if let Some(ids) = self.open.get_mut(&addr) {
            ids.retain(|other| other != id);
            if ids.is_empty() {
                self.open.remove(&addr);
            }
        }
    }

    /// Records that the link to a backend server was closed. A response of another incarnation at the address later
    /// shows that it has ended.
    pub fn close(&mut self, id: &BackendServerId, addr: SocketAddr) {
        self.move_away(id, addr);
        if let Some(previous) = self.closed.insert(addr, id.clone())
            && previous != *id
        {
            self.closed_at.remove(&previous);
        }
        self.closed_at.insert(id.clone(), addr);
    }

    /// Returns the other backend servers with open links to an address, and the one whose link to it was closed last.
    pub fn others_at(&self, id: &BackendServerId, addr: SocketAddr) -> Vec<BackendServerId> {
        let open = self.open.get(&addr).into_iter().flatten();
        open.chain(self.closed.get(&addr)).filter(|other| *other != id).cloned().collect()
    }
}
