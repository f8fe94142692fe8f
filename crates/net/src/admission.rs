//! Decides which connections may hold memory, and which are closed to make room for others.
//!
//! The limits apply to the sums over all connections of a process. Under pressure, the client that holds the most gives
//! up its connection that has waited longest; a request that is being processed is never given up.
//!
//! Load: thousands of connections. A decision without pressure takes constant time; one under pressure visits every
//! connection once for each that is closed.

use std::{
    cmp::Reverse,
    collections::{HashMap, hash_map::Entry},
    net::IpAddr,
    time::Duration,
};

use derive_more::{Display, FromStr};

/// Most memory that connections may hold together, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, FromStr)]
pub struct MemoryLimit(pub usize);

/// Most connections that may be open at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, FromStr)]
pub struct ConnectionLimit(pub usize);

/// Number of a connection, unique within the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct ConnectionId(pub u64);

/// What a connection is doing. Times are measured from any fixed point.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No request has begun.
    Idle {
        /// When the connection was opened or its last response ended.
        since: Duration,
    },
    /// A request is arriving. It has not been processed, so it may be given up.
    Receiving {
        /// When its first byte arrived.
        since: Duration,
    },
    /// A request is being processed, and may have effects.
    Processing,
    /// A response waits for its client to read it.
    Sending {
        /// When the client last read a part of it.
        since: Duration,
    },
}

impl Phase {
    /// Returns since when the connection has waited for its client; `None` if it does not.
    fn waiting_since(self) -> Option<Duration> {
        match self {
            Phase::Idle { since } | Phase::Receiving { since } | Phase::Sending { since } => Some(since),
            Phase::Processing => None,
        }
    }
}

/// Outcome of a request for memory or for a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use]
pub enum Decision {
    /// It is granted. The listed connections are to be closed; they count no more.
    Granted(Vec<ConnectionId>),
    /// There is no room, and nothing has changed.
    Refused,
}

/// What a client or a process holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Held {
    /// Memory, in bytes.
    pub bytes: usize,
    /// Number of open connections.
    pub connections: usize,
}

struct Holder {
    client: IpAddr,
    bytes: usize,
    phase: Phase,
    /// Since when it has waited for its client, or had done so when the request began that is being processed.
    since: Duration,
}

#[derive(Default)]
struct Client {
    held: Held,
    /// Part of `held` whose requests are being processed.
    processing: Held,
}

/// Resource that is short.
#[derive(Clone, Copy)]
enum Resource {
    Memory,
    Connections,
}

impl Resource {
    fn of(self, held: Held) -> usize {
        match self {
            Resource::Memory => held.bytes,
            Resource::Connections => held.connections,
        }
    }
}

/// The connections of a process, and what each holds.
pub struct Admission {
    memory: usize,
    connections: usize,
    holders: HashMap<ConnectionId, Holder>,
    clients: HashMap<IpAddr, Client>,
    held_bytes: usize,
}

impl Admission {
    /// Creates an admission without connections.
    pub fn new(memory: MemoryLimit, connections: ConnectionLimit) -> Admission {
        Admission {
            memory: memory.0,
            connections: connections.0,
            holders: HashMap::new(),
            clients: HashMap::new(),
            held_bytes: 0,
        }
    }

    /// Returns what all connections hold together.
    pub fn held(&self) -> Held {
        Held { bytes: self.held_bytes, connections: self.holders.len() }
    }

    /// Returns the client of a connection; `None` if it is not open.
    pub fn client(&self, id: ConnectionId) -> Option<IpAddr> {
        Some(self.holders.get(&id)?.client)
    }

    /// Adds an idle connection that holds `bytes`. Its id must be new.
    pub fn open(&mut self, id: ConnectionId, client: IpAddr, bytes: usize, now: Duration) -> Decision {
        let requester = Requester { id, client, since: now };
        let surplus = (self.holders.len() + 1).saturating_sub(self.connections);
        let Some(mut victims) = self.victims(requester, Resource::Connections, surplus, &[]) else {
            return Decision::Refused;
        };
        let Some(more) = self.victims_for_memory(requester, bytes, &victims) else { return Decision::Refused };
        victims.extend(more);
        self.close_all(&victims);
        self.holders.insert(id, Holder { client, bytes: 0, phase: Phase::Idle { since: now }, since: now });
        self.clients.entry(client).or_default().held.connections += 1;
        self.add_bytes(id, bytes);
        Decision::Granted(victims)
    }

    /// Lets a connection hold `bytes` more. Refused for a connection that is not open, and for one that is processing a
    /// request if its client would hold more than three quarters of the memory in such connections.
    pub fn reserve(&mut self, id: ConnectionId, bytes: usize) -> Decision {
        let Some(requester) = self.requester(id) else { return Decision::Refused };
        let processing = self.clients[&requester.client].processing.bytes;
        let is_processing = self.holders[&id].phase == Phase::Processing;
        if is_processing && processing.saturating_add(bytes) > client_share(self.memory) {
            return Decision::Refused;
        }
        let Some(victims) = self.victims_for_memory(requester, bytes, &[]) else { return Decision::Refused };
        self.close_all(&victims);
        self.add_bytes(id, bytes);
        Decision::Granted(victims)
    }

    /// Lets a connection process its request, for which it holds `bytes` more. Refused also where its client would have
    /// more than three quarters of a limit in requests that are being processed, which would shut out other clients.
    pub fn process(&mut self, id: ConnectionId, bytes: usize) -> Decision {
        let Some(holder) = self.holders.get(&id) else { return Decision::Refused };
        let processing = self.clients[&holder.client].processing;
        let is_processing = holder.phase == Phase::Processing;
        let (own_bytes, own_connections) = if is_processing { (0, 0) } else { (holder.bytes, 1) };
        if processing.bytes + own_bytes + bytes > client_share(self.memory)
            || processing.connections + own_connections > client_share(self.connections)
        {
            return Decision::Refused;
        }
        let decision = self.reserve(id, bytes);
        if decision != Decision::Refused {
            self.set_phase(id, Phase::Processing);
        }
        decision
    }

    /// Gives back a part of what a connection holds.
    pub fn release(&mut self, id: ConnectionId, bytes: usize) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        let bytes = bytes.min(holder.bytes);
        holder.bytes -= bytes;
        self.held_bytes -= bytes;
        let client = self.clients.get_mut(&holder.client).expect("it has a connection");
        client.held.bytes -= bytes;
        if holder.phase == Phase::Processing {
            client.processing.bytes -= bytes;
        }
    }

    /// Changes what a connection is doing.
    pub fn set_phase(&mut self, id: ConnectionId, phase: Phase) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        let before = std::mem::replace(&mut holder.phase, phase);
        holder.since = phase.waiting_since().unwrap_or(holder.since);
        let processing = &mut self.clients.get_mut(&holder.client).expect("it has a connection").processing;
        if before == Phase::Processing {
            processing.connections -= 1;
            processing.bytes -= holder.bytes;
        }
        if phase == Phase::Processing {
            processing.connections += 1;
            processing.bytes += holder.bytes;
        }
    }

    /// Removes a connection and all that it holds. Does nothing if it is not open.
    pub fn close(&mut self, id: ConnectionId) {
        // Takes it out of the client's requests that are being processed.
        self.set_phase(id, Phase::Idle { since: Duration::ZERO });
        let Some(holder) = self.holders.remove(&id) else { return };
        self.held_bytes -= holder.bytes;
        let Entry::Occupied(mut client) = self.clients.entry(holder.client) else { return };
        client.get_mut().held.bytes -= holder.bytes;
        client.get_mut().held.connections -= 1;
        if client.get().held.connections == 0 {
            client.remove();
        }
    }

    fn close_all(&mut self, ids: &[ConnectionId]) {
        for id in ids {
            self.close(*id);
        }
    }

    fn add_bytes(&mut self, id: ConnectionId, bytes: usize) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        holder.bytes += bytes;
        self.held_bytes += bytes;
        let client = self.clients.get_mut(&holder.client).expect("it has a connection");
        client.held.bytes += bytes;
        if holder.phase == Phase::Processing {
            client.processing.bytes += bytes;
        }
    }

    fn requester(&self, id: ConnectionId) -> Option<Requester> {
        let holder = self.holders.get(&id)?;
        Some(Requester { id, client: holder.client, since: holder.since })
    }

    /// Returns the connections to close before `bytes` more can be held, beside `closed`; `None` if there is no room.
    fn victims_for_memory(
        &self,
        requester: Requester,
        bytes: usize,
        closed: &[ConnectionId],
    ) -> Option<Vec<ConnectionId>> {
        let freed: usize = closed.iter().map(|id| self.holders[id].bytes).sum();
        let surplus = (self.held_bytes - freed).saturating_add(bytes).saturating_sub(self.memory);
        self.victims(requester, Resource::Memory, surplus, closed)
    }

    /// Returns the connections to close, beside `closed`, before there is `surplus` less of a resource in use; `None`
    /// if the requester has waited longer than all that could be closed of its client, or if these are not enough.
    fn victims(
        &self,
        requester: Requester,
        resource: Resource,
        surplus: usize,
        closed: &[ConnectionId],
    ) -> Option<Vec<ConnectionId>> {
        let mut all = closed.to_vec();
        let mut freed = 0;
        while freed < surplus {
            let (id, victim) = self.victim(requester, resource, &all)?;
            if victim.client == requester.client && victim.since > requester.since {
                return None;
            }
            freed += resource.of(Held { bytes: victim.bytes, connections: 1 });
            all.push(id);
        }
        Some(all.split_off(closed.len()))
    }

    /// Returns the connection that has waited longest, of the client that holds the most of a resource. Clients that
    /// hold less than the requester's are left alone; of equal ones, the requester's own comes first.
    fn victim(
        &self,
        requester: Requester,
        resource: Resource,
        closed: &[ConnectionId],
    ) -> Option<(ConnectionId, &Holder)> {
        let mut use_of_clients: HashMap<IpAddr, usize> =
            self.clients.iter().map(|(client, of_client)| (*client, resource.of(of_client.held))).collect();
        for holder in closed.iter().map(|id| &self.holders[id]) {
            *use_of_clients.get_mut(&holder.client).expect("it has a connection") -=
                resource.of(Held { bytes: holder.bytes, connections: 1 });
        }
        let own_use = use_of_clients.get(&requester.client).copied().unwrap_or_default();
        let candidates = self.holders.iter().filter_map(|(id, holder)| {
            let since = holder.phase.waiting_since()?;
            let in_use = use_of_clients[&holder.client];
            let is_left_alone = *id == requester.id || in_use < own_use || closed.contains(id);
            (!is_left_alone).then_some((
                in_use,
                holder.client == requester.client,
                Reverse(since),
                Reverse(*id),
                holder,
            ))
        });
        let key =
            |(in_use, is_own, since, id, _): &(usize, bool, Reverse<Duration>, Reverse<ConnectionId>, &Holder)| {
                (*in_use, *is_own, *since, *id)
            };
        candidates.max_by_key(key).map(|(.., Reverse(id), holder)| (id, holder))
    }
}

/// Connection that asks for room.
#[derive(Clone, Copy)]
struct Requester {
    id: ConnectionId,
    client: IpAddr,
    /// See [`Holder::since`].
    since: Duration,
}

/// Returns how much of a limit one client may have in requests that are being processed.
fn client_share(limit: usize) -> usize {
    limit - limit / 4
}
