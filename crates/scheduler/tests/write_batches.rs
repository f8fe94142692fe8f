//! Order of writes if more has changed than fits into one batch.

mod common;

use common::{Fixture, Started, job_in, step};
use jobs::{JobId, RunNumber};
use model::Revision;
use scheduler::{CompletionKind, Order, StartReply};

/// Maximum number of writes in a batch, as the store allows.
const MAX_BATCH_WRITES: usize = 15;
/// Jobs that change with every batch, and their tasks: more than one batch can hold.
const BUSY_JOBS: u64 = 20;
const TASKS: u32 = 60;

/// Returns how many batches it takes until the job with the highest id starts, while those before it keep changing.
fn writes_until_a_new_job_starts() -> usize {
    let mut fixture = Fixture::new(300);
    for id in 1..=BUSY_JOBS {
        fixture.submit(job_in("batch", id, vec![step(TASKS, 1)]));
    }
    let mut running: Vec<Started> = fixture.start_all();
    assert_eq!(running.len(), BUSY_JOBS as usize * TASKS as usize);
    fixture.submit(job_in("batch", u64::MAX, vec![step(1, 1)]));
    fixture.scheduler.plan(fixture.now, fixture.now.millis());
    for write in 1..20 {
        complete_one_of_each(&mut fixture, &mut running);
        let batch = fixture.scheduler.next_write_batch(MAX_BATCH_WRITES).expect("much has changed");
        fixture.scheduler.batch_stored(batch, Revision(1000 + write));
        if starts(&mut fixture).contains(&JobId(u64::MAX)) {
            return write as usize;
        }
    }
    usize::MAX
}

fn complete_one_of_each(fixture: &mut Fixture, running: &mut Vec<Started>) {
    for id in 1..=BUSY_JOBS {
        let at = running.iter().position(|started| started.task.occurrence.job == JobId(id)).expect("60 run");
        let started = running.swap_remove(at);
        fixture.complete(&started, CompletionKind::Done);
    }
}

/// Returns the jobs of which something was ordered to start.
fn starts(fixture: &mut Fixture) -> Vec<JobId> {
    let mut ids = Vec::new();
    for order in fixture.scheduler.take_orders() {
        if let Order::Start { server, task, run, .. } = order {
            fixture.scheduler.start_replied(&server, task, run, StartReply::Started, fixture.now);
            ids.push(task.occurrence.job);
        }
    }
    ids
}

#[test]
fn jobs_that_keep_changing_delay_no_other() {
    let writes = writes_until_a_new_job_starts();
    assert!(writes <= 4, "one round of all that has changed takes 4 writes, and the start came with write {writes}");
}

#[test]
fn what_changes_while_it_is_written_is_written_again() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job_in("batch", 1, vec![step(2, 1)]));
    let running = fixture.start_all();
    fixture.complete(&running[0], CompletionKind::Done);
    let batch = fixture.scheduler.next_write_batch(MAX_BATCH_WRITES).expect("a completion is to be stored");
    fixture.complete(&running[1], CompletionKind::Done);
    fixture.scheduler.batch_stored(batch, Revision(2000));
    assert!(fixture.scheduler.has_pending_writes());
    let batch = fixture.scheduler.next_write_batch(MAX_BATCH_WRITES).expect("the other completion is to be stored");
    assert_eq!(batch.writes[0].replaces, Revision(2000));
    assert!(batch.writes[0].progress.done());
    assert_eq!(running[1].run, RunNumber(1));
}

/// A write without a reply delays only its own jobs.
#[test]
fn writes_in_flight_are_of_different_jobs() {
    let mut fixture = Fixture::new(8);
    for id in 1..=6 {
        fixture.submit(job_in("urgent", id, vec![step(1, 8)]));
    }
    fixture.scheduler.plan(fixture.now, fixture.now.millis());
    let first = fixture.scheduler.next_write_batch(2).expect("six wait");
    let second = fixture.scheduler.next_write_batch(2).expect("four wait");
    let jobs = |batch: &scheduler::WriteBatch| batch.writes.iter().map(|write| write.occurrence).collect::<Vec<_>>();
    assert!(jobs(&first).iter().all(|id| !jobs(&second).contains(id)));
    // The reply to the second arrives; the first is still outstanding.
    fixture.scheduler.batch_stored(second, model::Revision(7));
    let third = fixture.scheduler.next_write_batch(9).expect("two wait");
    assert_eq!(third.writes.len(), 2);
    assert!(fixture.scheduler.next_write_batch(9).is_none(), "all are in flight or stored");
    fixture.scheduler.batch_failed(&first);
    let again = fixture.scheduler.next_write_batch(9).expect("the first was lost");
    assert_eq!(jobs(&again), jobs(&first));
}

/// A change during a write is written once more, after it.
#[test]
fn a_change_during_a_write_waits_for_its_reply() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job_in("urgent", 1, vec![step(1, 8)]));
    fixture.scheduler.plan(fixture.now, fixture.now.millis());
    let placed = fixture.scheduler.next_write_batch(9).expect("it was placed");
    fixture.scheduler.cancel(jobs::JobId(1), fixture.now);
    assert!(fixture.scheduler.next_write_batch(9).is_none(), "its write is in flight");
    fixture.scheduler.batch_stored(placed, model::Revision(7));
    let stopped = fixture.scheduler.next_write_batch(9).expect("it has changed since");
    assert_eq!(stopped.writes[0].replaces, model::Revision(7));
}

/// Returns how many of so many placed jobs wait for a write without a reply while others are written.
fn delayed_by_a_lost_write(jobs: u64) -> usize {
    let mut fixture = Fixture::new(jobs as usize);
    for id in 1..=jobs {
        fixture.submit(job_in("urgent", id, vec![step(1, 8)]));
    }
    fixture.scheduler.plan(fixture.now, fixture.now.millis());
    fixture.scheduler.next_write_batch(MAX_BATCH_WRITES).expect("all wait");
    while let Some(batch) = fixture.scheduler.next_write_batch(MAX_BATCH_WRITES) {
        fixture.scheduler.batch_stored(batch, Revision(1000));
    }
    jobs as usize - starts(&mut fixture).len()
}

/// With one write at a time, all jobs would wait for it: twice as many in a fleet of twice the size.
#[test]
fn a_lost_write_delays_as_many_jobs_in_a_fleet_of_twice_the_size() {
    for jobs in [60, 120, 240] {
        assert_eq!(delayed_by_a_lost_write(jobs), MAX_BATCH_WRITES, "of {jobs}");
    }
}
