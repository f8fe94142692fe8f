//! What must always hold, checked from the outside: from what ran on the backend servers and what
//! callers were told. It knows nothing of the code under test.

use std::collections::{BTreeMap, BTreeSet};

use backend::TaskState;
use derive_more::Display;
use model::{Attempt, BackendServerId, CustomerId, Duration, JobId, JobSpec, Moment, Outcome, RequestId, Revision};

use crate::{RunRecord, Work};

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Violation {
    /// A member ran for longer than allowed while another member of its gang did not.
    #[display("partial gang: {job} attempt {attempt} ran on {ran} for {alone} without {missing}")]
    PartialGang {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: Attempt,
        /// A member that ran.
        ran: BackendServerId,
        /// A member that did not.
        missing: BackendServerId,
        /// For how long.
        alone: Duration,
    },
    /// A member began while another had not been armed.
    #[display("began in part: {job} attempt {attempt} began on {began} while {missing} was not armed")]
    BeganInPart {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: Attempt,
        /// The member that began.
        began: BackendServerId,
        /// The member that was not armed.
        missing: BackendServerId,
    },
    /// A caller was given something else than the whole answer to its own request.
    #[display("wrong answer: {customer}/{request} got {got:?}")]
    WrongAnswer {
        /// Whose request.
        customer: CustomerId,
        /// Which.
        request: RequestId,
        /// What was given.
        got: String,
    },
    /// A request ran although its caller was told that it was not run.
    #[display("ran after all: {customer}/{request}, told {told}")]
    RanAfterAll {
        /// Whose request.
        customer: CustomerId,
        /// Which.
        request: RequestId,
        /// What the caller was told.
        told: String,
    },
    /// A request that may run only once ran more often.
    #[display("ran {times} times: {customer}/{request} is not repeatable")]
    RanTwice {
        /// Whose request.
        customer: CustomerId,
        /// Which.
        request: RequestId,
        /// How often.
        times: usize,
    },
    /// A backend server was given new work when it had been leaving for long enough.
    #[display("new work: {server} was given work {after} after it began to leave")]
    WorkWhileLeaving {
        /// The backend server.
        server: BackendServerId,
        /// How long it had been leaving.
        after: Duration,
    },
    /// A configuration was in force and then an older one.
    #[display("reverted: {who} went from revision {from} to {to}")]
    Reverted {
        /// The box or backend server.
        who: String,
        /// Before.
        from: Revision,
        /// After.
        to: Revision,
    },
    /// A guarantee was not given back in time.
    #[display("late guarantee: {customer}/{request} waited {waited} for its guaranteed shape")]
    LateGuarantee {
        /// Whose guarantee.
        customer: CustomerId,
        /// The request that waited.
        request: RequestId,
        /// How long.
        waited: Duration,
    },
}

/// What a caller was finally told.
#[derive(Debug, Clone)]
pub struct Final {
    /// The request.
    pub spec: JobSpec,
    /// The outcome.
    pub outcome: Outcome,
}

/// Collects what was seen.
#[derive(Debug, Default)]
pub struct Oracle {
    runs: Vec<(BackendServerId, RunRecord)>,
    finals: Vec<Final>,
    not_run: BTreeSet<JobId>,
    revisions: BTreeMap<String, Revision>,
    found: BTreeSet<Violation>,
}

impl Oracle {
    /// Everything that ran on a backend server.
    pub fn saw_runs(&mut self, server: &BackendServerId, runs: &[RunRecord]) {
        self.runs.extend(runs.iter().map(|run| (server.clone(), run.clone())));
    }

    /// What a caller was finally told.
    pub fn saw_final(&mut self, it: Final) {
        self.finals.push(it);
    }

    /// A ticket of which a caller was told, for good or for now, that it was not run.
    pub fn saw_not_run(&mut self, job: JobId) {
        self.not_run.insert(job);
    }

    /// A revision in force somewhere.
    pub fn saw_revision(&mut self, who: &str, revision: Revision) {
        let last = self.revisions.entry(who.to_owned()).or_default();
        if revision < *last {
            self.found.insert(Violation::Reverted { who: who.to_owned(), from: *last, to: revision });
        }
        *last = revision;
    }

    /// A violation that was found elsewhere.
    pub fn saw_violation(&mut self, violation: Violation) {
        self.found.insert(violation);
    }

    /// Every promise that was broken. `remainder` is the longest that the rest of a gang may go on
    /// once a member is lost; `now` ends what still runs.
    pub fn check(&self, remainder: Duration, now: Moment) -> Vec<Violation> {
        let mut found = self.found.clone();
        self.check_gangs(remainder, now, &mut found);
        self.check_answers(&mut found);
        self.check_not_run(&mut found);
        self.check_tickets(&mut found);
        self.check_once(&mut found);
        found.into_iter().collect()
    }

    fn check_gangs(&self, remainder: Duration, now: Moment, found: &mut BTreeSet<Violation>) {
        let mut attempts: BTreeMap<(&JobId, Attempt), BTreeMap<&BackendServerId, &RunRecord>> = BTreeMap::new();
        for (server, run) in &self.runs {
            attempts.entry((&run.job, run.token.attempt)).or_default().insert(server, run);
        }
        for ((job, attempt), runs) in attempts {
            for (server, run) in &runs {
                for member in &run.task.members {
                    let alone = alone(run, runs.get(&member.server).copied(), now);
                    if alone > remainder {
                        found.insert(Violation::PartialGang {
                            job: job.clone(),
                            attempt,
                            ran: (*server).clone(),
                            missing: member.server.clone(),
                            alone,
                        });
                    }
                }
            }
        }
    }

    fn check_answers(&self, found: &mut BTreeSet<Violation>) {
        for it in &self.finals {
            if let Outcome::Done { answer, .. } = &it.outcome
                && *answer != Work::answer(&it.spec)
            {
                found.insert(Violation::WrongAnswer {
                    customer: it.spec.customer.clone(),
                    request: it.spec.request.clone(),
                    got: answer.chars().take(80).collect(),
                });
            }
        }
    }

    fn check_not_run(&self, found: &mut BTreeSet<Violation>) {
        for it in &self.finals {
            let told_not = match it.outcome {
                Outcome::NotRun { .. } => true,
                Outcome::Cancelled { ran } => !ran && !it.spec.repeatable,
                _ => false,
            };
            if told_not && self.runs.iter().any(|(_, run)| is_of(run, &it.spec)) {
                found.insert(Violation::RanAfterAll {
                    customer: it.spec.customer.clone(),
                    request: it.spec.request.clone(),
                    told: it.outcome.to_string(),
                });
            }
        }
    }

    fn check_tickets(&self, found: &mut BTreeSet<Violation>) {
        for (_, run) in self.runs.iter().filter(|(_, run)| self.not_run.contains(&run.job)) {
            found.insert(Violation::RanAfterAll {
                customer: run.task.spec.customer.clone(),
                request: run.task.spec.request.clone(),
                told: format!("ticket {} was not run", run.job),
            });
        }
    }

    /// Attempts that began afresh count; one that goes on from a checkpoint is the same run.
    fn check_once(&self, found: &mut BTreeSet<Violation>) {
        let mut fresh: BTreeMap<(&CustomerId, &RequestId), BTreeSet<(&JobId, Attempt)>> = BTreeMap::new();
        for (_, run) in &self.runs {
            let spec = &run.task.spec;
            if !spec.repeatable && !run.task.resume {
                let name = (&spec.customer, &spec.request);
                fresh.entry(name).or_default().insert((&run.job, run.token.attempt));
            }
        }
        for ((customer, request), attempts) in fresh.into_iter().filter(|(_, attempts)| attempts.len() > 1) {
            found.insert(Violation::RanTwice {
                customer: customer.clone(),
                request: request.clone(),
                times: attempts.len(),
            });
        }
    }
}

fn is_of(run: &RunRecord, spec: &JobSpec) -> bool {
    run.task.spec.customer == spec.customer && run.task.spec.request == spec.request
}

/// How long `run` went on while the other member did not run, and had not finished its part.
fn alone(run: &RunRecord, other: Option<&RunRecord>, now: Moment) -> Duration {
    let end = |run: &RunRecord| run.ended.as_ref().map_or(now, |(at, _)| *at);
    let Some(other) = other else { return end(run).since(run.began) };
    let before = other.began.min(end(run)).since(run.began);
    let finished = other.ended.as_ref().is_none_or(|(_, how)| matches!(how, TaskState::Finished { .. }));
    let after = if finished { Duration::ZERO } else { end(run).since(end(other).max(run.began)) };
    before.max(after)
}
