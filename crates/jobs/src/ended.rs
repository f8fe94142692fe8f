//! Records of ended jobs.
//!
//! Callers may ask for the state of a job, or submit it again, long after it has ended. Its record holds only what
//! these requests need.

use derive_more::Display;
use model::{CustomerId, Digest};
use serde::{Deserialize, Serialize};

use crate::{Job, JobState};

/// Length of a work digest, in hexadecimal digits: enough to detect another job under the same id by accident, but not
/// to prevent forgery.
const DIGEST_HEX_DIGITS: usize = 16;

/// Truncated SHA-256 of the work that a job requests, as 16 hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(transparent)]
pub struct WorkDigest(String);

/// Record of a job in a final state, of which nothing runs or will run. It takes about a hundredth of the job's own
/// size, so that it can be kept for as long as callers may ask.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJob {
    /// Customer that owned the job; `None` on a queue that is open to all.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerId>,
    /// Final state of the job.
    #[serde(rename = "s")]
    pub state: JobState,
    /// Digest of the job's work; a repeated submission has the same digest.
    #[serde(rename = "w")]
    pub work: WorkDigest,
}

impl Job {
    /// Returns the digest of the job's work. It is equal for jobs that request the same work (see [`Job::same_work`]).
    pub fn work_digest(&self) -> WorkDigest {
        let work = serde_json::to_vec(&(&self.text, &self.steps, &self.schedule));
        let digest = Digest::of(&work.expect("our own types always serialize")).to_string();
        WorkDigest(digest[..DIGEST_HEX_DIGITS].to_owned())
    }

    /// Returns the record to keep of the job after it has ended in the final `state`.
    pub fn ended(&self, state: JobState) -> EndedJob {
        EndedJob { customer: self.customer.clone(), state, work: self.work_digest() }
    }
}
