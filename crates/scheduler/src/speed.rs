//! How fast backend servers work, learned from what runs there.
//!
//! A run's declared time is off by an amount that its step shares, and by one of its own; what is left is its backend server's. So each run is compared
//! with the others of its step: with many of them, one run tells much; alone, next to nothing. Rows of progress count as well as ends,
//! since a gang ends as one, with its slowest member, and a run that lags tells so long before it ends.

use model::{BackendServerId, Moment};
use serde::Serialize;

use crate::{
    Scheduler,
    completions::RunningTask,
    run_state::{GroupId, Member, Phase},
};

/// Variance of what is a run's own, in the logarithm of its time: tasks of one step differ by a sixth.
const OF_RUN: f64 = 0.03;
/// Variance of what a step's declared time is off by: half, or twice as long, is common.
const OF_STEP: f64 = 0.25;
/// Variance among backend servers, before anything is known of one.
const OF_SERVERS: f64 = 0.12;
/// What is known is worth at most so much, as an inverse variance: some eight runs count, so that a change is followed.
const MOST_CERTAIN: f64 = 8.0 / OF_RUN;
/// A run that is off by more than this, in the logarithm, counts for less: a few take many times as long wherever they run.
const OUTLIER: f64 = 0.7;
/// Progress tells a run's speed once it has come so much further, in percent.
const TELLING: u32 = 12;

/// Runs of a step are compared with each other once there are so many, or all that there are to be.
const COMPARED: usize = 8;
/// The mean of the fleet counts anew once it has moved by so much, in the logarithm.
const MEAN_MOVES: f64 = 0.1;

/// What is known of how fast a backend server works.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Speed {
    /// The logarithm of how many times its declared time a run takes here, as far as the declaration is right.
    log_factor: f64,
    /// Inverse variance of that.
    certainty: f64,
    /// Runs that it rests on.
    runs: u32,
    /// When the latest told.
    at: Moment,
}

impl Default for Speed {
    fn default() -> Speed {
        Speed { log_factor: 0.0, certainty: 1.0 / OF_SERVERS, runs: 0, at: Moment::ZERO }
    }
}

/// Backend servers that are taken for alike.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum SpeedClass {
    /// Some 15 % faster than the mean, at least.
    Fast,
    /// As the mean, or not known.
    #[default]
    Usual,
    /// Some 15 % slower.
    Slow,
    /// Half as slow again, or more.
    Slowest,
}

impl SpeedClass {
    /// From the fastest.
    pub(crate) const ALL: [SpeedClass; 4] =
        [SpeedClass::Fast, SpeedClass::Usual, SpeedClass::Slow, SpeedClass::Slowest];
}

/// Backend servers count as different from this ratio of variances on at least, and until it falls below the other.
const DIFFER: f64 = 1.3;
const DIFFER_NO_MORE: f64 = 1.0;
/// And from so many standard errors of that ratio above 1: among few, chance alone makes more of a difference.
const ABOVE_CHANCE: f64 = 3.0;

/// Beside the mean, in the logarithm of the time that a run takes: from here on one counts as faster or slower.
const APART: f64 = 0.15;
/// And from so many standard errors on: what little is known is more often chance.
const SURE: f64 = 2.0;
/// From here on one counts as slowest.
const SLOWEST_FROM: f64 = 0.4;

impl Speed {
    /// The logarithm of how many times as long a run takes here as on the mean of the fleet.
    fn beside(&self, fleet: &FleetSpeed) -> f64 {
        if self.runs == 0 { 0.0 } else { self.log_factor - fleet.mean }
    }

    pub(crate) fn class(&self, fleet: &FleetSpeed) -> SpeedClass {
        let apart = APART.max(SURE / self.certainty.sqrt());
        match self.beside(fleet) {
            _ if !fleet.differ => SpeedClass::Usual,
            log if log < -apart => SpeedClass::Fast,
            log if log < apart => SpeedClass::Usual,
            log if log < SLOWEST_FROM => SpeedClass::Slow,
            _ => SpeedClass::Slowest,
        }
    }

    /// How far it would be off the mean on the mean of the squares, if it were as fast as all others.
    fn variance_by_chance(&self) -> f64 {
        let learned = self.certainty - 1.0 / OF_SERVERS;
        learned / self.certainty.powi(2)
    }

    /// A run took `off` times as long as it should have, as a logarithm; `variance` is that of what it should have taken.
    fn learn(&mut self, off: f64, variance: f64, now: Moment) {
        let away = (off - self.log_factor).abs();
        let trust = if away > OUTLIER { OUTLIER / away } else { 1.0 };
        let weight = trust / (OF_RUN + variance);
        self.log_factor += (off - self.log_factor) * weight / (self.certainty + weight);
        self.certainty = (self.certainty + weight).min(MOST_CERTAIN);
        self.runs = self.runs.saturating_add(1);
        self.at = now;
    }
}

/// What is known of the backend servers together. Only what one is beside their mean counts, since declared times may all be off; and only where
/// they differ by more than chance alone makes them seem to.
#[derive(Debug, Default)]
pub(crate) struct FleetSpeed {
    known: usize,
    sum: f64,
    squares: f64,
    /// What the squares would be if all were equally fast.
    by_chance: f64,
    /// The mean as it is used.
    mean: f64,
    /// Whether they count as different.
    differ: bool,
}

impl FleetSpeed {
    /// One has changed, or is known for the first time, or no more. Returns whether that changes what others count for.
    fn record(&mut self, before: &Speed, after: &Speed) -> bool {
        self.add(before, -1.0);
        self.add(after, 1.0);
        self.known = self.known + usize::from(after.runs > 0) - usize::from(before.runs > 0);
        let mean = if self.known == 0 { 0.0 } else { self.sum / self.known as f64 };
        let differ = self.spread() > if self.differ { DIFFER_NO_MORE } else { self.chance_limit() };
        let moves = (mean - self.mean).abs() > MEAN_MOVES || differ != self.differ;
        if moves {
            log::info!(
                "event=fleet_speed mean={mean:.2} spread={:.2} differ={differ} known={}",
                self.spread(),
                self.known
            );
            (self.mean, self.differ) = (mean, differ);
        }
        moves
    }

    fn add(&mut self, speed: &Speed, sign: f64) {
        if speed.runs > 0 {
            self.sum += sign * speed.log_factor;
            self.squares += sign * speed.log_factor.powi(2);
            self.by_chance += sign * speed.variance_by_chance();
        }
    }

    /// What chance alone does not bring the ratio to.
    fn chance_limit(&self) -> f64 {
        let standard_error = (2.0 / (self.known.max(2) - 1) as f64).sqrt();
        DIFFER.max(1.0 + ABOVE_CHANCE * standard_error)
    }

    /// How much more backend servers differ than they would seem to if they were alike: a ratio of variances, about 1 then.
    pub(crate) fn spread(&self) -> f64 {
        if self.known < 2 {
            return 0.0;
        }
        let known = self.known as f64;
        (self.squares / known - (self.sum / known).powi(2)) / (self.by_chance / known)
    }
}

/// Runs of one step that are to be compared with each other: where, and what each took beside what was declared, as a logarithm.
#[derive(Debug, Clone, Default)]
pub(crate) struct StepTimes {
    waiting: Vec<(BackendServerId, f64)>,
    /// The same of those that were compared, without what their backend servers had added: slow ones tell late, when the fast ones are
    /// through.
    compared: Vec<f64>,
}

/// How far a run had come when it was first heard of, to be compared with later.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Measured {
    /// Nothing yet.
    NotYet,
    /// Nothing, and it had begun before this scheduler was elected: how long ago is not known.
    BegunBefore,
    /// So much was done at that time.
    From(Moment, u32),
    /// Its speed has been taken in.
    Done,
}

impl Member {
    /// From when its work can be measured: its start, unless it goes on from a checkpoint.
    fn measured_from(&self, checkpoint: bool) -> Measured {
        match (self.measured, self.phase, self.confirmed_at) {
            (Measured::NotYet, Phase::Running, Some(started)) if !checkpoint => Measured::From(started, 0),
            (measured, ..) => measured,
        }
    }
}

/// How fast a backend server works, for people.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SpeedReport {
    /// The backend server.
    pub server: BackendServerId,
    /// How many times as long as on the mean of the fleet a run takes there, as far as is known.
    pub factor: f64,
    /// Runs that this rests on.
    pub runs: u32,
    /// Since the latest of them told, in milliseconds; `None` if nothing is known.
    pub age_ms: Option<u64>,
}

/// How much backend servers differ, for people.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SpeedSummary {
    /// Backend servers of which something is known.
    pub known: usize,
    /// How much more they differ than by chance, as a ratio of variances; about 1 if they are alike.
    pub spread: f64,
    /// Whether urgent work goes by it.
    pub in_use: bool,
    /// The slowest, from the slowest on.
    pub slowest: Vec<SpeedReport>,
}

/// So many of the slowest backend servers are told of.
const SLOWEST_TOLD: usize = 10;

impl Scheduler {
    /// How fast a backend server works; `None` if it is not known.
    pub fn speed(&self, id: &BackendServerId, now: Moment) -> Option<SpeedReport> {
        let speed = self.servers.get(id)?.speed;
        Some(SpeedReport {
            server: id.clone(),
            factor: speed.beside(&self.fleet_speed).exp(),
            runs: speed.runs,
            age_ms: (speed.runs > 0).then(|| now.since(speed.at).millis()),
        })
    }

    /// How much backend servers differ.
    pub fn speeds(&self, now: Moment) -> SpeedSummary {
        let known = self.servers.iter().filter(|(_, server)| server.speed.runs > 0);
        let mut slowest: Vec<(f64, &BackendServerId)> =
            known.map(|(id, server)| (server.speed.beside(&self.fleet_speed), id)).collect();
        slowest.sort_by(|a, b| b.0.total_cmp(&a.0));
        let report = |&(_, id): &(f64, &BackendServerId)| self.speed(id, now);
        SpeedSummary {
            known: self.fleet_speed.known,
            spread: self.fleet_speed.spread(),
            in_use: self.fleet_speed.differ && self.timing.tuning.speed,
            slowest: slowest.iter().take(SLOWEST_TOLD).filter_map(report).collect(),
        }
    }

    /// A run has told how far it has come.
    pub(crate) fn measure_progress(&mut self, name: GroupId, id: &BackendServerId, running: &RunningTask, now: Moment) {
        let checkpoint = self.progress_of(name).checkpoint.is_some();
        if self.step(name).long_running || self.step(name).best_effort {
            return;
        }
        let Some(member) = self.member_mut(name, running.task.index, id) else { return };
        let percent = running.percent;
        match member.measured_from(checkpoint) {
            // What has come to its end may have waited there for its gang.
            Measured::From(from, done) if percent >= done + TELLING && percent < 100 => {
                member.measured = Measured::Done;
                let whole_s = now.since(from).secs_f64() * 100.0 / f64::from(percent - done);
                self.learn_speed(name, id, whole_s, now);
            }
            Measured::NotYet | Measured::BegunBefore if percent > 0 => member.measured = Measured::From(now, percent),
            _ => {}
        }
    }

    /// A run by itself is done: what it took is told by that, if its progress has not told it before.
    pub(crate) fn measure_end(&mut self, name: GroupId, index: u32, id: &BackendServerId, now: Moment) {
        let checkpoint = self.progress_of(name).checkpoint.is_some();
        let step = self.step(name);
        if step.gang && step.count > 1 || step.long_running || step.best_effort {
            return;
        }
        let Some(member) = self.member_mut(name, index, id) else { return };
        if let Measured::From(from, 0) = member.measured_from(checkpoint) {
            self.learn_speed(name, id, now.since(from).secs_f64(), now);
        }
    }

    /// A run takes so long in all, of which its backend server has its part.
    fn learn_speed(&mut self, name: GroupId, id: &BackendServerId, whole_s: f64, now: Moment) {
        let step = self.step(name);
        let (declared_s, count) = (step.estimate.secs_f64(), step.count as usize);
        if whole_s <= 0.0 || declared_s <= 0.0 {
            return;
        }
        let times = &mut self.occurrence_mut(name.occurrence).times[name.step];
        times.waiting.push((id.clone(), (whole_s / declared_s).ln()));
        if times.waiting.len() < COMPARED.min(count.saturating_sub(times.compared.len())) {
            return;
        }
        let StepTimes { waiting, mut compared } = std::mem::take(times);
        self.compare(&waiting, &mut compared, now);
        self.occurrence_mut(name.occurrence).times[name.step].compared = compared;
    }

    /// Takes in what runs of one step tell of their backend servers, beside those of it that were compared before.
    fn compare(&mut self, runs: &[(BackendServerId, f64)], compared: &mut Vec<f64>, now: Moment) {
        let known = |id: &BackendServerId| self.servers.get(id).map_or(0.0, |server| server.speed.log_factor);
        compared.extend(runs.iter().map(|(id, off)| off - known(id)));
        let (expected, variance) = expected(compared.clone());
        let mut all_move = false;
        for (id, off) in runs {
            let Some(server) = self.servers.get_mut(id) else { continue };
            let (before, class) = (server.speed, server.speed.class(&self.fleet_speed));
            server.speed.learn(off - expected, variance, now);
            let after = server.speed;
            all_move |= self.fleet_speed.record(&before, &after);
            if after.class(&self.fleet_speed) != class {
                self.say_speed(id, now);
                self.mark_stale(id);
            }
        }
        if all_move {
            self.mark_all_stale();
        }
    }

    /// A life of a backend server is over: the next may be of another kind.
    pub(crate) fn reset_speed(&mut self, id: &BackendServerId) {
        let Some(server) = self.servers.get_mut(id) else { return };
        let speed = std::mem::take(&mut server.speed);
        if self.fleet_speed.record(&speed, &Speed::default()) {
            self.mark_all_stale();
        }
    }

    /// What one counts for has changed for all.
    fn mark_all_stale(&mut self) {
        let all: Vec<BackendServerId> = self.servers.keys().cloned().collect();
        all.iter().for_each(|id| self.mark_stale(id));
    }

    fn say_speed(&self, id: &BackendServerId, now: Moment) {
        let Some(SpeedReport { factor, runs, .. }) = self.speed(id, now) else { return };
        let class = self.servers[id].speed.class(&self.fleet_speed);
        log::info!("server={id} event=speed class={class:?} factor={factor:.2} runs={runs}");
    }
}

/// What runs of a step should have taken beside what was declared, as a logarithm, with its variance: their median, or what was declared
/// where they are few.
fn expected(mut off: Vec<f64>) -> (f64, f64) {
    off.sort_by(f64::total_cmp);
    let median = (off[(off.len() - 1) / 2] + off[off.len() / 2]) / 2.0;
    // One run is no measure of itself.
    let others = (off.len() - 1) as f64 / OF_RUN;
    let certainty = others + 1.0 / OF_STEP;
    (median * others / certainty, 1.0 / certainty)
}
