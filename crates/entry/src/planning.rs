//! Planning for the availability zone, done by one of its boxes.

use std::collections::BTreeMap;

use backend::{BackendRequest, Lease, TaskState};
use model::{BackendServerId, BoxId, Duration, JobId, Member, Moment};
use policy::{Decision, Finished, Planner, Queued, Running, Snapshot};

use crate::{BackendOp, EntryBox, Observation, PeerRequest, entry_box::Op, offers::queued};

/// Longest time between two planning rounds.
const REPLAN_AFTER: Duration = Duration::from_secs(2);
/// Lifetime of an offer: several times the longest pause between two offers of a box with a queue.
const OFFER_TTL: Duration = Duration::from_secs(5);
/// Number of starts over which the time per start is averaged.
const START_AVERAGE_WINDOW: f64 = 32.0;
/// Time per start before any start was observed.
const INITIAL_TIME_PER_START: Duration = Duration::from_secs(1);

/// State of the planner. It is not stored: the next planner rebuilds it from the lease tables and offers.
pub(crate) struct Planning {
    planner: Box<dyn Planner>,
    has_changed: bool,
    last_round: Option<Moment>,
    granted: BTreeMap<JobId, Granted>,
    last_start: Option<Moment>,
    time_per_start_ms: f64,
}

/// A grant whose reservations have not appeared in the lease tables yet.
struct Granted {
    gang: Running,
    until: Moment,
}

impl Planning {
    pub(crate) fn new(planner: Box<dyn Planner>) -> Planning {
        Planning {
            planner,
            has_changed: true,
            last_round: None,
            granted: BTreeMap::new(),
            last_start: None,
            time_per_start_ms: INITIAL_TIME_PER_START.millis() as f64,
        }
    }

    /// Records a change that may let a job start, so that the next round is not skipped.
    pub(crate) fn mark_changed(&mut self) {
        self.has_changed = true;
    }

    /// Removes grants whose reservations have appeared, or whose attempt has ended.
    pub(crate) fn remove_granted(&mut self, leases: &[Lease]) {
        for lease in leases {
            self.granted.remove(&lease.job);
        }
    }

    /// Records the run times of gangs that finished. The first member's lease stands for the whole gang.
    pub(crate) fn learn(&mut self, server: &BackendServerId, leases: &[Lease]) {
        for lease in leases.iter().filter(|lease| matches!(lease.state, TaskState::Finished { .. })) {
            let is_first = lease.members.first().is_some_and(|m| m.server == *server);
            if is_first && !lease.acknowledged {
                self.planner.learn(&Finished {
                    customer: lease.customer.clone(),
                    class: lease.class.clone(),
                    declared: lease.declared,
                    ran_for: lease.ran_for,
                });
            }
        }
    }

    /// Returns the recent average time between starts.
    pub(crate) fn time_per_start(&self) -> Duration {
        Duration::from_millis(self.time_per_start_ms as u64)
    }

    fn record_starts(&mut self, starts: usize, now: Moment) {
        if starts == 0 {
            return;
        }
        if let Some(last) = self.last_start {
            let each_ms = now.since(last).millis() as f64 / starts as f64;
            self.time_per_start_ms += (each_ms - self.time_per_start_ms) / START_AVERAGE_WINDOW;
        }
        self.last_start = Some(now);
    }
}

impl EntryBox {
    /// Runs a planning round if this box is the planner, something has changed, and `plan_gap` has passed
    /// since the last round.
    pub(crate) fn plan_if_due(&mut self, now: Moment) {
        if *self.view.planner(now) != self.id.box_id {
            return;
        }
        let expired = self.planning.granted.values().any(|granted| granted.until <= now);
        if expired {
            self.planning.granted.retain(|_, granted| granted.until > now);
            self.planning.has_changed = true;
        }
        // Some inputs change by time alone, such as whether a backend server counts as unresponsive.
        let stale = self.planning.last_round.is_none_or(|at| now.since(at) >= REPLAN_AFTER);
        self.planning.has_changed |= stale;
        let early = self.planning.last_round.is_some_and(|at| now.since(at) < self.limits.plan_gap);
        if !self.planning.has_changed || early {
            return;
        }
        let Some(snapshot) = self.snapshot(now) else { return };
        self.planning.has_changed = false;
        self.planning.last_round = Some(now);
        if snapshot.queue.is_empty() {
            return;
        }
        let decisions = self.planning.planner.plan(&snapshot);
        self.apply_decisions(&snapshot, decisions, now);
    }

    fn snapshot(&self, now: Moment) -> Option<Snapshot> {
        let file = self.file()?;
        let mut servers = self.servers_of(&file);
        for server in &mut servers {
            server.open = self.is_open(&file, &server.id, now);
        }
        let mut running = self.replicas.running();
        let known: std::collections::BTreeSet<JobId> = running.iter().map(|gang| gang.job.clone()).collect();
        let granted = self.planning.granted.values().map(|granted| &granted.gang);
        running.extend(granted.filter(|gang| !known.contains(&gang.job)).cloned());
        let mut queue: Vec<Queued> = self.jobs.waiting(now).into_iter().map(queued).collect();
        for (id, offered) in &self.received_offers {
            // A box that no longer sends offers has an empty queue or uses another planner.
            if self.view.is_live(id, now) && now.since(offered.last) < OFFER_TTL {
                queue.extend(offered.jobs.values().map(|(it, since)| with_current_wait(it, *since, now)));
            }
        }
        queue.retain(|it| !known.contains(&it.job) && !self.planning.granted.contains_key(&it.job));
        Some(Snapshot { file, servers, running, queue })
    }

    fn apply_decisions(&mut self, snapshot: &Snapshot, decisions: Vec<Decision>, now: Moment) {
        let by_job: BTreeMap<&JobId, &Queued> = snapshot.queue.iter().map(|it| (&it.job, it)).collect();
        let mut starts: Vec<(JobId, Vec<Member>)> = Vec::new();
        let mut refusals = Vec::new();
        let mut preemptions = 0;
        for decision in decisions {
            match decision {
                Decision::Start { job, members } => {
                    if let Some(it) = by_job.get(&job) {
                        let granted = Granted { gang: granted_gang(it, &members), until: now + self.limits.grant_ttl };
                        self.planning.granted.insert(job.clone(), granted);
                        starts.push((job, members));
                    }
                }
                Decision::Preempt { job, .. } => {
                    preemptions += 1;
                    self.preempt(&job);
                }
                Decision::Refuse { job, why } => refusals.push((job, why)),
            }
        }
        self.planning.record_starts(starts.len(), now);
        if starts.len() + preemptions + refusals.len() > 0 {
            let queued = snapshot.queue.len();
            self.observe(Observation::Planned { starts: starts.len(), preemptions, queued });
        }
        self.send_grants(starts, refusals, now);
    }

    fn preempt(&mut self, job: &JobId) {
        let calls: Vec<_> = self
            .replicas
            .iter()
            .filter_map(|(server, replica)| Some((server.clone(), replica.leases.get(job)?.token)))
            .collect();
        for (server, token) in calls {
            let req = BackendRequest::Checkpoint { job: job.clone(), token, stop_after: self.limits.checkpoint };
            self.call_backend(BackendOp::Preempt, server, req);
        }
    }

    /// Sends each decision to the box that has the job in its queue.
    fn send_grants(&mut self, starts: Vec<(JobId, Vec<Member>)>, refusals: Vec<(JobId, String)>, now: Moment) {
        type Grants = (Vec<(JobId, Vec<Member>)>, Vec<(JobId, String)>);
        let mut by_box: BTreeMap<BoxId, Grants> = BTreeMap::new();
        for start in starts {
            by_box.entry(start.0.minted_by.clone()).or_default().0.push(start);
        }
        for refusal in refusals {
            by_box.entry(refusal.0.minted_by.clone()).or_default().1.push(refusal);
        }
        for (id, (starts, refusals)) in by_box {
            if id == self.id.box_id {
                self.on_grant(starts, refusals, now);
                continue;
            }
            if let Some(offered) = self.received_offers.get_mut(&id) {
                for (job, _) in &refusals {
                    offered.jobs.remove(job);
                }
            }
            self.call_peer(Op::Grant, &id, PeerRequest::Grant { starts, refusals });
        }
    }
}

fn with_current_wait(it: &Queued, since: Moment, now: Moment) -> Queued {
    Queued { waited: now.since(since), ..it.clone() }
}

fn granted_gang(it: &Queued, members: &[Member]) -> Running {
    Running {
        job: it.job.clone(),
        customer: it.customer.clone(),
        class: it.class.clone(),
        per_task: it.gang.per_task,
        members: members.to_vec(),
        ran_for: Duration::ZERO,
        age: it.waited,
        declared: it.declared,
        repeatable: it.repeatable,
        checkpointable: it.checkpointable,
        stopping: false,
    }
}
