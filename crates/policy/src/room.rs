//! Free resources by backend server and rack, and placing gangs into them.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::{Display, Error};
use model::{BackendServerId, Gang, Member, RackId, Resources, Within};

use crate::{Running, Server};

/// Why a gang can never run in an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{gang} is asked for; one {within} here holds at most {most} such tasks")]
pub struct NeverFits {
    /// What was asked for.
    pub gang: Gang,
    /// The extent that was looked at.
    pub within: Within,
    /// The most tasks that fit into the best one.
    pub most: u32,
}

/// Free resources of one availability zone, indexed by the order of its backend servers.
#[derive(Debug, Clone)]
pub struct Room {
    ids: Vec<BackendServerId>,
    racks: Vec<Vec<usize>>,
    rack_of: Vec<usize>,
    capacity: Vec<Resources>,
    open: Vec<bool>,
    free: Vec<Resources>,
    index: BTreeMap<BackendServerId, usize>,
}

impl Room {
    /// Everything free.
    pub fn empty(servers: &[Server]) -> Room {
        let mut rack_index: BTreeMap<&RackId, usize> = BTreeMap::new();
        for server in servers {
            let next = rack_index.len();
            rack_index.entry(&server.rack).or_insert(next);
        }
        let mut racks = vec![Vec::new(); rack_index.len()];
        let rack_of: Vec<usize> = servers.iter().map(|s| rack_index[&s.rack]).collect();
        for (i, rack) in rack_of.iter().enumerate() {
            racks[*rack].push(i);
        }
        Room {
            ids: servers.iter().map(|s| s.id.clone()).collect(),
            racks,
            rack_of,
            capacity: servers.iter().map(|s| s.resources).collect(),
            open: servers.iter().map(|s| s.open).collect(),
            free: servers.iter().map(|s| s.resources).collect(),
            index: servers.iter().enumerate().map(|(i, s)| (s.id.clone(), i)).collect(),
        }
    }

    /// What running gangs leave.
    pub fn beside(servers: &[Server], running: &[Running]) -> Room {
        let mut room = Room::empty(servers);
        for gang in running {
            room.take(&gang.members, &gang.per_task);
        }
        room
    }

    /// Number of backend servers.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether there is no backend server.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// The place of a backend server in this room's order.
    pub fn position(&self, server: &BackendServerId) -> Option<usize> {
        self.index.get(server).copied()
    }

    /// The id at a place.
    pub fn id(&self, i: usize) -> &BackendServerId {
        &self.ids[i]
    }

    /// What is free at a place.
    pub fn free(&self, i: usize) -> Resources {
        self.free[i]
    }

    /// What the worker at a place has.
    pub fn capacity(&self, i: usize) -> Resources {
        self.capacity[i]
    }

    /// Whether the backend server at a place may be given new work.
    pub fn is_open(&self, i: usize) -> bool {
        self.open[i]
    }

    /// The rack of a place.
    pub fn rack(&self, i: usize) -> usize {
        self.rack_of[i]
    }

    /// Places by rack.
    pub fn racks(&self) -> &[Vec<usize>] {
        &self.racks
    }

    /// Takes a gang's resources.
    pub fn take(&mut self, members: &[Member], per_task: &Resources) {
        for member in members {
            if let Some(i) = self.position(&member.server) {
                self.free[i] = self.free[i].saturating_sub(&per_task.times(member.tasks));
            }
        }
    }

    /// Gives a gang's resources back.
    pub fn give(&mut self, members: &[Member], per_task: &Resources) {
        for member in members {
            if let Some(i) = self.position(&member.server) {
                self.free[i] += per_task.times(member.tasks);
            }
        }
    }

    /// How many tasks fit at a place now.
    pub fn fits(&self, i: usize, per_task: &Resources) -> u32 {
        if self.open[i] { self.free[i].count_of(per_task) } else { 0 }
    }

    /// Fills places in the given order until the gang is whole.
    pub fn fill(&self, order: impl Iterator<Item = usize>, gang: &Gang) -> Option<Vec<Member>> {
        let mut left = gang.tasks;
        let mut members = Vec::new();
        for i in order {
            let tasks = self.fits(i, &gang.per_task).min(left);
            if tasks > 0 {
                members.push(Member { server: self.ids[i].clone(), tasks });
                left -= tasks;
            }
            if left == 0 {
                members.sort_by(|a, b| a.server.cmp(&b.server));
                return Some(members);
            }
        }
        None
    }

    /// Whether a gang could ever be placed without the backend servers that it is to avoid. If it
    /// could not, they are not avoided: a job must not wait for ever for having failed somewhere.
    pub fn can_avoid(&self, gang: &Gang, avoid: &BTreeSet<BackendServerId>) -> bool {
        avoid.is_empty() || self.most(gang, |i| self.open[i] && !avoid.contains(&self.ids[i])) >= gang.tasks
    }

    /// The first placement in the order of ids.
    pub fn first_fit(&self, gang: &Gang, avoid: &BTreeSet<BackendServerId>) -> Option<Vec<Member>> {
        let heed = self.can_avoid(gang, avoid);
        let allowed = |i: &usize| !heed || !avoid.contains(&self.ids[*i]);
        match gang.within {
            Within::AvailabilityZone => self.fill((0..self.len()).filter(allowed), gang),
            Within::Rack => self.racks.iter().find_map(|rack| self.fill(rack.iter().copied().filter(allowed), gang)),
            Within::Worker => (0..self.len()).filter(allowed).find_map(|i| self.fill(std::iter::once(i), gang)),
        }
    }

    /// Checks that a gang would fit if everything were free and open.
    pub fn check_ever_fits(&self, gang: &Gang) -> Result<(), NeverFits> {
        let most = self.most(gang, |_| true);
        if most >= gang.tasks {
            return Ok(());
        }
        Err(NeverFits { gang: *gang, within: gang.within, most })
    }

    /// The most tasks of a gang's kind that its extent holds when everything that is allowed is free.
    fn most(&self, gang: &Gang, allowed: impl Fn(usize) -> bool) -> u32 {
        let count = |i: usize| if allowed(i) { self.capacity[i].count_of(&gang.per_task) } else { 0 };
        let add = |places: &[usize]| places.iter().fold(0u32, |sum, i| sum.saturating_add(count(*i)));
        match gang.within {
            Within::Worker => (0..self.len()).map(count).max().unwrap_or(0),
            Within::Rack => self.racks.iter().map(|rack| add(rack)).max().unwrap_or(0),
            Within::AvailabilityZone => (0..self.len()).fold(0u32, |sum, i| sum.saturating_add(count(i))),
        }
    }
}
