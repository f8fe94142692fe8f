//! Time from the placement of a run until its order, on a fleet of the largest size.

mod common;

use std::collections::BTreeMap;

use common::{Fixture, Started, job_in, step};
use model::Revision;
use scheduler::{CompletionKind, Observation, Order, StartReply, WriteBatch};

/// Number of backend servers, as on the largest site of the platform.
const SERVERS: usize = 1100;
/// Length of one turn of the scheduler's planner, writer and connections, in milliseconds; a write gets its reply
/// within one.
const TURN_MS: u64 = 10;
const TURNS: u64 = 800;
/// Maximum number of writes in a batch, as the store allows.
const MAX_BATCH_WRITES: usize = 15;
/// A job of `tasks` tasks that take `takes` turns is submitted `every` so many turns: 20 urgent jobs a second and 5
/// others, some 700 starts and as many completions a second, and 60 % of the accelerators in use.
const URGENT: Load = Load { queue: "urgent", every: 5, tasks: 8, takes: 250 };
const ARCHIVE: Load = Load { queue: "archive", every: 20, tasks: 110, takes: 600 };
/// 99th percentile within which runs are to be ordered, in milliseconds.
const MAX_P99_MS: u64 = 250;

struct Load {
    queue: &'static str,
    every: u64,
    tasks: u32,
    takes: u64,
}

struct Fleet {
    fixture: Fixture,
    /// Runs by the turn in which they end.
    ending: BTreeMap<u64, Vec<Started>>,
    /// Write in flight.
    writing: Option<WriteBatch>,
    waits_ms: Vec<u64>,
    next_id: u64,
}

impl Fleet {
    fn submit(&mut self, load: &Load, turn: u64) {
        if turn.is_multiple_of(load.every) {
            // Spreads the jobs over all ids, as those of callers are.
            self.next_id = self.next_id.wrapping_add(0x9e37_79b9_7f4a_7c15);
            self.fixture.submit(job_in(load.queue, self.next_id, vec![step(load.tasks, 1)]));
        }
    }

    fn turn(&mut self, turn: u64) {
        for started in self.ending.remove(&turn).unwrap_or_default() {
            self.fixture.complete(&started, CompletionKind::Done);
        }
        self.submit(&URGENT, turn);
        self.submit(&ARCHIVE, turn);
        let scheduler = &mut self.fixture.scheduler;
        scheduler.plan(self.fixture.now, self.fixture.now.millis());
        if let Some(batch) = self.writing.take() {
            scheduler.batch_stored(batch, Revision(1000 + turn));
        }
        self.writing = scheduler.next_write_batch(MAX_BATCH_WRITES);
        self.answer_orders(turn);
    }

    fn answer_orders(&mut self, turn: u64) {
        let now = self.fixture.now;
        for order in self.fixture.scheduler.take_orders() {
            let Order::Start { server, task, run, checkpoint, permit, .. } = order else { continue };
            self.fixture.scheduler.start_replied(&server, task, run, StartReply::Started, now);
            // Completions of one job are spread over a second.
            let takes = if task.occurrence.job.0 % 2 == 0 { ARCHIVE.takes } else { URGENT.takes };
            let ends = turn + takes + u64::from(task.index) % 100;
            self.ending.entry(ends).or_default().push(Started { server, task, run, checkpoint, permit });
        }
        for observation in self.fixture.scheduler.take_observations() {
            if let Observation::RunStarted { after, .. } = observation {
                self.waits_ms.push(after.millis());
            }
        }
    }
}

#[test]
fn starts_are_ordered_in_time_on_1100_backend_servers() {
    let mut fleet = Fleet {
        fixture: Fixture::new(SERVERS),
        ending: BTreeMap::new(),
        writing: None,
        waits_ms: Vec::new(),
        next_id: 0,
    };
    for turn in 0..TURNS {
        fleet.turn(turn);
        let now_ms = fleet.fixture.now.millis();
        let next = 1000 + (turn + 1) * TURN_MS;
        fleet.fixture.now = model::Moment::from_millis(next.max(now_ms));
    }
    fleet.waits_ms.sort_unstable();
    let waits = &fleet.waits_ms;
    let p99 = waits[waits.len() * 99 / 100];
    assert!(waits.len() > 2000, "only {} runs started", waits.len());
    assert!(p99 <= MAX_P99_MS, "of {} runs, one of a hundred waited {p99} ms or more", waits.len());
}
