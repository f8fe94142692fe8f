//! Stand-in of a backend server: its lease table, in memory and virtual time.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex},
};

use backend::{
    Answer, BackendReply, BackendRequest, Holder, Refusal, Renewal, ServerInfo, TableUpdate, TaskSpec, TaskState,
};
use model::{BackendServerId, CustomerId, Digest, Duration, JobId, LeaseToken, Moment, RequestId, Resources, Revision};

use crate::{
    Work,
    lease_row::{Event, Row, request_key},
};

/// Time that an ended lease and its answer are kept, unless they are acknowledged earlier.
const RETENTION: Duration = Duration::from_secs(3600);
/// Time that the highest token of a job is kept. Longer than the 24 hours for which a job may wait under its
/// ticket.
const TOKEN_RETENTION: Duration = Duration::from_secs(48 * 3600);
/// Time that a task takes to write a checkpoint.
const CHECKPOINT_COST: Duration = Duration::from_millis(20);
/// Highest number of removed rows whose job ids are remembered, so that a reply to a watch can list them instead of
/// sending the full table.
const MAX_REMOVED: usize = 1024;

/// Progress of checkpointed jobs, shared by the backend servers of a test as the platform's storage would be.
pub type Checkpoints = Arc<Mutex<BTreeMap<(CustomerId, RequestId), Duration>>>;

/// Record of one run of a task, from which the oracle of a test checks what ran and when.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// Job of the task.
    pub job: JobId,
    /// Attempt and epoch at the start of the run.
    pub token: LeaseToken,
    /// Specification of the task that ran.
    pub task: TaskSpec,
    /// Start of the run.
    pub began: Moment,
    /// End of the run and the state in which it ended; `None` while the task is running.
    pub ended: Option<(Moment, TaskState)>,
}

/// Lease table of one backend server, and the tasks that it simulates.
pub struct LeaseTable {
    info: ServerInfo,
    incarnation: u64,
    started: Moment,
    version: u64,
    rows: BTreeMap<JobId, Row>,
    highest_tokens: BTreeMap<JobId, HighestToken>,
    /// Removed rows, oldest first, each with the version of the table at its removal.
    removed: VecDeque<(u64, JobId)>,
    document: Option<String>,
    checkpoints: Checkpoints,
    /// Time since which every task fails; `None` without that fault.
    fail_since: Option<Moment>,
    /// All runs of tasks, in the order of their starts.
    pub runs: Vec<RunRecord>,
}

/// Highest token received for a job, and whether the job has run.
struct HighestToken {
    token: LeaseToken,
    ran: bool,
    /// Time of the last reservation or stop. The token is kept for [`TOKEN_RETENTION`] from then, and in any case
    /// while the table has a row for the job.
    recorded_at: Moment,
}

impl LeaseTable {
    /// Creates an empty table. `incarnation` must differ from that of every earlier table of this backend server.
    pub fn new(info: ServerInfo, incarnation: u64, checkpoints: Checkpoints, started: Moment) -> LeaseTable {
        LeaseTable {
            info,
            incarnation,
            started,
            version: 1,
            rows: BTreeMap::new(),
            highest_tokens: BTreeMap::new(),
            removed: VecDeque::new(),
            document: None,
            checkpoints,
            fail_since: None,
            runs: Vec::new(),
        }
    }

    /// Returns the id of the backend server.
    pub fn id(&self) -> &BackendServerId {
        &self.info.id
    }

    /// Returns the backend server's description of itself.
    pub fn info(&self) -> &ServerInfo {
        &self.info
    }

    /// Makes every task fail soon after its start, or ends this fault.
    pub fn set_fail_tasks(&mut self, fail: bool, now: Moment) {
        self.fail_since = fail.then(|| self.fail_since.unwrap_or(now));
    }

    /// Marks the backend server as draining (reported as `leaving`), or ends its draining.
    pub fn set_draining(&mut self, draining: bool) {
        self.info.leaving = draining;
        self.version += 1;
    }

    /// Returns the version of the table, which rises with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the configuration in force with its revision; `None` until the first `Configure` that sets one.
    pub fn document(&self) -> Option<(Revision, &str)> {
        Some((self.info.revision, self.document.as_deref()?))
    }

    /// Returns the token and state of a job's lease; `None` if the table has no row for the job.
    pub fn state_of(&self, job: &JobId) -> Option<(LeaseToken, &TaskState)> {
        self.rows.get(job).map(|row| (row.token, &row.state))
    }

    /// Returns the free resources.
    pub fn free(&self) -> Resources {
        let held: Resources = self.rows.values().filter(|r| r.state.holds()).map(|r| r.task.resources()).sum();
        self.info.resources.saturating_sub(&held)
    }

    /// Returns when the next task ends or the next lease expires; `None` if neither is pending. The removal of old
    /// records is not counted.
    pub fn next_event(&self) -> Option<Moment> {
        self.rows.values().filter_map(|r| r.next_event(self.fail_since)).map(|(at, _)| at).min()
    }

    /// Applies all changes due by `now`: ends tasks, expires leases, and removes old records.
    pub fn advance(&mut self, now: Moment) {
        let jobs: Vec<JobId> = self.rows.keys().cloned().collect();
        for job in jobs {
            while let Some((at, event)) = self.rows[&job].next_event(self.fail_since)
                && at <= now
            {
                self.apply(&job, at, event);
            }
        }
        self.purge(now);
    }

    /// Carries out one request. A `Watch` returns at once, even without a change; waiting is up to the caller.
    pub fn call(&mut self, req: BackendRequest, now: Moment) -> BackendReply {
        self.advance(now);
        let result = match req {
            BackendRequest::Reserve { job, token, holder, task, ttl, ticket_age } => {
                // A restart loses all earlier tokens, so the table covers at most the time since then.
                let remembered_for = now.since(self.started).min(TOKEN_RETENTION);
                match task.spec.repeatable || ticket_age <= remembered_for {
                    true => self.reserve(job, token, holder, task, now + ttl, now),
                    false => Err(Refusal::TooYoung { remembers: remembered_for }),
                }
            }
            BackendRequest::Start { job, token, ttl } => self.start(&job, token, now + ttl),
            BackendRequest::Renew { leases, ttl } => {
                let results = leases.iter().map(|lease| self.renew(lease, now + ttl, now)).collect();
                Ok(BackendReply::Renewed { results })
            }
            BackendRequest::Checkpoint { job, token, stop_after } => self.checkpoint(&job, token, stop_after, now),
            BackendRequest::Throttle { job, token, percent: _ } => {
                self.current(&job, token).map(|row| BackendReply::Ok { state: row.state.clone() })
            }
            BackendRequest::Stop { job, token } => self.stop(&job, token, now),
            BackendRequest::Adopt { job, token, holder, ttl } => self.adopt(&job, token, holder, now + ttl),
            BackendRequest::Describe { job } => self.describe(&job),
            BackendRequest::Fetch { job } => self.fetch(&job),
            BackendRequest::Acknowledge { job } => self.acknowledge(&job),
            BackendRequest::Watch { table, since, .. } => Ok(BackendReply::Table(self.update(table, since, now))),
            BackendRequest::Configure { revision, document } => self.configure(revision, document),
        };
        result.unwrap_or_else(BackendReply::Refused)
    }

    fn reserve(
        &mut self,
        job: JobId,
        token: LeaseToken,
        holder: Holder,
        task: TaskSpec,
        until: Moment,
        now: Moment,
    ) -> Result<BackendReply, Refusal> {
        if let Some(row) = self.rows.get(&job) {
            if row.token == token && row.holder == holder && row.state == TaskState::Reserved {
                return Ok(BackendReply::Ok { state: TaskState::Reserved });
            }
            if row.state.holds() && row.token.attempt < token.attempt {
                return Err(Refusal::WrongState { state: row.state.clone() });
            }
        }
        if let Some(seen) = self.highest_tokens.get(&job)
            && seen.token.attempt >= token.attempt
        {
            return Err(self.stale(&job));
        }
        if self.info.leaving {
            return Err(Refusal::Leaving);
        }
        let free = self.free();
        if !free.contains(&task.resources()) {
            return Err(Refusal::NoCapacity { free });
        }
        let ran = self.highest_tokens.get(&job).is_some_and(|s| s.ran);
        self.highest_tokens.insert(job.clone(), HighestToken { token, ran, recorded_at: now });
        self.version += 1;
        let row = Row {
            task,
            holder,
            token,
            state: TaskState::Reserved,
            changed: self.version,
            until,
            began: None,
            done_at: None,
            stop_at: None,
            ended: None,
            progress: Duration::ZERO,
            run: None,
            acknowledged: false,
        };
        self.rows.insert(job, row);
        Ok(BackendReply::Ok { state: TaskState::Reserved })
    }

    fn start(&mut self, job: &JobId, token: LeaseToken, until: Moment) -> Result<BackendReply, Refusal> {
        let state = match self.current(job, token)?.state.clone() {
            TaskState::Reserved => {
                let row = self.touch(job);
                row.state = TaskState::Armed;
                row.until = until;
                TaskState::Armed
            }
            state @ (TaskState::Armed | TaskState::Running) => state,
            state => return Err(Refusal::WrongState { state }),
        };
        Ok(BackendReply::Ok { state })
    }

    fn renew(&mut self, lease: &Renewal, until: Moment, now: Moment) -> Result<TaskState, Refusal> {
        let state = self.current(&lease.job, lease.token)?.state.clone();
        match state {
            TaskState::Armed if lease.go => {
                self.touch(&lease.job).until = until;
                self.begin(&lease.job, now);
                Ok(TaskState::Running)
            }
            TaskState::Armed | TaskState::Running => {
                self.rows.get_mut(&lease.job).expect("the row was just read").until = until;
                Ok(state)
            }
            state => Ok(state),
        }
    }

    fn begin(&mut self, job: &JobId, now: Moment) {
        let run = self.runs.len();
        let row = self.rows.get_mut(job).expect("the caller has read the row");
        let key = request_key(&row.task);
        let saved_progress = self.checkpoints.lock().expect("no holder panics").get(&key).copied();
        row.progress = if row.task.resume { saved_progress.unwrap_or_default() } else { Duration::ZERO };
        let left = Work::of(&row.task.spec).run_ms.saturating_sub(row.progress.millis());
        row.state = TaskState::Running;
        row.began = Some(now);
        row.done_at = Some(now + Duration::from_millis(left));
        row.run = Some(run);
        self.runs.push(RunRecord {
            job: job.clone(),
            token: row.token,
            task: row.task.clone(),
            began: now,
            ended: None,
        });
        self.highest_tokens.get_mut(job).expect("the token of a reserved job is recorded").ran = true;
    }

    fn checkpoint(
        &mut self,
        job: &JobId,
        token: LeaseToken,
        stop_after: Duration,
        now: Moment,
    ) -> Result<BackendReply, Refusal> {
        let row = self.current(job, token)?;
        if !row.state.holds() {
            return Err(Refusal::WrongState { state: row.state.clone() });
        }
        // A checkpointable task stops once its checkpoint is written, others after `stop_after`.
        let delay = if row.task.spec.checkpointable { CHECKPOINT_COST.min(stop_after) } else { stop_after };
        let row = self.touch(job);
        row.stop_at = Some(row.stop_at.map_or(now + delay, |at| at.min(now + delay)));
        Ok(BackendReply::Ok { state: row.state.clone() })
    }

    fn stop(&mut self, job: &JobId, token: LeaseToken, now: Moment) -> Result<BackendReply, Refusal> {
        if let Some(row) = self.rows.get(job) {
            if row.token > token {
                return Err(self.stale(job));
            }
            if row.state.holds() {
                let ran = row.state.ran();
                self.end(job, now, TaskState::Stopped { ran, checkpointed: false });
            }
        }
        let seen =
            self.highest_tokens.entry(job.clone()).or_insert(HighestToken { token, ran: false, recorded_at: now });
        seen.token = seen.token.max(token);
        seen.recorded_at = now;
        // As in `Reserve`: tokens from before the start of this table are lost.
        let remembered_for = now.since(self.started).min(TOKEN_RETENTION);
        Ok(BackendReply::Stopped { ran: seen.ran, remembers: remembered_for })
    }

    fn adopt(
        &mut self,
        job: &JobId,
        token: LeaseToken,
        holder: Holder,
        until: Moment,
    ) -> Result<BackendReply, Refusal> {
        let Some(row) = self.rows.get(job) else {
            return Err(Refusal::UnknownLease);
        };
        if row.token == token && row.holder == holder {
            return Ok(BackendReply::Ok { state: row.state.clone() });
        }
        if row.token.attempt != token.attempt || row.token.epoch >= token.epoch {
            return Err(self.stale(job));
        }
        if row.state == TaskState::Reserved {
            return Err(Refusal::WrongState { state: TaskState::Reserved });
        }
        let row = self.touch(job);
        row.holder = holder;
        row.token = token;
        if row.state.holds() {
            row.until = until;
        }
        let state = row.state.clone();
        let seen = self.highest_tokens.get_mut(job).expect("the token of a reserved job is recorded");
        seen.token = seen.token.max(token);
        Ok(BackendReply::Ok { state })
    }

    fn describe(&self, job: &JobId) -> Result<BackendReply, Refusal> {
        let row = self.rows.get(job).ok_or(Refusal::UnknownLease)?;
        Ok(BackendReply::Described { task: Box::new(row.task.clone()), token: row.token })
    }

    fn fetch(&self, job: &JobId) -> Result<BackendReply, Refusal> {
        let row = self.rows.get(job).ok_or(Refusal::UnknownLease)?;
        let TaskState::Finished { len, digest } = &row.state else {
            return Err(Refusal::WrongState { state: row.state.clone() });
        };
        Ok(BackendReply::Answer(Answer {
            job: job.clone(),
            token: row.token,
            text: Work::answer(&row.task.spec),
            len: *len,
            digest: digest.clone(),
        }))
    }

    fn acknowledge(&mut self, job: &JobId) -> Result<BackendReply, Refusal> {
        if !self.rows.contains_key(job) {
            return Err(Refusal::UnknownLease);
        }
        let row = self.touch(job);
        row.acknowledged = true;
        Ok(BackendReply::Ok { state: row.state.clone() })
    }

    fn configure(&mut self, revision: Revision, document: String) -> Result<BackendReply, Refusal> {
        if revision < self.info.revision {
            return Err(Refusal::OlderRevision { revision: self.info.revision });
        }
        if revision > self.info.revision {
            self.info.revision = revision;
            self.document = Some(document);
            self.version += 1;
        }
        Ok(BackendReply::Configured { revision })
    }

    /// Returns the row of a job if its token equals `token`.
    ///
    /// Fails with `Stale` if a higher token was received for the job, and with `UnknownLease` otherwise.
    fn current(&self, job: &JobId, token: LeaseToken) -> Result<&Row, Refusal> {
        match self.rows.get(job) {
            Some(row) if row.token == token => Ok(row),
            Some(row) if row.token > token => Err(self.stale(job)),
            _ if self.highest_tokens.get(job).is_some_and(|s| s.token > token) => Err(self.stale(job)),
            _ => Err(Refusal::UnknownLease),
        }
    }

    fn stale(&self, job: &JobId) -> Refusal {
        let seen = self.highest_tokens.get(job).map_or(LeaseToken::default(), |s| s.token);
        let holder = self.rows.get(job).map(|row| row.holder.clone());
        Refusal::Stale { seen, holder }
    }

    /// Marks a row as changed at a new version of the table, and returns it.
    fn touch(&mut self, job: &JobId) -> &mut Row {
        self.version += 1;
        let row = self.rows.get_mut(job).expect("the caller has read the row");
        row.changed = self.version;
        row
    }

    fn apply(&mut self, job: &JobId, at: Moment, event: Event) {
        let row = &self.rows[job];
        let ran = row.state.ran();
        let spec = &row.task.spec;
        let state = match event {
            Event::Lapse => TaskState::Lapsed { ran },
            Event::Stop => TaskState::Stopped { ran, checkpointed: spec.checkpointable && ran },
            Event::ServerFault => TaskState::Failed { why: format!("{} fails every task", self.info.id) },
            Event::Done => match Work::of(spec).fail {
                Some(why) => TaskState::Failed { why },
                None => {
                    let answer = Work::answer(spec);
                    TaskState::Finished { len: answer.len() as u64, digest: Digest::of(answer.as_bytes()) }
                }
            },
        };
        if matches!(state, TaskState::Stopped { checkpointed: true, .. })
            && let Some(began) = row.began
        {
            let progress = row.progress + at.since(began);
            self.checkpoints.lock().expect("no holder panics").insert(request_key(&row.task), progress);
        }
        self.end(job, at, state);
    }

    fn end(&mut self, job: &JobId, at: Moment, state: TaskState) {
        let row = self.touch(job);
        row.state = state.clone();
        row.ended = Some(at);
        if let Some(run) = row.run.take() {
            self.runs[run].ended = Some((at, state));
        }
    }

    fn purge(&mut self, now: Moment) {
        let removable = |row: &Row| row.ended.is_some_and(|at| row.acknowledged || now.since(at) > RETENTION);
        let jobs: Vec<JobId> = self.rows.iter().filter(|(_, row)| removable(row)).map(|(job, _)| job.clone()).collect();
        for job in jobs {
            self.rows.remove(&job);
            self.version += 1;
            self.removed.push_back((self.version, job));
        }
        while self.removed.len() > MAX_REMOVED {
            self.removed.pop_front();
        }
        self.highest_tokens
            .retain(|job, seen| self.rows.contains_key(job) || now.since(seen.recorded_at) < TOKEN_RETENTION);
    }

    fn update(&self, table: u64, since: u64, now: Moment) -> TableUpdate {
        let oldest_removed = self.removed.front().map_or(0, |(version, _)| *version);
        let full = table != self.incarnation || (self.removed.len() == MAX_REMOVED && since < oldest_removed);
        let since = if full { 0 } else { since };
        let changed = |row: &&Row| row.changed > since;
        let leases = self.rows.iter().filter(|(_, row)| changed(row)).map(|(job, row)| row.lease(job, now));
        let removed = self.removed.iter().filter(|(version, _)| *version > since).map(|(_, job)| job.clone());
        TableUpdate {
            table: self.incarnation,
            version: self.version,
            full,
            leases: leases.collect(),
            removed: if full { Vec::new() } else { removed.collect() },
            info: self.info.clone(),
        }
    }
}
