//! What a planner sees, and what it decides.

use std::{collections::BTreeSet, sync::Arc};

use crate::Finished;
use model::{BackendServerId, ClassId, CustomerId, Duration, Gang, JobId, Member, OperatorFile, RackId, Resources};

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Its id.
    pub id: BackendServerId,
    /// Its rack.
    pub rack: RackId,
    /// What its worker has.
    pub resources: Resources,
    /// Whether it may be given new work: not leaving, not draining, not quarantined, and answering.
    pub open: bool,
}

/// A gang that holds resources, from its first reservation on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Running {
    /// The job.
    pub job: JobId,
    /// On whose behalf.
    pub customer: CustomerId,
    /// Its class.
    pub class: ClassId,
    /// What each of its tasks takes.
    pub per_task: Resources,
    /// Where it runs.
    pub members: Vec<Member>,
    /// Since its start.
    pub ran_for: Duration,
    /// Since its acceptance.
    pub age: Duration,
    /// As declared by the caller.
    pub declared: Duration,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether it can go on from a checkpoint.
    pub checkpointable: bool,
    /// Whether it has been told to stop.
    pub stopping: bool,
}

impl Running {
    /// Whether it may be stopped for another job.
    pub fn preemptible(&self) -> bool {
        self.repeatable || self.checkpointable
    }
}

/// A waiting job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queued {
    /// The job.
    pub job: JobId,
    /// On whose behalf.
    pub customer: CustomerId,
    /// Its class.
    pub class: ClassId,
    /// What it needs.
    pub gang: Gang,
    /// As declared by the caller.
    pub declared: Duration,
    /// Since its acceptance.
    pub waited: Duration,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether it can go on from a checkpoint.
    pub checkpointable: bool,
    /// Backend servers on which it has failed.
    pub avoid: BTreeSet<BackendServerId>,
}

impl Queued {
    /// Whether it may be stopped for another job once it runs.
    pub fn preemptible(&self) -> bool {
        self.repeatable || self.checkpointable
    }
}

/// One availability zone at one moment.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// The configuration in force.
    pub file: Arc<OperatorFile>,
    /// Backend servers, in the order of their ids.
    pub servers: Vec<Server>,
    /// Gangs that hold resources.
    pub running: Vec<Running>,
    /// Waiting jobs, in any order.
    pub queue: Vec<Queued>,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Begin an attempt of a waiting job.
    Start {
        /// The job.
        job: JobId,
        /// Where, in the order of the backend servers' ids.
        members: Vec<Member>,
    },
    /// Checkpoint and stop a running gang.
    Preempt {
        /// The gang to stop.
        job: JobId,
        /// The job that needs its place.
        for_job: JobId,
    },
    /// End a waiting job: it can never run.
    Refuse {
        /// The job.
        job: JobId,
        /// The arithmetic.
        why: String,
    },
}

/// Decides; what it learns on the way is soft and may be lost with the box.
pub trait Planner: Send {
    /// Decides on one snapshot.
    fn plan(&mut self, snapshot: &Snapshot) -> Vec<Decision>;

    /// Learns from a gang that ended well.
    fn learn(&mut self, _: &Finished) {}
}
