//! What a caller asks for: a gang of equal tasks, and what may be done with it.

use derive_more::{Add, AddAssign, Display, Sum};
use serde::{Deserialize, Serialize};

use crate::{BackendServerId, CheckError, ClassId, CustomerId, Duration, JsonPath, RequestId, quantity::QuantityError};

/// Most tasks in a gang (letter 1: gangs to 64).
const MAX_GANG: u32 = 64;
/// Longest declared run time.
const MAX_DECLARED: Duration = Duration::from_secs(30 * 24 * 3600);
/// Longest payload, in bytes: a job's record must fit a value of the platform's store with room to spare.
const MAX_PAYLOAD: usize = 256 * 1024;

/// What a task needs, or what a backend server has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize, Add, AddAssign, Sum, Display)]
#[display("{accelerators} accelerators, {cores} cores, {memory_gb} GB")]
pub struct Resources {
    /// Whole accelerators.
    pub accelerators: u32,
    /// Processor cores.
    pub cores: u32,
    /// Memory in gigabytes.
    pub memory_gb: u32,
}

impl Resources {
    /// The three sizes at once.
    pub const fn new(accelerators: u32, cores: u32, memory_gb: u32) -> Resources {
        Resources { accelerators, cores, memory_gb }
    }

    /// Whether `other` fits into this.
    pub fn contains(&self, other: &Resources) -> bool {
        self.accelerators >= other.accelerators && self.cores >= other.cores && self.memory_gb >= other.memory_gb
    }

    /// What is left after `other` is taken; each size stops at zero.
    pub fn less(&self, other: &Resources) -> Resources {
        Resources {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            cores: self.cores.saturating_sub(other.cores),
            memory_gb: self.memory_gb.saturating_sub(other.memory_gb),
        }
    }

    /// The sizes times `n`.
    pub fn times(&self, n: u32) -> Resources {
        Resources {
            accelerators: self.accelerators.saturating_mul(n),
            cores: self.cores.saturating_mul(n),
            memory_gb: self.memory_gb.saturating_mul(n),
        }
    }

    /// How many times `per_task` fits into this.
    pub fn count_of(&self, per_task: &Resources) -> u32 {
        let of = |have: u32, need: u32| have.checked_div(need).unwrap_or(u32::MAX);
        of(self.accelerators, per_task.accelerators)
            .min(of(self.cores, per_task.cores))
            .min(of(self.memory_gb, per_task.memory_gb))
    }
}

/// How close together a gang's tasks must run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Default, Display)]
#[serde(rename_all = "snake_case")]
pub enum Within {
    /// All tasks on one worker.
    #[display("worker")]
    Worker,
    /// All tasks in one rack.
    #[display("rack")]
    Rack,
    /// Anywhere in one availability zone.
    #[default]
    #[display("availability_zone")]
    AvailabilityZone,
}

impl std::str::FromStr for Within {
    type Err = QuantityError;
    fn from_str(text: &str) -> Result<Self, QuantityError> {
        match text {
            "worker" => Ok(Within::Worker),
            "rack" => Ok(Within::Rack),
            "availability_zone" => Ok(Within::AvailabilityZone),
            _ => Err(QuantityError {
                kind: "extent of a gang",
                text: text.to_owned(),
                allowed: "worker, rack or availability_zone",
            }),
        }
    }
}

/// Equal tasks that run together or not at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(try_from = "RawGang", into = "RawGang")]
#[display("{tasks} x ({per_task}) within one {within}")]
pub struct Gang {
    /// How many tasks, 1 to `MAX_GANG`.
    pub tasks: u32,
    /// What each task needs; at least one size is not zero.
    pub per_task: Resources,
    /// How close together.
    pub within: Within,
}

impl Gang {
    /// What the whole gang needs.
    pub fn total(&self) -> Resources {
        self.per_task.times(self.tasks)
    }
}

/// The part of a gang that runs on one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Where.
    pub server: BackendServerId,
    /// How many of the gang's tasks, at least 1.
    pub tasks: u32,
}

/// Resources as they stand in JSON.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(missing_docs, reason = "the fields are those of `Resources`")]
pub struct RawResources {
    #[serde(default)]
    pub accelerators: u32,
    #[serde(default)]
    pub cores: u32,
    #[serde(default)]
    pub memory_gb: u32,
}

impl From<RawResources> for Resources {
    fn from(raw: RawResources) -> Resources {
        Resources::new(raw.accelerators, raw.cores, raw.memory_gb)
    }
}

impl From<Resources> for RawResources {
    fn from(it: Resources) -> RawResources {
        RawResources { accelerators: it.accelerators, cores: it.cores, memory_gb: it.memory_gb }
    }
}

/// A gang as it stands in JSON.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(missing_docs, reason = "the fields are those of `Gang`")]
pub struct RawGang {
    pub tasks: u32,
    pub per_task: RawResources,
    #[serde(default)]
    pub within: Within,
}

impl TryFrom<RawGang> for Gang {
    type Error = CheckError;
    fn try_from(raw: RawGang) -> Result<Gang, CheckError> {
        let path = JsonPath::root();
        if raw.tasks == 0 || raw.tasks > MAX_GANG {
            return Err(CheckError::new(&path.field("tasks"), raw.tasks, format!("allowed is 1 to {MAX_GANG}")));
        }
        let per_task = Resources::from(raw.per_task);
        if per_task == Resources::default() {
            let allowed = "at least one of accelerators, cores, memory_gb above 0";
            return Err(CheckError::new(&path.field("per_task"), per_task, allowed));
        }
        Ok(Gang { tasks: raw.tasks, per_task, within: raw.within })
    }
}

impl From<Gang> for RawGang {
    fn from(it: Gang) -> RawGang {
        RawGang { tasks: it.tasks, per_task: it.per_task.into(), within: it.within }
    }
}

/// One try at running a whole gang: rises by one with each try of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize, Display)]
#[serde(transparent)]
pub struct Attempt(pub u32);

impl Attempt {
    /// Above every attempt a job can make: a fence that ends the ticket.
    pub const MAX: Attempt = Attempt(u32::MAX);

    /// The attempt that follows.
    pub fn next(self) -> Attempt {
        Attempt(self.0.saturating_add(1))
    }
}

/// Counts the boxes that have held an attempt in turn: rises by one with each adoption.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize, Display)]
#[serde(transparent)]
pub struct Epoch(pub u32);

impl Epoch {
    /// Above every epoch: used by a fence, which yields to no holder.
    pub const MAX: Epoch = Epoch(u32::MAX);

    /// The epoch that follows.
    pub fn next(self) -> Epoch {
        Epoch(self.0.saturating_add(1))
    }
}

/// What a backend server compares before it obeys; older tokens are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize, Display)]
#[display("attempt {attempt} epoch {epoch}")]
pub struct LeaseToken {
    /// The try that this is about.
    pub attempt: Attempt,
    /// The holder within that try.
    pub epoch: Epoch,
}

impl LeaseToken {
    /// Newer than every token a job can have: a stop with it ends the ticket for good.
    pub const FENCE: LeaseToken = LeaseToken { attempt: Attempt::MAX, epoch: Epoch::MAX };
}

/// A caller's request, checked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawJobSpec", into = "RawJobSpec")]
pub struct JobSpec {
    /// On whose behalf.
    pub customer: CustomerId,
    /// The caller's name for it.
    pub request: RequestId,
    /// Its class, which the operators' file must know.
    pub class: ClassId,
    /// The gang to run.
    pub gang: Gang,
    /// The run time that the caller expects; often far off (brief).
    pub declared: Duration,
    /// After this long the caller no longer wants the answer.
    pub deadline: Option<Duration>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether a stopped attempt can go on from a checkpoint.
    pub checkpointable: bool,
    /// For the tasks; martenscale does not read it.
    pub payload: String,
}

impl JobSpec {
    /// Whether it may be stopped for another job: work that could neither go on nor start again may not.
    pub fn preemptible(&self) -> bool {
        self.repeatable || self.checkpointable
    }
}

/// A request as it stands in JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(missing_docs, reason = "the fields are those of `JobSpec`, times in milliseconds")]
pub struct RawJobSpec {
    pub customer: CustomerId,
    pub request: RequestId,
    pub class: ClassId,
    pub gang: Gang,
    pub declared_ms: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    pub repeatable: bool,
    pub checkpointable: bool,
    #[serde(default)]
    pub payload: String,
}

impl TryFrom<RawJobSpec> for JobSpec {
    type Error = CheckError;
    fn try_from(raw: RawJobSpec) -> Result<JobSpec, CheckError> {
        let path = JsonPath::root();
        let declared = Duration::from_millis(raw.declared_ms);
        if declared == Duration::ZERO || declared > MAX_DECLARED {
            let allowed = format!("allowed is 1 to {} (30 days)", MAX_DECLARED.millis());
            return Err(CheckError::new(&path.field("declared_ms"), raw.declared_ms, allowed));
        }
        if raw.deadline_ms == Some(0) {
            return Err(CheckError::new(&path.field("deadline_ms"), 0, "allowed is 1 or more, or no such field"));
        }
        if raw.payload.len() > MAX_PAYLOAD {
            let allowed = format!("allowed are {MAX_PAYLOAD} bytes");
            return Err(CheckError::new(&path.field("payload"), format!("{} bytes", raw.payload.len()), allowed));
        }
        Ok(JobSpec {
            customer: raw.customer,
            request: raw.request,
            class: raw.class,
            gang: raw.gang,
            declared,
            deadline: raw.deadline_ms.map(Duration::from_millis),
            repeatable: raw.repeatable,
            checkpointable: raw.checkpointable,
            payload: raw.payload,
        })
    }
}

impl From<JobSpec> for RawJobSpec {
    fn from(it: JobSpec) -> RawJobSpec {
        RawJobSpec {
            customer: it.customer,
            request: it.request,
            class: it.class,
            gang: it.gang,
            declared_ms: it.declared.millis(),
            deadline_ms: it.deadline.map(Duration::millis),
            repeatable: it.repeatable,
            checkpointable: it.checkpointable,
            payload: it.payload,
        }
    }
}
