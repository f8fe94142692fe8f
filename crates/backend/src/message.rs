//! The messages between boxes and backend servers.

use derive_more::Display;
use model::{
    AvailabilityZoneId, BackendServerId, BoxId, ClassId, CustomerId, Digest, Duration, Incarnation, JobId, JobSpec,
    LeaseToken, Member, RequestId, Resources, Revision,
};
use serde::{Deserialize, Serialize};

/// The process that holds an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[display("{box_id}.{:x}", incarnation.0)]
pub struct Holder {
    /// Its box.
    pub box_id: BoxId,
    /// That box's life.
    pub incarnation: Incarnation,
}

/// What one backend server needs to know to run its part of a gang.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// The whole request.
    pub spec: JobSpec,
    /// Every member of the gang; the first one gives the answer.
    pub members: Vec<Member>,
    /// Which of the members this is, from 0.
    pub index: usize,
    /// Whether to go on from the checkpoint of an earlier attempt.
    pub resume: bool,
    /// How long the job had waited since its acceptance when this attempt began.
    pub waited: Duration,
}

impl TaskSpec {
    /// What this member takes on its backend server.
    pub fn resources(&self) -> Resources {
        self.spec.gang.per_task.times(self.members[self.index].tasks)
    }
}

/// One lease to be renewed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The job.
    pub job: JobId,
    /// Attempt and epoch.
    pub token: LeaseToken,
    /// Whether every member is armed, so that this one may run.
    pub go: bool,
}

/// A request to a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum BackendRequest {
    /// Sets resources aside for `ttl`.
    Reserve {
        /// The job.
        job: JobId,
        /// Attempt and epoch.
        token: LeaseToken,
        /// Who asks.
        holder: Holder,
        /// What is to run.
        task: TaskSpec,
        /// When the reservation lapses unless the start comes.
        ttl: Duration,
        /// How long ago the ticket was minted. A table younger than that may have forgotten that the
        /// ticket was fenced, and refuses it for a request that may run only once.
        ticket_age: Duration,
    },
    /// Readies a reserved task; it runs only once a renewal says `go`. Sent only when every member holds.
    Start {
        /// The job.
        job: JobId,
        /// Attempt and epoch.
        token: LeaseToken,
        /// When the lease lapses unless it is renewed.
        ttl: Duration,
    },
    /// Renews every lease of one holder on this backend server in one call.
    Renew {
        /// The leases.
        leases: Vec<Renewal>,
        /// When they lapse unless renewed again.
        ttl: Duration,
    },
    /// Has a running task write a checkpoint and end; it is stopped after `stop_after` in any case.
    Checkpoint {
        /// The job.
        job: JobId,
        /// Attempt and epoch, as read from the lease table.
        token: LeaseToken,
        /// Longest time until the stop.
        stop_after: Duration,
    },
    /// Lets a task use only part of its processor time.
    Throttle {
        /// The job.
        job: JobId,
        /// Attempt and epoch.
        token: LeaseToken,
        /// 1 to 100 per cent.
        percent: u8,
    },
    /// Ends the attempt and refuses it and all older ones from now on, also where none was seen.
    Stop {
        /// The job.
        job: JobId,
        /// Attempt and epoch.
        token: LeaseToken,
    },
    /// Makes another box the holder of a lease.
    Adopt {
        /// The job.
        job: JobId,
        /// The attempt, with an epoch above the table's.
        token: LeaseToken,
        /// The new holder.
        holder: Holder,
        /// When the lease lapses unless it is renewed.
        ttl: Duration,
    },
    /// Gives the request that a lease was made for.
    Describe {
        /// The job.
        job: JobId,
    },
    /// Gives the kept answer.
    Fetch {
        /// The job.
        job: JobId,
    },
    /// The caller has the answer: it need not be kept.
    Acknowledge {
        /// The job.
        job: JobId,
    },
    /// Waits up to `wait` for the table to differ from version `since` of its life `table`.
    Watch {
        /// The table's life, 0 if none is known.
        table: u64,
        /// The version known, 0 if none.
        since: u64,
        /// How long the call may wait.
        wait: Duration,
    },
    /// Tells the configuration to match; an older revision is refused.
    Configure {
        /// Its revision.
        revision: Revision,
        /// The whole document, kept for boxes that start while the platform cannot be reached.
        document: String,
    },
}

/// Where a lease stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum TaskState {
    /// Resources are set aside.
    #[display("reserved")]
    Reserved,
    /// Ready to run, waiting for `go`.
    #[display("armed")]
    Armed,
    /// It runs.
    #[display("running")]
    Running,
    /// It ended well; the first member keeps the answer.
    #[display("finished")]
    Finished {
        /// The answer's length in bytes.
        len: u64,
        /// The answer's digest.
        digest: Digest,
    },
    /// It ended badly.
    #[display("failed: {why}")]
    Failed {
        /// What it reported.
        why: String,
    },
    /// It was stopped.
    #[display("stopped")]
    Stopped {
        /// Whether it had run.
        ran: bool,
        /// Whether a checkpoint was written.
        checkpointed: bool,
    },
    /// Its lease ran out.
    #[display("lapsed")]
    Lapsed {
        /// Whether it had run.
        ran: bool,
    },
}

impl TaskState {
    /// Whether the lease holds resources.
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

/// One line of a lease table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The job.
    pub job: JobId,
    /// Attempt and epoch.
    pub token: LeaseToken,
    /// Who holds it.
    pub holder: Holder,
    /// On whose behalf.
    pub customer: CustomerId,
    /// The caller's name for the job.
    pub request: RequestId,
    /// The job's class.
    pub class: ClassId,
    /// What it takes here.
    pub resources: Resources,
    /// The whole gang.
    pub members: Vec<Member>,
    /// Where it stands.
    pub state: TaskState,
    /// The declared run time.
    pub declared: Duration,
    /// How long it has run here.
    pub ran_for: Duration,
    /// How long the job had waited since its acceptance when the attempt began.
    pub waited: Duration,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether it can go on from a checkpoint.
    pub checkpointable: bool,
    /// Whether a checkpoint with a stop has been asked for.
    pub stopping: bool,
    /// Whether the answer has been acknowledged.
    pub acknowledged: bool,
}

/// What a backend server says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerInfo {
    /// Its id.
    pub id: BackendServerId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZoneId,
    /// What its worker has.
    pub resources: Resources,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
    /// The configuration it matches.
    pub revision: Revision,
}

/// The part of a lease table that changed, or all of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableUpdate {
    /// The table's life: a restarted backend server has another.
    pub table: u64,
    /// The version that this update leads to.
    pub version: u64,
    /// Whether `leases` is the whole table rather than what changed.
    pub full: bool,
    /// Changed or all leases.
    pub leases: Vec<Lease>,
    /// Jobs whose lines are gone.
    pub removed: Vec<JobId>,
    /// The backend server itself.
    pub info: ServerInfo,
}

/// A kept answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The job that it answers.
    pub job: JobId,
    /// The attempt that made it.
    pub token: LeaseToken,
    /// The answer.
    pub text: String,
    /// Its length in bytes.
    pub len: u64,
    /// Its digest.
    pub digest: Digest,
}

impl Answer {
    /// Whether the text is whole, by its length and digest.
    pub fn is_whole(&self) -> bool {
        self.text.len() as u64 == self.len && Digest::of(self.text.as_bytes()) == self.digest
    }
}

/// Why a backend server did not obey; nothing was changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(tag = "refused", rename_all = "snake_case")]
pub enum Refusal {
    /// The token is older than what the table has seen.
    #[display("stale: {seen} has been seen")]
    Stale {
        /// The newest token seen.
        seen: LeaseToken,
        /// Its holder, if a lease stands.
        holder: Option<Holder>,
    },
    /// The worker has too little left.
    #[display("{free} are free")]
    NoCapacity {
        /// What is left.
        free: Resources,
    },
    /// The table is younger than the ticket, and the request may run only once.
    #[display("the lease table remembers only {remembers}")]
    TooYoung {
        /// How far back the table remembers.
        remembers: Duration,
    },
    /// It is leaving.
    #[display("the backend server is leaving")]
    Leaving,
    /// No such lease stands.
    #[display("no such lease")]
    UnknownLease,
    /// The lease stands elsewhere than the request expects.
    #[display("the lease is {state}")]
    WrongState {
        /// Where it stands.
        state: TaskState,
    },
    /// The request names an older configuration.
    #[display("revision {revision} is in force")]
    OlderRevision {
        /// The revision in force.
        revision: Revision,
    },
}

/// A backend server's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum BackendReply {
    /// To `Reserve`, `Start`, `Checkpoint`, `Throttle`, `Adopt` and `Acknowledge`: done; the lease now stands so.
    Ok {
        /// Where the lease stands.
        state: TaskState,
    },
    /// To `Renew`: for each lease in turn, its state or why it was refused.
    Renewed {
        /// One per lease.
        results: Vec<Result<TaskState, Refusal>>,
    },
    /// To `Stop`: the attempt is over and cannot come back.
    Stopped {
        /// Whether any of it had run here, as far as the table remembers.
        ran: bool,
        /// How far back the table remembers: it cannot speak for what was before.
        remembers: Duration,
    },
    /// To `Describe`.
    Described {
        /// What is to run.
        task: Box<TaskSpec>,
        /// Attempt and epoch.
        token: LeaseToken,
    },
    /// To `Fetch`.
    Answer(Answer),
    /// To `Watch`.
    Table(TableUpdate),
    /// To `Configure`.
    Configured {
        /// The revision now in force.
        revision: Revision,
    },
    /// Nothing was changed.
    Refused(Refusal),
}
