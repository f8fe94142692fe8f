//! Jobs that are held because a record of theirs cannot be read.
//!
//! Another version of the program may have written the record, and may be able to read it. Until then, nothing of the
//! job is started, since it may run or be done already; what runs of it goes on; and its ends are not acknowledged, so
//! that they can still be received.

use jobs::{Job, JobId, Resources, TaskId};

use crate::{Scheduler, completions::Listing};

/// A held job.
#[derive(Debug)]
pub(crate) struct HeldJob {
    /// The job, if it is the record of its progress that cannot be read.
    job: Option<Job>,
    /// Whether its caller has cancelled it. Its runs are then stopped, and its ends acknowledged.
    pub(crate) cancelled: bool,
}

impl Scheduler {
    /// Holds a job of which a record cannot be read; `job` is given if it is the progress. Idempotent. Must precede
    /// [`Scheduler::add_job`].
    pub fn hold_job(&mut self, id: JobId, job: Option<Job>) {
        if !self.jobs.contains_key(&id) {
            self.held_jobs.entry(id).or_insert(HeldJob { job, cancelled: false });
        }
    }

    /// Whether a job is held and what runs of it must be left alone.
    pub(crate) fn is_held(&self, id: JobId) -> bool {
        self.held_jobs.get(&id).is_some_and(|held| !held.cancelled)
    }

    /// Returns the resources of a task of a held job; `None` if they are not known.
    pub(crate) fn held_resources(&self, task: TaskId) -> Option<Resources> {
        let job = self.held_jobs.get(&task.occurrence.job)?.job.as_ref()?;
        Some(job.steps.get(task.step as usize)?.counted_resources())
    }

    /// Returns the highest serial number before the first completion of a held job; `None` if there is none.
    pub(crate) fn before_held_completions(&self, listing: &Listing) -> Option<u64> {
        let is_held = |task: TaskId| self.is_held(task.occurrence.job);
        let held = listing.completions.iter().filter(|completion| is_held(completion.task));
        held.map(|completion| completion.serial.saturating_sub(1)).min()
    }

    /// Cancels a held job. Returns `false` if it is not held.
    pub(crate) fn cancel_held(&mut self, id: JobId) -> bool {
        let Some(held) = self.held_jobs.get_mut(&id) else { return false };
        if !std::mem::replace(&mut held.cancelled, true) {
            log::info!("job={id} event=cancelled fence={} held=true", self.fence);
        }
        true
    }
}
