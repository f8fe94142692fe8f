//! Applies [`run_time`](crate::run_time): collects what is reported about runs, and keeps the estimates of each
//! occurrence up to date.

use std::collections::BTreeMap;

use jobs::{Duration, Job, JobId, QueueId};
use model::{BackendServerId, Moment};

use crate::{
    Scheduler,
    completions::RunningTask,
    observations::Observation,
    run_state::{GroupId, JobEntry, Member, longest_chain},
    run_time::{QueueRatio, Run, RunTime, TimeLeft, scaled_by_log},
    server::Server,
    speed::SpeedClass,
};

impl Scheduler {
    /// Records the reported progress of a run.
    pub(crate) fn record_progress(&mut self, name: GroupId, id: &BackendServerId, running: &RunningTask, now: Moment) {
        if !self.estimates(name) {
            return;
        }
        let resumes = self.progress_of(name).checkpoint.is_some();
        let Some(member) = self.member_mut(name, running.task.index, id) else { return };
        let started = member.confirmed_at.filter(|_| !resumes && !member.started_before);
        if !member.progress.report(running.percent, started, now) {
            return;
        }
        let (has_estimate, total) = (member.progress.estimate().is_some(), member.progress.estimate_for_siblings());
        if !has_estimate {
            self.predict_by_siblings(name, running.task.index, id);
        }
        // What a resumed run reports may be the progress of its rest only.
        if let Some(total) = total.filter(|_| !resumes) {
            self.record_sibling(name, running.task.index, id, total.mean);
        }
    }

    /// Records the run time of a run that is done, and how far it was from what was predicted.
    pub(crate) fn record_run_time(&mut self, name: GroupId, index: u32, now: Moment) {
        if !self.estimates(name) {
            return;
        }
        let (step, group) = (self.step(name), self.group(name));
        // The members of a gang end together, so only the first completion counts, with the whole gang present.
        if step.gang && group.members.len() < step.count as usize {
            return;
        }
        let Some(member) = group.members.iter().find(|member| member.index == index) else { return };
        // A gang ends with its slowest member, which is most likely on the slowest backend server.
        let by_speed =
            |a: &&Member, b: &&Member| self.log_speed_factor(&a.server).total_cmp(&self.log_speed_factor(&b.server));
        let slowest = group.members.iter().filter(|_| step.gang).max_by(by_speed).unwrap_or(member);
        let (index, id) = (slowest.index, slowest.server.clone());
        let resumes = self.progress_of(name).checkpoint.is_some();
        let confirmed = member.confirmed_at.filter(|_| !resumes && !member.started_before);
        let Some(started) = member.progress.started_or(confirmed) else { return };
        let actual = now.since(started);
        self.observe_errors(name, actual);
        self.record_sibling(name, index, &id, actual);
    }

    /// Learns the ratio of a queue from a step whose tasks are all done.
    pub(crate) fn record_step_ratio(&mut self, name: GroupId) {
        if !self.estimates(name) {
            return;
        }
        let siblings = &self.occurrence(name.occurrence).siblings[name.step];
        let Some(log_ratio) = siblings.log_ratio(self.step(name).gang) else { return };
        let queue = self.jobs[&name.occurrence.job].job.queue.clone();
        let ratio = self.queue_ratios.entry(queue.clone()).or_default();
        if !ratio.record(log_ratio) {
            return;
        }
        log::info!("event=queue_run_times queue={queue} factor={:.2}", ratio.log_ratio().exp());
        let same_queue = |id: &&JobId| self.jobs[id].job.queue == queue;
        let affected: Vec<JobId> = self.open_jobs.iter().filter(same_queue).copied().collect();
        for id in affected {
            let entry = self.jobs.get_mut(&id).expect("open jobs are tracked");
            entry.update_chains(&self.queue_ratios);
        }
    }

    /// Returns the run time of a step's tasks that decisions rest on: the declared one unless it is off by more than
    /// chance.
    pub(crate) fn run_time_in_use(&self, name: GroupId) -> Duration {
        let entry = &self.jobs[&name.occurrence.job];
        let occurrence = self.occurrence(name.occurrence);
        let log_ratio = occurrence.siblings[name.step].in_use();
        let log_ratio = log_ratio.unwrap_or_else(|| log_ratio_of(&self.queue_ratios, &entry.job.queue));
        scaled_by_log(self.step(name).estimate, log_ratio)
    }

    /// Returns the expected remaining time of a group's run, without a margin.
    pub(crate) fn expected_time_left(&self, name: GroupId, now: Moment) -> Duration {
        let estimated = self.estimated_time_left(name, now);
        estimated.map_or_else(|| self.reported_time_left(name, now), |left| left.mean)
    }

    /// Returns the estimated remaining time of a group's run, which ends with its slowest task; `None` if run times of
    /// its step are not estimated.
    pub(crate) fn estimated_time_left(&self, name: GroupId, now: Moment) -> Option<TimeLeft> {
        if !self.estimates(name) {
            return None;
        }
        let group = self.group(name);
        let left = |member: &Member| {
            member.progress.time_left(now).unwrap_or_else(|| self.time_left_by_siblings(name, member, now))
        };
        Some(group.members.iter().map(left).max_by_key(|left| left.with_margin).unwrap_or_default())
    }

    fn time_left_by_siblings(&self, name: GroupId, member: &Member, now: Moment) -> TimeLeft {
        let run = Run {
            progress: &member.progress,
            placed_s: now.since(self.group(name).placed_at).secs_f64(),
            by_siblings: self.sibling_run_time(name, &member.server),
            by_declaration: self.declared_run_time(name),
        };
        run.time_left(now)
    }

    /// Returns whether run times of a group's step are estimated: those of tasks that last or run on what others leave
    /// idle say nothing.
    pub(crate) fn estimates(&self, name: GroupId) -> bool {
        let step = self.step(name);
        self.timing.tuning.run_times && !step.long_running && !step.best_effort && step.estimate > Duration::ZERO
    }

    /// Returns the run time of a step's tasks by their declared duration and the queue's ratio.
    fn declared_run_time(&self, name: GroupId) -> RunTime {
        let (log_ratio, spread) = self.queue_prior(name);
        RunTime::of_declared(self.step(name).estimate, log_ratio, spread)
    }

    /// Returns the run time of a step's tasks on a backend server, by their siblings.
    fn sibling_run_time(&self, name: GroupId, id: &BackendServerId) -> RunTime {
        let (log_ratio, spread) = self.occurrence(name.occurrence).siblings[name.step].estimate(self.queue_prior(name));
        RunTime::of_declared(self.step(name).estimate, log_ratio + self.log_speed_factor(id), spread)
    }

    fn queue_prior(&self, name: GroupId) -> (f64, f64) {
        let ratio = self.queue_ratios.get(&self.jobs[&name.occurrence.job].job.queue).copied().unwrap_or_default();
        (ratio.log_ratio(), ratio.spread())
    }

    fn predict_by_siblings(&mut self, name: GroupId, index: u32, id: &BackendServerId) {
        if self.occurrence(name.occurrence).siblings[name.step].is_empty() {
            return;
        }
        let total = self.sibling_run_time(name, id).mean;
        if let Some(member) = self.member_mut(name, index, id) {
            member.progress.predict_by_siblings(total);
        }
    }

    /// Records the total run time of one task for its siblings.
    fn record_sibling(&mut self, name: GroupId, index: u32, id: &BackendServerId, total: Duration) {
        let (declared, gang) = (self.step(name).estimate, self.step(name).gang);
        if total == Duration::ZERO {
            return;
        }
        let log_ratio = (total.secs_f64() / declared.secs_f64()).ln() - self.log_speed_factor(id);
        let siblings = &mut self.occurrence_mut(name.occurrence).siblings[name.step];
        siblings.record(index, log_ratio);
        if siblings.update_in_use(gang) {
            let entry = self.jobs.get_mut(&name.occurrence.job).expect("its occurrence was just changed");
            entry.update_chains(&self.queue_ratios);
        }
    }

    /// Returns the logarithm of the learned speed factor of a backend server; 0 while it counts as usual.
    fn log_speed_factor(&self, id: &BackendServerId) -> f64 {
        let is_usual = |server: &Server| server.speed.class(&self.fleet_speed) == SpeedClass::Usual;
        if self.servers.get(id).is_none_or(is_usual) {
            return 0.0;
        }
        self.speed(id, Moment::ZERO).map_or(0.0, |speed| speed.factor.ln())
    }

    /// Observes how far the actual run time of a group was from each prediction.
    fn observe_errors(&mut self, name: GroupId, actual: Duration) {
        let members = &self.group(name).members;
        let slowest = |predicted: fn(&Member) -> Option<Duration>| {
            let all: Option<Vec<Duration>> = members.iter().map(predicted).collect();
            all?.into_iter().max()
        };
        let predictions = [
            ("declared", Some(self.declared_run_time(name).mean)),
            ("siblings", slowest(|member| member.progress.predictions().0)),
            ("progress", slowest(|member| member.progress.predictions().1)),
        ];
        for (source, predicted) in predictions {
            let Some(predicted) = predicted.filter(|_| actual > Duration::ZERO) else { continue };
            let error = (actual.secs_f64() / predicted.secs_f64().max(0.001)).ln().abs();
            let thousandths = (error * 1000.0).round() as u32;
            self.observations.push(Observation::RunTimeError { source, thousandths });
        }
    }
}

impl JobEntry {
    /// Recomputes the estimated run time of the longest chain of steps, for each occurrence.
    pub(crate) fn update_chains(&mut self, ratios: &BTreeMap<QueueId, QueueRatio>) {
        let by_queue = log_ratio_of(ratios, &self.job.queue);
        let job: &Job = &self.job;
        for occurrence in &mut self.occurrences {
            let siblings = &occurrence.siblings;
            occurrence.chain = longest_chain(job, |step| {
                scaled_by_log(job.steps[step].estimate, siblings[step].in_use().unwrap_or(by_queue))
            });
        }
    }
}

fn log_ratio_of(ratios: &BTreeMap<QueueId, QueueRatio>, queue: &QueueId) -> f64 {
    ratios.get(queue).map_or(0.0, QueueRatio::log_ratio)
}
