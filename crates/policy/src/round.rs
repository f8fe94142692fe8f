//! One planning round: it decides on the waiting jobs one after another and updates free resources as it goes.
//!
//! A job starts where it fits. Otherwise it waits for gangs that are already stopping, or has others stopped if
//! a guarantee, urgency or a long wait entitles it to that.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use model::{CustomerId, Duration, Member, Resources};

use crate::{
    Decision, FreeCapacity, Queued, Running, Snapshot,
    cells::Cells,
    estimate::Estimates,
    ledger::Ledger,
    place::best_fit,
    reclaim::{self, Reclaim},
    shadow::Shadow,
};

/// A gang is large if it takes at least this fraction of the largest rack. A large gang gets a shadow reservation.
const LARGE_RACK_FRACTION: f64 = 0.25;
/// Shadow reservations that may exist at once.
const MAX_SHADOWS: usize = 1;
/// A large gang is overdue after it has waited for this fraction of its estimated run time, within the bounds below.
const OVERDUE_FRACTION: f64 = 0.1;
/// Shortest wait before a large gang is overdue, so that it does not stop others for a gap that opens by itself.
const OVERDUE_WAIT_MIN: Duration = Duration::from_secs(30);
/// Longest wait before a large gang is overdue.
const OVERDUE_WAIT_MAX: Duration = Duration::from_secs(300);

/// Precedence of a job over others, the highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Precedence {
    /// The job fits a guaranteed shape that its customer does not use.
    Guaranteed,
    /// The job's class is urgent.
    Urgent,
    /// The job is large and has waited for long enough.
    Overdue,
    /// The job only has its position in the queue.
    None,
}

/// A gang that started less than this ago is not stopped for an overdue one.
const MIN_RUN_BEFORE_STOP: Duration = Duration::from_secs(60);

/// Properties that decide whether a job can be placed: within a round, once one job of a kind has failed to be
/// placed, the others of its kind are skipped.
type Kind = (CustomerId, u32, Resources, model::Within, bool, bool);

/// The state of a planning round.
pub(crate) struct Round<'a> {
    snapshot: &'a Snapshot,
    cells: &'a Cells,
    estimates: &'a Estimates,
    customer_indices: &'a BTreeMap<&'a CustomerId, usize>,
    /// Resources that are free now.
    free_capacity: FreeCapacity,
    /// Resources that are free now or once gangs that are stopping have ended.
    free_soon: FreeCapacity,
    ledger: Ledger,
    stopped: Vec<bool>,
    /// Size from which on a gang is large, in accelerators, or in cores if it needs none.
    large_size: f64,
    shadows: Vec<Shadow>,
    failed_kinds: HashSet<Kind>,
    pub(crate) decisions: Vec<Decision>,
}

impl<'a> Round<'a> {
    pub(crate) fn new(
        snapshot: &'a Snapshot,
        cells: &'a Cells,
        estimates: &'a Estimates,
        customer_indices: &'a BTreeMap<&'a CustomerId, usize>,
    ) -> Round<'a> {
        let free_capacity = FreeCapacity::remaining(&snapshot.servers, &snapshot.running);
        let mut free_soon = free_capacity.clone();
        for gang in snapshot.running.iter().filter(|gang| gang.stopping) {
            free_soon.give(&gang.members, &gang.per_task);
        }
        let ledger = Ledger::of(&free_capacity, &snapshot.running, |customer| customer_indices.get(customer).copied());
        let rack_size = |rack: &Vec<usize>| rack.iter().map(|i| size(&free_capacity.capacity(*i))).sum::<u32>();
        let largest = free_capacity.racks().iter().map(rack_size).max().unwrap_or(0);
        let large_size = f64::from(largest) * LARGE_RACK_FRACTION;
        let stopped = snapshot.running.iter().map(|gang| gang.stopping).collect();
        Round {
            snapshot,
            cells,
            estimates,
            customer_indices,
            free_capacity,
            free_soon,
            ledger,
            stopped,
            large_size,
            shadows: Vec::new(),
            failed_kinds: HashSet::new(),
            decisions: Vec::new(),
        }
    }

    pub(crate) fn likely(&self, queued: &Queued) -> Duration {
        self.estimates.likely(&queued.customer, &queued.class, queued.declared)
    }

    pub(crate) fn used_accelerators(&self) -> u32 {
        self.snapshot
            .running
            .iter()
            .map(|g| g.per_task.accelerators * g.members.iter().map(|m| m.tasks).sum::<u32>())
            .sum()
    }

    pub(crate) fn accelerators_of(&self, customer: &CustomerId) -> u32 {
        self.customer_index(customer).map_or(0, |n| self.ledger.total(n).accelerators)
    }

    fn customer_index(&self, customer: &CustomerId) -> Option<usize> {
        self.customer_indices.get(customer).copied()
    }

    /// Decides on one waiting job and records the decision, if there is one.
    pub(crate) fn consider(&mut self, queued: &Queued) {
        let Some(customer) = self.customer_index(&queued.customer) else { return };
        if let Err(e) = self.free_capacity.check_ever_fits(&queued.gang) {
            self.decisions.push(Decision::Refuse { job: queued.job.clone(), why: e.to_string() });
            return;
        }
        if !self.within_quota(customer, queued) {
            return;
        }
        let overdue = self.is_overdue(queued);
        let kind = kind(queued, overdue);
        if self.failed_kinds.contains(&kind) {
            return;
        }
        if let Some(members) = self.place(customer, queued) {
            return self.start(customer, queued, members);
        }
        // Reserves for this job what becomes free once stopping gangs have ended.
        if let Some(members) = self.place_when_stopped(queued) {
            return self.reserve(queued, &members);
        }
        if let Some((reclaim, indices)) = self.reclaim(customer, queued, overdue) {
            return self.stop_for(queued, &reclaim, &indices);
        }
        self.failed_kinds.insert(kind);
        if self.is_large(queued) && self.shadows.len() < MAX_SHADOWS {
            self.add_shadow(queued);
        }
    }

    /// Returns the precedence of a job. Jobs of lower precedence are considered later, so that they can't take what was
    /// freed for one of higher precedence.
    pub(crate) fn precedence(&self, queued: &Queued) -> Precedence {
        if self.has_unused_cell(queued) {
            return Precedence::Guaranteed;
        }
        if self.is_urgent(queued) {
            return Precedence::Urgent;
        }
        if self.is_overdue(queued) { Precedence::Overdue } else { Precedence::None }
    }

    fn within_quota(&self, customer: usize, queued: &Queued) -> bool {
        let quota = self.snapshot.file.customers.get(&queued.customer).and_then(|c| c.quota);
        quota.is_none_or(|quota| quota.contains(&(self.ledger.total(customer) + queued.gang.total())))
    }

    fn is_urgent(&self, queued: &Queued) -> bool {
        self.snapshot.file.classes.get(&queued.class).is_some_and(|class| class.urgent)
    }

    fn is_large(&self, queued: &Queued) -> bool {
        f64::from(size(&queued.gang.total())) >= self.large_size
    }

    /// Whether a large gang has waited for long enough to stop gangs that overtook it.
    fn is_overdue(&self, queued: &Queued) -> bool {
        let overdue_wait = self.likely(queued).scaled(OVERDUE_FRACTION).clamp(OVERDUE_WAIT_MIN, OVERDUE_WAIT_MAX);
        self.is_large(queued) && queued.waited >= overdue_wait
    }

    /// Returns how many of a job's tasks can be placed on a backend server now.
    fn tasks_accepted(&self, customer: usize, queued: &Queued, likely: Duration, i: usize) -> u32 {
        let fits = self.free_capacity.fits(i, &queued.gang.per_task);
        if fits == 0 || self.is_reserved_for_another(queued, likely, i) {
            return 0;
        }
        if queued.preemptible() {
            return fits;
        }
        fits.min(self.ledger.pinnable(&self.free_capacity, self.cells, i, customer).count_of(&queued.gang.per_task))
    }

    /// Whether a shadow reservation covers a backend server and the job would probably still run when it is due.
    fn is_reserved_for_another(&self, queued: &Queued, likely: Duration, i: usize) -> bool {
        // A checkpointable job may use the reserved resources until the reservation is due.
        if self.is_urgent(queued) || queued.checkpointable {
            return false;
        }
        self.shadows.iter().any(|shadow| shadow.covers(i) && likely > shadow.after)
    }

    fn place(&self, customer: usize, queued: &Queued) -> Option<Vec<Member>> {
        let likely = self.likely(queued);
        best_fit(&self.free_capacity, &queued.gang, &queued.avoid, |i| self.tasks_accepted(customer, queued, likely, i))
    }

    fn place_when_stopped(&self, queued: &Queued) -> Option<Vec<Member>> {
        if !queued.preemptible() {
            return None;
        }
        best_fit(&self.free_soon, &queued.gang, &queued.avoid, |i| self.free_soon.fits(i, &queued.gang.per_task))
    }

    fn start(&mut self, customer: usize, queued: &Queued, members: Vec<Member>) {
        let per_task = queued.gang.per_task;
        self.free_capacity.take(&members, &per_task);
        self.free_soon.take(&members, &per_task);
        self.ledger.add(&self.free_capacity, customer, &members, &per_task, queued.preemptible());
        self.decisions.push(Decision::Start { job: queued.job.clone(), members });
    }

    fn reserve(&mut self, queued: &Queued, members: &[Member]) {
        self.free_capacity.take(members, &queued.gang.per_task);
        self.free_soon.take(members, &queued.gang.per_task);
    }

    /// Selects the gangs to stop for a job: the cheapest set that its guarantee, urgency or waiting time allows.
    fn reclaim(&self, customer: usize, queued: &Queued, overdue: bool) -> Option<(Reclaim, Vec<usize>)> {
        if let Some(found) = self.reclaim_cell(customer, queued) {
            return Some(found);
        }
        if self.is_urgent(queued) {
            return self.reclaim_from(queued, |it| !self.is_urgent_gang(it));
        }
        if overdue {
            // Gangs that were accepted after this job have overtaken it. Only age counts here, so that
            // no two jobs can stop each other.
            return self.reclaim_from(queued, |it| {
                let overtook = it.age < queued.waited && it.ran_for >= MIN_RUN_BEFORE_STOP;
                overtook && it.checkpointable && !self.is_urgent_gang(it)
            });
        }
        None
    }

    /// Returns the backend servers of each cell that a gang of the customer fits and the customer does not use.
    fn unused_cells<'b>(
        &'b self,
        customer: usize,
        tasks: u32,
        per_task: Resources,
    ) -> impl Iterator<Item = BTreeSet<usize>> + 'b {
        self.cells.for_gang(customer, tasks, per_task).filter_map(move |cell| {
            let members = shrink(&cell.members, tasks);
            let places: Vec<(usize, u32)> =
                members.iter().filter_map(|m| Some((self.free_capacity.position(&m.server)?, m.tasks))).collect();
            let unused = places.iter().all(|(i, tasks)| {
                let after = self.ledger.used(*i, customer) + per_task.times(*tasks);
                self.cells.assigned_to(*i, customer).contains(&after)
            });
            unused.then(|| places.into_iter().map(|(i, _)| i).collect())
        })
    }

    fn has_unused_cell(&self, queued: &Queued) -> bool {
        let Some(customer) = self.customer_index(&queued.customer) else { return false };
        self.unused_cells(customer, queued.gang.tasks, queued.gang.per_task).next().is_some()
    }

    /// Whether a gang would be entitled to a cell once stopped, and so take precedence over the job that stopped it.
    fn would_be_entitled_to_cell(&self, it: &Running) -> bool {
        let Some(customer) = self.customer_index(&it.customer) else { return false };
        let tasks = it.members.iter().map(|m| m.tasks).sum();
        self.unused_cells(customer, tasks, it.per_task).next().is_some()
    }

    /// Selects the gangs of other customers to stop so that a guaranteed shape becomes free for its owner.
    fn reclaim_cell(&self, customer: usize, queued: &Queued) -> Option<(Reclaim, Vec<usize>)> {
        for inside in self.unused_cells(customer, queued.gang.tasks, queued.gang.per_task) {
            let indices = self.stoppable(|it| it.customer != queued.customer && !self.is_on_own_cell(it));
            let candidates: Vec<&Running> = indices.iter().map(|n| &self.snapshot.running[*n]).collect();
            let usable = |i: usize| inside.contains(&i);
            if let Some(found) = reclaim::cheapest(&self.free_soon, &candidates, &queued.gang, &usable) {
                return Some((found, indices));
            }
        }
        None
    }

    fn reclaim_from(&self, queued: &Queued, allowed: impl Fn(&Running) -> bool) -> Option<(Reclaim, Vec<usize>)> {
        if !queued.preemptible() {
            return None;
        }
        let indices =
            self.stoppable(|it| allowed(it) && !self.is_on_own_cell(it) && !self.would_be_entitled_to_cell(it));
        let candidates: Vec<&Running> = indices.iter().map(|n| &self.snapshot.running[*n]).collect();
        let found = reclaim::cheapest(&self.free_soon, &candidates, &queued.gang, &|i| self.free_capacity.is_open(i))?;
        Some((found, indices))
    }

    fn stoppable(&self, allowed: impl Fn(&Running) -> bool) -> Vec<usize> {
        let running = self.snapshot.running.iter().enumerate();
        running.filter(|(n, it)| !self.stopped[*n] && it.preemptible() && allowed(it)).map(|(n, _)| n).collect()
    }

    fn is_urgent_gang(&self, it: &Running) -> bool {
        self.snapshot.file.classes.get(&it.class).is_some_and(|class| class.urgent)
    }

    /// Whether a gang runs within its customer's own cells, so that it borrows from no other customer.
    fn is_on_own_cell(&self, it: &Running) -> bool {
        let Some(customer) = self.customer_index(&it.customer) else { return false };
        it.members.iter().filter_map(|m| self.free_capacity.position(&m.server)).all(|i| {
            let assigned = self.cells.assigned_to(i, customer);
            assigned != Resources::default() && assigned.contains(&self.ledger.used(i, customer))
        })
    }

    fn stop_for(&mut self, queued: &Queued, found: &Reclaim, indices: &[usize]) {
        for victim in &found.victims {
            let n = indices[*victim];
            let gang = &self.snapshot.running[n];
            self.stopped[n] = true;
            self.free_soon.give(&gang.members, &gang.per_task);
            self.decisions.push(Decision::Preempt { job: gang.job.clone(), for_job: queued.job.clone() });
        }
        self.reserve(queued, &found.members);
    }

    /// Reserves the placement that becomes possible first for a large gang.
    fn add_shadow(&mut self, queued: &Queued) {
        let left = |gang: &Running| {
            let likely = self.estimates.likely(&gang.customer, &gang.class, gang.declared);
            Duration::from_millis(likely.millis().saturating_sub(gang.ran_for.millis()))
        };
        if let Some(shadow) = Shadow::of(&self.free_capacity, &self.snapshot.running, &queued.gang, left) {
            self.shadows.push(shadow);
        }
    }
}

fn kind(queued: &Queued, overdue: bool) -> Kind {
    let gang = &queued.gang;
    let customer = queued.customer.clone();
    (customer, gang.tasks, gang.per_task, gang.within, queued.preemptible(), overdue)
}

/// Returns the size that planning compares: accelerators, or cores where there are none.
fn size(it: &Resources) -> u32 {
    if it.accelerators > 0 { it.accelerators } else { it.cores }
}

/// Returns the leading members of a cell, reduced to the given number of tasks.
fn shrink(members: &[Member], tasks: u32) -> Vec<Member> {
    let mut left = tasks;
    let mut taken = Vec::new();
    for member in members {
        let here = member.tasks.min(left);
        if here > 0 {
            taken.push(Member { server: member.server.clone(), tasks: here });
            left -= here;
        }
    }
    taken
}
