//! Free resources by backend server and rack, and whether gangs fit into them.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::{Display, Error};
use model::{BackendServerId, Gang, Member, RackId, Resources, Within};

use crate::{Running, Server};

/// A gang is larger than its extent anywhere in the availability zone, so that it can never run there.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{gang} is asked for; one {within} here holds at most {most} such tasks")]
pub struct NeverFits {
    /// The requested gang.
    pub gang: Gang,
    /// The extent that has to hold the whole gang.
    pub within: Within,
    /// Number of its tasks that fit into the largest such extent.
    pub most: u32,
}

/// Free resources of one availability zone. Backend servers are identified by their index in the list that it was
/// made from.
///
/// Methods that take an index `i` panic if it is not below [`FreeCapacity::len`].
#[derive(Debug, Clone)]
pub struct FreeCapacity {
    ids: Vec<BackendServerId>,
    racks: Vec<Vec<usize>>,
    rack_of: Vec<usize>,
    capacity: Vec<Resources>,
    open: Vec<bool>,
    free: Vec<Resources>,
    index: BTreeMap<BackendServerId, usize>,
}

impl FreeCapacity {
    /// Returns the resources of backend servers on which nothing runs.
    pub fn empty(servers: &[Server]) -> FreeCapacity {
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
        FreeCapacity {
            ids: servers.iter().map(|s| s.id.clone()).collect(),
            racks,
            rack_of,
            capacity: servers.iter().map(|s| s.resources).collect(),
            open: servers.iter().map(|s| s.open).collect(),
            free: servers.iter().map(|s| s.resources).collect(),
            index: servers.iter().enumerate().map(|(i, s)| (s.id.clone(), i)).collect(),
        }
    }

    /// Returns the resources that running gangs do not use.
    pub fn remaining(servers: &[Server], running: &[Running]) -> FreeCapacity {
        let mut free_capacity = FreeCapacity::empty(servers);
        for gang in running {
            free_capacity.take(&gang.members, &gang.per_task);
        }
        free_capacity
    }

    /// Returns the number of backend servers, open or not.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether there is no backend server.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Returns the index of a backend server, or `None` if it is not in the list.
    pub fn position(&self, server: &BackendServerId) -> Option<usize> {
        self.index.get(server).copied()
    }

    /// Returns the id of the backend server at index `i`.
    pub fn id(&self, i: usize) -> &BackendServerId {
        &self.ids[i]
    }

    /// Returns what is free on a backend server, open or not.
    pub fn free(&self, i: usize) -> Resources {
        self.free[i]
    }

    /// Returns the total resources of a backend server's worker.
    pub fn capacity(&self, i: usize) -> Resources {
        self.capacity[i]
    }

    /// Whether a backend server may be given new work.
    pub fn is_open(&self, i: usize) -> bool {
        self.open[i]
    }

    /// Returns the index of a backend server's rack in [`FreeCapacity::racks`].
    pub fn rack(&self, i: usize) -> usize {
        self.rack_of[i]
    }

    /// Returns the indices of the backend servers of each rack.
    pub fn racks(&self) -> &[Vec<usize>] {
        &self.racks
    }

    /// Subtracts a gang's resources. Members on unknown backend servers are ignored, and nothing falls below zero.
    pub fn take(&mut self, members: &[Member], per_task: &Resources) {
        for member in members {
            if let Some(i) = self.position(&member.server) {
                self.free[i] = self.free[i].saturating_sub(&per_task.times(member.tasks));
            }
        }
    }

    /// Adds a gang's resources back. Members on unknown backend servers are ignored.
    pub fn give(&mut self, members: &[Member], per_task: &Resources) {
        for member in members {
            if let Some(i) = self.position(&member.server) {
                self.free[i] += per_task.times(member.tasks);
            }
        }
    }

    /// Returns how many tasks fit on a backend server now; 0 if it is not open.
    pub fn fits(&self, i: usize, per_task: &Resources) -> u32 {
        if self.open[i] { self.free[i].count_of(per_task) } else { 0 }
    }

    /// Places tasks on backend servers in the given order until the whole gang is placed. Returns the members by id,
    /// or `None` if the gang does not fit.
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

    /// Whether a gang could be placed on an empty availability zone without the backend servers in `avoid`. If it could
    /// not, they are not avoided: a job must not wait for ever because it has failed somewhere.
    pub fn can_avoid(&self, gang: &Gang, avoid: &BTreeSet<BackendServerId>) -> bool {
        avoid.is_empty() || self.most(gang, |i| self.open[i] && !avoid.contains(&self.ids[i])) >= gang.tasks
    }

    /// Returns the first placement in the order of indices, or `None` if the gang does not fit.
    pub fn first_fit(&self, gang: &Gang, avoid: &BTreeSet<BackendServerId>) -> Option<Vec<Member>> {
        let heed = self.can_avoid(gang, avoid);
        let allowed = |i: &usize| !heed || !avoid.contains(&self.ids[*i]);
        match gang.within {
            Within::AvailabilityZone => self.fill((0..self.len()).filter(allowed), gang),
            Within::Rack => self.racks.iter().find_map(|rack| self.fill(rack.iter().copied().filter(allowed), gang)),
            Within::Worker => (0..self.len()).filter(allowed).find_map(|i| self.fill(std::iter::once(i), gang)),
        }
    }

    /// Checks that a gang would fit if all resources were free and all backend servers open.
    pub fn check_ever_fits(&self, gang: &Gang) -> Result<(), NeverFits> {
        let most = self.most(gang, |_| true);
        if most >= gang.tasks {
            return Ok(());
        }
        Err(NeverFits { gang: *gang, within: gang.within, most })
    }

    /// Returns the largest number of the gang's tasks that one extent holds when all allowed backend servers are empty.
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
