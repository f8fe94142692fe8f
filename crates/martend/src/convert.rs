//! Conversions between gRPC messages and the validated types of `model`, `entry` and `policy`.

use derive_more::{Display, Error, From};
use entry::{JobAnswer, PeerRequest, Submission};
use model::{Duration, Gang, IdError, Incarnation, JobId, Member, RawGang, RawResources, Resources, Revision, Within};
use policy::Queued;

/// Reason for rejecting a message of another box.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ConvertError {
    /// An invalid id.
    #[display("{_0}")]
    Id(IdError),
    /// A value out of its range.
    #[display("{_0}")]
    Check(model::CheckError),
    /// A required field is missing.
    #[display("the field {field} is missing")]
    #[from(ignore)]
    Missing { field: &'static str },
    /// JSON that cannot be parsed as the expected type.
    #[display("{_0}")]
    Json(serde_json::Error),
}

impl From<ConvertError> for tonic::Status {
    fn from(e: ConvertError) -> tonic::Status {
        tonic::Status::invalid_argument(e.to_string())
    }
}

type Result<T> = std::result::Result<T, ConvertError>;

pub(crate) fn heartbeat_from_wire(m: wire::HeartbeatRequest) -> Result<PeerRequest> {
    Ok(PeerRequest::Heartbeat {
        from: m.from.parse()?,
        incarnation: Incarnation(m.incarnation),
        revision: Revision(m.revision),
        leaving: m.leaving,
    })
}

pub(crate) fn offer_from_wire(m: wire::OfferRequest) -> Result<PeerRequest> {
    Ok(PeerRequest::Offer {
        from: m.from.parse()?,
        incarnation: Incarnation(m.incarnation),
        seq: m.seq,
        full: m.full,
        added: m.added.into_iter().map(queued_from_wire).collect::<Result<_>>()?,
        removed: m.removed.iter().map(|job| Ok(job.parse()?)).collect::<Result<_>>()?,
    })
}

pub(crate) fn grant_from_wire(m: wire::GrantRequest) -> Result<PeerRequest> {
    let start = |m: wire::Start| -> Result<(JobId, Vec<Member>)> {
        let members = m.members.into_iter().map(|m| Ok(Member { server: m.server.parse()?, tasks: m.tasks }));
        Ok((m.job.parse()?, members.collect::<Result<_>>()?))
    };
    let refusal = |m: wire::Refusal| -> Result<(JobId, String)> { Ok((m.job.parse()?, m.why)) };
    Ok(PeerRequest::Grant {
        starts: m.starts.into_iter().map(start).collect::<Result<_>>()?,
        refusals: m.refusals.into_iter().map(refusal).collect::<Result<_>>()?,
    })
}

pub(crate) fn lookup_from_wire(m: wire::LookupRequest) -> Result<PeerRequest> {
    let ticket = if m.ticket.is_empty() { None } else { Some(m.ticket.parse()?) };
    Ok(PeerRequest::Lookup {
        ticket,
        pass_on: m.pass_on,
        customer: m.customer.parse()?,
        request: m.request.parse()?,
        wait: Duration::from_millis(m.wait_ms),
    })
}

pub(crate) fn submission_from_wire(m: wire::SubmitRequest) -> Result<PeerRequest> {
    let ticket = if m.ticket.is_empty() { None } else { Some(m.ticket.parse()?) };
    Ok(PeerRequest::Submit(Submission {
        spec: model::from_json(&m.spec)?,
        wait: Duration::from_millis(m.wait_ms),
        durable: m.durable,
        retry: m.retry,
        ticket,
        resume: m.resume,
        may_have_run: m.may_have_run,
    }))
}

pub(crate) fn submission_to_wire(submission: &Submission) -> wire::SubmitRequest {
    wire::SubmitRequest {
        spec: serde_json::to_vec(&submission.spec).expect("our own types always serialize"),
        wait_ms: submission.wait.millis(),
        durable: submission.durable,
        retry: submission.retry,
        resume: submission.resume,
        may_have_run: submission.may_have_run,
        ticket: submission.ticket.as_ref().map(JobId::to_string).unwrap_or_default(),
    }
}

pub(crate) fn answer_to_wire(answer: &JobAnswer) -> wire::JobReply {
    wire::JobReply { answer: serde_json::to_vec(answer).expect("our own types always serialize") }
}

pub(crate) fn answer_from_wire(m: &wire::JobReply) -> Result<JobAnswer> {
    Ok(serde_json::from_slice(&m.answer)?)
}

fn queued_from_wire(m: wire::QueuedJob) -> Result<Queued> {
    let gang = m.gang.ok_or(ConvertError::Missing { field: "gang" })?;
    Ok(Queued {
        job: m.job.parse()?,
        customer: m.customer.parse()?,
        class: m.class.parse()?,
        gang: gang_from_wire(gang)?,
        declared: Duration::from_millis(m.declared_ms),
        waited: Duration::from_millis(m.waited_ms),
        repeatable: m.repeatable,
        checkpointable: m.checkpointable,
        avoid: m.avoid.iter().map(|id| Ok(id.parse()?)).collect::<Result<_>>()?,
    })
}

pub(crate) fn queued_to_wire(job: &Queued) -> wire::QueuedJob {
    wire::QueuedJob {
        job: job.job.to_string(),
        customer: job.customer.to_string(),
        class: job.class.to_string(),
        gang: Some(gang_to_wire(&job.gang)),
        declared_ms: job.declared.millis(),
        waited_ms: job.waited.millis(),
        repeatable: job.repeatable,
        checkpointable: job.checkpointable,
        avoid: job.avoid.iter().map(ToString::to_string).collect(),
    }
}

fn gang_from_wire(m: wire::Gang) -> Result<Gang> {
    let within = match m.within() {
        wire::Within::AvailabilityZone => Within::AvailabilityZone,
        wire::Within::Rack => Within::Rack,
        wire::Within::Worker => Within::Worker,
    };
    let per_task = m.per_task.ok_or(ConvertError::Missing { field: "per_task" })?;
    let per_task = Resources::new(per_task.accelerators, per_task.cores, per_task.memory_gb);
    Ok(Gang::try_from(RawGang { tasks: m.tasks, per_task: RawResources::from(per_task), within })?)
}

fn gang_to_wire(gang: &Gang) -> wire::Gang {
    let within = match gang.within {
        Within::AvailabilityZone => wire::Within::AvailabilityZone,
        Within::Rack => wire::Within::Rack,
        Within::Worker => wire::Within::Worker,
    };
    let per_task = wire::Resources {
        accelerators: gang.per_task.accelerators,
        cores: gang.per_task.cores,
        memory_gb: gang.per_task.memory_gb,
    };
    wire::Gang { tasks: gang.tasks, per_task: Some(per_task), within: within.into() }
}

pub(crate) fn start_to_wire((job, members): &(JobId, Vec<Member>)) -> wire::Start {
    let member = |m: &Member| wire::Member { server: m.server.to_string(), tasks: m.tasks };
    wire::Start { job: job.to_string(), members: members.iter().map(member).collect() }
}

pub(crate) fn refusal_to_wire((job, why): &(JobId, String)) -> wire::Refusal {
    wire::Refusal { job: job.to_string(), why: why.clone() }
}
