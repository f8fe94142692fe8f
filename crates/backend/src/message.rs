//! Messages between boxes and backend servers, in the JSON form in which they are sent.

use derive_more::Display;
use model::{
    AvailabilityZoneId, BackendServerId, BoxId, ClassId, CustomerId, Digest, Duration, Incarnation, JobId, JobSpec,
    LeaseToken, Member, RequestId, Resources, Revision,
};
use serde::{Deserialize, Serialize};

/// The process that holds the leases of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[display("{box_id}.{:x}", incarnation.0)]
pub struct Holder {
    /// Box that the process belongs to.
    pub box_id: BoxId,
    /// Incarnation of the box.
    pub incarnation: Incarnation,
}

/// Specification of one member's tasks, from which a backend server runs its part of a gang.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// The whole request.
    pub spec: JobSpec,
    /// All members of the gang; the first one keeps the answer.
    pub members: Vec<Member>,
    /// Index of this member in `members`, from 0.
    pub index: usize,
    /// Whether to resume from the checkpoint of an earlier attempt.
    pub resume: bool,
    /// Time from the acceptance of the job to the beginning of this attempt.
    pub waited: Duration,
}

impl TaskSpec {
    /// Returns the resources that this member takes on its backend server. Panics if `index` is not below the length of
    /// `members`.
    pub fn resources(&self) -> Resources {
        self.spec.gang.per_task.times(self.members[self.index].tasks)
    }
}

/// The renewal of one lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The job.
    pub job: JobId,
    /// Attempt and epoch.
    pub token: LeaseToken,
    /// Whether every member of the gang is armed, so that this one may run.
    pub go: bool,
}

/// A request to a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum BackendRequest {
    /// Reserves resources for a new attempt. The reply is [`BackendReply::Ok`].
    Reserve {
        /// The job.
        job: JobId,
        /// Attempt and epoch.
        token: LeaseToken,
        /// Process that will hold the lease.
        holder: Holder,
        /// The tasks to run.
        task: TaskSpec,
        /// Time after which the reservation expires without a `Start`.
        ttl: Duration,
        /// Upper bound of the time since the ticket (the job id, under which only its minter may make the first start)
        /// was minted. A table that is younger may have lost the record that the ticket was fenced, so it refuses the
        /// ticket for a request that may run only once.
        ticket_age: Duration,
    },
    /// Arms a reserved task; it runs only after a renewal with `go`. Sent once every member has confirmed its
    /// reservation.
    Start {
        /// The job.
        job: JobId,
        /// Attempt and epoch.
        token: LeaseToken,
        /// Time after which the lease expires without a renewal.
        ttl: Duration,
    },
    /// Renews leases of one holder on this backend server in one call. The reply is [`BackendReply::Renewed`].
    Renew {
        /// The leases to renew.
        leases: Vec<Renewal>,
        /// Time after which they expire without another renewal.
        ttl: Duration,
    },
    /// Asks a running task to write a checkpoint and end. It is stopped after `stop_after` in any case.
    Checkpoint {
        /// The job.
        job: JobId,
        /// Attempt and epoch, as read from the lease table.
        token: LeaseToken,
        /// Time after which the task is stopped even without a checkpoint.
        stop_after: Duration,
    },
    /// Limits a task to a part of its processor time.
    Throttle {
        /// The job.
        job: JobId,
        /// Attempt and epoch.
        token: LeaseToken,
        /// Part of the processor time in per cent, 1 to 100.
        percent: u8,
    },
    /// Ends the attempt, and has it and all older ones refused from now on, even if the backend server has not seen it.
    Stop {
        /// The job.
        job: JobId,
        /// Attempt and epoch.
        token: LeaseToken,
    },
    /// Makes another process the holder of a lease, for the adoption of a running gang.
    Adopt {
        /// The job.
        job: JobId,
        /// Attempt of the lease, and an epoch above the one in the table.
        token: LeaseToken,
        /// Process that becomes the holder.
        holder: Holder,
        /// Time after which the lease expires without a renewal.
        ttl: Duration,
    },
    /// Requests the specification that a lease was made for. The reply is [`BackendReply::Described`].
    Describe {
        /// The job.
        job: JobId,
    },
    /// Requests the kept answer. The reply is [`BackendReply::Answer`].
    Fetch {
        /// The job.
        job: JobId,
    },
    /// Reports that the caller has the answer, so that it need not be kept.
    Acknowledge {
        /// The job.
        job: JobId,
    },
    /// Waits for up to `wait` until the table differs from version `since` of its incarnation `table`. The reply is
    /// [`BackendReply::Table`].
    Watch {
        /// Incarnation of the table that the caller knows, 0 if none.
        table: u64,
        /// Version that the caller knows, 0 if none.
        since: u64,
        /// Longest time that the call may wait.
        wait: Duration,
    },
    /// Distributes the configuration. A revision older than the one in force is refused.
    Configure {
        /// Revision of the configuration.
        revision: Revision,
        /// The whole document. Backend servers keep it for boxes that start while the platform is unreachable.
        document: String,
    },
}

/// State of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum TaskState {
    /// Resources are reserved.
    #[display("reserved")]
    Reserved,
    /// The task is ready to run and waits for `go`.
    #[display("armed")]
    Armed,
    /// The task runs.
    #[display("running")]
    Running,
    /// The task succeeded; the first member of the gang keeps the answer.
    #[display("finished")]
    Finished {
        /// Length of the answer in bytes.
        len: u64,
        /// Digest of the answer.
        digest: Digest,
    },
    /// The task failed.
    #[display("failed: {why}")]
    Failed {
        /// Error that the task reported.
        why: String,
    },
    /// The task was stopped.
    #[display("stopped")]
    Stopped {
        /// Whether it had run.
        ran: bool,
        /// Whether a checkpoint was written.
        checkpointed: bool,
    },
    /// The lease expired without a renewal.
    #[display("lapsed")]
    Lapsed {
        /// Whether it had run.
        ran: bool,
    },
}

impl TaskState {
    /// Whether a lease in this state holds resources.
    pub fn holds(&self) -> bool {
        matches!(self, TaskState::Reserved | TaskState::Armed | TaskState::Running)
    }

    /// Whether the task has run, wholly or in part.
    pub fn ran(&self) -> bool {
        match self {
            TaskState::Reserved | TaskState::Armed => false,
            TaskState::Running | TaskState::Finished { .. } | TaskState::Failed { .. } => true,
            TaskState::Stopped { ran, .. } | TaskState::Lapsed { ran } => *ran,
        }
    }
}

/// One line of a lease table: a member of a gang on the backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The job.
    pub job: JobId,
    /// Attempt and epoch.
    pub token: LeaseToken,
    /// Process that holds the lease.
    pub holder: Holder,
    /// Customer that submitted the job.
    pub customer: CustomerId,
    /// The caller's name for the job.
    pub request: RequestId,
    /// The job's class.
    pub class: ClassId,
    /// Resources that the member takes on this backend server.
    pub resources: Resources,
    /// All members of the gang.
    pub members: Vec<Member>,
    /// State of the lease.
    pub state: TaskState,
    /// Run time declared by the caller.
    pub declared: Duration,
    /// Time for which it has run on this backend server.
    pub ran_for: Duration,
    /// Time from the acceptance of the job to the beginning of the attempt.
    pub waited: Duration,
    /// Whether the job may run more than once.
    pub repeatable: bool,
    /// Whether the job can resume from a checkpoint.
    pub checkpointable: bool,
    /// Whether a checkpoint followed by a stop has been requested.
    pub stopping: bool,
    /// Whether the caller's receipt of the answer has been reported.
    pub acknowledged: bool,
}

/// A backend server's description of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerInfo {
    /// Id of the backend server.
    pub id: BackendServerId,
    /// Availability zone that it is in.
    pub availability_zone: AvailabilityZoneId,
    /// Total resources of its worker.
    pub resources: Resources,
    /// Whether it is leaving and accepts no new work.
    pub leaving: bool,
    /// Revision of the configuration that it has applied.
    pub revision: Revision,
}

/// The changed lines of a lease table, or all of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableUpdate {
    /// Incarnation of the table, which differs after a restart of the backend server.
    pub table: u64,
    /// Version of the table after this update.
    pub version: u64,
    /// Whether `leases` is the whole table rather than its changed lines.
    pub full: bool,
    /// Changed leases, or all if `full` is set.
    pub leases: Vec<Lease>,
    /// Jobs whose lines were removed.
    pub removed: Vec<JobId>,
    /// Description of the backend server.
    pub info: ServerInfo,
}

/// The answer of a finished job, as kept by a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Job that produced the answer.
    pub job: JobId,
    /// Attempt and epoch that produced it.
    pub token: LeaseToken,
    /// Text of the answer.
    pub text: String,
    /// Length of the text in bytes.
    pub len: u64,
    /// Digest of the text.
    pub digest: Digest,
}

impl Answer {
    /// Whether the text matches its length and digest.
    pub fn is_whole(&self) -> bool {
        self.text.len() as u64 == self.len && Digest::of(self.text.as_bytes()) == self.digest
    }
}

/// Reason for which a backend server refused a request without changing anything.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(tag = "refused", rename_all = "snake_case")]
pub enum Refusal {
    /// The token is older than one that the table has seen for the job.
    #[display("stale: {seen} has been seen")]
    Stale {
        /// Newest token that the table has seen.
        seen: LeaseToken,
        /// Holder of the lease, or `None` if there is no lease.
        holder: Option<Holder>,
    },
    /// The worker has too few free resources.
    #[display("{free} are free")]
    NoCapacity {
        /// Resources that are free.
        free: Resources,
    },
    /// The lease table is younger than the ticket, and the request may run only once.
    #[display("the lease table remembers only {remembers}")]
    TooYoung {
        /// Time that the records of the table go back.
        remembers: Duration,
    },
    /// The backend server is leaving and accepts no new work.
    #[display("the backend server is leaving")]
    Leaving,
    /// The table has no such lease.
    #[display("no such lease")]
    UnknownLease,
    /// The lease is in a state in which the request is not allowed.
    #[display("the lease is {state}")]
    WrongState {
        /// State of the lease.
        state: TaskState,
    },
    /// The request names an older configuration.
    #[display("revision {revision} is in force")]
    OlderRevision {
        /// Revision in force.
        revision: Revision,
    },
}

/// A backend server's reply to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum BackendReply {
    /// Reply to `Reserve`, `Start`, `Checkpoint`, `Throttle`, `Adopt` and `Acknowledge`: the request took effect.
    Ok {
        /// State of the lease afterwards.
        state: TaskState,
    },
    /// Reply to `Renew`.
    Renewed {
        /// For each lease of the request, in its order: the state of the lease, or why the renewal was refused.
        results: Vec<Result<TaskState, Refusal>>,
    },
    /// Reply to `Stop`: the attempt has ended and can't be started again.
    Stopped {
        /// Whether any of it had run on this backend server, as far as the table has records.
        ran: bool,
        /// Time that the records of the table go back; `ran` does not cover anything earlier.
        remembers: Duration,
    },
    /// Reply to `Describe`.
    Described {
        /// The tasks that the lease was made for.
        task: Box<TaskSpec>,
        /// Attempt and epoch.
        token: LeaseToken,
    },
    /// Reply to `Fetch`.
    Answer(Answer),
    /// Reply to `Watch`.
    Table(TableUpdate),
    /// Reply to `Configure`.
    Configured {
        /// Revision in force afterwards.
        revision: Revision,
    },
    /// The request was refused, and nothing was changed.
    Refused(Refusal),
}
