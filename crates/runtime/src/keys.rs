//! Keys of this program in the platform's store.

use jobs::{JobId, OccurrenceId};
use model::{AvailabilityZoneId, BoxId};

/// Key of the elected scheduler; the revision of the key is the fencing token.
pub(crate) const SCHEDULER: &str = "marten/scheduler";
/// Key of the relay boxes. Under the key of the scheduler, so that one watch covers both.
pub(crate) const RELAY_BOXES: &str = "marten/scheduler/relays";
/// Prefix of submission records: jobs and their cancellations.
pub(crate) const INTAKE: &str = "marten/in/";
/// Prefix of the archive records of ended jobs.
pub(crate) const ENDED: &str = "marten/ended/";
/// Prefix of the progress of occurrences.
pub(crate) const PROGRESS: &str = "marten/progress/";
/// Key of the record of schedulers that may still renew leases, the newest first.
pub(crate) const TERMS: &str = "marten/terms";
/// Key of the record of backend servers that no scheduler has reached recently.
pub(crate) const UNREACHABLE: &str = "marten/unreached";
/// Key of the record of witnesses: backend servers that confirm who schedules.
pub(crate) const WITNESSES: &str = "marten/witnesses";
/// Key of the record of the policies of queues.
pub(crate) const QUEUE_POLICIES: &str = "marten/queues";
/// Prefix of the pages of what schedulers have learned.
pub(crate) const LEARNED: &str = "marten/learned/";
/// Prefix of the list of boxes with their addresses.
pub(crate) const BOXES: &str = "marten/box/";

/// Prefix of the availability zones that martenscale's own operators have evacuated.
pub(crate) const EVACUATIONS: &str = "marten/evacuation/";

/// Prefix of the progress of maintenance batches.
const WAVES: &str = "marten/wave/";

const JOB: &str = "/job";
const CANCEL: &str = "/cancel";

/// A parsed key under [`INTAKE`].
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

pub(crate) fn learned(page: u32) -> String {
    format!("{LEARNED}{page}")
}

pub(crate) fn learned_page(key: &str) -> Option<u32> {
    key.strip_prefix(LEARNED)?.parse().ok()
}

pub(crate) fn member_box(id: &BoxId) -> String {
    format!("{BOXES}{id}")
}
