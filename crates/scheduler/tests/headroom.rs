//! Reserved capacity for urgent jobs, and jobs that wait for it.

mod common;

use common::{Fixture, gang, info, job_in, server_id, step};
use jobs::JobId;
use scheduler::{CompletionKind, StartReply};

/// Returns how many deferrable tasks start at once on 32 accelerators after ten stops that took so long.
fn placed_after_stops_of(ms: u64) -> usize {
    let mut fixture = Fixture::new(4);
    for id in 1..=10 {
        fixture.submit(job_in("archive", id, vec![step(1, 1)]));
        let started = fixture.start_all();
        fixture.scheduler.cancel(JobId(id), fixture.now);
        fixture.advance(ms);
        fixture.complete(&started[0], CompletionKind::Stopped);
    }
    fixture.submit(job_in("archive", 99, vec![step(32, 1)]));
    fixture.start_all().len()
}

#[test]
fn more_capacity_is_reserved_the_longer_a_stop_takes() {
    let (quick, slow) = (placed_after_stops_of(100), placed_after_stops_of(900));
    assert!(slow < quick, "{slow} tasks start where a stop takes 0.9 s, and {quick} where it takes 0.1 s");
    assert!(slow > 16, "nothing is reserved while half of the service is free");
}

/// Returns how many deferrable tasks that have waited so long start beside others that hold 18 of 32 accelerators.
fn placed_after_waiting(ms: u64) -> usize {
    let mut fixture = Fixture::new(4);
    for id in 1..=10 {
        fixture.submit(job_in("archive", id, vec![step(1, 1)]));
        let started = fixture.start_all();
        fixture.scheduler.cancel(JobId(id), fixture.now);
        fixture.advance(900);
        fixture.complete(&started[0], CompletionKind::Stopped);
    }
    fixture.submit(job_in("archive", 98, vec![step(18, 1)]));
    assert_eq!(fixture.start_all().len(), 18);
    let mut late = job_in("archive", 99, vec![step(14, 1)]);
    late.accepted_ms = fixture.now.millis() - ms;
    fixture.submit(late);
    fixture.start_all().len()
}

#[test]
fn work_that_has_waited_long_may_use_some_reserved_capacity() {
    // With 2 s of work the job may take 7 s, so it can wait for 5 s; half of that is 2.5 s.
    assert_eq!(placed_after_waiting(1000), 0);
    assert!(placed_after_waiting(3000) > 0);
}

/// Guards against jobs with nothing placed until 15 s after an election, with most capacity free, on a deployment with
/// slow stops. Half of the backend servers were lost during the election. Their runs counted as running until every
/// lease had expired, so that more than half of the service seemed in use, and free capacity was reserved for urgent
/// jobs.
#[test]
fn runs_on_lost_backend_servers_do_not_reserve_capacity() {
    let mut fixture = Fixture::new(8);
    fixture.submit(job_in("urgent", 1, vec![step(40, 1)]));
    let started = fixture.start_all();
    let mut busy: Vec<_> = started.iter().map(|start| start.server.clone()).collect();
    busy.dedup();
    for id in &busy[..4] {
        fixture.stop_responding(id);
    }
    fixture.elect_next();
    fixture.submit(job_in("archive", 2, vec![step(1, 1)]));
    assert_eq!(fixture.start_all().len(), 1, "8 of the 32 accelerators that are left are in use");
}

/// Maximum time for which a job may be stalled if there is twice the capacity that it needs (platform rules).
const STALL_LIMIT_MS: u64 = 3000;

/// Guards against jobs that are stalled for seconds with capacity for them, as others of the same customer. Capacity
/// reserved for urgent jobs was withheld from deferrable work for as long as the service stayed in use, even from jobs
/// with nothing running at all.
#[test]
fn a_stalled_job_gets_reserved_capacity_in_time() {
    for shape in [vec![step(6, 1)], vec![gang(3, 2)]] {
        let mut fixture = Fixture::new(4);
        fixture.submit(job_in("urgent", 1, vec![step(20, 1)]));
        assert_eq!(fixture.start_all().len(), 20);
        fixture.submit(job_in("archive", 2, shape.clone()));
        assert!(fixture.start_all().is_empty(), "capacity is reserved for urgent jobs");
        let mut started = 0;
        for _ in 0..STALL_LIMIT_MS / 100 {
            fixture.advance(100);
            started += fixture.start_all().len();
        }
        assert!(started > 0, "nothing of it runs after {STALL_LIMIT_MS} ms: {shape:?}");
    }
}

/// Deferrable work must not use up the reserved capacity: one task is enough for a job not to be stalled.
#[test]
fn a_running_job_gets_no_reserved_capacity() {
    let mut fixture = Fixture::new(4);
    fixture.submit(job_in("urgent", 1, vec![step(20, 1)]));
    fixture.start_all();
    fixture.submit(job_in("archive", 2, vec![step(12, 1)]));
    let mut started = 0;
    for _ in 0..50 {
        fixture.advance(100);
        started += fixture.start_all().len();
    }
    assert!(started <= 1, "{started} of 12 tasks took reserved capacity");
}

/// A run on an unresponsive backend server may have ended: it is no reason to withhold capacity from the rest of its
/// job.
#[test]
fn a_job_with_a_lost_run_gets_reserved_capacity_in_time() {
    let mut fixture = Fixture::new(5);
    fixture.submit(job_in("urgent", 1, vec![step(20, 1)]));
    assert_eq!(fixture.start_all().len(), 20);
    fixture.submit(job_in("archive", 2, vec![step(1, 8), step(6, 1)]));
    let first = fixture.start_all();
    assert_eq!(first.len(), 1, "the second step gets no reserved capacity");
    fixture.stop_responding(&first[0].server);
    let mut started = 0;
    for _ in 0..STALL_LIMIT_MS / 100 {
        fixture.advance(100);
        started += fixture.start_all().len();
    }
    assert!(started > 0, "nothing of it runs");
}

/// Half of the backend servers are listed and have not responded, as where a box is connected to a part of them. Of the
/// whole service less than a third is in use.
#[test]
fn listed_backend_servers_without_a_response_count_as_capacity() {
    let mut fixture = Fixture::new(4);
    for i in 4..8 {
        fixture.scheduler.server_listed(server_id(i), info(i), fixture.now);
    }
    fixture.submit(job_in("urgent", 1, vec![step(20, 1)]));
    assert_eq!(fixture.start_all().len(), 20);
    fixture.submit(job_in("archive", 2, vec![step(4, 1)]));
    assert_eq!(
        fixture.start_all().len(),
        4,
        "20 of 64 accelerators are in use, and 12 of responding backend servers are free"
    );
}

/// Guards against a stalled job whose wait doubles when its start is refused for lack of capacity that the scheduler
/// does not track. The time without a running task must end with a run that starts, not with a placement.
#[test]
fn a_refused_start_does_not_restart_the_wait_for_reserved_capacity() {
    let mut fixture = Fixture::new(4);
    fixture.submit(job_in("urgent", 1, vec![step(20, 1)]));
    assert_eq!(fixture.start_all().len(), 20);
    fixture.submit(job_in("archive", 2, vec![step(6, 1)]));
    let from = fixture.now;
    let refused = loop {
        let ordered = fixture.ordered_starts();
        if let Some(start) = ordered.first() {
            break start.clone();
        }
        fixture.advance(100);
    };
    fixture.advance(100);
    assert!(fixture.start_all().is_empty(), "the reply has not arrived");
    fixture.reply(&refused, StartReply::NoRoom);
    let mut started = fixture.start_all();
    while started.is_empty() {
        fixture.advance(100);
        started = fixture.start_all();
    }
    let waited = fixture.now.since(from).millis();
    assert!(waited < STALL_LIMIT_MS, "something of it starts after {waited} ms");
    assert_eq!(started.len(), 1, "one task is enough for it not to be stalled");
}

/// A run that has started ends the wait, however short it is; the next wait begins after it.
#[test]
fn a_started_run_ends_the_wait_for_reserved_capacity() {
    let mut fixture = Fixture::new(4);
    fixture.submit(job_in("urgent", 1, vec![step(20, 1)]));
    assert_eq!(fixture.start_all().len(), 20);
    fixture.submit(job_in("archive", 2, vec![step(6, 1)]));
    let mut first = fixture.start_all();
    while first.is_empty() {
        fixture.advance(100);
        first = fixture.start_all();
    }
    fixture.complete(&first[0], CompletionKind::Done);
    assert!(fixture.start_all().is_empty(), "it has just run");
    fixture.advance(1500);
    assert!(fixture.start_all().is_empty(), "it has run 1.5 s ago");
    fixture.advance(600);
    assert_eq!(fixture.start_all().len(), 1);
}
