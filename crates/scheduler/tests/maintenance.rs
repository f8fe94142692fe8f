//! Maintenance batches: how machines are emptied, and how many are down at once.

mod common;

use common::{Fixture, Started, job, server_id, step};
use jobs::Step;
use model::Duration;
use scheduler::{CompletionKind, Machine, MachineId, MaintenanceProgress, MaintenanceReply, MaintenanceRequest};

fn machine_id(i: usize) -> MachineId {
    MachineId::from(format!("m{i:02}").as_str())
}

/// Returns a machine with the backend server of the same number; after maintenance it has another one.
fn machine(i: usize) -> Machine {
    Machine { id: machine_id(i), up: true, server: Some(server_id(i)) }
}

fn renewed(i: usize) -> Machine {
    Machine { server: Some(server_id(i + 50)), ..machine(i) }
}

fn in_maintenance(i: usize) -> Machine {
    Machine { up: false, server: None, ..machine(i) }
}

/// Returns as many backend servers as machines, and a maintenance batch over all of them.
fn maintenance_batch(machines: usize, most_at_once: usize) -> Fixture {
    let mut fixture = Fixture::new(machines);
    request_maintenance(&mut fixture, machines, most_at_once, MaintenanceProgress::default());
    fixture
}

fn request_maintenance(fixture: &mut Fixture, machines: usize, most_at_once: usize, progress: MaintenanceProgress) {
    let machines = (0..machines).map(machine_id).collect();
    let request = MaintenanceRequest { number: 1, machines, term: Duration::from_secs(20), most_at_once };
    let now = fixture.now;
    fixture.scheduler.maintenance_requested(request, progress, now);
}

/// Delivers the platform's list of machines; returns those that are due for maintenance.
fn due(fixture: &mut Fixture, machines: Vec<Machine>) -> Vec<MachineId> {
    let now = fixture.now;
    fixture.scheduler.machines_listed(machines, now);
    fixture.scheduler.machines_due_for_maintenance(now).into_iter().map(|(_, id)| id).collect()
}

fn reply_to_hand_over(fixture: &mut Fixture, id: &MachineId, reply: MaintenanceReply) {
    let now = fixture.now;
    fixture.scheduler.maintenance_replied(1, id, reply, now);
}

fn succeeded(fixture: &Fixture) -> bool {
    fixture.scheduler.pending_maintenance_writes().iter().any(|(_, progress)| progress.succeeded)
}

#[test]
fn the_limit_of_machines_down_holds_and_all_are_maintained() {
    let mut fixture = maintenance_batch(3, 1);
    let first = due(&mut fixture, (0..3).map(machine).collect());
    assert_eq!(first, [machine_id(0)]);
    reply_to_hand_over(&mut fixture, &first[0], MaintenanceReply::Begun);
    assert!(due(&mut fixture, (0..3).map(machine).collect()).is_empty(), "the list is older than the maintenance");
    assert!(due(&mut fixture, vec![in_maintenance(0), machine(1), machine(2)]).is_empty());
    assert_eq!(due(&mut fixture, vec![renewed(0), machine(1), machine(2)]), [machine_id(1)]);
    reply_to_hand_over(&mut fixture, &machine_id(1), MaintenanceReply::Begun);
    assert_eq!(due(&mut fixture, vec![renewed(0), renewed(1), machine(2)]), [machine_id(2)]);
    assert!(!succeeded(&fixture));
    reply_to_hand_over(&mut fixture, &machine_id(2), MaintenanceReply::Begun);
    due(&mut fixture, vec![renewed(0), renewed(1), in_maintenance(2)]);
    assert!(succeeded(&fixture), "maintenance of the last has started");
}

#[test]
fn a_machine_that_is_down_for_another_reason_counts() {
    let mut fixture = maintenance_batch(3, 1);
    assert!(due(&mut fixture, vec![in_maintenance(0), machine(1), machine(2)]).is_empty());
}

#[test]
fn maintenance_without_a_reply_counts_for_the_limit_and_is_requested_again() {
    let mut fixture = maintenance_batch(2, 1);
    let first = due(&mut fixture, vec![machine(0), machine(1)]);
    reply_to_hand_over(&mut fixture, &first[0], MaintenanceReply::Unknown);
    assert!(due(&mut fixture, vec![in_maintenance(0), machine(1)]).is_empty());
    assert_eq!(
        due(&mut fixture, vec![renewed(0), machine(1)]),
        [machine_id(0)],
        "the platform says whether it was done"
    );
}

#[test]
fn removed_machines_do_not_delay_a_batch() {
    let mut fixture = maintenance_batch(2, 2);
    let first = due(&mut fixture, vec![machine(0), machine(1)]);
    assert_eq!(first.len(), 2);
    reply_to_hand_over(&mut fixture, &machine_id(0), MaintenanceReply::Begun);
    reply_to_hand_over(&mut fixture, &machine_id(1), MaintenanceReply::Never);
    due(&mut fixture, vec![renewed(0)]);
    assert!(succeeded(&fixture));
}

#[test]
fn a_new_scheduler_continues_from_the_stored_progress() {
    let mut fixture = Fixture::new(2);
    let started = [machine_id(0)].into();
    request_maintenance(&mut fixture, 2, 2, MaintenanceProgress { started, succeeded: false });
    assert_eq!(due(&mut fixture, vec![machine(0), machine(1)]), [machine_id(1)]);
}

/// Runs work on the first of two backend servers, which is to be maintained.
fn busy(step: Step) -> (Fixture, Vec<Started>) {
    let mut fixture = Fixture::new(1);
    fixture.percent = 100;
    fixture.submit(job(1, vec![step]));
    let started = fixture.start_all();
    fixture.add_server(1);
    fixture.advance(100);
    request_maintenance(&mut fixture, 1, 1, MaintenanceProgress::default());
    assert!(due(&mut fixture, vec![machine(0), machine(1)]).is_empty(), "something runs there");
    (fixture, started)
}

#[test]
fn checkpointed_work_moves_at_once_and_nothing_new_starts_on_the_machine() {
    let (mut fixture, started) = busy(Step { checkpoints: true, ..step(1, 4) });
    fixture.start_all();
    assert_eq!(fixture.stops.len(), 1);
    fixture.complete_with(&started[0], CompletionKind::Stopped, Some("half"));
    let again = fixture.start_all();
    assert_eq!(again[0].server, server_id(1));
    assert_eq!(due(&mut fixture, vec![machine(0), machine(1)]), [machine_id(0)]);
}

#[test]
fn other_work_gets_time_to_end() {
    let (mut fixture, _) = busy(step(1, 4));
    fixture.start_all();
    assert!(fixture.stops.is_empty());
    fixture.advance(5100);
    due(&mut fixture, vec![machine(0), machine(1)]);
    fixture.start_all();
    assert_eq!(fixture.stops.len(), 1);
}

#[test]
fn tasks_that_may_not_be_absent_stay() {
    let absent = Step { long_running: true, max_absent: Some(0), ..step(1, 4) };
    let (mut fixture, _) = busy(absent);
    fixture.advance(9000);
    assert!(due(&mut fixture, vec![machine(0), machine(1)]).is_empty());
    fixture.start_all();
    assert!(fixture.stops.is_empty());
}

#[test]
fn a_machine_counts_as_maintained_though_its_backend_server_keeps_its_id() {
    let mut fixture = maintenance_batch(2, 1);
    let first = due(&mut fixture, vec![machine(0), machine(1)]);
    assert_eq!(first, [machine_id(0)]);
    reply_to_hand_over(&mut fixture, &machine_id(0), MaintenanceReply::Begun);
    assert!(due(&mut fixture, vec![machine(0), machine(1)]).is_empty(), "its list may be older than the hand-over");
    fixture.crash_and_restart(&server_id(0));
    assert_eq!(due(&mut fixture, vec![machine(0), machine(1)]), [machine_id(1)]);
}
