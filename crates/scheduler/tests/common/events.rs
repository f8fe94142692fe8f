//! Calls between schedulers, backend servers and the store, as they arrive and are answered.

use std::collections::{BTreeMap, BTreeSet};

use jobs::{OccurrenceId, RunNumber, TaskId};
use model::{AvailabilityZoneId, BackendServerId, Incarnation, Moment, Revision};
use scheduler::{
    CallFailure, CompletionKind, EvacuatedBy, Listing, StartReply, UnreachableWrite, WitnessRecord, WitnessWrite,
    WriteBatch,
};

use super::{
    server::FakeServer,
    world::{ClockReading, STEP_MS, World},
};

/// After this long a scheduler is told that a start was not answered.
pub(crate) const UNANSWERED_MS: u64 = 400;

/// Something that arrives somewhere. `leader` is the index of the scheduler that called or hears.
#[derive(Debug)]
pub(crate) enum Event {
    Hold {
        leader: usize,
        server: BackendServerId,
        life: Option<Incarnation>,
        acknowledged: u64,
        until: Option<u64>,
        sent: Moment,
    },
    Held {
        leader: usize,
        server: BackendServerId,
        reply: Option<Listing>,
        /// Whose clock, and what it shows.
        clock: (Incarnation, u64),
        sent: Moment,
    },
    Start {
        leader: usize,
        server: BackendServerId,
        life: Option<Incarnation>,
        task: TaskId,
        run: RunNumber,
        until: u64,
        answered: bool,
        checkpoint: bool,
    },
    Started {
        leader: usize,
        server: BackendServerId,
        task: TaskId,
        run: RunNumber,
        reply: StartReply,
    },
    Stop {
        leader: usize,
        server: BackendServerId,
        life: Option<Incarnation>,
        task: TaskId,
        run: RunNumber,
        answered: bool,
    },
    Stopped {
        leader: usize,
        server: BackendServerId,
        task: TaskId,
        run: RunNumber,
    },
    Write {
        leader: usize,
        batch: WriteBatch,
        answered: bool,
    },
    Written {
        leader: usize,
        batch: WriteBatch,
        result: Result<Revision, BTreeMap<OccurrenceId, Revision>>,
    },
    WriteLost {
        leader: usize,
        batch: WriteBatch,
    },
    Note {
        leader: usize,
        write: UnreachableWrite,
        answered: bool,
    },
    Noted {
        leader: usize,
        write: UnreachableWrite,
        result: Result<Revision, Revision>,
    },
    NoteLost {
        leader: usize,
    },
    Choose {
        leader: usize,
        write: WitnessWrite,
        answered: bool,
    },
    Chosen {
        leader: usize,
        write: WitnessWrite,
        result: Result<Revision, Option<(WitnessRecord, Revision)>>,
    },
    ChoiceLost {
        leader: usize,
    },
    /// A scheduler hears that the platform no longer lists a backend server.
    Unlisted {
        leader: usize,
        server: BackendServerId,
    },
    /// A scheduler hears how the evacuations stand by then.
    EvacuationsTold {
        leader: usize,
    },
    /// A backend server's process ends without a word.
    Crash {
        server: BackendServerId,
    },
    /// Another life answers at its address.
    Back {
        server: BackendServerId,
    },
    /// A backend server that has crashed begins its next life under its id.
    Return {
        server: Box<FakeServer>,
    },
    /// A scheduler's call finds that a backend server has gone.
    CallFailed {
        leader: usize,
        server: BackendServerId,
        how: CallFailure,
    },
}

impl World {
    pub(crate) fn run_events(&mut self) {
        self.events.sort_by_key(|(at, _)| *at);
        let due = self.events.iter().take_while(|(at, _)| *at <= self.now).count();
        let events: Vec<(u64, Event)> = self.events.drain(..due).collect();
        for (_, event) in events {
            self.handle(event);
        }
    }

    pub(crate) fn handle(&mut self, event: Event) {
        match event {
            Event::Hold { leader, server, life, acknowledged, until, sent } => {
                // Over a connection on which another life answers, or none has answered, nothing is acknowledged or renewed.
                let meant = self.is_life(&server, life);
                let (acknowledged, until) = if meant { (acknowledged, until) } else { (0, None) };
                self.on_hold(leader, &server, acknowledged, until, sent);
            }
            Event::Held { leader, server, reply, clock, sent } => self.on_held(leader, server, reply, clock, sent),
            Event::Start { leader, server, life, task, run, until, answered, checkpoint } => {
                if answered {
                    self.check_evacuated(&server, task);
                }
                let reply = if self.is_life(&server, life) {
                    self.start(leader, &server, task, run, until, checkpoint)
                } else {
                    StartReply::Unknown
                };
                let reply = if self.is_mute(&server) { StartReply::Unknown } else { reply };
                let delay = if reply == StartReply::Unknown { UNANSWERED_MS } else { STEP_MS };
                if answered {
                    self.after(delay, Event::Started { leader, server, task, run, reply });
                }
            }
            Event::Started { leader, server, task, run, reply } => self.on_started(leader, &server, task, run, reply),
            Event::Stop { leader, server, life, task, run, answered } => {
                let obeyed = self.is_life(&server, life) && self.on_stop(leader, &server, task, run);
                if obeyed && answered && !self.is_mute(&server) {
                    self.after(STEP_MS, Event::Stopped { leader, server, task, run });
                }
            }
            Event::Stopped { leader, server, task, run } => self.on_stopped(leader, &server, task, run),
            Event::Write { leader, batch, answered } => {
                let result = self.write(leader, &batch);
                if answered {
                    self.after(STEP_MS, Event::Written { leader, batch, result });
                }
            }
            Event::Written { leader, batch, result } => self.on_written(leader, batch, result),
            Event::WriteLost { leader, batch } => {
                self.leaders[leader].writing -= 1;
                self.leaders[leader].scheduler.batch_failed(&batch);
            }
            Event::Note { leader, write, answered } => {
                let result = self.write_note(leader, &write);
                if answered {
                    self.after(STEP_MS, Event::Noted { leader, write, result });
                }
            }
            Event::Noted { leader, write, result } => {
                let leader = &mut self.leaders[leader];
                leader.noting = false;
                match result {
                    Ok(revision) => leader.scheduler.unreachable_stored(write, revision),
                    Err(found) => leader.scheduler.unreachable_revision_found(found),
                }
            }
            Event::NoteLost { leader } => self.leaders[leader].noting = false,
            Event::Choose { leader, write, answered } => {
                let result = self.write_witnesses(leader, &write);
                if answered {
                    self.after(STEP_MS, Event::Chosen { leader, write, result });
                }
            }
            Event::Chosen { leader, write, result } => self.on_chosen(leader, write, result),
            Event::ChoiceLost { leader } => self.leaders[leader].choosing = false,
            Event::Unlisted { leader, server } => {
                let now = self.moment();
                self.leaders[leader].scheduler.server_unlisted(&server, now);
            }
            Event::EvacuationsTold { leader } => self.on_evacuations_told(leader),
            Event::Crash { server } => self.on_crash(&server),
            Event::Back { server } => self.on_back(&server),
            Event::Return { server } => self.on_return(*server),
            Event::CallFailed { leader, server, how } => {
                let now = self.moment();
                self.leaders[leader].scheduler.call_failed(&server, how, now);
            }
        }
    }

    fn on_hold(&mut self, leader: usize, id: &BackendServerId, acknowledged: u64, until: Option<u64>, sent: Moment) {
        if !self.reachable_by(leader, id) {
            return;
        }
        let fence = self.leaders[leader].fence;
        self.note(id, fence, acknowledged);
        let server = self.server_mut(id);
        let reply = server.hold(fence, acknowledged, until);
        let (id, clock) = (server.id.clone(), (server.incarnation, server.clock_ms()));
        if self.is_mute(&id) {
            return;
        }
        // An answer may be overtaken by later ones on other connections.
        let delay = STEP_MS * (1 + self.rng.u64(..6));
        self.after(delay, Event::Held { leader, server: id, reply, clock, sent });
    }

    fn on_held(
        &mut self,
        leader: usize,
        id: BackendServerId,
        reply: Option<Listing>,
        (incarnation, clock): (Incarnation, u64),
        sent: Moment,
    ) {
        if !self.is_life(&id, Some(incarnation)) {
            // The connection broke with the life that had answered.
            return;
        }
        let (now, at) = (self.moment(), self.now);
        let reachable = self.reachable_by(leader, &id);
        let leader = &mut self.leaders[leader];
        if !leader.alive || !reachable || leader.holding.remove(&id).is_none() {
            return;
        }
        let Some(listing) = reply else {
            leader.alive = false;
            return;
        };
        leader.clocks.insert(id.clone(), ClockReading { incarnation, clock, at });
        leader.reached.insert(id.clone());
        leader.scheduler.listing(&id, &listing, sent, now);
    }

    fn on_started(&mut self, leader: usize, id: &BackendServerId, task: TaskId, run: RunNumber, reply: StartReply) {
        let now = self.moment();
        let leader = &mut self.leaders[leader];
        if leader.alive {
            leader.scheduler.start_replied(id, task, run, reply, now);
            leader.alive &= !leader.scheduler.lost_leadership();
        }
    }

    /// Whether the backend server obeys, and so may answer.
    fn on_stop(&mut self, leader: usize, id: &BackendServerId, task: TaskId, run: RunNumber) -> bool {
        if !self.reachable_by(leader, id) {
            return false;
        }
        let fence = self.leaders[leader].fence;
        if !self.server_mut(id).stop(task, run, fence) {
            return false;
        }
        if self.servers[id].running.get(&task).is_some_and(|known| known.run == run) {
            self.end(id, task, CompletionKind::Stopped);
        }
        true
    }

    fn on_stopped(&mut self, leader: usize, id: &BackendServerId, task: TaskId, run: RunNumber) {
        let now = self.moment();
        if self.leaders[leader].alive {
            self.leaders[leader].scheduler.stop_replied(id, task, run, now);
        }
    }

    fn on_evacuations_told(&mut self, leader: usize) {
        let now = self.moment();
        let zones: BTreeSet<AvailabilityZoneId> = self.evacuated.keys().cloned().collect();
        let leader = &mut self.leaders[leader];
        leader.scheduler.set_evacuated(EvacuatedBy::Platform, &zones, now);
        leader.evacuated = zones;
    }

    fn on_written(
        &mut self,
        index: usize,
        batch: WriteBatch,
        result: Result<Revision, BTreeMap<OccurrenceId, Revision>>,
    ) {
        let leader = &mut self.leaders[index];
        leader.writing -= 1;
        match result {
            Ok(revision) => {
                leader.scheduler.batch_stored(batch, revision);
            }
            Err(found) if leader.fence == self.holder => {
                leader.scheduler.stored_revisions_found(&found);
                leader.scheduler.batch_failed(&batch);
                self.on_evacuations_told(index);
            }
            Err(_) => leader.alive = false,
        }
    }
}
