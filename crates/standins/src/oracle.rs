//! Checks the guarantees of the service from its external effects: which tasks ran on the backend servers, and which
//! outcomes callers received. The checks share no logic with the code under test.

use std::collections::{BTreeMap, BTreeSet};

use backend::TaskState;
use derive_more::Display;
use model::{Attempt, BackendServerId, CustomerId, Duration, JobId, JobSpec, Moment, Outcome, RequestId, Revision};

use crate::{RunRecord, Work};

/// Violation of a guarantee.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Violation {
    /// A member of a gang ran without another member for longer than allowed.
    #[display("partial gang: {job} attempt {attempt} ran on {ran} for {alone} without {missing}")]
    PartialGang {
        /// Job of the gang.
        job: JobId,
        /// Attempt of the job.
        attempt: Attempt,
        /// Backend server of the member that ran.
        ran: BackendServerId,
        /// Backend server of the member that did not run.
        missing: BackendServerId,
        /// Time that the member ran without the other.
        alone: Duration,
    },
    /// A member of a gang started while another had not been armed.
    #[display("partial start: {job} attempt {attempt} started on {began} while {missing} was not armed")]
    BeganInPart {
        /// Job of the gang.
        job: JobId,
        /// Attempt of the job.
        attempt: Attempt,
        /// Backend server of the member that started.
        began: BackendServerId,
        /// Backend server of the member that was not armed.
        missing: BackendServerId,
    },
    /// A caller received something else than the complete answer to its request.
    #[display("wrong answer: {customer}/{request} got {got:?}")]
    WrongAnswer {
        /// Customer of the request.
        customer: CustomerId,
        /// Id of the request.
        request: RequestId,
        /// Start of the text that the caller received.
        got: String,
    },
    /// A request ran although its caller was told that it had not run.
    #[display("ran, but reported as not run: {customer}/{request}, reported {reported}")]
    RanAfterAll {
        /// Customer of the request.
        customer: CustomerId,
        /// Id of the request.
        request: RequestId,
        /// Outcome that the caller received.
        reported: String,
    },
    /// A request that may run only once ran several times.
    #[display("ran {times} times: {customer}/{request} is not repeatable")]
    RanTwice {
        /// Customer of the request.
        customer: CustomerId,
        /// Id of the request.
        request: RequestId,
        /// Number of attempts that started without a checkpoint.
        times: usize,
    },
    /// A draining backend server accepted new work.
    #[display("new work: {server} accepted work {after} after it started to drain")]
    WorkWhileLeaving {
        /// The backend server.
        server: BackendServerId,
        /// Time since the start of the draining.
        after: Duration,
    },
    /// An older configuration replaced a newer one.
    #[display("reverted: {who} went from revision {from} to {to}")]
    Reverted {
        /// Box or backend server, with its incarnation.
        who: String,
        /// Revision in force before.
        from: Revision,
        /// Older revision that replaced it.
        to: Revision,
    },
    /// A request of a guaranteed shape did not start in time.
    #[display("late guarantee: {customer}/{request} waited {waited} for its guaranteed shape")]
    LateGuarantee {
        /// Customer with the guarantee.
        customer: CustomerId,
        /// The request that waited.
        request: RequestId,
        /// Time that it waited.
        waited: Duration,
    },
}

/// Final outcome that a caller received.
#[derive(Debug, Clone)]
pub struct Final {
    /// Job that the caller submitted.
    pub spec: JobSpec,
    /// Outcome of the job.
    pub outcome: Outcome,
}

/// Collects observations of runs, outcomes and revisions, and checks the guarantees against them.
#[derive(Debug, Default)]
pub struct Oracle {
    runs: Vec<(BackendServerId, RunRecord)>,
    finals: Vec<Final>,
    not_run: BTreeSet<JobId>,
    revisions: BTreeMap<String, Revision>,
    found: BTreeSet<Violation>,
}

impl Oracle {
    /// Records runs on a backend server.
    pub fn record_runs(&mut self, server: &BackendServerId, runs: &[RunRecord]) {
        self.runs.extend(runs.iter().map(|run| (server.clone(), run.clone())));
    }

    /// Records the final outcome that a caller received.
    pub fn record_final(&mut self, it: Final) {
        self.finals.push(it);
    }

    /// Records that a caller was told, finally or with a time to retry, that this job was not run.
    pub fn record_not_run(&mut self, job: JobId) {
        self.not_run.insert(job);
    }

    /// Records the revision in force on a box or backend server. A revision lower than the last one is a violation.
    pub fn record_revision(&mut self, who: &str, revision: Revision) {
        let last = self.revisions.entry(who.to_owned()).or_default();
        if revision < *last {
            self.found.insert(Violation::Reverted { who: who.to_owned(), from: *last, to: revision });
        }
        *last = revision;
    }

    /// Records a violation that the test itself detected.
    pub fn record_violation(&mut self, violation: Violation) {
        self.found.insert(violation);
    }

    /// Returns all violations. `remainder` is the longest time that the remaining members of a gang may run after a
    /// member was lost. Tasks that are still running count as running until `now`.
    pub fn check(&self, remainder: Duration, now: Moment) -> Vec<Violation> {
        let mut found = self.found.clone();
        self.check_gangs(remainder, now, &mut found);
        self.check_answers(&mut found);
        self.check_not_run(&mut found);
        self.check_jobs_not_run(&mut found);
        self.check_single_runs(&mut found);
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
                    let alone = time_alone(run, runs.get(&member.server).copied(), now);
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
            let reported_not_run = match it.outcome {
                Outcome::NotRun { .. } => true,
                Outcome::Cancelled { ran } => !ran && !it.spec.repeatable,
                _ => false,
            };
            if reported_not_run && self.runs.iter().any(|(_, run)| belongs_to(run, &it.spec)) {
                found.insert(Violation::RanAfterAll {
                    customer: it.spec.customer.clone(),
                    request: it.spec.request.clone(),
                    reported: it.outcome.to_string(),
                });
            }
        }
    }

    fn check_jobs_not_run(&self, found: &mut BTreeSet<Violation>) {
        for (_, run) in self.runs.iter().filter(|(_, run)| self.not_run.contains(&run.job)) {
            found.insert(Violation::RanAfterAll {
                customer: run.task.spec.customer.clone(),
                request: run.task.spec.request.clone(),
                reported: format!("job {} was not run", run.job),
            });
        }
    }

    /// Counts attempts that started from the beginning; an attempt that resumes from a checkpoint continues a run.
    fn check_single_runs(&self, found: &mut BTreeSet<Violation>) {
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

fn belongs_to(run: &RunRecord, spec: &JobSpec) -> bool {
    run.task.spec.customer == spec.customer && run.task.spec.request == spec.request
}

/// Returns how long `run` was running while the other member had not started, or had ended without finishing.
fn time_alone(run: &RunRecord, other: Option<&RunRecord>, now: Moment) -> Duration {
    let end = |run: &RunRecord| run.ended.as_ref().map_or(now, |(at, _)| *at);
    let Some(other) = other else { return end(run).since(run.began) };
    let before = other.began.min(end(run)).since(run.began);
    let finished = other.ended.as_ref().is_none_or(|(_, how)| matches!(how, TaskState::Finished { .. }));
    let after = if finished { Duration::ZERO } else { end(run).since(end(other).max(run.began)) };
    before.max(after)
}
