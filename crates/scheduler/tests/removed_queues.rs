//! Jobs of queues that the configuration in force does not name, or not as it did when they were accepted.

mod common;

use std::collections::BTreeMap;

use common::{Fixture, job_in, policy, step};
use jobs::{ConfigurationVersion, Job, JobState, QueueId, QueuePolicy, Schedule, ServiceId, Step};
use model::Revision;
use scheduler::{CompletionKind, Policy};

const NIGHT: &str = "night";

/// Returns the policy of a queue on the service of all backend servers.
fn night(version: u64) -> QueuePolicy {
    QueuePolicy { version: ConfigurationVersion(version), attempts: 2, ..policy().queues[&"batch".into()].clone() }
}

/// Returns the policy of the queue on a service that has no backend servers.
fn night_elsewhere(version: u64) -> QueuePolicy {
    QueuePolicy { service: ServiceId::from("elsewhere"), ..night(version) }
}

/// Returns a configuration that has the queue with this policy, or does not have it.
fn configuration(version: u64, night: Option<QueuePolicy>) -> Policy {
    let version = ConfigurationVersion(version);
    let mut configuration = Policy { version, ..policy() };
    for queue in configuration.queues.values_mut() {
        queue.version = version;
    }
    configuration.queues.extend(night.map(|night| (QueueId::from(NIGHT), night)));
    configuration
}

/// Returns a job of the queue that was accepted under a policy.
fn night_job(policy: QueuePolicy) -> Job {
    Job { policy: Some(policy), ..job_in(NIGHT, 1, vec![step(1, 8)]) }
}

/// Guards against a job of a removed queue that is started without an end after an election, since the next scheduler
/// does not know how often a task may fail.
#[test]
fn attempts_of_a_removed_queue_hold_after_an_election() {
    let mut fixture = Fixture::new(2);
    fixture.configure(configuration(2, Some(night(2))));
    fixture.submit(night_job(night(2)));
    let started = fixture.start_all().remove(0);
    fixture.complete(&started, CompletionKind::Failed);
    fixture.store_all();
    fixture.configure(configuration(3, None));
    fixture.elect_next();
    let started = fixture.start_all().remove(0);
    fixture.complete(&started, CompletionKind::Failed);
    fixture.store_all();
    assert_eq!(fixture.state(1), Some(JobState::Failed), "two of two attempts are used up");
}

/// Guards against occurrences that fall due after their queue was removed and another scheduler was elected, and are left.
#[test]
fn later_occurrences_of_a_removed_queue_start_when_they_are_due() {
    let mut fixture = Fixture::new(2);
    let first_ms = fixture.now.millis();
    let schedule = Some(Schedule { times: 2, first_ms, interval_ms: 5000 });
    fixture.submit(Job { schedule, ..night_job(night(2)) });
    fixture.advance(500);
    let first = fixture.start_all().remove(0);
    fixture.complete(&first, CompletionKind::Done);
    fixture.store_all();
    fixture.configure(configuration(3, None));
    fixture.elect_next();
    assert!(fixture.start_all().is_empty(), "the second occurrence is not due");
    fixture.advance(5000);
    assert_eq!(fixture.start_all().len(), 1);
}

/// Guards against a long-running task that is not restarted after its queue was removed and another scheduler was
/// elected.
#[test]
fn a_long_running_task_of_a_removed_queue_is_restarted() {
    let mut fixture = Fixture::new(2);
    let long_running = Step { long_running: true, ..step(1, 8) };
    fixture.submit(Job { steps: vec![long_running], ..night_job(night(2)) });
    let started = fixture.start_all().remove(0);
    fixture.configure(configuration(3, None));
    fixture.elect_next();
    fixture.crash(&started.server);
    assert_eq!(fixture.start_all().len(), 1);
}

/// Guards against a job that waits until the scheduler has the configuration with its queue, which the box that
/// accepted the job had earlier.
#[test]
fn a_job_starts_before_the_scheduler_has_the_configuration_of_its_queue() {
    let mut fixture = Fixture::new(2);
    fixture.submit(night_job(night(2)));
    assert_eq!(fixture.start_all().len(), 1);
}

/// Guards against a job with a policy older than the configuration in force, which would move the whole queue back.
#[test]
fn an_older_policy_does_not_replace_the_configured_one() {
    let mut fixture = Fixture::new(2);
    fixture.configure(configuration(3, Some(night(3))));
    fixture.submit(night_job(night_elsewhere(2)));
    assert_eq!(fixture.start_all().len(), 1);
}

/// Guards against a queue that is moved back by a configuration which is older than the policy of an accepted job.
#[test]
fn a_configuration_does_not_replace_the_newer_policy_of_an_accepted_job() {
    let mut fixture = Fixture::new(2);
    fixture.submit(night_job(night(4)));
    fixture.configure(configuration(3, Some(night_elsewhere(3))));
    assert_eq!(fixture.start_all().len(), 1);
}

/// Guards against a job that stays on a service that its queue has left.
#[test]
fn a_queue_that_is_added_again_on_another_service_takes_its_jobs_along() {
    let mut fixture = Fixture::new(2);
    fixture.configure(configuration(2, Some(night_elsewhere(2))));
    fixture.submit(night_job(night_elsewhere(2)));
    fixture.configure(configuration(3, None));
    fixture.elect_next();
    assert!(fixture.start_all().is_empty(), "no backend server runs its service");
    fixture.configure(configuration(4, Some(night(4))));
    assert_eq!(fixture.start_all().len(), 1);
}

/// Guards against a job that the next scheduler takes back to the service on which its queue was when it was accepted,
/// although the queue had been moved to another one before it was removed.
#[test]
fn a_job_stays_where_its_queue_was_moved_before_it_was_removed() {
    let mut fixture = Fixture::new(2);
    fixture.configure(configuration(2, Some(night_elsewhere(2))));
    fixture.submit(night_job(night_elsewhere(2)));
    fixture.configure(configuration(3, Some(night(3))));
    fixture.advance(100);
    fixture.configure(configuration(4, None));
    fixture.elect_next();
    assert_eq!(fixture.start_all().len(), 1);
}

/// Guards against a job that is left after an election since an earlier build stored it without a policy.
#[test]
fn a_job_stored_by_an_earlier_build_is_started_after_its_queue_was_removed() {
    let mut fixture = Fixture::new(2);
    fixture.configure(configuration(2, Some(night(2))));
    fixture.submit(job_in(NIGHT, 1, vec![step(1, 8)]));
    fixture.advance(100);
    fixture.configure(configuration(3, None));
    for version in 4..6 {
        fixture.elect_next();
        fixture.advance(100);
        fixture.configure(configuration(version, None));
    }
    assert_eq!(fixture.start_all().len(), 1);
}

/// Guards against a job that is left when its customer is removed, and another scheduler is elected.
#[test]
fn a_job_of_a_removed_customer_is_started_by_the_next_scheduler() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job_in("urgent", 1, vec![step(1, 8)]));
    fixture.configure(Policy { customers: BTreeMap::new(), ..configuration(2, None) });
    fixture.elect_next();
    assert_eq!(fixture.start_all().len(), 1);
}

/// Guards against a record that grows with each queue that was ever configured.
#[test]
fn a_removed_queue_leaves_the_record_once_it_has_no_jobs() {
    let mut fixture = Fixture::new(2);
    let has_night = |fixture: &Fixture| fixture.stored_queue_policies().queues.contains_key(&NIGHT.into());
    fixture.configure(configuration(2, Some(night(2))));
    fixture.advance(100);
    fixture.configure(configuration(3, None));
    fixture.advance(100);
    assert!(has_night(&fixture), "boxes with configuration 2 may still accept jobs");
    fixture.configure(configuration(4, None));
    fixture.advance(100);
    assert!(!has_night(&fixture));
}

/// Guards against a write for each check, and for each election.
#[test]
fn the_record_is_written_only_when_it_has_changed() {
    let mut fixture = Fixture::new(2);
    fixture.advance(100);
    assert!(fixture.scheduler.next_queue_policy_write().is_none());
    fixture.elect_next();
    assert!(fixture.scheduler.next_queue_policy_write().is_none());
    fixture.configure(configuration(2, None));
    assert!(fixture.scheduler.next_queue_policy_write().is_some());
}

/// Guards against a record that is never written again, once a write that seemed lost has taken effect.
#[test]
fn the_record_is_replaced_after_a_write_that_took_effect_late() {
    let mut fixture = Fixture::new(2);
    let lost = fixture.scheduler.next_queue_policy_write().expect("nothing is stored");
    fixture.configure(configuration(2, Some(night(2))));
    fixture.scheduler.queue_policies_found(lost.record, Revision(7));
    let write = fixture.scheduler.next_queue_policy_write().expect("the store holds an older record");
    assert_eq!(write.replaces, Revision(7));
    assert!(write.record.queues.contains_key(&NIGHT.into()));
}
