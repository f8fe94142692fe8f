//! Best-effort tasks beside tasks with a latency target: slowed while they push a target, let go again after.
//!
//! A backend server shows the tail latency of what its serving tasks answer, over the last half second. What
//! lives on the rest of its processors is slowed at once when a target is missed, since a miss costs far more than
//! the work held back, and goes faster again in small steps.

use jobs::{RunNumber, Step, TaskId};
use model::{BackendServerId, Duration, Moment};

use crate::{
    Scheduler,
    orders::Order,
    run_state::{GroupId, Member, Phase},
};

/// Full speed, in percent.
const FULL: u32 = 100;
/// A run that an earlier scheduler started is taken for this fast until it has been told, in percent: between a
/// target missed and work held back.
const AFTER_ELECTION: u32 = 50;
/// A pace takes effect after 0.1 s and latency is measured over 0.5 s (users' protocol page): before that a listing
/// tells nothing of the latest change.
const SETTLES: Duration = Duration::from_millis(600);
/// An order without an answer is repeated after this long.
const REPEAT: Duration = Duration::from_millis(400);
/// Below this share of a target, best-effort tasks go faster; above [`CLOSE`] they are slowed a little.
const EASY: f64 = 0.7;
const CLOSE: f64 = 0.9;
/// Slower by these factors close to a target and beyond it; faster by so many percent of full speed.
const SLOW_A_LITTLE: f64 = 0.8;
const SLOW_A_LOT: f64 = 0.4;
const FASTER: u32 = 10;
/// Below this, a run is held still: so little work is not worth the disturbance.
const LEAST: u32 = 8;

/// How fast a run may work, and what its backend server has been told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Throttle {
    /// In percent of its full speed.
    requested: u32,
    /// What its backend server has confirmed; `None` if that is not known.
    confirmed: Option<u32>,
    /// When an order was last sent.
    sent: Option<Moment>,
    /// When `wanted` last changed.
    changed: Option<Moment>,
}

impl Throttle {
    /// As a run begins.
    pub(crate) fn full() -> Throttle {
        Throttle { requested: FULL, confirmed: Some(FULL), sent: None, changed: None }
    }

    /// Of a run that an earlier scheduler may have slowed.
    pub(crate) fn unknown() -> Throttle {
        Throttle { requested: AFTER_ELECTION, confirmed: None, sent: None, changed: None }
    }

    fn set(&mut self, requested: u32, now: Moment) {
        if self.requested != requested {
            *self = Throttle { requested, changed: Some(now), sent: None, ..*self };
        }
    }

    fn settled(&self, now: Moment) -> bool {
        self.confirmed == Some(self.requested) && self.changed.is_none_or(|changed| now.since(changed) >= SETTLES)
    }

    fn is_due(&self, now: Moment) -> bool {
        self.confirmed != Some(self.requested) && self.sent.is_none_or(|sent| now.since(sent) >= REPEAT)
    }
}

impl Scheduler {
    /// Whether a backend server runs both best-effort tasks and tasks with a latency target, so that its listings
    /// should be looked at often.
    pub fn watches_latency(&self, id: &BackendServerId) -> bool {
        let Some(server) = self.servers.get(id) else { return false };
        let runs = |is: fn(&Step) -> bool| {
            server.members.keys().filter_map(|task| self.group_of(*task)).any(|name| is(self.step(name)))
        };
        runs(|step| step.best_effort) && runs(|step| step.target.is_some())
    }

    /// A backend server lets a run work at this share of its speed.
    pub fn throttle_replied(&mut self, server: &BackendServerId, task: TaskId, run: RunNumber, percent: u32) {
        let Some(name) = self.group_of(task) else { return };
        if self.progress_of(name).run != run {
            return;
        }
        if let Some(member) = self.member_mut(name, task.index, server) {
            member.throttle.confirmed = Some(percent);
        }
    }

    /// Sets how fast the best-effort tasks of a backend server go, by its latest listing.
    pub(crate) fn throttle_best_effort(&mut self, id: &BackendServerId, now: Moment) {
        let best_effort = self.running_members(id, |step| step.best_effort);
        if best_effort.is_empty() {
            return;
        }
        let load = self.highest_load(id);
        for (name, index) in best_effort {
            let run = self.progress_of(name).run;
            let Some(member) = self.member_mut(name, index, id) else { continue };
            if load.is_none() || member.throttle.settled(now) {
                member.throttle.set(next_throttle(member.throttle.requested, load), now);
            }
            if !member.throttle.is_due(now) {
                continue;
            }
            member.throttle.sent = Some(now);
            let percent = member.throttle.requested;
            let task = name.task(index);
            log::info!(
                "job={} event=paced task={task} run={run} server={id} percent={percent} load={:.2}",
                name.occurrence.job,
                load.unwrap_or(0.0)
            );
            self.orders.push(Order::Throttle { server: id.clone(), task, run, percent });
        }
    }

    /// The highest tail latency on a backend server, as a share of its task's target; `None` if nothing there has one.
    fn highest_load(&self, id: &BackendServerId) -> Option<f64> {
        let share = |(name, index): &(GroupId, u32)| {
            let target = self.step(*name).target?;
            let member = self.group(*name).members.iter().find(|member| member.index == *index)?;
            Some(member.latency_ms.unwrap_or(0.0) / target.millis().max(1) as f64)
        };
        let serving = self.running_members(id, |step| step.target.is_some());
        serving.iter().filter_map(share).reduce(f64::max)
    }

    /// Members that a backend server has shown as running, of the steps that `is` is true of.
    fn running_members(&self, id: &BackendServerId, is: fn(&Step) -> bool) -> Vec<(GroupId, u32)> {
        let Some(server) = self.servers.get(id) else { return Vec::new() };
        let runs = |member: &Member| member.server == *id && member.phase == Phase::Running;
        let running = |task: &TaskId| {
            let name = self.group_of(*task)?;
            let group = self.group(name);
            let shown = group.members.iter().any(|member| member.index == task.index && runs(member));
            (is(self.step(name)) && shown && group.stopping.is_none()).then_some((name, task.index))
        };
        server.members.keys().filter_map(running).collect()
    }
}

/// How fast a best-effort task goes next, by the highest share of a target that its neighbours have reached.
fn next_throttle(pace: u32, load: Option<f64>) -> u32 {
    let Some(load) = load else { return FULL };
    let slower = |factor: f64| {
        let slowed = (f64::from(pace) * factor) as u32;
        if slowed < LEAST { 0 } else { slowed }
    };
    if load >= 1.0 {
        slower(SLOW_A_LOT)
    } else if load >= CLOSE {
        slower(SLOW_A_LITTLE)
    } else if load < EASY {
        (pace + FASTER).min(FULL)
    } else {
        pace
    }
}
