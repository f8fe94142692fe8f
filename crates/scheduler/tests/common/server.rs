//! A backend server that keeps the promises of the users' protocol page, and the failures it allows.

use std::{collections::BTreeMap, sync::Arc};

use jobs::{Checkpoint, Fence, RunNumber, TaskId};
use model::{BackendServerId, Incarnation};
use scheduler::{Completion, CompletionKind, Listing, RunningTask, ServerInfo, StartReply};

/// A run as the backend server has it.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) run: RunNumber,
    /// Milliseconds of work left, on the backend server's clock; `None` while it waits for its gang.
    pub(crate) left: Option<u64>,
    pub(crate) waited: u64,
    pub(crate) fails: bool,
    pub(crate) checkpoint: Option<Checkpoint>,
}

#[derive(Debug)]
pub(crate) struct FakeServer {
    pub(crate) id: BackendServerId,
    /// Which of its lives this is.
    pub(crate) incarnation: Incarnation,
    pub(crate) info: ServerInfo,
    /// Its own steady clock, in milliseconds; it may run slow.
    pub(crate) clock: f64,
    pub(crate) rate: f64,
    pub(crate) fence: Fence,
    pub(crate) lease_until: u64,
    pub(crate) running: BTreeMap<TaskId, Run>,
    pub(crate) ended: Vec<Completion>,
    pub(crate) serial: u64,
    /// The highest run of a task that was stopped or has ended here.
    pub(crate) over: BTreeMap<TaskId, RunNumber>,
    /// Ends up to this one were followed by the end of the lease: they do not count as noted any more.
    pub(crate) lapsed_after: u64,
    /// Out of reach until then.
    pub(crate) cut_until: u64,
    /// What cuts it off refuses connections in its name.
    pub(crate) cut_refuses: bool,
    /// What it is told arrives, and its answers do not, until then.
    pub(crate) mute_until: u64,
    /// It starts whatever it is told to, also what it has no room for.
    pub(crate) unguarded: bool,
    /// Since when it has the capacity that it has.
    pub(crate) resized_at: u64,
    /// When it leaves, if it has said so.
    pub(crate) leaves_at: Option<u64>,
    /// The platform lists it.
    pub(crate) listed: bool,
    /// When the platform last heard of it.
    pub(crate) last_heartbeat: u64,
}

impl FakeServer {
    pub(crate) fn new(id: BackendServerId, info: ServerInfo, rate: f64) -> FakeServer {
        FakeServer {
            id,
            incarnation: info.incarnation.expect("every life tells which it is"),
            info,
            clock: 1000.0,
            rate,
            fence: Fence(0),
            lease_until: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            serial: 0,
            over: BTreeMap::new(),
            lapsed_after: 0,
            cut_until: 0,
            cut_refuses: false,
            mute_until: 0,
            unguarded: false,
            resized_at: 0,
            leaves_at: None,
            listed: true,
            last_heartbeat: 0,
        }
    }

    pub(crate) fn clock_ms(&self) -> u64 {
        self.clock as u64
    }

    fn obeys(&mut self, fence: Fence) -> bool {
        if fence < self.fence {
            return false;
        }
        self.fence = fence;
        true
    }

    pub(crate) fn start(
        &mut self,
        task: TaskId,
        run: Run,
        until: u64,
        fence: Fence,
        need: &jobs::Resources,
        used: jobs::Resources,
    ) -> StartReply {
        if !self.obeys(fence) {
            return StartReply::Fenced;
        }
        if until <= self.clock_ms() {
            return StartReply::Late;
        }
        self.lease_until = self.lease_until.max(until);
        if self.running.get(&task).is_some_and(|known| known.run == run.run) {
            return StartReply::Started;
        }
        if self.over.get(&task).is_some_and(|over| run.run <= *over) || self.running.contains_key(&task) {
            return StartReply::Over;
        }
        let mut free = self.info.capacity;
        free.remove(&used);
        if !self.unguarded && !free.contains(need) {
            return StartReply::NoRoom;
        }
        self.running.insert(task, run);
        StartReply::Started
    }

    /// The caller ends the run, if it is there, together with its gang.
    pub(crate) fn stop(&mut self, task: TaskId, run: RunNumber, fence: Fence) -> bool {
        if !self.obeys(fence) {
            return false;
        }
        let over = self.over.entry(task).or_default();
        *over = (*over).max(run);
        true
    }

    /// `None`: it obeys a later scheduler.
    pub(crate) fn hold(&mut self, fence: Fence, acknowledged: u64, until: Option<u64>) -> Option<Listing> {
        if !self.obeys(fence) {
            return None;
        }
        if let Some(until) = until {
            self.lease_until = self.lease_until.max(until);
        }
        self.ended.retain(|end| end.serial > acknowledged);
        let running = |(task, run): (&TaskId, &Run)| RunningTask {
            task: *task,
            run: run.run,
            checkpoint: run.checkpoint.clone(),
            percent: 1,
            latency_ms: None,
        };
        Some(Listing {
            incarnation: Some(self.incarnation),
            running: self.running.iter().map(running).collect(),
            completions: self.ended.clone(),
            ..Listing::default()
        })
    }

    pub(crate) fn end(&mut self, task: TaskId, kind: CompletionKind) -> Option<Run> {
        let run = self.running.remove(&task)?;
        self.serial += 1;
        let over = self.over.entry(task).or_default();
        *over = (*over).max(run.run);
        let checkpoint = Some(Arc::from(format!("{task}@{}", run.run)));
        self.ended.push(Completion { serial: self.serial, task, run: run.run, kind, checkpoint });
        Some(run)
    }
}
