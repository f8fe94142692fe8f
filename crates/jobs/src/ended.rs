//! What is kept of a job once it is over.

use derive_more::Display;
use model::{CustomerId, Digest};
use serde::{Deserialize, Serialize};

use crate::{Job, JobState};

/// Digits of a digest that are kept: two jobs under one id are told apart, no one is kept from forging it.
const DIGITS: usize = 16;

/// Tells the work of one job from that of another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(transparent)]
pub struct WorkDigest(String);

/// The record of a job of which nothing runs or will run: a hundredth of the job itself, so that it can be kept for
/// as long as callers may ask.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJob {
    /// Whose it was; `None` on a queue that is open to all.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerId>,
    /// How it ended.
    #[serde(rename = "s")]
    pub state: JobState,
    /// What it was to do: a repeated submission has the same.
    #[serde(rename = "w")]
    pub work: WorkDigest,
}

impl Job {
    /// The digest of the work: equal for jobs of which [`Job::same_work`] holds.
    pub fn work_digest(&self) -> WorkDigest {
        let work = serde_json::to_vec(&(&self.text, &self.steps, &self.schedule));
        let digest = Digest::of(&work.expect("our own types always serialize")).to_string();
        WorkDigest(digest[..DIGITS].to_owned())
    }

    /// What is kept of the job, which has ended so.
    pub fn ended(&self, state: JobState) -> EndedJob {
        EndedJob { customer: self.customer.clone(), state, work: self.work_digest() }
    }
}
