//! Keys in the platform's store.

use jobs::{JobId, OccurrenceId};
use model::{AvailabilityZoneId, BoxId};

/// The elected scheduler; the key's revision is its fence.
pub(crate) const SCHEDULER: &str = "marten/scheduler";
/// Boxes that others go through. Under the key of the scheduler, so that one watch tells of both.
pub(crate) const RELAY_BOXES: &str = "marten/scheduler/relays";
/// What callers have handed in and cancelled.
pub(crate) const INTAKE: &str = "marten/in/";
/// Records of jobs that are over and have left the intake.
pub(crate) const ENDED: &str = "marten/ended/";
/// What the scheduler must remember.
pub(crate) const PROGRESS: &str = "marten/progress/";
/// Schedulers that may still renew leases, the newest first.
pub(crate) const TERMS: &str = "marten/terms";
/// Backend servers that no scheduler has reached lately.
pub(crate) const UNREACHABLE: &str = "marten/unreached";
/// Backend servers that witness who schedules.
pub(crate) const WITNESSES: &str = "marten/witnesses";
/// The boxes and where they talk to each other.
pub(crate) const BOXES: &str = "marten/box/";

/// Availability zones that martenscale's own operators have evacuated.
pub(crate) const EVACUATIONS: &str = "marten/evacuation/";

/// What the scheduler must remember of waves of upkeep.
const WAVES: &str = "marten/wave/";

const JOB: &str = "/job";
const CANCEL: &str = "/cancel";

/// What a key under [`INTAKE`] holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SubmissionKey {
    Job(JobId),
    Cancel(JobId),
}

pub(crate) fn job(id: JobId) -> String {
    format!("{INTAKE}{id}{JOB}")
}

pub(crate) fn cancel(id: JobId) -> String {
    format!("{INTAKE}{id}{CANCEL}")
}

pub(crate) fn submission(key: &str) -> Option<SubmissionKey> {
    let rest = key.strip_prefix(INTAKE)?;
    if let Some(id) = rest.strip_suffix(JOB) {
        return id.parse().ok().map(SubmissionKey::Job);
    }
    rest.strip_suffix(CANCEL)?.parse().ok().map(SubmissionKey::Cancel)
}

pub(crate) fn ended(id: JobId) -> String {
    format!("{ENDED}{id}")
}

pub(crate) fn ended_job(key: &str) -> Option<JobId> {
    key.strip_prefix(ENDED)?.parse().ok()
}

pub(crate) fn progress(id: OccurrenceId) -> String {
    format!("{PROGRESS}{id}")
}

pub(crate) fn progress_of_job(id: JobId) -> String {
    format!("{PROGRESS}{id}.")
}

pub(crate) fn occurrence(key: &str) -> Option<OccurrenceId> {
    key.strip_prefix(PROGRESS)?.parse().ok()
}

pub(crate) fn maintenance(number: u64) -> String {
    format!("{WAVES}{number}")
}

pub(crate) fn evacuation(zone: &AvailabilityZoneId) -> String {
    format!("{EVACUATIONS}{zone}")
}

pub(crate) fn evacuated_zone(key: &str) -> Option<AvailabilityZoneId> {
    key.strip_prefix(EVACUATIONS)?.parse().ok()
}

pub(crate) fn member_box(id: &BoxId) -> String {
    format!("{BOXES}{id}")
}
