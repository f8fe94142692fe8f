//! Inputs and outputs of an entry box, and the messages that they carry.

use std::sync::Arc;

use backend::{BackendReply, BackendRequest};
use derive_more::Display;
use model::{
    ApplyId, BackendServerId, BoxId, ClassId, CustomerId, Duration, Incarnation, JobId, JobSpec, Member, OperatorFile,
    Outcome, RequestId, Revision,
};
use outside::{ListedBox, StoreReply, StoreRequest};
use policy::Queued;
use serde::{Deserialize, Serialize};
use spread::Applied;

use crate::StatusReport;

/// Identifies a caller or peer that waits for a reply; the host assigns the number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct ReplyTo(pub u64);

/// Identifies an operation of the entry box that waits for a reply of a peer or of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct OpId(pub u64);

/// Purpose of a call to a backend server; returned with its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendOp {
    /// A step in the lifecycle of a job.
    Job,
    /// A watch on the server's lease table, for the replica of it.
    Watch,
    /// Delivers the configuration.
    Configure,
    /// Checkpoints and stops a gang to free its resources for other jobs.
    Preempt,
    /// Fences the ticket of a box that has terminated: the server refuses the ticket from then on.
    Fence(OpId),
}

/// A request to run a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// Specification of the job.
    pub spec: JobSpec,
    /// How long the reply may wait for the job's end; zero for a reply at once.
    pub wait: Duration,
    /// Whether the job must survive the failure of this box, also while it is queued.
    pub durable: bool,
    /// Whether the caller has sent the request before, so that another box may already have it.
    pub retry: bool,
    /// A ticket minted earlier for this request, the right to make its first start. With it, a request that
    /// may run only once needs no claim in the store; `None` if the caller has none.
    pub ticket: Option<JobId>,
    /// Whether the job resumes from a checkpoint; set only by a box that hands the job over.
    pub resume: bool,
    /// Whether the job may have run under an earlier ticket, so that it must never be reported as not run.
    pub may_have_run: bool,
}

/// A request of a caller or an operator.
#[derive(Debug, Clone, PartialEq)]
#[expect(missing_docs, reason = "the fields name the job as in `JobSpec`")]
pub enum CallerRequest {
    /// Runs a job.
    Submit(Submission),
    /// Returns the state of a job, or its answer once it has ended.
    Poll { customer: CustomerId, request: RequestId, wait: Duration },
    /// Cancels a job.
    Cancel { customer: CustomerId, request: RequestId },
    /// Confirms that the caller has received the whole answer, so that it need not be kept.
    Acknowledge { customer: CustomerId, request: RequestId },
    /// Mints a ticket.
    Mint,
    /// Puts an operators' file into force that was edited from revision `base`.
    Apply { id: ApplyId, base: Revision, file: OperatorFile },
    /// Returns the configuration document in force.
    Configuration,
    /// Returns the state of this box and of its availability zone.
    Status,
}

/// State of a job, as reported to callers and to other boxes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "status", rename_all = "snake_case")]
pub enum JobAnswer {
    /// Has not ended.
    Pending {
        /// Ticket of the job; `None` until the job's claim is stored.
        job: Option<JobId>,
        /// `claiming`, `waiting`, `starting`, `running`, `stopping` or `recording`.
        stage: String,
    },
    /// Has ended, and the answer is at hand.
    Ended {
        /// Ticket of the job.
        job: JobId,
        /// Outcome of the job, with the answer if it was done.
        outcome: Outcome,
    },
    /// The state can't be determined now; not final.
    Unsettled {
        /// Explanation for the caller.
        why: String,
        /// How long to wait before the next poll.
        retry_after: Duration,
    },
    /// The box that had the job handed it to another, which has terminated, and the gang is no longer whole:
    /// the ticket has to be fenced before the request can run again. Sent between boxes only; a caller is
    /// asked to send its request again.
    Orphaned,
    /// The request is unknown.
    NotKnown,
    /// The customer uses this request name for another request.
    NameInUse,
    /// Has ended, and its answer was acknowledged or is no longer kept.
    Over {
        /// Name of the outcome.
        outcome: String,
    },
}

/// A reply to a [`CallerRequest`].
#[derive(Debug, Clone, PartialEq)]
pub enum CallerReply {
    /// Replies to `Submit`, `Poll`, `Cancel` and `Acknowledge`.
    Job(JobAnswer),
    /// Replies to `Mint`.
    Ticket(JobId),
    /// Replies to `Apply`.
    Applied(Applied),
    /// Replies to `Configuration`; `None` if no configuration is in force.
    Configuration(Option<Arc<str>>),
    /// Replies to `Status`.
    Status(Box<StatusReport>),
}

/// A request of one entry box to another.
#[derive(Debug, Clone, PartialEq)]
#[expect(missing_docs, reason = "the fields name the job as in `JobSpec`")]
pub enum PeerRequest {
    /// Reports that the sender is live, and the revision in force there.
    Heartbeat { from: BoxId, incarnation: Incarnation, revision: Revision, leaving: bool },
    /// Offers the sender's waiting jobs to the planner: all of them if `full`, otherwise the changes since
    /// the previous offer.
    Offer { from: BoxId, incarnation: Incarnation, seq: u64, full: bool, added: Vec<Queued>, removed: Vec<JobId> },
    /// Grants starts on the given members, and refuses jobs that can never run, each with the reason.
    Grant { starts: Vec<(JobId, Vec<Member>)>, refusals: Vec<(JobId, String)> },
    /// Asks for the state of a request. The receiver forwards it within its availability zone only if
    /// `pass_on` is set, by a sender of another availability zone. With a ticket, only the process that
    /// minted that ticket may reply that the request is unknown.
    Lookup { customer: CustomerId, request: RequestId, wait: Duration, ticket: Option<JobId>, pass_on: bool },
    /// Cancels a job.
    Cancel { customer: CustomerId, request: RequestId, pass_on: bool },
    /// Confirms that the caller has received the answer.
    Acknowledge { customer: CustomerId, request: RequestId, pass_on: bool },
    /// Submits a job whose claim belongs to the receiver's availability zone, or whose ticket the receiver
    /// minted.
    Submit(Submission),
    /// Asks for the receiver's configuration document.
    FetchConfiguration,
}

/// A reply to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq)]
pub enum PeerReply {
    /// Replies to `Heartbeat`.
    Heartbeat {
        /// Incarnation of the responding process.
        incarnation: Incarnation,
        /// Revision in force there.
        revision: Revision,
        /// Whether that box is draining.
        leaving: bool,
    },
    /// Replies to `Offer`.
    Offered {
        /// Whether the next offer must contain the whole queue.
        need_full: bool,
    },
    /// Replies to `Grant`.
    Granted,
    /// Replies to `Lookup`, `Cancel`, `Acknowledge` and `Submit`.
    Job(JobAnswer),
    /// Replies to `FetchConfiguration`; `None` if no configuration is in force.
    Configuration(Option<Arc<str>>),
}

/// An event for the entry box to handle.
#[derive(Debug, Clone, PartialEq)]
#[expect(missing_docs, reason = "field names and types describe them")]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A request of a caller or operator; `to` identifies the reply.
    Caller { to: ReplyTo, req: CallerRequest },
    /// A request of another box; `to` identifies the reply.
    Peer { to: ReplyTo, req: PeerRequest },
    /// A peer's reply; `None` if the call failed or timed out.
    PeerReply { op: OpId, peer: BoxId, reply: Option<PeerReply> },
    /// A backend server's reply; `None` if the call failed or timed out.
    BackendReply { op: BackendOp, server: BackendServerId, req: BackendRequest, reply: Option<BackendReply> },
    /// The store's reply; `None` if the call failed or timed out.
    StoreReply { op: OpId, reply: Option<StoreReply> },
    /// The platform's list of entry boxes.
    Listed(Vec<ListedBox>),
    /// Starts draining: the box takes no new work and finishes its jobs or hands them over.
    Drain,
}

/// An action that the host carries out for the entry box.
#[derive(Debug, Clone, PartialEq)]
#[expect(missing_docs, reason = "field names and types describe them")]
pub enum Output {
    /// Sends a reply to a caller or operator.
    ToCaller { to: ReplyTo, reply: CallerReply },
    /// Sends a reply to another box.
    ToPeer { to: ReplyTo, reply: PeerReply },
    /// Calls another box; the host reports failure after `limit`.
    CallPeer { op: OpId, peer: BoxId, req: PeerRequest, limit: Duration },
    /// Calls a backend server; the host reports failure after `limit`.
    CallBackend { op: BackendOp, server: BackendServerId, req: BackendRequest, limit: Duration },
    /// Calls the store.
    CallStore { op: OpId, req: StoreRequest },
    /// Reports a configuration that came into force.
    Configured(Arc<OperatorFile>),
    /// Reports an event for metrics and logs.
    Observe(Observation),
}

/// An event for metrics and logs.
#[derive(Debug, Clone, PartialEq)]
#[expect(missing_docs, reason = "field names and types describe them")]
pub enum Observation {
    /// A job's gang started to run, `delay` after the job was taken.
    Started { customer: CustomerId, class: ClassId, delay: Duration },
    /// A job ended, `after` it was taken.
    Ended { customer: CustomerId, class: ClassId, outcome: &'static str, after: Duration },
    /// A planning round made decisions.
    Planned { starts: usize, preemptions: usize, queued: usize },
    /// A revision came into force on this box.
    InForce { revision: Revision },
    /// This box adopted a gang whose holder has terminated.
    Adopting { job: JobId },
    /// A backend server was quarantined (`on`) or released from quarantine.
    Quarantine { server: BackendServerId, on: bool },
    /// A dropped, refused or lost item, counted under a fixed name.
    Count { name: &'static str },
}
