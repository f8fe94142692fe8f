//! One round of planning.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use model::{CustomerId, Duration, Member, Resources};

use crate::{
    Decision, Queued, Room, Running, Snapshot,
    cells::Cells,
    estimate::Estimates,
    ledger::Ledger,
    place::best_fit,
    reclaim::{self, Reclaim},
    shadow::Shadow,
};

/// A gang that takes at least this part of the largest rack is large: it gets a dated place.
const LARGE_PART: f64 = 0.25;
/// Dated places held at once.
const MAX_SHADOWS: usize = 1;
/// A large gang bears being passed over for this part of its likely run time ...
const PATIENCE: f64 = 0.1;
/// ... and at least so long, so that it does not stop others for a gap that opens by itself.
const PATIENCE_MIN: Duration = Duration::from_secs(30);
/// ... and at most so long.
const PATIENCE_MAX: Duration = Duration::from_secs(300);

/// How strong a job's claim to a place is, the strongest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Claim {
    /// It fits a guaranteed shape that its customer does not use.
    Guaranteed,
    /// Its class is urgent.
    Urgent,
    /// It is large and has been passed over for long enough.
    Overdue,
    /// None beyond its turn.
    None,
}

/// A gang that began less than this ago is not stopped for an overdue one.
const MIN_RUN: Duration = Duration::from_secs(60);

/// What jobs that fare alike within a round have in common.
type Kind = (CustomerId, u32, Resources, model::Within, bool, bool);

/// The state of a round.
pub(crate) struct Round<'a> {
    snapshot: &'a Snapshot,
    cells: &'a Cells,
    estimates: &'a Estimates,
    numbers: &'a BTreeMap<&'a CustomerId, usize>,
    /// What is free now.
    room: Room,
    /// What is free now or once gangs that are stopping have ended.
    soon: Room,
    ledger: Ledger,
    stopped: Vec<bool>,
    /// Accelerators, or cores if there are none, from which on a gang is large.
    large: f64,
    shadows: Vec<Shadow>,
    failed: HashSet<Kind>,
    pub(crate) decisions: Vec<Decision>,
}

impl<'a> Round<'a> {
    pub(crate) fn new(
        snapshot: &'a Snapshot,
        cells: &'a Cells,
        estimates: &'a Estimates,
        numbers: &'a BTreeMap<&'a CustomerId, usize>,
    ) -> Round<'a> {
        let room = Room::beside(&snapshot.servers, &snapshot.running);
        let mut soon = room.clone();
        for gang in snapshot.running.iter().filter(|gang| gang.stopping) {
            soon.give(&gang.members, &gang.per_task);
        }
        let ledger = Ledger::of(&room, &snapshot.running, |customer| numbers.get(customer).copied());
        let rack_size = |rack: &Vec<usize>| rack.iter().map(|i| size(&room.capacity(*i))).sum::<u32>();
        let largest = room.racks().iter().map(rack_size).max().unwrap_or(0);
        let large = f64::from(largest) * LARGE_PART;
        let stopped = snapshot.running.iter().map(|gang| gang.stopping).collect();
        Round {
            snapshot,
            cells,
            estimates,
            numbers,
            room,
            soon,
            ledger,
            stopped,
            large,
            shadows: Vec::new(),
            failed: HashSet::new(),
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
        self.number(customer).map_or(0, |n| self.ledger.total(n).accelerators)
    }

    fn number(&self, customer: &CustomerId) -> Option<usize> {
        self.numbers.get(customer).copied()
    }

    /// Decides on one waiting job.
    pub(crate) fn consider(&mut self, queued: &Queued) {
        let Some(customer) = self.number(&queued.customer) else { return };
        if let Err(e) = self.room.check_ever_fits(&queued.gang) {
            self.decisions.push(Decision::Refuse { job: queued.job.clone(), why: e.to_string() });
            return;
        }
        if !self.within_quota(customer, queued) {
            return;
        }
        let overdue = self.is_overdue(queued);
        let kind = kind(queued, overdue);
        if self.failed.contains(&kind) {
            return;
        }
        if let Some(members) = self.place(customer, queued) {
            return self.start(customer, queued, members);
        }
        // A place that opens once others have stopped is kept for this job.
        if let Some(members) = self.place_soon(queued) {
            return self.hold(queued, &members);
        }
        if let Some((reclaim, among)) = self.reclaim(customer, queued, overdue) {
            return self.stop_for(queued, &reclaim, &among);
        }
        self.failed.insert(kind);
        if self.is_large(queued) && self.shadows.len() < MAX_SHADOWS {
            self.date(queued);
        }
    }

    /// How strong a job's claim is: the weaker may not take what was freed for the stronger.
    pub(crate) fn claim(&self, queued: &Queued) -> Claim {
        if self.has_unused_cell(queued) {
            return Claim::Guaranteed;
        }
        if self.is_urgent(queued) {
            return Claim::Urgent;
        }
        if self.is_overdue(queued) { Claim::Overdue } else { Claim::None }
    }

    fn within_quota(&self, customer: usize, queued: &Queued) -> bool {
        let quota = self.snapshot.file.customers.get(&queued.customer).and_then(|c| c.quota);
        quota.is_none_or(|quota| quota.contains(&(self.ledger.total(customer) + queued.gang.total())))
    }

    fn is_urgent(&self, queued: &Queued) -> bool {
        self.snapshot.file.classes.get(&queued.class).is_some_and(|class| class.urgent)
    }

    fn is_large(&self, queued: &Queued) -> bool {
        f64::from(size(&queued.gang.total())) >= self.large
    }

    /// Whether a large gang has been passed over for long enough to stop those that overtook it.
    fn is_overdue(&self, queued: &Queued) -> bool {
        let patience = self.likely(queued).scaled(PATIENCE).clamp(PATIENCE_MIN, PATIENCE_MAX);
        self.is_large(queued) && queued.waited >= patience
    }

    /// How many of a job's tasks a backend server takes now.
    fn takes(&self, customer: usize, queued: &Queued, likely: Duration, i: usize) -> u32 {
        let fits = self.room.fits(i, &queued.gang.per_task);
        if fits == 0 || self.is_kept_for_another(queued, likely, i) {
            return 0;
        }
        if queued.preemptible() {
            return fits;
        }
        fits.min(self.ledger.may_pin(&self.room, self.cells, i, customer).count_of(&queued.gang.per_task))
    }

    /// Whether a dated place takes in a backend server, and the job would not be gone by then.
    fn is_kept_for_another(&self, queued: &Queued, likely: Duration, i: usize) -> bool {
        // What can be checkpointed may borrow the place until it is due.
        if self.is_urgent(queued) || queued.checkpointable {
            return false;
        }
        self.shadows.iter().any(|shadow| shadow.covers(i) && likely > shadow.after)
    }

    fn place(&self, customer: usize, queued: &Queued) -> Option<Vec<Member>> {
        let likely = self.likely(queued);
        best_fit(&self.room, &queued.gang, &queued.avoid, |i| self.takes(customer, queued, likely, i))
    }

    fn place_soon(&self, queued: &Queued) -> Option<Vec<Member>> {
        if !queued.preemptible() {
            return None;
        }
        best_fit(&self.soon, &queued.gang, &queued.avoid, |i| self.soon.fits(i, &queued.gang.per_task))
    }

    fn start(&mut self, customer: usize, queued: &Queued, members: Vec<Member>) {
        let per_task = queued.gang.per_task;
        self.room.take(&members, &per_task);
        self.soon.take(&members, &per_task);
        self.ledger.add(&self.room, customer, &members, &per_task, queued.preemptible());
        self.decisions.push(Decision::Start { job: queued.job.clone(), members });
    }

    fn hold(&mut self, queued: &Queued, members: &[Member]) {
        self.room.take(members, &queued.gang.per_task);
        self.soon.take(members, &queued.gang.per_task);
    }

    /// Whom to stop for a job that has a right to it: the cheapest of what its rights allow.
    fn reclaim(&self, customer: usize, queued: &Queued, overdue: bool) -> Option<(Reclaim, Vec<usize>)> {
        if let Some(found) = self.reclaim_cell(customer, queued) {
            return Some(found);
        }
        if self.is_urgent(queued) {
            return self.reclaim_from(queued, |it| !self.is_urgent_gang(it));
        }
        if overdue {
            // Those that came after this job have overtaken it. That goes by age alone, so that no
            // two jobs can ever stop each other.
            return self.reclaim_from(queued, |it| {
                let overtook = it.age < queued.waited && it.ran_for >= MIN_RUN;
                overtook && it.checkpointable && !self.is_urgent_gang(it)
            });
        }
        None
    }

    /// Places of cells that a gang may take back: its customer does not use them yet.
    fn unused_cells<'b>(
        &'b self,
        customer: usize,
        tasks: u32,
        per_task: Resources,
    ) -> impl Iterator<Item = BTreeSet<usize>> + 'b {
        self.cells.for_gang(customer, tasks, per_task).filter_map(move |cell| {
            let members = shrink(&cell.members, tasks);
            let places: Vec<(usize, u32)> =
                members.iter().filter_map(|m| Some((self.room.position(&m.server)?, m.tasks))).collect();
            let unused = places.iter().all(|(i, tasks)| {
                let after = self.ledger.used(*i, customer) + per_task.times(*tasks);
                self.cells.assigned_to(*i, customer).contains(&after)
            });
            unused.then(|| places.into_iter().map(|(i, _)| i).collect())
        })
    }

    fn has_unused_cell(&self, queued: &Queued) -> bool {
        let Some(customer) = self.number(&queued.customer) else { return false };
        self.unused_cells(customer, queued.gang.tasks, queued.gang.per_task).next().is_some()
    }

    /// Whether a gang, once stopped, would have a right to a cell and so outrank whoever stopped it.
    fn would_claim_a_cell(&self, it: &Running) -> bool {
        let Some(customer) = self.number(&it.customer) else { return false };
        let tasks = it.members.iter().map(|m| m.tasks).sum();
        self.unused_cells(customer, tasks, it.per_task).next().is_some()
    }

    /// A guaranteed shape is taken back from whoever borrows it.
    fn reclaim_cell(&self, customer: usize, queued: &Queued) -> Option<(Reclaim, Vec<usize>)> {
        for inside in self.unused_cells(customer, queued.gang.tasks, queued.gang.per_task) {
            let among = self.stoppable(|it| it.customer != queued.customer && !self.is_on_own_cell(it));
            let candidates: Vec<&Running> = among.iter().map(|n| &self.snapshot.running[*n]).collect();
            let usable = |i: usize| inside.contains(&i);
            if let Some(found) = reclaim::cheapest(&self.soon, &candidates, &queued.gang, &usable) {
                return Some((found, among));
            }
        }
        None
    }

    fn reclaim_from(&self, queued: &Queued, allowed: impl Fn(&Running) -> bool) -> Option<(Reclaim, Vec<usize>)> {
        if !queued.preemptible() {
            return None;
        }
        let among = self.stoppable(|it| allowed(it) && !self.is_on_own_cell(it) && !self.would_claim_a_cell(it));
        let candidates: Vec<&Running> = among.iter().map(|n| &self.snapshot.running[*n]).collect();
        let found = reclaim::cheapest(&self.soon, &candidates, &queued.gang, &|i| self.room.is_open(i))?;
        Some((found, among))
    }

    fn stoppable(&self, allowed: impl Fn(&Running) -> bool) -> Vec<usize> {
        let running = self.snapshot.running.iter().enumerate();
        running.filter(|(n, it)| !self.stopped[*n] && it.preemptible() && allowed(it)).map(|(n, _)| n).collect()
    }

    fn is_urgent_gang(&self, it: &Running) -> bool {
        self.snapshot.file.classes.get(&it.class).is_some_and(|class| class.urgent)
    }

    /// Whether a gang runs within what its customer is assigned, so that it borrows from nobody.
    fn is_on_own_cell(&self, it: &Running) -> bool {
        let Some(customer) = self.number(&it.customer) else { return false };
        it.members.iter().filter_map(|m| self.room.position(&m.server)).all(|i| {
            let assigned = self.cells.assigned_to(i, customer);
            assigned != Resources::default() && assigned.contains(&self.ledger.used(i, customer))
        })
    }

    fn stop_for(&mut self, queued: &Queued, found: &Reclaim, among: &[usize]) {
        for victim in &found.victims {
            let n = among[*victim];
            let gang = &self.snapshot.running[n];
            self.stopped[n] = true;
            self.soon.give(&gang.members, &gang.per_task);
            self.decisions.push(Decision::Preempt { job: gang.job.clone(), for_job: queued.job.clone() });
        }
        self.hold(queued, &found.members);
    }

    /// Keeps the place that opens first for a large gang.
    fn date(&mut self, queued: &Queued) {
        let left = |gang: &Running| {
            let likely = self.estimates.likely(&gang.customer, &gang.class, gang.declared);
            Duration::from_millis(likely.millis().saturating_sub(gang.ran_for.millis()))
        };
        if let Some(shadow) = Shadow::of(&self.room, &self.snapshot.running, &queued.gang, left) {
            self.shadows.push(shadow);
        }
    }
}

fn kind(queued: &Queued, overdue: bool) -> Kind {
    let gang = &queued.gang;
    let customer = queued.customer.clone();
    (customer, gang.tasks, gang.per_task, gang.within, queued.preemptible(), overdue)
}

/// The size that counts: accelerators, or cores where there are none.
fn size(it: &Resources) -> u32 {
    if it.accelerators > 0 { it.accelerators } else { it.cores }
}

/// The first of a cell's members that together take so many tasks.
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
