//! Callers in virtual time: each has one job, and goes from box to box until its end is known.

use entry::{CallerReply, CallerRequest, JobAnswer, Submission};
use model::{BoxId, Duration, JobId, JobSpec, Moment, Outcome};
use standins::{Final, RunRecord, Violation};

use crate::{Cluster, events::Event};

/// Pause before a caller asks again, unless the reply names a time.
const PAUSE: Duration = Duration::from_millis(200);
/// How long a caller lets a box wait for the end of its job.
const WAIT: Duration = Duration::from_secs(5);
/// A caller takes a box that does not reply for this long for gone.
const PATIENCE: Duration = Duration::from_secs(9);

/// The number of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerId(pub usize);

pub(crate) struct VirtualCaller {
    spec: JobSpec,
    durable: bool,
    cancel: bool,
    sent: u32,
    outcome: Option<Outcome>,
    over: bool,
    pub(crate) not_run: Vec<JobId>,
    pub(crate) log: Vec<(Moment, BoxId, String)>,
}

impl VirtualCaller {
    pub(crate) fn as_final(&self) -> Option<Final> {
        Some(Final { spec: self.spec.clone(), outcome: self.outcome.clone()? })
    }
}

impl Cluster {
    /// A new caller hands in a job through a box.
    pub fn submit(&mut self, spec: JobSpec, durable: bool, first: &BoxId) -> CallerId {
        let id = CallerId(self.callers.len());
        let caller = VirtualCaller {
            spec,
            durable,
            cancel: false,
            sent: 0,
            outcome: None,
            over: false,
            not_run: Vec::new(),
            log: Vec::new(),
        };
        self.callers.push(caller);
        self.ask(id, Some(first.clone()), Duration::ZERO);
        id
    }

    /// A caller takes its job back.
    pub fn cancel(&mut self, id: CallerId) {
        self.callers[id.0].cancel = true;
    }

    /// The end of a caller's job, once it is known.
    pub fn outcome(&self, id: CallerId) -> Option<&Outcome> {
        self.callers[id.0].outcome.as_ref()
    }

    /// Callers that do not know the end of their job.
    pub fn open_callers(&self) -> Vec<CallerId> {
        let open = self.callers.iter().enumerate().filter(|(_, caller)| !caller.over);
        open.map(|(n, _)| CallerId(n)).collect()
    }

    /// What a caller was told, and when.
    pub fn story(&self, id: CallerId) -> String {
        let caller = &self.callers[id.0];
        let mut text = format!("{:?}", caller.spec);
        for (at, id, said) in &caller.log {
            text.push_str(&format!("\n  {at} {id}: {said}"));
        }
        text
    }

    /// How many callers there are.
    pub fn caller_count(&self) -> usize {
        self.callers.len()
    }

    /// A caller was told that its request was not run: nothing may have run of it so far.
    fn check_has_not_run(&mut self, spec: &JobSpec) {
        let of = |run: &RunRecord| run.task.spec.customer == spec.customer && run.task.spec.request == spec.request;
        let ran = self.servers.values().any(|s| s.table.runs.iter().chain(&s.old_runs).any(of));
        if ran {
            self.oracle.saw_violation(Violation::RanAfterAll {
                customer: spec.customer.clone(),
                request: spec.request.clone(),
                told: "for now, that it was not run".to_owned(),
            });
        }
    }

    fn ask(&mut self, id: CallerId, to: Option<BoxId>, pause: Duration) {
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
        caller.log.push((self.now, to.clone(), "asked".to_owned()));
        let call = self.new_call();
        let arrives = self.now + pause + Duration::from_millis(1 + self.rng.u64(0..10));
        self.queue.push(arrives, Event::AtBox { caller: id, id: to, req, call });
        self.queue.push(arrives + PATIENCE, Event::AtCaller { caller: id, reply: None, call });
    }

    pub(crate) fn at_caller(&mut self, id: CallerId, reply: Option<CallerReply>) {
        let now = self.now;
        let caller = &mut self.callers[id.0];
        if caller.over {
            return;
        }
        caller.log.push((now, "caller".parse().expect("a valid id"), format!("{reply:?}")));
        let Some(CallerReply::Job(answer)) = reply else {
            return self.ask(id, None, PAUSE);
        };
        match answer {
            JobAnswer::Ended { job, outcome: Outcome::NotRun { retry_after: Some(after), .. } } => {
                caller.not_run.push(job);
                let spec = caller.spec.clone();
                self.check_has_not_run(&spec);
                self.ask(id, None, after.max(PAUSE));
            }
            JobAnswer::Ended { outcome, .. } => {
                caller.outcome = Some(outcome);
                caller.over = true;
            }
            // It ended for another caller of the same request, or for an earlier call of this one.
            JobAnswer::Over { .. } => caller.over = true,
            // A cancellation that found nothing: the job is nowhere, so it is handed in no more.
            JobAnswer::NotKnown if caller.cancel => caller.over = true,
            JobAnswer::Unsettled { retry_after, .. } => self.ask(id, None, retry_after.max(PAUSE)),
            JobAnswer::Pending { .. } | JobAnswer::Orphaned | JobAnswer::NotKnown | JobAnswer::NameInUse => {
                self.ask(id, None, PAUSE)
            }
        }
    }
}
