//! Simulation of gangs in one availability zone, in virtual time and under one planner.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    sync::Arc,
};

use model::{AvailabilityZoneId, BackendServerId, Duration, Incarnation, JobId, Member, Moment, OperatorFile, RackId};
use policy::{Decision, Finished, FreeCapacity, Planner, Queued, Running, Server, Snapshot};

use crate::{measure::Measures, workload::Arrival};

/// Delay from the decision to the start of a gang: three round trips and their processing.
pub const START: Duration = Duration::from_millis(100);
/// Delay from the decision to preempt a gang with a checkpoint to its end.
pub const CHECKPOINT: Duration = Duration::from_millis(1000);
/// Delay from the decision to preempt a gang without a checkpoint to its end.
const STOP: Duration = Duration::from_millis(100);
/// Run time after which a gang fails on a backend server that fails every task.
const FAIL_AFTER: Duration = Duration::from_secs(10);
/// Consecutive failures on a backend server after which it is quarantined, under every planner.
const MAX_CONSECUTIVE_FAILURES: usize = 3;
/// Duration of a quarantine.
const QUARANTINE: Duration = Duration::from_secs(1800);
/// Number of failed runs after which a job ends as failed.
const MAX_FAILURES: u32 = 3;
/// Half of the longest time between plans while jobs wait and gangs run.
const REPLAN: Duration = Duration::from_secs(2);

/// Fault or disturbance during a replay.
#[derive(Debug, Clone)]
pub enum Disturbance {
    /// A backend server fails every task that it starts.
    FailAll {
        /// The backend server.
        server: BackendServerId,
        /// Start of the fault.
        from: Moment,
        /// End of the fault.
        until: Moment,
    },
    /// A rack is lost, with all gangs that have a member on it.
    LostRack {
        /// The rack.
        rack: RackId,
        /// Start of the fault.
        from: Moment,
        /// End of the fault.
        until: Moment,
    },
    /// Callers cancel a share of the waiting jobs at once.
    CancelBurst {
        /// Time of the cancellations.
        at: Moment,
        /// Share of the waiting jobs, above 0 and at most 1.
        share: f64,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A job arrives.
    Arrive(usize),
    /// A disturbance starts (`true`) or ends (`false`).
    Disturbance(usize, bool),
    /// The quarantine of a backend server ends.
    EndQuarantine(usize),
    /// A gang ends. The second number is that of its start, to ignore events of earlier starts.
    End(usize, u64),
    /// A plan is made even though nothing else has changed.
    Replan,
}

/// State of a job that has not ended.
struct Waiting {
    /// Time of the arrival, from which the planner counts the wait.
    since: Moment,
    /// Work saved by checkpoints.
    done: Duration,
    failures: u32,
    started: bool,
    /// Whether the job was entitled to a guaranteed shape on arrival.
    entitled: bool,
}

struct Gang {
    began: Moment,
    members: Vec<Member>,
    /// Number of the start, or of the preemption that replaced its end.
    start: u64,
    ending: Ending,
    state: Waiting,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Ending {
    Done,
    /// The gang fails on this backend server.
    Failed(usize),
    Preempted,
}

/// One replay of arrivals in an availability zone. Backend servers and arrivals are identified by their indices.
pub struct Sim<'a> {
    file: Arc<OperatorFile>,
    zone: AvailabilityZoneId,
    servers: Vec<Server>,
    arrivals: &'a [Arrival],
    disturbances: &'a [Disturbance],
    planner: Box<dyn Planner>,
    now: Moment,
    events: BinaryHeap<Reverse<(Moment, Event)>>,
    waiting: BTreeMap<usize, Waiting>,
    running: BTreeMap<usize, Gang>,
    /// Backend servers that fail every task.
    failing: BTreeSet<usize>,
    /// Backend servers of lost racks.
    lost: BTreeSet<usize>,
    quarantined: BTreeSet<usize>,
    /// Consecutive failures by backend server.
    failures: BTreeMap<usize, usize>,
    starts: u64,
    is_replan_scheduled: bool,
    /// Whether each arrival fits into the empty availability zone.
    possible: Vec<bool>,
    measures: Measures,
}

impl<'a> Sim<'a> {
    /// Creates a replay of `arrivals` in one availability zone of an operators' file, with the given disturbances.
    pub fn new(
        file: &Arc<OperatorFile>,
        zone: &AvailabilityZoneId,
        arrivals: &'a [Arrival],
        disturbances: &'a [Disturbance],
        planner: Box<dyn Planner>,
    ) -> Sim<'a> {
        let here = file.backend_servers.values().filter(|s| s.availability_zone == *zone);
        let servers: Vec<Server> = here
            .map(|s| Server { id: s.id.clone(), rack: s.rack.clone(), resources: s.resources, open: true })
            .collect();
        let mut events = BinaryHeap::new();
        events.extend(arrivals.iter().enumerate().map(|(n, it)| Reverse((it.at, Event::Arrive(n)))));
        for (n, disturbance) in disturbances.iter().enumerate() {
            let (from, until) = match disturbance {
                Disturbance::FailAll { from, until, .. } | Disturbance::LostRack { from, until, .. } => {
                    (*from, Some(*until))
                }
                Disturbance::CancelBurst { at, .. } => (*at, None),
            };
            events.push(Reverse((from, Event::Disturbance(n, true))));
            events.extend(until.map(|until| Reverse((until, Event::Disturbance(n, false)))));
        }
        let empty = FreeCapacity::empty(&servers);
        let possible = arrivals.iter().map(|it| empty.check_ever_fits(&it.gang).is_ok()).collect();
        Sim {
            file: Arc::clone(file),
            zone: zone.clone(),
            servers,
            arrivals,
            disturbances,
            planner,
            now: Moment::ZERO,
            events,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            failing: BTreeSet::new(),
            lost: BTreeSet::new(),
            quarantined: BTreeSet::new(),
            failures: BTreeMap::new(),
            starts: 0,
            is_replan_scheduled: false,
            possible,
            measures: Measures::default(),
        }
    }

    /// Runs the replay until no event is left, and returns its measures.
    ///
    /// Panics if the planner starts a job that isn't waiting, stops work that may not be stopped, or exceeds the
    /// resources of a backend server.
    pub fn run(mut self) -> Measures {
        while let Some(Reverse((at, event))) = self.events.pop() {
            self.account(at);
            self.now = at;
            self.handle_event(event);
            // The planner runs once all events of the same time are handled.
            let more = self.events.peek().is_some_and(|Reverse((next, _))| *next == at);
            if !more {
                self.plan();
            }
        }
        self.measures.left_waiting = self.waiting.len();
        self.measures
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive(n) => self.arrive(n),
            Event::Disturbance(n, on) => self.set_disturbance(n, on),
            Event::EndQuarantine(i) => {
                self.quarantined.remove(&i);
                self.failures.remove(&i);
            }
            Event::End(n, start) => {
                if self.running.get(&n).is_some_and(|gang| gang.start == start) {
                    self.end(n);
                }
            }
            Event::Replan => self.is_replan_scheduled = false,
        }
    }

    fn arrive(&mut self, n: usize) {
        let entitled = self.is_entitled(n);
        let state = Waiting { since: self.now, done: Duration::ZERO, failures: 0, started: false, entitled };
        self.waiting.insert(n, state);
        self.measures.arrived += 1;
    }

    /// Returns whether a job is entitled to a guaranteed shape: its customer has no other job that runs or waits, no
    /// backend server is faulty, and the job fits within one of the customer's guaranteed gangs. Such a job must
    /// start within the time of a checkpoint.
    fn is_entitled(&self, n: usize) -> bool {
        let it = &self.arrivals[n];
        let Some(customer) = self.file.customers.get(&it.customer) else { return false };
        let only_job =
            self.running.keys().chain(self.waiting.keys()).all(|m| self.arrivals[*m].customer != it.customer);
        let no_faults = self.lost.is_empty() && self.quarantined.is_empty() && self.failing.is_empty();
        let guaranteed = customer.guarantees.iter().any(|g| {
            g.availability_zone == self.zone
                && it.gang.tasks <= g.gang.tasks
                && it.gang.within >= g.gang.within
                && g.gang.per_task.contains(&it.gang.per_task)
        });
        only_job && no_faults && guaranteed
    }

    fn set_disturbance(&mut self, n: usize, on: bool) {
        match &self.disturbances[n] {
            Disturbance::FailAll { server, .. } => {
                let i = self.index(server);
                if on {
                    self.failing.insert(i);
                } else {
                    self.failing.remove(&i);
                }
            }
            Disturbance::LostRack { rack, .. } => {
                let in_rack: Vec<usize> = (0..self.servers.len()).filter(|i| self.servers[*i].rack == *rack).collect();
                for i in in_rack {
                    if on {
                        self.lost.insert(i);
                    } else {
                        self.lost.remove(&i);
                    }
                }
                self.lose_gangs();
            }
            Disturbance::CancelBurst { share, .. } => {
                let jobs: Vec<usize> = self.waiting.keys().copied().collect();
                let every = (1.0 / share).round().max(1.0) as usize;
                for n in jobs.into_iter().step_by(every) {
                    self.waiting.remove(&n);
                    self.measures.cancelled += 1;
                }
            }
        }
    }

    fn index(&self, id: &BackendServerId) -> usize {
        self.servers.iter().position(|s| s.id == *id).expect("disturbances name backend servers of the file")
    }

    /// Ends the gangs with a member on a lost backend server, and requeues their jobs.
    fn lose_gangs(&mut self) {
        let affected = |gang: &Gang| gang.members.iter().any(|m| self.lost.contains(&self.index(&m.server)));
        let lost: Vec<usize> = self.running.iter().filter(|(_, gang)| affected(gang)).map(|(n, _)| *n).collect();
        for n in lost {
            let gang = self.running.remove(&n).expect("the gang was just read");
            self.measures.lose(&self.arrivals[n], self.now.since(gang.began));
            self.waiting.insert(n, gang.state);
        }
    }

    fn end(&mut self, n: usize) {
        let gang = self.running.remove(&n).expect("the caller has read the gang");
        let it = &self.arrivals[n];
        let ran = self.now.since(gang.began);
        let mut state = gang.state;
        match gang.ending {
            Ending::Done => {
                self.planner.learn(&Finished {
                    customer: it.customer.clone(),
                    class: it.class.clone(),
                    declared: it.declared,
                    ran_for: state.done + ran,
                });
                for member in &gang.members {
                    let i = self.index(&member.server);
                    self.failures.remove(&i);
                }
                self.measures.done(it, self.now.since(it.at));
            }
            Ending::Failed(i) => {
                state.failures += 1;
                self.measures.failed_runs += 1;
                self.record_failure(i);
                if state.failures >= MAX_FAILURES || !it.repeatable {
                    self.measures.failed += 1;
                } else {
                    self.waiting.insert(n, state);
                }
            }
            Ending::Preempted => {
                self.measures.preempted += 1;
                if it.checkpointable {
                    state.done += ran.min(it.actual);
                } else {
                    self.measures.lose(it, ran);
                }
                self.waiting.insert(n, state);
            }
        }
    }

    /// Counts a failure on a backend server, and quarantines it after too many.
    fn record_failure(&mut self, i: usize) {
        let failures = self.failures.entry(i).or_default();
        *failures += 1;
        if *failures >= MAX_CONSECUTIVE_FAILURES && self.quarantined.insert(i) {
            self.events.push(Reverse((self.now + QUARANTINE, Event::EndQuarantine(i))));
        }
    }

    fn plan(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        let snapshot = self.snapshot();
        let started = std::time::Instant::now();
        let decisions = self.planner.plan(&snapshot);
        self.measures.planned(started.elapsed());
        for decision in decisions {
            match decision {
                Decision::Start { job, members } => self.start(job.serial as usize, members),
                Decision::Preempt { job, .. } => self.preempt(job.serial as usize),
                Decision::Refuse { job, .. } => {
                    self.waiting.remove(&(job.serial as usize));
                    self.measures.refused += 1;
                }
            }
        }
        if !self.waiting.is_empty() && !self.is_replan_scheduled && !self.running.is_empty() {
            self.is_replan_scheduled = true;
            self.events.push(Reverse((self.now + REPLAN + REPLAN, Event::Replan)));
        }
    }

    fn snapshot(&self) -> Snapshot {
        let mut servers = self.servers.clone();
        for (i, server) in servers.iter_mut().enumerate() {
            server.open = !self.lost.contains(&i) && !self.quarantined.contains(&i);
        }
        let running = self.running.iter().map(|(n, gang)| {
            let it = &self.arrivals[*n];
            Running {
                job: job_id(*n),
                customer: it.customer.clone(),
                class: it.class.clone(),
                per_task: it.gang.per_task,
                members: gang.members.clone(),
                ran_for: self.now.since(gang.began),
                age: self.now.since(it.at),
                declared: it.declared,
                repeatable: it.repeatable,
                checkpointable: it.checkpointable,
                stopping: gang.ending == Ending::Preempted,
            }
        });
        let queue = self.waiting.iter().map(|(n, state)| {
            let it = &self.arrivals[*n];
            Queued {
                job: job_id(*n),
                customer: it.customer.clone(),
                class: it.class.clone(),
                gang: it.gang,
                declared: it.declared,
                waited: self.now.since(state.since),
                repeatable: it.repeatable,
                checkpointable: it.checkpointable,
                avoid: BTreeSet::new(),
            }
        });
        Snapshot { file: Arc::clone(&self.file), servers, running: running.collect(), queue: queue.collect() }
    }

    fn start(&mut self, n: usize, members: Vec<Member>) {
        let mut state = self.waiting.remove(&n).expect("the planner starts only waiting jobs");
        let it = &self.arrivals[n];
        let began = self.now + START;
        if !state.started {
            state.started = true;
            self.measures.started(it, began.since(it.at), state.entitled);
        }
        let bad = members.iter().map(|m| self.index(&m.server)).find(|i| self.failing.contains(i));
        let left = Duration::from_millis(it.actual.millis().saturating_sub(state.done.millis()).max(1));
        let (ending, length) = match bad {
            Some(i) if left > FAIL_AFTER => (Ending::Failed(i), FAIL_AFTER),
            _ => (Ending::Done, left),
        };
        self.starts += 1;
        self.events.push(Reverse((began + length, Event::End(n, self.starts))));
        self.running.insert(n, Gang { began, members, start: self.starts, ending, state });
        self.check_capacity();
    }

    fn preempt(&mut self, n: usize) {
        let Some(gang) = self.running.get_mut(&n) else { return };
        if gang.ending == Ending::Preempted {
            return;
        }
        let it = &self.arrivals[n];
        assert!(
            it.repeatable || it.checkpointable,
            "the planner preempted a job that is neither repeatable nor checkpointable"
        );
        gang.ending = Ending::Preempted;
        self.starts += 1;
        gang.start = self.starts;
        let delay = if it.checkpointable { CHECKPOINT } else { STOP };
        self.events.push(Reverse((self.now.max(gang.began) + delay, Event::End(n, self.starts))));
    }

    /// Checks that no backend server runs more than its resources allow.
    fn check_capacity(&self) {
        let mut used = vec![model::Resources::default(); self.servers.len()];
        for (n, gang) in &self.running {
            for member in &gang.members {
                used[self.index(&member.server)] += self.arrivals[*n].gang.per_task.times(member.tasks);
            }
        }
        for (server, used) in self.servers.iter().zip(&used) {
            assert!(server.resources.contains(used), "{} runs {used}, which exceeds its resources", server.id);
        }
    }

    /// Records fragmentation and use of the accelerators for the time since the last event.
    fn account(&mut self, until: Moment) {
        let span = until.since(self.now).secs_f64();
        if span <= 0.0 {
            return;
        }
        let mut free_capacity = FreeCapacity::empty(&self.servers);
        for (n, gang) in &self.running {
            free_capacity.take(&gang.members, &self.arrivals[*n].gang.per_task);
        }
        let waiting = self.waiting.keys().filter(|n| self.possible[**n]).map(|n| self.arrivals[*n].gang);
        let guaranteed =
            self.file.customers.values().flat_map(|c| &c.guarantees).filter(|g| g.availability_zone == self.zone);
        let largest = waiting.chain(guaranteed.map(|g| g.gang)).max_by_key(|gang| gang.total().accelerators);
        let Some(largest) = largest else { return };
        let (mut free, mut usable) = (0, 0);
        for rack in free_capacity.racks() {
            let here: u32 = rack.iter().map(|i| free_capacity.free(*i).accelerators).sum();
            let tasks: u32 = rack.iter().map(|i| free_capacity.fits(*i, &largest.per_task)).sum();
            free += here;
            usable += tasks / largest.tasks * largest.total().accelerators;
        }
        let capacity: u32 = self.servers.iter().map(|s| s.resources.accelerators).sum();
        self.measures.account(span, free, usable.min(free), capacity, !self.waiting.is_empty());
    }
}

fn job_id(n: usize) -> JobId {
    JobId { minted_by: "replay".parse().expect("a valid id"), incarnation: Incarnation(1), serial: n as u64 }
}
