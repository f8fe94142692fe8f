//! What goes into an entry box and what comes out.

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

/// Whom the host is to give a reply; the host's own number for a caller or peer that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct ReplyTo(pub u64);

/// The entry box's number for something that it waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct OpId(pub u64);

/// What a reply of a backend server belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendOp {
    /// A step in the life of a job.
    Job,
    /// The replica of its lease table.
    Watch,
    /// Telling it the configuration.
    Configure,
    /// Stopping a gang to make room.
    Preempt,
    /// Ending the ticket of a box that is gone.
    Fence(OpId),
}

/// A job handed in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// What is asked for.
    pub spec: JobSpec,
    /// How long the reply may wait for the job's end.
    pub wait: Duration,
    /// Whether the job must outlive this box, also while it waits.
    pub durable: bool,
    /// Whether the caller has sent it before, so that it may be known elsewhere.
    pub retry: bool,
    /// A ticket minted earlier, with which a request that may run only once needs no store.
    pub ticket: Option<JobId>,
    /// Whether it goes on from a checkpoint; set only by a box that hands it over.
    pub resume: bool,
    /// Whether an earlier ticket for it may have run, so that it can never be said not to have run.
    pub may_have_run: bool,
}

/// What a caller or an operator asks.
#[derive(Debug, Clone, PartialEq)]
#[expect(missing_docs, reason = "the fields name the job as in `JobSpec`")]
pub enum CallerRequest {
    /// Run a job.
    Submit(Submission),
    /// How does it stand, and what is the answer?
    Poll { customer: CustomerId, request: RequestId, wait: Duration },
    /// Take it back.
    Cancel { customer: CustomerId, request: RequestId },
    /// The whole answer has arrived.
    Acknowledge { customer: CustomerId, request: RequestId },
    /// Make a ticket.
    Mint,
    /// Put a file in force that was edited from revision `base`.
    Apply { id: ApplyId, base: Revision, file: OperatorFile },
    /// The document in force.
    Configuration,
    /// The state of this box and of its availability zone.
    Status,
}

/// How a job stands, as callers and other boxes are told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "status", rename_all = "snake_case")]
pub enum JobAnswer {
    /// Not over yet.
    Pending {
        /// Its ticket, once there is one.
        job: Option<JobId>,
        /// `claiming`, `waiting`, `starting`, `running`, `stopping` or `recording`.
        stage: String,
    },
    /// Over.
    Ended {
        /// Its ticket.
        job: JobId,
        /// How it ended.
        outcome: Outcome,
    },
    /// It cannot be told now; not final.
    Unsettled {
        /// Why.
        why: String,
        /// When to ask again.
        retry_after: Duration,
    },
    /// Its box gave it up to another, which is gone, and its gang does not stand: its ticket has to
    /// be settled. Told among boxes only; a caller is told to send its request again.
    Orphaned,
    /// No such request is known.
    NotKnown,
    /// The request name stands for another request of this customer.
    NameInUse,
    /// It ended before, and its answer has been acknowledged.
    Over {
        /// The name of the outcome.
        outcome: String,
    },
}

/// What the host gives a caller.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerReply {
    /// To everything about a job.
    Job(JobAnswer),
    /// To `Mint`.
    Ticket(JobId),
    /// To `Apply`.
    Applied(Applied),
    /// To `Configuration`.
    Configuration(Option<Arc<str>>),
    /// To `Status`.
    Status(Box<StatusReport>),
}

/// What boxes ask each other.
#[derive(Debug, Clone, PartialEq)]
#[expect(missing_docs, reason = "the fields name the job as in `JobSpec`")]
pub enum PeerRequest {
    /// I am live.
    Heartbeat { from: BoxId, incarnation: Incarnation, revision: Revision, leaving: bool },
    /// My waiting jobs, or what changed of them since the offer before.
    Offer { from: BoxId, incarnation: Incarnation, seq: u64, full: bool, added: Vec<Queued>, removed: Vec<JobId> },
    /// Where your jobs may start, and which of them never can.
    Grant { starts: Vec<(JobId, Vec<Member>)>, refusals: Vec<(JobId, String)> },
    /// How does this request stand? Passed on within the answering box's availability zone only if
    /// asked from outside it.
    /// With a ticket, only the process that minted it may say that it knows nothing.
    Lookup { customer: CustomerId, request: RequestId, wait: Duration, ticket: Option<JobId>, pass_on: bool },
    /// Take it back.
    Cancel { customer: CustomerId, request: RequestId, pass_on: bool },
    /// The caller has its answer.
    Acknowledge { customer: CustomerId, request: RequestId, pass_on: bool },
    /// Take this job: its claim belongs to your availability zone, or its ticket to you.
    Submit(Submission),
    /// Your document.
    FetchConfiguration,
}

/// What they answer.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerReply {
    /// To `Heartbeat`.
    Heartbeat {
        /// The answering process's life.
        incarnation: Incarnation,
        /// The revision in force there.
        revision: Revision,
        /// Whether that box is leaving.
        leaving: bool,
    },
    /// To `Offer`.
    Offered {
        /// Whether the next offer must hold the whole queue.
        need_full: bool,
    },
    /// To `Grant`.
    Granted,
    /// To everything about a job.
    Job(JobAnswer),
    /// To `FetchConfiguration`.
    Configuration(Option<Arc<str>>),
}

/// What happens to an entry box.
#[derive(Debug, Clone, PartialEq)]
#[expect(missing_docs, reason = "the fields stand for themselves")]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A caller or operator asks.
    Caller { to: ReplyTo, req: CallerRequest },
    /// Another box asks.
    Peer { to: ReplyTo, req: PeerRequest },
    /// A peer's reply, `None` when none came.
    PeerReply { op: OpId, peer: BoxId, reply: Option<PeerReply> },
    /// A backend server's reply, `None` when none came.
    BackendReply { op: BackendOp, server: BackendServerId, req: BackendRequest, reply: Option<BackendReply> },
    /// The store's reply, `None` when none came.
    StoreReply { op: OpId, reply: Option<StoreReply> },
    /// The platform's list.
    Listed(Vec<ListedBox>),
    /// Leave: take no new work, finish or hand over what there is.
    Drain,
}

/// What an entry box wants done.
#[derive(Debug, Clone, PartialEq)]
#[expect(missing_docs, reason = "the fields stand for themselves")]
pub enum Output {
    /// Reply to a caller or operator.
    ToCaller { to: ReplyTo, reply: CallerReply },
    /// Reply to another box.
    ToPeer { to: ReplyTo, reply: PeerReply },
    /// Ask another box.
    CallPeer { op: OpId, peer: BoxId, req: PeerRequest, limit: Duration },
    /// Ask a backend server.
    CallBackend { op: BackendOp, server: BackendServerId, req: BackendRequest, limit: Duration },
    /// Ask the store.
    CallStore { op: OpId, req: StoreRequest },
    /// A configuration came into force.
    Configured(Arc<OperatorFile>),
    /// Something for metrics and logs.
    Observe(Observation),
}

/// Something for metrics and logs.
#[derive(Debug, Clone, PartialEq)]
#[expect(missing_docs, reason = "the fields stand for themselves")]
pub enum Observation {
    /// A job's gang began to run.
    Started { customer: CustomerId, class: ClassId, delay: Duration },
    /// A job ended.
    Ended { customer: CustomerId, class: ClassId, outcome: &'static str, after: Duration },
    /// One round of planning.
    Planned { starts: usize, preemptions: usize, queued: usize },
    /// A revision came into force here.
    InForce { revision: Revision },
    /// A box took over a gang of another.
    Adopting { job: JobId },
    /// A backend server is no longer fed, or is again.
    Quarantine { server: BackendServerId, on: bool },
    /// Something dropped, refused or lost, by a fixed name.
    Count { name: &'static str },
}
