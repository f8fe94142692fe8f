//! Requests of callers: a gang of equal tasks, and whether it may be repeated or interrupted.

use derive_more::{Add, AddAssign, Display, Sum};
use serde::{Deserialize, Serialize};

use crate::{BackendServerId, CheckError, ClassId, CustomerId, Duration, JsonPath, RequestId, quantity::QuantityError};

/// Most tasks in a gang, as the platform's requirements state.
const MAX_GANG_TASKS: u32 = 64;
/// Longest run time that a caller may declare.
const MAX_DECLARED: Duration = Duration::from_secs(30 * 24 * 3600);
/// Longest payload, in bytes. A job's record must fit into one value of the platform's store, with some reserve.
const MAX_PAYLOAD_BYTES: usize = 256 * 1024;

/// Amounts of accelerators, processor cores and memory: those that a task takes, or those of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize, Add, AddAssign, Sum, Display)]
#[display("{accelerators} accelerators, {cores} cores, {memory_gb} GB")]
pub struct Resources {
    /// Number of whole accelerators.
    pub accelerators: u32,
    /// Number of whole processor cores.
    pub cores: u32,
    /// Memory, in gigabytes.
    pub memory_gb: u32,
}

impl Resources {
    /// Creates the three amounts.
    pub const fn new(accelerators: u32, cores: u32, memory_gb: u32) -> Resources {
        Resources { accelerators, cores, memory_gb }
    }

    /// Returns whether every amount is at least that of `other`.
    pub fn contains(&self, other: &Resources) -> bool {
        self.accelerators >= other.accelerators && self.cores >= other.cores && self.memory_gb >= other.memory_gb
    }

    /// Returns the amounts left after subtracting `other`; each stops at zero.
    pub fn saturating_sub(&self, other: &Resources) -> Resources {
        Resources {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            cores: self.cores.saturating_sub(other.cores),
            memory_gb: self.memory_gb.saturating_sub(other.memory_gb),
        }
    }

    /// Returns the amounts multiplied by `n`; each stops at `u32::MAX`.
    pub fn times(&self, n: u32) -> Resources {
        Resources {
            accelerators: self.accelerators.saturating_mul(n),
            cores: self.cores.saturating_mul(n),
            memory_gb: self.memory_gb.saturating_mul(n),
        }
    }

    /// Returns how many tasks that take `per_task` fit; `u32::MAX` if `per_task` is zero.
    pub fn count_of(&self, per_task: &Resources) -> u32 {
        let count = |have: u32, need: u32| have.checked_div(need).unwrap_or(u32::MAX);
        count(self.accelerators, per_task.accelerators)
            .min(count(self.cores, per_task.cores))
            .min(count(self.memory_gb, per_task.memory_gb))
    }
}

/// Extent of a gang: how close together its tasks must run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Default, Display)]
#[serde(rename_all = "snake_case")]
pub enum Within {
    /// All tasks run on one worker.
    #[display("worker")]
    Worker,
    /// All tasks run in one rack.
    #[display("rack")]
    Rack,
    /// The tasks run anywhere in one availability zone.
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

/// Gang: equal tasks that run together or not at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(try_from = "RawGang", into = "RawGang")]
#[display("{tasks} x ({per_task}) within one {within}")]
pub struct Gang {
    /// Number of tasks, 1 to `MAX_GANG_TASKS`.
    pub tasks: u32,
    /// Resources that each task takes, not all zero.
    pub per_task: Resources,
    /// Extent within which all tasks must run.
    pub within: Within,
}

impl Gang {
    /// Returns the resources that all tasks take together.
    pub fn total(&self) -> Resources {
        self.per_task.times(self.tasks)
    }
}

/// Member of a gang: those of its tasks that run on one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Backend server that runs the tasks.
    pub server: BackendServerId,
    /// Number of the gang's tasks, at least 1.
    pub tasks: u32,
}

/// JSON form of [`Resources`]; a missing field is 0.
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

/// JSON form of a gang, not yet checked.
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
        if raw.tasks == 0 || raw.tasks > MAX_GANG_TASKS {
            return Err(CheckError::new(&path.field("tasks"), raw.tasks, format!("allowed is 1 to {MAX_GANG_TASKS}")));
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

/// Number of an attempt to run a whole gang. It rises by one with each attempt of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize, Display)]
#[serde(transparent)]
pub struct Attempt(pub u32);

impl Attempt {
    /// Number above every real attempt, used in the token that fences a ticket.
    pub const MAX: Attempt = Attempt(u32::MAX);

    /// Returns the number of the following attempt.
    pub fn next(self) -> Attempt {
        Attempt(self.0.saturating_add(1))
    }
}

/// Number of a holder of an attempt. It rises by one each time another box adopts the attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize, Display)]
#[serde(transparent)]
pub struct Epoch(pub u32);

impl Epoch {
    /// Number above every real epoch, used in the token that fences a ticket, so that no later holder supersedes it.
    pub const MAX: Epoch = Epoch(u32::MAX);

    /// Returns the number of the following epoch.
    pub fn next(self) -> Epoch {
        Epoch(self.0.saturating_add(1))
    }
}

/// Fencing token of a lease. A backend server rejects a request whose token is older than the newest it has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize, Display)]
#[display("attempt {attempt} epoch {epoch}")]
pub struct LeaseToken {
    /// Attempt that the request belongs to.
    pub attempt: Attempt,
    /// Holder of the attempt that sent the request.
    pub epoch: Epoch,
}

impl LeaseToken {
    /// Token newer than every real token of a job: a stop that carries it ends the ticket permanently.
    pub const FENCE: LeaseToken = LeaseToken { attempt: Attempt::MAX, epoch: Epoch::MAX };
}

/// Checked request of a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawJobSpec", into = "RawJobSpec")]
pub struct JobSpec {
    /// Customer that the request is made for.
    pub customer: CustomerId,
    /// Identifier of the request, chosen by the caller.
    pub request: RequestId,
    /// Class of the job, which must be in the operators' file.
    pub class: ClassId,
    /// Gang to run.
    pub gang: Gang,
    /// Run time that the caller expects, which is often far off: 1 ms to `MAX_DECLARED`.
    pub declared: Duration,
    /// Time after which the caller no longer needs the answer, at least 1 ms; `None` for no deadline.
    pub deadline: Option<Duration>,
    /// Whether the job may run more than once.
    pub repeatable: bool,
    /// Whether a stopped attempt can resume from a checkpoint.
    pub checkpointable: bool,
    /// Opaque text for the tasks, at most `MAX_PAYLOAD_BYTES`.
    pub payload: String,
}

impl JobSpec {
    /// Returns whether the job may be stopped in favour of another one, that is whether it can resume or run again.
    pub fn preemptible(&self) -> bool {
        self.repeatable || self.checkpointable
    }
}

/// JSON form of a request, not yet checked.
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
        if raw.payload.len() > MAX_PAYLOAD_BYTES {
            let allowed = format!("allowed are {MAX_PAYLOAD_BYTES} bytes");
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
