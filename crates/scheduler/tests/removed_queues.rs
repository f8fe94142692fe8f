//! Jobs of queues that the configuration in force does not name, or not as it did when they were accepted.

mod common;

use common::{Fixture, job_in, policy, step};
use jobs::{ConfigurationVersion, Job, JobState, QueueId, QueuePolicy, ServiceId};
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
