//! Callers in virtual time. Each submits one job, and retries through other boxes until it receives the outcome.

use entry::{CallerReply, CallerRequest, JobAnswer, Submission};
use model::{BoxId, Duration, JobId, JobSpec, Moment, Outcome};
use standins::{Final, RunRecord, Violation};

use crate::{Cluster, events::Event};

/// Pause before a caller retries; a longer pause that the reply names takes precedence.
const PAUSE: Duration = Duration::from_millis(200);
/// Time that a caller lets a box wait for the outcome of its job.
const WAIT: Duration = Duration::from_secs(5);
/// Time after which a caller abandons a call that has no reply.
const CALL_TIMEOUT: Duration = Duration::from_secs(9);

/// Number of a caller, in the order of submission from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerId(pub usize);

pub(crate) struct VirtualCaller {
    spec: JobSpec,
    durable: bool,
    cancel: bool,
    sent: u32,
    outcome: Option<Outcome>,
    finished: bool,
    pub(crate) not_run: Vec<JobId>,
    pub(crate) log: Vec<(Moment, BoxId, String)>,
}

impl VirtualCaller {
    pub(crate) fn as_final(&self) -> Option<Final> {
        Some(Final { spec: self.spec.clone(), outcome: self.outcome.clone()? })
    }
}

impl Cluster {
    /// Submits a job of a new caller through the box `first`; retries go through random boxes.
    pub fn submit(&mut self, spec: JobSpec, durable: bool, first: &BoxId) -> CallerId {
        let id = CallerId(self.callers.len());
        let caller = VirtualCaller {
            spec,
            durable,
            cancel: false,
            sent: 0,
            outcome: None,
            finished: false,
            not_run: Vec::new(),
            log: Vec::new(),
        };
        self.callers.push(caller);
        self.send_request(id, Some(first.clone()), Duration::ZERO);
        id
    }

    /// Makes a caller cancel its job with its next request.
    pub fn cancel(&mut self, id: CallerId) {
        self.callers[id.0].cancel = true;
    }

    /// Returns the outcome of a caller's job; `None` until the caller has received it.
    pub fn outcome(&self, id: CallerId) -> Option<&Outcome> {
        self.callers[id.0].outcome.as_ref()
    }

    /// Returns the callers that are still waiting for the end of their job.
    pub fn open_callers(&self) -> Vec<CallerId> {
        let open = self.callers.iter().enumerate().filter(|(_, caller)| !caller.finished);
        open.map(|(n, _)| CallerId(n)).collect()
    }

    /// Returns the job of a caller with its requests and replies as text, for the message of a failed test.
    pub fn transcript(&self, id: CallerId) -> String {
        let caller = &self.callers[id.0];
        let mut text = format!("{:?}", caller.spec);
        for (at, id, event) in &caller.log {
            text.push_str(&format!("\n  {at} {id}: {event}"));
        }
        text
    }

    /// Returns the number of callers.
    pub fn caller_count(&self) -> usize {
        self.callers.len()
    }

    /// Checks that no task of a request has run when its caller is told that the request was not run.
    fn check_has_not_run(&mut self, spec: &JobSpec) {
        let belongs =
            |run: &RunRecord| run.task.spec.customer == spec.customer && run.task.spec.request == spec.request;
        let ran = self.servers.values().any(|s| s.table.runs.iter().chain(&s.old_runs).any(belongs));
        if ran {
            self.oracle.record_violation(Violation::RanAfterAll {
                customer: spec.customer.clone(),
                request: spec.request.clone(),
                reported: "as not run, with a time to retry".to_owned(),
            });
        }
    }

    fn send_request(&mut self, id: CallerId, to: Option<BoxId>, pause: Duration) {
        let boxes = self.box_ids();
        let to = to.unwrap_or_else(|| boxes[self.rng.usize(0..boxes.len())].clone());
        let caller = &mut self.callers[id.0];
        let (customer, request) = (caller.spec.customer.clone(), caller.spec.request.clone());
        let req = if caller.cancel && caller.sent > 0 {
            CallerRequest::Cancel { customer, request }
        } else {
            CallerRequest::Submit(Submission {
                spec: caller.spec.clone(),
                wait: WAIT,
                durable: caller.durable,
                retry: caller.sent > 0,
                ticket: None,
                resume: false,
                may_have_run: false,
            })
        };
        caller.sent += 1;
        caller.log.push((self.now, to.clone(), "request sent".to_owned()));
        let call = self.new_call();
        let arrives = self.now + pause + Duration::from_millis(1 + self.rng.u64(0..10));
        self.queue.push(arrives, Event::AtBox { caller: id, id: to, req, call });
        self.queue.push(arrives + CALL_TIMEOUT, Event::AtCaller { caller: id, reply: None, call });
    }

    pub(crate) fn handle_caller_reply(&mut self, id: CallerId, reply: Option<CallerReply>) {
        let now = self.now;
        let caller = &mut self.callers[id.0];
        if caller.finished {
            return;
        }
        caller.log.push((now, "caller".parse().expect("a valid id"), format!("{reply:?}")));
        let Some(CallerReply::Job(answer)) = reply else {
            return self.send_request(id, None, PAUSE);
        };
        match answer {
            JobAnswer::Ended { job, outcome: Outcome::NotRun { retry_after: Some(after), .. } } => {
                caller.not_run.push(job);
                let spec = caller.spec.clone();
                self.check_has_not_run(&spec);
                self.send_request(id, None, after.max(PAUSE));
            }
            JobAnswer::Ended { outcome, .. } => {
                caller.outcome = Some(outcome);
                caller.finished = true;
            }
            // The job ended under another caller of the same request or an earlier call of this one.
            JobAnswer::Over { .. } => caller.finished = true,
            // The cancellation found no such job, so that there is nothing left to submit or cancel.
            JobAnswer::NotKnown if caller.cancel => caller.finished = true,
            JobAnswer::Unsettled { retry_after, .. } => self.send_request(id, None, retry_after.max(PAUSE)),
            JobAnswer::Pending { .. } | JobAnswer::Orphaned | JobAnswer::NotKnown | JobAnswer::NameInUse => {
                self.send_request(id, None, PAUSE)
            }
        }
    }
}
