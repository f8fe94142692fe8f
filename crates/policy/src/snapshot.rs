//! Input and output of a planner: a snapshot of one availability zone, and decisions on its jobs.

use std::{collections::BTreeSet, sync::Arc};

use crate::Finished;
use model::{BackendServerId, ClassId, CustomerId, Duration, Gang, JobId, Member, OperatorFile, RackId, Resources};

/// A backend server as a planner sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Id of the backend server.
    pub id: BackendServerId,
    /// Rack that the backend server is in.
    pub rack: RackId,
    /// Total resources of its worker.
    pub resources: Resources,
    /// Whether it may be given new work: it responds and is neither leaving, draining nor quarantined.
    pub open: bool,
}

/// A gang that holds resources, from its first reservation on.
///
/// Durations are measured up to the moment of the snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Running {
    /// The job.
    pub job: JobId,
    /// Customer that submitted the job.
    pub customer: CustomerId,
    /// Class of the job.
    pub class: ClassId,
    /// Resources that each task takes.
    pub per_task: Resources,
    /// Backend servers that hold its tasks, with the number of tasks on each.
    pub members: Vec<Member>,
    /// Time since the gang started.
    pub ran_for: Duration,
    /// Time since the job was accepted.
    pub age: Duration,
    /// Run time declared by the caller.
    pub declared: Duration,
    /// Whether the job may run more than once.
    pub repeatable: bool,
    /// Whether the job can resume from a checkpoint.
    pub checkpointable: bool,
    /// Whether a stop has been requested.
    pub stopping: bool,
}

impl Running {
    /// Whether the gang may be stopped for another job.
    pub fn preemptible(&self) -> bool {
        self.repeatable || self.checkpointable
    }
}

/// A waiting job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queued {
    /// The job.
    pub job: JobId,
    /// Customer that submitted the job.
    pub customer: CustomerId,
    /// Class of the job.
    pub class: ClassId,
    /// Number of tasks, resources per task, and the extent that must hold them all.
    pub gang: Gang,
    /// Run time declared by the caller.
    pub declared: Duration,
    /// Time since the job was accepted.
    pub waited: Duration,
    /// Whether the job may run more than once.
    pub repeatable: bool,
    /// Whether the job can resume from a checkpoint.
    pub checkpointable: bool,
    /// Backend servers on which earlier attempts failed.
    pub avoid: BTreeSet<BackendServerId>,
}

impl Queued {
    /// Whether the job may be stopped for another one once it runs.
    pub fn preemptible(&self) -> bool {
        self.repeatable || self.checkpointable
    }
}

/// The state of one availability zone at one moment.
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

/// A planner's proposal for one job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Starts an attempt of a waiting job.
    Start {
        /// The job.
        job: JobId,
        /// Placement of its tasks, ordered by backend server id.
        members: Vec<Member>,
    },
    /// Checkpoints and stops a running gang.
    Preempt {
        /// The gang to stop.
        job: JobId,
        /// The job that needs its resources.
        for_job: JobId,
    },
    /// Ends a waiting job that can never run.
    Refuse {
        /// The job.
        job: JobId,
        /// Explanation for the caller, with the number of tasks requested and possible.
        why: String,
    },
}

/// Decides where and when jobs run. A planner's learned state is a cache and may be lost with its box.
pub trait Planner: Send {
    /// Decides on one snapshot.
    fn plan(&mut self, snapshot: &Snapshot) -> Vec<Decision>;

    /// Updates the planner's estimates with a run that succeeded. Does nothing by default.
    fn learn(&mut self, _: &Finished) {}
}
