//! Throttling of best-effort tasks that share a backend server with tasks that have a latency target.
//!
//! A backend server reports the tail latency of its serving tasks over the last half second. Best-effort tasks, which
//! run on the remaining processors, are throttled at once when a target is missed, since a miss costs far more than
//! the work held back, and are sped up again in small steps.

use jobs::{RunNumber, Step, TaskId};
use model::{BackendServerId, Duration, Moment};

use crate::{
    Scheduler,
    orders::Order,
    run_state::{GroupId, Member, Phase},
};

/// Full speed, in percent.
const FULL_PERCENT: u32 = 100;
/// Speed that a run started by an earlier scheduler is assumed to have until it is set, in percent: a compromise
/// between a missed target and work held back.
const AFTER_ELECTION_PERCENT: u32 = 50;
/// A throttle takes effect after 0.1 s and latency is measured over 0.5 s (platform protocol); until then a listing
/// does not reflect the latest change.
const SETTLING_TIME: Duration = Duration::from_millis(600);
/// An order without a response is repeated after this long.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Below this share of a target, best-effort tasks are sped up; from [`SLOW_DOWN_FROM`] on they are slowed a little.
const SPEED_UP_BELOW: f64 = 0.7;
const SLOW_DOWN_FROM: f64 = 0.9;
/// Factors by which tasks are slowed close to a target and beyond it, and the percentage points by which they are
/// sped up.
const SLOW_DOWN_FACTOR: f64 = 0.8;
const MISSED_TARGET_FACTOR: f64 = 0.4;
const SPEED_UP_POINTS: u32 = 10;
/// Below this percentage a run is paused: the little work is not worth the disturbance.
const PAUSE_BELOW_PERCENT: u32 = 8;

/// Throttle of a run: the speed that was requested and the one that its backend server has confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Throttle {
    /// Requested speed, in percent of full speed.
    requested: u32,
    /// Speed that the backend server has confirmed, in percent; `None` if unknown.
    confirmed: Option<u32>,
    /// Time when the order was last sent.
    sent: Option<Moment>,
    /// Time when the requested speed last changed.
    changed: Option<Moment>,
}

impl Throttle {
    /// Returns the throttle of a run that starts: full speed.
    pub(crate) fn full() -> Throttle {
        Throttle { requested: FULL_PERCENT, confirmed: Some(FULL_PERCENT), sent: None, changed: None }
    }

    /// Returns the throttle of a run that an earlier scheduler may have slowed.
    pub(crate) fn unknown() -> Throttle {
        Throttle { requested: AFTER_ELECTION_PERCENT, confirmed: None, sent: None, changed: None }
    }

    fn set(&mut self, requested: u32, now: Moment) {
        if self.requested != requested {
            *self = Throttle { requested, changed: Some(now), sent: None, ..*self };
        }
    }

    fn is_settled(&self, now: Moment) -> bool {
        self.confirmed == Some(self.requested) && self.changed.is_none_or(|changed| now.since(changed) >= SETTLING_TIME)
    }

    fn is_due(&self, now: Moment) -> bool {
        self.confirmed != Some(self.requested) && self.sent.is_none_or(|sent| now.since(sent) >= RETRY_INTERVAL)
    }
}

impl Scheduler {
    /// Returns whether a backend server runs both best-effort tasks and tasks with a latency target, so that it
    /// should be listed often.
    pub fn watches_latency(&self, id: &BackendServerId) -> bool {
        let Some(server) = self.servers.get(id) else { return false };
        let runs = |is: fn(&Step) -> bool| {
            server.members.keys().filter_map(|task| self.group_of(*task)).any(|name| is(self.step(name)))
        };
        runs(|step| step.best_effort) && runs(|step| step.target.is_some())
    }

    /// Records the speed that a backend server has confirmed for a run, in percent. Ignored if the run is not the
    /// latest.
    pub fn throttle_replied(&mut self, server: &BackendServerId, task: TaskId, run: RunNumber, percent: u32) {
        let Some(name) = self.group_of(task) else { return };
        if self.progress_of(name).run != run {
            return;
        }
        if let Some(member) = self.member_mut(name, task.index, server) {
            member.throttle.confirmed = Some(percent);
        }
    }

    /// Sets the speeds of the best-effort tasks of a backend server by its latest listing.
    pub(crate) fn throttle_best_effort(&mut self, id: &BackendServerId, now: Moment) {
        let best_effort = self.running_members(id, |step| step.best_effort);
        if best_effort.is_empty() {
            return;
        }
        let load = self.highest_load(id);
        for (name, index) in best_effort {
            let run = self.progress_of(name).run;
            let Some(member) = self.member_mut(name, index, id) else { continue };
            if load.is_none() || member.throttle.is_settled(now) {
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

    /// Returns the highest tail latency on a backend server, as a share of its task's target; `None` if no task there
    /// has a target.
    fn highest_load(&self, id: &BackendServerId) -> Option<f64> {
        let share = |(name, index): &(GroupId, u32)| {
            let target = self.step(*name).target?;
            let member = self.group(*name).members.iter().find(|member| member.index == *index)?;
            Some(member.latency_ms.unwrap_or(0.0) / target.millis().max(1) as f64)
        };
        let serving = self.running_members(id, |step| step.target.is_some());
        serving.iter().filter_map(share).reduce(f64::max)
    }

    /// Returns the tasks that a backend server has listed as running, of steps that satisfy `is`.
    fn running_members(&self, id: &BackendServerId, is: fn(&Step) -> bool) -> Vec<(GroupId, u32)> {
        let Some(server) = self.servers.get(id) else { return Vec::new() };
        let is_running_here = |member: &Member| member.server == *id && member.phase == Phase::Running;
        let running = |task: &TaskId| {
            let name = self.group_of(*task)?;
            let group = self.group(name);
            let is_listed = group.members.iter().any(|member| member.index == task.index && is_running_here(member));
            (is(self.step(name)) && is_listed && group.stopping.is_none()).then_some((name, task.index))
        };
        server.members.keys().filter_map(running).collect()
    }
}

/// Returns the next speed of a best-effort task in percent, given the highest share of a target that a task beside it
/// has reached.
fn next_throttle(percent: u32, load: Option<f64>) -> u32 {
    let Some(load) = load else { return FULL_PERCENT };
    let slower = |factor: f64| {
        let slowed = (f64::from(percent) * factor) as u32;
        if slowed < PAUSE_BELOW_PERCENT { 0 } else { slowed }
    };
    if load >= 1.0 {
        slower(MISSED_TARGET_FACTOR)
    } else if load >= SLOW_DOWN_FROM {
        slower(SLOW_DOWN_FACTOR)
    } else if load < SPEED_UP_BELOW {
        (percent + SPEED_UP_POINTS).min(FULL_PERCENT)
    } else {
        percent
    }
}
