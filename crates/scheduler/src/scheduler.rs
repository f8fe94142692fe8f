//! The scheduler's state and what changes it.

use std::collections::{BTreeMap, BTreeSet};

use jobs::{Fence, Job, JobId, JobState, OccurrenceId, QueueId};
use model::{BackendServerId, CustomerId, Duration, Moment};

use crate::{
    archive::Archived,
    crashes::LapsedLeases,
    evacuation::Evacuations,
    fleet_capacity::FleetCapacity,
    headroom::StopDurations,
    maintenance::Maintenance,
    observations::Observation,
    orders::Order,
    pending_writes::PendingWrites,
    permits::PermitBook,
    policy::Policy,
    ready::ReadySteps,
    run_state::{IsolatedRetry, JobEntry, StopReason},
    server::Server,
    speed::FleetSpeed,
    stalled::Stalled,
    timing::Timing,
    unreachable::Unreachable,
    witnesses::Witnesses,
};

/// Leases and stops are looked at this often at most: well below their own times.
const LOOK_EVERY: Duration = Duration::from_millis(90);

/// Sizes, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs that are not over.
    pub open_jobs: usize,
    /// Backend servers that are known.
    pub servers: usize,
    /// Backend servers that have not been heard under this fence.
    pub unheard_servers: usize,
    /// Occurrences of which something could start and is held back, or finds no room.
    pub waiting: usize,
    /// Occurrences of which nothing has run for long, though something could.
    pub standing: usize,
    /// Occurrences with changes that the store does not hold.
    pub unstored: usize,
    /// Occurrences that plans have looked at anew since the election: as many as have changed.
    pub refreshed: u64,
}

/// The state of the active scheduler.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) fence: Fence,
    pub(crate) elected: Moment,
    /// When every lease that an earlier scheduler can have given is over, if nothing more is known of a backend server.
    pub(crate) earlier_lease_expiry: Moment,
    pub(crate) timing: Timing,
    pub(crate) policy: Policy,
    pub(crate) jobs: BTreeMap<JobId, JobEntry>,
    pub(crate) servers: BTreeMap<BackendServerId, Server>,
    /// Jobs of which something runs or may run.
    pub(crate) open_jobs: BTreeSet<JobId>,
    /// Jobs that are over and stand in the intake still.
    pub(crate) finished_jobs: BTreeSet<JobId>,
    /// Jobs that are over and have left the intake.
    pub(crate) archived: BTreeMap<JobId, Archived>,
    /// Progress in the store that belongs to no job any more.
    pub(crate) orphans: BTreeSet<OccurrenceId>,
    /// Jobs that were cancelled before they came; the store holds a mark that keeps them from coming.
    pub(crate) cancelled_before_submission: BTreeMap<JobId, Moment>,
    /// Occurrences that were touched since the last plan.
    pub(crate) changed: BTreeSet<OccurrenceId>,
    /// What could start.
    pub(crate) ready: BTreeMap<OccurrenceId, ReadySteps>,
    /// How many occurrences plans have looked at anew.
    pub(crate) refreshed: u64,
    /// Room as of the latest plan.
    pub(crate) fleet: FleetCapacity,
    /// Backend servers whose rooms may have changed since.
    pub(crate) stale_servers: Vec<BackendServerId>,
    /// Backend servers whose rooms change with time.
    pub(crate) time_dependent: Vec<BackendServerId>,
    /// Runs that were lost with their lease, on backend servers that may have crashed.
    pub(crate) lapsed: LapsedLeases,
    /// Occurrences of which nothing runs although something could.
    pub(crate) stalled: Stalled,
    /// Backend servers where a suspect has not outlived its start, with the trial there that has come least far.
    pub(crate) isolated_retries: BTreeMap<BackendServerId, IsolatedRetry>,
    /// Backend servers that the next scheduler is told not to have been reached.
    pub(crate) unreachable: Unreachable,
    /// Backend servers that witness who schedules.
    pub(crate) witnesses: Witnesses,
    /// How fast backend servers work on the mean.
    pub(crate) fleet_speed: FleetSpeed,
    /// How long stops have taken lately.
    pub(crate) stop_durations: StopDurations,
    /// Something has happened that may let a group start.
    pub(crate) plan_requested: bool,
    /// When leases and stops were last looked at.
    last_look: Moment,
    /// Occurrences whose progress the store does not hold as it is.
    pub(crate) pending_writes: PendingWrites,
    /// Occurrences of which a write is under way.
    pub(crate) writes_in_flight: BTreeSet<OccurrenceId>,
    /// Occurrences that may have starts to send since the store took their progress.
    pub(crate) unsent_starts: BTreeSet<OccurrenceId>,
    pub(crate) orders: Vec<Order>,
    /// Waves of upkeep that operators have asked for.
    pub(crate) maintenance: Maintenance,
    /// Availability zones where nothing starts.
    pub(crate) evacuations: Evacuations,
    /// What the adviser has said, and what it is to be asked.
    pub(crate) permits: PermitBook,
    pub(crate) observations: Vec<Observation>,
    /// The clocks at the latest plan: this process's own, and the time of day.
    pub(crate) plan_clocks: (Moment, u64),
    pub(crate) lost_leadership: bool,
}

impl Scheduler {
    /// A scheduler elected at `elected` with `fence`. It knows nothing yet.
    pub fn new(fence: Fence, elected: Moment, timing: Timing, policy: Policy) -> Scheduler {
        Scheduler {
            fence,
            elected,
            earlier_lease_expiry: timing.earlier_lease_expiry(elected),
            timing,
            policy,
            jobs: BTreeMap::new(),
            open_jobs: BTreeSet::new(),
            finished_jobs: BTreeSet::new(),
            archived: BTreeMap::new(),
            orphans: BTreeSet::new(),
            cancelled_before_submission: BTreeMap::new(),
            changed: BTreeSet::new(),
            ready: BTreeMap::new(),
            refreshed: 0,
            fleet: FleetCapacity::default(),
            stale_servers: Vec::new(),
            time_dependent: Vec::new(),
            isolated_retries: BTreeMap::new(),
            unreachable: Unreachable::default(),
            witnesses: Witnesses::default(),
            lapsed: LapsedLeases::default(),
            stalled: Stalled::default(),
            fleet_speed: FleetSpeed::default(),
            stop_durations: StopDurations::initial(),
            plan_requested: false,
            last_look: elected,
            servers: BTreeMap::new(),
            pending_writes: PendingWrites::default(),
            writes_in_flight: BTreeSet::new(),
            unsent_starts: BTreeSet::new(),
            orders: Vec::new(),
            maintenance: Maintenance::default(),
            evacuations: Evacuations::default(),
            permits: PermitBook::default(),
            observations: Vec::new(),
            plan_clocks: (elected, 0),
            lost_leadership: false,
        }
    }

    /// The fencing token.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Whether a backend server obeys a later scheduler.
    pub fn lost_leadership(&self) -> bool {
        self.lost_leadership
    }

    /// The configuration has changed. Queues that it no longer names keep their last policy, for the jobs
    /// that they have taken.
    pub fn set_policy(&mut self, mut policy: Policy) {
        for (queue, old) in std::mem::take(&mut self.policy.queues) {
            policy.queues.entry(queue).or_insert(old);
        }
        self.policy = policy;
        for entry in self.jobs.values_mut() {
            entry.priority = self.policy.priority(&entry.job.queue);
        }
        self.plan_requested = true;
    }

    /// Whether something has happened, since this was last asked, that may let a group start.
    pub fn take_plan_request(&mut self) -> bool {
        std::mem::take(&mut self.plan_requested)
    }

    /// A job that the store holds. Told again, it changes nothing.
    pub fn add_job(&mut self, job: Job) {
        let id = job.id;
        let priority = self.policy.priority(&job.queue);
        if self.jobs.contains_key(&id) || self.archived.contains_key(&id) {
            return;
        }
        let entry = JobEntry::new(job, priority);
        self.changed.extend(entry.occurrence_ids());
        self.jobs.insert(id, entry);
        self.open_jobs.insert(id);
        self.plan_requested = true;
    }

    /// The caller does not want the job any more; the store holds that.
    pub fn cancel(&mut self, id: JobId, now: Moment) {
        if self.archived.contains_key(&id) {
            return;
        }
        let Some(entry) = self.jobs.get_mut(&id) else {
            self.cancelled_before_submission.entry(id).or_insert(now);
            return;
        };
        if std::mem::replace(&mut entry.cancelled, true) {
            return;
        }
        let over_before = entry.ended_at.replace(now).is_some();
        self.changed.extend(entry.occurrence_ids());
        self.plan_requested = true;
        log::info!("job={id} event=cancelled fence={}", self.fence);
        for name in self.group_names(id) {
            self.stop_group(name, StopReason::Cancelled, now);
        }
        if !over_before {
            self.observe_end(id, JobState::Cancelled, now);
        }
    }

    /// What a caller may be told, and whose the job is.
    pub fn job_status(&self, id: JobId) -> Option<(JobState, Option<&CustomerId>)> {
        if let Some(entry) = self.jobs.get(&id) {
            return Some((entry.state(), entry.job.customer.as_ref()));
        }
        let record = &self.archived.get(&id)?.record;
        Some((record.state, record.customer.as_ref()))
    }

    /// How many accepted jobs of a queue have not begun.
    pub fn waiting(&self, queue: &QueueId) -> usize {
        let waits = |entry: &&JobEntry| entry.job.queue == *queue && entry.state() == JobState::Queued;
        self.open_jobs.iter().map(|id| &self.jobs[id]).filter(waits).count()
    }

    /// Sizes, for metrics.
    pub fn counts(&self) -> Counts {
        Counts {
            open_jobs: self.open_jobs.len(),
            servers: self.servers.len(),
            unheard_servers: self.servers.values().filter(|server| !server.has_reported).count(),
            waiting: self.ready.len(),
            standing: self.stalled.long,
            unstored: self.pending_writes.len(),
            refreshed: self.refreshed,
        }
    }

    /// Orders to be sent now.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// Time has passed: lapses what no lease can keep, and repeats stops.
    pub fn tick(&mut self, now: Moment) {
        if now.since(self.last_look) < LOOK_EVERY {
            return;
        }
        self.last_look = now;
        let over: Vec<BackendServerId> = self
            .servers
            .iter()
            .filter(|(_, server)| (server.failed_calls > 0 || !server.has_reported) && now >= server.lease_expiry)
            .map(|(id, _)| id.clone())
            .collect();
        self.lapsed.remove_expired(now);
        for id in over {
            self.record_lapsed(&id, now);
            self.lapse_members(&id, "lease_over", now);
            self.unreachable.remove_pending(&id);
            if self.servers.get(&id).is_some_and(|server| !server.listed) {
                log::info!("server={id} event=forgotten why=lease_over");
                self.remove_server(&id);
            }
        }
        self.evacuate_long_running(now);
        self.repeat_stops(now);
        self.detect_stalled(now);
    }
}
