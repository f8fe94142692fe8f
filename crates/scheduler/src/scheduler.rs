//! State of the scheduler, and its basic events: jobs added and cancelled, policy changes, the passing of time.

use std::collections::{BTreeMap, BTreeSet};

use jobs::{Fence, Job, JobId, JobState, OccurrenceId, QueueId, ServiceId};
use model::{BackendServerId, CustomerId, Duration, Moment};

use crate::{
    archive::Archived,
    crashes::LapsedLeases,
    departures::Departures,
    evacuation::Evacuations,
    fleet_capacity::FleetCapacity,
    headroom::StopDurations,
    held_jobs::HeldJob,
    learned::Learned,
    maintenance::Maintenance,
    observations::Observation,
    orders::Order,
    overdue_stops::OverdueStops,
    pending_writes::PendingWrites,
    permits::PermitBook,
    policy::Policy,
    queue_policies::StoredQueuePolicies,
    ready::ReadySteps,
    run_state::{IsolatedRetry, JobEntry, StopReason},
    run_time::QueueRatio,
    server::Server,
    sharing::Sharing,
    speed::FleetSpeed,
    stalled::{Stalled, StalledCounts},
    timing::Timing,
    unreachable::Unreachable,
    witnesses::Witnesses,
};

/// Shortest time between two checks of leases and stops; well below the times that they check.
const CHECK_INTERVAL: Duration = Duration::from_millis(90);

/// Sizes of the scheduler's state, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs that have not ended.
    pub open_jobs: usize,
    /// Backend servers that the scheduler tracks.
    pub servers: usize,
    /// Backend servers that have not responded under this fencing token.
    pub unheard_servers: usize,
    /// Occurrences with a step that could start but is held back or finds no free capacity.
    pub waiting: usize,
    /// Stalled occurrences: nothing of them has run for long, although something could.
    pub standing: usize,
    /// The same, by what they wait for.
    pub stalled: StalledCounts,
    /// Runs that have not ended long after their stop was decided.
    pub overdue_stops: usize,
    /// Occurrences with changes that the store does not hold yet.
    pub unstored: usize,
    /// Occurrences evaluated again by plans since the election; a plan evaluates those that have changed.
    pub refreshed: u64,
}

/// State of the active scheduler.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) fence: Fence,
    pub(crate) elected: Moment,
    /// Time by which every lease of an earlier scheduler has expired, for backend servers without a tighter bound.
    pub(crate) earlier_lease_expiry: Moment,
    pub(crate) timing: Timing,
    pub(crate) policy: Policy,
    /// Record in the store of the policies of queues, for the next scheduler.
    pub(crate) stored_queue_policies: StoredQueuePolicies,
    pub(crate) jobs: BTreeMap<JobId, JobEntry>,
    pub(crate) servers: BTreeMap<BackendServerId, Server>,
    /// Jobs that run or may still run.
    pub(crate) open_jobs: BTreeSet<JobId>,
    /// Jobs that have ended and are still in the submission records.
    pub(crate) finished_jobs: BTreeSet<JobId>,
    /// Jobs that have ended and have left the submission records.
    pub(crate) archived: BTreeMap<JobId, Archived>,
    /// Jobs of which a record cannot be read.
    pub(crate) held_jobs: BTreeMap<JobId, HeldJob>,
    /// Progress in the store whose job no longer exists.
    pub(crate) orphans: BTreeSet<OccurrenceId>,
    /// Jobs cancelled before they were submitted; a mark in the store rejects their later submission.
    pub(crate) cancelled_before_submission: BTreeMap<JobId, Moment>,
    /// Occurrences changed since the last plan.
    pub(crate) changed: BTreeSet<OccurrenceId>,
    /// Steps that could start, by occurrence.
    pub(crate) ready: BTreeMap<OccurrenceId, ReadySteps>,
    /// Number of occurrences that plans have evaluated again since the election.
    pub(crate) refreshed: u64,
    /// Free capacity as of the latest plan.
    pub(crate) fleet: FleetCapacity,
    /// Backend servers whose free capacity may have changed since the latest plan.
    pub(crate) stale_servers: Vec<BackendServerId>,
    /// Backend servers whose free capacity changes with time alone.
    pub(crate) time_dependent: Vec<BackendServerId>,
    /// Runs lost because their lease expired, on backend servers that may have crashed.
    pub(crate) lapsed: LapsedLeases,
    /// Occurrences of which nothing runs although something could.
    pub(crate) stalled: Stalled,
    /// Runs that have not ended long after their stop was decided.
    pub(crate) overdue_stops: OverdueStops,
    /// Backend servers that run a suspected task which has not outlived its start, each with the least advanced
    /// isolated retry there.
    pub(crate) isolated_retries: BTreeMap<BackendServerId, IsolatedRetry>,
    /// Record in the store of the unreachable backend servers, for the next scheduler.
    pub(crate) unreachable: Unreachable,
    /// Backend servers that confirm which scheduler is active.
    pub(crate) witnesses: Witnesses,
    /// Mean speed of the backend servers.
    pub(crate) fleet_speed: FleetSpeed,
    /// Learned ratio of actual to declared duration, by queue.
    pub(crate) queue_ratios: BTreeMap<QueueId, QueueRatio>,
    /// Fair shares of the services that are short of capacity.
    pub(crate) sharing: Sharing,
    /// How long recent stops have taken.
    pub(crate) stop_durations: StopDurations,
    /// What the store holds of the learned speeds and stop durations.
    pub(crate) learned: Learned,
    /// Whether something has happened that may let a group start.
    pub(crate) plan_requested: bool,
    /// When leases and stops were last checked.
    last_check: Moment,
    /// Occurrences whose current progress is not stored yet.
    pub(crate) pending_writes: PendingWrites,
    /// Occurrences with a write in flight.
    pub(crate) writes_in_flight: BTreeSet<OccurrenceId>,
    /// Occurrences whose progress has been stored and that may have starts to send.
    pub(crate) unsent_starts: BTreeSet<OccurrenceId>,
    pub(crate) orders: Vec<Order>,
    /// Maintenance batches requested by operators.
    pub(crate) maintenance: Maintenance,
    /// Evidence of backend servers that have ended, and announced departures.
    pub(crate) departures: Departures,
    /// Evacuated availability zones, where nothing starts.
    pub(crate) evacuations: Evacuations,
    /// Answers of the placement permit service, and requests to send to it.
    pub(crate) permits: PermitBook,
    pub(crate) observations: Vec<Observation>,
    /// Both clocks as of the latest plan: this process's monotonic clock, and milliseconds since 1970.
    pub(crate) plan_clocks: (Moment, u64),
    pub(crate) lost_leadership: bool,
}

impl Scheduler {
    /// Creates a scheduler that was elected at `elected` and holds the fencing token `fence`. It has no state yet.
    pub fn new(fence: Fence, elected: Moment, timing: Timing, policy: Policy) -> Scheduler {
        Scheduler {
            fence,
            elected,
            earlier_lease_expiry: timing.earlier_lease_expiry(elected),
            timing,
            sharing: Sharing::new(&policy),
            policy,
            stored_queue_policies: StoredQueuePolicies::default(),
            jobs: BTreeMap::new(),
            open_jobs: BTreeSet::new(),
            finished_jobs: BTreeSet::new(),
            archived: BTreeMap::new(),
            held_jobs: BTreeMap::new(),
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
            overdue_stops: OverdueStops::default(),
            fleet_speed: FleetSpeed::default(),
            queue_ratios: BTreeMap::new(),
            stop_durations: StopDurations::initial(),
            learned: Learned::new(),
            plan_requested: false,
            last_check: elected,
            servers: BTreeMap::new(),
            pending_writes: PendingWrites::default(),
            writes_in_flight: BTreeSet::new(),
            unsent_starts: BTreeSet::new(),
            orders: Vec::new(),
            maintenance: Maintenance::default(),
            departures: Departures::default(),
            evacuations: Evacuations::default(),
            permits: PermitBook::default(),
            observations: Vec::new(),
            plan_clocks: (elected, 0),
            lost_leadership: false,
        }
    }

    /// Returns the fencing token.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Whether a backend server has accepted the fencing token of a later scheduler.
    pub fn lost_leadership(&self) -> bool {
        self.lost_leadership
    }

    /// Applies a changed configuration. Queues that it no longer names keep their last policy, for the jobs already
    /// accepted there.
    pub fn set_policy(&mut self, policy: Policy) {
        let with_jobs: BTreeSet<&QueueId> = self.jobs.values().map(|entry| &entry.job.queue).collect();
        self.policy.replace(policy, |queue| with_jobs.contains(queue));
        self.apply_queue_policies();
    }

    /// Applies changed policies of queues to the jobs accepted there.
    pub(crate) fn apply_queue_policies(&mut self) {
        for entry in self.jobs.values_mut() {
            entry.priority = self.policy.priority(&entry.job.queue);
        }
        self.reset_sharing();
        self.plan_requested = true;
    }

    /// Whether a queue uses a service: one that is configured, or a removed one with a known policy.
    pub fn uses_service(&self, service: &ServiceId) -> bool {
        self.policy.queues.values().any(|queue| queue.service == *service)
    }

    /// Returns and clears whether something has happened, since the last call, that may let a group start.
    pub fn take_plan_request(&mut self) -> bool {
        std::mem::take(&mut self.plan_requested)
    }

    /// Adds a job that the store holds. Idempotent.
    pub fn add_job(&mut self, mut job: Job) {
        let id = job.id;
        if self.jobs.contains_key(&id) || self.archived.contains_key(&id) || self.held_jobs.contains_key(&id) {
            return;
        }
        self.learn_queue_policy(&mut job);
        let priority = self.policy.priority(&job.queue);
        let mut entry = JobEntry::new(job, priority);
        entry.update_chains(&self.queue_ratios);
        entry.account = self.sharing.account(&entry.job, &self.policy);
        self.changed.extend(entry.occurrence_ids());
        self.jobs.insert(id, entry);
        self.open_jobs.insert(id);
        self.plan_requested = true;
    }

    /// Learns the policy that a job's queue had when the job was submitted. This scheduler may not have seen that
    /// configuration: it may have been elected later, or the configuration may have changed twice in a row.
    /// The policy is taken from the job, since this scheduler keeps one for all jobs of a queue.
    fn learn_queue_policy(&mut self, job: &mut Job) {
        let Some(policy) = job.policy.take() else { return };
        if self.policy.learn(&job.queue, &policy) {
            log::info!(
                "job={} event=queue_learned queue={} version={} config={} fence={}",
                job.id,
                job.queue,
                policy.version,
                self.policy.version,
                self.fence
            );
            self.apply_queue_policies();
        }
    }

    /// Cancels a job whose cancellation the store holds. Idempotent. A job that is not tracked yet is recorded as
    /// cancelled before its submission.
    pub fn cancel(&mut self, id: JobId, now: Moment) {
        if self.archived.contains_key(&id) || self.cancel_held(id) {
            return;
        }
        let Some(entry) = self.jobs.get_mut(&id) else {
            self.cancelled_before_submission.entry(id).or_insert(now);
            return;
        };
        if std::mem::replace(&mut entry.cancelled, true) {
            return;
        }
        let had_ended = entry.ended_at.replace(now).is_some();
        self.changed.extend(entry.occurrence_ids());
        self.plan_requested = true;
        log::info!("job={id} event=cancelled fence={}", self.fence);
        for name in self.group_ids(id) {
            self.stop_group(name, StopReason::Cancelled, now);
        }
        if !had_ended {
            self.observe_job_end(id, JobState::Cancelled, now);
        }
    }

    /// Returns the state of a job as callers may see it, and its customer; `None` if the job is not tracked.
    pub fn job_status(&self, id: JobId) -> Option<(JobState, Option<&CustomerId>)> {
        if let Some(entry) = self.jobs.get(&id) {
            return Some((entry.state(), entry.job.customer.as_ref()));
        }
        let record = &self.archived.get(&id)?.record;
        Some((record.state, record.customer.as_ref()))
    }

    /// Returns how many accepted jobs of a queue have not started.
    pub fn waiting(&self, queue: &QueueId) -> usize {
        let waits = |entry: &&JobEntry| entry.job.queue == *queue && entry.state() == JobState::Queued;
        self.open_jobs.iter().map(|id| &self.jobs[id]).filter(waits).count()
    }

    /// Returns the sizes of the state, for metrics.
    pub fn counts(&self) -> Counts {
        Counts {
            open_jobs: self.open_jobs.len(),
            servers: self.servers.len(),
            unheard_servers: self.servers.values().filter(|server| !server.has_reported).count(),
            waiting: self.ready.len(),
            standing: self.stalled.long.total(),
            stalled: self.stalled.long,
            overdue_stops: self.overdue_stops.len(),
            unstored: self.pending_writes.len(),
            refreshed: self.refreshed,
        }
    }

    /// Returns and removes the orders to send now.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// Handles the passing of time: lapses runs whose lease has expired, repeats stops, and detects stalled jobs.
    pub fn tick(&mut self, now: Moment) {
        if now.since(self.last_check) < CHECK_INTERVAL {
            return;
        }
        self.last_check = now;
        let expired: Vec<BackendServerId> = self
            .servers
            .iter()
            .filter(|(_, server)| (server.failed_calls > 0 || !server.has_reported) && now >= server.lease_expiry)
            .map(|(id, _)| id.clone())
            .collect();
        self.lapsed.remove_expired(now);
        for id in expired {
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
        self.detect_overdue_stops(now);
        self.detect_stalled(now);
    }
}
